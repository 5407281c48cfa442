//! The checked form of one branch of the settings.

use derive_more::Display;
use ibissail_core::{
    BranchPath, ByteSize, ClassId, Millis, ModelId, ModelVersion, OrganisationId, Price, Ratio,
    ServiceId, SigningKey, Target, UnitError, VersionId,
};
use sha2::{Digest, Sha256};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    str::FromStr,
};

/// One branch: what a team may use, its classes and organisations.
#[derive(Debug, Clone, PartialEq)]
pub struct Branch {
    /// Place in the tree.
    pub path: BranchPath,
    /// What this branch may use; always within what its parent may use.
    pub allow: BTreeSet<TargetSelector>,
    /// Bounds on each organisation of this branch.
    pub limits: Limits,
    /// Classes of requests with their quality targets.
    pub classes: BTreeMap<ClassId, Class>,
    /// Organisations.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    /// Models and their versions; only at the root.
    pub models: BTreeMap<ModelId, Model>,
    /// Plain services; only at the root.
    pub services: BTreeMap<ServiceId, Service>,
    /// Keys that sign session tokens, the first one for new tokens; only at the root.
    pub session_keys: Vec<SigningKey>,
    /// How long a session lasts; only at the root.
    pub session_ttl: Millis,
}

/// A model, one version of a model, or a service, as written in a list of what is allowed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum TargetSelector {
    /// Every version of a model.
    Model(ModelId),
    /// One version.
    Version(ModelVersion),
    /// A plain service.
    #[display("service:{_0}")]
    Service(ServiceId),
}

impl TargetSelector {
    /// Whether this entry covers all that `other` covers.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_settings::TargetSelector;
    /// let model: TargetSelector = "swift".parse()?;
    /// assert!(model.covers(&"swift@1".parse()?));
    /// assert!(!model.covers(&"strong".parse()?));
    /// # Ok::<(), ibissail_core::UnitError>(())
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
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        if let Some(service) = text.strip_prefix("service:") {
            return service.parse().map(Self::Service);
        }
        if text.contains('@') {
            return text.parse().map(Self::Version);
        }
        text.parse().map(Self::Model)
    }
}

/// Bounds on one organisation's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Requests in progress at one entry.
    pub concurrency: u32,
    /// Size of a request's body.
    pub body: ByteSize,
}

/// A class of requests with a quality target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Class {
    /// Least expected quality of an answer.
    pub quality: Ratio,
    /// Time for the whole answer.
    pub deadline: Millis,
}

/// What becomes of running work when its version is withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum OnWithdrawal {
    /// It runs to its end.
    #[display("finish")]
    Finish,
    /// It is cancelled and the caller is told.
    #[display("cancel")]
    Cancel,
}

impl FromStr for OnWithdrawal {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "finish" => Ok(Self::Finish),
            "cancel" => Ok(Self::Cancel),
            other => Err(format!("`{other}` is not a choice; valid: finish, cancel")),
        }
    }
}

/// One customer of the API.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Hashes of its bearer keys.
    pub keys: BTreeSet<KeyHash>,
    /// What it may use, within its branch.
    pub allow: BTreeSet<TargetSelector>,
    /// Requests in progress at one entry.
    pub concurrency: u32,
    /// Class of a request that names none.
    pub default_class: ClassId,
    /// What becomes of its running work on a withdrawn version.
    pub on_withdrawal: OnWithdrawal,
    /// Whether an entry in another availability zone holds each usage record too.
    pub witness: bool,
}

/// A model with its expected quality and its versions.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Expected quality of an answer by class, before ratings arrive.
    pub quality: BTreeMap<ClassId, Ratio>,
    /// The versions.
    pub versions: BTreeMap<VersionId, Version>,
}

/// One version of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Version {
    /// Price of the prompt.
    pub input_price: Price,
    /// Price of the answer.
    pub output_price: Price,
    /// Share of new sessions and requests, relative to the model's other versions.
    pub weight: u32,
}

/// A plain service beside the models.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Service {
    /// Whether the same call may run twice without harm.
    pub idempotent: bool,
}

/// SHA-256 of a bearer key, written `sha256:` and 64 hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("sha256:{_0}")]
pub struct KeyHash(String);

impl KeyHash {
    /// The hash of a bearer key.
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
