//! A model engine with the chat completions API, whole and streaming.

use crate::control::{body_of, json, json_of};
use async_std::{net::TcpListener, task};
use http_types::{Method, Request, Response, StatusCode};
use ibissail_transport::{BodySender, Caller, ServerOptions, ShutdownSignal, body_channel, serve};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json as object};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

const DEFAULT_WORDS: u64 = 8;
const WORDS: [&str; 8] =
    ["granite", "ridge", "belay", "traverse", "anchor", "pitch", "gully", "summit"];

/// How the engine answers.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Name in its answers.
    pub model: String,
    /// Time before the first token.
    pub first_token_delay: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
}

/// Faults of the engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Every request is answered with 500.
    pub fail: bool,
    /// A stream breaks after so many tokens.
    pub break_after: Option<u64>,
    /// Added to the time between tokens.
    pub slower_ms: u64,
}

/// What the engine has done.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Requests begun.
    pub started: u64,
    /// Requests answered in whole.
    pub finished: u64,
    /// Requests that the caller left.
    pub cancelled: u64,
    /// Tokens of prompts of whole answers.
    pub input_tokens: u64,
    /// Tokens of whole answers.
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

    async fn pause(&self, base: Duration) {
        let slower = Duration::from_millis(self.lock().faults.slower_ms);
        let pause = base + slower;
        if !pause.is_zero() {
            task::sleep(pause).await;
        }
    }

    fn finish(&self, job: &Job) {
        let counts = &mut self.lock().counts;
        counts.finished += 1;
        counts.input_tokens += job.input;
        counts.output_tokens += job.words;
    }
}

/// Serves the engine until the stop.
pub async fn run_engine(listener: TcpListener, options: EngineOptions, stop: ShutdownSignal) {
    let engine = Arc::new(Engine { options, state: Mutex::default() });
    let server = ServerOptions::default();
    serve(listener, server, stop, move |req, caller| answer(Arc::clone(&engine), req, caller))
        .await;
}

async fn answer(engine: Arc<Engine>, mut req: Request, caller: Caller) -> Response {
    match (req.method(), req.url().path()) {
        (Method::Put, "/control/faults") => {
            let faults = json_of(&mut req).await;
            engine.lock().faults = faults;
            Response::new(StatusCode::Ok)
        }
        (Method::Get, "/control/counts") => json(200, &engine.lock().counts),
        (Method::Post, "/v1/chat/completions") => complete(engine, req, caller).await,
        _ => Response::new(StatusCode::NotFound),
    }
}

#[derive(Debug, Clone)]
struct Job {
    input: u64,
    words: u64,
    seed: usize,
    usage: bool,
}

impl Job {
    fn of(body: &Value) -> Self {
        let messages = body["messages"].as_array().cloned().unwrap_or_default();
        let contents = messages.iter().filter_map(|message| message["content"].as_str());
        let prompt = contents.collect::<Vec<_>>().join(" ");
        Self {
            input: prompt.split_whitespace().count() as u64,
            words: body["max_tokens"].as_u64().unwrap_or(DEFAULT_WORDS),
            seed: prompt.bytes().map(usize::from).sum(),
            usage: body["stream_options"]["include_usage"].as_bool().unwrap_or(false),
        }
    }

    fn word(&self, index: u64) -> String {
        let place = (self.seed + usize::try_from(index).unwrap_or(0) * 3) % WORDS.len();
        if index == 0 { WORDS[place].to_owned() } else { format!(" {}", WORDS[place]) }
    }

    fn text(&self) -> String {
        (0..self.words).map(|index| self.word(index)).collect()
    }

    fn usage(&self) -> Value {
        object!({
            "prompt_tokens": self.input,
            "completion_tokens": self.words,
            "total_tokens": self.input + self.words,
        })
    }
}

async fn complete(engine: Arc<Engine>, mut req: Request, caller: Caller) -> Response {
    let Ok(body) = serde_json::from_slice::<Value>(&body_of(&mut req).await) else {
        return Response::new(StatusCode::BadRequest);
    };
    engine.lock().counts.started += 1;
    if engine.lock().faults.fail {
        return json(500, &object!({"error": {"message": "the engine has failed"}}));
    }
    let job = Job::of(&body);
    if body["stream"].as_bool().unwrap_or(false) {
        return stream(engine, job, caller);
    }
    let whole = async {
        engine.pause(engine.options.first_token_delay).await;
        for _ in 1..job.words {
            engine.pause(engine.options.token_interval).await;
        }
        true
    };
    let gone = async {
        caller.disconnected().await;
        false
    };
    if !futures_lite::future::or(whole, gone).await {
        engine.lock().counts.cancelled += 1;
        return Response::new(StatusCode::ServiceUnavailable);
    }
    engine.finish(&job);
    json(
        200,
        &object!({
            "id": "chatcmpl-standin",
            "object": "chat.completion",
            "created": 0,
            "model": engine.options.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": job.text()},
                "finish_reason": "stop",
            }],
            "usage": job.usage(),
        }),
    )
}

fn stream(engine: Arc<Engine>, job: Job, caller: Caller) -> Response {
    let (sender, body) = body_channel();
    task::spawn(async move {
        let gone = async {
            caller.disconnected().await;
            false
        };
        if !futures_lite::future::or(write_stream(&engine, &job, &sender), gone).await {
            engine.lock().counts.cancelled += 1;
        }
    });
    let mut res = Response::new(200);
    res.insert_header("content-type", "text/event-stream");
    res.set_body(body);
    res
}

async fn write_stream(engine: &Engine, job: &Job, sender: &BodySender) -> bool {
    engine.pause(engine.options.first_token_delay).await;
    for index in 0..job.words {
        if index > 0 {
            engine.pause(engine.options.token_interval).await;
        }
        let break_after = engine.lock().faults.break_after;
        if break_after.is_some_and(|tokens| index >= tokens) {
            return true;
        }
        let delta = object!({"content": job.word(index)});
        if !sender.send(event(engine, &delta, None)).await {
            return false;
        }
    }
    let mut tail = event(engine, &object!({}), Some("stop"));
    if job.usage {
        let usage = object!({
            "id": "chatcmpl-standin", "object": "chat.completion.chunk", "created": 0,
            "model": engine.options.model, "choices": [], "usage": job.usage(),
        });
        tail.extend_from_slice(format!("data: {usage}\n\n").as_bytes());
    }
    tail.extend_from_slice(b"data: [DONE]\n\n");
    let sent = sender.send(tail).await;
    if sent {
        engine.finish(job);
    }
    sent
}

fn event(engine: &Engine, delta: &Value, finish: Option<&str>) -> Vec<u8> {
    let chunk = object!({
        "id": "chatcmpl-standin",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": engine.options.model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    });
    format!("data: {chunk}\n\n").into_bytes()
}
