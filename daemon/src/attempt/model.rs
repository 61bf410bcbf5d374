//! A completion from a model engine, as a stream.
//!
//! The engine is always asked for a stream, also for callers who want the whole
//! answer at once, so that an engine that dies costs only the tokens after the
//! last one that arrived.

use actix::Addr;
use awc::Client;
use bytes::Bytes;
use eventsource_stream::{Event, Eventsource as _};
use futures::StreamExt as _;
use poplarvale_lib::protos::caller::Chunk;
use poplarvale_lib::{Code, Input, Outcome, Send, from_hex, hex};

use super::{failed, refused};
use crate::core::{Core, Report};
use crate::job::Job;

/// Tokens after which the core is told how far the answer is.
const REPORT_EVERY: u32 = 16;
/// End of a stream in the OpenAI form.
const DONE: &str = "[DONE]";

/// What an event did to the answer.
enum Step {
    /// The answer goes on.
    More(u32),
    /// The answer is whole.
    Whole,
}

pub(super) async fn run(
    client: &Client,
    job: &Job,
    send: &Send,
    core: &Addr<Core>,
    path: &str,
) -> Outcome {
    let request = client
        .post(format!("http://{}{path}", send.address))
        .insert_header(("content-type", "application/json"))
        .insert_header(("x-attempt-id", hex(send.attempt).as_str()))
        .insert_header(("x-resume-from", job.answer.count().to_string()));
    let response = match request.send_body(job.body.clone()).await {
        Ok(response) => response,
        Err(error) => return failed(&error),
    };
    if !response.status().is_success() {
        return Outcome::Failed { code: Code::Broken };
    }
    let mut events = response.eventsource();
    while let Some(event) = events.next().await {
        let Ok(event) = event else {
            return Outcome::Failed { code: Code::Broken };
        };
        match take(job, send, &event) {
            Ok(Step::Whole) => return Outcome::Complete { status: 200 },
            Ok(Step::More(count)) => report(send, core, count),
            Err(outcome) => return outcome,
        }
    }
    // The connection closed before the end mark: the answer is not whole.
    Outcome::Failed { code: Code::Broken }
}

/// Adds an event to the answer, if it belongs to it.
fn take(job: &Job, send: &Send, event: &Event) -> Result<Step, Outcome> {
    if event.data == DONE {
        return if is_finished(job) {
            Ok(Step::Whole)
        } else {
            Err(Outcome::Failed { code: Code::Broken })
        };
    }
    let wrong = || Outcome::Failed {
        code: Code::WrongAnswer,
    };
    let (attempt, at) = event.id.split_once('-').ok_or_else(wrong)?;
    if from_hex(attempt) != Some(send.attempt) {
        return Err(wrong());
    }
    let at = at.parse().map_err(|_malformed| wrong())?;
    let piece = Bytes::copy_from_slice(event.data.as_bytes());
    let count = job.answer.push(send.attempt, at, piece).map_err(refused)?;
    Ok(Step::More(count))
}

/// Whether the last piece says that the answer ends with it.
fn is_finished(job: &Job) -> bool {
    let last = job.answer.count().saturating_sub(1);
    let Some(piece) = job.answer.view(last as usize).pieces.pop() else {
        return false;
    };
    match serde_json::from_slice::<Chunk>(&piece) {
        Ok(chunk) => {
            let mut choices = chunk.choices.iter();
            choices.any(|choice| choice.finish_reason.is_some())
        }
        Err(error) => {
            // The engine goes on or breaks off; either shows by itself.
            log::warn!("attempt: the last piece could not be read, {error}.");
            false
        }
    }
}

fn report(send: &Send, core: &Addr<Core>, count: u32) {
    let first = count == send.delivered + 1;
    if first || count.is_multiple_of(REPORT_EVERY) {
        let progress = Input::Progress {
            attempt: send.attempt,
            request: send.request,
            delivered: count,
        };
        core.do_send(Report(progress));
    }
}
