//! The resolved settings: what an organisation may use at this moment.

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

/// What a request is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A request on its own, or the first of a session.
    New,
    /// A request of a session that has begun.
    Session,
}

/// An organisation with the branches that bound it, nearest first.
#[derive(Debug, Clone)]
pub struct ResolvedOrganisation {
    /// Its name.
    pub id: OrganisationId,
    /// Its settings.
    pub settings: Organisation,
    /// Its branch and those above.
    pub branches: Vec<Arc<Branch>>,
    /// Versions of all documents that decide for it.
    pub revisions: Vec<DocumentRevision>,
}

impl ResolvedOrganisation {
    /// A class as the nearest branch defines it.
    #[must_use]
    pub fn class(&self, id: &ClassId) -> Option<Class> {
        self.branches.iter().find_map(|branch| branch.classes.get(id)).copied()
    }

    fn allows(&self, target: &Target) -> bool {
        let covers = |entry: &TargetSelector| entry.covers_target(target);
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
    /// What the platform has accepted.
    accepted: Withdrawals,
    /// What operators have given to processes while the platform was down.
    pending: Withdrawals,
    /// Both together, which is in force.
    withdrawals: Withdrawals,
}

impl Catalogue {
    /// Resolves documents.
    ///
    /// Withdrawals of the previous catalogue are kept. A document that cannot be read leaves its
    /// branch as it was; the texts say which.
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
            let news: Withdrawals =
                serde_json::from_str(text).map_err(|error| format!("{}: {error}", document.key))?;
            self.accepted.merge(&news);
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
            (Err(mistakes), Some(known)) => (Arc::clone(&known.branch), Err(mistakes.to_string())),
            (Err(mistakes), None) => return Err(mistakes.to_string()),
        };
        self.sources.insert(path, BranchSource { revision: document.revision, branch });
        result
    }

    /// Takes withdrawals that the platform's own document does not have yet.
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
            let chain = path.chain();
            let found: Option<Vec<Arc<Branch>>> = chain
                .iter()
                .map(|path| self.sources.get(path).map(|source| Arc::clone(&source.branch)))
                .collect();
            // A branch whose parents have not arrived allows nothing yet.
            let Some(branches) = found else { continue };
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

    /// The organisation of a bearer key.
    ///
    /// # Errors
    ///
    /// `Unauthorized` when the key belongs to none.
    pub fn authenticate(&self, key: &str) -> Result<Arc<ResolvedOrganisation>, Fault> {
        let id = self.by_api_key.get(&KeyHash::of(key));
        let organisation = id.and_then(|id| self.organisations.get(id));
        organisation.cloned().ok_or_else(|| ErrorKind::Unauthorized.into())
    }

    /// An organisation by its name.
    ///
    /// # Errors
    ///
    /// `NotAllowed` when no branch has it.
    pub fn organisation(&self, id: &OrganisationId) -> Result<Arc<ResolvedOrganisation>, Fault> {
        let organisation = self.organisations.get(id).cloned();
        organisation.ok_or_else(|| Fault::new(ErrorKind::NotAllowed, format!("`{id}` is unknown")))
    }

    /// Whether an organisation may run a target now.
    ///
    /// # Errors
    ///
    /// `UnknownModel`, `NotAllowed` or `VersionWithdrawn`.
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
        let declared = match target {
            Target::Model(version) => self
                .root()
                .and_then(|root| root.models.get(&version.model))
                .is_some_and(|model| model.versions.contains_key(&version.version)),
            Target::Service(service) => {
                self.root().is_some_and(|root| root.services.contains_key(service))
            }
        };
        if declared {
            return Ok(());
        }
        Err(Fault::new(ErrorKind::UnknownModel, format!("`{target}`")))
    }

    fn check_standing(&self, version: &ModelVersion, purpose: Purpose) -> Result<(), Fault> {
        let standing = self.withdrawals.standing(version);
        let refused = match purpose {
            Purpose::New => standing.state > LifecycleState::Active,
            Purpose::Session => standing.state > LifecycleState::Retiring,
        };
        if refused {
            return Err(Fault::new(
                ErrorKind::VersionWithdrawn,
                format!("`{version}` is {standing}"),
            ));
        }
        Ok(())
    }

    /// Versions of a model that an organisation may use for new work, with their weights.
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
            let named = ModelVersion { model: model.clone(), version: name.clone() };
            let target = Target::Model(named.clone());
            if self.authorize(organisation, &target, Purpose::New).is_ok() {
                versions.push((named, version.weight));
            }
        }
        versions
    }

    /// All model versions that an organisation may use for new work.
    #[must_use]
    pub fn available_versions(
        &self,
        organisation: &ResolvedOrganisation,
    ) -> Vec<(ModelVersion, u32)> {
        let models = self.root().map(|root| root.models.keys()).into_iter().flatten();
        models.flat_map(|model| self.versions(organisation, model)).collect()
    }

    /// The root branch, once it has arrived.
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

    /// All withdrawals.
    #[must_use]
    pub fn withdrawals(&self) -> &Withdrawals {
        &self.withdrawals
    }
}
