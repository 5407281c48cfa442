//! Stand-in for a model engine: the chat completions API, streaming and not streaming.

use crate::http::{json_response, read_json_body, read_request_body};
use async_std::{net::TcpListener, task};
use http_types::{Method, Request, Response, StatusCode};
use ibissail_transport::{BodySender, Caller, ServerOptions, ShutdownSignal, body_channel, serve};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

const DEFAULT_OUTPUT_TOKENS: u64 = 8;
const VOCABULARY: [&str; 8] =
    ["granite", "ridge", "belay", "traverse", "anchor", "pitch", "gully", "summit"];

/// Options of the engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Model name in the responses.
    pub model: String,
    /// Delay before the first token.
    pub first_token_delay: Duration,
    /// Delay between two tokens.
    pub token_interval: Duration,
}

/// Faults injected into the engine through `/control/faults`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Responds to every completion with status 500.
    pub fail: bool,
    /// Ends each stream early after this many tokens.
    pub break_after: Option<u64>,
    /// Milliseconds added to the delay before each token.
    pub slower_ms: u64,
}

/// Counters of the engine, reported at `/control/counts`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Completions started, including failed ones.
    pub started: u64,
    /// Completions generated in full.
    pub finished: u64,
    /// Completions cancelled because the caller disconnected.
    pub cancelled: u64,
    /// Prompt tokens of completions generated in full.
    pub input_tokens: u64,
    /// Output tokens of completions generated in full.
    pub output_tokens: u64,
}

#[derive(Debug)]
struct Engine {
    options: EngineOptions,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    faults: EngineFaults,
    counts: EngineCounts,
}

impl Engine {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for `base` plus the injected slowdown.
    async fn delay(&self, base: Duration) {
        let slowdown = Duration::from_millis(self.lock().faults.slower_ms);
        let delay = base + slowdown;
        if !delay.is_zero() {
            task::sleep(delay).await;
        }
    }

    fn finish(&self, completion: &Completion) {
        let counts = &mut self.lock().counts;
        counts.finished += 1;
        counts.input_tokens += completion.input_tokens;
        counts.output_tokens += completion.output_tokens;
    }
}

/// Serves the engine until shutdown.
pub async fn run_engine(listener: TcpListener, options: EngineOptions, shutdown: ShutdownSignal) {
    let engine = Arc::new(Engine { options, state: Mutex::default() });
    let server = ServerOptions::default();
    serve(listener, server, shutdown, move |req, caller| {
        handle_request(Arc::clone(&engine), req, caller)
    })
    .await;
}

async fn handle_request(engine: Arc<Engine>, mut req: Request, caller: Caller) -> Response {
    match (req.method(), req.url().path()) {
        (Method::Put, "/control/faults") => {
            let faults = read_json_body(&mut req).await;
            engine.lock().faults = faults;
            Response::new(StatusCode::Ok)
        }
        (Method::Get, "/control/counts") => json_response(200, &engine.lock().counts),
        (Method::Post, "/v1/chat/completions") => handle_completion(engine, req, caller).await,
        _ => Response::new(StatusCode::NotFound),
    }
}

/// A completion whose text depends only on its prompt and on the number of output tokens.
#[derive(Debug, Clone)]
struct Completion {
    input_tokens: u64,
    output_tokens: u64,
    seed: usize,
    include_usage: bool,
}

impl Completion {
    fn from_body(body: &Value) -> Self {
        let messages = body["messages"].as_array().cloned().unwrap_or_default();
        let contents = messages.iter().filter_map(|message| message["content"].as_str());
        let prompt = contents.collect::<Vec<_>>().join(" ");
        Self {
            input_tokens: prompt.split_whitespace().count() as u64,
            output_tokens: body["max_tokens"].as_u64().unwrap_or(DEFAULT_OUTPUT_TOKENS),
            seed: prompt.bytes().map(usize::from).sum(),
            include_usage: body["stream_options"]["include_usage"].as_bool().unwrap_or(false),
        }
    }

