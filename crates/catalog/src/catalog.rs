//! The content of the three files, parsed and checked as a whole.

use crate::{
    ApiKeyHasher, Class, Customer, Digest, Fault, ParseCache, Pool, Service, TableReader, Upstream, UpstreamKind,
};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt::Display;
use std::hash::Hash;

/// The parsed content of a release. Every name in it refers to an existing entry.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// Hashes callers' API keys.
    pub key_hasher: ApiKeyHasher,
    /// Classes in the order of the file.
    pub classes: Vec<Class>,
    /// Customers; a customer's index is valid only within one release.
    pub customers: Vec<Customer>,
    /// Servers by pool. A pool is never empty.
    pub pools: BTreeMap<Pool, Vec<Upstream>>,
    /// Plain services by name.
    pub services: BTreeMap<String, Service>,
    /// Indexes of customers by the hash of their API key.
    customers_by_key: HashMap<Digest, usize>,
}

impl Default for Catalog {
    fn default() -> Self {
        Self {
            key_hasher: ApiKeyHasher::new(""),
            classes: Vec::new(),
            customers: Vec::new(),
            pools: BTreeMap::new(),
            services: BTreeMap::new(),
            customers_by_key: HashMap::new(),
        }
    }
}

impl Catalog {
    /// Parses parts named `classes`, `upstreams` and `customers…`.
    ///
    /// # Errors
    /// All faults of all parts, in the order of the parts.
    pub fn parse(parts: &[(&str, &str)]) -> Result<Self, Vec<Fault>> {
        let parts: Vec<_> = parts.iter().map(|(name, text)| (*name, Digest::of(text.as_bytes()), *text)).collect();
        Self::parse_cached(&parts, &mut ParseCache::default())
    }

    /// Parses parts with their digests, reusing the cached ones and updating the cache. The result equals that of
    /// [`Catalog::parse`].
    ///
    /// # Errors
    /// All faults of all parts, in the order of the parts.
    pub fn parse_cached(parts: &[(&str, Digest, &str)], cache: &mut ParseCache) -> Result<Self, Vec<Fault>> {
        let mut out = Self::default();
        let mut faults = Vec::new();
        for (name, digest, text) in parts {
            if let Some(customers) = cache.get(digest) {
                out.customers.extend_from_slice(&customers);
                continue;
            }
            let before = out.customers.len();
            let part_faults = out.read_part(name, text);
            if part_faults.is_empty() && out.customers.len() > before {
                cache.insert(*digest, &out.customers[before..]);
            }
            faults.extend(part_faults);
        }
        cache.retain(&parts.iter().map(|(_, digest, _)| *digest).collect());
        faults.extend(out.check());
        if !faults.is_empty() {
            return Err(faults);
        }
        out.customers_by_key = out.customers.iter().enumerate().map(|(i, c)| (c.key_hash, i)).collect();
        Ok(out)
    }

    fn read_part(&mut self, name: &str, text: &str) -> Vec<Fault> {
        let mut reader = TableReader::parse(name, text);
        match name.split('-').next().unwrap_or_default() {
            "classes" => {
                self.key_hasher = ApiKeyHasher::new(&reader.string("key_salt"));
                self.classes = reader.tables("class", Class::read);
            }
            "customers" => self.customers.extend(reader.tables("customer", Customer::read)),
            "upstreams" => self.read_upstreams(&mut reader),
            _ => reader.fault("", "is not a known part: expected classes, customers or upstreams"),
        }
        reader.finish()
    }

    fn read_upstreams(&mut self, reader: &mut TableReader<'_>) {
        for service in reader.tables("service", Service::read) {
            self.services.insert(service.name.clone(), service);
        }
        for upstream in reader.tables("upstream", Upstream::read) {
            self.pools.entry(upstream.pool.clone()).or_default().push(upstream);
        }
    }

    fn check(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        if self.classes.is_empty() || self.classes.len() > 64 {
            faults.push(Fault::new("classes", "class", "there must be 1 to 64 classes"));
        }
        let floors: f64 = self.classes.iter().map(|c| c.floor).sum();
        if floors > 0.9 {
            faults.push(Fault::new("classes", "floor", format!("floors add up to {floors:.2}, more than 0.9")));
        }
        faults.extend(duplicates("classes", "class", self.classes.iter().map(|c| c.name.as_str())));
        faults.extend(duplicates("customers", "customer", self.customers.iter().map(|c| c.name.as_str())));
        faults.extend(duplicates("customers", "key_hash", self.customers.iter().map(|c| c.key_hash)));
        let servers = || self.pools.values().flatten();
        faults.extend(duplicates("upstreams", "upstream", servers().map(|u| u.name.as_str())));
        faults.extend(self.check_customers());
        faults.extend(self.check_services());
        faults
    }

    fn check_customers(&self) -> Vec<Fault> {
        let known: HashSet<&str> = self.classes.iter().map(|c| c.name.as_str()).collect();
        let mut faults = Vec::new();
        for customer in &self.customers {
            for class in customer.classes.iter().filter(|c| !known.contains(c.as_str())) {
                let reason = format!("customer '{}' uses class '{class}', which does not exist", customer.name);
                faults.push(Fault::new("customers", "classes", reason));
            }
        }
        faults
    }

    fn check_services(&self) -> Vec<Fault> {
        let plain = self.pools.values().flatten().filter(|u| u.kind == UpstreamKind::Plain);
        plain
            .filter(|u| !self.services.contains_key(&u.pool.serves))
            .map(|u| {
                let reason = format!("'{}' serves '{}', which has no [[service]] entry", u.name, u.pool.serves);
                Fault::new("upstreams", "service", reason)
            })
            .collect()
    }

    /// Returns the index and the customer for `api_key`.
    #[must_use]
    pub fn customer_by_api_key(&self, api_key: &str) -> Option<(usize, &Customer)> {
        let index = *self.customers_by_key.get(&self.key_hasher.hash(api_key))?;
        Some((index, &self.customers[index]))
    }

    /// Returns the index of the class `name`.
    #[must_use]
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| c.name == name)
    }

    /// Returns the names of all models, sorted and without duplicates.
    #[must_use]
    pub fn models(&self) -> Vec<&str> {
        let engines = self.pools.iter().filter(|(_, servers)| servers[0].kind == UpstreamKind::Engine);
        let mut names: Vec<&str> = engines.map(|(pool, _)| pool.serves.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Returns the number of halls with upstreams, at least 1.
    #[must_use]
    pub fn hall_count(&self) -> usize {
        let halls: HashSet<&str> = self.pools.keys().map(|p| p.hall.as_str()).collect();
        halls.len().max(1)
    }
}

fn duplicates<T: Copy + Eq + Hash + Display>(file: &str, key: &str, names: impl Iterator<Item = T>) -> Vec<Fault> {
    let mut seen = HashSet::new();
    names.filter(|name| !seen.insert(*name)).map(|name| Fault::new(file, key, format!("duplicate '{name}'"))).collect()
}
