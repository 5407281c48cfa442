//! Chat completions, buffered or streamed.

use crate::{
    entry::{
        Shared,
        attempts::{Attempts, CompleteResponse, StartedResponse},
        billing,
        context::{RequestContext, SESSION_HEADER, VERSION_HEADER, header},
        dispatch::RunSpec,
        relay::{Item, Relay, ResponseSummary},
        sessions,
    },
    response,
};
use async_std::task;
use futures_lite::future::or;
use http_types::{Request, Response};
use ibissail_billing::UsageRecord;
use ibissail_cascade::{candidates, order_models, pick_version};
use ibissail_catalogue::{Catalogue, Purpose, ResolvedOrganisation};
use ibissail_core::{ErrorKind, Fault, ModelId, ModelVersion, Ran, Target};
use ibissail_direct::ContentHash;
use ibissail_http1::EventLine;
use ibissail_routing::Permit;
use ibissail_transport::{BodySender, body_channel};
use serde_json::Value;
use slog::{debug, info};
use std::{sync::Arc, time::Instant};

/// Model name that selects the cheapest model meeting the quality target; if none meets it, the one
/// with the best quality.
pub(crate) const AUTO_MODEL: &str = "auto";
const STATUS_OK: u16 = 200;
const ENGINE_PATH: &str = "/v1/chat/completions";
/// Final event of a stream; sent to the caller only once the response is known to be complete.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Handles a chat completion request.
pub(crate) async fn complete(
    shared: &Arc<Shared>,
    ctx: &RequestContext,
    req: &mut Request,
) -> Result<Response, Fault> {
    let permit = shared
        .concurrency_limiter
        .acquire(&ctx.organisation.id, ctx.organisation.settings.concurrency)?;
    let body = ctx.body(req).await?;
    let parsed: Value = serde_json::from_slice(&body)
        .map_err(|error| Fault::new(ErrorKind::BadRequest, error.to_string()))?;
    let model = parsed["model"]
        .as_str()
        .ok_or_else(|| {
            Fault::new(ErrorKind::BadRequest, "the request body has no string field `model`")
        })?
        .to_owned();
    let pinned = match header(req, SESSION_HEADER) {
        Some(token) => Some(sessions::pinned_version(shared, ctx, token)?),
        None => None,
    };
    let organisation = ctx.organisation.id.as_str();
    let spec = RunSpec {
        content: ContentHash::new(organisation, "POST", "", ENGINE_PATH, &body),
        session: pinned.is_some(),
        fingerprint: 0,
        method: "POST".to_owned(),
        path: ENGINE_PATH.to_owned(),
        content_type: "application/json".to_owned(),
        body,
    };
    let chat = ChatCompletion { shared: Arc::clone(shared), ctx: ctx.clone(), spec, model, pinned };
    if parsed["stream"].as_bool().unwrap_or(false) {
        chat.streaming(permit).await
    } else {
        let disconnected = async {
            ctx.caller.disconnected().await;
            Err(Fault::new(ErrorKind::Incomplete, "the caller disconnected"))
        };
        or(chat.buffered(), disconnected).await
    }
}

/// Versions that may serve a request, in order of preference.
///
/// Fails if the model is unknown, not allowed or withdrawn.
pub(crate) fn candidate_versions(
    shared: &Shared,
    ctx: &RequestContext,
    model: &str,
    pinned: Option<&ModelVersion>,
) -> Result<Vec<ModelVersion>, Fault> {
    let catalogue = shared.node.catalogue();
    let organisation = ctx.current_organisation(&catalogue)?;
    if let Some(version) = pinned {
        return session_versions(&catalogue, &organisation, model, version);
    }
    if model == AUTO_MODEL {
        let order = order_models(candidates(&catalogue, &organisation, &ctx.class), ctx.quality);
        let versions =
            order.iter().flat_map(|model| rank_versions(&catalogue, &organisation, model, ctx));
        return Ok(versions.collect());
    }
    if model.contains('@') {
        let version: ModelVersion = parse(model)?;
        catalogue.authorize(&organisation, &Target::Model(version.clone()), Purpose::New)?;
        return Ok(vec![version]);
    }
    let model: ModelId = parse(model)?;
    let versions = rank_versions(&catalogue, &organisation, &model, ctx);
    if versions.is_empty() {
        return Err(no_version_fault(&catalogue, &organisation, &model));
    }
    Ok(versions)
}

