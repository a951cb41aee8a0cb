//! Callers' requests: acquiring and returning slots.

use super::*;

impl Broker {
    /// Requests a slot for a caller. The result comes as an action with the returned id.
    pub fn acquire(&mut self, acquire: Acquire, now: Time) -> (u64, Vec<Action>) {
        self.check_for_pause(now);
        let id = self.lessee.next_id();
        if let Err(reason) = self.check_retry_budget(acquire.cause) {
            self.actions.push(Action::Refused(id, Refusal { reason, retry_ms: 1_000 }));
            return (id, self.drain(now));
        }
        let request = SlotRequest {
            id,
            class: acquire.class,
            customer: acquire.customer,
            tokens: acquire.tokens,
            prefix: acquire.prefix,
            age_ms: 0,
            resumable: acquire.resumable,
            begun: acquire.cause != Cause::First,
            remote: false,
            avoid: acquire.avoid,
        };
        let pending = PendingRequest {
            request,
            serves: acquire.serves,
            shard: ShardId::default(),
            owner: self.me,
            local: false,
            first_sent: now,
            last_sent: now,
            confirmed: None,
            arrived: acquire.arrived,
            spillover: None,
            last_spillover: now,
            tried_halls: Vec::new(),
            refusal: None,
        };
        self.lessee.pending.insert(id, pending);
        self.route(id, now);
        (id, self.drain(now))
    }

    fn check_retry_budget(&mut self, cause: Cause) -> Result<(), Reason> {
        match cause {
            Cause::First => self.retry_budget.record_first_attempt(),
            Cause::Failure if !self.retry_budget.try_spend() => return Err(Reason::NoBudget),
            Cause::Failure | Cause::Recall => {}
        }
        Ok(())
    }

    /// Admits a caller's request. Returns false if its customer's limit is reached.
    #[must_use]
    pub fn admit_request(&mut self, customer: CustomerId, now: Time) -> bool {
        let quota = self.layout.quota(customer);
        self.usage_meter.admit(customer, quota, now)
    }

    /// Records the end of an admitted request that used `tokens` tokens.
    pub fn finish_request(&mut self, customer: CustomerId, tokens: u64, now: Time) {
        self.usage_meter.finish(customer, tokens, now);
    }

    /// Drops a request whose caller went away while it waited, or before its lease was used.
    pub fn abandon(&mut self, id: u64, now: Time) -> Vec<Action> {
        self.check_for_pause(now);
        if let Some(pending) = self.lessee.pending.remove(&id) {
            self.cancel_request(&pending, now);
        }
        let unused = Report { unused: true, ..Report::default() };
        self.return_held_lease(id, unused, now);
        self.drain(now)
    }

    /// Returns a lease that is no longer needed.
    pub fn return_lease(&mut self, id: u64, report: Report, now: Time) -> Vec<Action> {
        self.check_for_pause(now);
        self.return_held_lease(id, report, now);
        self.drain(now)
    }

    fn return_held_lease(&mut self, id: u64, report: Report, now: Time) {
        let Some(lease) = self.lessee.leases.remove(&id) else { return };
        let returned = LeaseReturn { id, report };
        if lease.local {
            let decisions =
                self.local_schedulers.get_mut(&lease.shard).map(|s| s.return_lease(self.me, &returned, now));
            self.apply_local_decisions(decisions.unwrap_or_default());
        } else {
            self.send(lease.granter, Message::Return(lease.shard, vec![returned.clone()]));
        }
        // A new owner may have learned of this lease meanwhile.
        let owner = self.owner_of(lease.shard).filter(|o| *o != lease.granter || lease.local);
        if let (Some(owner), SchedulingMode::Owner) = (owner, self.mode) {
            self.send(owner, Message::Return(lease.shard, vec![returned]));
        }
    }

    pub(super) fn cancel_request(&mut self, pending: &PendingRequest, now: Time) {
        if let Some((shard, owner)) = pending.spillover {
            self.send(owner, Message::Cancel(shard, pending.request.id));
        }
        if !pending.local {
            self.send(pending.owner, Message::Cancel(pending.shard, pending.request.id));
            return;
        }
        let decisions =
            self.local_schedulers.get_mut(&pending.shard).map(|s| s.cancel(self.me, pending.request.id, now));
        self.apply_local_decisions(decisions.unwrap_or_default());
    }

    /// Finds the next hall for a request: its own first, then others. Refuses the request when none is left.
    pub(super) fn route(&mut self, id: u64, now: Time) {
        let Some(pending) = self.lessee.pending.get(&id) else { return };
        let own = self.layout.shards_in(&self.hall, &pending.serves);
        let own_tried = pending.tried_halls.contains(&self.hall);
        if !own.is_empty() && !own_tried {
            let shard = self.shard_for_request(own, id);
            self.schedule_in_hall(id, shard, now);
            return;
        }
        match self.next_hall_shard(pending) {
            Some(shard) => self.send_request(id, shard, now),
            None => self.refuse_request(id),
        }
    }