    fn token(&self, index: u64) -> String {
        let position = (self.seed + usize::try_from(index).unwrap_or(0) * 3) % VOCABULARY.len();
        if index == 0 {
            VOCABULARY[position].to_owned()
        } else {
            format!(" {}", VOCABULARY[position])
        }
    }

    fn text(&self) -> String {
        (0..self.output_tokens).map(|index| self.token(index)).collect()
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.input_tokens,
            "completion_tokens": self.output_tokens,
            "total_tokens": self.input_tokens + self.output_tokens,
        })
    }
}

async fn handle_completion(engine: Arc<Engine>, mut req: Request, caller: Caller) -> Response {
    let Ok(body) = serde_json::from_slice::<Value>(&read_request_body(&mut req).await) else {
        return Response::new(StatusCode::BadRequest);
    };
    engine.lock().counts.started += 1;
    if engine.lock().faults.fail {
        return json_response(500, &json!({"error": {"message": "the engine has failed"}}));
    }
    let completion = Completion::from_body(&body);
    if body["stream"].as_bool().unwrap_or(false) {
        return stream_response(engine, completion, caller);
    }
    let completed = async {
        engine.delay(engine.options.first_token_delay).await;
        for _ in 1..completion.output_tokens {
            engine.delay(engine.options.token_interval).await;
        }
        true
    };
    let disconnected = async {
        caller.disconnected().await;
        false
    };
    if !futures_lite::future::or(completed, disconnected).await {
        engine.lock().counts.cancelled += 1;
        return Response::new(StatusCode::ServiceUnavailable);
    }
    engine.finish(&completion);
    json_response(
        200,
        &json!({
            "id": "chatcmpl-standin",
            "object": "chat.completion",
            "created": 0,
            "model": engine.options.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": completion.text()},
                "finish_reason": "stop",
            }],
            "usage": completion.usage(),
        }),
    )
}

fn stream_response(engine: Arc<Engine>, completion: Completion, caller: Caller) -> Response {
    let (sender, body) = body_channel();
    task::spawn(async move {
        let disconnected = async {
            caller.disconnected().await;
            false
        };
        if !futures_lite::future::or(write_stream(&engine, &completion, &sender), disconnected)
            .await
        {
            engine.lock().counts.cancelled += 1;
        }
    });
    let mut res = Response::new(200);
    res.insert_header("content-type", "text/event-stream");
    res.set_body(body);
    res
}

/// Streams a completion; `false` when the caller has disconnected. An injected break also returns
/// `true`.
async fn write_stream(engine: &Engine, completion: &Completion, sender: &BodySender) -> bool {
    engine.delay(engine.options.first_token_delay).await;
    for index in 0..completion.output_tokens {
        if index > 0 {
            engine.delay(engine.options.token_interval).await;
        }
        let break_after = engine.lock().faults.break_after;
        if break_after.is_some_and(|tokens| index >= tokens) {
            return true;
        }
        let delta = json!({"content": completion.token(index)});
        if !sender.send(encode_chunk(engine, &delta, None)).await {
            return false;
        }
    }
    let mut tail = encode_chunk(engine, &json!({}), Some("stop"));
    if completion.include_usage {
        let usage = json!({
            "id": "chatcmpl-standin", "object": "chat.completion.chunk", "created": 0,
            "model": engine.options.model, "choices": [], "usage": completion.usage(),
        });
        tail.extend_from_slice(format!("data: {usage}\n\n").as_bytes());
    }
    tail.extend_from_slice(b"data: [DONE]\n\n");
    let is_sent = sender.send(tail).await;
    if is_sent {
        engine.finish(completion);
    }
    is_sent
}

/// Encodes a chunk of a streamed completion as a server-sent event.
fn encode_chunk(engine: &Engine, delta: &Value, finish_reason: Option<&str>) -> Vec<u8> {
    let chunk = json!({
        "id": "chatcmpl-standin",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": engine.options.model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
    });
    format!("data: {chunk}\n\n").into_bytes()
}
