//! Command-line flags and arguments. The doc comments inside `xflags!` are the help texts.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

/// Action on a version move.
#[derive(Clone, Copy, Debug)]
pub enum MoveAction {
    /// Start a move.
    Start,
    /// Print its state.
    Status,
    /// Wait until it ends.
    Wait,
    /// Cancel it.
    Cancel,
}

impl FromStr for MoveAction {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "start" => Ok(Self::Start),
            "status" => Ok(Self::Status),
            "wait" => Ok(Self::Wait),
            "cancel" => Ok(Self::Cancel),
            _ => Err("allowed are `start`, `status`, `wait` and `cancel`"),
        }
    }
}

/// Action on a settings file.
#[derive(Clone, Copy, Debug)]
pub enum SettingsAction {
    /// Validate it.
    Check,
}

impl FromStr for SettingsAction {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "check" => Ok(Self::Check),
            _ => Err("allowed is `check`"),
        }
    }
}

xflags::xflags! {
    /// Drives poplarvale: edits the two lists, asks for version moves, looks in.
    ///
    /// Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict with another edit,
    /// 4 token refused, 5 daemon not reached, 6 version move taken back or
    /// cancelled, 7 lists not yet in force everywhere.
    cmd poplarvale {
        /// Operators' address of a daemon; else POPLARVALE_AT, else 127.0.0.1:8081.
        optional --at address: SocketAddr
        /// File with the operators' token; else POPLARVALE_TOKEN_FILE.
        optional --token-file file: PathBuf
        /// Writes JSON, also for failures.
        optional --json

        /// Settings of a daemon.
        cmd settings {
            /// `check`: checks a settings file as a daemon would at its start.
            required action: SettingsAction
            /// File with the settings.
            required file: PathBuf
        }

        /// The two lists: customers' plans, and what a plan may use.
        cmd lists {
            /// Writes the lists in force as JSON, with their revision.
            cmd get {}
            /// Checks a file with lists.
            cmd check {
                /// File as `lists get` writes it.
                required file: PathBuf
            }
            /// Puts lists in force, if nobody edited them since.
            cmd put {
                /// File as `lists get` writes it, edited.
                required file: PathBuf
                /// Waits until they are in force on all live daemons.
                optional --wait
            }
            /// Writes the digest of an API key for the list of customers.
            cmd digest {
                /// API key.
                required key: String
            }
        }

        /// Moves of a service's requests to another version of its endpoints.
        ///
        /// Actions: `start SERVICE --to VERSION --within SECONDS`, `status SERVICE`,
        /// `wait SERVICE` until it is done or taken back, `cancel SERVICE`.
        cmd move {
            /// start, status, wait or cancel.
            required action: MoveAction
            /// Service.
            required service: String
            /// Version to move to.
            optional --to version: String
            /// Seconds in which the move must be finished.
            optional --within seconds: u64
        }

        /// What the daemons' logs tell of one request, in the order of time.
        cmd explain {
            /// Id of the request.
            required id: String
            /// Log files of daemons.
            repeated logs: PathBuf
        }

        /// State of a daemon in short.
        cmd status {}

        /// Tables of a daemon's process.
        cmd dump {
            /// Table; all names if left out.
            optional table: String
            /// Id of a row; all rows if left out.
            optional id: String
        }
    }
}
