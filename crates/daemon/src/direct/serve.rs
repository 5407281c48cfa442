//! Handles a request: admits it, executes it and records its outcome.

use super::{
    Shared,
    admission::wait_for_capacity,
    metrics::RouteLabels,
    outbox::Outbox,
    progress::{Progress, RequestOutcome},
    request::{AdmittedRequest, RETRY_AFTER_SPREAD},
    response::{AfterResponse, ErrorReply},
    retry::make_attempts,
    state::State,
};
use crate::clock::since_boot;
use async_std::{net::TcpStream, task};
use futures_lite::{FutureExt, future};
use ibissail_core::{ErrorKind, Millis, OrganisationId, ServiceId};
use ibissail_direct::{
    AllowedRegions, ContentHash, Organisation, OrganisationKey, PartHash, RequestKind, Route,
    RoutingTable, retry_after, retry_after_pause, retry_elsewhere, stable_hash,
};
use ibissail_http1::{Connection, RequestHead};
use ibissail_platform::{CallerRequest, decode_caller_request, invalid_request_reason};
use rand::Rng;
use slog::{info, warn};
use std::{collections::BTreeSet, sync::Arc, time::Duration};

/// Time after the start of the process in which requests wait for the first reads of the store.
const INITIAL_STATE_TIMEOUT: Millis = Millis(600);
/// Interval at which such requests check for the results of these reads.
const INITIAL_STATE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval of the disconnect checks of a caller that has already sent bytes of its next request.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Handles one request and sends its response; returns what happens to the connection.
pub(super) async fn handle_request(
    shared: &Arc<Shared>,
    connection: &mut Connection,
    head: RequestHead,
    body: Vec<u8>,
) -> AfterResponse {
    let after_response = if head.keep_alive && !shared.is_stopping() {
        AfterResponse::KeepAlive
    } else {
        AfterResponse::Close
    };
    shared.wait_for_initial_state().await;
    let request = match shared.admit(head, body, after_response) {
        Ok(request) => request,
        Err((id, reply)) => {
            info!(shared.log, "request: refused"; "id" => id, "kind" => reply.kind.code(),
                "detail" => &reply.detail);
            shared.metrics.count_request("none", reply.kind.code());
            let after_response =
                if should_reconnect(reply.kind) { AfterResponse::Close } else { after_response };
            return after_write(
                reply.write(connection, after_response).await.is_ok(),
                after_response,
            );
        }
    };
    let may_resume = request.route.kind == RequestKind::ResumableStream;
    let usual_ids = shared.state().event_ids.usual(&request.service, &request.route.name);
    let mut progress = Progress::new(request.params.resume_after.filter(|_| may_resume), usual_ids);
    if request.route.kind.is_stream() && shared.state().is_adaptive(&request.service) {
        let caller = connection.stream().clone();
        progress.outbox = Some(Outbox::new(shared, caller, &request.params.id));
    }
    let outcome = execute(shared, connection, &request, &mut progress).await;
    let after_response = match &outcome {
        RequestOutcome::Answered(_) => after_response,
        RequestOutcome::Failed(reply) => {
            // A shutdown may have started since the request arrived.
            let after_response =
                if shared.is_stopping() { AfterResponse::Close } else { after_response };
            let is_written = reply.write(connection, after_response).await.is_ok();
            after_write(is_written, after_response)
        }
        RequestOutcome::Truncated(_) | RequestOutcome::CallerGone => AfterResponse::Close,
    };
    shared.record_outcome(&request, &progress, &outcome);
    for rest in progress.unsent {
        // Rare, so that the future of every request need not have room for it.
        Box::pin(rest.send()).await;
    }
    after_response
}

/// Whether another entry, which a new connection may reach, can serve the caller better.
fn should_reconnect(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::SettingsStale | ErrorKind::SettingsMissing | ErrorKind::Draining)
}

fn after_write(is_written: bool, after_response: AfterResponse) -> AfterResponse {
    if is_written { after_response } else { AfterResponse::Close }
}

/// Why the execution of a request ended.
#[derive(Debug)]
enum ExecutionEnd {
    Outcome(RequestOutcome),
    /// The deadline of the caller has passed.
    DeadlinePassed,
    /// The grace time of a shutdown has passed.
    GraceEnded,
}

