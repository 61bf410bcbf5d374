//! Short questions of the platform and of operators, one listener each.

use std::rc::Rc;

use bytes::BytesMut;
use poplarvale_lib::http1::Request;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

use super::state::State;
use super::wire::fill;

/// Longest head of a question, in bytes.
const MOST_HEAD: usize = 4096;

/// Answers one connection's questions until it ends or asks what is no question.
pub(crate) async fn serve_questions(
    state: Rc<State>,
    mut stream: TcpStream,
    answer: fn(&State, &Request) -> BytesMut,
) {
    let (mut read, mut write) = stream.split();
    let mut buffer = BytesMut::new();
    loop {
        match Request::take(&mut buffer, MOST_HEAD) {
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
