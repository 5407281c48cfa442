//! Speaks to the upstream: the chat completions API of an engine, or plain HTTP.

use crate::sidecar::{
    Shared,
    runs::Sink,
    sse::{EventStream, Usage},
};
use futures_lite::AsyncReadExt;
use http_types::{Method, Request, Url};
use ibissail_core::{ByteSize, ErrorKind, Fault, Target};
use ibissail_execution::{RunKey, RunOutcome, RunRequest, TokenCounts};
use ibissail_transport::{PooledResponse, SendError};
use serde::Deserialize;
use serde_json::{Value, json};

const READ_CHUNK_BYTES: usize = 16 << 10;
/// Longest answer of an upstream, in bytes.
const MAX_ANSWER: ByteSize = ByteSize(8 << 20);

/// How a run at the upstream came out.
#[derive(Debug)]
pub(crate) enum Verdict {
    /// The upstream was given the request.
    Ended(RunOutcome),
    /// No byte of the request reached the upstream.
    NotSent(Fault),
}

/// Runs a request at the upstream and passes its answer to the sink.
pub(crate) async fn run(shared: &Shared, req: &RunRequest, sink: &Sink<'_>) -> Verdict {
    let (upstream_req, form) = match prepare(shared, req) {
        Ok(prepared) => prepared,
        Err(fault) => return Verdict::NotSent(fault),
    };
    let address = shared.upstream.address;
    let limit = req.time_left.as_duration();
    let reply = match shared.upstream_pool.send(address, upstream_req, limit).await {
        Ok(reply) => reply,
        Err(SendError::NotSent(_, detail)) => {
            return Verdict::NotSent(Fault::new(ErrorKind::NoReplica, detail));
        }
        Err(error) => return Verdict::Ended(RunOutcome::Failed(lost(req, &error))),
    };
    let status = u16::from(reply.response.status());
    if status >= 500 && matches!(req.target, Target::Model(_)) {
        let fault = Fault::new(ErrorKind::UpstreamFailed, format!("status {status}"));
        return Verdict::Ended(RunOutcome::Failed(fault));
    }
    let passed = match form {
        Form::Events { keep_usage } if status == 200 => pass_events(reply, keep_usage, sink).await,
        Form::Events { .. } | Form::Whole => pass_whole(req, reply, sink).await,
    };
    Verdict::Ended(match passed {
        Ok((content_type, tokens)) => whole(shared, req, status, content_type, tokens),
        Err(fault) => RunOutcome::Failed(fault),
    })
}

fn lost(req: &RunRequest, error: &SendError) -> Fault {
    let kind = match (&req.key, error) {
        (RunKey::Keyed { .. }, _) => ErrorKind::OutcomeUnknown,
        (RunKey::Attempt { .. }, SendError::Timeout(..)) => ErrorKind::Timeout,
        (RunKey::Attempt { .. }, _) => ErrorKind::UpstreamFailed,
    };
    Fault::new(kind, error.to_string())
}

fn whole(
    shared: &Shared,
    req: &RunRequest,
    status: u16,
    content_type: String,
    tokens: TokenCounts,
) -> RunOutcome {
    let table = shared.table();
    match table.reassembler(&req.key) {
        Some(answer) => {
            let (length, digest) = (answer.length(), answer.digest());
            RunOutcome::Complete { status, content_type, length, digest, tokens }
        }
        None => RunOutcome::Failed(ErrorKind::Incomplete.into()),
    }
}

#[derive(Debug, Clone, Copy)]
enum Form {
    Events { keep_usage: bool },
    Whole,
}

fn prepare(shared: &Shared, req: &RunRequest) -> Result<(Request, Form), Fault> {
    let bad = |detail: String| Fault::new(ErrorKind::BadRequest, detail);
    let url = format!("http://{}{}", shared.upstream.address, req.path);
    let url = Url::parse(&url).map_err(|error| bad(error.to_string()))?;
    let method: Method =
        req.method.parse().map_err(|_method| bad(format!("method `{}`", req.method)))?;
    let mut upstream_req = Request::new(method, url);
    let form = match &req.target {
        Target::Model(version) => {
            let mut body: Value =
                serde_json::from_slice(&req.body).map_err(|error| bad(error.to_string()))?;
            body["model"] = Value::String(version.to_string());
            let form = form_of(&mut body);
            upstream_req.set_body(body.to_string());
            form
        }
        Target::Service(_) => {
            if let RunKey::Keyed { key, .. } = &req.key {
                upstream_req.insert_header("idempotency-key", key.as_str());
            }
            upstream_req.set_body(req.body.clone());
            Form::Whole
        }
    };
    upstream_req.insert_header("content-type", req.content_type.as_str());
    Ok((upstream_req, form))
}

/// The form of the answer; a stream is made to report its usage, which bills it.
fn form_of(body: &mut Value) -> Form {
    if !body["stream"].as_bool().unwrap_or(false) {
        return Form::Whole;
    }
    let keep_usage = body["stream_options"]["include_usage"].as_bool().unwrap_or(false);
    if body["stream_options"].is_object() {
        body["stream_options"]["include_usage"] = Value::Bool(true);
    } else {
        body["stream_options"] = json!({"include_usage": true});
    }
    Form::Events { keep_usage }
}

type Passed = Result<(String, TokenCounts), Fault>;

async fn pass_events(mut reply: PooledResponse, keep_usage: bool, sink: &Sink<'_>) -> Passed {
    let mut events = EventStream::new(keep_usage);
    let mut body = reply.take_body();
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    loop {
        let count = body.read(&mut chunk).await.map_err(|error| incomplete(&error.to_string()))?;
        if count == 0 {
            break;
        }
        let passed = events.push(&chunk[..count]);
        if !passed.is_empty() && !sink.append(&passed) {
            return Err(Fault::new(ErrorKind::UpstreamFailed, "no room for the answer"));
        }
    }
    if !events.is_done() {
        return Err(incomplete("the engine's stream has no end"));
    }
    reply.release();
    Ok(("text/event-stream".to_owned(), events.tokens()))
}

fn incomplete(detail: &str) -> Fault {
    Fault::new(ErrorKind::Incomplete, detail)
}

#[derive(Debug, Deserialize)]
struct Completion {
    usage: Option<Usage>,
}

async fn pass_whole(req: &RunRequest, reply: PooledResponse, sink: &Sink<'_>) -> Passed {
    let content_type = reply.response.content_type().map(|mime| mime.to_string());
    let limit = req.time_left.as_duration();
    let bytes = reply.read_body(MAX_ANSWER, limit).await.map_err(|error| lost(req, &error))?;
    if !bytes.is_empty() && !sink.append_last(&bytes) {
        return Err(Fault::new(ErrorKind::UpstreamFailed, "no room for the answer"));
    }
    let tokens = match req.target {
        Target::Model(_) => {
            let completion: Option<Completion> = serde_json::from_slice(&bytes).ok();
            let usage = completion.and_then(|completion| completion.usage);
            usage.map(TokenCounts::from).unwrap_or_default()
        }
        Target::Service(_) => TokenCounts::default(),
    };
    Ok((content_type.unwrap_or_else(|| "application/octet-stream".to_owned()), tokens))
}
