//! Failures of commands and their exit codes, by which scripts tell them apart.

use std::path::PathBuf;
use std::process::ExitCode;

use poplarvale_lib::Code;
use poplarvale_lib::protos::caller::Problem;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// A file could not be read.
    #[error("{file}: {cause}", file = .0.display(), cause = .1)]
    File(PathBuf, std::io::Error),
    /// The input is invalid; one error per line.
    #[error("{0}")]
    Input(String),
    /// The daemon rejected the request.
    #[error("{}: {}{}", .0.code, .0.title, detail(&.0.detail))]
    Rejected(Box<Problem>),
    /// A version move ended, but not as done: it was rolled back or cancelled.
    #[error("{0}")]
    MoveNotDone(String),
    /// Accepted lists are not yet in force on all live daemons.
    #[error("{0}")]
    NotInForce(String),
    /// The daemon could not be reached.
    #[error("daemon at {0} could not be reached: {1}")]
    Unreachable(std::net::SocketAddr, String),
    /// The daemon's answer could not be received or decoded.
    #[error("daemon's answer could not be read: {0}")]
    InvalidAnswer(String),
}

fn detail(detail: &str) -> String {
    if detail.is_empty() {
        String::new()
    } else {
        format!("\n{detail}")
    }
}

impl Failure {
    /// The exit code that the help text documents.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::File(..) | Self::Input(_) => 2,
            Self::Rejected(problem) => rejection_exit_code(problem.code),
            Self::Unreachable(..) => 5,
            Self::InvalidAnswer(_) => 1,
            Self::MoveNotDone(_) => 6,
            Self::NotInForce(_) => 7,
        })
    }

    /// Formats the failure as one line of JSON.
    pub(crate) fn json(&self) -> String {
        let value = match self {
            Self::Rejected(problem) => serde_json::to_value(problem).unwrap_or_default(),
            _ => serde_json::json!({ "detail": self.to_string() }),
        };
        value.to_string()
    }
}

fn rejection_exit_code(code: u32) -> u8 {
    if code == Code::Conflict.number() {
        3
    } else if code == Code::NoOperator.number() {
        4
    } else if code == Code::BadLists.number() || code == Code::BadMove.number() {
        2
    } else {
        1
    }
}
