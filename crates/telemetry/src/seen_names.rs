//! What is told of once.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

/// Most names that are kept: whoever sends a new one each time fills neither memory nor the log.
const NAMES_MOST: usize = 64;

/// Names of which each is told once for as long as the process runs, and only the first so many.
#[derive(Debug, Default)]
pub struct SeenNames {
    names: Mutex<BTreeSet<String>>,
}

impl SeenNames {
    /// True for the first time with this name, as long as there is room.
    pub fn insert(&self, name: &str) -> bool {
        let mut names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        names.len() < NAMES_MOST && !names.contains(name) && names.insert(name.to_owned())
    }
}
