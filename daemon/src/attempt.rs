//! One attempt: a request sent to one endpoint over HTTP.

mod kv_transfer;
mod model;
mod plain;

pub(crate) use kv_transfer::{EarlierAttempt, KvTransfer};

use std::io;
use std::time::Duration;

use actix::Addr;
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};
use poplarvale_lib::{Code, Input, Limits, NotSent, Outcome, Send, hex};

use crate::answer::PieceError;
use crate::core::{Core, Report};
use crate::job::{Job, RequestKind};

/// Timeout for a connection. Endpoints are at most a few milliseconds away; one that takes a second
/// is gone or overloaded.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Connection pool for model engines, and the size limit of plain services' answers in bytes.
#[derive(Clone)]
pub(crate) struct Clients {
    pooled: Client,
    max_answer: usize,
}

impl Clients {
    pub(crate) fn new(limits: &Limits) -> Self {
        let connector = Connector::new().timeout(CONNECT_TIMEOUT).limit(0);
        // The core enforces deadlines by cancelling overdue attempts; the client has no timeout.
        let builder = Client::builder().disable_timeout().disable_redirects();
        Self {
            pooled: builder.connector(connector).finish(),
            max_answer: limits.answer_bytes as usize,
        }
    }
}

/// Transfers the KV cache of the earlier attempt, then sends the request as [`run`] does.
///
/// The new attempt may add to the answer only after the transfer; until then the earlier one still
/// may.
pub(crate) async fn run_after_transfer(
    clients: Clients,
    job: Job,
    send: Send,
    core: Addr<Core>,
    transfer: KvTransfer,
) {
    transfer.run(&clients.pooled, send.address).await;
    job.answer.set_attempt(send.attempt);
    run(clients, job, send, core).await;
}

/// Sends a request, adds the response to the answer and reports the outcome to the core.
pub(crate) async fn run(clients: Clients, job: Job, send: Send, core: Addr<Core>) {
    let client = &clients.pooled;
    let outcome = match &*job.kind {
        RequestKind::Chat { .. } => {
            model::run(client, &job, &send, &core, "/v1/chat/completions").await
        }
        RequestKind::Text { .. } => model::run(client, &job, &send, &core, "/v1/completions").await,
        RequestKind::Plain {
            method,
            target,
            headers,
        } => {
            let call = plain::Call {
                method,
                target,
                headers,
                max_bytes: clients.max_answer,
            };
            plain::run(&job, &send, call).await
        }
    };
    if let Outcome::Failed { code } = &outcome {
        let id = hex(send.attempt);
        log::info!(
            "attempt: {id} failed at {}: {}",
            send.endpoint,
            code.title()
        );
    }
    let ended = Input::Ended {
        attempt: send.attempt,
        request: send.request,
        outcome,
    };
    core.do_send(Report(ended));
}

/// Outcome of an attempt whose pooled connection failed.
///
/// Only a connection timeout or a refused connection proves that nothing was sent: the client also
/// reports a connection that broke later as `Connect`.
fn connection_outcome(error: &SendRequestError) -> Outcome {
    match error {
        SendRequestError::Connect(ConnectError::Timeout) => Outcome::Unsent(NotSent::unconnected()),
        SendRequestError::Connect(ConnectError::Io(error))
            if error.kind() == io::ErrorKind::ConnectionRefused =>
        {
            Outcome::Unsent(NotSent::unconnected())
        }
        _ => Outcome::Failed { code: Code::Broken },
    }
}

/// Outcome of an attempt of which the answer rejected a piece.
fn piece_outcome(error: PieceError) -> Outcome {
    let code = match error {
        PieceError::Stale => Code::WrongAnswer,
        PieceError::Gap => Code::Broken,
        PieceError::Large => Code::LargeAnswer,
    };
    Outcome::Failed { code }
}
