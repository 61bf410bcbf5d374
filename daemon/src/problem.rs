//! Error answers, as `application/problem+json` with a numbered code.

use std::time::Instant;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use poplarvale_lib::claims::Rejection;
use poplarvale_lib::protos::caller;
use poplarvale_lib::{Code, Ending, Ran, RequestId, hex};

/// An error answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// What happened.
    pub code: Code,
    /// What was wrong in this case.
    pub detail: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// When coming back helps.
    pub again: Option<Instant>,
    /// Request, if an id was given out.
    pub request: Option<RequestId>,
}

impl Problem {
    /// Refusal of something that did not run.
    pub fn new(code: Code) -> Self {
        Self {
            code,
            detail: String::new(),
            ran: Ran::No,
            again: None,
            request: None,
        }
    }

    /// Adds what was wrong.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// What a request's ending means to its caller, if it failed.
    pub fn of(ending: &Ending, request: RequestId) -> Option<Self> {
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
            again: retry_at,
            request: Some(request),
        })
    }

    /// Refusal of a request with an idempotency key.
    pub fn refused(refusal: &Rejection) -> Self {
        let other = refusal
            .running
            .map(|id| format!("the key belongs to request {}", hex(id)));
        Self {
            code: refusal.code,
            detail: other.unwrap_or_default(),
            ran: refusal.ran,
            again: refusal.retry_at,
            request: Some(refusal.request),
        }
    }

    /// The answer's body.
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

    /// The answer.
    pub fn response(&self) -> HttpResponse {
        let status =
            StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = HttpResponse::build(status);
        response.content_type("application/problem+json");
        if let Some(again) = self.again {
            response.insert_header(("retry-after", seconds_until(again).to_string()));
        }
        if let Some(id) = self.request {
            response.insert_header(("x-request-id", hex(id).as_str()));
        }
        response.body(serde_json::to_string(&self.body()).unwrap_or_default())
    }
}

/// Whole seconds to wait, rounded up so that nobody comes back too early.
fn seconds_until(again: Instant) -> u64 {
    let wait = again.saturating_duration_since(Instant::now());
    (wait.as_millis().div_ceil(1000) as u64).max(1)
}
