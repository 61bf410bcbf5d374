//! HTTP/1.1 messages in buffers: heads parsed by `httparse`, strict rules for framing.
//!
//! A relay forwards bytes between a caller and an endpoint, either of which may be
//! faulty. Two things must never happen: the next party must not read one message as
//! two (request smuggling), and a truncated message must not look complete. The usual
//! HTTP libraries repair a message with contradictory framing without reporting it;
//! here such a message is an error. Nothing in this module reads a socket, so every
//! case is tested on plain buffers.

mod body;
mod fields;
mod head;
mod reader;
mod status_line;

pub use body::{Body, BodyError};
pub use fields::{Field, Fields};
pub use head::{Framing, HeadError, Request, Response};
pub use reader::{
    Attributed, Named, OnlyRequest, ReadError, ResponsePart, ResponseReader, ResponseRules,
    contains_response, open_response,
};
