//! Pool of idle connections to endpoints.
//!
//! A response names its request, but not which try of it. So no two tries of one request share a connection: a second
//! response to the first try, such as a rejection that is sent twice, would be taken for that to the second try.
//! Different endpoint ids do not show that connections differ, as several may be listed at one address.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::buffered_stream::{BufferedStream, ConnectionId};

/// Timeout of a new connection to an endpoint. Endpoints accept within a few milliseconds; one that
/// is unreachable must not delay a caller longer than this.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long bytes sent to an endpoint may stay unacknowledged before its connection is closed. A
/// sound endpoint may fall silent for more than a second and go on.
const ACK_TIMEOUT: Duration = Duration::from_secs(3);
/// How long an idle connection is kept if the endpoint does not state its own idle timeout.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Maximum number of idle connections to one endpoint. A burst opens more, and those are closed
/// after it, so that all daemons together stay below the connection limit of an endpoint.
const MAX_IDLE: usize = 12;

/// Opens a new connection to an endpoint.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<BufferedStream> {
    BufferedStream::connect(address, CONNECT_TIMEOUT, ACK_TIMEOUT).await
}

/// Connections on which one request was sent.
#[derive(Debug, Default)]
pub(crate) struct UsedConnections(RefCell<Vec<ConnectionId>>);

impl UsedConnections {
    fn contains(&self, conn: &BufferedStream) -> bool {
        self.0.borrow().contains(&conn.number)
    }

    fn record(&self, conn: &BufferedStream) {
        self.0.borrow_mut().push(conn.number);
    }
}

/// An idle connection, kept until a time.
#[derive(Debug)]
struct IdleConnection {
    address: SocketAddr,
    conn: BufferedStream,
    until: Instant,
}

/// Idle connections of all endpoints, the most recently used last.
#[derive(Debug, Default)]
pub(crate) struct Upstreams {
    idle: RefCell<Vec<IdleConnection>>,
}

impl Upstreams {
    /// Takes an idle connection that is still usable and not among those that the request has `used`, or opens a new
    /// one, and adds it to them. The flag tells whether the connection was used before.
    pub(crate) async fn get(
        &self,
        address: SocketAddr,
        used: &UsedConnections,
    ) -> io::Result<(BufferedStream, bool)> {
        while let Some(idle) = self.take(address, used) {
            if Instant::now() < idle.until && idle.conn.is_clean() {
                used.record(&idle.conn);
                return Ok((idle.conn, true));
            }
        }
        let conn = connect(address).await?;
        used.record(&conn);
        Ok((conn, false))
    }

    fn take(&self, address: SocketAddr, used: &UsedConnections) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let is_usable =
            |idle: &IdleConnection| idle.address == address && !used.contains(&idle.conn);
        let at = idle.iter().rposition(is_usable)?;
        Some(idle.remove(at))
    }

    /// Keeps a connection on which an exchange ended cleanly. `idle_s` is the idle timeout that the
    /// endpoint states, in seconds.
    pub(crate) fn put(&self, address: SocketAddr, conn: BufferedStream, idle_s: Option<u64>) {
        // Closed well before the endpoint would close it: a request sent at that moment is lost,
        // and a non-idempotent one cannot be retried.
        let keep_for = idle_s.map_or(DEFAULT_IDLE, |seconds| Duration::from_millis(seconds * 600));
        let mut idle = self.idle.borrow_mut();
        if idle.iter().filter(|idle| idle.address == address).count() >= MAX_IDLE {
            return;
        }
        let until = Instant::now() + keep_for;
        idle.push(IdleConnection {
            address,
            conn,
            until,
        });
    }

    /// Closes the idle connections to these addresses.
    pub(crate) fn close(&self, addresses: &[SocketAddr]) {
        self.idle
            .borrow_mut()
            .retain(|idle| !addresses.contains(&idle.address));
    }

    /// Closes connections that were idle for too long, or on which something was received meanwhile.
    pub(crate) fn expire(&self, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| now < idle.until && idle.conn.is_clean());
    }
}
