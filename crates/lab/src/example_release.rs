//! Releases with the users' example classes and the addresses of the stand-ins.

use crate::{Engine, PlainService};
use catalog::{ApiKeyHasher, Digest, Fault, Release};
use std::fmt::Write as _;

const LAKES_CLASSES: &str = include_str!("../../../examples/lakes/classes.toml");
const HIMALKOSH_CLASSES: &str = include_str!("../../../examples/himalkosh/classes.toml");

/// Contents of an example release.
pub struct ReleaseSpec<'a> {
    /// Uses himalkosh's classes instead of the oversight agency's.
    pub himalkosh: bool,
    /// Engines, each with its hall.
    pub engines: &'a [(String, Engine)],
    /// Plain services: hall, service name and stand-in.
    pub plain_services: &'a [(String, String, PlainService)],
    /// Configured slots of each engine.
    pub slots: u32,
    /// Names of engines that are marked as leaving.
    pub leaving: &'a [String],
}

/// The model that all engines serve.
pub const MODEL: &str = "examiner-large";

/// Customers: name, weight and maximum concurrent requests (0 for no limit).
const CUSTOMERS: [(&str, u32, u32); 10] = [
    ("large-1", 4, 0),
    ("large-2", 4, 0),
    ("large-3", 2, 0),
    ("small-1", 1, 0),
    ("small-2", 1, 0),
    ("small-3", 1, 0),
    ("small-4", 1, 0),
    ("small-5", 1, 0),
    ("small-6", 1, 0),
    ("limited", 1, 6),
];

/// Returns the API key of a customer of [`build_release`].
#[must_use]
pub fn api_key(customer: &str) -> String {
    format!("key-of-{customer}-0123456789")
}

/// Returns the names of the customers of [`build_release`].
pub fn customer_names() -> impl Iterator<Item = &'static str> {
    CUSTOMERS.iter().map(|(name, _, _)| *name)
}

/// Builds a release for the stand-ins.
///
/// # Errors
/// Returns every fault; there are none unless names of stand-ins collide.
pub fn build_release(number: u64, sizes: &ReleaseSpec<'_>) -> Result<Release, Vec<Fault>> {
    let classes = if sizes.himalkosh { HIMALKOSH_CLASSES } else { LAKES_CLASSES };
    Release::pack(number, classes, &customers_file(classes), &upstreams_file(sizes))
}

fn customers_file(classes: &str) -> String {
    let table: toml::Table = classes.parse().unwrap_or_default();
    let salt = table["key_salt"].as_str().unwrap_or_default();
    let names: Vec<&str> = table["class"].as_array().into_iter().flatten().filter_map(|c| c["name"].as_str()).collect();
    let key = ApiKeyHasher::new(salt);
    let mut text = String::new();
    for (name, weight, concurrent) in CUSTOMERS {
        let hash: Digest = key.hash(&api_key(name));
        // Writing to a String can't fail.
        let _ = write!(
            text,
            "[[customer]]\nname = \"{name}\"\nkey_hash = \"{hash}\"\nclasses = {names:?}\nweight = {weight}\nconcurrent = {concurrent}\n\n"
        );
    }
    text
}

fn upstreams_file(sizes: &ReleaseSpec<'_>) -> String {
    let mut text = String::new();
    let mut services: Vec<&str> = sizes.plain_services.iter().map(|(_, service, _)| service.as_str()).collect();
    services.sort_unstable();
    services.dedup();
    for service in services {
        let _ = write!(text, "[[service]]\nname = \"{service}\"\nrepeatable = [\"GET\"]\n\n");
    }
    for (hall, engine) in sizes.engines {
        let leaving = sizes.leaving.iter().any(|name| name == engine.name());
        let _ = write!(
            text,
            "[[upstream]]\nname = \"{}\"\nhall = \"{hall}\"\nmodel = \"{MODEL}\"\naddress = \"{}\"\nslots = {}\nresume = true\nleaving = {leaving}\n\n",
            engine.name(),
            engine.address(),
            sizes.slots
        );
    }
    for (hall, service, plain) in sizes.plain_services {
        let _ = write!(
            text,
            "[[upstream]]\nname = \"{}\"\nhall = \"{hall}\"\nservice = \"{service}\"\naddress = \"{}\"\nslots = 64\n\n",
            plain.name(),
            plain.address()
        );
    }
    text
}
