//! Forwards a caller's request to the daemon that has to answer it: the one that holds its answer
//! or its idempotency key.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder, web};
use poplarvale_lib::{Code, Ran};

use crate::headers::{forwardable, pairs};
use crate::problem::Problem;

/// Header of a request that another daemon has forwarded. Such a request is not forwarded again, so
/// two daemons that each take the other for the holder of the answer cannot forward it in a loop.
const FORWARDED: &str = "x-passed-on";
/// Timeout for the response head of the other daemon.
const RESPONSE_TIMEOUT: Duration = Duration::from_mins(1);

/// Whether another daemon has forwarded this request.
pub(super) fn is_forwarded(request: &HttpRequest) -> bool {
    request.headers().contains_key(FORWARDED)
}

/// Forwards a request to another daemon and streams its response back unchanged.
///
/// # Errors
/// If no response arrived; the other daemon may nevertheless have received the request.
pub(super) async fn forward(
    to: SocketAddr,
    request: &HttpRequest,
    body: web::Bytes,
) -> Result<HttpResponse, Problem> {
    let mut outgoing = awc::Client::builder()
        .timeout(RESPONSE_TIMEOUT)
        .finish()
        .request(
            request.method().clone(),
            format!("http://{to}{}", request.uri()),
        )
        .insert_header((FORWARDED, "1"));
    let credentials = ["authorization"].map(|name| (name, request.headers().get(name)));
    for (name, value) in credentials {
        if let Some(value) = value {
            outgoing = outgoing.insert_header((name, value.clone()));
        }
    }
    for (name, value) in forwardable(pairs(request.headers())) {
        outgoing = outgoing.insert_header((name.as_str(), value.as_ref()));
    }
    let response = outgoing.send_body(body).await.map_err(|error| {
        log::info!(
            "caller: no response from the daemon at {to}, the caller gets an error: {error}."
        );
        let mut problem = Problem::new(Code::Broken);
        problem.ran = Ran::Unknown;
        problem
    })?;
    let status = StatusCode::from_u16(response.status().as_u16());
    let mut answer = HttpResponseBuilder::new(status.unwrap_or(StatusCode::BAD_GATEWAY));
    for (name, value) in forwardable(pairs(response.headers())) {
        answer.append_header((name.as_str(), value.as_ref()));
    }
    Ok(answer.streaming(response))
}
