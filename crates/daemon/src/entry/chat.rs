//! Chat completions: whole answers and streams.

use crate::{
    answer,
    entry::{
        Shared,
        attempts::{Answered, Attempts, Begun},
        billing,
        call::{Call, SESSION_HEADER, VERSION_HEADER, header},
        dispatch::Job,
        relay::{Item, Relay, Whole},
        sessions,
    },
};
use async_std::task;
use futures_lite::future::or;
use http_types::{Request, Response};
use ibissail_billing::UsageRecord;
use ibissail_cascade::{candidates, order_models, pick_version};
use ibissail_catalogue::{Catalogue, Purpose, ResolvedOrganisation};
use ibissail_core::{ErrorKind, Fault, ModelId, ModelVersion, Ran, Target};
use ibissail_routing::Permit;
use ibissail_transport::{BodySender, body_channel};
use serde_json::Value;
use slog::{debug, info};
use std::{sync::Arc, time::Instant};

/// Name under which the cheapest model that meets the quality target is chosen.
pub(crate) const AUTO_MODEL: &str = "auto";
const STATUS_OK: u16 = 200;
const ENGINE_PATH: &str = "/v1/chat/completions";
/// Event that ends a stream; the caller gets it when the answer is known to be whole.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Answers a chat completion.
pub(crate) async fn complete(
    shared: &Arc<Shared>,
    call: &Call,
    req: &mut Request,
) -> Result<Response, Fault> {
    let permit = shared.admissions.acquire(&call.member.id, call.member.settings.concurrency)?;
    let body = call.body(req).await?;
    let parsed: Value = serde_json::from_slice(&body)
        .map_err(|error| Fault::new(ErrorKind::BadRequest, error.to_string()))?;
    let model = parsed["model"]
        .as_str()
        .ok_or_else(|| Fault::new(ErrorKind::BadRequest, "the key `model` is missing"))?
        .to_owned();
    let pinned = match header(req, SESSION_HEADER) {
        Some(token) => Some(sessions::pinned(shared, call, token)?),
        None => None,
    };
    let job = Job {
        session: pinned.is_some(),
        fingerprint: 0,
        method: "POST".to_owned(),
        path: ENGINE_PATH.to_owned(),
        content_type: "application/json".to_owned(),
        body,
    };
    let chat = Chat { shared: Arc::clone(shared), call: call.clone(), job, model, pinned };
    if parsed["stream"].as_bool().unwrap_or(false) {
        chat.stream(permit).await
    } else {
        let gone = async {
            call.caller.disconnected().await;
            Err(Fault::new(ErrorKind::Incomplete, "the caller has gone"))
        };
        or(chat.whole(), gone).await
    }
}

/// Versions that a request may run on, in the order in which they should be tried.
pub(crate) fn plan(
    shared: &Shared,
    call: &Call,
    model: &str,
    pinned: Option<&ModelVersion>,
) -> Result<Vec<ModelVersion>, Fault> {
    let catalogue = shared.node.catalogue();
    let member = call.member_now(&catalogue)?;
    if let Some(version) = pinned {
        return plan_session(&catalogue, &member, model, version);
    }
    if model == AUTO_MODEL {
        let order = order_models(candidates(&catalogue, &member, &call.class), call.quality);
        let versions = order.iter().flat_map(|model| pick(&catalogue, &member, model, call));
        return Ok(versions.collect());
    }
    if model.contains('@') {
        let version: ModelVersion = parse(model)?;
        catalogue.authorize(&member, &Target::Model(version.clone()), Purpose::New)?;
        return Ok(vec![version]);
    }
    let model: ModelId = parse(model)?;
    let versions = pick(&catalogue, &member, &model, call);
    if versions.is_empty() {
        return Err(no_version(&catalogue, &member, &model));
    }
    Ok(versions)
}

fn plan_session(
    catalogue: &Catalogue,
    member: &ResolvedOrganisation,
    model: &str,
    version: &ModelVersion,
) -> Result<Vec<ModelVersion>, Fault> {
    let same =
        model == AUTO_MODEL || model == version.model.as_str() || model == version.to_string();
    if !same {
        let detail = format!("the session is on `{version}`, not on `{model}`");
        return Err(Fault::new(ErrorKind::BadRequest, detail));
    }
    catalogue.authorize(member, &Target::Model(version.clone()), Purpose::Session)?;
    Ok(vec![version.clone()])
}

