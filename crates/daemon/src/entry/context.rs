//! One request of a caller: who asks, for which class, until when.

use crate::{entry::Shared, metrics::RequestLabels};
use http_types::Request;
use ibissail_catalogue::{Catalogue, ResolvedOrganisation};
use ibissail_core::{ByteSize, ClassId, ErrorKind, Fault, Millis, Ratio, RequestId};
use ibissail_execution::fingerprint;
use ibissail_transport::{Caller, read_body};
use slog::{Logger, o};
use std::{sync::Arc, time::Instant};

/// Header that names the class.
pub(crate) const CLASS_HEADER: &str = "x-ibissail-class";
/// Header with the milliseconds that the caller will wait.
pub(crate) const DEADLINE_HEADER: &str = "x-ibissail-deadline-ms";
/// Header with the token of a session.
pub(crate) const SESSION_HEADER: &str = "x-ibissail-session";
/// Header of answers that names the version.
pub(crate) const VERSION_HEADER: &str = "x-ibissail-version";
/// Header of answers that names the request.
pub(crate) const REQUEST_HEADER: &str = "x-ibissail-request";

const DEFAULT_DEADLINE: Millis = Millis(60_000);

/// A request that has been authenticated.
#[derive(Debug, Clone)]
pub(crate) struct RequestContext {
    pub(crate) id: RequestId,
    pub(crate) organisation: Arc<ResolvedOrganisation>,
    pub(crate) class: ClassId,
    pub(crate) quality: Ratio,
    pub(crate) deadline: Millis,
    pub(crate) caller: Caller,
    pub(crate) labels: RequestLabels,
    pub(crate) started: Instant,
    pub(crate) log: Logger,
}

impl RequestContext {
    /// Authenticates a request and reads its headers.
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
            Some(text) => parse_deadline(text)?.min(settings.deadline),
            None => settings.deadline.min(DEFAULT_DEADLINE),
        };
        let labels = RequestLabels::new(&organisation.id, &class);
        let log = shared.node.log.new(o!(
            "request" => id.to_string(), "organisation" => organisation.id.to_string()
        ));
        Ok(Self {
            id,
            class,
            quality: settings.quality,
            deadline: shared.node.now().plus(timeout),
            caller,
            labels,
            started: Instant::now(),
            log,
            organisation,
        })
    }

    /// Time left until the deadline.
    pub(crate) fn time_left(&self, shared: &Shared) -> Millis {
        self.deadline.since(shared.node.now())
    }

    /// A number that spreads requests evenly over versions.
    pub(crate) fn split_hash(&self) -> u64 {
        fingerprint(&[self.id.to_string().as_bytes()])
    }

    /// The whole body, within the branch's limit.
    pub(crate) async fn body(&self, req: &mut Request) -> Result<Vec<u8>, Fault> {
        let limit = self.organisation.branches.iter().map(|branch| branch.limits.body).min();
        let mut body = req.take_body();
        let read = read_body(&mut body, limit.unwrap_or(ByteSize(0))).await;
        if read.is_err() {
            self.caller.refuse_body();
        }
        read
    }

    /// The member by the newest settings, which may have changed during the request.
    pub(crate) fn current_organisation(
        &self,
        catalogue: &Catalogue,
    ) -> Result<Arc<ResolvedOrganisation>, Fault> {
        catalogue.organisation(&self.organisation.id)
    }
}

/// A header as text.
pub(crate) fn header<'r>(req: &'r Request, name: &str) -> Option<&'r str> {
    req.header(name).map(|values| values.as_str())
}

fn bearer_key(req: &Request) -> Result<&str, Fault> {
    let authorization = header(req, "authorization").unwrap_or_default();
    authorization
        .strip_prefix("Bearer ")
        .ok_or_else(|| Fault::new(ErrorKind::Unauthorized, "valid: Authorization: Bearer KEY"))
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
    Fault::new(ErrorKind::BadRequest, format!("the class `{class}` is not declared"))
}

fn parse_deadline(text: &str) -> Result<Millis, Fault> {
    let invalid = |_error| {
        let detail = format!("{DEADLINE_HEADER} `{text}` is not a whole number of milliseconds");
        Fault::new(ErrorKind::BadRequest, detail)
    };
    text.parse().map(Millis).map_err(invalid)
}
