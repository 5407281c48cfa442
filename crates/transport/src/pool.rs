//! Pool of client connections, which are reused for further requests to the same peer.

use crate::upstream::Upstream;
use async_std::{future::timeout, net::TcpStream};
use futures_lite::{AsyncReadExt, FutureExt, future};
use http_types::{
    Body, Request, Response, StatusCode,
    headers::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING},
};
use ibissail_core::ByteSize;
use quick_error::quick_error;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Size of the buffer for bytes that are discarded.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

quick_error! {
    /// Why a request got no response.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SendError {
        /// No connection could be opened, so no byte of the request reached the peer.
        NotSent(peer: SocketAddr, detail: String) {
            display("{}: request not sent: {}", peer, detail)
        }
        /// The connection failed, or the response was invalid or too large; the peer may have
        /// processed the request.
        ResponseLost(peer: SocketAddr, detail: String) {
            display("{}: response lost: {}", peer, detail)
        }
        /// No complete response within the limit; the peer may have processed the request.
        Timeout(peer: SocketAddr, limit: Duration) {
            display("{}: no response within {} ms", peer, limit.as_millis())
        }
    }
}

/// Limits of a pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolOptions {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Connections that have been idle for longer are closed instead of reused.
    pub idle_timeout: Duration,
    /// Maximum number of idle connections kept per peer.
    pub max_idle_per_peer: usize,
}

impl Default for PoolOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(10),
            max_idle_per_peer: 64,
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    stream: TcpStream,
    since: Instant,
}

#[derive(Debug)]
struct Shared {
    options: PoolOptions,
    idle: Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
}

/// A pool of client connections; clones share the same connections.
#[derive(Debug, Clone)]
pub struct Pool {
    shared: Arc<Shared>,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(options: PoolOptions) -> Self {
        Self { shared: Arc::new(Shared { options, idle: Mutex::default() }) }
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// The time to connect counts towards `limit`, but is itself bounded by `connect_timeout` only.
    ///
    /// # Errors
    ///
    /// `NotSent` when no connection could be opened; after any other error the peer may have
    /// processed the request.
    pub async fn send(
        &self,
        peer: SocketAddr,
        req: Request,
        limit: Duration,
    ) -> Result<PooledResponse, SendError> {
        let started = Instant::now();
        let stream = match self.take_idle(peer).await {
            Some(stream) => stream,
            None => self.connect(peer).await?,
        };
        let time_left = limit.saturating_sub(started.elapsed());
        let upstream = Upstream::new(stream.clone());
        let progress = Arc::clone(&upstream.progress);
        match timeout(time_left, async_h1::connect(upstream, req)).await {
            // The HTTP library takes interim responses for final ones.
            Ok(Ok(response)) if response.status().is_informational() => {
                let detail = format!("response with the status {}", u16::from(response.status()));
                Err(SendError::ResponseLost(peer, detail))
            }
            Ok(Ok(response)) => {
                progress.mark_head();
                Ok(PooledResponse { response, peer, stream, pool: self.clone() })
            }
            Ok(Err(error)) => {
                self.close_idle(peer);
                Err(SendError::ResponseLost(peer, error.to_string()))
            }
            Err(_elapsed) => {
                self.close_idle(peer);
                Err(SendError::Timeout(peer, limit))
            }
        }
    }

    /// Closes all idle connections to a peer. Called after one of them failed or timed out, because
    /// the others may be dead as well.
    pub fn close_idle(&self, peer: SocketAddr) {
        self.lock().remove(&peer);
    }

    async fn connect(&self, peer: SocketAddr) -> Result<TcpStream, SendError> {
        match timeout(self.shared.options.connect_timeout, TcpStream::connect(peer)).await {
            Ok(Ok(stream)) => {
                let _nodelay = stream.set_nodelay(true);
                Ok(stream)
            }
            Ok(Err(error)) => Err(SendError::NotSent(peer, error.kind().to_string())),
            Err(_elapsed) => Err(SendError::NotSent(peer, "timed out while connecting".to_owned())),
        }
    }

    async fn take_idle(&self, peer: SocketAddr) -> Option<TcpStream> {
        loop {
            let idle = self.lock().get_mut(&peer)?.pop()?;
            let is_fresh = idle.since.elapsed() < self.shared.options.idle_timeout;
            if is_fresh && is_reusable(&idle.stream).await {
                return Some(idle.stream);
            }
        }
    }

    fn put_idle(&self, peer: SocketAddr, stream: TcpStream) {
        let mut idle = self.lock();
        let streams = idle.entry(peer).or_default();
        if streams.len() < self.shared.options.max_idle_per_peer {
            streams.push(IdleConnection { stream, since: Instant::now() });
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Vec<IdleConnection>>> {
        self.shared.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether an idle connection is still open and has no unread bytes.
async fn is_reusable(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    let readable = async {
        let _bytes = stream.peek(&mut byte).await;
        false
    };
    readable.or(future::ready(true)).await
}

/// A response whose body has not been read yet, with the pooled connection it arrived on.
#[derive(Debug)]
pub struct PooledResponse {
    /// Status and headers, and the body until it is taken.
    pub response: Response,
    peer: SocketAddr,
    stream: TcpStream,
    pool: Pool,
}

impl PooledResponse {
    /// Reads the complete body and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// `ResponseLost` when the body ends early or exceeds `max_size`, `Timeout` after `limit`.
    pub async fn read_body(
        mut self,
        max_size: ByteSize,
        limit: Duration,
    ) -> Result<Vec<u8>, SendError> {
        let mut body = self.take_body();
        match timeout(limit, crate::read_body(&mut body, max_size)).await {
            Ok(Ok(bytes)) => {
                self.release();
                Ok(bytes)
            }
            Ok(Err(fault)) => Err(SendError::ResponseLost(self.peer, fault.to_string())),
            Err(_elapsed) => {
                self.pool.close_idle(self.peer);
                Err(SendError::Timeout(self.peer, limit))
            }
        }
    }

    /// Takes the body out, to be read as a stream.
    pub fn take_body(&mut self) -> Body {
        self.response.take_body()
    }

    /// Whether neither a length nor chunks delimit the body, which then ends with the connection. The
    /// HTTP library does not read such a body.
    #[must_use]
    pub fn is_close_delimited(&self) -> bool {
        let status = self.response.status();
        let has_no_body = matches!(status, StatusCode::NoContent | StatusCode::NotModified);
        let is_framed = self.response.header(CONTENT_LENGTH).is_some()
            || self.response.header(TRANSFER_ENCODING).is_some();
        !has_no_body && !is_framed
    }

    /// Reads and discards at most `max_size` bytes until the peer closes the connection, for at most
    /// `limit`.
    pub async fn discard_until_closed(mut self, max_size: ByteSize, limit: Duration) {
        let mut buf = [0; DISCARD_BUFFER_BYTES];
        let reading = async {
            let mut left = max_size.as_usize();
            while left > 0 {
                match self.stream.read(&mut buf).await {
                    Ok(0) | Err(_) => break,
                    Ok(count) => left = left.saturating_sub(count),
                }
            }
        };
        let _elapsed = timeout(limit, reading).await;
    }

    /// Address of the peer that sent the response.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the connection to the pool unless the peer closes it. Call it only after the body
    /// has been read to its end.
    pub fn release(self) {
        let close = self.response.header(CONNECTION).is_some_and(|c| c.as_str() == "close");
        if !close {
            self.pool.put_idle(self.peer, self.stream);
        }
    }
}
