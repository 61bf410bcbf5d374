//! Decisions under load: which requests are admitted, which wait, and which are
//! rejected.
//!
//! Each module answers one pattern of load and can be used independently: it has
//! no network and no clock, and takes the time as an argument. [`Load`] holds
//! their state for a daemon; the systems feed it and query it.

pub mod board;
pub mod budget;
pub mod comeback;
pub mod ejection;
pub mod fair;
pub mod forecast;
pub mod limiter;
pub mod meter;
pub mod pace;
pub mod policy;
pub mod shares;

mod gauge;
mod pool;
mod sent;
mod state;
mod whole;

pub use policy::{Choice, Policy};
pub use state::Load;
pub(crate) use state::left;
