//! Serves requests that have no body and are answered at once, such as readiness checks and
//! metrics; each kind has its own listener.

use std::rc::Rc;

use bytes::BytesMut;
use poplarvale_lib::http1::Request;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

use super::buffered_stream::fill;
use super::state::State;

/// Longest accepted request head.
const MAX_HEAD_BYTES: usize = 4096;

/// Answers the requests of one connection until it ends or sends an invalid one.
pub(crate) async fn serve_plain(
    state: Rc<State>,
    mut stream: TcpStream,
    answer: fn(&State, &Request) -> BytesMut,
) {
    let (mut read, mut write) = stream.split();
    let mut buffer = BytesMut::new();
    loop {
        match Request::take(&mut buffer, MAX_HEAD_BYTES) {
            Ok(Some(request)) => {
                let out = answer(&state, &request);
                if write.write_all(&out).await.is_err() || !request.keep_alive {
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
