//! One sending of a request to an endpoint, over HTTP.

mod carry;
mod model;
mod plain;

pub(crate) use carry::{Carry, Earlier};

use std::io;
use std::time::Duration;

use actix::Addr;
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};
use poplarvale_lib::{Code, Input, Limits, NotSent, Outcome, Send, hex};

use crate::answer::PieceError;
use crate::core::{Core, Report};
use crate::job::{Job, RequestKind};

/// Longest wait for a connection. Endpoints stand at most a few milliseconds
/// away; one that takes a second is gone or overrun.
const CONNECT: Duration = Duration::from_secs(1);

/// Connections to model engines, and the limit on plain answers.
#[derive(Clone)]
pub(crate) struct Clients {
    pooled: Client,
    most: usize,
}

impl Clients {
    pub(crate) fn new(limits: &Limits) -> Self {
        let connector = Connector::new().timeout(CONNECT).limit(0);
        // Deadlines are kept by the world, which cancels what is overdue.
        let builder = Client::builder().disable_timeout().disable_redirects();
        Self {
            pooled: builder.connector(connector).finish(),
            most: limits.answer_bytes as usize,
        }
    }
}

/// Moves the KV cache of the earlier sending over, then sends as [`run`] does.
/// The new sending may add to the answer only from then on, so that the earlier
/// one can until then.
pub(crate) async fn run_after(
    clients: Clients,
    job: Job,
    send: Send,
    core: Addr<Core>,
    carry: Carry,
) {
    carry.run(&clients.pooled, send.address).await;
    job.answer.begin(send.attempt);
    run(clients, job, send, core).await;
}

/// Sends a request and passes its answer on; reports how it ended.
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
                most: clients.most,
            };
            plain::run(&job, &send, call).await
        }
    };
    if let Outcome::Failed { code } = &outcome {
        let id = hex(send.attempt);
        log::info!("attempt: {id} broke at {}: {}", send.endpoint, code.title());
    }
    let ended = Input::Ended {
        attempt: send.attempt,
        request: send.request,
        outcome,
    };
    core.do_send(Report(ended));
}

/// What an error of a pooled connection proves. Only that none could be made
/// proves that nothing was sent: one that broke counts as `Connect` too.
fn failed(error: &SendRequestError) -> Outcome {
    match error {
        SendRequestError::Connect(ConnectError::Timeout) => Outcome::Unsent(NotSent),
        SendRequestError::Connect(ConnectError::Io(error))
            if error.kind() == io::ErrorKind::ConnectionRefused =>
        {
            Outcome::Unsent(NotSent)
        }
        _ => Outcome::Failed { code: Code::Broken },
    }
}

fn refused(error: PieceError) -> Outcome {
    let code = match error {
        PieceError::Stale => Code::WrongAnswer,
        PieceError::Gap => Code::Broken,
        PieceError::Large => Code::LargeAnswer,
    };
    Outcome::Failed { code }
}
