//! Calls to plain HTTP services.

use std::time::{Duration, Instant};

use actix_web::{HttpRequest, HttpResponse, web};
use compact_str::{CompactString, format_compact};
use poplarvale_lib::claims::Key;
use poplarvale_lib::{Code, Route, Service, ServiceKind};
use xxhash_rust::xxh3::Xxh3;

use super::{Shared, api_key, body, buffered, forward};
use crate::claims::{Outcome, SubmitKeyed};
use crate::core::{Authenticate, Submit};
use crate::headers::{forwardable, pairs};
use crate::job::{CallerRequest, RequestKind};
use crate::problem::Problem;

pub(super) async fn call(
    shared: web::Data<Shared>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    payload: web::Payload,
) -> HttpResponse {
    let (service, rest) = path.into_inner();
    match try_call(&shared, &request, &service, &rest, payload).await {
        Ok(response) => response,
        Err(problem) => problem.response(),
    }
}

async fn try_call(
    shared: &Shared,
    request: &HttpRequest,
    service: &str,
    rest: &str,
    payload: web::Payload,
) -> Result<HttpResponse, Problem> {
    let key = api_key(request).ok_or_else(|| Problem::new(Code::NoCustomer))?;
    let path = format_compact!("/{rest}");
    let (service, route) = find(shared, service, request.method().as_str(), &path)
        .ok_or_else(|| Problem::new(Code::NoRoute).detail(request.path()))?;
    let body = body::read(payload, &shared.limits).await?;
    let parsed = CallerRequest {
        service: service.id.clone(),
        route: format_compact!("{} {}", route.method, route.path),
        idempotent: route.repeatable,
        blocks: Vec::new(),
        prompt: 0,
        answer: 0,
        deadline: Instant::now() + Duration::from_millis(route.deadline_ms),
        kind: RequestKind::Plain {
            method: request.method().as_str().into(),
            target: target(&path, request.query_string()),
            headers: forwardable(pairs(request.headers())),
        },
        body,
    };
    let named = request.headers().get("idempotency-key");
    if let (Some(idempotency_key), false) = (named, parsed.idempotent) {
        let idempotency_key = idempotency_key.to_str().ok().and_then(Key::parse);
        let idempotency_key = idempotency_key.ok_or_else(|| Problem::new(Code::BadKey))?;
        return run_keyed(shared, request, key, idempotency_key, parsed).await;
    }
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
    buffered::plain(shared, answer).await
}

/// Runs a request with an idempotency key, unless it has already run.
async fn run_keyed(
    shared: &Shared,
    request: &HttpRequest,
    key: String,
    idempotency_key: Key,
    parsed: CallerRequest,
) -> Result<HttpResponse, Problem> {
    let internal = || Problem::new(Code::Internal);
    let customer = shared.core.send(Authenticate(key.clone())).await;
    let customer = customer
        .map_err(|_closed| internal())?
        .map_err(Problem::new)?;
    let body = parsed.body.clone();
    let submit = SubmitKeyed {
        key,
        digest: fingerprint(request, &customer, &body),
        customer,
        idempotency_key,
        request: parsed,
        forwarded: forward::is_forwarded(request),
    };
    let outcome = shared
        .claims
        .send(submit)
        .await
        .map_err(|_closed| internal())?;
    match outcome {
        Outcome::Running(answer) => buffered::plain(shared, answer).await,
        Outcome::Replayed(answer) => Ok(buffered::replay(answer)),
        Outcome::Forward(daemon) => forward::forward(daemon, request, body).await,
        Outcome::Rejected(rejection) => Err(Problem::rejected(&rejection)),
    }
}

/// Fingerprint that distinguishes a retry from a different request under the same key.
fn fingerprint(request: &HttpRequest, customer: &str, body: &[u8]) -> u128 {
    let mut hash = Xxh3::new();
    for part in [
        request.method().as_str(),
        &request.uri().to_string(),
        customer,
    ] {
        hash.update(part.as_bytes());
        hash.update(&[0]);
    }
    hash.update(body);
    hash.digest128()
}

fn find<'a>(
    shared: &'a Shared,
    service: &str,
    method: &str,
    path: &str,
) -> Option<(&'a Service, &'a Route)> {
    let service = shared.services.iter().find(|s| s.id == service)?;
    if service.kind != ServiceKind::Plain {
        return None;
    }
    let route = service
        .routes
        .iter()
        .find(|route| route.matches(method, path))?;
    Some((service, route))
}

fn target(path: &str, query: &str) -> CompactString {
    if query.is_empty() {
        path.into()
    } else {
        format_compact!("{path}?{query}")
    }
}
