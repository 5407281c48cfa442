//! Messages between processes: `MessagePack` bodies over HTTP, signed in both directions.
//!
//! The header `x-ibissail-auth` of a request carries a key id, a random nonce and a signature of
//! the nonce, the path and the body. The response signs the same nonce with its own body, which
//! binds it to the request.

use crate::{FrameReader, Pool, PooledResponse, SendError, read_body};
use http_types::{Body, Method, Request, Response, Url};
use ibissail_core::{ByteSize, ErrorKind, Fault, SigningKey};
use quick_error::quick_error;
use serde::{Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, sync::Arc, time::Duration};

const AUTH_HEADER: &str = "x-ibissail-auth";
/// Maximum length of a message: a settings document has up to a megabyte, the rest is headroom.
const MAX_MESSAGE_SIZE: ByteSize = ByteSize(24 << 20);
/// Signed in place of the body when the response is a stream of frames.
const STREAM_SIGNATURE_INPUT: &[u8] = b"stream";

quick_error! {
    /// Why a call to another process failed.
    #[derive(Debug, Clone)]
    pub enum CallError {
        /// The request was not sent, or its response was not received.
        Send(error: SendError) {
            from()
            display("{}", error)
        }
        /// The peer refused the request.
        Refused(fault: Fault) {
            from()
            display("refused: {}", fault)
        }
        /// The response has no valid signature for this request, or cannot be decoded as the
        /// expected type.
        InvalidResponse(peer: SocketAddr) {
            display("{}: the response has an invalid signature or unexpected content", peer)
        }
    }
}

/// Keys shared by all processes: the first one signs, any of them verifies.
#[derive(Debug, Clone)]
pub struct Keyring {
    keys: Arc<Vec<SigningKey>>,
}

impl Keyring {
    /// Creates a keyring from at least one key.
    #[must_use]
    pub fn new(keys: Vec<SigningKey>) -> Self {
        Self { keys: Arc::new(keys) }
    }

    /// Header value `key-id nonce signature`, or an empty string when there is no key.
    fn sign(&self, nonce: &str, parts: &[&[u8]]) -> String {
        let mut all = vec![nonce.as_bytes()];
        all.extend_from_slice(parts);
        let Some(key) = self.keys.first() else {
            return String::new();
        };
        format!("{} {nonce} {}", key.id(), key.sign(&all))
    }

    /// Checks a header value against the signed parts and returns its nonce, or `None` if invalid.
    fn verify<'h>(&self, header: &'h str, parts: &[&[u8]]) -> Option<&'h str> {
        let mut words = header.split(' ');
        let (id, nonce, signature) = (words.next()?, words.next()?, words.next()?);
        let mut all = vec![nonce.as_bytes()];
        all.extend_from_slice(parts);
        let key = self.keys.iter().find(|key| key.id() == id)?;
        key.verify(&all, signature).then_some(nonce)
    }
}

/// A verified request, with the nonce and keys to sign its response.
#[derive(Debug)]
pub struct Envelope {
    keyring: Keyring,
    nonce: String,
    body: Vec<u8>,
}

impl Envelope {
    /// Reads a request and verifies its signature.
    ///
    /// # Errors
    ///
    /// `Unauthorized` for a missing or invalid signature, `BodyTooLarge` or `BadRequest` for a body
    /// that cannot be read.
    pub async fn receive(keyring: &Keyring, req: &mut Request) -> Result<Self, Fault> {
        let mut body = req.take_body();
        let body = read_body(&mut body, MAX_MESSAGE_SIZE).await?;
        let header = req.header(AUTH_HEADER).map(|h| h.as_str().to_owned()).unwrap_or_default();
        let path = req.url().path().as_bytes();
        let nonce = keyring
            .verify(&header, &[path, &body])
            .ok_or_else(|| {
                Fault::new(ErrorKind::Unauthorized, "the message has no valid signature")
            })?
            .to_owned();
        Ok(Self { keyring: keyring.clone(), nonce, body })
    }

    /// Decodes the request body.
    ///
    /// # Errors
    ///
    /// `BadRequest` when the body does not decode as `M`.
    pub fn message<M>(&self) -> Result<M, Fault>
    where
        M: DeserializeOwned,
    {
        rmp_serde::from_slice(&self.body)
            .map_err(|error| Fault::new(ErrorKind::BadRequest, error.to_string()))
    }

    /// Signed response with status 200.
    #[must_use]
    pub fn respond<M>(&self, message: &M) -> Response
    where
        M: Serialize,
    {
        self.signed_response(200, encode(message))
    }

    /// Signed refusal with status 409.
    #[must_use]
    pub fn refuse<M>(&self, message: &M) -> Response
    where
        M: Serialize,
    {
        self.signed_response(409, encode(message))
    }

    /// Response whose body is a stream of frames. The signature covers the nonce, not the frames.
    #[must_use]
    pub fn stream(&self, body: Body) -> Response {
        let mut res = Response::new(200);
        res.insert_header(AUTH_HEADER, self.keyring.sign(&self.nonce, &[STREAM_SIGNATURE_INPUT]));
        res.set_body(body);
        res
    }

