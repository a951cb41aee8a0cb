//! A release in the form that scheduling needs: shards, classes, weights and limits by id.

use catalog::{Catalog, Class, ClassId, CustomerId, Pool, ServerId, ShardId, Upstream, UpstreamKind};
use std::collections::{BTreeMap, HashMap};

/// Intended number of servers per shard. A pool with more is split into several shards.
pub const SERVERS_PER_SHARD: usize = 12;

/// One shard: the part of a pool that one box owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardSpec {
    /// The shard's id.
    pub id: ShardId,
    /// The pool that it is part of.
    pub pool: Pool,
    /// The kind of its servers.
    pub kind: UpstreamKind,
    /// Its servers. Never empty.
    pub servers: Vec<Upstream>,
}

/// A customer's weight and limits in one hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Weight in the round robin, at least 1.
    pub weight: u32,
    /// Maximum number of concurrent requests in one hall; 0 means no limit.
    pub max_concurrent: u32,
    /// Maximum number of tokens per minute in one hall; 0 means no limit.
    pub max_tokens_per_minute: u64,
}

/// A release in the form that scheduling needs.
#[derive(Clone, Debug, Default)]
pub struct Layout {
    /// Classes by id.
    pub classes: BTreeMap<ClassId, Class>,
    /// Shards by id.
    pub shards: BTreeMap<ShardId, ShardSpec>,
    customers: HashMap<CustomerId, Quota>,
    serving: BTreeMap<String, BTreeMap<String, Vec<ShardId>>>,
    servers: HashMap<ServerId, Upstream>,
}

impl Layout {
    /// Builds the layout of a validated release.
    #[must_use]
    pub fn from_catalog(catalog: &Catalog) -> Self {
        let mut layout = Self::default();
        for class in &catalog.classes {
            layout.classes.insert(ClassId::of(&class.name), class.clone());
        }
        let halls = catalog.hall_count();
        for customer in &catalog.customers {
            let quota = Quota {
                weight: customer.weight,
                max_concurrent: customer.concurrent.div_ceil(halls as u32),
                max_tokens_per_minute: customer.tokens_per_minute.div_ceil(halls as u64),
            };
            layout.customers.insert(CustomerId::of(&customer.name), quota);
        }
        for (pool, servers) in &catalog.pools {
            layout.add_pool(pool, servers);
        }
        layout
    }

    fn add_pool(&mut self, pool: &Pool, servers: &[Upstream]) {
        let parts = servers.len().div_ceil(SERVERS_PER_SHARD);
        for server in servers {
            let id = ServerId::of(&server.name);
            self.servers.insert(id, server.clone());
            // Assigned by hash, so that a new server moves no other one while the number of parts stays.
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

    /// Returns the shards of `hall` that serve `serves`.
    #[must_use]
    pub fn shards_in(&self, hall: &str, serves: &str) -> &[ShardId] {
        let halls = self.serving.get(serves);
        halls.and_then(|h| h.get(hall)).map_or(&[], Vec::as_slice)
    }

    /// Returns the halls that serve `serves`.
    #[must_use]
    pub fn halls_for(&self, serves: &str) -> Vec<&str> {
        self.serving.get(serves).into_iter().flat_map(|h| h.keys()).map(String::as_str).collect()
    }

    /// Returns the server with this id.
    #[must_use]
    pub fn server(&self, id: ServerId) -> Option<&Upstream> {
        self.servers.get(&id)
    }

    /// Returns a customer's weight and limits. A customer that is not in this release has weight 1 and no
    /// limit.
    #[must_use]
    pub fn quota(&self, id: CustomerId) -> Quota {
        let unknown = Quota { weight: 1, max_concurrent: 0, max_tokens_per_minute: 0 };
        self.customers.get(&id).copied().unwrap_or(unknown)
    }

    /// Returns a class. One that is not in this release has the lowest rank, but is not starved.
    #[must_use]
    pub fn class(&self, id: ClassId) -> Class {
        let unknown = || Class { rank: u8::MAX, pass_after_ms: 5_000, first_token_ms: 60_000, ..Class::default() };
        self.classes.get(&id).cloned().unwrap_or_else(unknown)
    }
}
