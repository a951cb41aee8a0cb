//! Regions in which requests may run.

use std::collections::{BTreeSet, HashMap};

/// Names of the regions in which requests may run. Never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllowedRegions(BTreeSet<String>);

impl AllowedRegions {
    /// Creates the set from a list of regions. Returns `None` for an empty list, which restricts nothing.
    #[must_use]
    pub fn new(regions: Vec<String>) -> Option<Self> {
        (!regions.is_empty()).then(|| Self(regions.into_iter().collect()))
    }

    /// Returns true if requests may run in this region. An unknown region is never allowed.
    #[must_use]
    pub fn contains(&self, region: Option<&str>) -> bool {
        region.is_some_and(|region| self.0.contains(region))
    }
}

/// The region of each data hall.
pub type HallRegions = HashMap<String, String>;
