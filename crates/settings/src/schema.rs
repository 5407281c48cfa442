//! Validated settings of one branch.

use derive_more::Display;
use ibissail_core::{
    BranchPath, ByteSize, ClassId, Millis, ModelId, ModelVersion, OrganisationId, ParseError,
    Price, Ratio, ServiceId, SigningKey, Target, VersionId,
};
use sha2::{Digest, Sha256};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    str::FromStr,
};

/// One branch: the models and services that a team may use, its classes and its organisations.
#[derive(Debug, Clone, PartialEq)]
pub struct Branch {
    /// Path in the tree of branches.
    pub path: BranchPath,
    /// Models and services that this branch may use; a subset of those of its parent.
    pub allow: BTreeSet<TargetSelector>,
    /// Limits for each organisation of this branch.
    pub limits: Limits,
    /// Request classes with their quality targets.
    pub classes: BTreeMap<ClassId, Class>,
    /// Organisations of this branch.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    /// Models and their versions; only set in the root branch.
    pub models: BTreeMap<ModelId, Model>,
    /// Services that are not models; only set in the root branch.
    pub services: BTreeMap<ServiceId, Service>,
    /// Keys that sign session tokens; the first one signs new tokens. Only set in the root branch.
    pub session_keys: Vec<SigningKey>,
    /// Lifetime of a session; only set in the root branch.
    pub session_ttl: Millis,
}

/// Entry of an allow list: a model, one version of a model, or a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum TargetSelector {
    /// Every version of a model.
    Model(ModelId),
    /// One version of a model.
    Version(ModelVersion),
    /// A service that is not a model.
    #[display("service:{_0}")]
    Service(ServiceId),
}

impl TargetSelector {
    /// Whether this entry covers everything that `other` covers.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_settings::TargetSelector;
    /// let model: TargetSelector = "swift".parse()?;
    /// assert!(model.covers(&"swift@1".parse()?));
    /// assert!(!model.covers(&"strong".parse()?));
    /// # Ok::<(), ibissail_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Model(model), Self::Version(version)) => *model == version.model,
            (one, other) => one == other,
        }
    }

    /// Whether this entry covers a target.
    #[must_use]
    pub fn covers_target(&self, target: &Target) -> bool {
        match (self, target) {
            (Self::Model(model), Target::Model(version)) => *model == version.model,
            (Self::Version(one), Target::Model(version)) => one == version,
            (Self::Service(one), Target::Service(service)) => one == service,
            _ => false,
        }
    }
}

impl FromStr for TargetSelector {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        if let Some(service) = text.strip_prefix("service:") {
            return service.parse().map(Self::Service);
        }
        if text.contains('@') {
            return text.parse().map(Self::Version);
        }
        text.parse().map(Self::Model)
    }
}

/// Limits on the requests of one organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of requests in progress at one entry.
    pub concurrency: u32,
    /// Maximum size of a request body.
    pub body: ByteSize,
}

/// A request class with a quality target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Class {
    /// Minimum expected quality of a response.
    pub quality: Ratio,
    /// Time limit for the complete response.
    pub deadline: Millis,
}

/// What happens to running requests when their model version is withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum OnWithdrawal {
    /// They run to completion.
    #[display("finish")]
    Finish,
    /// They are cancelled and the callers receive an error.
    #[display("cancel")]
    Cancel,
}

impl FromStr for OnWithdrawal {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "finish" => Ok(Self::Finish),
            "cancel" => Ok(Self::Cancel),
            other => Err(format!("unknown action `{other}`; valid: finish, cancel")),
        }
    }
}

/// An organisation, which is one customer of the API.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Hashes of its bearer keys.
    pub keys: BTreeSet<KeyHash>,
    /// Models and services that it may use; a subset of those of its branch.
    pub allow: BTreeSet<TargetSelector>,
    /// Maximum number of requests in progress at one entry.
    pub concurrency: u32,
    /// Class of requests that name none.
    pub default_class: ClassId,
    /// What happens to its running requests when their version is withdrawn.
    pub on_withdrawal: OnWithdrawal,
    /// Whether an entry in another availability zone also stores each usage record.
    pub witness: bool,
}

/// A model with its expected quality and its versions.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Expected quality of a response by class, used until ratings arrive.
    pub quality: BTreeMap<ClassId, Ratio>,
    /// Versions of the model.
    pub versions: BTreeMap<VersionId, Version>,
}

/// One version of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Version {
    /// Price of a thousand prompt tokens.
    pub input_price: Price,
    /// Price of a thousand response tokens.
    pub output_price: Price,
    /// Weight that sets the share of new sessions and requests among the model's versions.
    pub weight: u32,
}

/// A service that is not a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Service {
    /// Whether the same call may safely run twice.
    pub idempotent: bool,
}

/// SHA-256 of a bearer key, written as `sha256:` followed by 64 hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("sha256:{_0}")]
pub struct KeyHash(String);

impl KeyHash {
    /// Computes the hash of a bearer key.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_settings::KeyHash;
    /// assert!(KeyHash::of("demo-key").to_string().starts_with("sha256:"));
    /// ```
    #[must_use]
    pub fn of(key: &str) -> Self {
        use fmt::Write as _;
        let mut text = String::with_capacity(64);
        for byte in Sha256::digest(key.as_bytes()) {
            let _infallible = write!(text, "{byte:02x}");
        }
        Self(text)
    }
}

impl FromStr for KeyHash {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let digits = text.strip_prefix("sha256:").unwrap_or_default();
        if digits.len() == 64 && digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Ok(Self(digits.to_ascii_lowercase()));
        }
        Err("not a key hash; valid: sha256: and 64 hexadecimal digits, as `ibissail hash-key` prints"
            .to_owned())
    }
}
