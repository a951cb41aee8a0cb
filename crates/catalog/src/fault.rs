//! Faults in files and settings.

use std::fmt;

/// A fault found while checking a file: its location and the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file or release part, under the name that the operator uses for it.
    pub file: String,
    /// The path of the key inside the file, such as `class[2].rank`.
    pub key: String,
    /// The reason, phrased for the operator.
    pub reason: String,
}

impl Fault {
    /// Creates a fault at `key` of `file`.
    #[must_use]
    pub fn new(file: &str, key: &str, reason: impl Into<String>) -> Self {
        Self { file: file.to_owned(), key: key.to_owned(), reason: reason.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.file, self.key, self.reason)
    }
}
