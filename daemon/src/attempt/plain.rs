//! Calls a plain service over a new connection.
//!
//! Non-idempotent requests need two distinctions that awc does not make. It reports a connection
//! that broke after the request was read as one that was never established, so a booking that ran
//! would be reported as not run. And it reports a truncated chunked response as one that ended, so
//! half an answer would count as complete. hyper distinguishes both, and a connection made here is
//! known to be established before anything is written.

use std::error::Error;
use std::net::SocketAddr;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use poplarvale_lib::{Code, NotSent, Outcome, Send, hex};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::{CONNECT_TIMEOUT, piece_outcome};
use crate::answer::Head;
use crate::headers::forwardable;
use crate::job::Job;

/// Request to a plain service.
pub(super) struct Call<'a> {
    pub(super) method: &'a CompactString,
    pub(super) target: &'a CompactString,
    pub(super) headers: &'a [(CompactString, Bytes)],
    /// Size limit of the answer.
    pub(super) max_bytes: usize,
}

/// A connection that closes when the call ends or is cancelled.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub(super) async fn run(job: &Job, send: &Send, call: Call<'_>) -> Outcome {
    let Ok(request) = request(job, send, &call) else {
        // hyper rejected a header that the server's library accepted; nothing was sent.
        return Outcome::Unsent(NotSent::unconnected());
    };
    let mut connection = match connect(send.address).await {
        Ok(connection) => connection,
        Err(proof) => return Outcome::Unsent(proof),
    };
    let Ok(response) = connection.sender.send_request(request).await else {
        return Outcome::Failed { code: Code::Broken };
    };
    read_response(job, send, response, call.max_bytes).await
}

async fn connect(address: SocketAddr) -> Result<Connection, NotSent> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_late| NotSent::unconnected())?;
    let stream = stream.map_err(|_refused| NotSent::unconnected())?;
    let made = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = made.map_err(|_broken| NotSent::unconnected())?;
    let task = actix::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("attempt: connection to {address} failed: {error}.");
        }
    });
    Ok(Connection { sender, task })
}

fn request(
    job: &Job,
    send: &Send,
    call: &Call<'_>,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = Request::builder()
        .method(call.method.as_str())
        .uri(call.target.as_str())
        .header("host", send.address.to_string())
        .header("x-attempt-id", hex(send.attempt).as_str());
    for (name, value) in call.headers {
        request = request.header(name.as_str(), value.as_ref());
    }
    request.body(Full::new(job.body.clone()))
}

async fn read_response(
    job: &Job,
    send: &Send,
    response: Response<Incoming>,
    max_bytes: usize,
) -> Outcome {
    let status = response.status().as_u16();
    let (parts, body) = response.into_parts();
    let head = Head {
        status,
        headers: forwardable(pairs(&parts.headers)),
    };
    let body = match Limited::new(body, max_bytes).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            return Outcome::Failed {
                code: body_error(&*error),
            };
        }
    };
    let added = job
        .answer
        .set_head(send.attempt, head)
        .and_then(|()| job.answer.push(send.attempt, 0, body));
    match added {
        Ok(_) => Outcome::Complete { status },
        Err(error) => piece_outcome(error),
    }
}

fn pairs(headers: &HeaderMap) -> impl Iterator<Item = (&str, &[u8])> {
    headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
}

/// Code for a response body that could not be read.
fn body_error(error: &(dyn Error + 'static)) -> Code {
    if error.is::<LengthLimitError>() {
        Code::LargeAnswer
    } else {
        Code::Broken
    }
}
