//! One thing wrong with a file.

use std::fmt;

/// One fault found while checking a file: where, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file or release part, as the operator knows it.
    pub file: String,
    /// The path of the key inside the file, such as `class[2].rank`.
    pub key: String,
    /// What is wrong, in a sentence for the operator.
    pub reason: String,
}

impl Fault {
    /// A fault at `key` of `file`.
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
