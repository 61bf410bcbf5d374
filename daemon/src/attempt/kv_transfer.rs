//! Transfers a stream's KV cache from one model engine to another.
//!
//! The earlier attempt continues meanwhile, so that the caller gets every token that it still
//! produces without a wait. It is stopped when the transfer has ended in any way: otherwise an
//! engine that is about to go would compute tokens that nobody reads. A failed transfer costs only
//! its time, because the next engine computes the missing cache itself.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use futures::future::AbortHandle;

/// Timeout of a transfer. Notices come only seconds ahead; a stream whose cache has not arrived by
/// then is better recomputed while the earlier engine still produces tokens.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(4);
/// Largest list of blocks that an engine may export, in bytes of JSON.
const MAX_EXPORT_BYTES: usize = 1 << 20;

/// Aborts an attempt when dropped.
pub(crate) struct EarlierAttempt(pub(crate) AbortHandle);

impl Drop for EarlierAttempt {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A planned transfer of KV cache.
pub(crate) struct KvTransfer {
    /// Engine that holds the cache.
    pub(crate) from: SocketAddr,
    /// Hash chain over the prompt's blocks.
    pub(crate) blocks: Vec<u64>,
    /// Attempt that runs there.
    pub(crate) earlier: EarlierAttempt,
}

/// Why a transfer failed.
#[derive(Clone, Copy, Debug, thiserror::Error)]
enum TransferError {
    #[error("the old engine did not export the cache")]
    Export,
    #[error("the new engine did not import the cache")]
    Import,
}

impl KvTransfer {
    /// Transfers the cache to another engine, then stops the earlier attempt.
    pub(crate) async fn run(self, client: &Client, to: SocketAddr) {
        let result = tokio::time::timeout(TRANSFER_TIMEOUT, self.transfer(client, to)).await;
        match result {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::info!(
                "attempt: KV cache not transferred, the next engine computes it: {error}."
            ),
            Err(_) => log::info!(
                "attempt: KV cache not transferred in time, the next engine computes it."
            ),
        }
        drop(self.earlier);
    }

    async fn transfer(&self, client: &Client, to: SocketAddr) -> Result<(), TransferError> {
        let url = format!("http://{}/kv/export", self.from);
        let exported = client.post(url).send_json(&self.blocks).await;
        let mut response = exported.map_err(|_unsent| TransferError::Export)?;
        if !response.status().is_success() {
            return Err(TransferError::Export);
        }
        let body = response.json::<Vec<u64>>().limit(MAX_EXPORT_BYTES).await;
        let blocks = body.map_err(|_broken| TransferError::Export)?;
        let url = format!("http://{to}/kv/import");
        let imported = client.post(url).send_json(&blocks).await;
        match imported {
            Ok(imported) if imported.status().is_success() => Ok(()),
            _ => Err(TransferError::Import),
        }
    }
}
