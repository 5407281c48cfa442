//! Client of the upstream: the chat completions API of an inference engine, or plain HTTP.

use crate::sidecar::{
    Shared,
    runs::Sink,
    sse::{CompletionPart, EventStream, UnsoundUsage},
};
use futures_lite::{AsyncReadExt, future::yield_now};
use http_types::{Method, Request, StatusCode, Url};
use ibissail_core::{ByteSize, ErrorKind, Fault, Target};
use ibissail_execution::{RunKey, RunOutcome, RunRequest, TokenCounts};
use ibissail_transport::{PooledResponse, SendError};
use serde_json::{Value, json};
use slog::warn;

const READ_CHUNK_BYTES: usize = 16 << 10;
/// Maximum length of a response that is not streamed.
const MAX_RESPONSE: ByteSize = ByteSize(8 << 20);

/// Result of a request to the upstream.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The request was sent; the upstream may have processed it.
    Ended(RunOutcome),
    /// The request was sent, and the upstream's response broke off.
    Broken(Fault),
    /// No byte of the request reached the upstream, so it may be sent elsewhere.
    NotSent(Fault),
}

/// Sends a request to the upstream and passes its response to the sink.
pub(crate) async fn run(shared: &Shared, req: &RunRequest, sink: &Sink<'_>) -> Outcome {
    let deadline = shared.node.now().saturating_add(req.time_left);
    let (upstream_req, format) = match build_request(shared, req) {
        Ok(prepared) => prepared,
        Err(fault) => return Outcome::NotSent(fault),
    };
    let address = shared.upstream.address;
    let limit = req.time_left.as_duration();
    let reply = match shared.upstream_pool.send(address, upstream_req, limit).await {
        Ok(reply) => reply,
        Err(SendError::NotSent(_, detail)) => {
            return Outcome::NotSent(Fault::new(ErrorKind::NoReplica, detail));
        }
        Err(error) => return failed_outcome(transport_fault(req, &error)),
    };
    shared.record_upstream_limit(&reply.response);
    if reply.is_close_delimited() && req.method != "HEAD" {
        // The upstream may be about to end, which shows when the connection has.
        let time_left = deadline.since(shared.node.now()).as_duration();
        reply.discard_until_closed(MAX_RESPONSE, time_left).await;
        return Outcome::Broken(incomplete("the response has neither a length nor chunks"));
    }
    let status = u16::from(reply.response.status());
    if status >= 500 && matches!(req.target, Target::Model(_)) {
        let fault = Fault::new(ErrorKind::UpstreamFailed, format!("status {status}"));
        return Outcome::Ended(RunOutcome::Failed(fault));
    }
    let forwarded = match format {
        ResponseFormat::Events { keep_usage } if status == 200 => {
            forward_events(shared, req, reply, keep_usage, sink).await
        }
        ResponseFormat::Events { .. } | ResponseFormat::Body => {
            forward_body(shared, req, reply, sink).await
        }
    };
    match forwarded {
        Ok((content_type, tokens)) => {
            Outcome::Ended(complete_outcome(shared, req, status, content_type, tokens))
        }
        Err(fault) => failed_outcome(fault),
    }
}

/// Outcome of a request whose response could not be read, unless time was short.
fn failed_outcome(fault: Fault) -> Outcome {
    match fault.kind {
        ErrorKind::Timeout => Outcome::Ended(RunOutcome::Failed(fault)),
        _ => Outcome::Broken(fault),
    }
}

/// Fault for a request that was sent but whose response could not be read.
fn transport_fault(req: &RunRequest, error: &SendError) -> Fault {
    let kind = match (&req.key, error) {
        (RunKey::Keyed { .. }, _) => ErrorKind::OutcomeUnknown,
        (RunKey::Attempt { .. }, SendError::Timeout(..)) => ErrorKind::Timeout,
        (RunKey::Attempt { .. }, _) => ErrorKind::UpstreamFailed,
    };
    Fault::new(kind, error.to_string())
}

/// Outcome of a run whose response has been appended completely.
fn complete_outcome(
    shared: &Shared,
    req: &RunRequest,
    status: u16,
    content_type: String,
    tokens: TokenCounts,
) -> RunOutcome {
    let table = shared.table();
    match table.reassembler(&req.key) {
        Some(reassembler) => {
            let (length, digest) = (reassembler.length(), reassembler.digest());
            RunOutcome::Complete { status, content_type, length, digest, tokens }
        }
        None => RunOutcome::Failed(ErrorKind::Incomplete.into()),
    }
}

#[derive(Debug, Clone, Copy)]
enum ResponseFormat {
    Events { keep_usage: bool },
    Body,
}

