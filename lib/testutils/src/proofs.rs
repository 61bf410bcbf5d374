//! Proofs for tests of decisions that need one.

use bytes::BytesMut;
use poplarvale_lib::NotRun;
use poplarvale_lib::http1::{OnlyRequest, ResponsePart, ResponseReader};

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
