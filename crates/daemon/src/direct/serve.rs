//! Admits a request, lets it be carried out, and accounts for its end.

use super::{
    Direct,
    accept::After,
    answer::Refusal,
    drive::{End, Progress, drive},
    metrics::RouteLabels,
};
use crate::clock::since_boot;
use async_std::{net::TcpStream, task};
use futures_lite::{FutureExt, future};
use ibissail_core::{ErrorKind, Millis, OrganisationId, ServiceId};
use ibissail_direct::{RequestKind, Route, retry_after, stable_hash};
use ibissail_http1::{Connection, RequestHead};
use ibissail_platform::{CallerRequest, decode_caller_request, invalid_request_reason};
use rand::Rng;
use slog::{info, warn};
use std::{sync::Arc, time::Duration};

/// Time over which refused callers are spread when they come back.
const RETURN_SPREAD: Millis = Millis(600);
/// Time after its start in which a process keeps callers waiting for its first reads.
const FIRST_READ_TIME: Millis = Millis(400);
const FIRST_READ_CHECK: Duration = Duration::from_millis(10);
/// Time between two looks at a caller that has sent bytes ahead.
const GONE_CHECK: Duration = Duration::from_millis(200);

/// A request that has been admitted.
#[derive(Debug)]
pub(crate) struct Work {
    pub(crate) call: CallerRequest,
    pub(crate) head: RequestHead,
    pub(crate) body: Vec<u8>,
    pub(crate) route: Arc<Route>,
    pub(crate) organisation: Option<OrganisationId>,
    pub(crate) urgency: u32,
    pub(crate) service: ServiceId,
    pub(crate) arrived: Millis,
    /// When the caller must have its answer.
    pub(crate) until: Millis,
    pub(crate) after: After,
    /// Version of the configuration that admitted the request.
    configuration: u64,
    /// Age of that configuration.
    age: Option<Millis>,
}

impl Work {
    /// A refusal of an admitted request, with the time to come back where it has not run.
    pub(crate) fn refusal(&self, kind: ErrorKind, detail: &str) -> Refusal {
        let draw = rand::rng().random();
        let has_time = kind.response().status == 503;
        let rest = self.rest(since_boot());
        Refusal {
            kind,
            detail: detail.to_owned(),
            retry_after: has_time.then(|| retry_after(RETURN_SPREAD, rest, draw)),
        }
    }

    /// Time that is left.
    pub(crate) fn rest(&self, now: Millis) -> Millis {
        self.until.since(now)
    }
}

/// Serves one request and answers it.
pub(super) async fn handle(
    direct: &Arc<Direct>,
    connection: &mut Connection,
    head: RequestHead,
    body: Vec<u8>,
) -> After {
    let after =
        if head.keep_alive && !direct.is_stopping() { After::KeepOpen } else { After::Close };
    direct.wait_for_first_beliefs().await;
    let work = match direct.admit(head, body, after) {
        Ok(work) => work,
        Err((id, refusal)) => {
            info!(direct.log, "request: refused"; "id" => id, "kind" => refusal.kind.code(),
                "detail" => &refusal.detail);
            direct.metrics.outcome("none", refusal.kind.code());
            let after = if leads_elsewhere(refusal.kind) { After::Close } else { after };
            return finish(refusal.write(connection, after).await.is_ok(), after);
        }
    };
    let mut progress = Progress::new();
    let end = carry_out(direct, connection, &work, &mut progress).await;
    let after = match &end {
        End::Answered(_) => after,
        End::Refused(refusal) => {
            let is_written = refusal.write(connection, after).await.is_ok();
            finish(is_written, after)
        }
        End::Cut(_) | End::CallerGone => After::Close,
    };
    direct.account(&work, &progress, &end);
    after
}

/// Whether the caller is better served by another entry, which a new connection may reach.
fn leads_elsewhere(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::SettingsStale | ErrorKind::SettingsMissing | ErrorKind::Draining)
}

fn finish(is_written: bool, after: After) -> After {
    if is_written { after } else { After::Close }
}

/// Carries a request out until it ends, its time is up or its caller has left.
async fn carry_out(
    direct: &Arc<Direct>,
    connection: &mut Connection,
    work: &Work,
    progress: &mut Progress,
) -> End {
    let caller = connection.stream().clone();
    let rest = work.rest(since_boot()).as_duration();
    let driven = async { Some(drive(direct, connection, work, progress).await) };
    let late = async {
        task::sleep(rest).await;
        None
    };
    let gone = async {
        // What may not be repeated is finished though nobody listens: cutting it would leave its
        // outcome unknown.
        if work.route.kind == RequestKind::OnceAtMost {
            future::pending::<()>().await;
        }
        wait_until_gone(&caller).await;
        Some(End::CallerGone)
    };
    match driven.or(gone).or(late).await {
        Some(end) => end,
        None if progress.has_begun_answer() => End::Cut("the time ran out".to_owned()),
        None => End::Refused(work.refusal(late_kind(progress), "the time ran out")),
    }
}

fn late_kind(progress: &Progress) -> ErrorKind {
    if progress.may_have_run { ErrorKind::Timeout } else { ErrorKind::DeadlineUnmet }
}

async fn wait_until_gone(stream: &TcpStream) {
    let mut byte = [0; 1];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            Ok(_) => task::sleep(GONE_CHECK).await,
        }
    }
}

