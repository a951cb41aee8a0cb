//! A release as the decisions need it: shards, classes, weights and limits by short name.

use catalog::{Catalog, Class, ClassId, CustomerId, Pool, ServerId, ShardId, Upstream, UpstreamKind};
use std::collections::{BTreeMap, HashMap};

/// Servers that one owner looks after. A pool with more is cut into several shards.
pub const SERVERS_PER_SHARD: usize = 12;

/// One shard: the part of a pool that one box owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardSpec {
    /// The shard's short name.
    pub id: ShardId,
    /// The pool it is part of.
    pub pool: Pool,
    /// What its servers speak.
    pub kind: UpstreamKind,
    /// Its servers. Never empty.
    pub servers: Vec<Upstream>,
}

/// A customer as the decisions need it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Weight in the round robin, at least 1.
    pub weight: u32,
    /// Most requests at once in one hall; 0 means no limit.
    pub max_concurrent: u32,
    /// Most tokens a minute in one hall; 0 means no limit.
    pub max_tokens_per_minute: u64,
}

/// A release as the decisions need it.
#[derive(Clone, Debug, Default)]
pub struct Layout {
    /// Classes by short name.
    pub classes: BTreeMap<ClassId, Class>,
    /// Shards by short name.
    pub shards: BTreeMap<ShardId, ShardSpec>,
    customers: HashMap<CustomerId, Quota>,
    serving: BTreeMap<String, BTreeMap<String, Vec<ShardId>>>,
    servers: HashMap<ServerId, Upstream>,
}

impl Layout {
    /// The layout of a checked release.
    #[must_use]
    pub fn from_catalog(catalog: &Catalog) -> Self {
        let mut out = Self::default();
        for class in &catalog.classes {
            out.classes.insert(ClassId::of(&class.name), class.clone());
        }
        let halls = catalog.hall_count();
        for customer in &catalog.customers {
            let quota = Quota {
                weight: customer.weight,
                max_concurrent: customer.concurrent.div_ceil(halls as u32),
                max_tokens_per_minute: customer.tokens_per_minute.div_ceil(halls as u64),
            };
            out.customers.insert(CustomerId::of(&customer.name), quota);
        }
        for (pool, servers) in &catalog.pools {
            out.add_pool(pool, servers);
        }
        out
    }

    fn add_pool(&mut self, pool: &Pool, servers: &[Upstream]) {
        let parts = servers.len().div_ceil(SERVERS_PER_SHARD);
        for server in servers {
            let id = ServerId::of(&server.name);
            self.servers.insert(id, server.clone());
            // By hash, so that a new server moves no other one while the number of parts stays.
            let part = id.0 as usize % parts;
            let shard = ShardId::of(&format!("{}|{}|{part}", pool.hall, pool.serves));
            let spec = self.shards.entry(shard).or_insert_with(|| ShardSpec {
                id: shard,
                pool: pool.clone(),
                kind: server.kind,
                servers: Vec::new(),
            });
            spec.servers.push(server.clone());
            let halls = self.serving.entry(pool.serves.clone()).or_default();
            let shards = halls.entry(pool.hall.clone()).or_default();
            if !shards.contains(&shard) {
                shards.push(shard);
            }
        }
    }

    /// The shards of `hall` that serve `serves`.
    #[must_use]
    pub fn shards_in(&self, hall: &str, serves: &str) -> &[ShardId] {
        let halls = self.serving.get(serves);
        halls.and_then(|h| h.get(hall)).map_or(&[], Vec::as_slice)
    }

    /// The halls that serve `serves`.
    #[must_use]
    pub fn halls_for(&self, serves: &str) -> Vec<&str> {
        self.serving.get(serves).into_iter().flat_map(|h| h.keys()).map(String::as_str).collect()
    }

    /// The server behind a short name.
    #[must_use]
    pub fn server(&self, id: ServerId) -> Option<&Upstream> {
        self.servers.get(&id)
    }

    /// A customer's weight and limits; a customer not in this release has weight 1 and no limit.
    #[must_use]
    pub fn quota(&self, id: CustomerId) -> Quota {
        let unknown = Quota { weight: 1, max_concurrent: 0, max_tokens_per_minute: 0 };
        self.customers.get(&id).copied().unwrap_or(unknown)
    }

    /// A class; one that isn't in this release is treated as the least of all, but not starved.
    #[must_use]
    pub fn class(&self, id: ClassId) -> Class {
        let unknown = || Class { rank: u8::MAX, pass_after_ms: 5_000, first_token_ms: 60_000, ..Class::default() };
        self.classes.get(&id).cloned().unwrap_or_else(unknown)
    }
}
