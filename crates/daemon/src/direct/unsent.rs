//! Sends the rest of a request whose response has begun before all of it was sent.
//!
//! A replica may respond before it has read a long body, and read on later. Its response says
//! nothing about the rest, which has to arrive as well: a record whose caller holds a success must
//! not be cut. The rest outlives the exchange, the caller's connection and, within the grace time,
//! the shutdown of the entry.

use super::Shared;
use async_global_executor::Task;
use async_std::{future::timeout, net::TcpStream, task};
use derive_more::Display;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ibissail_core::{ByteSize, InstanceId};
use ibissail_direct::UnsentBudget;
use slog::{info, warn};
use std::{
    io,
    net::Shutdown,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Interval at which the progress of a rest is checked. Checks are counted, so that the time for
/// which the VM is suspended does not count.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Bytes that count as progress once they are written.
const BLOCK_BYTES: usize = 64 << 10;
/// Longest time for one block after the complete response.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for the rest after the complete response, however slowly the replica reads.
const SEND_TIMEOUT: Duration = Duration::from_mins(1);
/// Longest time until the replica closes its side of the connection, which it does once it has read
/// the request to its end.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Most bytes behind the response that are discarded until then.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// Size of the buffer for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// Why the rest of a request was not sent.
#[derive(Debug, Display)]
enum RestError {
    /// The replica has closed or reset the connection.
    #[display("{_0}")]
    Io(io::Error),
    /// The replica has taken nothing for `STALL_TIMEOUT`.
    #[display("the replica has stopped reading")]
    Stalled,
    /// Not all was sent within `SEND_TIMEOUT`.
    #[display("the replica reads too slowly")]
    TooSlow,
}

/// The rest of a request, which is written while its response is read and after that. Writing ends
/// when it is dropped.
#[derive(Debug)]
pub(super) struct RequestRest {
    shared: Arc<Shared>,
    request: String,
    replica: InstanceId,
    stream: TcpStream,
    size: ByteSize,
    /// How many bytes have been written.
    written: Arc<AtomicUsize>,
    writing: Task<io::Result<()>>,
}

impl RequestRest {
    /// Starts to write the rest of a request.
    pub(super) fn start(
        shared: &Arc<Shared>,
        request: &str,
        replica: &InstanceId,
        stream: TcpStream,
        bytes: Vec<u8>,
    ) -> Self {
        let written = Arc::new(AtomicUsize::new(0));
        let size = ByteSize(bytes.len() as u64);
        let writing = write_blocks(stream.clone(), bytes, Arc::clone(&written));
        Self {
            shared: Arc::clone(shared),
            request: request.to_owned(),
            replica: replica.clone(),
            stream,
            size,
            written,
            writing: async_global_executor::spawn(writing),
        }
    }

    /// Lets the rest be sent after the complete response. Returns it if the memory for such requests
    /// is used up: its caller's connection has to wait for it then.
    pub(super) fn send_in_background(self) -> Option<Self> {
        if !self.shared.try_take_unsent(self.size) {
            info!(self.shared.log, "request: its connection waits for its rest";
                "id" => &self.request, "replica" => %self.replica, "rest_bytes" => self.size.0);
            return Some(self);
        }
        task::spawn(async move {
            let (shared, size) = (Arc::clone(&self.shared), self.size);
            self.send().await;
            shared.give_back_unsent(size);
        });
        None
    }

    /// Waits until the rest is sent and the replica has closed the connection.
    pub(super) async fn send(mut self) {
        let sent = self.wait_until_written().await;
        let written = self.written.load(Ordering::Relaxed);
        match sent {
            Ok(()) => {
                let is_closed = self.close().await;
                info!(self.shared.log, "request: rest sent"; "id" => &self.request,
                    "replica" => %self.replica, "rest_bytes" => self.size.0,
                    "is_closed" => is_closed);
            }
            Err(error) => {
                self.shared.metrics.cut_requests.inc();
                warn!(self.shared.log, "request: rest not sent"; "id" => &self.request,
                    "replica" => %self.replica, "rest_bytes" => self.size.0,
                    "sent_bytes" => written, "error" => %error);
            }
        }
    }

    async fn wait_until_written(&mut self) -> Result<(), RestError> {
        let (mut written, mut stalled, mut waited) = (0, Duration::ZERO, Duration::ZERO);
        loop {
            if let Ok(result) = timeout(CHECK_INTERVAL, &mut self.writing).await {
                return result.map_err(RestError::Io);
            }
            waited += CHECK_INTERVAL;
            stalled += CHECK_INTERVAL;
            let now_written = self.written.load(Ordering::Relaxed);
            if now_written > written {
                (written, stalled) = (now_written, Duration::ZERO);
            }
            if stalled >= STALL_TIMEOUT {
                return Err(RestError::Stalled);
            }
            if waited >= SEND_TIMEOUT {
                return Err(RestError::TooSlow);
            }
        }
    }

    /// Ends the connection. Closing it with unread bytes would reset it, and what the replica has not
    /// read yet would be lost; returns whether the replica has closed its side.
    async fn close(&mut self) -> bool {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return false;
        }
        let stream = &mut self.stream;
        let discarding = async {
            let mut buf = vec![0; DISCARD_BUFFER_BYTES];
            let mut discarded = 0;
            while discarded < MAX_DISCARDED_BYTES {
                match stream.read(&mut buf).await {
                    Ok(0) => return true,
                    Ok(count) => discarded += count,
                    Err(_reset) => return false,
                }
            }
            false
        };
        timeout(CLOSE_TIMEOUT, discarding).await.unwrap_or(false)
    }
}

/// Writes bytes, and counts them by blocks.
async fn write_blocks(
    mut stream: TcpStream,
    bytes: Vec<u8>,
    written: Arc<AtomicUsize>,
) -> io::Result<()> {
    for block in bytes.chunks(BLOCK_BYTES) {
        stream.write_all(block).await?;
        written.fetch_add(block.len(), Ordering::Relaxed);
    }
    Ok(())
}

impl Shared {
    fn try_take_unsent(&self, size: ByteSize) -> bool {
        let unsent = &mut self.state().unsent;
        let is_taken = unsent.try_take(size);
        self.record_unsent(unsent);
        is_taken
    }

    fn give_back_unsent(&self, size: ByteSize) {
        let unsent = &mut self.state().unsent;
        unsent.give_back(size);
        self.record_unsent(unsent);
    }

    fn record_unsent(&self, unsent: &UnsentBudget) {
        self.metrics.unsent_requests.set(i64::try_from(unsent.requests()).unwrap_or(i64::MAX));
        self.metrics.unsent_bytes.set(i64::try_from(unsent.used().0).unwrap_or(i64::MAX));
    }

    /// Number of requests that are still being sent after their responses.
    pub(super) fn unsent_requests(&self) -> u64 {
        self.state().unsent.requests()
    }
}
