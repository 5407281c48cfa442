//! Client of the platform's object API, with typed outcomes.

mod api;
mod wire;

pub use api::{
    Change, ChangeBatch, Listing, Object, ObjectApi, PlatformError, PlatformFuture, VmRecord,
    VmRole, VmState,
};
pub use wire::{
    ChangesBody, HttpPlatformClient, ListingBody, OBJECTS_PATH, ObjectBody, VMS_PATH, WATCH_PATH,
};
