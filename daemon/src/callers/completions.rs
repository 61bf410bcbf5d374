//! Chat and text completions in the OpenAI format.

use std::time::{Duration, Instant};

use actix_web::{HttpRequest, HttpResponse, web};
use poplarvale_lib::protos::caller::Completion;
use poplarvale_lib::{Code, ModelId, Service, prompt};
use serde_json::Value;

use super::{Shared, api_key, body, buffered, stream};
use crate::core::Submit;
use crate::job::{CallerRequest, RequestKind};
use crate::problem::Problem;

/// Answer tokens assumed if the caller sets no limit. The plan's rate is charged for them, and the
/// unused ones are credited back.
const DEFAULT_ANSWER_TOKENS: u32 = 256;

/// Format of a completion.
#[derive(Clone, Copy)]
enum Kind {
    Chat,
    Text,
}

pub(super) async fn chat(
    shared: web::Data<Shared>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    complete(&shared, &request, payload, Kind::Chat).await
}

pub(super) async fn text(
    shared: web::Data<Shared>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    complete(&shared, &request, payload, Kind::Text).await
}

async fn complete(
    shared: &Shared,
    request: &HttpRequest,
    payload: web::Payload,
    kind: Kind,
) -> HttpResponse {
    match try_complete(shared, request, payload, kind).await {
        Ok(response) => response,
        Err(problem) => problem.response(),
    }
}

async fn try_complete(
    shared: &Shared,
    request: &HttpRequest,
    payload: web::Payload,
    kind: Kind,
) -> Result<HttpResponse, Problem> {
    let key = api_key(request).ok_or_else(|| Problem::new(Code::NoCustomer))?;
    let body = body::read(payload, &shared.limits).await?;
    let (parsed, streamed) = read(shared, &body, kind)?;
    let request_kind = parsed.kind.clone();
    let prompt = parsed.prompt;
    let submit = shared
        .core
        .send(Submit {
            key,
            request: parsed,
            id: None,
        })
        .await;
    let answer = submit
        .map_err(|_closed| Problem::new(Code::Internal))?
        .map_err(Problem::new)?;
    if streamed {
        stream::respond(shared, answer, 0).await
    } else {
        buffered::completion(shared, answer, &request_kind, prompt).await
    }
}

/// Parses a completion request; returns it and whether the caller wants a stream.
fn read(shared: &Shared, body: &[u8], kind: Kind) -> Result<(CallerRequest, bool), Problem> {
    let bad = |detail: String| Problem::new(Code::BadBody).detail(detail);
    let mut value: Value = serde_json::from_slice(body).map_err(|e| bad(e.to_string()))?;
    let fields: Completion =
        serde_json::from_value(value.clone()).map_err(|e| bad(e.to_string()))?;
    let field = match kind {
        Kind::Chat => "messages",
        Kind::Text => "prompt",
    };
    let prompt = value
        .get(field)
        .ok_or_else(|| bad(format!("{field}: missing")))?
        .to_string();
    let service = service(shared, &fields.model)
        .ok_or_else(|| Problem::new(Code::NoRoute).detail(format!("model: {:?}", fields.model)))?;
    value["stream"] = Value::Bool(true);
    let model = ModelId::from(fields.model.as_str());
    let parsed = CallerRequest {
        service: service.id.clone(),
        route: model.clone(),
        idempotent: true,
        blocks: prompt::blocks(prompt.as_bytes()),
        prompt: prompt::tokens(prompt.as_bytes()),
        answer: fields
            .max_completion_tokens
            .or(fields.max_tokens)
            .unwrap_or(DEFAULT_ANSWER_TOKENS),
        deadline: Instant::now() + Duration::from_millis(service.deadline_ms),
        kind: match kind {
            Kind::Chat => RequestKind::Chat { model },
            Kind::Text => RequestKind::Text { model },
        },
        body: value.to_string().into(),
    };
    Ok((parsed, fields.stream))
}

fn service<'a>(shared: &'a Shared, model: &str) -> Option<&'a Service> {
    shared
        .services
        .iter()
        .find(|service| service.models.iter().any(|m| m == model))
}
