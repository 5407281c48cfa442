//! The resolved settings, which determine what each organisation may use now.

use crate::{
    BRANCH_PREFIX, Document, DocumentRevision, Documents, LifecycleState, WITHDRAWALS_KEY,
    Withdrawals, branch_key,
    pending::{parse_pending, pending_document},
};
use ibissail_core::{
    BranchPath, ClassId, ErrorKind, Fault, ModelId, ModelVersion, OrganisationId, Revision, Target,
};
use ibissail_settings::{Branch, Class, KeyHash, Organisation, TargetSelector, parse_branch};
use std::{collections::BTreeMap, sync::Arc};

/// Whether a request belongs to an existing session. Such a request may still use a version that is
/// [`LifecycleState::Retiring`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A request without a session, or the first of a session.
    New,
    /// A request of an existing session.
    Session,
}

/// An organisation with its branch and the parent branches that restrict it.
#[derive(Debug, Clone)]
pub struct ResolvedOrganisation {
    /// Name.
    pub id: OrganisationId,
    /// Settings of the organisation itself.
    pub settings: Organisation,
    /// Its branch and all parent branches, nearest first.
    pub branches: Vec<Arc<Branch>>,
    /// Revisions of all documents that these settings were resolved from.
    pub revisions: Vec<DocumentRevision>,
}

impl ResolvedOrganisation {
    /// A request class, as defined by the nearest branch that has it; `None` when no branch has it.
    #[must_use]
    pub fn class(&self, id: &ClassId) -> Option<Class> {
        self.branches.iter().find_map(|branch| branch.classes.get(id)).copied()
    }

    fn allows(&self, target: &Target) -> bool {
        let covers = |selector: &TargetSelector| selector.covers_target(target);
        self.settings.allow.iter().any(covers)
            && self.branches.iter().all(|branch| branch.allow.iter().any(covers))
    }
}

#[derive(Debug, Clone)]
struct BranchSource {
    revision: Revision,
    branch: Arc<Branch>,
}

/// The resolved settings of all branches, and the withdrawals.
#[derive(Debug, Clone, Default)]
pub struct Catalogue {
    sources: BTreeMap<BranchPath, BranchSource>,
    organisations: BTreeMap<OrganisationId, Arc<ResolvedOrganisation>>,
    by_api_key: BTreeMap<KeyHash, OrganisationId>,
    /// Withdrawals stored in the platform.
    accepted: Withdrawals,
    /// Withdrawals that operators have sent to processes directly, and that are not in the platform
    /// yet.
    pending: Withdrawals,
    /// Merge of both, which is in force.
    withdrawals: Withdrawals,
}

impl Catalogue {
    /// Resolves the settings from the documents; also returns an error text for each document that
    /// cannot be parsed.
    ///
    /// Withdrawals of the previous catalogue are kept. A branch whose document cannot be parsed
    /// keeps the settings it had in the previous catalogue; the error is then returned only once
    /// for each revision.
    #[must_use]
    pub fn build(documents: &Documents, previous: &Self) -> (Self, Vec<String>) {
        let mut next = Self {
            accepted: previous.accepted.clone(),
            withdrawals: previous.withdrawals.clone(),
            ..Self::default()
        };
        let mut unreadable = Vec::new();
        for document in documents.iter() {
            if let Err(reason) = next.apply_document(document, previous) {
                unreadable.push(reason);
            }
        }
        next.apply_pending(documents);
        next.rebuild_index(documents);
        (next, unreadable)
    }

    fn apply_document(&mut self, document: &Document, previous: &Self) -> Result<(), String> {
        let Some(text) = &document.value else {
            return Ok(());
        };
        if document.key == WITHDRAWALS_KEY {
            let received: Withdrawals =
                serde_json::from_str(text).map_err(|error| format!("{}: {error}", document.key))?;
            self.accepted.merge(&received);
            return Ok(());
        }
        let Some(path) = document.key.strip_prefix(BRANCH_PREFIX) else {
            return Ok(());
        };
        let path: BranchPath =
            path.parse().map_err(|error| format!("{}: {error}", document.key))?;
        let known = previous.sources.get(&path);
        if let Some(known) = known.filter(|known| known.revision == document.revision) {
            self.sources.insert(path, known.clone());
            return Ok(());
        }
        let parsed = parse_branch(&document.key, text);
        let (branch, result) = match (parsed, known) {
            (Ok(branch), _) => (Arc::new(branch), Ok(())),
            (Err(errors), Some(known)) => (Arc::clone(&known.branch), Err(errors.to_string())),
            (Err(errors), None) => return Err(errors.to_string()),
        };
        self.sources.insert(path, BranchSource { revision: document.revision, branch });
        result
    }

    /// Adds pending withdrawals that are later than those stored in the platform.
    fn apply_pending(&mut self, documents: &Documents) {
        for (version, standing) in documents.iter().filter_map(parse_pending) {
            if standing > self.accepted.standing(&version) {
                self.pending.merge_standing(&version, standing);
            }
        }
        self.withdrawals.merge(&self.accepted);
        self.withdrawals.merge(&self.pending);
    }

