//! HTTP interface for callers: completions, plain services, idempotency keys and answers that are
//! fetched again.

mod body;
mod buffered;
mod completions;
mod forward;
mod keys;
mod requests;
mod services;
mod stream;

use std::sync::Arc;

use actix::Addr;
use actix_web::{HttpRequest, HttpResponse, web};
use poplarvale_lib::{Code, Limits, Service};

use crate::claims::Claims;
use crate::core::Core;
use crate::fleet::Fleet;
use crate::metrics::Metrics;
use crate::problem::Problem;

/// State shared by the request handlers.
#[derive(Clone)]
pub struct Shared {
    pub(crate) core: Addr<Core>,
    pub(crate) fleet: Addr<Fleet>,
    pub(crate) claims: Addr<Claims>,
    pub(crate) services: Arc<[Service]>,
    pub(crate) limits: Limits,
    pub(crate) metrics: Arc<Metrics>,
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shared")
            .field("services", &self.services)
            .finish_non_exhaustive()
    }
}

/// Registers the routes of the callers' port.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/v1/chat/completions", web::post().to(completions::chat))
        .route("/v1/completions", web::post().to(completions::text))
        .route("/v1/keys", web::post().to(keys::issue))
        .route("/v1/requests/{id}", web::get().to(requests::get))
        .route("/services/{service}/{rest:.*}", web::to(services::call))
        .default_service(web::to(no_route));
}

async fn no_route(request: HttpRequest) -> HttpResponse {
    Problem::new(Code::NoRoute)
        .detail(request.path())
        .response()
}

/// API key of a request, from its bearer token; none if it is missing or blank.
fn api_key(request: &HttpRequest) -> Option<String> {
    let header = request.headers().get("authorization")?.to_str().ok()?;
    let key = header.strip_prefix("Bearer ")?.trim();
    (!key.is_empty()).then(|| key.to_owned())
}