/// Executes a request until it ends, its deadline passes, its caller disconnects or the grace time
/// of a shutdown ends.
async fn execute(
    shared: &Arc<Shared>,
    connection: &mut Connection,
    request: &AdmittedRequest,
    progress: &mut Progress,
) -> RequestOutcome {
    let caller = connection.stream().clone();
    let time_left = request.time_left(since_boot()).as_duration();
    let attempts = async {
        // A request that waits has not run, so that it may be dropped whatever its kind.
        let disconnected = wait_for_disconnect(&caller);
        match wait_for_capacity(shared, request, progress, disconnected).await {
            Ok(mut permit) => {
                let outcome = make_attempts(shared, connection, request, progress).await;
                if let Some(permit) = &mut permit {
                    permit.record_outcome(&outcome);
                }
                ExecutionEnd::Outcome(outcome)
            }
            Err(outcome) => ExecutionEnd::Outcome(outcome),
        }
    };
    let timed_out = async {
        task::sleep(time_left).await;
        ExecutionEnd::DeadlinePassed
    };
    let disconnected = async {
        // A once-at-most request without a stream is finished even if its caller has disconnected:
        // aborting it would leave its outcome unknown.
        if request.route.kind == RequestKind::OnceAtMost {
            future::pending::<()>().await;
        }
        wait_for_disconnect(&caller).await;
        ExecutionEnd::Outcome(RequestOutcome::CallerGone)
    };
    let grace_ended = async {
        let _closed = shared.grace_ended.1.recv().await;
        ExecutionEnd::GraceEnded
    };
    match attempts.or(disconnected).or(timed_out).or(grace_ended).await {
        ExecutionEnd::Outcome(outcome) => outcome,
        ExecutionEnd::DeadlinePassed => {
            let kind =
                if progress.may_have_run { ErrorKind::Timeout } else { ErrorKind::DeadlineUnmet };
            break_off(request, progress, kind, "the deadline passed")
        }
        ExecutionEnd::GraceEnded => {
            let kind =
                if progress.may_have_run { ErrorKind::OutcomeUnknown } else { ErrorKind::Draining };
            break_off(request, progress, kind, "the entry stops")
        }
    }
}

/// The outcome of a request whose attempts are broken off: an error response unless the caller has
/// received a part of another one.
fn break_off(
    request: &AdmittedRequest,
    progress: &Progress,
    kind: ErrorKind,
    detail: &str,
) -> RequestOutcome {
    if progress.has_response_started() {
        RequestOutcome::Truncated(detail.to_owned())
    } else {
        RequestOutcome::Failed(request.error_reply(kind, detail))
    }
}

async fn wait_for_disconnect(stream: &TcpStream) {
    let mut byte = [0; 1];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            Ok(_) => task::sleep(DISCONNECT_CHECK_INTERVAL).await,
        }
    }
}

impl Shared {
    /// Lets a process that has just started read the store before it refuses its first requests.
    async fn wait_for_initial_state(&self) {
        while !self.has_initial_state() && since_boot().since(self.started) < INITIAL_STATE_TIMEOUT
        {
            task::sleep(INITIAL_STATE_CHECK_INTERVAL).await;
        }
    }

    fn has_initial_state(&self) -> bool {
        let state = self.state();
        state.table.is_some()
            && !state.replicas.is_empty()
            && state.rollout_list.confirmed_at().is_some()
            && state.knows_evacuations(since_boot())
            && state.configuration_doubt(since_boot()).is_none()
    }
}

/// Id of a request that was not admitted, and the response to it.
type AdmissionError = (String, ErrorReply);

