//! Leases: renewal, recovery and expiry.

use super::*;
use crate::lessee::mix_lease_id;

impl Shard {
    /// Renews all leases of a lessee if its count and checksum agree with the owner's, else asks it for the
    /// full list.
    ///
    /// Grants may still be in transit to the lessee. They arrive in order, so those that it does not know yet
    /// are the newest.
    pub fn renew(&mut self, from: BoxId, count: u32, sum: u64, now: Time) -> Vec<Decision> {
        let held = self.leases.iter().filter(|((holder, _), _)| *holder == from);
        let mut known: Vec<(Time, u64)> = held.map(|((_, id), lease)| (lease.granted, *id)).collect();
        if known.len() as u32 > count {
            // Sorted only in this case, since nearly every renewal agrees as it is.
            known.sort_unstable();
        }
        let mut checksum = known.iter().fold(0, |sum, (_, id)| sum ^ mix_lease_id(*id));
        while known.len() as u32 > count {
            match known.last() {
                Some((granted, id)) if now.since(*granted) < LEASE_GRACE_MS => checksum ^= mix_lease_id(*id),
                _ => break,
            }
            known.pop();
        }
        if (known.len() as u32, checksum) == (count, sum) {
            for (_, id) in known {
                if let Some(lease) = self.leases.get_mut(&(from, id)) {
                    lease.renewed = now;
                }
            }
        } else {
            self.decisions.push(Decision::Send(from, Message::Recover(self.id)));
        }
        std::mem::take(&mut self.decisions)
    }

    /// Reconciles the owner's state with all leases of a lessee: unknown ones are adopted, missing ones are
    /// removed.
    pub fn reconcile(&mut self, from: BoxId, leases: &[LeaseInfo], now: Time) -> Vec<Decision> {
        let listed: BTreeSet<u64> = leases.iter().map(|h| h.id).collect();
        let gone: Vec<u64> = self
            .leases
            .iter()
            .filter(|((holder, id), l)| {
                *holder == from && !listed.contains(id) && now.since(l.granted) >= LEASE_GRACE_MS
            })
            .map(|((_, id), _)| *id)
            .collect();
        for id in gone {
            self.remove_lease((from, id));
            self.ledger.returned += 1;
        }
        for info in leases {
            self.adopt_lease(from, info, now);
        }
        if let Some(recovery) = &mut self.recovery {
            recovery.awaiting.remove(&from);
        }
        self.end_recovery(now);
        self.dispatch_and_drain(now)
    }

    fn adopt_lease(&mut self, from: BoxId, info: &LeaseInfo, now: Time) {
        if let Some(lease) = self.leases.get_mut(&(from, info.id)) {
            lease.renewed = now;
            return;
        }
        // Granted by another owner or by the lessee's local scheduler, so the request no longer waits here.
        if let Some(queue) = self.queues.get_mut(&info.class) {
            queue.remove(from, info.id);
        }
        let Some(server) = self.servers.iter_mut().find(|s| s.id == info.server) else { return };
        server.used += 1;
        if server.used > server.slots {
            let detail = format!("upstream={} used={} slots={}", server.name, server.used, server.slots);
            self.decisions.push(Decision::Log(Event::LeaseOverlap, detail));
        }
        let lease = Lease {
            server: info.server,
            class: info.class,
            customer: info.customer,
            tokens: 0,
            granted: now,
            waited: 0,
            renewed: now,
            resumable: info.resumable,
            remote: false,
            recalled: false,
            out_of_turn: false,
        };
        self.insert_lease((from, info.id), lease);
        self.ledger.adopted += 1;
    }

    fn end_recovery(&mut self, now: Time) {
        let Some(recovery) = &self.recovery else { return };
        if !recovery.awaiting.is_empty() && now.since(recovery.started) < RECOVERY_TIMEOUT_MS {
            return;
        }
        let detail = format!("shard={} leases={} silent={}", self.id, self.leases.len(), recovery.awaiting.len());
        self.recovery = None;
        self.decisions.push(Decision::Log(Event::OwnerRecovered, detail));
    }

    fn remove_lease(&mut self, key: (BoxId, u64)) -> Option<Lease> {
        let lease = self.leases.remove(&key)?;
        self.decrement_running(lease.class);
        if let Some(server) = self.servers.iter_mut().find(|s| s.id == lease.server) {
            server.used = server.used.saturating_sub(1);
        }
        Some(lease)
    }

    fn expire_leases(&mut self, now: Time) {
        let old = self.leases.iter().filter(|(_, l)| now.since(l.renewed) >= LEASE_TTL_MS);
        let keys: Vec<(BoxId, u64)> = old.map(|(key, _)| *key).collect();
        for key in keys {
            self.remove_lease(key);
            self.ledger.expired += 1;
        }
    }

    fn send_heartbeats(&mut self, now: Time) {
        if now.since(self.last_heartbeat) < HEARTBEAT_INTERVAL_MS {
            return;
        }
        self.last_heartbeat = now;
        let mut ids: BTreeMap<BoxId, Vec<u64>> = BTreeMap::new();
        for waiting in self.queues.values().flat_map(Queue::iter) {
            // One id is enough, since the message serves as a heartbeat.
            ids.entry(waiting.from).or_insert_with(|| vec![waiting.request.id]);
        }
        for (to, ids) in ids {
            self.decisions.push(Decision::Send(to, Message::Queued(self.id, ids)));
        }
    }