fn session_versions(
    catalogue: &Catalogue,
    organisation: &ResolvedOrganisation,
    model: &str,
    version: &ModelVersion,
) -> Result<Vec<ModelVersion>, Fault> {
    let is_same_version =
        model == AUTO_MODEL || model == version.model.as_str() || model == version.to_string();
    if !is_same_version {
        let detail =
            format!("the session is pinned to `{version}`, but the request names `{model}`");
        return Err(Fault::new(ErrorKind::BadRequest, detail));
    }
    catalogue.authorize(organisation, &Target::Model(version.clone()), Purpose::Session)?;
    Ok(vec![version.clone()])
}

/// The version chosen by the traffic split, then the others with a weight above zero.
fn rank_versions(
    catalogue: &Catalogue,
    organisation: &ResolvedOrganisation,
    model: &ModelId,
    ctx: &RequestContext,
) -> Vec<ModelVersion> {
    let versions = catalogue.versions(organisation, model);
    let Some(first) = pick_version(&versions, ctx.split_hash()).cloned() else { return Vec::new() };
    let others = versions.into_iter().filter(|(version, weight)| *weight > 0 && *version != first);
    let others: Vec<ModelVersion> = others.map(|(version, _)| version).collect();
    [vec![first], others].concat()
}

fn parse<T>(text: &str) -> Result<T, Fault>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error: T::Err| Fault::new(ErrorKind::UnknownModel, error.to_string()))
}

/// Fault for a model without a version that accepts new requests.
fn no_version_fault(
    catalogue: &Catalogue,
    organisation: &ResolvedOrganisation,
    model: &ModelId,
) -> Fault {
    let versions = catalogue.root().and_then(|root| root.models.get(model));
    let Some(settings) = versions else {
        return Fault::new(ErrorKind::UnknownModel, format!("`{model}`"));
    };
    let mut fault = Fault::new(ErrorKind::NotAllowed, format!("`{model}`"));
    for version in settings.versions.keys() {
        let version = ModelVersion { model: model.clone(), version: version.clone() };
        if let Err(error) = catalogue.authorize(organisation, &Target::Model(version), Purpose::New)
            && error.kind == ErrorKind::VersionWithdrawn
        {
            fault = error;
        }
    }
    fault
}

/// Adds bytes to the incomplete event `rest`; returns the events that are now complete.
fn take_events(rest: &mut Vec<u8>, bytes: &[u8]) -> Vec<u8> {
    rest.extend_from_slice(bytes);
    let line_feed_end = rest.windows(2).rposition(|window| window == b"\n\n");
    let other_end = rest.windows(3).rposition(|window| window == b"\n\r\n");
    let ends = [line_feed_end.map(|index| index + 2), other_end.map(|index| index + 3)];
    let end = ends.into_iter().flatten().max().unwrap_or_default();
    let incomplete = rest.split_off(end);
    std::mem::replace(rest, incomplete)
}

/// Whether a response begins with a line of an event; its status is only known at its end.
fn is_event_stream(first: &Item) -> bool {
    let Item::Chunk(bytes) = first else { return false };
    let mut lines = bytes.split_inclusive(|b| *b == b'\n').map(EventLine::parse);
    let first_line = lines.find(|line| *line != EventLine::Blank);
    !matches!(first_line, Some(EventLine::Other { .. }))
}

/// A chat completion in progress.
#[derive(Debug)]
struct ChatCompletion {
    shared: Arc<Shared>,
    ctx: RequestContext,
    spec: RunSpec,
    model: String,
    pinned: Option<ModelVersion>,
}

impl ChatCompletion {
    fn targets(&self) -> Result<Vec<Target>, Fault> {
        let versions =
            candidate_versions(&self.shared, &self.ctx, &self.model, self.pinned.as_ref())?;
        Ok(versions.into_iter().map(Target::Model).collect())
    }

    async fn buffered(&self) -> Result<Response, Fault> {
        let targets = || self.targets();
        let complete =
            Attempts::new(&self.shared, &self.ctx, &self.spec, targets).complete().await?;
        Ok(self.deliver(complete).await)
    }

    async fn deliver(&self, complete: CompleteResponse) -> Response {
        let CompleteResponse { mut relay, target, summary, bytes } = complete;
        self.bill(&relay, &target, &summary).await;
        relay.finish().await;
        self.respond(&target, &summary, bytes)
    }

