//! Finds a replica for a request and opens the run there.

use crate::entry::{
    Shared,
    call::Call,
    relay::{Place, Relay},
};
use ibissail_catalogue::Document;
use ibissail_core::{ErrorKind, Fault, Millis, Target, VmId};
use ibissail_execution::{Refusal, RunKey, RunRequest, VersionedClaim, paths};
use ibissail_routing::choose_replica;
use ibissail_transport::{CallError, SendError, StreamResponse, open_stream};
use slog::info;
use std::{collections::BTreeSet, sync::Arc, time::Duration};

/// A sidecar answers at once whether it takes a run.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// What to run, whatever the replica.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) session: bool,
    pub(crate) fingerprint: u64,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) content_type: String,
    pub(crate) body: Vec<u8>,
}

/// Why a run was not opened.
#[derive(Debug)]
pub(crate) enum NotOpened {
    /// The run has not taken place there, and another replica may be tried.
    NotRun(Fault),
    /// The request was sent, and it is not known what became of it.
    Unknown(Fault),
    /// No replica may run it.
    Refused(Fault),
}

/// A replica for a target, by expected wait.
pub(crate) fn pick(
    shared: &Shared,
    target: &Target,
    tried: &BTreeSet<VmId>,
) -> Option<PickedPlace> {
    let zone = &shared.node.local.identity.zone;
    let now = shared.node.now();
    let mut membership = shared.membership();
    let replica = choose_replica(&membership, target, zone, tried, now, &mut rand::rng())?;
    let place = Place {
        vm: replica.vm.clone(),
        address: replica.address,
        incarnation: replica.incarnation?,
    };
    let picked = PickedPlace { place, ticket: replica.ticket };
    membership.on_choice(&picked.place.vm);
    Some(picked)
}

/// A replica with the ticket that its sidecar wants back.
#[derive(Debug, Clone)]
pub(crate) struct PickedPlace {
    pub(crate) place: Place,
    pub(crate) ticket: Millis,
}

/// A run to be opened at one replica.
#[derive(Debug)]
pub(crate) struct Opening<'a> {
    pub(crate) job: &'a Job,
    pub(crate) key: RunKey,
    pub(crate) target: &'a Target,
    pub(crate) picked: &'a PickedPlace,
    pub(crate) claim: Option<VersionedClaim>,
}

impl Opening<'_> {
    /// The message for the sidecar, by the newest settings and the time that is left.
    fn request(
        &self,
        shared: &Shared,
        call: &Call,
        documents: Vec<Document>,
    ) -> Result<RunRequest, NotOpened> {
        let member = call.member_now(&shared.node.catalogue()).map_err(NotOpened::Refused)?;
        let time_left = call.time_left(shared);
        if time_left.0 == 0 {
            return Err(NotOpened::Refused(ErrorKind::DeadlineUnmet.into()));
        }
        let job = self.job;
        Ok(RunRequest {
            key: self.key.clone(),
            incarnation: self.picked.place.incarnation,
            ticket: self.picked.ticket,
            organisation: member.id.clone(),
            target: self.target.clone(),
            session: job.session,
            time_left,
            fingerprint: job.fingerprint,
            method: job.method.clone(),
            path: job.path.clone(),
            content_type: job.content_type.clone(),
            body: job.body.clone(),
            revisions: member.revisions.clone(),
            documents,
            claim: self.claim.clone(),
        })
    }
}

/// Opens a run, and gives the sidecar the settings that it lacks.
pub(crate) async fn open(
    shared: &Arc<Shared>,
    call: &Call,
    opening: Opening<'_>,
) -> Result<Relay, NotOpened> {
    let picked = opening.picked;
    let mut documents = Vec::new();
    loop {
        let req = opening.request(shared, call, documents)?;
        let may_send_settings = req.documents.is_empty();
        match send(shared, picked, &req).await? {
            Ok(stream) => {
                return Ok(Relay::new(shared, opening.key, picked.place.clone(), Some(stream)));
            }
            Err(refusal)
                if refusal.fault.kind == ErrorKind::SettingsBehind && may_send_settings =>
            {
                documents = shared.node.settings.documents(&refusal.wanted);
            }
            Err(refusal) => return Err(refused(shared, call, picked, refusal)),
        }
    }
}

type Sent = Result<StreamResponse, Refusal>;

async fn send(shared: &Shared, picked: &PickedPlace, req: &RunRequest) -> Result<Sent, NotOpened> {
    let node = &shared.node;
    let address = picked.place.address;
    let sent: Result<Sent, CallError> =
        open_stream(&node.pool, &node.keyring, address, paths::RUN, req, OPEN_TIMEOUT).await;
    sent.map_err(|error| {
        info!(node.log, "dispatch: not opened"; "run" => %req.key, "error" => %error);
        let now = node.now();
        shared.membership().on_unreachable(&picked.place.vm, now);
        match error {
            CallError::Send(SendError::NotSent(..)) => {
                NotOpened::NotRun(Fault::new(ErrorKind::NoReplica, error.to_string()))
            }
            _ => NotOpened::Unknown(Fault::new(ErrorKind::OutcomeUnknown, error.to_string())),
        }
    })
}

fn refused(shared: &Arc<Shared>, call: &Call, picked: &PickedPlace, refusal: Refusal) -> NotOpened {
    let Place { vm, incarnation, .. } = &picked.place;
    let Refusal { fault, newer, .. } = refusal;
    info!(call.log, "dispatch: refused"; "vm" => %vm, "error" => %fault);
    let had_news = !newer.is_empty();
    shared.node.learn(newer);
    match fault.kind {
        ErrorKind::Draining => shared.membership().on_draining(vm, *incarnation),
        ErrorKind::NoReplica => shared.membership().on_full(vm),
        ErrorKind::StaleTicket => {
            let now = shared.node.now();
            shared.membership().on_unreachable(vm, now);
        }
        _ => {}
    }
    // With newer settings the request may still have an allowed version.
    let again = fault.kind.is_reroutable()
        || fault.kind == ErrorKind::SettingsBehind
        || fault.kind == ErrorKind::UnknownRun
        || had_news;
    if again { NotOpened::NotRun(fault) } else { NotOpened::Refused(fault) }
}
