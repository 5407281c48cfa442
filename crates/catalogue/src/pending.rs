//! Withdrawals that an operator has given to the processes while the platform was down.
//!
//! Each is a document of its own, whose version is the grade, so that it merges like any other
//! document and can only be lowered further. Whoever reaches the platform first writes it there.

use crate::{Document, Generation, Grade, Standing};
use ibissail_core::{ModelVersion, Revision};

/// Prefix of documents of withdrawals that are not in the platform yet.
pub const PENDING_PREFIX: &str = "config/pending/";

/// The document that lowers a version in one generation.
///
/// # Examples
///
/// ```
/// use ibissail_catalogue::{Generation, Grade, Standing, pending_document};
/// let standing = Standing { generation: Generation(0), grade: Grade::Withdrawn };
/// let document = pending_document(&"swift@2".parse()?, standing);
/// assert_eq!(document.key, "config/pending/swift@2/0");
/// # Ok::<(), ibissail_core::UnitError>(())
/// ```
#[must_use]
pub fn pending_document(version: &ModelVersion, standing: Standing) -> Document {
    let Standing { generation, grade } = standing;
    Document {
        key: format!("{PENDING_PREFIX}{version}/{generation}"),
        revision: Revision(rank(grade)),
        value: Some(grade.to_string()),
    }
}

/// The version and standing that a document of this kind is about.
pub(crate) fn parse_pending(document: &Document) -> Option<(ModelVersion, Standing)> {
    let name = document.key.strip_prefix(PENDING_PREFIX)?;
    let (version, generation) = name.rsplit_once('/')?;
    let generation: Generation = generation.parse().ok()?;
    let grades = [Grade::Retiring, Grade::Withdrawn];
    let grade = grades.into_iter().find(|grade| rank(*grade) == document.revision.0)?;
    Some((version.parse().ok()?, Standing { generation, grade }))
}

fn rank(grade: Grade) -> u64 {
    match grade {
        Grade::Active => 0,
        Grade::Retiring => 1,
        Grade::Withdrawn => 2,
    }
}
