//! Customers.

use crate::{Digest, TableReader};

/// A customer: its credentials, its classes and its limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// The customer's name, unique in a release.
    pub name: String,
    /// Keyed hash of the API key; no file contains the key itself.
    pub key_hash: Digest,
    /// The classes that the customer may use. Never empty in a checked release.
    pub classes: Vec<String>,
    /// The class of requests that don't specify one; always one of `classes`.
    pub default_class: String,
    /// Weight relative to other customers of the same class, 1 to 1000.
    pub weight: u32,
    /// Maximum number of concurrent requests over all halls; 0 means no limit.
    pub concurrent: u32,
    /// Maximum number of tokens per minute over all halls; 0 means no limit.
    pub tokens_per_minute: u64,
}

impl Customer {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        let name = reader.name("name");
        let hash = reader.string("key_hash");
        let key_hash = Digest::parse(&hash);
        if key_hash.is_none() && !hash.is_empty() {
            reader.fault("key_hash", "must be 32 hexadecimal digits, as `cleatshelf key` prints them");
        }
        let classes = reader.strings("classes");
        if classes.is_empty() {
            reader.fault("classes", "must name at least one class");
        }
        let default_class = reader.string_opt("default_class").or_else(|| classes.first().cloned());
        let default_class = default_class.unwrap_or_default();
        if !classes.is_empty() && !classes.contains(&default_class) {
            reader.fault("default_class", format!("'{default_class}' is not one of the customer's classes"));
        }
        Self {
            name,
            key_hash: key_hash.unwrap_or(Digest([0; 16])),
            classes,
            default_class,
            weight: reader.integer_opt("weight", &(1..=1000)).unwrap_or(1) as u32,
            concurrent: reader.integer_opt("concurrent", &(0..=1_000_000)).unwrap_or(0) as u32,
            tokens_per_minute: reader.integer_opt("tokens_per_minute", &(0..=1_000_000_000_000)).unwrap_or(0),
        }
    }
}