    /// Returns the shard of a pool that this box uses.
    ///
    /// With many boxes, each keeps to one shard, so that it has leases to renew at few owners; the boxes are
    /// spread evenly by their position in the hall's list. With few boxes, each uses all shards in turn.
    fn shard_for_request(&self, shards: &[ShardId], id: u64) -> ShardId {
        let boxes = self.hall_boxes();
        let position = boxes.iter().position(|b| *b == self.me);
        let has_affinity = boxes.len() >= MIN_AFFINITY_BOXES_PER_SHARD * shards.len();
        let turn = position.filter(|_| has_affinity).unwrap_or(id as usize);
        shards[turn % shards.len()]
    }

    /// Also requests a slot in another hall for each request that has waited for a fraction of its target in
    /// its own. The first grant wins.
    pub(super) fn start_spillovers(&mut self, now: Time) {
        if self.mode != SchedulingMode::Owner || self.layout.shards.len() < 2 {
            return;
        }
        let is_due = |p: &PendingRequest| {
            let target = self.layout.class(p.request.class).first_token_ms;
            let wait = (target / SPILLOVER_TARGET_DIVISOR).clamp(MIN_SPILLOVER_DELAY_MS, MAX_SPILLOVER_DELAY_MS);
            !p.request.remote && p.spillover.is_none() && now.since(p.last_spillover) >= wait
        };
        let ids: Vec<u64> = self.lessee.pending.iter().filter(|(_, p)| is_due(p)).map(|(id, _)| *id).collect();
        for id in ids {
            self.start_spillover(id, now);
        }
    }

    fn start_spillover(&mut self, id: u64, now: Time) {
        let Some(pending) = self.lessee.pending.get(&id) else { return };
        let turn = pending.request.id.wrapping_add(now.0 / MIN_SPILLOVER_DELAY_MS);
        let target = self.shard_in_other_hall(pending, turn).and_then(|shard| Some((shard, self.owner_of(shard)?)));
        let Some(pending) = self.lessee.pending.get_mut(&id) else { return };
        pending.last_spillover = now;
        let Some((shard, owner)) = target else { return };
        pending.spillover = Some((shard, owner));
        let age_ms = now.since(pending.arrived) as u32;
        let request = SlotRequest { remote: true, age_ms, ..pending.request.clone() };
        self.send(owner, Message::RequestSlot(shard, request));
    }

    /// Withdraws the request that was sent to another hall in addition.
    fn cancel_spillover(&mut self, id: u64) {
        let spillover = self.lessee.pending.get_mut(&id).and_then(|p| p.spillover.take());
        if let Some((shard, owner)) = spillover {
            self.send(owner, Message::Cancel(shard, id));
        }
    }

    /// Returns a shard of another hall that is reachable and has not refused the request.
    fn shard_in_other_hall(&self, pending: &PendingRequest, turn: u64) -> Option<ShardId> {
        let halls = self.layout.halls_for(&pending.serves);
        let available = |hall: &&&str| {
            **hall != self.hall
                && !pending.tried_halls.iter().any(|t| t == **hall)
                && self.boxes.get(**hall).is_some_and(|b| !b.is_empty())
        };
        let available: Vec<&&str> = halls.iter().filter(available).collect();
        let hall = available.get(turn as usize % available.len().max(1))?;
        let shards = self.layout.shards_in(hall, &pending.serves);
        shards.get(turn as usize % shards.len().max(1)).copied()
    }

    fn next_hall_shard(&self, pending: &PendingRequest) -> Option<ShardId> {
        let others_tried = pending.tried_halls.iter().filter(|h| **h != self.hall).count();
        if self.mode != SchedulingMode::Owner || others_tried >= MAX_OTHER_HALLS {
            return None;
        }
        self.shard_in_other_hall(pending, pending.request.id)
    }

    pub(super) fn refuse_request(&mut self, id: u64) {
        let Some(pending) = self.lessee.pending.remove(&id) else { return };
        let no_server = Refusal { reason: Reason::NoServer, retry_ms: 1_000 };
        self.actions.push(Action::Refused(id, pending.refusal.unwrap_or(no_server)));
    }

    /// Requests a slot in this hall, from the shard's owner or from the local scheduler.
    fn schedule_in_hall(&mut self, id: u64, shard: ShardId, now: Time) {
        let in_backoff = self.unresponsive_owners.get(&shard).is_some_and(|until| now < *until);
        let reachable = self.owner_of(shard).is_some();
        if self.mode == SchedulingMode::Owner && reachable && !in_backoff {
            self.send_request(id, shard, now);
        } else {
            self.request_local_slot(id, shard, now);
        }
    }

    pub(super) fn send_request(&mut self, id: u64, shard: ShardId, now: Time) {
        let Some(owner) = self.owner_of(shard) else { return };
        let remote = shard_hall(&self.layout, shard) != self.hall;
        self.cancel_spillover(id);
        let Some(pending) = self.lessee.pending.get_mut(&id) else { return };
        pending.shard = shard;
        pending.owner = owner;
        pending.local = false;
        pending.first_sent = now;
        pending.last_sent = now;
        pending.confirmed = None;
        pending.request.remote = remote;
        pending.request.age_ms = now.since(pending.arrived) as u32;
        let request = pending.request.clone();
        self.send(owner, Message::RequestSlot(shard, request));
    }
}
