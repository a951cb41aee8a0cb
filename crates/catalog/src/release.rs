//! Releases: a manifest and the parts it names by digest.

use crate::{Catalog, Digest, Fault, ParseCache, TableReader};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// The newest release format that this program reads.
pub const RELEASE_FORMAT: u64 = 1;

/// Into how many parts customers are cut, so that one changed customer moves one small part.
pub const CUSTOMER_PARTS: usize = 256;

/// The largest part, in bytes: the platform holds values up to a megabyte.
pub const MAX_PART_BYTES: usize = 1_000_000;

/// Where a release stands among others: the number first, then the manifest's digest.
///
/// Two operators who publish the same number at once still leave one order that all boxes share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReleaseId {
    /// The operators' release number.
    pub number: u64,
    /// The manifest's digest.
    pub digest: Digest,
}

/// What a release is made of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    /// The release format, at most [`RELEASE_FORMAT`] if this program can read it.
    pub format: u64,
    /// The operators' release number, rising.
    pub number: u64,
    /// Digest of each part by its name.
    pub parts: BTreeMap<String, Digest>,
}

/// A whole release: the manifest and all its parts.
#[derive(Clone, Debug)]
pub struct Release {
    /// What the release is made of.
    pub manifest: Manifest,
    /// The manifest as published; its digest is the release's.
    pub text: String,
    /// The parts' bytes by digest. Holds every digest that the manifest names.
    pub parts: BTreeMap<Digest, Vec<u8>>,
}

impl Manifest {
    /// Reads a manifest as published.
    ///
    /// # Errors
    /// Every fault; a format newer than [`RELEASE_FORMAT`] is one of them.
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
                Some(_) => reader.fault("part", format!("'{name}' stands there twice")),
                None => reader.fault("part", format!("'{digest}' is not a digest")),
            }
        }
        let faults = reader.finish();
        if faults.is_empty() {
            Ok(Self { format, number, parts })
        } else {
            Err(faults)
        }
    }

    /// The manifest as it is published.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = format!("format = {}\nnumber = {}\n", self.format, self.number);
        for (name, digest) in &self.parts {
            // Writing to a String can't fail.
            let _ = write!(text, "\n[[part]]\nname = \"{name}\"\ndigest = \"{digest}\"\n");
        }
        text
    }
}

impl Release {
    /// Cuts the three files into parts and makes the manifest.
    ///
    /// # Errors
    /// Every fault that [`Catalog::parse`] finds, or a part over [`MAX_PART_BYTES`].
    pub fn pack(number: u64, classes: &str, customers: &str, upstreams: &str) -> Result<Self, Vec<Fault>> {
        Catalog::parse(&[("classes", classes), ("customers", customers), ("upstreams", upstreams)])?;
        let mut manifest = Manifest { format: RELEASE_FORMAT, number, parts: BTreeMap::new() };
        let mut parts = BTreeMap::new();
        let mut named = cut_customers(customers);
        named.insert("classes".to_owned(), classes.to_owned());
        named.insert("upstreams".to_owned(), upstreams.to_owned());
        for (name, text) in named {
            let digest = Digest::of(text.as_bytes());
            manifest.parts.insert(name, digest);
            parts.insert(digest, text.into_bytes());
        }
        let text = manifest.render();
        let release = Self { manifest, text, parts };
        release.check().map(|_| release)
    }

    /// Checks the whole release and gives its content. A pure function of the release.
    ///
    /// # Errors
    /// Every fault: a missing, corrupt or oversized part, or what [`Catalog::parse`] finds.
    pub fn check(&self) -> Result<Catalog, Vec<Fault>> {
        self.check_cached(&mut ParseCache::default())
    }

    /// The same, using what was parsed before: the verdict is the same, and sooner here.
    ///
    /// # Errors
    /// The same faults as [`Release::check`].
    pub fn check_cached(&self, parsed: &mut ParseCache) -> Result<Catalog, Vec<Fault>> {
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
        Catalog::parse_cached(&texts, parsed)
    }

    /// Where this release stands among others.
    #[must_use]
    pub fn id(&self) -> ReleaseId {
        ReleaseId { number: self.manifest.number, digest: Digest::of(self.text.as_bytes()) }
    }

    /// Faults in publishing this release while `current` is in force.
    #[must_use]
    pub fn check_against(&self, current: &Release) -> Vec<Fault> {
        if self.id() > current.id() && self.manifest.number > current.manifest.number {
            return Vec::new();
        }
        let reason = format!(
            "release {} must have a number above the current {}",
            self.manifest.number, current.manifest.number
        );
        vec![Fault::new("manifest", "number", reason)]
    }
}

/// The text of a part, if it has the digest that the manifest names and fits the platform.
fn check_part<'a>(bytes: &'a [u8], digest: &Digest) -> Result<&'a str, String> {
    if bytes.len() > MAX_PART_BYTES {
        return Err(format!("the part has {} bytes; {MAX_PART_BYTES} is the most", bytes.len()));
    }
    if Digest::of(bytes) != *digest {
        return Err("the part's bytes don't match the manifest's digest".to_owned());
    }
    std::str::from_utf8(bytes).map_err(|_| "the part is not UTF-8".to_owned())
}

/// The part in which the customer called `name` stands.
#[must_use]
pub fn customer_part(name: &str) -> usize {
    let hash = Digest::of(name.as_bytes());
    usize::from(u16::from_le_bytes([hash.0[0], hash.0[1]])) % CUSTOMER_PARTS
}

fn cut_customers(text: &str) -> BTreeMap<String, String> {
    let mut parts: BTreeMap<String, String> = BTreeMap::new();
    // The text has been checked, so the table and its list are there unless there is no customer.
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
