//! Data residency: the regions whose replicas may serve a request.

use ibissail_core::{RegionId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// The region of each availability zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ZoneRegions {
    regions: BTreeMap<ZoneId, RegionId>,
}

impl ZoneRegions {
    /// Creates the table from pairs.
    #[must_use]
    pub fn new(regions: BTreeMap<ZoneId, RegionId>) -> Self {
        Self { regions }
    }

    /// Region of a zone; `None` if it is not known.
    #[must_use]
    pub fn region(&self, zone: &ZoneId) -> Option<&RegionId> {
        self.regions.get(zone)
    }
}

/// The regions whose replicas may serve a request, by its route and by its organisation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AllowedRegions {
    by_route: BTreeSet<RegionId>,
    by_organisation: BTreeSet<RegionId>,
}

impl AllowedRegions {
    /// Combines the regions of a route and of an organisation; an empty set allows all regions.
    #[must_use]
    pub fn new(by_route: &BTreeSet<RegionId>, by_organisation: &BTreeSet<RegionId>) -> Self {
        Self { by_route: by_route.clone(), by_organisation: by_organisation.clone() }
    }

    /// Whether a replica in this zone may serve the request. A zone whose region is not known is
    /// allowed only where all regions are.
    ///
    /// # Examples
    ///
    /// ```
    /// use ibissail_direct::{AllowedRegions, ZoneRegions};
    /// use std::collections::{BTreeMap, BTreeSet};
    /// let zone = "az-1".parse().unwrap();
    /// let regions = ZoneRegions::new(BTreeMap::from([("az-1".parse().unwrap(), "eu".parse().unwrap())]));
    /// let (eu, us) = ("eu".parse().unwrap(), "us".parse().unwrap());
    /// let (route, organisation) = (BTreeSet::from([eu]), BTreeSet::from([us]));
    /// assert!(AllowedRegions::new(&route, &BTreeSet::new()).allows(&zone, &regions));
    /// assert!(!AllowedRegions::new(&route, &organisation).allows(&zone, &regions));
    /// ```
    #[must_use]
    pub fn allows(&self, zone: &ZoneId, regions: &ZoneRegions) -> bool {
        let is_in = |allowed: &BTreeSet<RegionId>| {
            allowed.is_empty()
                || regions.region(zone).is_some_and(|region| allowed.contains(region))
        };
        is_in(&self.by_route) && is_in(&self.by_organisation)
    }

    /// Names of the allowed regions, for error messages; empty if all are allowed.
    #[must_use]
    pub fn names(&self) -> String {
        let both = !self.by_route.is_empty() && !self.by_organisation.is_empty();
        let sets = [&self.by_route, &self.by_organisation];
        let all: BTreeSet<&RegionId> = sets.into_iter().flatten().collect();
        let is_in_both = |name: &&RegionId| sets.iter().all(|set| !both || set.contains(*name));
        let names: Vec<&str> = all.into_iter().filter(is_in_both).map(RegionId::as_str).collect();
        names.join(", ")
    }
}
