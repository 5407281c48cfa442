//! Helpers shared by the stand-ins: JSON bodies and query parameters.

use http_types::{Request, Response};
use ibissail_core::ByteSize;
use ibissail_transport::read_body;
use serde::{Serialize, de::DeserializeOwned};

const MAX_BODY: ByteSize = ByteSize(8 << 20);

/// The body of a request, or nothing when it cannot be read.
pub(crate) async fn body_of(req: &mut Request) -> Vec<u8> {
    let mut body = req.take_body();
    read_body(&mut body, MAX_BODY).await.unwrap_or_default()
}

/// The JSON body of a request, or its default.
pub(crate) async fn json_of<T>(req: &mut Request) -> T
where
    T: DeserializeOwned + Default,
{
    serde_json::from_slice(&body_of(req).await).unwrap_or_default()
}

/// A JSON answer.
pub(crate) fn json<T>(status: u16, value: &T) -> Response
where
    T: Serialize,
{
    let mut res = Response::new(status);
    res.set_body(serde_json::to_vec(value).unwrap_or_default());
    res.insert_header("content-type", "application/json");
    res
}

/// A query parameter as text.
pub(crate) fn query(req: &Request, name: &str) -> Option<String> {
    req.url().query_pairs().find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}

/// A query parameter as a number.
pub(crate) fn query_number(req: &Request, name: &str) -> Option<u64> {
    query(req, name)?.parse().ok()
}
