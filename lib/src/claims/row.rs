//! Row of a claim in the key-value service.

use bytes::Bytes;
use prost::Message as _;

use super::{Answer, Digest, Sequence};
use crate::ids::{Incarnation, RequestId};
use crate::protos::platform as wire;
use crate::store::StoredValue;

/// Maximum size in bytes of an answer's body that is kept in the service. A
/// confirmation has a few hundred bytes; a larger answer is known to the holder only,
/// as long as the holder lives.
pub const MAX_STORED_BODY: usize = 16 << 10;

/// Stage of a claim that its row records.
#[proc_macros::row]
#[derive(Eq)]
pub(crate) enum Stage {
    Running,
    Answered(Answer),
    Unknown,
}

/// Contents of a row.
#[proc_macros::row]
#[derive(Eq)]
pub(crate) struct ClaimRow {
    pub holder: Incarnation,
    pub sequence: Sequence,
    pub digest: Digest,
    pub request: RequestId,
    pub stage: Stage,
}

impl ClaimRow {
    /// Decodes a row; one that cannot be decoded has no holder and an unknown outcome.
    pub fn decode(stored: &StoredValue) -> Self {
        let wire = wire::Claim::decode(stored.value.clone());
        let wire = wire.unwrap_or_else(|_unreadable| wire::Claim {
            stage: wire::Stage::Unknown.into(),
            ..wire::Claim::default()
        });
        let stage = match (wire.stage(), &wire.answer) {
            (wire::Stage::Running, _) => Stage::Running,
            (wire::Stage::Finished, Some(answer)) => Stage::Answered(decode_answer(answer)),
            _ => Stage::Unknown,
        };
        Self {
            holder: wire.holder,
            sequence: wire.sequence,
            digest: decode_u128(&wire.digest),
            request: decode_u128(&wire.request),
            stage,
        }
    }

    /// Encodes the row as a value of the service.
    pub fn encode(&self) -> Bytes {
        let (stage, answer) = match &self.stage {
            Stage::Running => (wire::Stage::Running, None),
            Stage::Answered(answer) if answer.body.len() <= MAX_STORED_BODY => {
                (wire::Stage::Finished, Some(encode_answer(answer)))
            }
            Stage::Answered(_) | Stage::Unknown => (wire::Stage::Unknown, None),
        };
        let wire = wire::Claim {
            holder: self.holder,
            sequence: self.sequence,
            digest: self.digest.to_be_bytes().to_vec(),
            request: self.request.to_be_bytes().to_vec(),
            stage: stage.into(),
            answer,
        };
        wire.encode_to_vec().into()
    }
}

fn decode_answer(wire: &wire::StoredAnswer) -> Answer {
    Answer {
        status: wire.status as u16,
        content: wire.content.as_str().into(),
        body: wire.body.clone(),
    }
}

fn encode_answer(answer: &Answer) -> wire::StoredAnswer {
    wire::StoredAnswer {
        status: answer.status.into(),
        content: answer.content.to_string(),
        body: answer.body.clone(),
    }
}

fn decode_u128(bytes: &[u8]) -> u128 {
    let number = bytes.try_into().map(u128::from_be_bytes);
    number.unwrap_or_default()
}
