//! One-off HTTP requests to processes.

use crate::{cli::OutputFormat, error::CommandError, output::print};
use http_types::{Method, Request, Url};
use ibissail_core::ByteSize;
use ibissail_transport::{Pool, PoolOptions};
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};

const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);
const MAX_RESPONSE_SIZE: ByteSize = ByteSize(16 << 20);

fn new_request(method: Method, address: SocketAddr, path: &str) -> Result<Request, CommandError> {
    let url = Url::parse(&format!("http://{address}{path}"))
        .map_err(|error| CommandError::Failed(error.to_string()))?;
    Ok(Request::new(method, url))
}

async fn send(address: SocketAddr, req: Request) -> Result<(u16, Vec<u8>), CommandError> {
    let to_command_error =
        |error: ibissail_transport::SendError| CommandError::Failed(error.to_string());
    let pool = Pool::new(PoolOptions::default());
    let response = pool.send(address, req, REQUEST_TIMEOUT).await.map_err(to_command_error)?;
    let status = u16::from(response.response.status());
    let body =
        response.read_body(MAX_RESPONSE_SIZE, REQUEST_TIMEOUT).await.map_err(to_command_error)?;
    Ok((status, body))
}

/// Sends a GET request to a process and returns the response body; a status other than 200 is an
/// error.
pub(crate) async fn fetch(address: SocketAddr, path: &str) -> Result<Vec<u8>, CommandError> {
    let (status, body) = send(address, new_request(Method::Get, address, path)?).await?;
    if status == 200 {
        return Ok(body);
    }
    Err(CommandError::Failed(format!("http://{address}{path}: status {status}")))
}

/// Sends a chat completion with one user message and prints the response.
pub(crate) async fn send_chat_completion(
    entry: SocketAddr,
    key: &str,
    model: &str,
    prompt: &str,
    output: OutputFormat,
) -> Result<(), CommandError> {
    let mut req = new_request(Method::Post, entry, "/v1/chat/completions")?;
    req.insert_header("authorization", format!("Bearer {key}"));
    let body = json!({"model": model, "messages": [{"role": "user", "content": prompt}]});
    req.set_body(body.to_string());
    let (status, body) = send(entry, req).await?;
    let completion: Value = serde_json::from_slice(&body).map_err(|error| {
        CommandError::Failed(format!(
            "http://{entry}/v1/chat/completions: status {status}, the body is not JSON: {error}"
        ))
    })?;
    if status != 200 {
        return Err(CommandError::Failed(format!(
            "http://{entry}/v1/chat/completions: status {status}: {}",
            completion["error"]
        )));
    }
    print(output, &completion, |completion| {
        let text = completion["choices"][0]["message"]["content"].as_str().unwrap_or_default();
        format!("{text}\n")
    });
    Ok(())
}
