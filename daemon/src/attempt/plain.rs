//! Calls a plain service over a new connection.
//!
//! Non-idempotent requests need two distinctions that awc does not make. It reports a connection
//! that broke after the request was read as one that was never established, so a booking that ran
//! would be reported as not run. And it reports a truncated chunked response as one that ended, so
//! half an answer would count as complete. Requests are sent and responses read as by the relay, which
//! distinguishes both and takes nothing malformed for an answer.

use actix_web::http::Uri;
use bytes::{BufMut as _, Bytes, BytesMut};
use compact_str::{CompactString, format_compact};
use poplarvale_lib::http1::{Field, OnlyRequest, Response, ResponsePart};
use poplarvale_lib::{Code, NotSent, Outcome, Send, hex};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{CONNECT_TIMEOUT, piece_outcome};
use crate::answer::Head;
use crate::headers::forwardable;
use crate::job::Job;
use crate::relay::buffered_stream::BufferedStream;
use crate::relay::exchange::{ExchangeError, Outgoing, Sending, read_framed};
use crate::relay::held::HeldBytes;

/// Methods whose requests state the length of their body, also if that is empty.
const METHODS_WITH_BODY: [&str; 3] = ["PATCH", "POST", "PUT"];

/// Request to a plain service.
pub(super) struct Call<'a> {
    pub(super) method: &'a CompactString,
    pub(super) target: &'a CompactString,
    pub(super) headers: &'a [(CompactString, Bytes)],
    /// Size limit of the answer.
    pub(super) max_bytes: usize,
}

pub(super) async fn run(job: &Job, send: &Send, call: Call<'_>) -> Outcome {
    // Percent encoding was decoded, so a target may contain what ends a request line.
    if call.target.parse::<Uri>().is_err() {
        return Outcome::Unsent(NotSent::unconnected());
    }
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(send.address)).await;
    let Ok(Ok(stream)) = connected else {
        return Outcome::Unsent(NotSent::unconnected());
    };
    let mut conn = BufferedStream::new(stream);
    match exchange(&mut conn, job, send, &call).await {
        Ok((head, body)) => add_answer(job, send, &head, body),
        Err(ExchangeError::NotSent(proof)) => Outcome::Unsent(proof),
        Err(error) => {
            log::debug!("attempt: call of {} failed: {error}.", send.address);
            let code = match error {
                ExchangeError::TooLong => Code::LargeAnswer,
                _ => Code::Broken,
            };
            Outcome::Failed { code }
        }
    }
}

/// Sends the request and reads the complete response.
async fn exchange(
    conn: &mut BufferedStream,
    job: &Job,
    send: &Send,
    call: &Call<'_>,
) -> Result<(Response, Bytes), ExchangeError> {
    let request = Outgoing::new(request_head(job, send, call), &job.body);
    let mut sending = Sending::new(conn, &request);
    let head = match sending.next(&OnlyRequest).await? {
        ResponsePart::Own(response) if response.is_intact() => response.into_head(),
        _ => return Err(ExchangeError::Invalid),
    };
    let begun = sending.sent(None);
    let memory = HeldBytes::of_answer(call.max_bytes).begin();
    let body = read_framed(conn, head.framing, begun, memory).await?;
    Ok((head, body))
}

fn request_head(job: &Job, send: &Send, call: &Call<'_>) -> BytesMut {
    let mut out = BytesMut::with_capacity(1024);
    let Call { method, target, .. } = call;
    let begin = format_compact!(
        "{method} {target} HTTP/1.1\r\nhost: {}\r\nx-attempt-id: {}\r\n",
        send.address,
        hex(send.attempt)
    );
    out.put_slice(begin.as_bytes());
    for (name, value) in call.headers {
        out.put_slice(name.as_bytes());
        out.put_slice(b": ");
        out.put_slice(value);
        out.put_slice(b"\r\n");
    }
    if !job.body.is_empty() || METHODS_WITH_BODY.contains(&method.as_str()) {
        let length = format_compact!("content-length: {}\r\n", job.body.len());
        out.put_slice(length.as_bytes());
    }
    out.put_slice(b"\r\n");
    out
}

fn add_answer(job: &Job, send: &Send, response: &Response, body: Bytes) -> Outcome {
    let status = response.status;
    let lowercase = |(name, value): &Field| {
        let name = String::from_utf8_lossy(name).to_ascii_lowercase();
        (name, value.clone())
    };
    let fields: Vec<(String, Bytes)> = response.fields.0.iter().map(lowercase).collect();
    let pairs = fields
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_ref()));
    let head = Head {
        status,
        headers: forwardable(pairs),
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
