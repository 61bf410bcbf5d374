//! Lets callers fetch the answer to an earlier request from any daemon.
//!
//! The daemon that admitted the request keeps its answer, and the request's id names that daemon.
//! Every other daemon forwards the call to it.

use actix_web::{HttpRequest, HttpResponse, web};
use poplarvale_lib::{Code, RequestId, from_hex, issuer};

use super::{Shared, api_key, buffered, forward, stream};
use crate::core::FindAnswer;
use crate::fleet::CallersAddress;
use crate::problem::Problem;

pub(super) async fn get(
    shared: web::Data<Shared>,
    request: HttpRequest,
    id: web::Path<String>,
) -> HttpResponse {
    match answer(&shared, &request, &id).await {
        Ok(response) => response,
        Err(problem) => problem.response(),
    }
}

async fn answer(shared: &Shared, request: &HttpRequest, id: &str) -> Result<HttpResponse, Problem> {
    let id = from_hex(id).ok_or_else(|| Problem::new(Code::NoRequest))?;
    match find(shared, request, id).await {
        Err(problem) if problem.code == Code::NoRequest => {
            forward_to_holder(shared, request, id).await
        }
        found => found,
    }
}

/// Forwards the call to the daemon that issued the id.
async fn forward_to_holder(
    shared: &Shared,
    request: &HttpRequest,
    id: RequestId,
) -> Result<HttpResponse, Problem> {
    let none = || Problem::new(Code::NoRequest);
    if forward::is_forwarded(request) {
        return Err(none());
    }
    let holder = shared.fleet.send(CallersAddress(issuer(id))).await;
    let holder = holder.ok().flatten().ok_or_else(none)?;
    forward::forward(holder, request, web::Bytes::new())
        .await
        .map_err(|_unreachable| none())
}

async fn find(
    shared: &Shared,
    request: &HttpRequest,
    id: RequestId,
) -> Result<HttpResponse, Problem> {
    let key = api_key(request).ok_or_else(|| Problem::new(Code::NoCustomer))?;
    let from = resume_from(request, id)?;
    let found = shared.core.send(FindAnswer { key, id }).await;
    let (answer, kind) = found
        .map_err(|_closed| Problem::new(Code::Internal))?
        .map_err(Problem::new)?;
    if kind.model().is_some() {
        stream::respond(shared, answer, from).await
    } else {
        buffered::plain(shared, answer).await
    }
}

/// Index of the first piece that the caller lacks, from its `Last-Event-Id`.
fn resume_from(request: &HttpRequest, id: RequestId) -> Result<usize, Problem> {
    let Some(last) = request.headers().get("last-event-id") else {
        return Ok(0);
    };
    let bad = || Problem::new(Code::BadResume);
    let last = last.to_str().map_err(|_malformed| bad())?;
    let (request, at) = last.split_once('-').ok_or_else(bad)?;
    let at: usize = at.parse().map_err(|_malformed| bad())?;
    if from_hex(request) != Some(id) {
        return Err(bad());
    }
    at.checked_add(1).ok_or_else(bad)
}
