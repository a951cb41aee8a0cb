//! The three files together, parsed and checked as a whole.

use crate::{
    ApiKeyHasher, Class, Customer, Digest, Fault, ParseCache, Pool, Service, TableReader, Upstream, UpstreamKind,
};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt::Display;
use std::hash::Hash;

/// The parsed content of a release. Every name in it refers to something that exists.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// Hashes callers' keys.
    pub key_hasher: ApiKeyHasher,
    /// Classes in the file's order; a class's index is its short name between boxes.
    pub classes: Vec<Class>,
    /// Customers; a customer's index holds only within one release.
    pub customers: Vec<Customer>,
    /// Servers by pool. A pool is never empty.
    pub pools: BTreeMap<Pool, Vec<Upstream>>,
    /// Plain services by name.
    pub services: BTreeMap<String, Service>,
    by_key: HashMap<Digest, usize>,
}

impl Default for Catalog {
    fn default() -> Self {
        Self {
            key_hasher: ApiKeyHasher::new(""),
            classes: Vec::new(),
            customers: Vec::new(),
            pools: BTreeMap::new(),
            services: BTreeMap::new(),
            by_key: HashMap::new(),
        }
    }
}

impl Catalog {
    /// Parses parts named `classes`, `upstreams` and `customers…`.
    ///
    /// # Errors
    /// Every fault of every part, in the parts' order.
    pub fn parse(parts: &[(&str, &str)]) -> Result<Self, Vec<Fault>> {
        let parts: Vec<_> = parts.iter().map(|(name, text)| (*name, Digest::of(text.as_bytes()), *text)).collect();
        Self::parse_cached(&parts, &mut ParseCache::default())
    }

    /// The same for parts with their digests, using what was parsed before.
    ///
    /// # Errors
    /// The same faults as [`Catalog::parse`].
    pub fn parse_cached(parts: &[(&str, Digest, &str)], parsed: &mut ParseCache) -> Result<Self, Vec<Fault>> {
        let mut out = Self::default();
        let mut faults = Vec::new();
        for (name, digest, text) in parts {
            if let Some(known) = parsed.get(digest) {
                out.customers.extend_from_slice(&known);
                continue;
            }
            let before = out.customers.len();
            let found = out.read_part(name, text);
            if found.is_empty() && out.customers.len() > before {
                parsed.put(*digest, &out.customers[before..]);
            }
            faults.extend(found);
        }
        parsed.keep(&parts.iter().map(|(_, digest, _)| *digest).collect());
        faults.extend(out.check());
        if !faults.is_empty() {
            return Err(faults);
        }
        out.by_key = out.customers.iter().enumerate().map(|(i, c)| (c.key_hash, i)).collect();
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
            _ => reader.fault("", "is not a part that cleatshelf knows"),
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
            faults.push(Fault::new("classes", "floor", format!("floors add up to {floors:.2}; 0.9 is the most")));
        }
        faults.extend(twice("classes", "class", self.classes.iter().map(|c| c.name.as_str())));
        faults.extend(twice("customers", "customer", self.customers.iter().map(|c| c.name.as_str())));
        faults.extend(twice("customers", "key_hash", self.customers.iter().map(|c| c.key_hash)));
        let servers = || self.pools.values().flatten();
        faults.extend(twice("upstreams", "upstream", servers().map(|u| u.name.as_str())));
        faults.extend(self.check_customers());
        faults.extend(self.check_services());
        faults
    }

    fn check_customers(&self) -> Vec<Fault> {
        let known: HashSet<&str> = self.classes.iter().map(|c| c.name.as_str()).collect();
        let mut faults = Vec::new();
        for customer in &self.customers {
            for class in customer.classes.iter().filter(|c| !known.contains(c.as_str())) {
                let reason = format!("customer '{}' names class '{class}', which isn't there", customer.name);
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
                let reason = format!("'{}' serves '{}', for which no [[service]] stands here", u.name, u.pool.serves);
                Fault::new("upstreams", "service", reason)
            })
            .collect()
    }

    /// The customer who holds `api_key`.
    #[must_use]
    pub fn customer_by_api_key(&self, api_key: &str) -> Option<(usize, &Customer)> {
        let index = *self.by_key.get(&self.key_hasher.hash(api_key))?;
        Some((index, &self.customers[index]))
    }

    /// The index of the class called `name`.
    #[must_use]
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| c.name == name)
    }

    /// Names of all models, each once.
    #[must_use]
    pub fn models(&self) -> Vec<&str> {
        let engines = self.pools.iter().filter(|(_, servers)| servers[0].kind == UpstreamKind::Engine);
        let mut names: Vec<&str> = engines.map(|(pool, _)| pool.serves.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// How many halls have upstreams, at least 1.
    #[must_use]
    pub fn hall_count(&self) -> usize {
        let halls: HashSet<&str> = self.pools.keys().map(|p| p.hall.as_str()).collect();
        halls.len().max(1)
    }
}

fn twice<T: Copy + Eq + Hash + Display>(file: &str, key: &str, names: impl Iterator<Item = T>) -> Vec<Fault> {
    let mut seen = HashSet::new();
    names
        .filter(|name| !seen.insert(*name))
        .map(|name| Fault::new(file, key, format!("'{name}' stands there twice")))
        .collect()
}
