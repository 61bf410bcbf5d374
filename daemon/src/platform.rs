//! Clients for the platform's services.

pub mod hosts;
pub mod perform;
pub mod store;