    fn respond(&self, target: &Target, summary: &ResponseSummary, bytes: Vec<u8>) -> Response {
        let elapsed = self.ctx.started.elapsed();
        self.shared.node.metrics.observe_whole(&self.ctx.labels, elapsed);
        let mut res = Response::new(summary.status);
        res.set_body(bytes);
        res.insert_header("content-type", summary.content_type.as_str());
        res.insert_header(VERSION_HEADER, target.to_string());
        res
    }

    /// Confirms the usage record to its holders before the caller receives the last byte. Only
    /// responses with status 200 are billed.
    async fn bill(&self, relay: &Relay, target: &Target, summary: &ResponseSummary) {
        if summary.status != STATUS_OK {
            return;
        }
        let record = UsageRecord {
            request: self.ctx.id,
            organisation: self.ctx.organisation.id.clone(),
            target: target.clone(),
            input: summary.tokens.input,
            output: summary.tokens.output,
        };
        let address = relay.endpoint.address;
        billing::confirm(&self.shared, &self.ctx, address, &relay.key, record).await;
    }

    /// Streams the response; the response head is sent once the first bytes have arrived. A response
    /// that is no stream, such as a rejection, is sent once it is complete.
    async fn streaming(self, permit: Permit) -> Result<Response, Fault> {
        let targets = || self.targets();
        let mut attempts = Attempts::new(&self.shared, &self.ctx, &self.spec, targets);
        let disconnected = || async {
            self.ctx.caller.disconnected().await;
            Fault::new(ErrorKind::Incomplete, "the caller disconnected")
        };
        let started = or(attempts.start(), async { Err(disconnected().await) }).await?;
        if !is_event_stream(&started.first) {
            let completing = attempts.complete_started(started);
            let complete = or(completing, async { Err(disconnected().await) }).await?;
            return Ok(self.deliver(complete).await);
        }
        let target = started.target.to_string();
        let (sender, body) = body_channel();
        task::spawn(async move {
            let disconnected = async {
                self.ctx.caller.disconnected().await;
                debug!(self.ctx.log, "chat: caller disconnected");
            };
            or(self.forward_events(started, &sender), disconnected).await;
            drop(permit);
        });
        let mut res = Response::new(STATUS_OK);
        res.insert_header("content-type", "text/event-stream");
        res.insert_header("cache-control", "no-cache");
        res.insert_header(VERSION_HEADER, target);
        res.set_body(body);
        Ok(res)
    }

    /// Forwards chunks to the caller; a failure after the first bytes is sent as an event.
    async fn forward_events(&self, started: StartedResponse, sender: &BodySender) {
        let StartedResponse { mut relay, target, first } = started;
        relay.hold_on();
        let mut item = first;
        // An event that is not complete yet: a frame may end anywhere.
        let mut rest = Vec::new();
        let mut last_chunk_at = Instant::now();
        loop {
            match item {
                Item::Chunk(chunk) => {
                    let mut events = take_events(&mut rest, &chunk);
                    if events.ends_with(DONE_EVENT) {
                        events.truncate(events.len() - DONE_EVENT.len());
                    }
                    if !events.is_empty() && !sender.send(events).await {
                        return;
                    }
                }
                Item::End(summary) if summary.status != STATUS_OK => {
                    let detail = format!("status {} behind a stream", summary.status);
                    let fault = Fault::new(ErrorKind::UpstreamFailed, detail);
                    return self.send_error_event(sender, &fault).await;
                }
                Item::End(summary) => {
                    self.bill(&relay, &target, &summary).await;
                    rest.extend_from_slice(DONE_EVENT);
                    let _sent = sender.send(rest).await;
                    let elapsed = self.ctx.started.elapsed();
                    self.shared.node.metrics.observe_whole(&self.ctx.labels, elapsed);
                    relay.finish().await;
                    return;
                }
            }
            item = match relay.next(&self.ctx).await {
                Ok(item) => item,
                Err(fault) => return self.send_error_event(sender, &fault).await,
            };
            self.shared
                .node
                .metrics
                .observe_between_tokens(&self.ctx.labels, last_chunk_at.elapsed());
            last_chunk_at = Instant::now();
        }
    }

    async fn send_error_event(&self, sender: &BodySender, fault: &Fault) {
        info!(self.ctx.log, "chat: stream failed"; "error" => %fault);
        self.shared.node.metrics.count_refusal(fault.kind);
        let fault = Fault { ran: Ran::Yes, ..fault.clone() };
        let event = format!("data: {}\n\n", response::error_body(&fault));
        let _disconnected = sender.send(event.into_bytes()).await;
    }
}