impl Shared {
    /// Admits a request, or returns the response that refuses it.
    fn admit(
        &self,
        head: RequestHead,
        body: Vec<u8>,
        after_response: AfterResponse,
    ) -> Result<AdmittedRequest, AdmissionError> {
        let now = since_boot();
        let params = decode_caller_request(&head);
        let mut state = self.state();
        // Peers that have a newer configuration, or are not heard, can reach the store.
        let is_behind = state.is_configuration_outdated
            || state.peers.is_isolated(now)
            || state.missing_configuration(now).is_some();
        let rest_of_wait = state.rest_of_fleet_wait(now);
        let refuse = |kind: ErrorKind, detail: &str| {
            // Without a deadline of the caller, the retry time is limited as for one of 1.5 s.
            let time_left = params.time_left.unwrap_or(Millis(1_500));
            let jitter = rand::rng().random();
            let has_retry_time = kind.response().status == 503;
            let can_others_serve =
                kind == ErrorKind::Draining || is_behind && should_reconnect(kind);
            let retry_after = has_retry_time.then(|| match rest_of_wait {
                _ if can_others_serve => retry_elsewhere(jitter),
                Some(rest) if kind == ErrorKind::SettingsStale => {
                    retry_after_pause(rest, RETRY_AFTER_SPREAD, jitter)
                }
                _ => retry_after(RETRY_AFTER_SPREAD, time_left, jitter),
            });
            (params.id.clone(), ErrorReply { kind, detail: detail.to_owned(), retry_after })
        };
        if let Some(detail) = invalid_request_reason(&head) {
            return Err(refuse(ErrorKind::BadRequest, &detail));
        }
        let Some(table) = state.table.clone() else {
            return Err(refuse(ErrorKind::SettingsMissing, "no configuration received yet"));
        };
        if !state.knows_evacuations(now) {
            let detail = "the evacuated zones are not known yet";
            return Err(refuse(ErrorKind::SettingsMissing, detail));
        }
        let age = state.freshness.age(now);
        let Some(route) = table.route(&params.host, &head.target).cloned() else {
            let detail =
                format!("no route for this host and path in configuration {}", table.version);
            return Err(refuse(ErrorKind::NotFound, &detail));
        };
        let organisation = state
            .check_key(&table, &route, params.key.as_ref(), now)
            .map_err(|(kind, detail)| refuse(kind, &detail))?;
        let Some(service) = select_service(&route, &params.id) else {
            return Err(refuse(ErrorKind::NoReplica, "the route names no service"));
        };
        let time_left =
            params.time_left.map_or(route.timeout, |time_left| time_left.min(route.timeout));
        if !self.can_admit(now.saturating_add(time_left)) {
            return Err(refuse(ErrorKind::Draining, "the entry may stop before the request ends"));
        }
        state.budget(&service).record_request(now);
        drop(state);
        let urgency = organisation.as_ref().and_then(|organisation| organisation.urgency);
        let no_regions = BTreeSet::new();
        let by_organisation =
            organisation.as_ref().map_or(&no_regions, |organisation| &organisation.regions);
        let regions = AllowedRegions::new(&route.regions, by_organisation);
        let organisation = organisation.map(|organisation| organisation.id.clone());
        let content = content_hash(organisation.as_ref(), &params, &head, &body);
        Ok(AdmittedRequest {
            content,
            urgency: urgency.unwrap_or(route.urgency),
            organisation,
            regions,
            params,
            head,
            body,
            route,
            service,
            arrived_at: now,
            deadline: now.saturating_add(time_left),
            after_response,
            configuration_version: table.version,
            configuration_age: age,
        })
    }

    /// The error response to a request whose key has been taken away or given to another
    /// organisation, or can no longer be checked, since the request was admitted; `None` if a further
    /// attempt is permitted.
    pub(super) fn check_permission(
        &self,
        request: &AdmittedRequest,
        may_have_run: bool,
    ) -> Option<ErrorReply> {
        let organisation = request.organisation.as_ref()?;
        let state = self.state();
        let table = state.table.as_ref()?;
        let key = request.params.key.as_ref();
        let (kind, detail) = match state.check_key(table, &request.route, key, since_boot()) {
            Err(refusal) => refusal,
            Ok(Some(owner)) if owner.id != *organisation => {
                // The caller may send the request again, for the new owner.
                (ErrorKind::SettingsStale, "the key belongs to another organisation now".to_owned())
            }
            Ok(_) => return None,
        };
        let kind = if may_have_run { ErrorKind::OutcomeUnknown } else { kind };
        Some(request.error_reply(kind, &detail))
    }

