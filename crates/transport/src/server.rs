//! Accepts HTTP/1.1 connections and stops without cutting a request.

use crate::connection::{Connection, Progress};
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

const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
const GONE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Bounds of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerOptions {
    /// Longest time for a request's head, and for an idle connection.
    pub head_timeout: Duration,
    /// Connections open at the same time.
    pub max_connections: usize,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self { head_timeout: Duration::from_secs(30), max_connections: 4_096 }
    }
}

/// Resolves when a stop has been asked for.
#[derive(Debug, Clone)]
pub struct ShutdownSignal(Receiver<()>);

/// Asks for a stop.
#[derive(Debug, Clone)]
pub struct ShutdownHandle(Sender<()>);

/// A stop and the handle that asks for it.
#[must_use]
pub fn shutdown_channel() -> (ShutdownHandle, ShutdownSignal) {
    let (tx, rx) = async_channel::bounded(1);
    (ShutdownHandle(tx), ShutdownSignal(rx))
}

impl ShutdownHandle {
    /// Asks for the stop; all waiters resolve.
    pub fn shut_down(&self) {
        self.0.close();
    }
}

impl ShutdownSignal {
    /// Waits until the stop has been asked for.
    pub async fn wait(&self) {
        let _closed = self.0.recv().await;
    }

    /// Whether the stop has been asked for.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.0.is_closed()
    }
}

/// The other end of a request's connection.
#[derive(Debug, Clone)]
pub struct Caller {
    stream: TcpStream,
    progress: Arc<Progress>,
}

impl Caller {
    /// Resolves when the caller has closed its connection.
    pub async fn disconnected(&self) {
        let mut byte = [0; 1];
        loop {
            match self.stream.peek(&mut byte).await {
                Ok(0) | Err(_) => return,
                // Bytes of a next request wait; look again later.
                Ok(_) => task::sleep(GONE_CHECK_INTERVAL).await,
            }
        }
    }

    /// Bounds what is still read of a refused body.
    pub fn discard_body(&self) {
        self.progress.discard_body();
    }
}

/// Serves connections until the stop, then waits for those with a request in progress.
pub async fn serve<H, F>(
    listener: TcpListener,
    options: ServerOptions,
    stop: ShutdownSignal,
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
            stop.wait().await;
            None
        };
        let stream = match stopped.or(accepted).await {
            None => break,
            Some(Ok((stream, _peer))) => stream,
            Some(Err(_)) => {
                task::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= options.max_connections {
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (open, stop, handler) = (Arc::clone(&open), stop.clone(), handler.clone());
        let done_tx = done_tx.clone();
        task::spawn(async move {
            let _nodelay = stream.set_nodelay(true);
            serve_connection(Connection::new(stream), options, &stop, handler).await;
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
    stop: &ShutdownSignal,
    handler: H,
) where
    H: Fn(Request, Caller) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let progress = Arc::clone(&connection.progress);
    let endpoint = |req: Request| {
        progress.set_handled();
        let caller = Caller { stream: connection.stream.clone(), progress: Arc::clone(&progress) };
        let (handler, stop) = (handler.clone(), stop.clone());
        async move {
            let mut res = handler(req, caller).await;
            if stop.is_shutting_down() {
                res.insert_header(CONNECTION, "close");
            }
            Ok(res)
        }
    };
    let mut server = Server::new(connection.clone(), endpoint);
    loop {
        connection.progress.start_request();
        let next = async { Some(server.accept_one().await) };
        let idle_stop = async {
            stop.wait().await;
            wait_until_idle(&connection.progress).await;
            None
        };
        let late = async {
            head_deadline(&connection.progress, options.head_timeout).await;
            Some(Ok(ConnectionStatus::Close))
        };
        match next.or(idle_stop).or(late).await {
            Some(Ok(ConnectionStatus::KeepAlive)) if !stop.is_shutting_down() => {}
            Some(Ok(_)) => {
                if connection.progress.has_begun() && !connection.progress.is_handled() {
                    refuse(connection, ErrorKind::HeadTimeout).await;
                }
                return;
            }
            Some(Err(_)) => {
                if !connection.progress.is_handled() {
                    refuse(connection, ErrorKind::BadRequest).await;
                }
                return;
            }
            None => return,
        }
    }
}

/// Pending while a request is in progress, so that the stop does not cut it.
async fn wait_until_idle(progress: &Progress) {
    if progress.has_begun() {
        futures_lite::future::pending::<()>().await;
    }
}

/// Resolves when the head of a request, or a next request, is not there in time.
async fn head_deadline(progress: &Progress, limit: Duration) {
    task::sleep(limit).await;
    if progress.is_handled() {
        futures_lite::future::pending::<()>().await;
    }
}

async fn refuse(mut connection: Connection, kind: ErrorKind) {
    let answer = kind.response();
    let body = format!(
        "{{\"error\":{{\"kind\":\"{}\",\"message\":\"{}\",\"ran\":\"{}\"}}}}",
        kind.code(),
        Fault::from(kind),
        answer.ran
    );
    let head = format!(
        "HTTP/1.1 {} Refused\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        answer.status,
        body.len()
    );
    let _gone = connection.write_all((head + &body).as_bytes()).await;
    let _closed = connection.close().await;
}
