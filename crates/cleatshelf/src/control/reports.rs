//! Status reports and explanations for operators.

use super::*;

impl Control {
    pub(super) fn status(&self) -> Status {
        let release = self.releases.release_id();
        let snapshot = self.snapshot.read().map(|s| (s.ready, s.stopping)).unwrap_or_default();
        Status {
            name: self.settings.me.name.clone(),
            hall: self.settings.me.hall.clone(),
            ready: snapshot.0 && !snapshot.1,
            stopping: snapshot.1,
            release: release.map_or(0, |id| id.number),
            digest: release.map_or_else(String::new, |id| id.digest.to_string()),
            refused: self.releases.refused().map(refused_row).collect(),
            peers: self.detector.members().map(peer_row).collect(),
            shards: self.broker.owned_shards().map(|shard| self.shard_row(shard)).collect(),
            held: self.broker.lease_count(),
            pending: self.broker.pending_count(),
            running: self.running.load(Ordering::Relaxed),
            watcher: self.is_watcher(),
            platform_calls: self.call_budget.calls_made,
            sent_bytes: self.links.values().map(|(_, link)| link.bytes_sent()).sum(),
            received_bytes: self.listener.as_ref().map_or(0, Listener::bytes_received),
            sent_messages: self.sent_messages,
            broken: self.violations,
        }
    }

    fn shard_row(&self, shard: &policy::Shard) -> ShardRow {
        let layout = self.broker.layout();
        let spec = layout.shards.get(&shard.id);
        ShardRow {
            id: shard.id.to_string(),
            hall: spec.map_or_else(String::new, |s| s.pool.hall.clone()),
            serves: spec.map_or_else(String::new, |s| s.pool.serves.clone()),
            recovering: shard.is_recovering(),
            held: shard.lease_count(),
            waiting: shard.queue_depths().iter().map(|(class, n)| (layout.class(*class).name, *n)).collect(),
            upstreams: shard.servers.iter().map(upstream_row).collect(),
        }
    }

    pub(super) fn explain(&self, query: &GetExplanation) -> Result<Explanation, String> {
        let snapshot = self.snapshot.read().map(|s| Arc::clone(&s)).map_err(|e| e.to_string())?;
        let customers = &snapshot.catalog.customers;
        let customer = customers.iter().find(|c| c.name == query.customer);
        let customer = customer.ok_or_else(|| format!("unknown customer '{}'", query.customer))?;
        let name = query.class.clone().unwrap_or_else(|| customer.default_class.clone());
        let index = snapshot.catalog.class_index(&name).ok_or_else(|| format!("unknown class '{name}'"))?;
        let class = &snapshot.catalog.classes[index];
        if !customer.classes.contains(&name) {
            return Err(format!(
                "class '{name}' is not allowed for customer '{}': refused as class_not_allowed",
                query.customer
            ));
        }
        let route = self.route_rows(&query.serves, ClassId::of(&name));
        let verdict = match route.first() {
            None => format!("refused as not_found: no upstream serves '{}'", query.serves),
            Some(row) => match row.wait_ms {
                Some(wait) if wait > class.first_token_ms => {
                    format!("refused as overloaded: requests of its and higher classes take {wait} ms before it")
                }
                Some(wait) => format!("queued at {}, expected wait {wait} ms", row.owner),
                None => format!("requested from {}; run this command there to see its queue", row.owner),
            },
        };
        let (rank, first_token_ms) = (class.rank, class.first_token_ms);
        Ok(Explanation { class: name, rank, first_token_ms, route, verdict })
    }

    fn route_rows(&self, serves: &str, class: ClassId) -> Vec<RouteRow> {
        let layout = self.broker.layout();
        let mut halls = layout.halls_for(serves);
        halls.sort_by_key(|hall| *hall != self.settings.me.hall);
        let mut rows = Vec::new();
        for hall in halls {
            for shard in layout.shards_in(hall, serves) {
                let owner = self.broker.shard_owner(*shard);
                let name = |id| self.detector.peer(id).map_or(&self.settings.me.name, |p| &p.name).clone();
                let own = self.broker.owned_shards().find(|s| s.id == *shard);
                rows.push(RouteRow {
                    shard: shard.to_string(),
                    hall: hall.to_owned(),
                    owner: owner.map_or_else(|| "nobody".to_owned(), name),
                    wait_ms: own.map(|s| s.expected_wait_ms(class, self.now())),
                });
            }
        }
        rows
    }
}

fn refused_row(refused: &fleet::RefusedRelease) -> RefusedRow {
    RefusedRow { number: refused.id.number, digest: refused.id.digest.to_string(), reasons: refused.reasons.clone() }
}

fn peer_row(member: &fleet::Member) -> PeerRow {
    let state = match member.state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Dead => "dead",
        State::Leaving => "leaving",
    };
    PeerRow { name: member.peer.name.clone(), hall: member.peer.hall.clone(), state: state.to_owned() }
}

fn upstream_row(server: &policy::Server) -> UpstreamRow {
    UpstreamRow {
        name: server.name.clone(),
        slots: server.slots,
        trusted: server.slot_limit as u32,
        used: server.used,
        leaving: server.is_leaving(),
        ejected: server.is_ejected(),
        first_ms: server.speed.first_ms,
        between_ms: server.speed.between_ms,
    }
}
