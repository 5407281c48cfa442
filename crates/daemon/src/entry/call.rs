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
pub(crate) struct Call {
    pub(crate) id: RequestId,
    pub(crate) member: Arc<ResolvedOrganisation>,
    pub(crate) class: ClassId,
    pub(crate) quality: Ratio,
    pub(crate) deadline: Millis,
    pub(crate) caller: Caller,
    pub(crate) labels: RequestLabels,
    pub(crate) started: Instant,
    pub(crate) log: Logger,
}

impl Call {
    /// Authenticates a request and reads its headers.
    pub(crate) fn open(
        shared: &Shared,
        req: &Request,
        caller: Caller,
        id: RequestId,
    ) -> Result<Self, Fault> {
        if !shared.node.is_synced() {
            return Err(ErrorKind::SettingsMissing.into());
        }
        let member = shared.node.catalogue().authenticate(bearer_key(req)?)?;
        let class = class_of(req, &member)?;
        let settings = member.class(&class).ok_or_else(|| unknown_class(&class))?;
        let allowed = match header(req, DEADLINE_HEADER) {
            Some(text) => parse_deadline(text)?.min(settings.deadline),
            None => settings.deadline.min(DEFAULT_DEADLINE),
        };
        let labels = RequestLabels::new(&member.id, &class);
        let log = shared.node.log.new(o!(
            "request" => id.to_string(), "organisation" => member.id.to_string()
        ));
        Ok(Self {
            id,
            class,
            quality: settings.quality,
            deadline: shared.node.now().saturating_add(allowed),
            caller,
            labels,
            started: Instant::now(),
            log,
            member,
        })
    }

    /// Time left until the deadline.
    pub(crate) fn time_left(&self, shared: &Shared) -> Millis {
        self.deadline.since(shared.node.now())
    }

    /// A number that spreads requests evenly over versions.
    pub(crate) fn spread(&self) -> u64 {
        fingerprint(&[self.id.to_string().as_bytes()])
    }

    /// The whole body, within the branch's limit.
    pub(crate) async fn body(&self, req: &mut Request) -> Result<Vec<u8>, Fault> {
        let limit = self.member.branches.iter().map(|branch| branch.limits.body).min();
        let mut body = req.take_body();
        let read = read_body(&mut body, limit.unwrap_or(ByteSize(0))).await;
        if read.is_err() {
            self.caller.discard_body();
        }
        read
    }

    /// The member by the newest settings, which may have changed during the request.
    pub(crate) fn member_now(
        &self,
        catalogue: &Catalogue,
    ) -> Result<Arc<ResolvedOrganisation>, Fault> {
        catalogue.organisation(&self.member.id)
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

fn class_of(req: &Request, member: &ResolvedOrganisation) -> Result<ClassId, Fault> {
    match header(req, CLASS_HEADER) {
        None => Ok(member.settings.default_class.clone()),
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
