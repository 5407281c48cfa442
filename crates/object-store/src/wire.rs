//! The object API over HTTP: all paths, headers and bodies of the protocol are defined here.

use crate::{
    Change, ChangeBatch, Listing, Object, ObjectApi, PlatformError, PlatformFuture, VmList,
};
use http_types::{
    Method, Request, StatusCode, Url,
    headers::{IF_MATCH, IF_NONE_MATCH},
};
use ibissail_core::{ByteSize, Revision};
use ibissail_transport::{Pool, PoolOptions, SendError};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;
use std::{net::SocketAddr, time::Duration};

/// Path of listings; with `/` and a key appended, the path of an object.
pub const OBJECTS_PATH: &str = "/v1/objects";
/// Path for watching objects.
pub const WATCH_PATH: &str = "/v1/watch";
/// Path of the list of VMs.
pub const VMS_PATH: &str = "/v1/vms";

/// Bytes of a key that are encoded in a query: all but the unreserved characters of RFC 3986.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');
/// The same in a path, of which a key may have several segments.
const ENCODED_IN_PATHS: &AsciiSet = &ENCODED.remove(b'/');

/// Maximum length of a response body.
const MAX_RESPONSE_SIZE: ByteSize = ByteSize(64 << 20);
/// Time added to the wait of a watch before the call times out.
const WATCH_RESPONSE_MARGIN: Duration = Duration::from_secs(2);

/// Response body of an object, and of a write.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ObjectBody {
    /// The object as written or read, or the current one after a failed precondition; `None` when
    /// there is none.
    pub object: Option<Object>,
}

/// Response body of a listing.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListingBody {
    /// The objects, ordered by key.
    pub objects: Vec<Object>,
    /// Revision of the store.
    #[serde(rename = "at")]
    pub revision: Revision,
}

/// Response body of a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChangesBody {
    /// The writes, oldest first.
    pub changes: Vec<Change>,
    /// Revision of the store.
    #[serde(rename = "at")]
    pub revision: Revision,
}

/// HTTP client of the platform.
#[derive(Debug, Clone)]
pub struct HttpPlatformClient {
    address: SocketAddr,
    pool: Pool,
    timeout: Duration,
}

impl HttpPlatformClient {
    /// Creates a client of the platform at an address. `timeout` applies to the head and to the
    /// body of each response, except for watches, which have their own wait.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, pool: Pool::new(PoolOptions::default()), timeout }
    }

    fn request(&self, method: Method, path: &str) -> Result<Request, PlatformError> {
        let url = Url::parse(&format!("http://{}{path}", self.address))
            .map_err(|error| PlatformError::NotApplied(error.to_string()))?;
        Ok(Request::new(method, url))
    }

    async fn read<T>(&self, path: &str, limit: Duration) -> Result<Option<T>, PlatformError>
    where
        T: DeserializeOwned,
    {
        let req = self.request(Method::Get, path)?;
        let not_applied = |error: SendError| PlatformError::NotApplied(error.to_string());
        let pooled = self.pool.send(self.address, req, limit).await.map_err(not_applied)?;
        let status = pooled.response.status();
        let body = pooled.read_body(MAX_RESPONSE_SIZE, limit).await.map_err(not_applied)?;
        match status {
            StatusCode::Ok => parse(&body).map(Some).map_err(PlatformError::NotApplied),
            StatusCode::NotFound => Ok(None),
            other => Err(PlatformError::NotApplied(format!("status {other}"))),
        }
    }

    async fn write(&self, key: &str, mut req: Request) -> Result<Revision, PlatformError> {
        req.insert_header("content-type", "text/plain; charset=utf-8");
        let pooled = match self.pool.send(self.address, req, self.timeout).await {
            Ok(pooled) => pooled,
            Err(SendError::NotSent(_, detail)) => return Err(PlatformError::NotApplied(detail)),
            Err(error) => return Err(PlatformError::OutcomeUnknown(error.to_string())),
        };
        let status = pooled.response.status();
        let body = match pooled.read_body(MAX_RESPONSE_SIZE, self.timeout).await {
            Ok(body) => body,
            Err(error) => return Err(PlatformError::OutcomeUnknown(error.to_string())),
        };
        let body: ObjectBody = match status {
            StatusCode::Ok | StatusCode::PreconditionFailed => {
                parse(&body).map_err(PlatformError::OutcomeUnknown)?
            }
            StatusCode::ServiceUnavailable | StatusCode::TooManyRequests => {
                return Err(PlatformError::NotApplied(format!("status {status}")));
            }
            other => return Err(PlatformError::OutcomeUnknown(format!("status {other}"))),
        };
        match (status, body.object) {
            (StatusCode::Ok, Some(object)) => Ok(object.revision),
            (_, current) => Err(PlatformError::Conflict(key.to_owned(), current)),
        }
    }
}

