//! Releases: a manifest and the parts that it refers to by digest.

use crate::{Catalog, Digest, Fault, ParseCache, TableReader};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// The newest release format that this program reads.
pub const RELEASE_FORMAT: u64 = 1;

/// Number of parts into which customers are split, so that a change to one customer changes one small part.
pub const CUSTOMER_PARTS: usize = 256;

/// Maximum size of a part; the platform holds values of up to a megabyte.
pub const MAX_PART_BYTES: usize = 1_000_000;

/// Identifies a release, ordered by its number and then by the manifest's digest.
///
/// The digest keeps the order total, and equal on all boxes, when two operators publish the same number at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReleaseId {
    /// The release number assigned by operators.
    pub number: u64,
    /// The digest of the manifest.
    pub digest: Digest,
}

/// The list of a release's parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    /// The release format, at most [`RELEASE_FORMAT`].
    pub format: u64,
    /// The release number assigned by operators; increases with each release.
    pub number: u64,
    /// The digest of each part by name.
    pub parts: BTreeMap<String, Digest>,
}

/// A release: the manifest and its parts.
#[derive(Clone, Debug)]
pub struct Release {
    /// The parsed manifest.
    pub manifest: Manifest,
    /// The manifest as published; its digest identifies the release.
    pub text: String,
    /// The bytes of the parts by digest; complete in a checked release.
    pub parts: BTreeMap<Digest, Vec<u8>>,
}

impl Manifest {
    /// Parses a manifest as published.
    ///
    /// # Errors
    /// All faults, or only that of the format if it is newer than [`RELEASE_FORMAT`].
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let mut reader = TableReader::parse("manifest", text);
        let format = reader.integer("format", &(1..=u64::from(u32::MAX)));
        if format > RELEASE_FORMAT {
            let reason =
                format!("format {format} was made by a newer cleatshelf; this one reads up to {RELEASE_FORMAT}");
            return Err(vec![Fault::new("manifest", "format", reason)]);
        }
        let number = reader.integer("number", &(1..=i64::MAX as u64));
        let mut parts = BTreeMap::new();
        let listed = reader.tables("part", |r| (r.name("name"), r.string("digest")));
        for (name, digest) in listed {
            match Digest::parse(&digest) {
                Some(digest) if !parts.contains_key(&name) => {
                    parts.insert(name, digest);
                }
                Some(_) => reader.fault("part", format!("duplicate '{name}'")),
                None => reader.fault("part", format!("'{digest}' is not a digest of 32 hexadecimal digits")),
            }
        }
        let faults = reader.finish();
        if faults.is_empty() {
            Ok(Self { format, number, parts })
        } else {
            Err(faults)
        }
    }

    /// Renders the manifest as it is published.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = format!("format = {}\nnumber = {}\n", self.format, self.number);
        for (name, digest) in &self.parts {
            // Writing to a `String` can't fail.
            let _ = write!(text, "\n[[part]]\nname = \"{name}\"\ndigest = \"{digest}\"\n");
        }
        text
    }
}

impl Release {
    /// Splits the three files into parts and creates the manifest.
    ///
    /// # Errors
    /// All faults that [`Catalog::parse`] finds, or a part larger than [`MAX_PART_BYTES`].
    pub fn pack(number: u64, classes: &str, customers: &str, upstreams: &str) -> Result<Self, Vec<Fault>> {
        Catalog::parse(&[("classes", classes), ("customers", customers), ("upstreams", upstreams)])?;
        let mut manifest = Manifest { format: RELEASE_FORMAT, number, parts: BTreeMap::new() };
        let mut parts = BTreeMap::new();
        let mut texts = split_customers(customers);
        texts.insert("classes".to_owned(), classes.to_owned());
        texts.insert("upstreams".to_owned(), upstreams.to_owned());
        for (name, text) in texts {
            let digest = Digest::of(text.as_bytes());
            manifest.parts.insert(name, digest);
            parts.insert(digest, text.into_bytes());
        }
        let text = manifest.render();
        let release = Self { manifest, text, parts };
        release.check().map(|_| release)
    }

    /// Checks the release and returns its content. A pure function of the release.
    ///
    /// # Errors
    /// All missing, corrupt or oversized parts, or the faults that [`Catalog::parse`] finds.
    pub fn check(&self) -> Result<Catalog, Vec<Fault>> {
        self.check_cached(&mut ParseCache::default())
    }

    /// Checks the release with a cache of parsed parts. The result equals that of [`Release::check`].
    ///
    /// # Errors
    /// All missing, corrupt or oversized parts, or the faults that [`Catalog::parse`] finds.
    pub fn check_cached(&self, cache: &mut ParseCache) -> Result<Catalog, Vec<Fault>> {
        let mut faults = Vec::new();
        let mut texts = Vec::new();
        for (name, digest) in &self.manifest.parts {
            match self.parts.get(digest) {
                None => faults.push(Fault::new(name, "", "the part is missing")),
                Some(bytes) => match check_part(bytes, digest) {
                    Ok(text) => texts.push((name.as_str(), *digest, text)),
                    Err(reason) => faults.push(Fault::new(name, "", reason)),
                },
            }
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        Catalog::parse_cached(&texts, cache)
    }

    /// Returns the id by which releases are ordered.
    #[must_use]
    pub fn id(&self) -> ReleaseId {
        ReleaseId { number: self.manifest.number, digest: Digest::of(self.text.as_bytes()) }
    }

    /// Returns the faults that prevent publishing this release while `current` is in force.
    #[must_use]
    pub fn check_against(&self, current: &Release) -> Vec<Fault> {
        if self.id() > current.id() && self.manifest.number > current.manifest.number {
            return Vec::new();
        }
        let reason = format!(
            "number {} must be greater than the current release's {}",
            self.manifest.number, current.manifest.number
        );
        vec![Fault::new("manifest", "number", reason)]
    }
}

/// Returns the text of a part if it matches its digest in the manifest and is not larger than [`MAX_PART_BYTES`].
fn check_part<'a>(bytes: &'a [u8], digest: &Digest) -> Result<&'a str, String> {
    if bytes.len() > MAX_PART_BYTES {
        return Err(format!("the part has {} bytes, more than {MAX_PART_BYTES}", bytes.len()));
    }
    if Digest::of(bytes) != *digest {
        return Err("the part's bytes don't match the manifest's digest".to_owned());
    }
    std::str::from_utf8(bytes).map_err(|_| "the part is not UTF-8".to_owned())
}

/// Returns the index of the part that contains the customer `name`.
#[must_use]
pub fn customer_part(name: &str) -> usize {
    let hash = Digest::of(name.as_bytes());
    usize::from(u16::from_le_bytes([hash.0[0], hash.0[1]])) % CUSTOMER_PARTS
}

fn split_customers(text: &str) -> BTreeMap<String, String> {
    let mut parts: BTreeMap<String, String> = BTreeMap::new();
    // The text has been checked, so the list is missing only if there are no customers.
    let table: toml::Table = text.parse().unwrap_or_default();
    let list = table.get("customer").and_then(toml::Value::as_array);
    for customer in list.into_iter().flatten() {
        let name = customer.get("name").and_then(toml::Value::as_str).unwrap_or_default();
        let part = parts.entry(format!("customers-{:03}", customer_part(name))).or_default();
        let body = toml::to_string(customer).unwrap_or_default();
        let _ = writeln!(part, "[[customer]]\n{body}");
    }
    parts
}
