//! What the system needs of the platform, free of any wire form.

use ibissail_core::{Revision, Target, VmId, ZoneId};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::{fmt, future::Future, net::SocketAddr, pin::Pin, time::Duration};

quick_error! {
    /// Why a call to the platform did not succeed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlatformError {
        /// The condition did not hold; nothing was written.
        Conflict(key: String, current: Option<Object>) {
            display("`{}` has been changed by another writer", key)
        }
        /// The call had no effect.
        NotApplied(detail: String) {
            display("the platform did not act: {}", detail)
        }
        /// The write may have taken effect; only reading tells.
        OutcomeUnknown(detail: String) {
            display("the platform may have acted: {}", detail)
        }
    }
}

/// An object with its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Its key.
    pub key: String,
    /// Its version, which rises with each write to any object.
    pub revision: Revision,
    /// Its value, up to a megabyte.
    pub value: String,
}

/// All objects below a prefix at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The objects, in the order of their keys.
    pub objects: Vec<Object>,
    /// The store's version at that moment, from which a watch may go on.
    pub revision: Revision,
}

/// A write seen by a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Key of the object.
    pub key: String,
    /// Version of the write.
    pub revision: Revision,
    /// The new value, or `None` for a deletion.
    pub value: Option<String>,
}

/// What a watch has seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeBatch {
    /// The writes, oldest first.
    pub changes: Vec<Change>,
    /// Where the next watch goes on.
    pub revision: Revision,
}

/// What a VM is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// It serves callers.
    Entry,
    /// It runs an upstream and its sidecar.
    Upstream,
}

/// What the platform's list says of a VM, with a lag.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will be taken away.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Its name.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// What it is for.
    pub role: VmRole,
    /// Where its process listens for other processes.
    pub address: SocketAddr,
    /// Whether it is about to go.
    pub state: VmState,
    /// What its upstream offers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offers: Option<Target>,
}

/// A call to the platform in progress.
pub type PlatformFuture<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send + 'a>>;

/// The platform's object API and its list of VMs.
pub trait ObjectApi: fmt::Debug + Send + Sync {
    /// Reads an object.
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Object>>;

    /// Reads all objects below a prefix.
    fn list<'a>(&'a self, prefix: &'a str) -> PlatformFuture<'a, Listing>;

    /// Writes an object that must not exist yet.
    fn create<'a>(&'a self, key: &'a str, value: &'a str) -> PlatformFuture<'a, Revision>;

    /// Writes an object that must still have the version `base`.
    fn update<'a>(
        &'a self,
        key: &'a str,
        base: Revision,
        value: &'a str,
    ) -> PlatformFuture<'a, Revision>;

    /// Deletes an object that must still have the version `base`.
    fn delete<'a>(&'a self, key: &'a str, base: Revision) -> PlatformFuture<'a, Revision>;

    /// Waits at most `wait` for writes below a prefix after the version `from`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from: Revision,
        wait: Duration,
    ) -> PlatformFuture<'a, ChangeBatch>;

    /// Reads the list of VMs, which lags.
    fn list_vms(&self) -> PlatformFuture<'_, Vec<VmRecord>>;
}
