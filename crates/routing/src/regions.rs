//! Where requests may run.

use std::collections::{BTreeSet, HashMap};

/// Names of the regions in which requests may run. Never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllowedRegions(BTreeSet<String>);

impl AllowedRegions {
    /// These regions; none for an empty list, which restricts nothing.
    #[must_use]
    pub fn new(regions: Vec<String>) -> Option<Self> {
        (!regions.is_empty()).then(|| Self(regions.into_iter().collect()))
    }

    /// True when requests may run in this region. A region that isn't known is none of them.
    #[must_use]
    pub fn contains(&self, region: Option<&str>) -> bool {
        region.is_some_and(|region| self.0.contains(region))
    }
}

/// The region of each data hall.
pub type HallRegions = HashMap<String, String>;