fn build_request(shared: &Shared, req: &RunRequest) -> Result<(Request, ResponseFormat), Fault> {
    let bad_request = |detail: String| Fault::new(ErrorKind::BadRequest, detail);
    let url = format!("http://{}{}", shared.upstream.address, req.path);
    let url = Url::parse(&url).map_err(|error| bad_request(error.to_string()))?;
    let method: Method = req
        .method
        .parse()
        .map_err(|_method| bad_request(format!("invalid method `{}`", req.method)))?;
    let mut upstream_req = Request::new(method, url);
    let format = match &req.target {
        Target::Model(version) => {
            let mut body: Value = serde_json::from_slice(&req.body)
                .map_err(|error| bad_request(error.to_string()))?;
            body["model"] = Value::String(version.to_string());
            let format = response_format(&mut body);
            upstream_req.set_body(body.to_string());
            format
        }
        Target::Service(_) => {
            if let RunKey::Keyed { key, .. } = &req.key {
                upstream_req.insert_header("idempotency-key", key.as_str());
            }
            upstream_req.set_body(req.body.clone());
            ResponseFormat::Body
        }
    };
    upstream_req.insert_header("content-type", req.content_type.as_str());
    Ok((upstream_req, format))
}

/// Format of the response. Enables the usage report in streams, since billing needs it.
fn response_format(body: &mut Value) -> ResponseFormat {
    if !body["stream"].as_bool().unwrap_or(false) {
        return ResponseFormat::Body;
    }
    let keep_usage = body["stream_options"]["include_usage"].as_bool().unwrap_or(false);
    if body["stream_options"].is_object() {
        body["stream_options"]["include_usage"] = Value::Bool(true);
    } else {
        body["stream_options"] = json!({"include_usage": true});
    }
    ResponseFormat::Events { keep_usage }
}

type ForwardResult = Result<(String, TokenCounts), Fault>;

async fn forward_events(
    shared: &Shared,
    req: &RunRequest,
    mut reply: PooledResponse,
    keep_usage: bool,
    sink: &Sink<'_>,
) -> ForwardResult {
    let mut events = EventStream::new(keep_usage);
    let mut body = reply.take_body();
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    loop {
        let count = body.read(&mut chunk).await.map_err(|error| incomplete(&error.to_string()))?;
        if count == 0 {
            break;
        }
        // An upstream that always has more bytes would keep this thread from all other tasks.
        yield_now().await;
        let forwarded = events.push(&chunk[..count])?;
        if !forwarded.is_empty() && !sink.append(&forwarded) {
            return Err(Fault::new(
                ErrorKind::UpstreamFailed,
                "the sidecar's memory limit for responses is reached",
            ));
        }
    }
    if !events.is_done() {
        return Err(incomplete("the engine's event stream ended without its final event"));
    }
    if let Some(usage) = events.unsound_usage() {
        log_unsound_usage(shared, req, usage);
    }
    reply.release();
    Ok(("text/event-stream".to_owned(), events.tokens()))
}

fn incomplete(detail: &str) -> Fault {
    Fault::new(ErrorKind::Incomplete, detail)
}

fn log_unsound_usage(shared: &Shared, req: &RunRequest, usage: &UnsoundUsage) {
    warn!(shared.node.log, "upstream: usage not counted"; "run" => %req.key,
        "target" => %req.target, "usage" => %usage);
}

async fn forward_body(
    shared: &Shared,
    req: &RunRequest,
    reply: PooledResponse,
    sink: &Sink<'_>,
) -> ForwardResult {
    let content_type = reply.response.content_type().map(|mime| mime.to_string());
    let status = reply.response.status();
    let limit = req.time_left.as_duration();
    let bytes =
        reply.read_body(MAX_RESPONSE, limit).await.map_err(|error| transport_fault(req, &error))?;
    let tokens = match req.target {
        Target::Model(_) if status == StatusCode::Ok => completion_tokens(shared, req, &bytes)?,
        Target::Model(_) | Target::Service(_) => TokenCounts::default(),
    };
    if !bytes.is_empty() && !sink.append_last(&bytes) {
        return Err(Fault::new(
            ErrorKind::UpstreamFailed,
            "the sidecar's memory limit for responses is reached",
        ));
    }
    Ok((content_type.unwrap_or_else(|| "application/octet-stream".to_owned()), tokens))
}

/// Token counts that a completion reports; fails if the body is none.
fn completion_tokens(shared: &Shared, req: &RunRequest, body: &[u8]) -> Result<TokenCounts, Fault> {
    let part = CompletionPart::parse(body)
        .map_err(|error| incomplete(&format!("the engine's response is no completion: {error}")))?;
    match part.tokens {
        Some(Ok(tokens)) => Ok(tokens),
        Some(Err(usage)) => {
            log_unsound_usage(shared, req, &usage);
            Ok(TokenCounts::default())
        }
        None => Ok(TokenCounts::default()),
    }
}