impl Direct {
    /// Lets a process that has just started read the store before it refuses its first callers.
    async fn wait_for_first_beliefs(&self) {
        while !self.has_beliefs() && since_boot().since(self.started) < FIRST_READ_TIME {
            task::sleep(FIRST_READ_CHECK).await;
        }
    }

    fn has_beliefs(&self) -> bool {
        let state = self.state();
        state.table.is_some() && !state.replicas.is_empty()
    }
}

type Unadmitted = (String, Refusal);

impl Direct {
    fn admit(&self, head: RequestHead, body: Vec<u8>, after: After) -> Result<Work, Unadmitted> {
        let now = since_boot();
        let call = decode_caller_request(&head);
        let refuse = |kind: ErrorKind, detail: &str| {
            let rest = call.time_left.unwrap_or(Millis(1_500));
            let draw = rand::rng().random();
            let has_time = kind.response().status == 503;
            let retry_after = has_time.then(|| retry_after(RETURN_SPREAD, rest, draw));
            (call.id.clone(), Refusal { kind, detail: detail.to_owned(), retry_after })
        };
        if let Some(detail) = invalid_request_reason(&head) {
            return Err(refuse(ErrorKind::BadRequest, &detail));
        }
        let mut state = self.state();
        let Some(table) = state.table.clone() else {
            return Err(refuse(ErrorKind::SettingsMissing, "no configuration yet"));
        };
        let age = state.freshness.age(now);
        let Some(route) = table.route(&call.host, &head.target).cloned() else {
            let detail = format!("no route in configuration {}", table.version);
            return Err(refuse(ErrorKind::NotFound, &detail));
        };
        let mut organisation = None;
        if table.requires_keys() && !route.allows_anonymous {
            if !state.freshness.allows_keys(now) {
                let age = age.map_or_else(|| "unknown".to_owned(), |age| age.to_string());
                let detail = format!("the configuration was last confirmed {age} ago");
                return Err(refuse(ErrorKind::SettingsStale, &detail));
            }
            let holder = call.key.as_ref().and_then(|key| table.organisation(key));
            let Some(holder) = holder else {
                let detail = format!("unknown key in configuration {}", table.version);
                return Err(refuse(ErrorKind::Unauthorized, &detail));
            };
            organisation = Some(Arc::clone(holder));
        }
        let Some(service) = draw_service(&route, &call.id) else {
            return Err(refuse(ErrorKind::NoReplica, "the route names no service"));
        };
        let rest = call.time_left.map_or(route.timeout, |rest| rest.min(route.timeout));
        if !self.takes(now.saturating_add(rest)) {
            return Err(refuse(ErrorKind::Draining, "the process ends before the request might"));
        }
        state.budget(&service).record_request(now);
        drop(state);
        let urgency = organisation.as_ref().and_then(|organisation| organisation.urgency);
        Ok(Work {
            urgency: urgency.unwrap_or(route.urgency),
            organisation: organisation.map(|organisation| organisation.id.clone()),
            call,
            head,
            body,
            route,
            service,
            arrived: now,
            until: now.saturating_add(rest),
            after,
            configuration: table.version,
            age,
        })
    }

    /// Logs and counts the end of a request.
    fn account(&self, work: &Work, progress: &Progress, end: &End) {
        let (outcome, detail) = match end {
            End::Answered(status) => ("answered", status.to_string()),
            End::Refused(refusal) => (refusal.kind.code(), refusal.detail.clone()),
            End::Cut(reason) => ("cut", reason.clone()),
            End::CallerGone => ("caller_gone", String::new()),
        };
        let took = since_boot().since(work.arrived);
        self.metrics.outcome(&work.route.name, outcome);
        if matches!(end, End::Answered(_)) {
            let organisation = work.organisation.as_ref().map(ToString::to_string);
            let labels = RouteLabels {
                route: work.route.name.clone(),
                organisation: organisation.unwrap_or_default(),
            };
            let first = progress.first_at.unwrap_or(since_boot()).since(work.arrived);
            self.metrics.first(&labels, first.as_duration());
            self.metrics.whole(&labels, took.as_duration());
        }
        let attempts = progress.attempts.join(" ");
        let organisation = work.organisation.as_ref().map_or("", |id| id.as_str());
        let age = work.age.unwrap_or_default().0;
        let first = progress.first_at.map_or(0, |first| first.since(work.arrived).0);
        if matches!(end, End::Answered(_)) {
            info!(self.log, "request: ended"; "id" => &work.call.id, "route" => &work.route.name,
                "organisation" => organisation, "outcome" => outcome, "detail" => detail,
                "attempts" => attempts, "took_ms" => took.0, "first_ms" => first,
                "events" => progress.splitter.events(),
                "configuration" => work.configuration, "age_ms" => age);
        } else {
            warn!(self.log, "request: failed"; "id" => &work.call.id, "route" => &work.route.name,
                "organisation" => organisation, "outcome" => outcome, "detail" => detail,
                "attempts" => attempts, "took_ms" => took.0, "first_ms" => first,
                "events" => progress.splitter.events(),
                "configuration" => work.configuration, "age_ms" => age);
        }
    }
}

/// The service for a request, by the weights of the route.
fn draw_service(route: &Route, id: &str) -> Option<ServiceId> {
    let total: u64 = route.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
    if total == 0 {
        return route.services.first().map(|(service, _)| service.clone());
    }
    let mut place = stable_hash(&[id, &route.name]) % total;
    for (service, weight) in &route.services {
        let weight = u64::from(*weight);
        if place < weight {
            return Some(service.clone());
        }
        place -= weight;
    }
    None
}
