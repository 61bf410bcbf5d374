//! Life cycle of a request, encoded in types.
//!
//! A request waits, runs at an endpoint and ends. Only a running idempotent request has
//! a method that makes it wait again. A non-idempotent one can wait again only with a
//! [`NotSent`], which the connection code creates only if no byte of the request was
//! sent to the endpoint. A bug in a system therefore cannot send, for example, a booking
//! twice: it would not compile.

use std::marker::PhantomData;
use std::time::Instant;

use compact_str::CompactString;

use crate::code::{Code, Ran};
use crate::ids::{AttemptId, CustomerId, EndpointId, ModelId, RequestId, ServiceId, VersionId};
use crate::proof::NotSent;
use crate::table::Row;

/// What a caller requested; it never changes after arrival.
#[proc_macros::row]
pub struct Order {
    /// Id of the request.
    pub id: RequestId,
    /// Customer that sent it.
    pub customer: CustomerId,
    /// Requested service.
    pub service: ServiceId,
    /// Route of a plain service, as `METHOD path`, or the model.
    pub route: CompactString,
    /// Requested model, for model services.
    pub model: Option<ModelId>,
    /// Whether the request is idempotent.
    pub idempotent: bool,
    /// Hash chain over the blocks of the prompt, to find cached prefixes.
    pub blocks: Vec<u64>,
    /// Estimated number of prompt tokens.
    pub prompt: u32,
    /// Estimated maximum number of answer tokens.
    pub answer: u32,
    /// When it arrived.
    pub arrived: Instant,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
}

impl Order {
    /// Maximum number of tokens that it costs, prompt and answer.
    pub fn work(&self) -> u32 {
        self.prompt.saturating_add(self.answer).max(1)
    }
}

/// Marks a request that is idempotent and may be retried.
#[proc_macros::row]
pub struct Idempotent;

/// Marks a request that is not idempotent and may run at most once.
#[proc_macros::row]
pub struct NonIdempotent;

/// A request that waits for an endpoint.
#[proc_macros::row]
pub struct Waiting {
    /// What the caller requested.
    pub order: Order,
    /// Number of attempts so far.
    pub tries: u32,
    /// Number of answer tokens that the caller has received.
    pub delivered: u32,
    /// Endpoints that it failed at.
    pub failed: Vec<EndpointId>,
    /// Whether an attempt of it may have run.
    pub ran: Ran,
}

/// A request that was sent to an endpoint.
#[proc_macros::row]
pub struct Running<K> {
    /// What the caller requested.
    pub order: Order,
    /// Id of this attempt.
    pub attempt: AttemptId,
    /// Endpoint it was sent to.
    pub endpoint: EndpointId,
    /// Version of the endpoint at that time.
    pub version: VersionId,
    /// When it was sent.
    pub sent: Instant,
    /// When the first token arrived.
    pub first: Option<Instant>,
    /// Number of answer tokens that the caller has received.
    pub delivered: u32,
    /// Number of attempts, including this one.
    pub tries: u32,
    /// Endpoints that it failed at.
    pub failed: Vec<EndpointId>,
    /// Whether an earlier attempt may have run.
    pub ran: Ran,
    kind: PhantomData<K>,
}

/// How a request ended.
#[proc_macros::row]
pub enum Ending {
    /// Answered completely.
    Complete {
        /// HTTP status of the answer.
        status: u16,
    },
    /// Not answered.
    Failed {
        /// Error code.
        code: Code,
        /// Whether an attempt may have run.
        ran: Ran,
        /// When a retry may succeed; none if it cannot.
        retry_at: Option<Instant>,
    },
    /// The caller disconnected.
    CallerLeft,
}

/// One attempt of a request at an endpoint.
#[proc_macros::row]
pub struct Attempt {
    /// Id of this attempt.
    pub id: AttemptId,
    /// Endpoint it is sent to.
    pub endpoint: EndpointId,
    /// Version of the endpoint.
    pub version: VersionId,
    /// When it is sent.
    pub sent: Instant,
}

impl Waiting {
    /// A request that was just admitted.
    pub fn new(order: Order) -> Self {
        Self {
            order,
            tries: 0,
            delivered: 0,
            failed: Vec::new(),
            ran: Ran::No,
        }
    }

