//! Leases: renewal, recovery, expiry.

use super::*;
use crate::lessee::mixed;

impl Shard {
    /// A lessee says how many leases it holds: all are renewed if that agrees, else it is asked for the list.
    ///
    /// Grants may be on their way to it. They arrive in order, so what it doesn't know of yet are the newest.
    pub fn renew(&mut self, from: BoxId, count: u32, sum: u64, now: Time) -> Vec<Decision> {
        let here = self.leases.iter().filter(|((holder, _), _)| *holder == from);
        let mut known: Vec<(Time, u64)> = here.map(|((_, id), lease)| (lease.granted, *id)).collect();
        if known.len() as u32 > count {
            // Only then are the newest looked for; nearly every renewal agrees as it is.
            known.sort_unstable();
        }
        let mut seen = known.iter().fold(0, |sum, (_, id)| sum ^ mixed(*id));
        while known.len() as u32 > count {
            match known.last() {
                Some((granted, id)) if now.since(*granted) < GRACE_MS => seen ^= mixed(*id),
                _ => break,
            }
            known.pop();
        }
        if (known.len() as u32, seen) == (count, sum) {
            for (_, id) in known {
                if let Some(lease) = self.leases.get_mut(&(from, id)) {
                    lease.renewed = now;
                }
            }
        } else {
            self.out.push(Decision::Send(from, Message::Recover(self.id)));
        }
        std::mem::take(&mut self.out)
    }

    /// A lessee told all that it holds: unknown leases are adopted, missing ones are gone.
    pub fn reconcile(&mut self, from: BoxId, held: &[LeaseInfo], now: Time) -> Vec<Decision> {
        let named: BTreeSet<u64> = held.iter().map(|h| h.id).collect();
        let gone: Vec<u64> = self
            .leases
            .iter()
            .filter(|((holder, id), l)| *holder == from && !named.contains(id) && now.since(l.granted) >= GRACE_MS)
            .map(|((_, id), _)| *id)
            .collect();
        for id in gone {
            self.drop_lease((from, id));
            self.ledger.returned += 1;
        }
        for one in held {
            self.adopt(from, one, now);
        }
        if let Some(recovery) = &mut self.recovery {
            recovery.pending.remove(&from);
        }
        self.end_recovery(now);
        self.finish(now)
    }

    fn adopt(&mut self, from: BoxId, held: &LeaseInfo, now: Time) {
        if let Some(lease) = self.leases.get_mut(&(from, held.id)) {
            lease.renewed = now;
            return;
        }
        // Got from another owner or from the lessee's own share: it no longer waits here.
        if let Some(queue) = self.queues.get_mut(&held.class) {
            queue.remove(from, held.id);
        }
        let Some(server) = self.servers.iter_mut().find(|s| s.id == held.server) else { return };
        server.used += 1;
        if server.used > server.slots {
            let detail = format!("upstream={} used={} slots={}", server.name, server.used, server.slots);
            self.out.push(Decision::Log(Event::LeaseOverlap, detail));
        }
        let lease = Lease {
            server: held.server,
            class: held.class,
            customer: held.customer,
            tokens: 0,
            granted: now,
            waited: 0,
            renewed: now,
            resumable: held.resumable,
            remote: false,
            recalled: false,
            passing: false,
        };
        self.put_lease((from, held.id), lease);
        self.ledger.adopted += 1;
    }

    fn end_recovery(&mut self, now: Time) {
        let Some(recovery) = &self.recovery else { return };
        if !recovery.pending.is_empty() && now.since(recovery.since) < RECOVERY_TIMEOUT_MS {
            return;
        }
        let detail = format!("shard={} leases={} silent={}", self.id, self.leases.len(), recovery.pending.len());
        self.recovery = None;
        self.out.push(Decision::Log(Event::OwnerRecovered, detail));
    }

    fn drop_lease(&mut self, key: (BoxId, u64)) -> Option<Lease> {
        let lease = self.leases.remove(&key)?;
        self.count_down(lease.class);
        if let Some(server) = self.servers.iter_mut().find(|s| s.id == lease.server) {
            server.used = server.used.saturating_sub(1);
        }
        Some(lease)
    }

    fn expire(&mut self, now: Time) {
        let old = self.leases.iter().filter(|(_, l)| now.since(l.renewed) >= LEASE_TTL_MS);
        let keys: Vec<(BoxId, u64)> = old.map(|(key, _)| *key).collect();
        for key in keys {
            self.drop_lease(key);
            self.ledger.expired += 1;
        }
    }

