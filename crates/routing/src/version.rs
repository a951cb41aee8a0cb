//! Versions of the servers' software.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Version of the software that a server runs. Versions are equal or different; they have no order, and their text
/// has no meaning.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version(Arc<str>);

impl Version {
    /// Creates a version from its published text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// Returns the published text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Display for Version {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}
