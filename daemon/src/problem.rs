//! Error responses, as `application/problem+json` with a numbered code.

use std::time::Instant;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use poplarvale_lib::claims::Rejection;
use poplarvale_lib::protos::caller;
use poplarvale_lib::{Code, Ending, Ran, RequestId, hex};

/// An error response.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// Numbered cause.
    pub code: Code,
    /// Detail of this case.
    pub detail: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// Earliest time at which a retry may succeed.
    pub retry_at: Option<Instant>,
    /// Request, if an id was issued.
    pub request: Option<RequestId>,
}

impl Problem {
    /// Error for a request that did not run.
    pub fn new(code: Code) -> Self {
        Self {
            code,
            detail: String::new(),
            ran: Ran::No,
            retry_at: None,
            request: None,
        }
    }

    /// Sets the detail.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Error that tells a caller how its request failed; none if it completed.
    pub fn from_ending(ending: &Ending, request: RequestId) -> Option<Self> {
        let (code, ran, retry_at) = match *ending {
            Ending::Complete { .. } => return None,
            Ending::Failed {
                code,
                ran,
                retry_at,
            } => (code, ran, retry_at),
            Ending::CallerLeft => (Code::NoRequest, Ran::Unknown, None),
        };
        Some(Self {
            code,
            detail: String::new(),
            ran,
            retry_at,
            request: Some(request),
        })
    }

    /// Rejection of a request with an idempotency key.
    pub fn rejected(rejection: &Rejection) -> Self {
        let other = rejection
            .running
            .map(|id| format!("the key belongs to request {}", hex(id)));
        Self {
            code: rejection.code,
            detail: other.unwrap_or_default(),
            ran: rejection.ran,
            retry_at: rejection.retry_at,
            request: Some(rejection.request),
        }
    }

    /// Body of the response.
    pub fn body(&self) -> caller::Problem {
        caller::Problem {
            r#type: format!("urn:poplarvale:code:{}", self.code.number()),
            title: self.code.title().to_owned(),
            status: u32::from(self.code.status()),
            code: self.code.number(),
            detail: self.detail.clone(),
            ran: self.ran.word().to_owned(),
            request: self
                .request
                .map(|id| hex(id).to_string())
                .unwrap_or_default(),
        }
    }

    /// The HTTP response.
    pub fn response(&self) -> HttpResponse {
        let status =
            StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = HttpResponse::build(status);
        response.content_type("application/problem+json");
        if let Some(retry_at) = self.retry_at {
            response.insert_header(("retry-after", seconds_until(retry_at).to_string()));
        }
        if let Some(id) = self.request {
            response.insert_header(("x-request-id", hex(id).as_str()));
        }
        response.body(serde_json::to_string(&self.body()).unwrap_or_default())
    }
}

/// Whole seconds to wait, rounded up so that no caller retries too early.
fn seconds_until(retry_at: Instant) -> u64 {
    let wait = retry_at.saturating_duration_since(Instant::now());
    (wait.as_millis().div_ceil(1000) as u64).max(1)
}