    fn signed_response(&self, status: u16, body: Vec<u8>) -> Response {
        let mut res = Response::new(status);
        res.insert_header(AUTH_HEADER, self.keyring.sign(&self.nonce, &[&body]));
        res.set_body(body);
        res
    }
}

fn encode<M>(message: &M) -> Vec<u8>
where
    M: Serialize,
{
    rmp_serde::to_vec(message).expect("messages can be encoded as MessagePack")
}

/// Builds a request and returns it with its nonce.
fn signed_request<M>(
    keyring: &Keyring,
    peer: SocketAddr,
    path: &str,
    message: &M,
) -> (Request, String)
where
    M: Serialize,
{
    let body = encode(message);
    let nonce = format!("{:016x}", rand::random::<u64>());
    let auth = keyring.sign(&nonce, &[path.as_bytes(), &body]);
    let url = Url::parse(&format!("http://{peer}{path}"))
        .expect("an address and a path form a valid URL");
    let mut req = Request::new(Method::Post, url);
    req.insert_header(AUTH_HEADER, auth);
    req.set_body(body);
    (req, nonce)
}

fn has_valid_signature(
    keyring: &Keyring,
    pooled: &PooledResponse,
    nonce: &str,
    signed_part: &[u8],
) -> bool {
    let header = pooled.response.header(AUTH_HEADER).map(|h| h.as_str()).unwrap_or_default();
    keyring.verify(header, &[signed_part]) == Some(nonce)
}

/// Sends a message and decodes the response; a refusal carries a message of type `E`.
///
/// `limit` applies to the head and to the body of the response separately.
///
/// # Errors
///
/// `Send` when no response was received, `InvalidResponse` when its signature or content is
/// invalid. The inner error is a refusal by the peer.
pub async fn call<M, A, E>(
    pool: &Pool,
    keyring: &Keyring,
    peer: SocketAddr,
    path: &str,
    message: &M,
    limit: Duration,
) -> Result<Result<A, E>, CallError>
where
    M: Serialize,
    A: DeserializeOwned,
    E: DeserializeOwned,
{
    let (req, nonce) = signed_request(keyring, peer, path, message);
    let pooled = pool.send(peer, req, limit).await?;
    read_response(keyring, pooled, &nonce, limit).await
}

async fn read_response<A, E>(
    keyring: &Keyring,
    pooled: PooledResponse,
    nonce: &str,
    limit: Duration,
) -> Result<Result<A, E>, CallError>
where
    A: DeserializeOwned,
    E: DeserializeOwned,
{
    let peer = pooled.peer();
    let is_success = pooled.response.status().is_success();
    let auth = pooled.response.header(AUTH_HEADER).map(|h| h.as_str().to_owned());
    let body = pooled.read_body(MAX_MESSAGE_SIZE, limit).await?;
    let is_valid = keyring.verify(&auth.unwrap_or_default(), &[&body]) == Some(nonce);
    if !is_valid {
        return Err(CallError::InvalidResponse(peer));
    }
    let invalid = |_error| CallError::InvalidResponse(peer);
    if is_success {
        rmp_serde::from_slice(&body).map(Ok).map_err(invalid)
    } else {
        rmp_serde::from_slice(&body).map(Err).map_err(invalid)
    }
}

/// A response whose body is a stream of frames.
#[derive(Debug)]
pub struct StreamResponse {
    /// Reader of the frames.
    pub frames: FrameReader<Body>,
    pooled: PooledResponse,
}

impl StreamResponse {
    /// Returns the connection to the pool; call it only after all frames have been read.
    pub fn release(self) {
        self.pooled.release();
    }
}

/// Sends a message whose response is a stream of frames, or a single refusal of type `E`.
///
/// `limit` applies to the head of the response and to a refusal, not to the stream.
///
/// # Errors
///
/// The same as for [`call`].
pub async fn open_stream<M, E>(
    pool: &Pool,
    keyring: &Keyring,
    peer: SocketAddr,
    path: &str,
    message: &M,
    limit: Duration,
) -> Result<Result<StreamResponse, E>, CallError>
where
    M: Serialize,
    E: DeserializeOwned,
{
    let (req, nonce) = signed_request(keyring, peer, path, message);
    let mut pooled = pool.send(peer, req, limit).await?;
    if !pooled.response.status().is_success() {
        let refusal = read_response::<(), E>(keyring, pooled, &nonce, limit).await?;
        return refusal.err().map(Err).ok_or(CallError::InvalidResponse(peer));
    }
    if !has_valid_signature(keyring, &pooled, &nonce, STREAM_SIGNATURE_INPUT) {
        return Err(CallError::InvalidResponse(peer));
    }
    let frames = FrameReader::new(pooled.take_body());
    Ok(Ok(StreamResponse { frames, pooled }))
}
