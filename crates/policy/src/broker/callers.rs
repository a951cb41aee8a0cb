//! What callers want of a broker: slots, and an end to them.

use super::*;

impl Broker {
    /// A caller's request wants a slot. The answer comes as an action with the number given back.
    pub fn acquire(&mut self, acquire: Acquire, now: Time) -> (u64, Vec<Action>) {
        self.wake(now);
        let id = self.lessee.next_id();
        if let Err(reason) = self.may_try(acquire.cause) {
            self.out.push(Action::Refused(id, Refusal { reason, retry_ms: 1_000 }));
            return (id, self.drain(now));
        }
        let ask = SlotRequest {
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
        let pending = Pending {
            ask,
            serves: acquire.serves,
            shard: ShardId::default(),
            owner: self.me,
            local: false,
            sent: now,
            asked: now,
            heard: None,
            arrived: acquire.arrived,
            spill: None,
            spilled: now,
            tried: Vec::new(),
            refusal: None,
        };
        self.lessee.pending.insert(id, pending);
        self.route(id, now);
        (id, self.drain(now))
    }

    fn may_try(&mut self, cause: Cause) -> Result<(), Reason> {
        match cause {
            Cause::First => self.budget.record_first_attempt(),
            Cause::Failure if !self.budget.try_spend() => return Err(Reason::NoBudget),
            Cause::Failure | Cause::Recall => {}
        }
        Ok(())
    }

    /// A caller's request has come in: true unless its customer's limit is reached.
    #[must_use]
    pub fn admit_request(&mut self, customer: CustomerId, now: Time) -> bool {
        let quota = self.layout.quota(customer);
        self.meter.admit(customer, quota, now)
    }

    /// A caller's request that had entered has ended with `tokens` tokens.
    pub fn finish_request(&mut self, customer: CustomerId, tokens: u64, now: Time) {
        self.meter.finish(customer, tokens, now);
    }

    /// The caller went away while its request waited, or before its lease was used.
    pub fn abandon(&mut self, id: u64, now: Time) -> Vec<Action> {
        self.wake(now);
        if let Some(pending) = self.lessee.pending.remove(&id) {
            self.cancel(&pending, now);
        }
        let unused = Report { unused: true, ..Report::default() };
        self.return_held_lease(id, unused, now);
        self.drain(now)
    }

    /// A lease is no longer needed.
    pub fn return_lease(&mut self, id: u64, report: Report, now: Time) -> Vec<Action> {
        self.wake(now);
        self.return_held_lease(id, report, now);
        self.drain(now)
    }

    fn return_held_lease(&mut self, id: u64, report: Report, now: Time) {
        let Some(grant) = self.lessee.held.remove(&id) else { return };
        let back = LeaseReturn { id, report };
        if grant.local {
            let said = self.local.get_mut(&grant.shard).map(|d| d.return_lease(self.me, &back, now));
            self.carry_out_local(said.unwrap_or_default());
        } else {
            self.tell(grant.granter, Message::Return(grant.shard, vec![back.clone()]));
        }
        // A new owner may have been told of this lease meanwhile.
        let owner = self.owner_of(grant.shard).filter(|o| *o != grant.granter || grant.local);
        if let (Some(owner), SchedulingMode::Owner) = (owner, self.mode) {
            self.tell(owner, Message::Return(grant.shard, vec![back]));
        }
    }

    pub(super) fn cancel(&mut self, pending: &Pending, now: Time) {
        if let Some((shard, owner)) = pending.spill {
            self.tell(owner, Message::Cancel(shard, pending.ask.id));
        }
        if !pending.local {
            self.tell(pending.owner, Message::Cancel(pending.shard, pending.ask.id));
            return;
        }
        let said = self.local.get_mut(&pending.shard).map(|d| d.cancel(self.me, pending.ask.id, now));
        self.carry_out_local(said.unwrap_or_default());
    }

    /// Finds the next hall for an ask: its own first, then others; refuses when none is left.
    pub(super) fn route(&mut self, id: u64, now: Time) {
        let Some(pending) = self.lessee.pending.get(&id) else { return };
        let own = self.layout.shards_in(&self.hall, &pending.serves);
        let own_tried = pending.tried.contains(&self.hall);
        if !own.is_empty() && !own_tried {
            let shard = self.home_shard(own, id);
            self.place(id, shard, now);
            return;
        }
        match self.spill_shard(pending) {
            Some(shard) => self.send_ask(id, shard, now),
            None => self.refuse(id),
        }
    }

    /// The shard of a pool that this box uses.
    ///
    /// Where boxes are many, each keeps to one shard, so that it has leases to renew at few owners; in the
    /// order of their names they are dealt out evenly. Where they are few, each uses all in turn.
    fn home_shard(&self, shards: &[ShardId], id: u64) -> ShardId {
        let boxes = self.hall_boxes();
        let place = boxes.iter().position(|b| *b == self.me);
        let many = boxes.len() >= HOME_BOXES * shards.len();
        let turn = place.filter(|_| many).unwrap_or(id as usize);
        shards[turn % shards.len()]
    }

    /// Asks another hall as well for what has waited a part of its target in its own. The first grant wins.
    pub(super) fn spill_over(&mut self, now: Time) {
        if self.mode != SchedulingMode::Owner || self.layout.shards.len() < 2 {
            return;
        }
        let pressed = |p: &Pending| {
            let target = self.layout.class(p.ask.class).first_token_ms;
            let wait = (target / SPILL_DIVISOR).clamp(SPILL_LEAST_MS, SPILL_MOST_MS);
            !p.ask.remote && p.spill.is_none() && now.since(p.spilled) >= wait
        };
        let ids: Vec<u64> = self.lessee.pending.iter().filter(|(_, p)| pressed(p)).map(|(id, _)| *id).collect();
        for id in ids {
            self.spill_one(id, now);
        }
    }

    fn spill_one(&mut self, id: u64, now: Time) {
        let Some(pending) = self.lessee.pending.get(&id) else { return };
        let turn = pending.ask.id.wrapping_add(now.0 / SPILL_LEAST_MS);
        let target = self.other_hall(pending, turn).and_then(|shard| Some((shard, self.owner_of(shard)?)));
        let Some(pending) = self.lessee.pending.get_mut(&id) else { return };
        pending.spilled = now;
        let Some((shard, owner)) = target else { return };
        pending.spill = Some((shard, owner));
        let age_ms = now.since(pending.arrived) as u32;
        let ask = SlotRequest { remote: true, age_ms, ..pending.ask.clone() };
        self.tell(owner, Message::RequestSlot(shard, ask));
    }

    /// The other hall no longer needs to answer.
    fn drop_spill(&mut self, id: u64) {
        let spill = self.lessee.pending.get_mut(&id).and_then(|p| p.spill.take());
        if let Some((shard, owner)) = spill {
            self.tell(owner, Message::Cancel(shard, id));
        }
    }

    /// A shard of another hall that is in reach and hasn't refused the request.
    fn other_hall(&self, pending: &Pending, turn: u64) -> Option<ShardId> {
        let halls = self.layout.halls_for(&pending.serves);
        let open = |hall: &&&str| {
            **hall != self.hall
                && !pending.tried.iter().any(|t| t == **hall)
                && self.boxes.get(**hall).is_some_and(|b| !b.is_empty())
        };
        let open: Vec<&&str> = halls.iter().filter(open).collect();
        let hall = open.get(turn as usize % open.len().max(1))?;
        let shards = self.layout.shards_in(hall, &pending.serves);
        shards.get(turn as usize % shards.len().max(1)).copied()
    }

    fn spill_shard(&self, pending: &Pending) -> Option<ShardId> {
        let others_tried = pending.tried.iter().filter(|h| **h != self.hall).count();
        if self.mode != SchedulingMode::Owner || others_tried >= SPILL_MOST {
            return None;
        }
        self.other_hall(pending, pending.ask.id)
    }

    pub(super) fn refuse(&mut self, id: u64) {
        let Some(pending) = self.lessee.pending.remove(&id) else { return };
        let none = Refusal { reason: Reason::NoServer, retry_ms: 1_000 };
        self.out.push(Action::Refused(id, pending.refusal.unwrap_or(none)));
    }

    /// Puts an ask where it can be decided in this hall: at the owner, or at this box alone.
    fn place(&mut self, id: u64, shard: ShardId, now: Time) {
        let avoided = self.avoided.get(&shard).is_some_and(|until| now < *until);
        let reachable = self.owner_of(shard).is_some();
        if self.mode == SchedulingMode::Owner && reachable && !avoided {
            self.send_ask(id, shard, now);
        } else {
            self.ask_local(id, shard, now);
        }
    }

    pub(super) fn send_ask(&mut self, id: u64, shard: ShardId, now: Time) {
        let Some(owner) = self.owner_of(shard) else { return };
        let remote = spec_hall(&self.layout, shard) != self.hall;
        self.drop_spill(id);
        let Some(pending) = self.lessee.pending.get_mut(&id) else { return };
        pending.shard = shard;
        pending.owner = owner;
        pending.local = false;
        pending.sent = now;
        pending.asked = now;
        pending.heard = None;
        pending.ask.remote = remote;
        pending.ask.age_ms = now.since(pending.arrived) as u32;
        let ask = pending.ask.clone();
        self.tell(owner, Message::RequestSlot(shard, ask));
    }
}
