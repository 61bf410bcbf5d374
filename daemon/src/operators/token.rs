//! Checks the operators' bearer token.

use actix_web::body::{BoxBody, MessageBody};
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::middleware::Next;
use actix_web::web;
use poplarvale_lib::Code;

use super::Shared;
use crate::peers::Token;
use crate::problem::Problem;

/// Middleware that rejects requests without the right token.
pub(super) async fn check(
    shared: web::Data<Shared>,
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<BoxBody>, actix_web::Error> {
    let header = request
        .headers()
        .get("authorization")
        .and_then(|h| h.to_str().ok());
    let shown = header
        .and_then(|h| h.strip_prefix("Bearer "))
        .and_then(Token::new);
    if !shown.is_some_and(|shown| shared.token.matches(&shown)) {
        log::warn!(
            "operators: rejecting {} {} without the right token.",
            request.method(),
            request.path()
        );
        let problem = Problem::new(Code::NoOperator).response();
        return Ok(request.into_response(problem));
    }
    next.call(request)
        .await
        .map(ServiceResponse::map_into_boxed_body)
}
