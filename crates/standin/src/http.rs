//! Request bodies, JSON responses and query parameters, shared by the stand-ins.

use http_types::{Request, Response};
use ibissail_core::ByteSize;
use ibissail_transport::read_body;
use serde::{Serialize, de::DeserializeOwned};

const MAX_BODY_SIZE: ByteSize = ByteSize(8 << 20);

/// Reads the body of a request; empty when it cannot be read or exceeds the size limit.
pub(crate) async fn read_request_body(req: &mut Request) -> Vec<u8> {
    let mut body = req.take_body();
    read_body(&mut body, MAX_BODY_SIZE).await.unwrap_or_default()
}

/// Reads the JSON body of a request; the default value when it is invalid.
pub(crate) async fn read_json_body<T>(req: &mut Request) -> T
where
    T: DeserializeOwned + Default,
{
    serde_json::from_slice(&read_request_body(req).await).unwrap_or_default()
}

/// Builds a JSON response.
pub(crate) fn json_response<T>(status: u16, value: &T) -> Response
where
    T: Serialize,
{
    let mut res = Response::new(status);
    res.set_body(serde_json::to_vec(value).unwrap_or_default());
    res.insert_header("content-type", "application/json");
    res
}

/// Value of a query parameter; `None` when it is missing.
pub(crate) fn query_parameter(req: &Request, name: &str) -> Option<String> {
    req.url().query_pairs().find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}

/// Value of a query parameter as a number; `None` when it is missing or not a number.
pub(crate) fn numeric_query_parameter(req: &Request, name: &str) -> Option<u64> {
    query_parameter(req, name)?.parse().ok()
}
