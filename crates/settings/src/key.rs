//! Parses signing keys.

use crate::reader::Node;
use ibissail_core::SigningKey;

/// Two keys can be valid at the same time while a key is rotated.
const MAX_KEYS: usize = 2;
/// Minimum length of a secret in bytes.
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
        let error_node = fields.get("secret").unwrap_or(node);
        error_node
            .report(format!("the secret is too short; valid: {MIN_SECRET_BYTES} bytes or more"));
    }
    Some(SigningKey::new(id?, secret?))
}
