//! Keys with any characters name the objects that they are the keys of.

use async_std::{net::TcpListener, task};
use ibissail_object_store::{HttpPlatformClient, ObjectApi, PlatformError};
use ibissail_standin::run_platform;
use ibissail_transport::{ShutdownHandle, shutdown_channel};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a watch waits.
const WAIT: Duration = Duration::from_millis(200);
const KEYS: [&str; 20] = [
    "a b",
    "a+b",
    "a&b",
    "a&prefix=z",
    "a#b",
    "a%b",
    "a%20b",
    "a%2Fb",
    "a?b",
    "a=b",
    "a;b",
    "a\\b",
    "a\"b",
    "a\tb",
    "a\r\nX: b",
    "a\0b",
    "a\u{7f}b",
    "a\u{e9}b",
    "a\u{1d11e}b",
    "a//b",
];

/// Starts a platform; it ends when the handle is dropped.
async fn start() -> (HttpPlatformClient, ShutdownHandle) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let (handle, signal) = shutdown_channel();
    task::spawn(run_platform(listener, signal));
    (HttpPlatformClient::new(address, TIMEOUT), handle)
}

/// Writes, reads, lists, watches and deletes an object between two others. Returns the keys that the
/// read, the listing and the watch have shown, and how many objects are left.
async fn use_key(key: &str) -> Result<(Vec<String>, usize), PlatformError> {
    let (platform, _handle) = start().await;
    platform.create("a", "before").await?;
    platform.create("z", "after").await?;
    let created = platform.create(key, "first").await?;
    let updated = platform.update(key, created, "second").await?;
    let read = platform.get(key).await?.into_iter().map(|object| object.key);
    let listed = platform.list(key).await?.objects.into_iter().map(|object| object.key);
    let watched = platform.watch(key, created, WAIT).await?.changes;
    let watched = watched.into_iter().map(|change| change.key);
    let shown = read.chain(listed).chain(watched).collect();
    platform.delete(key, updated).await?;
    Ok((shown, platform.list("").await?.objects.len()))
}

#[test]
fn odd_keys() {
    let mut failed = Vec::new();
    for key in KEYS {
        let used = task::block_on(use_key(key));
        if used != Ok((vec![key.to_owned(); 3], 2)) {
            failed.push(format!("{key:?}: {used:?}"));
        }
    }
    assert!(failed.is_empty(), "{} of {}: {failed:#?}", failed.len(), KEYS.len());
}

/// Guards against a write to another object: a URL has no such segments.
#[test]
fn dot_segments() {
    for key in ["..", "a/../b", "a/.", "./a"] {
        task::block_on(async {
            let (platform, _handle) = start().await;
            let error = platform.create(key, "value").await;
            assert!(matches!(error, Err(PlatformError::NotApplied(_))), "{key}: {error:?}");
            assert!(platform.list("").await.is_ok_and(|listing| listing.objects.is_empty()));
        });
    }
}