    fn rebuild_index(&mut self, documents: &Documents) {
        let mut organisations = BTreeMap::new();
        for (path, source) in &self.sources {
            let chain = path.ancestors();
            let branches: Option<Vec<Arc<Branch>>> = chain
                .iter()
                .map(|path| self.sources.get(path).map(|source| Arc::clone(&source.branch)))
                .collect();
            // A branch is not usable until the documents of all its parents have been received.
            let Some(branches) = branches else { continue };
            let revisions = self.revisions(&chain, documents);
            for (id, organisation) in &source.branch.organisations {
                let resolved = ResolvedOrganisation {
                    id: id.clone(),
                    settings: organisation.clone(),
                    branches: branches.clone(),
                    revisions: revisions.clone(),
                };
                organisations.insert(id.clone(), Arc::new(resolved));
            }
        }
        for (id, organisation) in &organisations {
            let keys = organisation.settings.keys.iter().cloned();
            self.by_api_key.extend(keys.map(|key| (key, id.clone())));
        }
        self.organisations = organisations;
    }

    /// The organisation of an API key (bearer token).
    ///
    /// # Errors
    ///
    /// `Unauthorized` when the key belongs to no organisation.
    pub fn authenticate(&self, key: &str) -> Result<Arc<ResolvedOrganisation>, Fault> {
        let id = self.by_api_key.get(&KeyHash::of(key));
        let organisation = id.and_then(|id| self.organisations.get(id));
        organisation.cloned().ok_or_else(|| ErrorKind::Unauthorized.into())
    }

    /// An organisation by its name.
    ///
    /// # Errors
    ///
    /// `NotAllowed` when no branch declares it.
    pub fn organisation(&self, id: &OrganisationId) -> Result<Arc<ResolvedOrganisation>, Fault> {
        let organisation = self.organisations.get(id).cloned();
        organisation.ok_or_else(|| {
            Fault::new(ErrorKind::NotAllowed, format!("no branch declares organisation `{id}`"))
        })
    }

    /// Checks that an organisation may run a target now.
    ///
    /// # Errors
    ///
    /// `UnknownModel` when the target is not declared, `NotAllowed` when the organisation or one of
    /// its branches does not allow it, `VersionWithdrawn` when the version is not usable for this
    /// purpose.
    pub fn authorize(
        &self,
        organisation: &ResolvedOrganisation,
        target: &Target,
        purpose: Purpose,
    ) -> Result<(), Fault> {
        self.check_declared(target)?;
        if !organisation.allows(target) {
            return Err(Fault::new(ErrorKind::NotAllowed, format!("`{target}`")));
        }
        match target {
            Target::Model(version) => self.check_standing(version, purpose),
            Target::Service(_) => Ok(()),
        }
    }

    fn check_declared(&self, target: &Target) -> Result<(), Fault> {
        let is_declared = match target {
            Target::Model(version) => self
                .root()
                .and_then(|root| root.models.get(&version.model))
                .is_some_and(|model| model.versions.contains_key(&version.version)),
            Target::Service(service) => {
                self.root().is_some_and(|root| root.services.contains_key(service))
            }
        };
        if is_declared {
            return Ok(());
        }
        Err(Fault::new(ErrorKind::UnknownModel, format!("`{target}`")))
    }

    fn check_standing(&self, version: &ModelVersion, purpose: Purpose) -> Result<(), Fault> {
        let standing = self.withdrawals.standing(version);
        let is_refused = match purpose {
            Purpose::New => standing.state > LifecycleState::Active,
            Purpose::Session => standing.state > LifecycleState::Retiring,
        };
        if is_refused {
            return Err(Fault::new(
                ErrorKind::VersionWithdrawn,
                format!("`{version}` is {standing}"),
            ));
        }
        Ok(())
    }

    /// Versions of a model that an organisation may use for new requests, with their weights.
    #[must_use]
    pub fn versions(
        &self,
        organisation: &ResolvedOrganisation,
        model: &ModelId,
    ) -> Vec<(ModelVersion, u32)> {
        let Some(model_settings) = self.root().and_then(|root| root.models.get(model)) else {
            return Vec::new();
        };
        let mut versions = Vec::new();
        for (name, version) in &model_settings.versions {
            let model_version = ModelVersion { model: model.clone(), version: name.clone() };
            let target = Target::Model(model_version.clone());
            if self.authorize(organisation, &target, Purpose::New).is_ok() {
                versions.push((model_version, version.weight));
            }
        }
        versions
    }

    /// All model versions that an organisation may use for new requests, with their weights.
    #[must_use]
    pub fn available_versions(
        &self,
        organisation: &ResolvedOrganisation,
    ) -> Vec<(ModelVersion, u32)> {
        let models = self.root().map(|root| root.models.keys()).into_iter().flatten();
        models.flat_map(|model| self.versions(organisation, model)).collect()
    }

    /// The root branch; `None` until its document has been received.
    #[must_use]
    pub fn root(&self) -> Option<&Branch> {
        self.sources.get(&BranchPath::root()).map(|source| &*source.branch)
    }

    /// Withdrawals that are not in the platform yet.
    #[must_use]
    pub fn pending(&self) -> &Withdrawals {
        &self.pending
    }

    fn revisions(&self, chain: &[BranchPath], documents: &Documents) -> Vec<DocumentRevision> {
        let pending = self.pending.iter();
        let pending = pending.map(|(version, standing)| pending_document(version, *standing).key);
        let keys = chain.iter().map(branch_key).chain([WITHDRAWALS_KEY.to_owned()]);
        keys.chain(pending)
            .filter_map(|key| {
                let revision = documents.revision(&key)?;
                Some(DocumentRevision { key, revision })
            })
            .collect()
    }

    /// Withdrawals in force, including those that are not in the platform yet.
    #[must_use]
    pub fn withdrawals(&self) -> &Withdrawals {
        &self.withdrawals
    }
}
