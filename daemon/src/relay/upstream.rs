//! Kept connections to endpoints.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::wire::Wire;

/// Time for a connection to an endpoint. Endpoints accept within a few
/// milliseconds; one that is dark or cut off must not cost a caller more.
const CONNECT: Duration = Duration::from_millis(250);
/// How long bytes sent to an endpoint may go unacknowledged.
const SILENCE: Duration = Duration::from_millis(1500);
/// How long a connection is kept idle if the endpoint states nothing else.
const IDLE: Duration = Duration::from_secs(4);
/// Idle connections kept for one endpoint; a burst opens more and they are closed
/// after it, so that all daemons together stay below what an endpoint accepts.
const MOST_IDLE: usize = 12;

/// A new connection to an endpoint.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<Wire> {
    Wire::connect(address, CONNECT, SILENCE).await
}

#[derive(Debug)]
struct Idle {
    address: SocketAddr,
    wire: Wire,
    until: Instant,
}

/// Idle connections, the most recently used last.
#[derive(Debug, Default)]
pub(crate) struct Upstreams {
    idle: RefCell<Vec<Idle>>,
}

impl Upstreams {
    /// A kept connection that is still clean, or a new one; tells which.
    pub(crate) async fn get(&self, address: SocketAddr) -> io::Result<(Wire, bool)> {
        while let Some(idle) = self.take(address) {
            if Instant::now() < idle.until && idle.wire.is_clean() {
                return Ok((idle.wire, true));
            }
        }
        let wire = connect(address).await?;
        Ok((wire, false))
    }

    fn take(&self, address: SocketAddr) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let at = idle.iter().rposition(|idle| idle.address == address)?;
        Some(idle.remove(at))
    }

    /// Keeps a connection on which an exchange ended cleanly. `stated` is how many
    /// whole seconds the endpoint says that it keeps it.
    pub(crate) fn put(&self, address: SocketAddr, wire: Wire, stated: Option<u64>) {
        // Given up well before the endpoint closes it: a request that crosses the
        // close is lost, and one that must not run twice cannot be sent again.
        let life = stated.map_or(IDLE, |seconds| Duration::from_millis(seconds * 600));
        let mut idle = self.idle.borrow_mut();
        if idle.iter().filter(|idle| idle.address == address).count() >= MOST_IDLE {
            return;
        }
        let until = Instant::now() + life;
        idle.push(Idle {
            address,
            wire,
            until,
        });
    }

    /// Closes connections whose time is over.
    pub(crate) fn expire(&self, now: Instant) {
        self.idle.borrow_mut().retain(|idle| now < idle.until);
    }
}
