//! Per-request context: organisation, class, deadline and logger.

use crate::{entry::Shared, metrics::RequestLabels};
use http_types::Request;
use ibissail_catalogue::{Catalogue, ResolvedOrganisation};
use ibissail_core::{ByteSize, ClassId, ErrorKind, Fault, Millis, Ratio, RequestId};
use ibissail_execution::fingerprint;
use ibissail_transport::{Caller, read_body};
use slog::{Logger, o};
use std::{sync::Arc, time::Instant};

/// Request header that names the class.
pub(crate) const CLASS_HEADER: &str = "x-ibissail-class";
/// Request header with the timeout in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "x-ibissail-deadline-ms";
/// Request header with a session token.
pub(crate) const SESSION_HEADER: &str = "x-ibissail-session";
/// Response header that names the version that served the request.
pub(crate) const VERSION_HEADER: &str = "x-ibissail-version";
/// Response header with the id of the request.
pub(crate) const REQUEST_HEADER: &str = "x-ibissail-request";

/// Upper limit of the timeout of a request without the header [`DEADLINE_HEADER`].
const DEFAULT_TIMEOUT: Millis = Millis(60_000);

/// Context of an authenticated request.
#[derive(Debug, Clone)]
pub(crate) struct RequestContext {
    pub(crate) id: RequestId,
    pub(crate) organisation: Arc<ResolvedOrganisation>,
    pub(crate) class: ClassId,
    /// Quality target, by which the models of an `auto` request are ordered.
    pub(crate) quality: Ratio,
    /// Deadline by the clock of this process.
    pub(crate) deadline: Millis,
    pub(crate) caller: Caller,
    pub(crate) labels: RequestLabels,
    pub(crate) started: Instant,
    pub(crate) log: Logger,
}

impl RequestContext {
    /// Authenticates a request and reads its headers.
    ///
    /// Fails if the settings are not loaded, the key is unknown or a header is invalid.
    pub(crate) fn authenticate(
        shared: &Shared,
        req: &Request,
        caller: Caller,
        id: RequestId,
    ) -> Result<Self, Fault> {
        if !shared.node.is_synced() {
            return Err(ErrorKind::SettingsMissing.into());
        }
        let organisation = shared.node.catalogue().authenticate(bearer_key(req)?)?;
        let class = requested_class(req, &organisation)?;
        let settings = organisation.class(&class).ok_or_else(|| unknown_class(&class))?;
        let timeout = match header(req, DEADLINE_HEADER) {
            Some(text) => parse_timeout(text)?.min(settings.deadline),
            None => settings.deadline.min(DEFAULT_TIMEOUT),
        };
        let labels = RequestLabels::new(&organisation.id, &class);
        let log = shared.node.log.new(o!(
            "request" => id.to_string(), "organisation" => organisation.id.to_string()
        ));
        Ok(Self {
            id,
            class,
            quality: settings.quality,
            deadline: shared.node.now().saturating_add(timeout),
            caller,
            labels,
            started: Instant::now(),
            log,
            organisation,
        })
    }

    /// Time until the deadline; zero once it has passed.
    pub(crate) fn time_left(&self, shared: &Shared) -> Millis {
        self.deadline.since(shared.node.now())
    }

    /// Hash of the request id, which assigns the request to a version by the traffic split.
    pub(crate) fn split_hash(&self) -> u64 {
        fingerprint(&[self.id.to_string().as_bytes()])
    }

    /// Reads the whole body, up to the smallest limit of the organisation's branches.
    pub(crate) async fn body(&self, req: &mut Request) -> Result<Vec<u8>, Fault> {
        let limit = self.organisation.branches.iter().map(|branch| branch.limits.body).min();
        let mut body = req.take_body();
        let read = read_body(&mut body, limit.unwrap_or(ByteSize(0))).await;
        if read.is_err() {
            self.caller.discard_body();
        }
        read
    }

    /// The organisation by the current settings, which may have changed since authentication.
    pub(crate) fn current_organisation(
        &self,
        catalogue: &Catalogue,
    ) -> Result<Arc<ResolvedOrganisation>, Fault> {
        catalogue.organisation(&self.organisation.id)
    }
}

/// Value of a header, or `None` if the request does not have it.
pub(crate) fn header<'r>(req: &'r Request, name: &str) -> Option<&'r str> {
    req.header(name).map(|values| values.as_str())
}

fn bearer_key(req: &Request) -> Result<&str, Fault> {
    let authorization = header(req, "authorization").unwrap_or_default();
    authorization.strip_prefix("Bearer ").ok_or_else(|| {
        Fault::new(ErrorKind::Unauthorized, "expected the header `Authorization: Bearer KEY`")
    })
}

fn requested_class(req: &Request, organisation: &ResolvedOrganisation) -> Result<ClassId, Fault> {
    match header(req, CLASS_HEADER) {
        None => Ok(organisation.settings.default_class.clone()),
        Some(text) => {
            text.parse().map_err(|error| Fault::new(ErrorKind::BadRequest, format!("{error}")))
        }
    }
}

fn unknown_class(class: &ClassId) -> Fault {
    Fault::new(
        ErrorKind::BadRequest,
        format!("the class `{class}` is not declared in the organisation's branches"),
    )
}

fn parse_timeout(text: &str) -> Result<Millis, Fault> {
    let invalid = |_error| {
        let detail = format!("{DEADLINE_HEADER} `{text}` is not a whole number of milliseconds");
        Fault::new(ErrorKind::BadRequest, detail)
    };
    text.parse().map(Millis).map_err(invalid)
}
