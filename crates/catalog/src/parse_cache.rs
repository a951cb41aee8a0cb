//! Parts that were parsed before, so that one changed customer doesn't parse all others anew.

use crate::{Customer, Digest};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// Customers parts without a fault, by digest.
///
/// What a part says depends on its bytes alone, so the verdict on a release stays a pure function of it.
#[derive(Clone, Debug, Default)]
pub struct ParseCache {
    customers: HashMap<Digest, Arc<Vec<Customer>>>,
}

impl ParseCache {
    /// The customers of a part, if it was parsed before.
    pub(crate) fn get(&self, digest: &Digest) -> Option<Arc<Vec<Customer>>> {
        self.customers.get(digest).cloned()
    }

    /// Remembers the customers of a part that has no fault.
    pub(crate) fn put(&mut self, digest: Digest, customers: &[Customer]) {
        self.customers.insert(digest, Arc::new(customers.to_vec()));
    }

    /// Forgets all parts but these.
    pub(crate) fn keep(&mut self, digests: &HashSet<Digest>) {
        self.customers.retain(|digest, _| digests.contains(digest));
    }
}
