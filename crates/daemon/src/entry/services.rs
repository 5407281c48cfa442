//! Plain services beside the models.

use crate::entry::{
    Shared,
    attempts::{Answered, Attempts},
    billing,
    call::{Call, VERSION_HEADER, header},
    dispatch::Job,
    keyed,
    relay::{Relay, Whole},
};
use http_types::{Request, Response};
use ibissail_billing::UsageRecord;
use ibissail_catalogue::Purpose;
use ibissail_core::{ErrorKind, Fault, RequestId, ServiceId, Target, Tokens};
use ibissail_execution::fingerprint;
use std::sync::Arc;

const KEY_HEADER: &str = "idempotency-key";
const MAX_KEY_BYTES: usize = 256;

/// Forwards a call to a service; `rest` is the service's name and the path there.
pub(crate) async fn forward(
    shared: &Arc<Shared>,
    call: &Call,
    rest: &str,
    req: &mut Request,
) -> Result<Response, Fault> {
    let Some(key) = idempotency_key(req)? else {
        let (target, job) = prepare(shared, call, rest, req).await?;
        check_repeatable(shared, &target)?;
        return repeatable(shared, call, target, &job).await;
    };
    // Until the claim has been read, an earlier request with the key may have run.
    let _permit = admit(shared, call).map_err(Fault::with_ran_unknown)?;
    let prepared = prepare(shared, call, rest, req).await;
    let (target, job) = prepared.map_err(Fault::with_ran_unknown)?;
    Box::pin(keyed::run(shared, call, &key, &target, &job)).await
}

fn admit(shared: &Shared, call: &Call) -> Result<ibissail_routing::Permit, Fault> {
    shared.admissions.acquire(&call.member.id, call.member.settings.concurrency)
}

fn idempotency_key(req: &Request) -> Result<Option<String>, Fault> {
    let Some(key) = header(req, KEY_HEADER) else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let detail = format!("{KEY_HEADER} has {} bytes; valid: 1 to {MAX_KEY_BYTES}", key.len());
        return Err(Fault::new(ErrorKind::BadRequest, detail));
    }
    Ok(Some(key.to_owned()))
}

async fn prepare(
    shared: &Shared,
    call: &Call,
    rest: &str,
    req: &mut Request,
) -> Result<(Target, Job), Fault> {
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service: ServiceId =
        name.parse().map_err(|error| Fault::new(ErrorKind::UnknownModel, format!("{error}")))?;
    let target = Target::Service(service);
    let catalogue = shared.node.catalogue();
    catalogue.authorize(&call.member, &target, Purpose::New)?;
    let content_type = header(req, "content-type").unwrap_or("application/octet-stream").to_owned();
    let method = req.method().to_string();
    let path = match req.url().query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    let body = call.body(req).await?;
    let fingerprint = fingerprint(&[method.as_bytes(), path.as_bytes(), &body]);
    let job = Job { session: false, fingerprint, method, path, content_type, body };
    Ok((target, job))
}

fn check_repeatable(shared: &Shared, target: &Target) -> Result<(), Fault> {
    let catalogue = shared.node.catalogue();
    let services = catalogue.root().map(|root| &root.services);
    let repeatable = match (services, target) {
        (Some(services), Target::Service(name)) => {
            services.get(name).is_some_and(|service| service.idempotent)
        }
        _ => false,
    };
    if repeatable { Ok(()) } else { Err(ErrorKind::KeyRequired.into()) }
}

async fn repeatable(
    shared: &Arc<Shared>,
    call: &Call,
    target: Target,
    job: &Job,
) -> Result<Response, Fault> {
    let _permit = admit(shared, call)?;
    let plan = || Ok(vec![target.clone()]);
    let Answered { mut relay, whole, bytes, .. } =
        Attempts::new(shared, call, job, plan).whole().await?;
    bill(shared, call, call.id, &target, &relay).await;
    relay.finish().await;
    Ok(respond(shared, call, &target, &whole, bytes))
}

/// Bills one call under the request that it counts as.
pub(crate) async fn bill(
    shared: &Arc<Shared>,
    call: &Call,
    request: RequestId,
    target: &Target,
    relay: &Relay,
) {
    let record = record(call, request, target);
    billing::confirm(shared, call, relay.place.address, &relay.key, record).await;
}

/// The usage record of one call of a service.
pub(crate) fn record(call: &Call, request: RequestId, target: &Target) -> UsageRecord {
    UsageRecord {
        request,
        organisation: call.member.id.clone(),
        target: target.clone(),
        input: Tokens(0),
        output: Tokens(0),
    }
}

/// The answer of a service.
pub(crate) fn respond(
    shared: &Shared,
    call: &Call,
    target: &Target,
    whole: &Whole,
    bytes: Vec<u8>,
) -> Response {
    shared.node.metrics.whole(&call.labels, call.started.elapsed());
    let mut res = Response::new(whole.status);
    res.set_body(bytes);
    res.insert_header("content-type", whole.content_type.as_str());
    res.insert_header(VERSION_HEADER, target.to_string());
    res
}
