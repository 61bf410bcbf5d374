//! Relays callers' requests to endpoints, on a platform that keeps the
//! configuration and the list of endpoints.
//!
//! One thread runs everything: the daemon has a quarter of a core, and handing
//! requests between threads would cost wake-ups and locks. A caller's connection
//! is one task that also carries its request's exchange with an endpoint, so when
//! the caller leaves, the task drops the endpoint's connection and with it the
//! work there.

mod attempt;
mod caller;
mod checkpoint;
mod client;
mod crash;
mod dispatch;
mod duties;
mod era;
mod exchange;
mod metrics;
mod peers;
mod plain_server;
mod probe;
mod run;
mod serve;
mod state;
mod status;
mod stream;
mod trail;
mod upstream;
mod watch;
mod wire;

pub use run::{Relay, RelayError, run as run_relay};
pub use trail::start as start_trail;