    fn dispatch_and_drain(&mut self, now: Time) -> Vec<Decision> {
        self.dispatch(now);
        if !self.ledger.is_balanced(self.leases.len()) {
            let detail = format!("{:?} held={}", self.ledger, self.leases.len());
            self.report_violation(Event::LeaseCountBroken, &detail);
        }
        std::mem::take(&mut self.decisions)
    }

    fn record_report(&mut self, lease: &Lease, report: &Report, now: Time) {
        if report.unused {
            return;
        }
        if !report.failed {
            let hold = now.since(lease.granted) as f64;
            let old = self.hold_ms.get(&lease.class).copied().unwrap_or(hold);
            self.hold_ms.insert(lease.class, old + 0.1 * (hold - old));
        }
        if let Some(queue) = self.queues.get_mut(&lease.class) {
            queue.adjust_charge(lease.customer, lease.tokens, report.tokens);
        }
        let Some(server) = self.servers.iter_mut().find(|s| s.id == lease.server) else { return };
        let event = match server.record_report(report, now) {
            Some(HealthChange::Ejected) => Event::UpstreamEjected,
            Some(HealthChange::Restored) => Event::UpstreamReturned,
            None => return,
        };
        let detail = format!("upstream={}", server.name);
        self.decisions.push(Decision::Log(event, detail));
    }
}

impl Scheduler for Shard {
    fn request_slot(&mut self, from: BoxId, request: SlotRequest, now: Time) -> Vec<Decision> {
        // A lessee without an answer sends its request again, and the network may duplicate messages: repeat
        // the answer.
        if let Some(lease) = self.leases.get(&(from, request.id)) {
            let (server, waited) = (lease.server, lease.waited);
            self.decisions
                .push(Decision::Send(from, Message::Grant { shard: self.id, id: request.id, server, waited }));
            return std::mem::take(&mut self.decisions);
        }
        if self.queues.get(&request.class).is_some_and(|q| q.contains(from, request.id)) {
            self.decisions.push(Decision::Send(from, Message::Queued(self.id, vec![request.id])));
            return std::mem::take(&mut self.decisions);
        }
        if let Err(refusal) = self.admit(&request, now) {
            self.decisions.push(Decision::Send(from, Message::Refuse(self.id, request.id, refusal)));
            return self.dispatch_and_drain(now);
        }
        let (class, id) = (request.class, request.id);
        let arrived = Time(now.0.saturating_sub(u64::from(request.age_ms)));
        let waiting = QueuedRequest { from, request, arrived };
        self.queues.entry(class).or_default().push(waiting);
        self.dispatch(now);
        if self.queues[&class].contains(from, id) {
            self.decisions.push(Decision::Send(from, Message::Queued(self.id, vec![id])));
        }
        self.dispatch_and_drain(now)
    }

    fn cancel(&mut self, from: BoxId, id: u64, now: Time) -> Vec<Decision> {
        for queue in self.queues.values_mut() {
            if queue.remove(from, id).is_some() {
                break;
            }
        }
        if self.remove_lease((from, id)).is_some() {
            self.ledger.returned += 1;
        }
        self.dispatch_and_drain(now)
    }

    fn return_lease(&mut self, from: BoxId, returned: &LeaseReturn, now: Time) -> Vec<Decision> {
        if let Some(lease) = self.remove_lease((from, returned.id)) {
            self.ledger.returned += 1;
            self.record_report(&lease, &returned.report, now);
        }
        self.dispatch_and_drain(now)
    }

    fn on_load_report(&mut self, server: ServerId, load: Load, now: Time) -> Vec<Decision> {
        for known in self.servers.iter_mut().filter(|s| s.id == server) {
            if load.leaving && !known.is_leaving() {
                self.decisions.push(Decision::Log(Event::UpstreamLeaving, format!("upstream={} by=word", known.name)));
            }
            known.record_load(load, now);
        }
        self.dispatch_and_drain(now)
    }

    fn tick(&mut self, now: Time) -> Vec<Decision> {
        self.update_average_slots(now);
        self.end_recovery(now);
        self.expire_leases(now);
        self.refuse_timed_out(now);
        if now.since(self.last_debt_decay) >= DEBT_DECAY_INTERVAL_MS {
            self.last_debt_decay = now;
            self.queues.values_mut().for_each(Queue::decay_debts);
        }
        self.send_heartbeats(now);
        self.dispatch_and_drain(now)
    }

    fn renew_all(&mut self, now: Time) {
        self.leases.values_mut().for_each(|lease| lease.renewed = now);
    }

    fn set_leaving(&mut self, server: ServerId, leaving: bool) {
        for known in self.servers.iter_mut().filter(|s| s.id == server) {
            if leaving && !known.is_leaving() {
                self.decisions.push(Decision::Log(Event::UpstreamLeaving, format!("upstream={} by=list", known.name)));
            }
            known.leaving_by_membership = leaving;
        }
    }

    fn queue_len(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }
}
