//! This process's replica of the settings documents, and the catalogue built from them.

use ibissail_catalogue::{
    Catalogue, Document, DocumentRevision, Documents, Exchange, ExchangeReply, WITHDRAWALS_KEY,
    handle_exchange, initial_exchange, merge_documents,
};
use slog::{Logger, error};
use std::sync::{
    Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard,
    atomic::{AtomicBool, Ordering},
};

#[derive(Debug, Default)]
struct State {
    documents: Documents,
    catalogue: Arc<Catalogue>,
}

impl State {
    fn rebuild(&mut self, log: &Logger) {
        let (catalogue, errors) = Catalogue::build(&self.documents, &self.catalogue);
        for reason in errors {
            error!(log, "settings: invalid document"; "reason" => reason);
        }
        self.catalogue = Arc::new(catalogue);
    }
}

/// The newest version of each settings document that this process has received.
#[derive(Debug, Default)]
pub(crate) struct SettingsReplica {
    state: RwLock<State>,
    platform_read: AtomicBool,
}

impl SettingsReplica {
    pub(crate) fn catalogue(&self) -> Arc<Catalogue> {
        Arc::clone(&self.read().catalogue)
    }

    pub(crate) fn set_platform_read(&self) {
        self.platform_read.store(true, Ordering::Relaxed);
    }

    /// Whether the settings have been read from the platform since the start.
    pub(crate) fn is_platform_read(&self) -> bool {
        self.platform_read.load(Ordering::Relaxed)
    }

    pub(crate) fn digest(&self) -> u64 {
        self.read().documents.digest()
    }

    pub(crate) fn revisions(&self) -> Vec<DocumentRevision> {
        self.read().documents.revisions()
    }

    pub(crate) fn documents(&self, keys: &[String]) -> Vec<Document> {
        let state = self.read();
        keys.iter().filter_map(|key| state.documents.get(key)).cloned().collect()
    }

    pub(crate) fn initial_exchange(&self, push: Vec<Document>) -> Exchange {
        initial_exchange(&self.read().documents, push)
    }

    /// Merges documents; returns those that were new.
    pub(crate) fn merge_documents(&self, offered: Vec<Document>, log: &Logger) -> Vec<Document> {
        if offered.is_empty() {
            return Vec::new();
        }
        let mut state = self.write();
        let new_documents = merge_documents(&mut state.documents, offered);
        if !new_documents.is_empty() {
            state.rebuild(log);
        }
        new_documents
    }

    /// Merges the documents of a peer's exchange; returns those that were new, and the reply.
    pub(crate) fn handle_exchange(
        &self,
        message: Exchange,
        log: &Logger,
    ) -> (Vec<Document>, ExchangeReply) {
        let mut state = self.write();
        let (new_documents, reply) = handle_exchange(&mut state.documents, message);
        if !new_documents.is_empty() {
            state.rebuild(log);
        }
        (new_documents, reply)
    }

    /// Keys of documents that are older here than in `revisions`.
    pub(crate) fn stale_keys(&self, revisions: &[DocumentRevision]) -> Vec<String> {
        self.read().documents.stale_keys(revisions)
    }

    /// Documents that are newer here than in `revisions`, limited to its keys and the withdrawals.
    pub(crate) fn newer_documents(&self, revisions: &[DocumentRevision]) -> Vec<Document> {
        let state = self.read();
        let newer = state.documents.newer_than(revisions).into_iter();
        let is_relevant = |document: &Document| {
            document.key == WITHDRAWALS_KEY
                || revisions.iter().any(|revision| revision.key == document.key)
        };
        newer.filter(is_relevant).collect()
    }

    fn read(&self) -> RwLockReadGuard<'_, State> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, State> {
        self.state.write().unwrap_or_else(PoisonError::into_inner)
    }
}
