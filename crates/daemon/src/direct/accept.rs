//! Accepts callers and reads their requests.

use super::{Direct, answer::Refusal, serve::handle};
use async_std::{
    future::timeout,
    net::{TcpListener, TcpStream},
    task,
};
use futures_lite::FutureExt;
use ibissail_core::ErrorKind;
use ibissail_direct::Limits;
use ibissail_http1::{BodyReader, Connection, HttpError, RequestHead};
use slog::{debug, warn};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Connections of callers that are served at once; each may need one more towards a replica.
const MAX_CONNECTIONS: usize = 1_800;
/// Pause after a failed accept, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time between two looks at the stop while a connection is idle.
const IDLE_CHECK: Duration = Duration::from_millis(250);
/// Bytes read and thrown away after a refusal, so that the caller sees the answer.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// Longest time for that.
const DISCARD_TIME: Duration = Duration::from_millis(500);

/// What becomes of a connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum After {
    /// Another request may follow.
    KeepOpen,
    /// It is closed.
    Close,
}

/// Accepts callers until the process is about to end.
pub(super) async fn accept_callers(direct: Arc<Direct>, listener: TcpListener) {
    loop {
        let accepted = async { Some(listener.accept().await) };
        let closed = async {
            let _closed = direct.accepting.1.recv().await;
            None
        };
        let stream = match accepted.or(closed).await {
            None => return,
            Some(Ok((stream, _peer))) => stream,
            Some(Err(error)) => {
                warn!(direct.log, "callers: not accepted"; "error" => %error.kind());
                task::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if direct.open_connections.fetch_add(1, Ordering::Relaxed) >= MAX_CONNECTIONS {
            direct.open_connections.fetch_sub(1, Ordering::Relaxed);
            warn!(direct.log, "callers: too many connections"; "limit" => MAX_CONNECTIONS);
            continue;
        }
        let direct = Arc::clone(&direct);
        task::spawn(async move {
            serve_connection(&direct, stream).await;
            direct.open_connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

impl Direct {
    fn limits(&self) -> Limits {
        self.state().table.as_ref().map(|table| table.limits).unwrap_or_default()
    }
}

async fn serve_connection(direct: &Arc<Direct>, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    loop {
        let limits = direct.limits();
        if !wait_for_request(direct, &mut connection, limits).await {
            return;
        }
        let read = read_request(&mut connection, limits).await;
        let after = match read {
            Ok((head, body)) => handle(direct, &mut connection, head, body).await,
            Err(error) => {
                refuse(direct, &mut connection, &error).await;
                After::Close
            }
        };
        if after == After::Close {
            return;
        }
    }
}

/// Waits for the first byte of a request; returns whether there is one.
async fn wait_for_request(direct: &Direct, connection: &mut Connection, limits: Limits) -> bool {
    let mut waited = Duration::ZERO;
    let idle_limit = limits.idle_timeout.as_duration();
    loop {
        match timeout(IDLE_CHECK, connection.fill_if_empty()).await {
            Ok(result) => return result.is_ok(),
            Err(_elapsed) => waited += IDLE_CHECK,
        }
        if waited >= idle_limit || direct.closes_idle() {
            return false;
        }
    }
}

async fn read_request(
    connection: &mut Connection,
    limits: Limits,
) -> Result<(RequestHead, Vec<u8>), HttpError> {
    let head = connection.read_request_head(limits.head.as_usize());
    let head = match timeout(limits.head_timeout.as_duration(), head).await {
        Ok(head) => head?,
        Err(_elapsed) => return Err(HttpError::Timeout),
    };
    if head.expects_continue() {
        connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let mut reader = BodyReader::new(head.framing);
    let body = reader.read_all(connection, limits.body.as_usize());
    match timeout(limits.idle_timeout.as_duration(), body).await {
        Ok(body) => Ok((head, body?)),
        Err(_elapsed) => Err(HttpError::Timeout),
    }
}

/// Answers what is no proper request, as far as the caller still listens.
async fn refuse(direct: &Direct, connection: &mut Connection, error: &HttpError) {
    let kind = match error {
        HttpError::Closed | HttpError::Truncated | HttpError::Io(_) => {
            debug!(direct.log, "callers: closed inside a request"; "error" => %error);
            return;
        }
        HttpError::Timeout => ErrorKind::HeadTimeout,
        HttpError::HeadTooLarge => ErrorKind::HeadTooLarge,
        HttpError::BodyTooLarge => ErrorKind::BodyTooLarge,
        HttpError::Malformed(_) => ErrorKind::BadRequest,
    };
    warn!(direct.log, "callers: refused"; "kind" => kind.code(), "error" => %error);
    direct.metrics.outcome("none", kind.code());
    let refusal = Refusal { kind, detail: error.to_string(), retry_after: None };
    if refusal.write(connection, After::Close).await.is_ok() {
        discard(connection).await;
    }
}

/// Reads on for a while: closing with unread bytes would reset the answer.
async fn discard(connection: &mut Connection) {
    let reading = async {
        let mut reader = BodyReader::new(ibissail_http1::Framing::UntilClose);
        let _read = reader.read_all(connection, MAX_DISCARDED_BYTES).await;
    };
    let late = async {
        task::sleep(DISCARD_TIME).await;
    };
    reading.or(late).await;
}
