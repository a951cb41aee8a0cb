//! A cache of parsed release parts, so that a change to one customer doesn't re-parse all others.

use crate::{Customer, Digest};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// The customers of parts without faults, by digest of the part.
///
/// The content of a part depends only on its bytes, so the verdict on a release remains a pure function of it.
#[derive(Clone, Debug, Default)]
pub struct ParseCache {
    customers: HashMap<Digest, Arc<Vec<Customer>>>,
}

impl ParseCache {
    /// Returns the customers of a part that has been parsed before.
    pub(crate) fn get(&self, digest: &Digest) -> Option<Arc<Vec<Customer>>> {
        self.customers.get(digest).cloned()
    }

    /// Stores the customers of a part that has no fault.
    pub(crate) fn insert(&mut self, digest: Digest, customers: &[Customer]) {
        self.customers.insert(digest, Arc::new(customers.to_vec()));
    }

    /// Removes all parts except those with these digests.
    pub(crate) fn retain(&mut self, digests: &HashSet<Digest>) {
        self.customers.retain(|digest, _| digests.contains(digest));
    }
}
