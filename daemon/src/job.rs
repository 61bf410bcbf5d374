//! What a daemon keeps of a request besides what it decides by.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use compact_str::CompactString;
use poplarvale_lib::{ModelId, RequestId, Row, ServiceId};

use crate::answer::Answer;

/// A caller's request, read and checked against the settings.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Service that is to answer.
    pub service: ServiceId,
    /// Route of a plain service, as `METHOD path`, or the model.
    pub route: CompactString,
    /// Whether running it twice does the same as once.
    pub idempotent: bool,
    /// Hash chain over the prompt's blocks.
    pub blocks: Vec<u64>,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the answer at most.
    pub answer: u32,
    /// When the answer must be complete.
    pub deadline: Instant,
    /// What goes to the endpoint.
    pub kind: RequestKind,
    /// Body for the endpoint.
    pub body: Bytes,
}

/// How an endpoint is asked.
#[derive(Clone, Debug)]
pub enum RequestKind {
    /// Chat completion.
    Chat {
        /// Model asked.
        model: ModelId,
    },
    /// Plain completion.
    Text {
        /// Model asked.
        model: ModelId,
    },
    /// Call of a plain service.
    Plain {
        /// HTTP method.
        method: CompactString,
        /// Path and query.
        target: CompactString,
        /// Headers that are passed on.
        headers: Vec<(CompactString, Bytes)>,
    },
}

impl RequestKind {
    /// Model asked, for model services.
    pub fn model(&self) -> Option<&ModelId> {
        match self {
            Self::Chat { model } | Self::Text { model } => Some(model),
            Self::Plain { .. } => None,
        }
    }
}

/// A request's body and answer; kept for a while after its end.
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
