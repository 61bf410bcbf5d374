//! Proofs for tests of decisions that need one.

use bytes::BytesMut;
use poplarvale_lib::NotRun;
use poplarvale_lib::http1::{Named, Response, ResponsePart, ResponseReader, ResponseRules};

/// Takes every response for that of the request.
struct OnlyRequest;

impl ResponseRules for OnlyRequest {
    fn named(&self, _response: &Response) -> Named {
        Named::Expected
    }

    fn is_formatted(&self, _field: &[u8]) -> bool {
        false
    }

    fn is_reason(&self, _status: &[u8], _begin: &[u8]) -> bool {
        false
    }

    fn is_marked(&self, _response: &Response) -> bool {
        false
    }
}

/// Proof that a request was not run, of a whole rejection.
///
/// # Panics
/// If a whole rejection proves nothing.
pub fn not_run() -> NotRun {
    let mut bytes = BytesMut::from("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
    let part = ResponseReader::default().next(&mut bytes, &OnlyRequest);
    let Ok(Some(ResponsePart::Own(response))) = part else {
        panic!("{part:?} is no response");
    };
    NotRun::stated(&response).expect("the response is whole")
}
