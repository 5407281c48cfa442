//! Sends single requests over HTTP.

use crate::{cli::Output, error::CommandError, output::print};
use http_types::{Method, Request, Url};
use ibissail_core::ByteSize;
use ibissail_transport::{Pool, PoolOptions};
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};

const TIMEOUT: Duration = Duration::from_mins(1);
const MAX_ANSWER: ByteSize = ByteSize(16 << 20);

fn request(method: Method, address: SocketAddr, path: &str) -> Result<Request, CommandError> {
    let url = Url::parse(&format!("http://{address}{path}"))
        .map_err(|error| CommandError::Request(error.to_string()))?;
    Ok(Request::new(method, url))
}

async fn send(address: SocketAddr, req: Request) -> Result<(u16, Vec<u8>), CommandError> {
    let failed = |error: ibissail_transport::SendError| CommandError::Request(error.to_string());
    let pool = Pool::new(PoolOptions::default());
    let reply = pool.send(address, req, TIMEOUT).await.map_err(failed)?;
    let status = u16::from(reply.response.status());
    let body = reply.read_body(MAX_ANSWER, TIMEOUT).await.map_err(failed)?;
    Ok((status, body))
}

/// Reads a path of a process.
pub(crate) async fn fetch(address: SocketAddr, path: &str) -> Result<Vec<u8>, CommandError> {
    let (status, body) = send(address, request(Method::Get, address, path)?).await?;
    if status == 200 {
        return Ok(body);
    }
    Err(CommandError::Request(format!("http://{address}{path}: status {status}")))
}

/// Sends a chat completion and prints its text.
pub(crate) async fn complete(
    entry: SocketAddr,
    key: &str,
    model: &str,
    prompt: &str,
    output: Output,
) -> Result<(), CommandError> {
    let mut req = request(Method::Post, entry, "/v1/chat/completions")?;
    req.insert_header("authorization", format!("Bearer {key}"));
    let body = json!({"model": model, "messages": [{"role": "user", "content": prompt}]});
    req.set_body(body.to_string());
    let (status, body) = send(entry, req).await?;
    let answer: Value = serde_json::from_slice(&body)
        .map_err(|error| CommandError::Request(format!("status {status}: {error}")))?;
    if status != 200 {
        return Err(CommandError::Request(format!("status {status}: {}", answer["error"])));
    }
    print(output, &answer, |answer| {
        let text = answer["choices"][0]["message"]["content"].as_str().unwrap_or_default();
        format!("{text}\n")
    });
    Ok(())
}
