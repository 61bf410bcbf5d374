//! Gossip between daemons, over tarpc.
//!
//! A daemon listens on its peers' port and keeps connections to the peers that it calls.
//! `poplarvale_lib::gossip` decides on the rows and on which peer to call when. This module adds
//! the network and the clock: an actor that owns the replica, a service for the calls of peers, and
//! a client.
//!
//! Every call carries the token that all daemons of a deployment share. It is compared before the
//! message in the call is decoded, so that an unauthorized host on the network can neither read a
//! row nor reach the decoder.

mod actor;
mod client;
mod error;
mod server;
mod service;
mod token;

pub use actor::{Changed, Get, Gossip, Live, Put, Remove, Round, SetSeeds};
pub use client::Client;
pub use error::PeerError;
pub use server::{Listener, Parts, Server};
pub use service::{Payload, PeersClient, Rejection};
pub use token::Token;