    /// Logs and counts the outcome of a request.
    fn record_outcome(
        &self,
        request: &AdmittedRequest,
        progress: &Progress,
        outcome: &RequestOutcome,
    ) {
        let (label, detail) = match outcome {
            RequestOutcome::Answered(status) => ("answered", status.to_string()),
            RequestOutcome::Failed(reply) => (reply.kind.code(), reply.detail.clone()),
            RequestOutcome::Truncated(reason) => ("cut", reason.clone()),
            RequestOutcome::CallerGone => ("caller_gone", String::new()),
        };
        let took = since_boot().since(request.arrived_at);
        self.metrics.count_request(&request.route.name, label);
        if matches!(outcome, RequestOutcome::Answered(_)) {
            let organisation = request.organisation.as_ref().map(ToString::to_string);
            let labels = RouteLabels {
                route: request.route.name.clone(),
                organisation: organisation.unwrap_or_default(),
            };
            let first = progress.first_byte_at.unwrap_or(since_boot()).since(request.arrived_at);
            self.metrics.observe_first_byte(&labels, first.as_duration());
            self.metrics.observe_total_time(&labels, took.as_duration());
        }
        let attempts = progress.attempt_log.join(" ");
        let organisation = request.organisation.as_ref().map_or("", |id| id.as_str());
        let age = request.configuration_age.unwrap_or_default().0;
        let first = progress.first_byte_at.map_or(0, |first| first.since(request.arrived_at).0);
        if matches!(outcome, RequestOutcome::Answered(_)) {
            info!(self.log, "request: ended"; "id" => &request.params.id,
                "route" => &request.route.name,
                "organisation" => organisation, "outcome" => label, "detail" => detail,
                "attempts" => attempts, "took_ms" => took.0, "first_ms" => first,
                "events" => progress.position.event_count(),
                "last_event_id" => progress.position.last_id(),
                "configuration" => request.configuration_version, "age_ms" => age);
        } else {
            warn!(self.log, "request: failed"; "id" => &request.params.id,
                "route" => &request.route.name,
                "organisation" => organisation, "outcome" => label, "detail" => detail,
                "attempts" => attempts, "took_ms" => took.0, "first_ms" => first,
                "events" => progress.position.event_count(),
                "last_event_id" => progress.position.last_id(),
                "configuration" => request.configuration_version, "age_ms" => age);
        }
    }
}

impl State {
    /// Looks up the organisation that a key belongs to; `None` if the route needs no key. The error
    /// says why requests with this key are refused now.
    fn check_key(
        &self,
        table: &RoutingTable,
        route: &Route,
        key: Option<&OrganisationKey>,
        now: Millis,
    ) -> Result<Option<Arc<Organisation>>, (ErrorKind, String)> {
        if !table.requires_keys() || route.allows_anonymous {
            return Ok(None);
        }
        if !self.freshness.allows_keys(now) {
            let age = self.freshness.age(now);
            let age = age.map_or_else(|| "an unknown time".to_owned(), |age| age.to_string());
            let detail = format!("the configuration was last confirmed {age} ago");
            return Err((ErrorKind::SettingsStale, detail));
        }
        if let Some(doubt) = self.configuration_doubt(now) {
            return Err((ErrorKind::SettingsStale, doubt));
        }
        let owner = key.and_then(|key| table.organisation(key));
        let owner = owner.ok_or_else(|| {
            let detail = format!("unknown key in configuration {}", table.version);
            (ErrorKind::Unauthorized, detail)
        })?;
        Ok(Some(Arc::clone(owner)))
    }
}

/// Hashes what a request asks for. Its caller is the organisation, or the key on a route that needs
/// none.
fn content_hash(
    organisation: Option<&OrganisationId>,
    params: &CallerRequest,
    head: &RequestHead,
    body: &[u8],
) -> ContentHash {
    let key = params.key.as_ref().map(|key| key.0.as_str());
    let caller = organisation.map(OrganisationId::as_str).or(key).unwrap_or_default();
    let parts: Vec<PartHash> =
        params.prompt.parts.iter().map(|part| PartHash::new(&part.id)).collect();
    ContentHash::new(caller, &head.method, &params.host, &head.target, body).with_prompt(&parts)
}

/// Selects a service by the weights of the route and a hash of the request's id, so that the same
/// id gets the same service; `None` if the route has no service.
fn select_service(route: &Route, id: &str) -> Option<ServiceId> {
    let total: u64 = route.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
    if total == 0 {
        return route.services.first().map(|(service, _)| service.clone());
    }
    let mut point = stable_hash(&[id, &route.name]) % total;
    for (service, weight) in &route.services {
        let weight = u64::from(*weight);
        if point < weight {
            return Some(service.clone());
        }
        point -= weight;
    }
    None
}
