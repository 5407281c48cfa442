//! Error kinds reported to callers and between processes, with the HTTP response for each kind.

use derive_more::Display;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::{error::Error, fmt};

/// Whether an upstream executed a failed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No upstream received the request.
    #[display("no")]
    No,
    /// An upstream started to execute the request.
    #[display("yes")]
    Yes,
    /// An upstream may have started to execute the request.
    #[display("unknown")]
    Unknown,
}

/// Seconds after which the caller may retry, the value of the `Retry-After` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RetryAfter(pub u32);

/// HTTP response for an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// Whether an upstream executed the request, unless a `Fault` of this kind states otherwise.
    pub ran: Ran,
    /// Delay before a retry makes sense; `None` sends no `Retry-After` header.
    pub retry_after: Option<RetryAfter>,
}

quick_error! {
    /// Error kinds that a caller or another process can receive.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum ErrorKind {
        /// The API key belongs to no organisation.
        Unauthorized { display("the key belongs to no organisation") }
        /// The session token is invalid or has expired.
        SessionInvalid { display("the session token is invalid or has expired") }
        /// The request is malformed or has an invalid value.
        BadRequest { display("the request is invalid") }
        /// The request head did not arrive in time.
        HeadTimeout { display("the request head did not arrive in time") }
        /// The request head exceeds the size limit.
        HeadTooLarge { display("the request head exceeds the size limit") }
        /// The body exceeds the size limit.
        BodyTooLarge { display("the body exceeds the size limit") }
        /// There is no resource at this path.
        NotFound { display("there is no resource at this path") }
        /// No model or version of this name is declared.
        UnknownModel { display("no such model or version is declared") }
        /// The organisation may not use this model or service.
        NotAllowed { display("the organisation may not use this model or service") }
        /// The version has been withdrawn.
        VersionWithdrawn { display("the version has been withdrawn") }
        /// The service requires an idempotency key.
        KeyRequired { display("this service needs the header Idempotency-Key") }
        /// The idempotency key was used with a different request.
        KeyReused { display("the idempotency key was used with a different request") }
        /// The first request with this idempotency key is still running.
        InProgress { display("the first request with this idempotency key is still running") }
        /// The organisation has reached its limit of requests in progress.
        Overloaded { display("the organisation has reached its limit of requests in progress") }
        /// The deadline cannot be met.
        DeadlineUnmet { display("the deadline cannot be met") }
        /// No replica of an allowed version is ready, reachable and has free capacity.
        NoReplica { display("no replica of an allowed version is ready") }
        /// A part of the prompt is quarantined because it has crashed replicas.
        PromptQuarantined { display("a part of the prompt has crashed replicas") }
        /// The request is quarantined because it has crashed replicas.
        RequestQuarantined { display("the request has crashed replicas") }
        /// The process is shutting down.
        Draining { display("the process is shutting down") }
        /// The process has not received its settings yet.
        SettingsMissing { display("the settings have not been received yet") }
        /// The settings were last confirmed too long ago to accept an API key, which may have been
        /// revoked since.
        SettingsStale { display("the settings are too stale to accept an API key") }
        /// The request requires a call to the platform, which is unavailable.
        PlatformDown { display("the platform is unavailable, and this request requires it") }
        /// The sidecar's settings are older than those the request was routed with.
        SettingsBehind { display("the sidecar needs newer settings to run this request") }
        /// The request is for another incarnation of the sidecar, or its ticket has expired. A
        /// ticket is a reading of the sidecar's clock that the sidecar issues to the entry; it
        /// limits the age of a run request.
        StaleTicket { display("the sidecar has restarted or the ticket has expired") }
        /// The sidecar has no such run, or a fencing token keeps the run from starting.
        UnknownRun { display("the sidecar has no such run") }
        /// The request ran, but its response is not stored, for example because it was too large.
        AnswerGone { display("the request ran, but its response is not available") }
        /// The upstream returned an error or no usable response, or the sidecar has no memory left
        /// for the response.
        UpstreamFailed { display("the upstream failed") }
        /// The response ended before it was complete.
        Incomplete { display("the response ended before it was complete") }
        /// The request timed out and may have run.
        Timeout { display("the request timed out and may have run") }
        /// It is unknown whether the request ran.
        OutcomeUnknown { display("it is unknown whether the request ran") }
        /// The engines have no capacity for the request in the time that it may wait.
        CapacityShort { display("capacity is short") }
    }
}

impl ErrorKind {
    /// All kinds, in the order in which `ibissail errors` prints them.
    pub const ALL: [Self; 31] = [
        Self::Unauthorized,
        Self::SessionInvalid,
        Self::BadRequest,
        Self::HeadTimeout,
        Self::HeadTooLarge,
        Self::BodyTooLarge,
        Self::NotFound,
        Self::UnknownModel,
        Self::NotAllowed,
        Self::VersionWithdrawn,
        Self::KeyRequired,
        Self::KeyReused,
        Self::InProgress,
        Self::Overloaded,
        Self::DeadlineUnmet,
        Self::NoReplica,
        Self::PromptQuarantined,
        Self::RequestQuarantined,
        Self::Draining,
        Self::SettingsMissing,
        Self::SettingsStale,
        Self::PlatformDown,
        Self::SettingsBehind,
        Self::StaleTicket,
        Self::UnknownRun,
        Self::AnswerGone,
        Self::UpstreamFailed,
        Self::Incomplete,
        Self::Timeout,
        Self::OutcomeUnknown,
        Self::CapacityShort,
    ];

