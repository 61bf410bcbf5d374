//! The parts of a request that the daemon keeps outside the core: kind, body and answer.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use compact_str::CompactString;
use poplarvale_lib::{ModelId, RequestId, Row, ServiceId};

use crate::answer::Answer;

/// A caller's request, parsed and validated against the settings.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Service that the request is for.
    pub service: ServiceId,
    /// Route of a plain service, as `METHOD path`, or the model.
    pub route: CompactString,
    /// Whether running the request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Chained hashes of the prompt's blocks.
    pub blocks: Vec<u64>,
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Maximum number of answer tokens.
    pub answer: u32,
    /// When the answer must be complete.
    pub deadline: Instant,
    /// Kind of the request, which gives the form of the call to the endpoint.
    pub kind: RequestKind,
    /// Request body that is sent to the endpoint.
    pub body: Bytes,
}

/// Kind of a request: how the endpoint is called.
#[derive(Clone, Debug)]
pub enum RequestKind {
    /// Chat completion.
    Chat {
        /// Requested model.
        model: ModelId,
    },
    /// Plain completion.
    Text {
        /// Requested model.
        model: ModelId,
    },
    /// Request to a plain service.
    Plain {
        /// HTTP method.
        method: CompactString,
        /// Path and query.
        target: CompactString,
        /// Headers that are forwarded.
        headers: Vec<(CompactString, Bytes)>,
    },
}

impl RequestKind {
    /// Requested model, for model services.
    pub fn model(&self) -> Option<&ModelId> {
        match self {
            Self::Chat { model } | Self::Text { model } => Some(model),
            Self::Plain { .. } => None,
        }
    }
}

/// A request's kind, body and answer. Kept for some time after the request has ended.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: RequestId,
    pub(crate) kind: Arc<RequestKind>,
    pub(crate) body: Bytes,
    pub(crate) answer: Arc<Answer>,
}

impl Row for Job {
    type Id = RequestId;
    fn id(&self) -> &RequestId {
        &self.id
    }
}
