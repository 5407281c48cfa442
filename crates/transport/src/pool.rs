//! Client connections that are kept for the next request to the same peer.

use async_std::{future::timeout, net::TcpStream};
use futures_lite::{FutureExt, future};
use http_types::{Body, Request, Response, headers::CONNECTION};
use ibissail_core::ByteSize;
use quick_error::quick_error;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

quick_error! {
    /// Why a request got no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SendError {
        /// No byte of the request reached the peer.
        NotSent(peer: SocketAddr, detail: String) {
            display("{}: not sent: {}", peer, detail)
        }
        /// The request was sent, and the peer may have acted on it.
        ResponseLost(peer: SocketAddr, detail: String) {
            display("{}: no answer: {}", peer, detail)
        }
        /// The request was sent, and the time for an answer ran out.
        Timeout(peer: SocketAddr, limit: Duration) {
            display("{}: no answer within {} ms", peer, limit.as_millis())
        }
    }
}

/// Bounds of a pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolOptions {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// An idle connection older than this is not used again.
    pub idle_timeout: Duration,
    /// Idle connections kept for one peer.
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
struct Idle {
    stream: TcpStream,
    since: Instant,
}

#[derive(Debug)]
struct Shared {
    options: PoolOptions,
    idle: Mutex<BTreeMap<SocketAddr, Vec<Idle>>>,
}

/// A pool of client connections; clones share it.
#[derive(Debug, Clone)]
pub struct Pool {
    shared: Arc<Shared>,
}

impl Pool {
    /// An empty pool.
    #[must_use]
    pub fn new(options: PoolOptions) -> Self {
        Self { shared: Arc::new(Shared { options, idle: Mutex::default() }) }
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// `NotSent` when no connection could be opened; otherwise the peer may have acted.
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
        let rest = limit.saturating_sub(started.elapsed());
        match timeout(rest, async_h1::connect(stream.clone(), req)).await {
            Ok(Ok(response)) => Ok(PooledResponse { response, peer, stream, pool: self.clone() }),
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

    /// Closes all idle connections to a peer, as after one of them went silent.
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
            Err(_elapsed) => Err(SendError::NotSent(peer, "connect timed out".to_owned())),
        }
    }

    async fn take_idle(&self, peer: SocketAddr) -> Option<TcpStream> {
        loop {
            let idle = self.lock().get_mut(&peer)?.pop()?;
            let fresh = idle.since.elapsed() < self.shared.options.idle_timeout;
            if fresh && is_quiet(&idle.stream).await {
                return Some(idle.stream);
            }
        }
    }

    fn put_idle(&self, peer: SocketAddr, stream: TcpStream) {
        let mut idle = self.lock();
        let streams = idle.entry(peer).or_default();
        if streams.len() < self.shared.options.max_idle_per_peer {
            streams.push(Idle { stream, since: Instant::now() });
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Vec<Idle>>> {
        self.shared.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether an idle connection is open and has no unread bytes.
async fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    let readable = async {
        let _bytes = stream.peek(&mut byte).await;
        false
    };
    readable.or(future::ready(true)).await
}

/// An answer whose body has yet to be read.
#[derive(Debug)]
pub struct PooledResponse {
    /// The answer.
    pub response: Response,
    peer: SocketAddr,
    stream: TcpStream,
    pool: Pool,
}

impl PooledResponse {
    /// Reads the whole body and gives the connection back to the pool.
    ///
    /// # Errors
    ///
    /// `Lost` when the body ends early or is above the limit, `Timeout` after `limit`.
    pub async fn read_body(
        mut self,
        size: ByteSize,
        limit: Duration,
    ) -> Result<Vec<u8>, SendError> {
        let mut body = self.take_body();
        match timeout(limit, crate::read_body(&mut body, size)).await {
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

    /// Takes the body out, for reading it as a stream.
    pub fn take_body(&mut self) -> Body {
        self.response.take_body()
    }

    /// The peer that answered.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Gives the connection back, once the body has been read to its end.
    pub fn release(self) {
        let close = self.response.header(CONNECTION).is_some_and(|c| c.as_str() == "close");
        if !close {
            self.pool.put_idle(self.peer, self.stream);
        }
    }
}
