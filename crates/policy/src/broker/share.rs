//! A box's own share of a shard whose owner is out of reach.

use super::*;

impl Broker {
    pub(super) fn ask_local(&mut self, id: u64, shard: ShardId, now: Time) {
        if !self.local.contains_key(&shard) && !self.open_local(shard) {
            self.refuse(id);
            return;
        }
        let Some(pending) = self.lessee.pending.get_mut(&id) else { return };
        pending.shard = shard;
        pending.owner = self.me;
        pending.local = true;
        pending.sent = now;
        pending.ask.remote = false;
        pending.ask.age_ms = now.since(pending.arrived) as u32;
        let ask = pending.ask.clone();
        let said = self.local.get_mut(&shard).map(|d| d.request_slot(self.me, ask, now));
        self.carry_out_local(said.unwrap_or_default());
    }

    fn open_local(&mut self, shard: ShardId) -> bool {
        let Some(spec) = self.layout.shards.get(&shard) else { return false };
        let layout = Rc::clone(&self.layout);
        let mut decider: Box<dyn Scheduler> = match self.mode {
            SchedulingMode::Uncoordinated(discipline) => {
                let seed = u64::from(self.me.0) ^ u64::from(shard.0);
                Box::new(TwoChoices::new(spec, layout, discipline, seed))
            }
            SchedulingMode::Owner => {
                let mut own = Shard::new(spec, layout);
                own.set_servers(spec, |upstream, id| self.own_slots(upstream.slots, id));
                own.servers.iter_mut().for_each(|s| s.slot_limit = f64::from(s.slots));
                let detail = format!("shard={shard} slots={}", own.servers.iter().map(|s| s.slots).sum::<u32>());
                self.out.push(Action::Log(Event::LocalFallback, detail));
                Box::new(own)
            }
        };
        self.leaving.iter().for_each(|server| decider.set_leaving(*server, true));
        self.local.insert(shard, decider);
        true
    }

    /// Each slot belongs to one live box of the hall when no owner is in reach, so shares don't overlap.
    fn own_slots(&self, slots: u32, server: ServerId) -> u32 {
        let boxes = self.hall_boxes();
        let thing = |slot: u32| (u64::from(server.0) << 16) | u64::from(slot);
        (0..slots).filter(|slot| owner(thing(*slot), boxes) == Some(self.me)).count() as u32
    }

    /// Shares change with the boxes that are alive; one that isn't in use is made anew when needed.
    pub(super) fn resize_local(&mut self) {
        if self.mode != SchedulingMode::Owner {
            return;
        }
        let used: Vec<ShardId> = self.lessee.held.values().filter(|g| g.local).map(|g| g.shard).collect();
        let waits = |id: &ShardId| self.lessee.pending.values().any(|p| p.local && p.shard == *id);
        let idle: Vec<ShardId> = self.local.keys().filter(|id| !used.contains(id) && !waits(id)).copied().collect();
        for id in idle {
            self.local.remove(&id);
        }
    }

    /// What waits at the own share goes back to an owner that is in reach again.
    ///
    /// An owner that answered gets all of it; one whose silence is some time past gets one ask, to find out.
    pub(super) fn return_to_owners(&mut self, now: Time) {
        if self.mode != SchedulingMode::Owner {
            return;
        }
        let shards: BTreeSet<ShardId> = self.lessee.pending.values().filter(|p| p.local).map(|p| p.shard).collect();
        for shard in shards {
            if self.owner_of(shard).is_none() {
                continue;
            }
            match self.avoided.get(&shard).copied() {
                None => self.return_asks(shard, usize::MAX, now),
                Some(until) if now >= until => {
                    self.avoided.insert(shard, now.after(AVOID_MS));
                    self.return_asks(shard, 1, now);
                }
                Some(_) => {}
            }
        }
    }

    fn return_asks(&mut self, shard: ShardId, most: usize, now: Time) {
        let here = self.lessee.pending.iter().filter(|(_, p)| p.local && p.shard == shard);
        let ids: Vec<u64> = here.map(|(id, _)| *id).take(most).collect();
        for id in ids {
            let said = self.local.get_mut(&shard).map(|d| d.cancel(self.me, id, now));
            self.carry_out_local(said.unwrap_or_default());
            // Its place may have come up just now.
            if self.lessee.pending.get(&id).is_some_and(|p| p.local) {
                self.send_ask(id, shard, now);
            }
        }
    }

    pub(super) fn fall_back(&mut self, now: Time) {
        let silent = |p: &Pending, target: u64| {
            let patience = FALLBACK_MS.min(target / FALLBACK_DIVISOR).max(1);
            match p.heard {
                None => now.since(p.sent) >= patience,
                Some(heard) => now.since(heard) >= SILENCE_MS,
            }
        };
        let gone: Vec<u64> = self
            .lessee
            .pending
            .iter()
            .filter(|(_, p)| !p.local && silent(p, self.layout.class(p.ask.class).first_token_ms))
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.pass_by_owner(id, now);
        }
    }

    /// Asks once more where an answer may have been lost; an owner says the same again.
    pub(super) fn ask_again(&mut self, now: Time) {
        let mut again = Vec::new();
        for pending in self.lessee.pending.values_mut().filter(|p| !p.local) {
            if now.since(pending.asked) < ASK_AGAIN_MS {
                continue;
            }
            pending.asked = now;
            pending.ask.age_ms = now.since(pending.arrived) as u32;
            again.push((pending.owner, Message::RequestSlot(pending.shard, pending.ask.clone())));
        }
        for (owner, message) in again {
            self.tell(owner, message);
        }
    }

    fn pass_by_owner(&mut self, id: u64, now: Time) {
        let Some(pending) = self.lessee.pending.get_mut(&id) else { return };
        let (shard, owner) = (pending.shard, pending.owner);
        let hall = spec_hall(&self.layout, shard).to_owned();
        if hall != self.hall {
            pending.tried.push(hall);
        }
        let own_hall = !pending.ask.remote;
        self.tell(owner, Message::Cancel(shard, id));
        if own_hall {
            self.avoided.insert(shard, now.after(AVOID_MS));
            self.ask_local(id, shard, now);
        } else {
            self.route(id, now);
        }
    }
}