    /// Starts an attempt, which can be retried only if the order is idempotent.
    pub fn send(self, attempt: Attempt) -> Request {
        if self.order.idempotent {
            Request::Idempotent(self.run(attempt))
        } else {
            Request::NonIdempotent(self.run(attempt))
        }
    }

    fn run<K>(self, attempt: Attempt) -> Running<K> {
        Running {
            order: self.order,
            attempt: attempt.id,
            endpoint: attempt.endpoint,
            version: attempt.version,
            sent: attempt.sent,
            first: None,
            delivered: self.delivered,
            tries: self.tries + 1,
            failed: self.failed,
            ran: self.ran,
            kind: PhantomData,
        }
    }
}

impl<K> Running<K> {
    fn wait(self, ran: Ran) -> Waiting {
        let mut failed = self.failed;
        failed.push(self.endpoint);
        Waiting {
            order: self.order,
            tries: self.tries,
            delivered: self.delivered,
            failed,
            ran,
        }
    }

    /// Makes it wait again, which is safe because nothing of it was sent.
    pub fn unsent(self, _proof: NotSent) -> Waiting {
        let ran = self.ran;
        self.wait(ran)
    }
}

impl Running<Idempotent> {
    /// Makes it wait for a retry.
    pub fn retry(self) -> Waiting {
        self.wait(Ran::Unknown)
    }

    /// Continues at another endpoint. Moving away from a reclaimed endpoint is not a
    /// failure of the request, so it does not count as an attempt. The request did run
    /// there: if the next endpoint rejects it, the caller must not be told that it did not
    /// run.
    #[must_use]
    pub fn move_to(self, attempt: Attempt) -> Self {
        Self {
            attempt: attempt.id,
            endpoint: attempt.endpoint,
            version: attempt.version,
            sent: attempt.sent,
            first: None,
            ran: Ran::Unknown,
            ..self
        }
    }
}

/// A request in any state before its end.
#[proc_macros::row]
pub enum Request {
    /// Waits for an endpoint.
    Waiting(Waiting),
    /// Runs and may be retried.
    Idempotent(Running<Idempotent>),
    /// Runs and must not be retried.
    NonIdempotent(Running<NonIdempotent>),
}

impl Request {
    /// What the caller requested.
    pub fn order(&self) -> &Order {
        match self {
            Self::Waiting(r) => &r.order,
            Self::Idempotent(r) => &r.order,
            Self::NonIdempotent(r) => &r.order,
        }
    }

    /// Id of the current attempt, while it runs.
    pub fn attempt(&self) -> Option<AttemptId> {
        match self {
            Self::Waiting(_) => None,
            Self::Idempotent(r) => Some(r.attempt),
            Self::NonIdempotent(r) => Some(r.attempt),
        }
    }

    /// Endpoint it runs at.
    pub fn endpoint(&self) -> Option<&EndpointId> {
        match self {
            Self::Waiting(_) => None,
            Self::Idempotent(r) => Some(&r.endpoint),
            Self::NonIdempotent(r) => Some(&r.endpoint),
        }
    }

    /// Records the number of tokens that the caller has received, reported by the running attempt.
    pub fn record_progress(&mut self, now: Instant, delivered: u32) {
        let (first, count) = match self {
            Self::Waiting(_) => return,
            Self::Idempotent(r) => (&mut r.first, &mut r.delivered),
            Self::NonIdempotent(r) => (&mut r.first, &mut r.delivered),
        };
        first.get_or_insert(now);
        *count = (*count).max(delivered);
    }

    /// Records the number of tokens that the caller has received, reported by any attempt.
    pub fn record_delivered(&mut self, delivered: u32) {
        let count = match self {
            Self::Waiting(r) => &mut r.delivered,
            Self::Idempotent(r) => &mut r.delivered,
            Self::NonIdempotent(r) => &mut r.delivered,
        };
        *count = (*count).max(delivered);
    }
}

impl Row for Request {
    type Id = RequestId;
    fn id(&self) -> &RequestId {
        &self.order().id
    }
}
