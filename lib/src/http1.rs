//! HTTP/1.1 messages on buffers: heads by `httparse`, framing by strict rules.
//!
//! A relay forwards bytes between a caller and an endpoint that may both be
//! faulty. Two things must never go wrong: one message must not be read as two
//! by the next party (request smuggling), and a message that broke off must not
//! look complete. The usual HTTP libraries repair a message whose framing is
//! contradictory and hide the fact; here such a message is an error. Nothing in
//! this module reads a socket, so every case is tested on plain buffers.

mod body;
mod fields;
mod head;

pub use body::{Body, BodyError};
pub use fields::{Field, Fields};
pub use head::{Framing, HeadError, Request, Response};
