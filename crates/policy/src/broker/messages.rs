//! Messages between brokers.

use super::*;

impl Broker {
    /// Handles a message from another box.
    pub fn receive(&mut self, from: BoxId, message: Message, now: Time) -> Vec<Action> {
        self.check_for_pause(now);
        self.inbox.push_back((from, message));
        self.drain(now)
    }

    pub(super) fn drain(&mut self, now: Time) -> Vec<Action> {
        while let Some((from, message)) = self.inbox.pop_front() {
            self.handle_message(from, message, now);
        }
        std::mem::take(&mut self.actions)
    }

    pub(super) fn send(&mut self, to: BoxId, message: Message) {
        if to == self.me {
            self.inbox.push_back((to, message));
        } else {
            self.actions.push(Action::Send(to, message));
        }
    }

    pub(super) fn apply_decisions(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Send(to, message) => self.send(to, message),
                Decision::Log(event, detail) => self.actions.push(Action::Log(event, detail)),
            }
        }
    }

    /// Applies the decisions of a local scheduler. Leases that it grants are marked as local.
    pub(super) fn apply_local_decisions(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Send(_, Message::Grant { shard, id, server, waited }) => {
                    self.on_grant(self.me, true, (shard, id, server, waited));
                }
                Decision::Send(_, Message::Refuse(_, id, refusal)) => self.record_refusal(id, true, refusal),
                Decision::Send(_, Message::Recall(_, id)) => self.actions.push(Action::Recalled(id)),
                Decision::Send(..) => {}
                Decision::Log(event, detail) => self.actions.push(Action::Log(event, detail)),
            }
        }
    }

    fn handle_message(&mut self, from: BoxId, message: Message, now: Time) {
        if let Message::Grant { shard, .. } | Message::Refuse(shard, ..) | Message::Queued(shard, _) = &message {
            // A box that grants, refuses or queues a request is a reachable owner.
            self.unresponsive_owners.remove(shard);
        }
        match message {
            Message::RequestSlot(shard, _) | Message::Renew { shard, .. } if !self.ensure_owning(shard, now) => {}
            Message::RequestSlot(shard, request) => {
                self.with_owned_shard(shard, |s| s.request_slot(from, request, now));
            }
            Message::Cancel(shard, id) => self.with_owned_shard(shard, |s| s.cancel(from, id, now)),
            Message::Return(shard, returns) => {
                for returned in returns {
                    self.with_owned_shard(shard, |s| s.return_lease(from, &returned, now));
                }
            }
            Message::Renew { shard, count, sum } => self.with_owned_shard(shard, |s| s.renew(from, count, sum, now)),
            Message::Holding(shard, leases) => self.with_owned_shard(shard, |s| s.reconcile(from, &leases, now)),
            Message::Queued(shard, ids) => self.on_queued(from, shard, &ids, now),
            Message::Grant { shard, id, server, .. }
                if self.leaving_servers.contains(&server) && self.lessee.pending.contains_key(&id) =>
            {
                self.decline_grant(from, shard, id, server, now);
            }
            Message::Grant { shard, id, server, waited } => {
                self.on_grant(from, false, (shard, id, server, waited));
            }
            Message::Refuse(shard, id, refusal) => {
                let waits_there = self.lessee.pending.get(&id).is_some_and(|p| p.shard == shard && !p.local);
                if waits_there {
                    self.record_refusal(id, false, refusal);
                    self.route_after_refusal(id, now);
                } else if let Some(pending) = self.lessee.pending.get_mut(&id) {
                    // The other hall has no room. It may be asked again later.
                    pending.spillover = pending.spillover.filter(|(asked, _)| *asked != shard);
                }
            }
            Message::Recover(shard) => {
                let leases = self.lessee.leases_of(shard);
                self.send(from, Message::Holding(shard, leases));
            }
            Message::Recall(_, id) => {
                if self.lessee.leases.contains_key(&id) {
                    self.actions.push(Action::Recalled(id));
                }
            }
            Message::Leaving(_, server) => self.mark_server_leaving(server, true),
            Message::Claim(number, claim) => {
                let verdict = self.key_history.claim(&claim, now);
                self.send(from, Message::Verdict(number, verdict));
            }
            Message::Verdict(number, verdict) => self.on_verdict(from, number, verdict, now),
            Message::Unclaim(claim) => self.key_history.unclaim(&claim),
            Message::Usage(usages) => {
                let others = self.usage_table.record(from, &usages, now);
                self.send(from, Message::Others(others));
            }
            Message::Others(usages) => self.usage_meter.record_others(&usages, now),
        }
    }

    /// Returns true if this box owns the shard or can take it over. A box that receives a request acts as
    /// owner even if its own view names another one, since views may differ for a while.
    fn ensure_owning(&mut self, shard: ShardId, now: Time) -> bool {
        if self.owned.contains_key(&shard) {
            return true;
        }
        if shard_hall(&self.layout, shard) == self.hall {
            self.start_owning(shard, now);
        }
        self.owned.contains_key(&shard)
    }

    pub(super) fn with_owned_shard(&mut self, shard: ShardId, act: impl FnOnce(&mut Shard) -> Vec<Decision>) {
        let decisions = self.owned.get_mut(&shard).map(act);
        self.apply_decisions(decisions.unwrap_or_default());
    }

    fn on_queued(&mut self, from: BoxId, shard: ShardId, ids: &[u64], now: Time) {
        let same = |p: &&mut PendingRequest| p.shard == shard && p.owner == from && !p.local;
        for pending in self.lessee.pending.values_mut().filter(same) {
            // A heartbeat counts for all requests that wait there, but each must have been confirmed by its
            // id once.
            if pending.confirmed.is_some() || ids.contains(&pending.request.id) {
                pending.confirmed = Some(now);
            }
        }
    }

    fn on_grant(&mut self, from: BoxId, local: bool, grant: (ShardId, u64, ServerId, u32)) {
        let (shard, id, server, waited) = grant;
        if self.lessee.leases.get(&id).is_some_and(|lease| lease.granter == from && lease.shard == shard) {
            // A duplicate of the same grant.
            return;
        }
        let Some(pending) = self.lessee.pending.remove(&id) else {
            // Granted after the request was abandoned, or after another owner was faster: return it unused.
            let report = Report { unused: true, ..Report::default() };
            self.send(from, Message::Return(shard, vec![LeaseReturn { id, report }]));
            return;
        };
        if pending.local && !local {
            let decisions =
                self.local_schedulers.get_mut(&pending.shard).map(|s| s.cancel(self.me, id, self.last_tick));
            self.apply_local_decisions(decisions.unwrap_or_default());
        }
        if !pending.local && (pending.owner != from || pending.shard != shard) {
            self.send(pending.owner, Message::Cancel(pending.shard, id));
        }
        if let Some((other, owner)) = pending.spillover.filter(|(other, _)| *other != shard) {
            self.send(owner, Message::Cancel(other, id));
        }
        let info = LeaseInfo {
            id,
            server,
            class: pending.request.class,
            customer: pending.request.customer,
            resumable: pending.request.resumable,
        };
        self.lessee.leases.insert(id, HeldLease { shard, granter: from, local, info });
        // A lower bound of the time of the grant, however messages were delayed or duplicated.
        let granted = pending.arrived.after(u64::from(waited));
        let expires = granted.after(crate::shard::LEASE_TTL_MS);
        self.actions.push(Action::Granted { id, shard, granter: from, server, expires });
    }

    /// Returns a grant on a leaving server and sends the request again. The owner did not know that the
    /// server is leaving.
    fn decline_grant(&mut self, from: BoxId, shard: ShardId, id: u64, server: ServerId, now: Time) {
        let report = Report { unused: true, ..Report::default() };
        self.send(from, Message::Leaving(shard, server));
        self.send(from, Message::Return(shard, vec![LeaseReturn { id, report }]));
        let Some(pending) = self.lessee.pending.get_mut(&id) else { return };
        pending.request.avoid = Some(server);
        self.send_request(id, shard, now);
    }

    /// Marks a server as leaving or back, as reported by the membership list or by a box that has read it.
    pub fn set_upstream_leaving(&mut self, server: ServerId, leaving: bool, now: Time) -> Vec<Action> {
        self.mark_server_leaving(server, leaving);
        self.drain(now)
    }

    fn mark_server_leaving(&mut self, server: ServerId, leaving: bool) {
        let changed = if leaving { self.leaving_servers.insert(server) } else { self.leaving_servers.remove(&server) };
        if !changed {
            return;
        }
        self.owned.values_mut().for_each(|s| s.set_leaving(server, leaving));
        self.local_schedulers.values_mut().for_each(|s| s.set_leaving(server, leaving));
    }

    fn record_refusal(&mut self, id: u64, local: bool, refusal: Refusal) {
        let Some(pending) = self.lessee.pending.get_mut(&id) else { return };
        pending.refusal.get_or_insert(refusal);
        if local {
            self.refuse_request(id);
        }
    }

    /// Routes a request on after a refusal. Another hall may still meet its target, unless it has already
    /// waited too long.
    fn route_after_refusal(&mut self, id: u64, now: Time) {
        let Some(pending) = self.lessee.pending.get_mut(&id) else { return };
        let hall = shard_hall(&self.layout, pending.shard).to_owned();
        pending.tried_halls.push(hall);
        if pending.refusal.is_some_and(|r| r.reason == Reason::Late) {
            self.refuse_request(id);
        } else {
            self.route(id, now);
        }
    }
}
