//! Orders the models for a request class, and picks a version by weight.

use ibissail_catalogue::{Catalogue, ResolvedOrganisation};
use ibissail_core::{ClassId, ModelId, ModelVersion, Ratio};
use std::cmp::Ordering;

/// A model that an organisation may use, with its price and expected quality.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The model.
    pub model: ModelId,
    /// Sum of input and output price, in millionths of the billing currency per thousand tokens.
    pub price: u64,
    /// Expected quality of a response, from 0 to 1.
    pub quality: f64,
}

/// The models that an organisation may use for new requests of a class.
///
/// The price of a model is that of its most expensive permitted version.
#[must_use]
pub fn candidates(
    catalogue: &Catalogue,
    organisation: &ResolvedOrganisation,
    class: &ClassId,
) -> Vec<Candidate> {
    let Some(root) = catalogue.root() else {
        return Vec::new();
    };
    let mut candidates = Vec::new();
    for (name, model) in &root.models {
        let versions = catalogue.versions(organisation, name);
        let prices =
            versions.iter().filter_map(|(version, _)| model.versions.get(&version.version));
        let Some(price) = prices.map(|v| v.input_price.0 + v.output_price.0).max() else {
            continue;
        };
        let quality = model.quality.get(class).copied().unwrap_or_default().get();
        candidates.push(Candidate { model: name.clone(), price, quality });
    }
    candidates
}

/// Orders models for trying one after the other.
///
/// First those that meet the quality target, cheapest first; then the others, best quality first.
///
/// # Examples
///
/// ```
/// use ibissail_cascade::{Candidate, order_models};
/// let candidate = |model: &str, price, quality| Candidate {
///     model: model.parse().unwrap(),
///     price,
///     quality,
/// };
/// let candidates = vec![candidate("strong", 90, 0.95), candidate("swift", 10, 0.7)];
/// let order = order_models(candidates, "0.6".parse()?);
/// assert_eq!(order[0].as_str(), "swift");
/// # Ok::<(), ibissail_core::ParseError>(())
/// ```
#[must_use]
pub fn order_models(mut candidates: Vec<Candidate>, target: Ratio) -> Vec<ModelId> {
    let meets_target = |candidate: &Candidate| candidate.quality >= target.get();
    candidates.sort_by(|a, b| match (meets_target(a), meets_target(b)) {
        (true, true) => a.price.cmp(&b.price),
        (true, false) => Ordering::Less,
        (false, true) => Ordering::Greater,
        (false, false) => b.quality.total_cmp(&a.quality),
    });
    candidates.into_iter().map(|candidate| candidate.model).collect()
}

/// Picks a version in proportion to the weights.
///
/// The version is determined by `hash` modulo the sum of the weights, so that the same hash always
/// gives the same version. With all weights 0, it is the first version. `None` when there are no
/// versions.
#[must_use]
pub fn pick_version(versions: &[(ModelVersion, u32)], hash: u64) -> Option<&ModelVersion> {
    let total: u64 = versions.iter().map(|(_, weight)| u64::from(*weight)).sum();
    if total == 0 {
        return versions.first().map(|(version, _)| version);
    }
    let mut position = hash % total;
    for (version, weight) in versions {
        let weight = u64::from(*weight);
        if position < weight {
            return Some(version);
        }
        position -= weight;
    }
    None
}
