//! Sends an answer as a stream of server-sent events.

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

/// Data of the event that ends a stream in the OpenAI format.
const DONE: &str = "[DONE]";

/// Counts a caller as reader of an answer; the core is notified when the last one disconnects.
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
        let remaining = self.answer.remove_reader();
        if remaining == 0 && !self.answer.is_ended() {
            self.core.do_send(Abandoned(self.answer.id));
        }
    }
}

/// Position of a reader in an answer.
struct Cursor {
    reader: Reader,
    next: usize,
    ended: bool,
}

/// Streams an answer from piece `from` on.
///
/// Waits for the first piece before it responds, because until then a failure can still be reported
/// by the status.
pub(super) async fn respond(
    shared: &Shared,
    answer: Arc<Answer>,
    from: usize,
) -> Result<HttpResponse, Problem> {
    let started = Instant::now();
    let reader = Reader::new(shared, answer);
    let view = reader.answer.wait_pieces(from).await;
    if view.pieces.is_empty()
        && let Some(problem) = view
            .ending
            .and_then(|e| Problem::from_ending(&e, reader.answer.id))
    {
        return Err(problem);
    }
    shared
        .metrics
        .first_piece
        .record(started.elapsed().as_secs_f64(), &[]);
    let id = hex(reader.answer.id);
    let events = events(Cursor {
        reader,
        next: from,
        ended: false,
    });
    let body = actix_web_lab::sse::Sse::from_infallible_stream(events)
        .with_keep_alive(Duration::from_secs(15));
    let mut response = HttpResponseBuilder::new(StatusCode::OK);
    response.insert_header(("x-request-id", id.as_str()));
    Ok(with_body(response, body))
}

/// Response with the headers already set (among them the request's id) and the events as its body.
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
        if cursor.ended {
            return None;
        }
        let view = cursor.reader.answer.wait_pieces(cursor.next).await;
        let id = cursor.reader.answer.id;
        let mut batch: Vec<Event> = Vec::new();
        for piece in view.pieces {
            batch.push(event(&hex(id), cursor.next, &piece));
            cursor.next += 1;
        }
        // The ending may have arrived with the last pieces. Both were read under one lock, so no
        // piece can be missing before the ending.
        if let Some(ending) = view.ending {
            cursor.ended = true;
            batch.push(match Problem::from_ending(&ending, id) {
                Some(problem) => failure(&problem),
                None => Event::Data(Data::new(DONE)),
            });
        }
        Some((stream::iter(batch), cursor))
    })
    .flatten()
}

/// Event of a piece, in which the request's id replaces that of the attempt.
fn event(id: &str, at: usize, piece: &Bytes) -> Event {
    let text = match serde_json::from_slice::<Value>(piece) {
        Ok(mut value) if value.is_object() => {
            value["id"] = Value::from(id);
            value.to_string()
        }
        _ => {
            // The caller gets the engine's text unchanged, without the request's id.
            log::warn!("stream: piece {at} of {id} is no JSON object, forwarding it unchanged.");
            String::from_utf8_lossy(piece).into_owned()
        }
    };
    Event::Data(Data::new(text).id(format!("{id}-{at}")))
}

fn failure(problem: &Problem) -> Event {
    let body = serde_json::to_string(&problem.body()).unwrap_or_else(|error| {
        log::error!("stream: an error event could not be encoded, sending an empty one: {error}.");
        String::from("{}")
    });
    Event::Data(Data::new(body).event("error"))
}