fn parse<T>(body: &[u8]) -> Result<T, String>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

/// Path of an object; the slashes of its key separate segments.
fn object_path(key: &str) -> Result<String, PlatformError> {
    if let Some(segment) = key.split('/').find(|segment| matches!(*segment, "." | "..")) {
        // A URL drops such a segment, even encoded, and would name another object.
        let error = format!("key `{key}` has the segment `{segment}`, which a path cannot hold");
        return Err(PlatformError::NotApplied(error));
    }
    Ok(format!("{OBJECTS_PATH}/{}", utf8_percent_encode(key, ENCODED_IN_PATHS)))
}

fn encode_prefix(prefix: &str) -> PercentEncode<'_> {
    utf8_percent_encode(prefix, ENCODED)
}

impl ObjectApi for HttpPlatformClient {
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Object>> {
        Box::pin(async move {
            let body = self.read::<ObjectBody>(&object_path(key)?, self.timeout).await?;
            Ok(body.and_then(|body| body.object))
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> PlatformFuture<'a, Listing> {
        Box::pin(async move {
            let path = format!("{OBJECTS_PATH}?prefix={}", encode_prefix(prefix));
            let body: Option<ListingBody> = self.read(&path, self.timeout).await?;
            let body = body.ok_or_else(|| PlatformError::NotApplied("no list".to_owned()))?;
            Ok(Listing { objects: body.objects, revision: body.revision })
        })
    }

    fn create<'a>(&'a self, key: &'a str, value: &'a str) -> PlatformFuture<'a, Revision> {
        Box::pin(async move {
            let mut req = self.request(Method::Put, &object_path(key)?)?;
            req.insert_header(IF_NONE_MATCH, "*");
            req.set_body(value);
            self.write(key, req).await
        })
    }

    fn update<'a>(
        &'a self,
        key: &'a str,
        base: Revision,
        value: &'a str,
    ) -> PlatformFuture<'a, Revision> {
        Box::pin(async move {
            let mut req = self.request(Method::Put, &object_path(key)?)?;
            req.insert_header(IF_MATCH, base.to_string());
            req.set_body(value);
            self.write(key, req).await
        })
    }

    fn delete<'a>(&'a self, key: &'a str, base: Revision) -> PlatformFuture<'a, Revision> {
        Box::pin(async move {
            let mut req = self.request(Method::Delete, &object_path(key)?)?;
            req.insert_header(IF_MATCH, base.to_string());
            self.write(key, req).await
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from: Revision,
        wait: Duration,
    ) -> PlatformFuture<'a, ChangeBatch> {
        Box::pin(async move {
            let prefix = encode_prefix(prefix);
            let path =
                format!("{WATCH_PATH}?prefix={prefix}&from={from}&wait_ms={}", wait.as_millis());
            let body: Option<ChangesBody> = self.read(&path, wait + WATCH_RESPONSE_MARGIN).await?;
            let body = body.ok_or_else(|| PlatformError::NotApplied("no watch".to_owned()))?;
            Ok(ChangeBatch { changes: body.changes, revision: body.revision })
        })
    }

    fn list_vms(&self) -> PlatformFuture<'_, VmList> {
        Box::pin(async move {
            let body: Option<Vec<Box<RawValue>>> = self.read(VMS_PATH, self.timeout).await?;
            let body =
                body.ok_or_else(|| PlatformError::NotApplied("no list of VMs".to_owned()))?;
            let mut list = VmList::default();
            // One entry that cannot be decoded must not hide the others.
            for entry in body {
                match serde_json::from_str(entry.get()) {
                    Ok(vm) => list.vms.push(vm),
                    Err(error) => list.unreadable.push(error.to_string()),
                }
            }
            Ok(list)
        })
    }
}
