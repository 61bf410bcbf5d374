//! The balancer's questions for readiness.

use std::rc::Rc;

use bytes::BytesMut;
use poplarvale_lib::http1::Request;
use poplarvale_lib::{Code, Ran};
use poplarvale_platform::{is_ready_probe, refusal};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

use super::state::State;
use super::wire::fill;

/// Longest head of a question, in bytes.
const MOST_HEAD: usize = 4096;
/// The answer of a daemon that is ready.
const READY: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Answers questions on one connection until it ends.
pub(crate) async fn serve_probe(state: Rc<State>, mut stream: TcpStream) {
    let (mut read, mut write) = stream.split();
    let mut buffer = BytesMut::new();
    loop {
        match Request::take(&mut buffer, MOST_HEAD) {
            Ok(Some(request)) => {
                let out = answer(&state, &request);
                if write.write_all(&out).await.is_err() || !request.keep {
                    return;
                }
            }
            Ok(None) => {
                if !matches!(fill(&mut read, &mut buffer).await, Ok(len) if len > 0) {
                    return;
                }
            }
            Err(_) => return,
        }
    }
}

fn answer(state: &State, request: &Request) -> BytesMut {
    if !is_ready_probe(request) {
        return refusal(Code::NoRoute, Ran::No, None, None, request.keep);
    }
    if state.is_ready() {
        return BytesMut::from(READY);
    }
    let code = match state.ending.get() {
        Some(_) => Code::Draining,
        None => Code::NoLists,
    };
    refusal(code, Ran::No, None, None, request.keep)
}
