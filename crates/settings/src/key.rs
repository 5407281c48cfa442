//! Reads lists of signing keys.

use crate::reader::Node;
use ibissail_core::SigningKey;

/// Two keys are valid while a new one takes the place of an old one.
const MAX_KEYS: usize = 2;
const MIN_SECRET_BYTES: usize = 16;

pub(crate) fn read_signing_keys(node: &Node<'_>) -> Vec<SigningKey> {
    let items = node.items();
    if items.is_empty() || items.len() > MAX_KEYS {
        node.report(format!("found {} keys; valid: 1 or 2", items.len()));
    }
    items.iter().filter_map(read_signing_key).collect()
}

fn read_signing_key(node: &Node<'_>) -> Option<SigningKey> {
    let fields = node.fields(&["id", "secret"]);
    let id = fields.required::<String>("id");
    let secret = fields.required::<String>("secret");
    if secret.as_ref().is_some_and(|secret| secret.len() < MIN_SECRET_BYTES) {
        let place = fields.get("secret").unwrap_or(node);
        place.report(format!("the secret is too short; valid: {MIN_SECRET_BYTES} bytes or more"));
    }
    Some(SigningKey::new(id?, secret?))
}
