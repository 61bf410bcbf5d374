//! An answer as a stream of events.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::Addr;
use actix_web::{HttpResponse, HttpResponseBuilder, http::StatusCode};
use actix_web_lab::sse::{Data, Event};
use bytes::Bytes;
use futures::stream::{self, Stream, StreamExt as _};
use poplarvale_lib::hex;
use serde_json::Value;

use super::Shared;
use crate::answer::Answer;
use crate::core::{Abandoned, Core};
use crate::problem::Problem;

/// End of a stream in the OpenAI form.
const DONE: &str = "[DONE]";

/// A caller that reads an answer; the core hears when the last one goes away.
pub(super) struct Reader {
    pub(super) answer: Arc<Answer>,
    core: Addr<Core>,
}

impl Reader {
    pub(super) fn new(shared: &Shared, answer: Arc<Answer>) -> Self {
        answer.add_reader();
        Self {
            answer,
            core: shared.core.clone(),
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let left = self.answer.drop_reader();
        if left == 0 && !self.answer.is_ended() {
            self.core.do_send(Abandoned(self.answer.id));
        }
    }
}

/// Where a reader stands in an answer.
struct Cursor {
    reader: Reader,
    next: usize,
    over: bool,
}

/// Streams an answer from piece `from` on.
///
/// Waits for the first piece, since until then a refusal can still be told by
/// the status.
pub(super) async fn respond(
    shared: &Shared,
    answer: Arc<Answer>,
    from: usize,
) -> Result<HttpResponse, Problem> {
    let begun = Instant::now();
    let reader = Reader::new(shared, answer);
    let view = reader.answer.grown(from).await;
    if view.pieces.is_empty()
        && let Some(problem) = view.ending.and_then(|e| Problem::of(&e, reader.answer.id))
    {
        return Err(problem);
    }
    shared
        .metrics
        .first
        .record(begun.elapsed().as_secs_f64(), &[]);
    let id = hex(reader.answer.id);
    let events = events(Cursor {
        reader,
        next: from,
        over: false,
    });
    let body = actix_web_lab::sse::Sse::from_infallible_stream(events)
        .with_keep_alive(Duration::from_secs(15));
    let mut response = HttpResponseBuilder::new(StatusCode::OK);
    response.insert_header(("x-request-id", id.as_str()));
    Ok(with_body(response, body))
}

/// The events' responder sets its own headers; the request's id is added.
fn with_body<S>(mut head: HttpResponseBuilder, body: actix_web_lab::sse::Sse<S>) -> HttpResponse
where
    S: Stream<Item = Result<Event, std::convert::Infallible>> + 'static,
{
    head.content_type("text/event-stream");
    head.insert_header(("cache-control", "no-cache"));
    head.body(body)
}

fn events(cursor: Cursor) -> impl Stream<Item = Event> {
    stream::unfold(cursor, |mut cursor| async {
        if cursor.over {
            return None;
        }
        let view = cursor.reader.answer.grown(cursor.next).await;
        let id = cursor.reader.answer.id;
        let mut batch: Vec<Event> = Vec::new();
        for piece in view.pieces {
            batch.push(event(&hex(id), cursor.next, &piece));
            cursor.next += 1;
        }
        // The ending may have come together with the last pieces; those were
        // read under the same lock, so nothing can be missing between them.
        if let Some(ending) = view.ending {
            cursor.over = true;
            batch.push(match Problem::of(&ending, id) {
                Some(problem) => failure(&problem),
                None => Event::Data(Data::new(DONE)),
            });
        }
        Some((stream::iter(batch), cursor))
    })
    .flatten()
}

/// A piece with the request's id in place of the attempt's.
fn event(id: &str, at: usize, piece: &Bytes) -> Event {
    let text = match serde_json::from_slice::<Value>(piece) {
        Ok(mut value) if value.is_object() => {
            value["id"] = Value::from(id);
            value.to_string()
        }
        _ => {
            // The caller gets what the engine made, though without the request's id.
            log::warn!("stream: piece {at} of {id} is no object.");
            String::from_utf8_lossy(piece).into_owned()
        }
    };
    Event::Data(Data::new(text).id(format!("{id}-{at}")))
}

fn failure(problem: &Problem) -> Event {
    let body = serde_json::to_string(&problem.body()).unwrap_or_else(|error| {
        log::error!("stream: a problem could not be written, {error}.");
        String::from("{}")
    });
    Event::Data(Data::new(body).event("error"))
}
