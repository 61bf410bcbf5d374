//! A client connection to an endpoint or a service of the platform, with the bytes that were read
//! from it but not parsed yet.

use std::io;
use std::net::SocketAddr;
use std::os::fd::AsRawFd as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, Interest};
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;

/// Buffer space for one read; most requests and answers fit.
const READ_BYTES: usize = 8 * 1024;

/// Number of a connection, unique in this process.
pub(crate) type ConnectionId = u64;

/// Number of the next connection.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

/// A connection and its read buffer.
#[derive(Debug)]
pub(crate) struct BufferedStream {
    pub(crate) number: ConnectionId,
    pub(crate) stream: TcpStream,
    pub(crate) buffer: BytesMut,
}

impl BufferedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            number: NEXT_NUMBER.fetch_add(1, Ordering::Relaxed),
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Connects within `timeout`.
    ///
    /// `ack_timeout` bounds how long sent bytes may stay unacknowledged. Without it a connection
    /// to a partitioned peer, which answers nothing, would hang for minutes.
    pub(crate) async fn connect(
        address: SocketAddr,
        timeout: Duration,
        ack_timeout: Duration,
    ) -> io::Result<Self> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(ack_timeout))?;
        Ok(Self::new(stream))
    }

    /// Whether a peer that has ended the connection had received all that was sent on it by then. With its end it
    /// acknowledges what it has received.
    pub(crate) fn is_received(&self) -> bool {
        // A reset may have followed the end.
        if !matches!(self.stream.take_error(), Ok(None)) {
            return false;
        }
        match unacknowledged(&self.stream) {
            Ok(bytes) => bytes == 0,
            Err(error) => {
                log::debug!("wire: the system does not tell what was received, {error}.");
                true
            }
        }
    }

    /// Whether a peer that has ended the connection resets it before some moment. That follows as soon as the peer closes
    /// the connection without having read all that its host had received.
    pub(crate) async fn is_reset_until(&self, until: Instant) -> bool {
        let reset = self.stream.ready(Interest::ERROR);
        let ended = tokio::time::timeout_at(until.into(), reset).await;
        ended.is_ok() || !matches!(self.stream.take_error(), Ok(None))
    }

    /// Whether an idle connection can be used again: it is open, and nothing was received on it
    /// since the last exchange.
    pub(crate) fn is_clean(&self) -> bool {
        let mut byte = [0];
        self.buffer.is_empty()
            && matches!(
                self.stream.try_read(&mut byte),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock
            )
    }
}

impl Drop for BufferedStream {
    /// Closes the connection by a reset, which discards bytes that were sent but not delivered
    /// because of a partition. After a normal close the kernel keeps sending them for minutes: an
    /// abandoned request would reach an endpoint long after the endpoint left, or in addition to
    /// its retry, and a call of a former duty holder would arrive after those of its successor.
    /// The reset loses nothing: the last exchange is over, or nobody waits for its answer.
    fn drop(&mut self) {
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            log::debug!("wire: cannot set up a reset, {error}; closing the connection normally.");
        }
    }
}

/// Number of bytes that were sent on a connection and are not acknowledged.
#[expect(
    unsafe_code,
    reason = "no library has a safe function for this request to the system"
)]
fn unacknowledged(stream: &TcpStream) -> io::Result<libc::c_int> {
    let mut bytes = 0;
    // SAFETY: the descriptor is open as long as the stream is borrowed, and this request writes one integer.
    let result = unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
    if result < 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(bytes)
}

/// Reads more bytes into a buffer; returns their number, 0 at the end of the connection.
pub(crate) async fn fill(read: &mut ReadHalf<'_>, buffer: &mut BytesMut) -> io::Result<usize> {
    buffer.reserve(READ_BYTES);
    read.read_buf(buffer).await
}
