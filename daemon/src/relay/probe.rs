//! Readiness checks of the load balancer.

use std::rc::Rc;

use bytes::BytesMut;
use poplarvale_lib::http1::Request;
use poplarvale_lib::{Code, Ran};
use poplarvale_platform::{is_ready_probe, rejection_response};
use tokio::net::TcpStream;

use super::plain_server::serve_plain;
use super::state::State;

/// The answer of a ready daemon.
const READY: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Answers the readiness checks of one connection until it ends.
pub(crate) async fn serve_probe(state: Rc<State>, stream: TcpStream) {
    serve_plain(state, stream, answer).await;
}

fn answer(state: &State, request: &Request) -> BytesMut {
    if !is_ready_probe(request) {
        return rejection_response(Code::NoRoute, Ran::No, None, None, request.keep_alive);
    }
    if state.is_ready() {
        return BytesMut::from(READY);
    }
    let code = if state.phase().is_serving() {
        Code::NoLists
    } else {
        Code::Draining
    };
    rejection_response(code, Ran::No, None, None, request.keep_alive)
}
