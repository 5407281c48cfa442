//! HTTP/1.1 server with graceful shutdown: requests in progress are completed first.

use crate::connection::{Connection, RequestProgress};
use async_channel::{Receiver, Sender};
use async_h1::server::{ConnectionStatus, Server};
use async_std::{
    net::{TcpListener, TcpStream},
    task,
};
use futures_lite::{AsyncWriteExt, FutureExt};
use http_types::{Request, Response, headers::CONNECTION};
use ibissail_core::{ErrorKind, Fault};
use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Delay after a failed accept, as when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval of disconnect checks while received bytes are unread, such as a pipelined request.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerOptions {
    /// Timeout for receiving the head of a request, including the idle time before it.
    pub head_timeout: Duration,
    /// Maximum number of open connections; further ones are closed at once.
    pub max_connections: usize,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self { head_timeout: Duration::from_secs(30), max_connections: 4_096 }
    }
}

/// The receiving half of a shutdown request, which reaches all clones.
#[derive(Debug, Clone)]
pub struct ShutdownSignal(Receiver<()>);

/// The sending half of a shutdown request. Dropping the last handle requests the shutdown as well.
#[derive(Debug, Clone)]
pub struct ShutdownHandle(Sender<()>);

/// Creates a connected pair of handle and signal.
#[must_use]
pub fn shutdown_channel() -> (ShutdownHandle, ShutdownSignal) {
    let (tx, rx) = async_channel::bounded(1);
    (ShutdownHandle(tx), ShutdownSignal(rx))
}

impl ShutdownHandle {
    /// Requests the shutdown; all waiting tasks resume.
    pub fn shut_down(&self) {
        self.0.close();
    }
}

impl ShutdownSignal {
    /// Waits until shutdown is requested.
    pub async fn wait(&self) {
        let _closed = self.0.recv().await;
    }

    /// Whether shutdown has been requested.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.0.is_closed()
    }
}

/// The client side of the connection that a request arrived on.
#[derive(Debug, Clone)]
pub struct Caller {
    stream: TcpStream,
    progress: Arc<RequestProgress>,
}

impl Caller {
    /// Resolves when the caller has closed its connection or the connection has failed.
    pub async fn disconnected(&self) {
        let mut byte = [0; 1];
        loop {
            match self.stream.peek(&mut byte).await {
                Ok(0) | Err(_) => return,
                // Unread bytes, such as a pipelined request, hide a disconnect: check again later.
                Ok(_) => task::sleep(UNREAD_CHECK_INTERVAL).await,
            }
        }
    }

    /// Limits how much of the body is still read and discarded after an early error response.
    pub fn discard_body(&self) {
        self.progress.discard_body();
    }
}

/// Accepts connections until shutdown, then waits for the requests in progress to complete.
pub async fn serve<H, F>(
    listener: TcpListener,
    options: ServerOptions,
    shutdown: ShutdownSignal,
    handler: H,
) where
    H: Fn(Request, Caller) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let open = Arc::new(AtomicUsize::new(0));
    let (done_tx, done_rx) = async_channel::bounded::<()>(1);
    loop {
        let accepted = async { Some(listener.accept().await) };
        let stopped = async {
            shutdown.wait().await;
            None
        };
        let stream = match stopped.or(accepted).await {
            None => break,
            Some(Ok((stream, _peer))) => stream,
            Some(Err(_)) => {
                task::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= options.max_connections {
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (open, shutdown, handler) = (Arc::clone(&open), shutdown.clone(), handler.clone());
        let done_tx = done_tx.clone();
        task::spawn(async move {
            let _nodelay = stream.set_nodelay(true);
            serve_connection(Connection::new(stream), options, &shutdown, handler).await;
            open.fetch_sub(1, Ordering::Relaxed);
            drop(done_tx);
        });
    }
    drop(listener);
    drop(done_tx);
    let _all_closed = done_rx.recv().await;
}

async fn serve_connection<H, F>(
    connection: Connection,
    options: ServerOptions,
    shutdown: &ShutdownSignal,
    handler: H,
) where
    H: Fn(Request, Caller) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let progress = Arc::clone(&connection.progress);
    let endpoint = |req: Request| {
        progress.mark_dispatched();
        let caller = Caller { stream: connection.stream.clone(), progress: Arc::clone(&progress) };
        let (handler, shutdown) = (handler.clone(), shutdown.clone());
        async move {
            let mut res = handler(req, caller).await;
            if shutdown.is_shutting_down() {
                res.insert_header(CONNECTION, "close");
            }
            Ok(res)
        }
    };
    let mut server = Server::new(connection.clone(), endpoint);
    loop {
        connection.progress.start_request();
        let next = async { Some(server.accept_one().await) };
        let stopped_while_idle = async {
            shutdown.wait().await;
            resolve_if_idle(&connection.progress).await;
            None
        };
        let timed_out = async {
            wait_for_head_timeout(&connection.progress, options.head_timeout).await;
            Some(Ok(ConnectionStatus::Close))
        };
        match next.or(stopped_while_idle).or(timed_out).await {
            Some(Ok(ConnectionStatus::KeepAlive)) if !shutdown.is_shutting_down() => {}
            Some(Ok(_)) => {
                if connection.progress.has_received_bytes() && !connection.progress.is_dispatched()
                {
                    send_error(connection, ErrorKind::HeadTimeout).await;
                }
                return;
            }
            Some(Err(_)) => {
                if !connection.progress.is_dispatched() {
                    send_error(connection, ErrorKind::BadRequest).await;
                }
                return;
            }
            None => return,
        }
    }
}

/// Never resolves once bytes of a request have arrived, so that shutdown does not interrupt it.
async fn resolve_if_idle(progress: &RequestProgress) {
    if progress.has_received_bytes() {
        futures_lite::future::pending::<()>().await;
    }
}

/// Resolves after `limit` unless a complete request head has arrived by then.
async fn wait_for_head_timeout(progress: &RequestProgress, limit: Duration) {
    task::sleep(limit).await;
    if progress.is_dispatched() {
        futures_lite::future::pending::<()>().await;
    }
}

/// Writes an error response for a request that never reached the handler, then closes.
async fn send_error(mut connection: Connection, kind: ErrorKind) {
    let error_response = kind.response();
    let body = format!(
        "{{\"error\":{{\"kind\":\"{}\",\"message\":\"{}\",\"ran\":\"{}\"}}}}",
        kind.code(),
        Fault::from(kind),
        error_response.ran
    );
    let head = format!(
        "HTTP/1.1 {} Refused\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        error_response.status,
        body.len()
    );
    let _written = connection.write_all((head + &body).as_bytes()).await;
    let _closed = connection.close().await;
}
