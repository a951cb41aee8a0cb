//! Limits repeated reports to one per name.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

/// Maximum number of names kept, so that a sender of ever new names fills neither memory nor the log.
const MAX_NAMES: usize = 64;

/// The names reported since the process started, at most [`MAX_NAMES`].
#[derive(Debug, Default)]
pub struct SeenNames {
    names: Mutex<BTreeSet<String>>,
}

impl SeenNames {
    /// Returns true if `name` is new and there is room for it, and remembers it.
    pub fn insert(&self, name: &str) -> bool {
        let mut names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        names.len() < MAX_NAMES && !names.contains(name) && names.insert(name.to_owned())
    }
}
