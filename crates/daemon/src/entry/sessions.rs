//! Endpoints for sessions and for the list of models.

use crate::{
    clock::unix_seconds,
    entry::{Shared, chat, context::RequestContext},
    response::json_response,
};
use http_types::{Request, Response};
use ibissail_core::{ErrorKind, Fault, ModelVersion};
use ibissail_session::Session;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeSet;

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct SessionRequest {
    model: Option<String>,
}

/// Lists the models and versions that the organisation may use for new requests.
pub(crate) fn list_models(shared: &Shared, ctx: &RequestContext) -> Response {
    let available = shared.node.catalogue().available_versions(&ctx.organisation);
    let mut names: BTreeSet<String> = BTreeSet::new();
    for (version, _weight) in &available {
        names.insert(version.model.to_string());
        names.insert(version.to_string());
    }
    let model_entry =
        |name: &String| json!({"id": name, "object": "model", "owned_by": "ibissail"});
    let data: Vec<Value> = names.iter().map(model_entry).collect();
    json_response(200, &json!({"object": "list", "data": data}))
}

/// Creates a session, which pins its requests to one model version.
pub(crate) async fn create(
    shared: &Shared,
    ctx: &RequestContext,
    req: &mut Request,
) -> Result<Response, Fault> {
    let body = ctx.body(req).await?;
    let session_request: SessionRequest = if body.is_empty() {
        SessionRequest::default()
    } else {
        serde_json::from_slice(&body)
            .map_err(|error| Fault::new(ErrorKind::BadRequest, error.to_string()))?
    };
    let model = session_request.model.as_deref().unwrap_or(chat::AUTO_MODEL);
    let versions = chat::candidate_versions(shared, ctx, model, None)?;
    let version = versions.into_iter().next().ok_or(ErrorKind::NoReplica)?;
    let (token, expires_at) = sign_token(shared, ctx, &version)?;
    let body_json = json!({
        "object": "session",
        "session": token,
        "model": version.to_string(),
        "expires_at": expires_at,
    });
    Ok(json_response(200, &body_json))
}

fn sign_token(
    shared: &Shared,
    ctx: &RequestContext,
    version: &ModelVersion,
) -> Result<(String, u64), Fault> {
    let catalogue = shared.node.catalogue();
    let root = catalogue.root().ok_or(ErrorKind::SettingsMissing)?;
    let key = root.session_keys.first().ok_or_else(|| {
        Fault::new(ErrorKind::SettingsMissing, "the root settings have no `session_keys`")
    })?;
    let expires_at = unix_seconds() + root.session_ttl.0 / 1_000;
    let session =
        Session { organisation: ctx.organisation.id.clone(), version: version.clone(), expires_at };
    Ok((session.sign(key), expires_at))
}

/// The version that a session token pins; fails if the token is invalid or has expired.
pub(crate) fn pinned_version(
    shared: &Shared,
    ctx: &RequestContext,
    token: &str,
) -> Result<ModelVersion, Fault> {
    let catalogue = shared.node.catalogue();
    let keys = catalogue.root().map(|root| root.session_keys.as_slice()).unwrap_or_default();
    let session = Session::verify_for(&ctx.organisation.id, token, keys, unix_seconds())
        .map_err(|error| Fault::new(ErrorKind::SessionInvalid, error.to_string()))?;
    Ok(session.version)
}
