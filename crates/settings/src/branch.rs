//! Parses one branch from YAML.

use crate::{
    Branch, Class, Limits, Model, OnWithdrawal, Organisation, Service, ValidationErrors, Version,
    key::read_signing_keys,
    reader::{Document, Fields, Node},
};
use ibissail_core::{BranchPath, ByteSize, Count, Millis, Ratio};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Display,
    str::FromStr,
};

const BRANCH_KEYS: [&str; 9] = [
    "branch",
    "allow",
    "limits",
    "classes",
    "organisations",
    "models",
    "services",
    "session_keys",
    "session_ttl",
];
const ROOT_ONLY_KEYS: [&str; 4] = ["models", "services", "session_keys", "session_ttl"];
const DEFAULT_LIMITS: Limits = Limits { concurrency: 64, body: ByteSize(1 << 20) };
const DEFAULT_DEADLINE: Millis = Millis(60_000);
const DEFAULT_SESSION_TTL: Millis = Millis(12 * 3_600_000);

/// Parses one branch and validates it without regard to other branches.
///
/// # Errors
///
/// All errors of the document, each with file, line, key path, value and what is valid.
///
/// # Examples
///
/// ```
/// let text = "branch: root/alpen\nallow: [swift]\n";
/// let branch = ibissail_settings::parse_branch("alpen.yaml", text)?;
/// assert_eq!(branch.path.to_string(), "root/alpen");
/// # Ok::<(), ibissail_settings::ValidationErrors>(())
/// ```
pub fn parse_branch(file: &str, text: &str) -> Result<Branch, ValidationErrors> {
    let document = Document::new(file);
    let yaml = document.load(text)?;
    let branch = read_branch(&Node::root(&document, &yaml));
    match branch {
        Some(branch) if !document.has_errors() => Ok(branch),
        _ => Err(document.take_errors()),
    }
}

fn read_branch(root: &Node<'_>) -> Option<Branch> {
    let fields = root.fields(&BRANCH_KEYS);
    let path = fields.required::<BranchPath>("branch");
    if path.as_ref().is_some_and(|path| *path != BranchPath::root()) {
        reject_root_only_keys(&fields);
    }
    let limits = fields.get("limits").map_or(DEFAULT_LIMITS, read_limits);
    Some(Branch {
        path: path?,
        allow: read_set(&fields, "allow"),
        limits,
        classes: read_map(&fields, "classes", read_class),
        organisations: read_map(&fields, "organisations", |node| read_organisation(node, limits)),
        models: read_map(&fields, "models", |node| Some(read_model(node))),
        services: read_map(&fields, "services", read_service),
        session_keys: fields.get("session_keys").map(read_signing_keys).unwrap_or_default(),
        session_ttl: fields.optional("session_ttl").unwrap_or(DEFAULT_SESSION_TTL),
    })
}

fn reject_root_only_keys(fields: &Fields<'_>) {
    for name in ROOT_ONLY_KEYS {
        if let Some(node) = fields.get(name) {
            node.report("only the branch `root` may have this key");
        }
    }
}

fn read_set<T>(fields: &Fields<'_>, name: &str) -> BTreeSet<T>
where
    T: FromStr + Ord,
    T::Err: Display,
{
    fields.get(name).map(|node| node.parse_list().into_iter().collect()).unwrap_or_default()
}

fn read_map<K, V, R>(fields: &Fields<'_>, name: &str, read: R) -> BTreeMap<K, V>
where
    K: FromStr + Ord,
    K::Err: Display,
    R: Fn(&Node<'_>) -> Option<V>,
{
    let mut map = BTreeMap::new();
    for (key, node) in fields.entries(name) {
        let value = read(&node);
        match key.parse::<K>() {
            Ok(key) => {
                if let Some(value) = value {
                    map.insert(key, value);
                }
            }
            Err(error) => node.report(error.to_string()),
        }
    }
    map
}

fn read_limits(node: &Node<'_>) -> Limits {
    let fields = node.fields(&["concurrency", "body"]);
    Limits {
        concurrency: fields
            .optional::<Count>("concurrency")
            .map_or(DEFAULT_LIMITS.concurrency, |count| count.0),
        body: fields.optional("body").unwrap_or(DEFAULT_LIMITS.body),
    }
}

fn read_class(node: &Node<'_>) -> Option<Class> {
    let fields = node.fields(&["quality", "deadline"]);
    let quality = fields.required("quality");
    let deadline = fields.optional("deadline").unwrap_or(DEFAULT_DEADLINE);
    Some(Class { quality: quality?, deadline })
}

fn read_organisation(node: &Node<'_>, limits: Limits) -> Option<Organisation> {
    let fields =
        node.fields(&["keys", "allow", "concurrency", "default_class", "on_withdrawal", "witness"]);
    for name in ["keys", "allow"] {
        if fields.get(name).is_none() {
            node.report(format!("the key `{name}` is missing"));
        }
    }
    let default_class = fields.required("default_class");
    let concurrency =
        fields.optional::<Count>("concurrency").map_or(limits.concurrency, |count| count.0);
    if concurrency > limits.concurrency {
        let error_node = fields.get("concurrency").unwrap_or(node);
        error_node.report(format!(
            "`{concurrency}` exceeds the branch's limit; valid: 0 to {}",
            limits.concurrency
        ));
    }
    Some(Organisation {
        keys: read_set(&fields, "keys"),
        allow: read_set(&fields, "allow"),
        concurrency,
        default_class: default_class?,
        on_withdrawal: fields.optional("on_withdrawal").unwrap_or(OnWithdrawal::Finish),
        witness: fields.optional("witness").unwrap_or(false),
    })
}

fn read_model(node: &Node<'_>) -> Model {
    let fields = node.fields(&["quality", "versions"]);
    if fields.entries("versions").is_empty() {
        node.report("a model needs at least one entry in `versions`");
    }
    Model {
        quality: read_map(&fields, "quality", read_quality),
        versions: read_map(&fields, "versions", read_version),
    }
}

fn read_quality(node: &Node<'_>) -> Option<Ratio> {
    node.parse()
}

fn read_version(node: &Node<'_>) -> Option<Version> {
    let fields = node.fields(&["input_price", "output_price", "weight"]);
    let input_price = fields.required("input_price");
    let output_price = fields.required("output_price");
    let weight = fields.optional::<Count>("weight").map_or(1, |count| count.0);
    Some(Version { input_price: input_price?, output_price: output_price?, weight })
}

fn read_service(node: &Node<'_>) -> Option<Service> {
    let fields = node.fields(&["idempotent"]);
    fields.required("idempotent").map(|idempotent| Service { idempotent })
}
