//! Looks up the route and the organisation of a request.

use crate::{Configuration, Limits, Organisation, OrganisationKey, Route, Upstream};
use ibissail_core::{ServiceId, StoreRevision};
use std::{collections::BTreeMap, sync::Arc};

/// Configuration indexed for lookups.
#[derive(Debug, Clone)]
pub struct RoutingTable {
    /// Position in the store of the object that held the configuration.
    pub revision: StoreRevision,
    /// Version number set by the operators.
    pub version: u64,
    /// Limits on callers' connections and requests.
    pub limits: Limits,
    hosts: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
    organisations: Option<BTreeMap<OrganisationKey, Arc<Organisation>>>,
    upstreams: BTreeMap<ServiceId, Upstream>,
}

impl RoutingTable {
    /// Indexes a configuration.
    #[must_use]
    pub fn new(configuration: Configuration) -> Self {
        let mut hosts: BTreeMap<String, BTreeMap<String, Arc<Route>>> = BTreeMap::new();
        for route in configuration.routes {
            let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            host.insert(route.prefix.clone(), Arc::new(route));
        }
        let upstreams = configuration.upstreams.into_iter();
        Self {
            revision: configuration.revision,
            version: configuration.version,
            limits: configuration.limits,
            hosts,
            organisations: configuration.organisations.map(index_keys),
            upstreams: upstreams.map(|upstream| (upstream.service.clone(), upstream)).collect(),
        }
    }

    /// Whether another configuration takes the place of this one.
    ///
    /// The operators' version decides: a store restored from an older copy may return an earlier
    /// configuration. Between equal versions, the later position in the store does.
    #[must_use]
    pub fn is_superseded_by(&self, version: u64, revision: StoreRevision) -> bool {
        (version, revision) > (self.version, self.revision)
    }

    /// Returns the route of the host that has the longest prefix of the path.
    ///
    /// The time grows with the number of slashes in the path, not with the number of routes.
    #[must_use]
    pub fn route(&self, host: &str, target: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = self.hosts.get(&host.to_ascii_lowercase())?;
        let path = target.split_once('?').map_or(target, |(path, _query)| path);
        let mut prefix_ends = path.rmatch_indices('/').map(|(index, _)| index);
        prefix_ends.find_map(|index| routes.get(&path[..=index]))
    }

    /// Whether any request needs an API key.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        self.organisations.is_some()
    }

    /// Returns the organisation that an API key belongs to.
    #[must_use]
    pub fn organisation(&self, key: &OrganisationKey) -> Option<&Arc<Organisation>> {
        self.organisations.as_ref()?.get(key)
    }

    /// Configuration of a service.
    #[must_use]
    pub fn upstream(&self, service: &ServiceId) -> Option<&Upstream> {
        self.upstreams.get(service)
    }
}

fn index_keys(organisations: Vec<Organisation>) -> BTreeMap<OrganisationKey, Arc<Organisation>> {
    let mut index = BTreeMap::new();
    for organisation in organisations {
        let organisation = Arc::new(organisation);
        for key in &organisation.keys {
            index.insert(key.clone(), Arc::clone(&organisation));
        }
    }
    index
}
