//! Withdrawals that an operator has sent to processes directly while the platform was down.
//!
//! Each is a document of its own, whose revision encodes the state. It therefore merges like any
//! other document, and a merge can only restrict the version further. The first process that
//! reaches the platform writes the withdrawal there.

use crate::{Document, Generation, LifecycleState, Standing};
use ibissail_core::{ModelVersion, Revision};

/// Prefix of the keys of withdrawals that are not in the platform yet.
pub const PENDING_PREFIX: &str = "config/pending/";

/// The document that restricts a version to a state in one generation.
///
/// # Examples
///
/// ```
/// use ibissail_catalogue::{Generation, LifecycleState, Standing, pending_document};
/// let standing = Standing { generation: Generation(0), state: LifecycleState::Withdrawn };
/// let document = pending_document(&"swift@2".parse()?, standing);
/// assert_eq!(document.key, "config/pending/swift@2/0");
/// # Ok::<(), ibissail_core::ParseError>(())
/// ```
#[must_use]
pub fn pending_document(version: &ModelVersion, standing: Standing) -> Document {
    let Standing { generation, state } = standing;
    Document {
        key: format!("{PENDING_PREFIX}{version}/{generation}"),
        revision: Revision(revision_number(state)),
        value: Some(state.to_string()),
    }
}

/// Decodes the version and standing of a pending withdrawal; `None` for any other document.
pub(crate) fn parse_pending(document: &Document) -> Option<(ModelVersion, Standing)> {
    let name = document.key.strip_prefix(PENDING_PREFIX)?;
    let (version, generation) = name.rsplit_once('/')?;
    let generation: Generation = generation.parse().ok()?;
    let states = [LifecycleState::Retiring, LifecycleState::Withdrawn];
    let state = states.into_iter().find(|state| revision_number(*state) == document.revision.0)?;
    Some((version.parse().ok()?, Standing { generation, state }))
}

fn revision_number(state: LifecycleState) -> u64 {
    match state {
        LifecycleState::Active => 0,
        LifecycleState::Retiring => 1,
        LifecycleState::Withdrawn => 2,
    }
}
