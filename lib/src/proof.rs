//! Proofs that a request was not sent or not run.
//!
//! A caller that is told that its request did not run sends it again, and so does a daemon that has another endpoint
//! to try. A wrong conclusion runs a request twice that must run once. So an outcome after which a request may be
//! sent again carries a proof, which can only be made of what shows it.

use crate::http1::Attributed;

/// Proof that no byte of a request was sent to the endpoint.
///
/// Only the code that opened the connection knows, so only inputs carry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotSent(());

impl NotSent {
    /// Nothing was sent, as there was no connection.
    pub fn unconnected() -> Self {
        Self(())
    }

    /// From the number of bytes that were given to a connection; `None` if there were some.
    pub fn after(written: usize) -> Option<Self> {
        (written == 0).then_some(Self(()))
    }
}

/// Proof that a request was not run by whom it was sent to, and will not be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun(());

impl NotRun {
    /// From a response in which its sender states so; `None` if it is not sure to be one whole response.
    pub fn stated(response: &Attributed) -> Option<Self> {
        response.is_intact().then_some(Self(()))
    }
}
