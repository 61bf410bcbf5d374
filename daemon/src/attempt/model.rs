//! Reads a completion from a model engine as a stream.
//!
//! The engine always streams, even if the caller wants one buffered response, so that the failure
//! of an engine costs only the tokens after the last one received.

use actix::Addr;
use awc::Client;
use bytes::Bytes;
use eventsource_stream::{Event, Eventsource as _};
use futures::StreamExt as _;
use poplarvale_lib::protos::caller::Chunk;
use poplarvale_lib::{Code, Input, Outcome, Send, from_hex, hex};

use super::{connection_outcome, piece_outcome};
use crate::core::{Core, Report};
use crate::job::Job;

/// Number of tokens between two progress reports to the core.
const REPORT_TOKENS: u32 = 16;
/// Data of the event that ends a stream in the OpenAI format.
const DONE: &str = "[DONE]";

/// Effect of an event on the answer.
enum Step {
    /// The answer continues; the number of pieces so far.
    Continues(u32),
    /// The answer is complete.
    Complete,
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
        Err(error) => return connection_outcome(&error),
    };
    if !response.status().is_success() {
        return Outcome::Failed { code: Code::Broken };
    }
    let mut events = response.eventsource();
    while let Some(event) = events.next().await {
        let Ok(event) = event else {
            return Outcome::Failed { code: Code::Broken };
        };
        match apply_event(job, send, &event) {
            Ok(Step::Complete) => return Outcome::Complete { status: 200 },
            Ok(Step::Continues(count)) => report(send, core, count),
            Err(outcome) => return outcome,
        }
    }
    // The connection closed before the end marker: the answer is incomplete.
    Outcome::Failed { code: Code::Broken }
}

/// Adds an event to the answer, after checking that it belongs to this attempt.
fn apply_event(job: &Job, send: &Send, event: &Event) -> Result<Step, Outcome> {
    if event.data == DONE {
        return if is_finished(job) {
            Ok(Step::Complete)
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
    let count = job
        .answer
        .push(send.attempt, at, piece)
        .map_err(piece_outcome)?;
    Ok(Step::Continues(count))
}

/// Whether the last piece has a finish reason, that is, ends the answer.
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
            // The answer then counts as incomplete and the attempt as failed.
            log::warn!(
                "attempt: the last piece is no valid chunk, the answer counts as incomplete: {error}."
            );
            false
        }
    }
}

fn report(send: &Send, core: &Addr<Core>, count: u32) {
    let first = count == send.delivered + 1;
    if first || count.is_multiple_of(REPORT_TOKENS) {
        let progress = Input::Progress {
            attempt: send.attempt,
            request: send.request,
            delivered: count,
        };
        core.do_send(Report(progress));
    }
}
