//! Relays callers' requests to endpoints, on a platform that stores the configuration and the
//! registry of endpoints.
//!
//! One thread runs everything: the daemon has a quarter of a CPU core, and passing requests
//! between threads would cost wake-ups and locks. Each caller connection is one task, which also
//! runs the exchange of its request with an endpoint. So when the caller disconnects, the task
//! drops the connection to the endpoint, which cancels the work there.

mod attempt;
pub(crate) mod buffered_stream;
mod caller;
mod catalog;
mod checkpoint;
mod client;
mod crash;
mod dispatch;
mod duties;
mod era;
mod evacuation;
pub(crate) mod exchange;
mod forward;
pub(crate) mod held;
mod logging;
mod metrics;
mod peers;
mod plain_server;
mod probe;
mod progress;
mod reach;
mod run;
mod serve;
mod silence;
mod startup;
mod state;
mod status;
mod stream;
mod upstream;
mod watch;

pub use logging::start as start_logging;
pub use run::{Relay, RelayError, run as run_relay};
