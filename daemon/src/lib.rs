//! The daemon that runs on every entry host.
//!
//! The modules for callers, operators, peers and the platform turn bytes into inputs of the core
//! and execute its commands as calls. Between them, one actor owns the core of `poplarvale-lib`,
//! which makes all decisions.

mod answer;
mod attempt;
mod callers;
mod claims;
mod config;
mod core;
mod fleet;
mod headers;
mod health;
mod hosts;
mod job;
mod kinds;
mod logs;
mod metrics;
mod moves;
mod operators;
pub mod peers;
pub mod platform;
mod probe;
mod problem;
mod relay;
mod run;
mod shares;
mod start;

pub use answer::{Answer, Head, PieceError, View};
pub use logs::start as start_logs;
pub use relay::{Relay, RelayError, run_relay, start_logging};
pub use run::{RunError, run};
pub use start::{StartError, read_settings};