/// The version that the request falls to, then the others that take new work.
fn pick(
    catalogue: &Catalogue,
    member: &ResolvedOrganisation,
    model: &ModelId,
    call: &Call,
) -> Vec<ModelVersion> {
    let versions = catalogue.versions(member, model);
    let Some(first) = pick_version(&versions, call.spread()).cloned() else { return Vec::new() };
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

/// Why a model has no version for new work.
fn no_version(catalogue: &Catalogue, member: &ResolvedOrganisation, model: &ModelId) -> Fault {
    let versions = catalogue.root().and_then(|root| root.models.get(model));
    let Some(settings) = versions else {
        return Fault::new(ErrorKind::UnknownModel, format!("`{model}`"));
    };
    let mut fault = Fault::new(ErrorKind::NotAllowed, format!("`{model}`"));
    for version in settings.versions.keys() {
        let version = ModelVersion { model: model.clone(), version: version.clone() };
        if let Err(found) = catalogue.authorize(member, &Target::Model(version), Purpose::New)
            && found.kind == ErrorKind::VersionWithdrawn
        {
            fault = found;
        }
    }
    fault
}

/// One chat completion in progress.
#[derive(Debug)]
struct Chat {
    shared: Arc<Shared>,
    call: Call,
    job: Job,
    model: String,
    pinned: Option<ModelVersion>,
}

impl Chat {
    fn targets(&self) -> Result<Vec<Target>, Fault> {
        let versions = plan(&self.shared, &self.call, &self.model, self.pinned.as_ref())?;
        Ok(versions.into_iter().map(Target::Model).collect())
    }

    async fn whole(&self) -> Result<Response, Fault> {
        let plan = || self.targets();
        let answered = Attempts::new(&self.shared, &self.call, &self.job, plan).whole().await?;
        let Answered { mut relay, target, whole, bytes } = answered;
        self.bill(&relay, &target, &whole).await;
        relay.finish().await;
        Ok(self.respond(&target, &whole, bytes))
    }

    fn respond(&self, target: &Target, whole: &Whole, bytes: Vec<u8>) -> Response {
        let elapsed = self.call.started.elapsed();
        self.shared.node.metrics.whole(&self.call.labels, elapsed);
        let mut res = Response::new(whole.status);
        res.set_body(bytes);
        res.insert_header("content-type", whole.content_type.as_str());
        res.insert_header(VERSION_HEADER, target.to_string());
        res
    }

    /// Holds the record in two places before the caller gets the last byte.
    async fn bill(&self, relay: &Relay, target: &Target, whole: &Whole) {
        if whole.status != STATUS_OK {
            return;
        }
        let record = UsageRecord {
            request: self.call.id,
            organisation: self.call.member.id.clone(),
            target: target.clone(),
            input: whole.tokens.input,
            output: whole.tokens.output,
        };
        let address = relay.place.address;
        billing::confirm(&self.shared, &self.call, address, &relay.key, record).await;
    }

    /// A stream, whose head is sent once the first bytes have arrived.
    async fn stream(self, permit: Permit) -> Result<Response, Fault> {
        let plan = || self.targets();
        let mut attempts = Attempts::new(&self.shared, &self.call, &self.job, plan);
        let gone = async {
            self.call.caller.disconnected().await;
            Err(Fault::new(ErrorKind::Incomplete, "the caller has gone"))
        };
        let begun = or(attempts.begin(), gone).await?;
        if let Item::End(whole) = &begun.first {
            return Ok(self.respond(&begun.target, whole, Vec::new()));
        }
        let target = begun.target.to_string();
        let (sender, body) = body_channel();
        task::spawn(async move {
            let gone = async {
                self.call.caller.disconnected().await;
                debug!(self.call.log, "chat: the caller has gone");
            };
            or(self.pump(begun, &sender), gone).await;
            drop(permit);
        });
        let mut res = Response::new(STATUS_OK);
        res.insert_header("content-type", "text/event-stream");
        res.insert_header("cache-control", "no-cache");
        res.insert_header(VERSION_HEADER, target);
        res.set_body(body);
        Ok(res)
    }

    /// Passes pieces on; an error that comes after the first bytes becomes an event.
    async fn pump(&self, begun: Begun, sender: &BodySender) {
        let Begun { mut relay, target, first } = begun;
        let mut item = first;
        let mut last = Instant::now();
        loop {
            match item {
                Item::Piece(mut piece) => {
                    if piece.ends_with(DONE_EVENT) {
                        piece.truncate(piece.len() - DONE_EVENT.len());
                    }
                    if !sender.send(piece).await {
                        return;
                    }
                }
                Item::End(whole) => {
                    self.bill(&relay, &target, &whole).await;
                    let _sent = sender.send(DONE_EVENT.to_vec()).await;
                    let elapsed = self.call.started.elapsed();
                    self.shared.node.metrics.whole(&self.call.labels, elapsed);
                    relay.finish().await;
                    return;
                }
            }
            item = match relay.next(&self.call).await {
                Ok(item) => item,
                Err(fault) => return self.break_off(sender, &fault).await,
            };
            self.shared.node.metrics.between_tokens(&self.call.labels, last.elapsed());
            last = Instant::now();
        }
    }

    async fn break_off(&self, sender: &BodySender, fault: &Fault) {
        info!(self.call.log, "chat: a stream broke"; "error" => %fault);
        self.shared.node.metrics.refusal(fault.kind);
        let fault = Fault { ran: Ran::Yes, ..fault.clone() };
        let event = format!("data: {}\n\n", answer::fault_body(&fault));
        let _gone = sender.send(event.into_bytes()).await;
    }
}
