//! The object API as a trait with its types, independent of the protocol.

use ibissail_core::{Revision, Target, VmId, ZoneId};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::{fmt, future::Future, net::SocketAddr, pin::Pin, time::Duration};

quick_error! {
    /// Why a call to the platform failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlatformError {
        /// The precondition was not met; nothing was written. Holds the key and the current object,
        /// if there is one.
        Conflict(key: String, current: Option<Object>) {
            display("object `{}` has been changed by another writer", key)
        }
        /// The call failed and had no effect.
        NotApplied(detail: String) {
            display("the call to the platform had no effect: {}", detail)
        }
        /// The write may have been applied; read the object to find out.
        OutcomeUnknown(detail: String) {
            display("the outcome of the write is unknown: {}", detail)
        }
    }
}

/// A stored object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Key of the object.
    pub key: String,
    /// Revision of the last write to it. Revisions increase with each write to any object.
    pub revision: Revision,
    /// Value of the object, up to a megabyte.
    pub value: String,
}

/// A consistent snapshot of all objects below a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The objects, ordered by key.
    pub objects: Vec<Object>,
    /// Revision of the store in this snapshot, from which a watch can start.
    pub revision: Revision,
}

/// A write returned by a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Key of the object.
    pub key: String,
    /// Revision of the write.
    pub revision: Revision,
    /// The new value; `None` for a deletion.
    pub value: Option<String>,
}

/// The writes returned by one call of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeBatch {
    /// The writes, oldest first.
    pub changes: Vec<Change>,
    /// Revision from which the next watch continues.
    pub revision: Revision,
}

/// Role of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// Accepts requests from callers.
    Entry,
    /// Runs an upstream and its sidecar.
    Upstream,
}

/// State of a VM in the platform's list, which may be out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// An entry of the platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Name of the VM.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Role of the VM.
    pub role: VmRole,
    /// Address on which its process accepts messages from other processes.
    pub address: SocketAddr,
    /// Whether the VM is running or about to be removed.
    pub state: VmState,
    /// Model version or service that its upstream provides; `None` for a VM with the role
    /// `Entry`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offers: Option<Target>,
}

/// The platform's list of VMs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VmList {
    /// The entries that could be decoded.
    pub vms: Vec<VmRecord>,
    /// Why each of the others could not.
    pub unreadable: Vec<String>,
}

/// Boxed future of a call to the platform, which keeps the trait object-safe.
pub type PlatformFuture<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send + 'a>>;

/// The platform's object API and its list of VMs.
pub trait ObjectApi: fmt::Debug + Send + Sync {
    /// Reads an object; `None` when it does not exist.
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Object>>;

    /// Reads all objects below a prefix.
    fn list<'a>(&'a self, prefix: &'a str) -> PlatformFuture<'a, Listing>;

    /// Creates an object and returns its revision; `Conflict` when it already exists.
    fn create<'a>(&'a self, key: &'a str, value: &'a str) -> PlatformFuture<'a, Revision>;

    /// Replaces an object that still has the revision `base` and returns its new revision;
    /// otherwise `Conflict`.
    fn update<'a>(
        &'a self,
        key: &'a str,
        base: Revision,
        value: &'a str,
    ) -> PlatformFuture<'a, Revision>;

    /// Deletes an object that still has the revision `base` and returns the revision of the
    /// deletion; otherwise `Conflict`.
    fn delete<'a>(&'a self, key: &'a str, base: Revision) -> PlatformFuture<'a, Revision>;

    /// Returns the writes below a prefix after the revision `from`; waits at most `wait` for one
    /// and returns an empty batch when there was none.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from: Revision,
        wait: Duration,
    ) -> PlatformFuture<'a, ChangeBatch>;

    /// Reads the list of VMs, which may be out of date.
    fn list_vms(&self) -> PlatformFuture<'_, VmList>;
}
