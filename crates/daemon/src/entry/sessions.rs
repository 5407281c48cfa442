//! Sessions, and the models that an organisation may use.

use crate::{
    answer::json_answer,
    clock::unix_seconds,
    entry::{Shared, call::Call, chat},
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

/// Lists the models and versions that the organisation may use for new work.
pub(crate) fn models(shared: &Shared, call: &Call) -> Response {
    let visible = shared.node.catalogue().available_versions(&call.member);
    let mut names: BTreeSet<String> = BTreeSet::new();
    for (version, _weight) in &visible {
        names.insert(version.model.to_string());
        names.insert(version.to_string());
    }
    let entry = |name: &String| json!({"id": name, "object": "model", "owned_by": "ibissail"});
    let data: Vec<Value> = names.iter().map(entry).collect();
    json_answer(200, &json!({"object": "list", "data": data}))
}

/// Begins a session, which pins a version.
pub(crate) async fn begin(
    shared: &Shared,
    call: &Call,
    req: &mut Request,
) -> Result<Response, Fault> {
    let body = call.body(req).await?;
    let wanted: SessionRequest = if body.is_empty() {
        SessionRequest::default()
    } else {
        serde_json::from_slice(&body)
            .map_err(|error| Fault::new(ErrorKind::BadRequest, error.to_string()))?
    };
    let model = wanted.model.as_deref().unwrap_or(chat::AUTO_MODEL);
    let versions = chat::plan(shared, call, model, None)?;
    let version = versions.into_iter().next().ok_or(ErrorKind::NoReplica)?;
    let (token, expires_at) = sign(shared, call, &version)?;
    let answer = json!({
        "object": "session",
        "session": token,
        "model": version.to_string(),
        "expires_at": expires_at,
    });
    Ok(json_answer(200, &answer))
}

fn sign(shared: &Shared, call: &Call, version: &ModelVersion) -> Result<(String, u64), Fault> {
    let catalogue = shared.node.catalogue();
    let root = catalogue.root().ok_or(ErrorKind::SettingsMissing)?;
    let key = root
        .session_keys
        .first()
        .ok_or_else(|| Fault::new(ErrorKind::SettingsMissing, "no session keys are set"))?;
    let expires_at = unix_seconds() + root.session_ttl.0 / 1_000;
    let session =
        Session { organisation: call.member.id.clone(), version: version.clone(), expires_at };
    Ok((session.sign(key), expires_at))
}

/// The version that a session token pins.
pub(crate) fn pinned(shared: &Shared, call: &Call, token: &str) -> Result<ModelVersion, Fault> {
    let catalogue = shared.node.catalogue();
    let keys = catalogue.root().map(|root| root.session_keys.as_slice()).unwrap_or_default();
    let session = Session::verify_for(&call.member.id, token, keys, unix_seconds())
        .map_err(|error| Fault::new(ErrorKind::SessionInvalid, error.to_string()))?;
    Ok(session.version)
}
