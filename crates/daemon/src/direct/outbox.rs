//! Buffers a response for a caller that reads more slowly than its replica sends.

use super::Shared;
use crate::clock::since_boot;
use async_std::{future::timeout, net::TcpStream};
use futures_lite::{AsyncWriteExt, FutureExt, future};
use ibissail_core::{ByteSize, Millis};
use slog::warn;
use std::{
    collections::BTreeMap,
    future::Future,
    net::Shutdown,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Time for which a caller whose buffer is full may accept nothing. A replica cuts off a response
/// that remains unread for some seconds.
const FULL_BUFFER_TIMEOUT: Duration = Duration::from_secs(1);
/// Most bytes written at once, so that the record of what a caller has accepted stays exact.
const WRITE_BYTES: usize = 64 << 10;

static NEXT_ID: AtomicU64 = AtomicU64::new(0);

/// Connections of callers for which something is buffered.
pub(super) type BufferedCallers = BTreeMap<u64, TcpStream>;

/// The caller has disconnected, or was disconnected because it reads too slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CallerGone;

/// Bytes of a response that its caller has not accepted yet.
#[derive(Debug)]
pub(super) struct Outbox {
    shared: Arc<Shared>,
    caller: TcpStream,
    request: String,
    id: u64,
    bytes: Vec<u8>,
    /// How many of these bytes have been written.
    written: usize,
}

impl Outbox {
    pub(super) fn new(shared: &Arc<Shared>, caller: TcpStream, request: &str) -> Self {
        let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let request = request.to_owned();
        Self { shared: Arc::clone(shared), caller, request, id, bytes: Vec::new(), written: 0 }
    }

    /// Adds bytes; disconnects the slowest callers of the process if too much is buffered then.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.written);
        self.written = 0;
        self.bytes.extend_from_slice(bytes);
        self.record(false);
        self.shared.disconnect_slowest();
    }

    fn len(&self) -> usize {
        self.bytes.len() - self.written
    }

    fn record(&mut self, has_accepted: bool) {
        let bytes = ByteSize(self.len() as u64);
        let mut state = self.shared.state();
        state.caller_buffers.set(self.id, bytes, has_accepted, since_boot());
        if bytes.0 == 0 {
            state.buffered_callers.remove(&self.id);
        } else {
            let caller = &self.caller;
            state.buffered_callers.entry(self.id).or_insert_with(|| caller.clone());
        }
    }

    /// Writes some bytes, of which there must be any.
    async fn write_some(&mut self) -> Result<(), CallerGone> {
        let end = self.bytes.len().min(self.written + WRITE_BYTES);
        match self.caller.write(&self.bytes[self.written..end]).await {
            Ok(0) | Err(_) => return Err(CallerGone),
            Ok(count) => self.written += count,
        }
        if self.written == self.bytes.len() {
            // The memory is released as well.
            self.bytes = Vec::new();
            self.written = 0;
        }
        self.record(true);
        Ok(())
    }

    /// Writes all bytes.
    pub(super) async fn flush(&mut self) -> Result<(), CallerGone> {
        while self.len() > 0 {
            self.write_some().await?;
        }
        Ok(())
    }

    /// Waits for the next part of a response while bytes are written; waits first until less is
    /// buffered than a connection may.
    pub(super) async fn write_beside<F, T>(&mut self, next: F) -> Result<T, CallerGone>
    where
        F: Future<Output = T>,
    {
        self.wait_for_space().await?;
        let writing = async {
            self.flush().await?;
            future::pending().await
        };
        writing.or(async { Ok(next.await) }).await
    }

    async fn wait_for_space(&mut self) -> Result<(), CallerGone> {
        let limit = self.shared.state().caller_buffers.connection_limit();
        while self.len() as u64 >= limit.0 {
            match timeout(FULL_BUFFER_TIMEOUT, self.write_some()).await {
                Ok(written) => written?,
                Err(_elapsed) => {
                    warn!(self.shared.log, "callers: slow caller disconnected";
                        "id" => &self.request, "reason" => "its buffer is full",
                        "buffered_bytes" => self.len(), "limit_bytes" => limit.0,
                        "stalled_ms" => Millis::from(FULL_BUFFER_TIMEOUT).0);
                    return Err(CallerGone);
                }
            }
        }
        Ok(())
    }
}

impl Drop for Outbox {
    fn drop(&mut self) {
        self.bytes = Vec::new();
        self.written = 0;
        self.record(false);
    }
}

impl Shared {
    /// Disconnects the slowest callers until no more is buffered than the process may.
    fn disconnect_slowest(&self) {
        let now = since_boot();
        let mut state = self.state();
        while let Some(slowest) = state.caller_buffers.take_slowest(now) {
            // Its request ends with the connection and releases the buffer.
            if let Some(caller) = state.buffered_callers.remove(&slowest.id) {
                let _closed = caller.shutdown(Shutdown::Both);
            }
            warn!(self.log, "callers: slow caller disconnected";
                "reason" => "the process buffers too much", "stalled_ms" => slowest.stalled.0,
                "buffered_bytes" => slowest.bytes.0, "total_bytes" => slowest.total.0);
        }
    }
}
