//! What entries tell each other about evacuations.

use ibissail_core::{Millis, StoreRevision, ZoneId};
use serde::{Deserialize, Serialize};

/// Evacuations that an entry knows, as told to peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldEvacuations {
    /// Position of the newest listing that the sender has applied.
    pub at: StoreRevision,
    /// Time since the sender's data was last known to be current.
    pub age: Millis,
    /// The evacuated zones, each with the newest position at which it was shown. Those of earlier
    /// epochs than `at` are missing from a restored store and kept for a while.
    pub zones: Vec<(ZoneId, StoreRevision)>,
    /// Rest of the time for which the missing ones are kept.
    #[serde(default)]
    pub hold: Millis,
    /// Whether all evacuations of the sender are included. Otherwise a zone that is not in the list
    /// may be evacuated.
    #[serde(default)]
    pub is_complete: bool,
}
