//! Client of the platform's object API: versioned objects with conditional writes and watches, and
//! the list of VMs.
//!
//! Errors distinguish a write that was not applied from one whose outcome is unknown.

mod api;
mod wire;

pub use api::{
    Change, ChangeBatch, Listing, Object, ObjectApi, PlatformError, PlatformFuture, VmList,
    VmRecord, VmRole, VmState,
};
pub use wire::{
    ChangesBody, HttpPlatformClient, ListingBody, OBJECTS_PATH, ObjectBody, VMS_PATH, WATCH_PATH,
};
