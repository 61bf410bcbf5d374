//! Decisions under load: which requests are admitted, which wait, and which are
//! rejected.
//!
//! Each module answers one pattern of load and can be used independently: it has
//! no network and no clock, and takes the time as an argument. [`Load`] holds
//! their state for a daemon; the systems feed it and query it.

pub mod ejection;
pub mod fair_queue;
pub mod forecast;
pub mod limiter;
pub mod meter;
pub mod policy;
pub mod retry_after;
pub mod retry_budget;
pub mod share_table;
pub mod shares;
pub mod unit_time;

mod endpoint_stats;
mod in_flight;
mod pool;
mod service_stats;
mod state;

pub use policy::{Choice, Policy};
pub use state::Load;
pub(crate) use state::remaining_work;
