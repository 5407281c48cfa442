//! The closed list of errors, and the table from each kind to its answer.

use derive_more::Display;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::{error::Error, fmt};

/// Whether the work of a refused request took place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No upstream was given the request.
    #[display("no")]
    No,
    /// An upstream worked on the request.
    #[display("yes")]
    Yes,
    /// An upstream may have worked on the request.
    #[display("unknown")]
    Unknown,
}

/// Seconds after which the caller may try again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RetryAfter(pub u32);

/// The answer given for a kind of error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: u16,
    /// Whether the work took place.
    pub ran: Ran,
    /// When a retry makes sense, in seconds.
    pub retry_after: Option<RetryAfter>,
}

quick_error! {
    /// Every kind of error that a caller or another process can be told.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum ErrorKind {
        /// The bearer key belongs to no organisation.
        Unauthorized { display("the key belongs to no organisation") }
        /// The session token is wrong or past its end.
        SessionInvalid { display("the session token is wrong or has expired") }
        /// The request cannot be understood.
        BadRequest { display("the request cannot be understood") }
        /// The request's head did not arrive in time.
        HeadTimeout { display("the request's head did not arrive in time") }
        /// The head is longer than the limit.
        HeadTooLarge { display("the head is longer than the limit") }
        /// The body is larger than the limit.
        BodyTooLarge { display("the body is larger than the limit") }
        /// No such address.
        NotFound { display("there is nothing at this address") }
        /// No model of this name is declared.
        UnknownModel { display("no such model or version is declared") }
        /// The organisation may not use this model or service.
        NotAllowed { display("the organisation may not use this model or service") }
        /// The version has been withdrawn.
        VersionWithdrawn { display("the version has been withdrawn") }
        /// The call needs an idempotency key.
        KeyRequired { display("this service needs the header Idempotency-Key") }
        /// The idempotency key was used with another request.
        KeyReused { display("the idempotency key was used with a different request") }
        /// The first request with this key still runs.
        InProgress { display("the first request with this idempotency key still runs") }
        /// The organisation has too much in progress.
        Overloaded { display("the organisation has reached its limit of requests in progress") }
        /// The deadline cannot be met.
        DeadlineUnmet { display("the deadline cannot be met") }
        /// No replica of an allowed version is ready.
        NoReplica { display("no replica of an allowed version is ready") }
        /// The process is stopping.
        Draining { display("the process is stopping") }
        /// The process has no settings yet.
        SettingsMissing { display("the settings have not arrived yet") }
        /// The settings have not been confirmed for too long to accept a key.
        SettingsStale { display("the settings are too old to accept a key") }
        /// The platform must be asked and does not answer.
        PlatformDown { display("the platform does not answer, and this call needs it") }
        /// The sidecar's settings are older than the request's.
        SettingsBehind { display("the sidecar needs newer settings before it may run this") }
        /// The request was made for another start of the sidecar, or too long ago.
        StaleTicket { display("the sidecar has restarted or the ticket is too old") }
        /// The sidecar has no such run.
        UnknownRun { display("the sidecar has no such run") }
        /// The answer of a request that ran is not kept any more.
        AnswerGone { display("the request ran, and its answer is not kept any more") }
        /// The upstream answered with an error.
        UpstreamFailed { display("the upstream failed") }
        /// The answer ended before it was whole.
        Incomplete { display("the answer ended before it was whole") }
        /// The time ran out while the request was running.
        Timeout { display("the time ran out while the request was running") }
        /// It cannot be told whether the request ran.
        OutcomeUnknown { display("it cannot be told whether the request ran") }
    }
}

impl ErrorKind {
    /// All kinds, in the order of the table.
    pub const ALL: [Self; 28] = [
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
    ];

    /// The answer for this kind.
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
            | Self::StaleTicket => (503, Ran::No, Some(1)),
            Self::SettingsMissing => (503, Ran::No, Some(5)),
            // An earlier request with the same key may have run.
            Self::PlatformDown => (503, Ran::Unknown, Some(5)),
            Self::AnswerGone => (409, Ran::Yes, None),
            Self::UpstreamFailed | Self::Incomplete => (502, Ran::Yes, Some(1)),
            Self::Timeout => (504, Ran::Unknown, Some(1)),
            Self::OutcomeUnknown => (502, Ran::Unknown, Some(1)),
        };
        ErrorResponse { status, ran, retry_after: retry_after.map(RetryAfter) }
    }

    /// The kind's name as it stands in an answer.
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
        }
    }

    /// Whether another replica may be asked for the same request.
    #[must_use]
    pub fn is_reroutable(self) -> bool {
        matches!(self, Self::Draining | Self::NoReplica | Self::StaleTicket | Self::SettingsMissing)
    }
}

/// An error with what it is about.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The kind, which decides the answer.
    pub kind: ErrorKind,
    /// The value at fault and what would be valid.
    pub detail: String,
    /// Whether the work took place, as far as is known.
    pub ran: Ran,
}

impl Fault {
    /// A fault of a kind about something.
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

    /// The same fault where an earlier request with the same key may have run.
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
