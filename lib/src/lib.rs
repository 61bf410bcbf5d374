//! Decision and coordination logic of poplarvale.
//!
//! The crate does no I/O and reads no clock: times, random seeds and external events are
//! passed in as arguments. Daemons drive it through [`World::tick`]; other programs can
//! use its modules separately.

pub mod claims;
mod code;
mod command;
pub mod config;
mod dump;
mod endpoint;
pub mod gossip;
pub mod http1;
mod ids;
mod input;
pub mod keys;
pub mod lease;
mod lists;
pub mod load;
pub mod moves;
pub mod prompt;
mod proof;
pub mod protos;
pub mod relay;
mod request;
pub mod routing;
mod settings;
pub mod store;
mod systems;
mod table;
mod world;

pub use code::{Code, Ran};
pub use command::{Command, Send};
pub use dump::TABLES;
pub use endpoint::Endpoint;
pub use ids::*;
pub use input::{Input, ListedEndpoint, Outcome};
pub use lists::{Accepted, Customer, Lists, MAX_PRIORITY, MAX_ROWS, Plan, ValidationError, is_id};
pub use proof::{NotRun, NotSent};
pub use request::{Attempt, Ending, Idempotent, NonIdempotent, Order, Request, Running, Waiting};
pub use settings::{
    Credentials, Limits, ListFiles, Logs, Platform, Route, Service, ServiceKind, Settings,
    SettingsError,
};
pub use systems::allowance::Allowance;
pub use table::{Row, Table};
pub use world::{Setup, World};
