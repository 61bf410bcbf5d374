//! Sends an answer as one buffered response.

use std::sync::Arc;
use std::time::Instant;

use actix_web::http::StatusCode;
use actix_web::{HttpResponse, HttpResponseBuilder};
use bytes::Bytes;
use poplarvale_lib::protos::caller::{
    ChatAnswer, ChatChoice, Chunk, Message, TextAnswer, TextChoice, Usage,
};
use poplarvale_lib::{claims, hex};

use super::Shared;
use super::stream::Reader;
use crate::answer::{Answer, View};
use crate::job::RequestKind;
use crate::problem::Problem;

/// Text of all pieces and the reason why it ended.
#[derive(Default)]
struct Text {
    content: String,
    finish: String,
}

/// Waits for a completion to end and joins its pieces.
pub(super) async fn completion(
    shared: &Shared,
    answer: Arc<Answer>,
    kind: &RequestKind,
    prompt: u32,
) -> Result<HttpResponse, Problem> {
    let view = wait_end(shared, &answer).await?;
    let count = view.pieces.len() as u32;
    let text = join_pieces(&view.pieces);
    let id = hex(answer.id).to_string();
    let usage = Some(Usage {
        prompt_tokens: prompt,
        completion_tokens: count,
        total_tokens: prompt + count,
    });
    let mut response = HttpResponse::Ok();
    response.insert_header(("x-request-id", id.as_str()));
    Ok(match kind {
        RequestKind::Text { model } => response.json(text_answer(id, model, text, usage)),
        RequestKind::Chat { model } => response.json(chat_answer(id, model, text, usage)),
        RequestKind::Plain { .. } => HttpResponse::InternalServerError().finish(),
    })
}

/// Waits for a plain service's answer and forwards it.
pub(super) async fn plain(shared: &Shared, answer: Arc<Answer>) -> Result<HttpResponse, Problem> {
    let view = wait_end(shared, &answer).await?;
    let head = view
        .head
        .ok_or_else(|| Problem::new(poplarvale_lib::Code::Internal))?;
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponseBuilder::new(status);
    for (name, value) in &head.headers {
        response.append_header((name.as_str(), value.as_ref()));
    }
    response.insert_header(("x-request-id", hex(answer.id).as_str()));
    Ok(response.body(view.pieces.into_iter().next().unwrap_or_default()))
}

/// Replays the stored answer of an earlier run under the same idempotency key.
pub(super) fn replay(answer: claims::Answer) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponseBuilder::new(status);
    if !answer.content.is_empty() {
        response.insert_header(("content-type", answer.content.as_str()));
    }
    response.insert_header(("idempotent-replayed", "true"));
    response.body(answer.body)
}

/// Waits until the answer has ended; an error if its request failed.
async fn wait_end(shared: &Shared, answer: &Arc<Answer>) -> Result<View, Problem> {
    let started = Instant::now();
    let reader = Reader::new(shared, Arc::clone(answer));
    let view = reader.answer.wait_end().await;
    shared
        .metrics
        .full_answer
        .record(started.elapsed().as_secs_f64(), &[]);
    match view
        .ending
        .as_ref()
        .and_then(|ending| Problem::from_ending(ending, answer.id))
    {
        Some(problem) => Err(problem),
        None => Ok(view),
    }
}

fn join_pieces(pieces: &[Bytes]) -> Text {
    let mut text = Text::default();
    for piece in pieces {
        let chunk: Chunk = match serde_json::from_slice(piece) {
            Ok(chunk) => chunk,
            Err(error) => {
                // The caller still gets the other pieces; a stream forwards such a piece unchanged.
                log::warn!(
                    "serve: a piece of an answer is no valid chunk, leaving it out: {error}."
                );
                continue;
            }
        };
        let Some(choice) = chunk.choices.into_iter().next() else {
            continue;
        };
        text.content.push_str(&choice.text);
        if let Some(content) = choice.delta.and_then(|delta| delta.content) {
            text.content.push_str(&content);
        }
        if let Some(finish) = choice.finish_reason {
            text.finish = finish;
        }
    }
    text
}

fn chat_answer(id: String, model: &str, text: Text, usage: Option<Usage>) -> ChatAnswer {
    let message = Message {
        role: "assistant".to_owned(),
        content: text.content,
    };
    let choice = ChatChoice {
        index: 0,
        message: Some(message),
        finish_reason: text.finish,
    };
    ChatAnswer {
        id,
        object: "chat.completion".to_owned(),
        model: model.to_owned(),
        choices: vec![choice],
        usage,
    }
}

fn text_answer(id: String, model: &str, text: Text, usage: Option<Usage>) -> TextAnswer {
    let choice = TextChoice {
        index: 0,
        text: text.content,
        finish_reason: text.finish,
    };
    TextAnswer {
        id,
        object: "text_completion".to_owned(),
        model: model.to_owned(),
        choices: vec![choice],
        usage,
    }
}
