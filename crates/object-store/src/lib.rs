//! Client of the platform's object API, with typed outcomes.

mod api;
mod wire;

pub use api::{
    Change, Listing, Object, ObjectApi, PlatformCall, PlatformError, VmRecord, VmRole, VmState,
    Watched,
};
pub use wire::{
    ChangesBody, HttpPlatform, ListingBody, OBJECTS_PATH, ObjectBody, VMS_PATH, WATCH_PATH,
};