    fn sign(&mut self, now: Time) {
        if now.since(self.signed) < HEARTBEAT_INTERVAL_MS {
            return;
        }
        self.signed = now;
        let mut ids: BTreeMap<BoxId, Vec<u64>> = BTreeMap::new();
        for waiting in self.queues.values().flat_map(Queue::iter) {
            // One number is enough: the message says that the owner lives.
            ids.entry(waiting.from).or_insert_with(|| vec![waiting.ask.id]);
        }
        for (to, ids) in ids {
            self.out.push(Decision::Send(to, Message::Queued(self.id, ids)));
        }
    }

    fn finish(&mut self, now: Time) -> Vec<Decision> {
        self.dispatch(now);
        if !self.ledger.is_balanced(self.leases.len()) {
            let detail = format!("{:?} held={}", self.ledger, self.leases.len());
            self.broken(Event::LeaseCountBroken, &detail);
        }
        std::mem::take(&mut self.out)
    }

    fn note_report(&mut self, lease: &Lease, report: &Report, now: Time) {
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
        self.out.push(Decision::Log(event, detail));
    }
}

impl Scheduler for Shard {
    fn request_slot(&mut self, from: BoxId, ask: SlotRequest, now: Time) -> Vec<Decision> {
        // A lessee that hears nothing asks again, and the network may deliver twice: say the same again.
        if let Some(lease) = self.leases.get(&(from, ask.id)) {
            let (server, waited) = (lease.server, lease.waited);
            self.out.push(Decision::Send(from, Message::Grant { shard: self.id, id: ask.id, server, waited }));
            return std::mem::take(&mut self.out);
        }
        if self.queues.get(&ask.class).is_some_and(|q| q.contains(from, ask.id)) {
            self.out.push(Decision::Send(from, Message::Queued(self.id, vec![ask.id])));
            return std::mem::take(&mut self.out);
        }
        if let Err(refusal) = self.admit(&ask, now) {
            self.out.push(Decision::Send(from, Message::Refuse(self.id, ask.id, refusal)));
            return self.finish(now);
        }
        let (class, id) = (ask.class, ask.id);
        let arrived = Time(now.0.saturating_sub(u64::from(ask.age_ms)));
        let waiting = QueuedRequest { from, ask, arrived };
        self.queues.entry(class).or_default().push(waiting);
        self.dispatch(now);
        if self.queues[&class].contains(from, id) {
            self.out.push(Decision::Send(from, Message::Queued(self.id, vec![id])));
        }
        self.finish(now)
    }

    fn cancel(&mut self, from: BoxId, id: u64, now: Time) -> Vec<Decision> {
        for queue in self.queues.values_mut() {
            if queue.remove(from, id).is_some() {
                break;
            }
        }
        if self.drop_lease((from, id)).is_some() {
            self.ledger.returned += 1;
        }
        self.finish(now)
    }

    fn return_lease(&mut self, from: BoxId, back: &LeaseReturn, now: Time) -> Vec<Decision> {
        if let Some(lease) = self.drop_lease((from, back.id)) {
            self.ledger.returned += 1;
            self.note_report(&lease, &back.report, now);
        }
        self.finish(now)
    }

    fn on_load_report(&mut self, server: ServerId, load: Load, now: Time) -> Vec<Decision> {
        for known in self.servers.iter_mut().filter(|s| s.id == server) {
            if load.leaving && !known.is_leaving() {
                self.out.push(Decision::Log(Event::UpstreamLeaving, format!("upstream={} by=word", known.name)));
            }
            known.record_load(load, now);
        }
        self.finish(now)
    }

    fn tick(&mut self, now: Time) -> Vec<Decision> {
        self.note_had(now);
        self.end_recovery(now);
        self.expire(now);
        self.refuse_late(now);
        if now.since(self.faded) >= FADE_MS {
            self.faded = now;
            self.queues.values_mut().for_each(Queue::decay_debts);
        }
        self.sign(now);
        self.finish(now)
    }

    fn renew_all(&mut self, now: Time) {
        self.leases.values_mut().for_each(|lease| lease.renewed = now);
    }

    fn set_leaving(&mut self, server: ServerId, leaving: bool) {
        for known in self.servers.iter_mut().filter(|s| s.id == server) {
            if leaving && !known.is_leaving() {
                self.out.push(Decision::Log(Event::UpstreamLeaving, format!("upstream={} by=list", known.name)));
            }
            known.leaving_by_membership = leaving;
        }
    }

    fn queue_len(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }
}
