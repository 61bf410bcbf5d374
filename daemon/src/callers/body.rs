//! Reads the body of a caller's request within limits on its size and time.

use std::time::Duration;

use actix_web::web::{Bytes, Payload};
use poplarvale_lib::{Code, Limits};

use crate::problem::Problem;

/// Reads the whole body.
///
/// An endless body would fill the memory, and a slow one would occupy its connection; both are
/// rejected with a numbered error.
pub(super) async fn read(payload: Payload, limits: &Limits) -> Result<Bytes, Problem> {
    let max_bytes = limits.body_bytes as usize;
    let limit = Duration::from_millis(limits.body_ms);
    match tokio::time::timeout(limit, payload.to_bytes_limited(max_bytes)).await {
        Ok(Ok(Ok(body))) => Ok(body),
        Ok(Ok(Err(error))) => Err(Problem::new(Code::BadBody).detail(error.to_string())),
        Ok(Err(_)) => {
            let allowed = format!("allowed are {max_bytes} bytes");
            Err(Problem::new(Code::LargeBody).detail(allowed))
        }
        Err(_) => {
            let allowed = format!("allowed are {} ms", limits.body_ms);
            Err(Problem::new(Code::SlowBody).detail(allowed))
        }
    }
}
