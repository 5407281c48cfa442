//! Requests to plain HTTP services.

use crate::entry::{
    Shared,
    attempts::{Attempts, CompleteResponse},
    billing,
    context::{RequestContext, VERSION_HEADER, header},
    dispatch::RunSpec,
    keyed,
    relay::{Relay, ResponseSummary},
};
use http_types::{Request, Response};
use ibissail_billing::UsageRecord;
use ibissail_catalogue::Purpose;
use ibissail_core::{ErrorKind, Fault, RequestId, ServiceId, Target, Tokens};
use ibissail_direct::ContentHash;
use ibissail_execution::fingerprint;
use std::sync::Arc;

const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;

/// Forwards a request to a service; `service_path` is the service's name followed by the path.
///
/// A request without an idempotency key is forwarded only to services declared idempotent.
pub(crate) async fn forward(
    shared: &Arc<Shared>,
    ctx: &RequestContext,
    service_path: &str,
    req: &mut Request,
) -> Result<Response, Fault> {
    let Some(key) = idempotency_key(req)? else {
        let (target, spec) = prepare(shared, ctx, service_path, req).await?;
        check_idempotent(shared, &target)?;
        return forward_idempotent(shared, ctx, target, &spec).await;
    };
    // Until the claim has been read, an earlier request with the same key may have run.
    let _permit = admit(shared, ctx).map_err(Fault::with_ran_unknown)?;
    let prepared = prepare(shared, ctx, service_path, req).await;
    let (target, spec) = prepared.map_err(Fault::with_ran_unknown)?;
    Box::pin(keyed::run(shared, ctx, &key, &target, &spec)).await
}

fn admit(shared: &Shared, ctx: &RequestContext) -> Result<ibissail_routing::Permit, Fault> {
    shared.concurrency_limiter.acquire(&ctx.organisation.id, ctx.organisation.settings.concurrency)
}

fn idempotency_key(req: &Request) -> Result<Option<String>, Fault> {
    let Some(key) = header(req, IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let detail = format!(
            "{IDEMPOTENCY_KEY_HEADER} has {} bytes; expected 1 to {MAX_KEY_BYTES}",
            key.len()
        );
        return Err(Fault::new(ErrorKind::BadRequest, detail));
    }
    Ok(Some(key.to_owned()))
}

/// Checks that the organisation may use the service, then reads the request that it is sent.
async fn prepare(
    shared: &Shared,
    ctx: &RequestContext,
    service_path: &str,
    req: &mut Request,
) -> Result<(Target, RunSpec), Fault> {
    let (name, path) = service_path.split_once('/').unwrap_or((service_path, ""));
    let service: ServiceId =
        name.parse().map_err(|error| Fault::new(ErrorKind::UnknownModel, format!("{error}")))?;
    let target = Target::Service(service);
    let catalogue = shared.node.catalogue();
    catalogue.authorize(&ctx.organisation, &target, Purpose::New)?;
    let content_type = header(req, "content-type").unwrap_or("application/octet-stream").to_owned();
    let method = req.method().to_string();
    let path = match req.url().query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    let body = ctx.body(req).await?;
    let fingerprint = fingerprint(&[method.as_bytes(), path.as_bytes(), &body]);
    let host = target.to_string();
    let content = ContentHash::new(ctx.organisation.id.as_str(), &method, &host, &path, &body);
    let spec = RunSpec { session: false, fingerprint, content, method, path, content_type, body };
    Ok((target, spec))
}

/// Fails with `KeyRequired` unless the service is declared idempotent.
fn check_idempotent(shared: &Shared, target: &Target) -> Result<(), Fault> {
    let catalogue = shared.node.catalogue();
    let services = catalogue.root().map(|root| &root.services);
    let is_idempotent = match (services, target) {
        (Some(services), Target::Service(name)) => {
            services.get(name).is_some_and(|service| service.idempotent)
        }
        _ => false,
    };
    if is_idempotent { Ok(()) } else { Err(ErrorKind::KeyRequired.into()) }
}

async fn forward_idempotent(
    shared: &Arc<Shared>,
    ctx: &RequestContext,
    target: Target,
    spec: &RunSpec,
) -> Result<Response, Fault> {
    let _permit = admit(shared, ctx)?;
    let candidates = || Ok(vec![target.clone()]);
    let CompleteResponse { mut relay, summary, bytes, .. } =
        Attempts::new(shared, ctx, spec, candidates).complete().await?;
    bill(shared, ctx, ctx.id, &target, &relay).await;
    relay.finish().await;
    Ok(respond(shared, ctx, &target, &summary, bytes))
}

/// Bills one request to a service under the given request id.
pub(crate) async fn bill(
    shared: &Arc<Shared>,
    ctx: &RequestContext,
    request: RequestId,
    target: &Target,
    relay: &Relay,
) {
    let record = usage_record(ctx, request, target);
    billing::confirm(shared, ctx, relay.endpoint.address, &relay.key, record).await;
}

/// The usage record of one request to a service, which counts no tokens.
pub(crate) fn usage_record(
    ctx: &RequestContext,
    request: RequestId,
    target: &Target,
) -> UsageRecord {
    UsageRecord {
        request,
        organisation: ctx.organisation.id.clone(),
        target: target.clone(),
        input: Tokens(0),
        output: Tokens(0),
    }
}

/// Builds the caller's response from the service's.
pub(crate) fn respond(
    shared: &Shared,
    ctx: &RequestContext,
    target: &Target,
    summary: &ResponseSummary,
    bytes: Vec<u8>,
) -> Response {
    shared.node.metrics.observe_whole(&ctx.labels, ctx.started.elapsed());
    let mut res = Response::new(summary.status);
    res.set_body(bytes);
    res.insert_header("content-type", summary.content_type.as_str());
    res.insert_header(VERSION_HEADER, target.to_string());
    res
}
