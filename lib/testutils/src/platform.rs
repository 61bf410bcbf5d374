//! Stand-ins for the platform's services.
//!
//! The key-value service exists as an in-memory model (`data`), which tests use on
//! virtual time, and as a program that serves the published API over that model (`store`).

pub mod bookings;
pub mod cloud;
pub mod data;
pub mod fleet;
pub mod hosts;
pub mod program;
pub mod store;
pub mod weights;