    /// Returns the HTTP response for this kind.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::{ErrorKind, Ran};
    /// assert_eq!(ErrorKind::VersionWithdrawn.response().ran, Ran::No);
    /// ```
    #[must_use]
    pub fn response(self) -> ErrorResponse {
        let (status, ran, retry_after) = match self {
            Self::Unauthorized | Self::SessionInvalid => (401, Ran::No, None),
            Self::BadRequest | Self::KeyRequired => (400, Ran::No, None),
            Self::HeadTimeout => (408, Ran::No, None),
            Self::HeadTooLarge => (431, Ran::No, None),
            Self::BodyTooLarge => (413, Ran::No, None),
            Self::NotFound | Self::UnknownModel | Self::UnknownRun => (404, Ran::No, None),
            Self::NotAllowed => (403, Ran::No, None),
            Self::VersionWithdrawn => (410, Ran::No, None),
            Self::KeyReused => (422, Ran::No, None),
            Self::InProgress => (409, Ran::Unknown, Some(1)),
            Self::Overloaded => (429, Ran::No, Some(1)),
            Self::DeadlineUnmet => (503, Ran::No, Some(2)),
            Self::NoReplica
            | Self::Draining
            | Self::SettingsBehind
            | Self::SettingsStale
            | Self::StaleTicket
            | Self::CapacityShort => (503, Ran::No, Some(1)),
            Self::SettingsMissing => (503, Ran::No, Some(5)),
            Self::PromptQuarantined | Self::RequestQuarantined => (503, Ran::No, Some(60)),
            // An earlier request with the same idempotency key may have run.
            Self::PlatformDown => (503, Ran::Unknown, Some(5)),
            Self::AnswerGone => (409, Ran::Yes, None),
            Self::UpstreamFailed | Self::Incomplete => (502, Ran::Yes, Some(1)),
            Self::Timeout => (504, Ran::Unknown, Some(1)),
            Self::OutcomeUnknown => (502, Ran::Unknown, Some(1)),
        };
        ErrorResponse { status, ran, retry_after: retry_after.map(RetryAfter) }
    }

    /// Returns the name of the kind in an error body.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::Unauthorized => "unauthorized",
            Self::SessionInvalid => "session_invalid",
            Self::BadRequest => "bad_request",
            Self::HeadTimeout => "head_timeout",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::NotFound => "not_found",
            Self::UnknownModel => "unknown_model",
            Self::NotAllowed => "not_allowed",
            Self::VersionWithdrawn => "version_withdrawn",
            Self::KeyRequired => "key_required",
            Self::KeyReused => "key_reused",
            Self::InProgress => "in_progress",
            Self::Overloaded => "overloaded",
            Self::DeadlineUnmet => "deadline_unmet",
            Self::NoReplica => "no_replica",
            Self::PromptQuarantined => "prompt_quarantined",
            Self::RequestQuarantined => "request_quarantined",
            Self::Draining => "draining",
            Self::SettingsMissing => "settings_missing",
            Self::SettingsStale => "settings_stale",
            Self::PlatformDown => "platform_down",
            Self::SettingsBehind => "settings_behind",
            Self::StaleTicket => "stale_ticket",
            Self::UnknownRun => "unknown_run",
            Self::AnswerGone => "answer_gone",
            Self::UpstreamFailed => "upstream_failed",
            Self::Incomplete => "incomplete",
            Self::Timeout => "timeout",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::CapacityShort => "capacity_short",
        }
    }

    /// Returns whether the request may be sent to another replica unchanged, because only this
    /// replica refused it. `SettingsBehind` is not included: the sidecar needs newer settings
    /// first.
    #[must_use]
    pub fn is_reroutable(self) -> bool {
        matches!(self, Self::Draining | Self::NoReplica | Self::StaleTicket | Self::SettingsMissing)
    }
}

/// An error kind with the details of one failed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The kind, which determines the HTTP response.
    pub kind: ErrorKind,
    /// The value at fault and which values are valid; empty if there is nothing to add.
    pub detail: String,
    /// Whether an upstream executed the request, as far as is known.
    pub ran: Ran,
}

impl Fault {
    /// Creates a fault from its kind and detail; `ran` is the kind's default.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::{ErrorKind, Fault};
    /// let fault = Fault::new(ErrorKind::UnknownModel, "`swfit`");
    /// assert_eq!(fault.to_string(), "no such model or version is declared: `swfit`");
    /// ```
    pub fn new<D>(kind: ErrorKind, detail: D) -> Self
    where
        D: Into<String>,
    {
        Self { kind, detail: detail.into(), ran: kind.response().ran }
    }

    /// Changes `ran` from `No` to `Unknown`, for a request whose idempotency key may belong to an
    /// earlier request that ran.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_core::{ErrorKind, Fault, Ran};
    /// let fault = Fault::from(ErrorKind::Overloaded).with_ran_unknown();
    /// assert_eq!(fault.ran, Ran::Unknown);
    /// ```
    #[must_use]
    pub fn with_ran_unknown(self) -> Self {
        let ran = if self.ran == Ran::No { Ran::Unknown } else { self.ran };
        Self { ran, ..self }
    }
}

impl From<ErrorKind> for Fault {
    fn from(kind: ErrorKind) -> Self {
        Self::new(kind, String::new())
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.detail.is_empty() {
            write!(f, "{}", self.kind)
        } else {
            write!(f, "{}: {}", self.kind, self.detail)
        }
    }
}

impl Error for Fault {}
