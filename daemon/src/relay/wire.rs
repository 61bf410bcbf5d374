//! A connection to a service or an endpoint, and what was read from it but not used yet.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;

/// Bytes asked for by one read; most requests and answers fit.
const READ: usize = 8 * 1024;

/// A connection and its read buffer.
#[derive(Debug)]
pub(crate) struct Wire {
    pub(crate) stream: TcpStream,
    pub(crate) buffer: BytesMut,
}

impl Wire {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Connects within `limit`.
    ///
    /// `silence` bounds how long sent bytes may go unacknowledged: a partitioned
    /// peer answers nothing, and without it the connection would hang for minutes.
    pub(crate) async fn connect(
        address: SocketAddr,
        limit: Duration,
        silence: Duration,
    ) -> io::Result<Self> {
        let stream = tokio::time::timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(silence))?;
        Ok(Self::new(stream))
    }

    /// Whether an idle connection is still as the last exchange left it: open, and
    /// without bytes that belong to no request.
    pub(crate) fn is_clean(&self) -> bool {
        let mut byte = [0];
        self.buffer.is_empty()
            && matches!(
                self.stream.try_read(&mut byte),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock
            )
    }
}

impl Drop for Wire {
    /// Ends the connection by a reset, which takes back what a partition holds up on the
    /// way. After an ordinary close the system goes on delivering it for minutes: a request
    /// that was given up would reach an endpoint long after it left, or beside its repeat,
    /// and an order of a former holder of the duties would come after its successor's.
    /// Nothing is lost by it: the last exchange is over, or nobody waits for its answer.
    fn drop(&mut self) {
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            log::debug!("wire: closed without a reset, {error}.");
        }
    }
}

/// Reads more into a buffer; 0 at the end of the connection.
pub(crate) async fn fill(read: &mut ReadHalf<'_>, buffer: &mut BytesMut) -> io::Result<usize> {
    buffer.reserve(READ);
    read.read_buf(buffer).await
}
