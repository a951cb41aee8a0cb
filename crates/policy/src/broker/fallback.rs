//! Fallback scheduling: a box's own share of a shard whose owner is unreachable.

use super::*;

impl Broker {
    pub(super) fn request_local_slot(&mut self, id: u64, shard: ShardId, now: Time) {
        if !self.local_schedulers.contains_key(&shard) && !self.open_local_scheduler(shard) {
            self.refuse_request(id);
            return;
        }
        let Some(pending) = self.lessee.pending.get_mut(&id) else { return };
        pending.shard = shard;
        pending.owner = self.me;
        pending.local = true;
        pending.first_sent = now;
        pending.request.remote = false;
        pending.request.age_ms = now.since(pending.arrived) as u32;
        let request = pending.request.clone();
        let decisions = self.local_schedulers.get_mut(&shard).map(|s| s.request_slot(self.me, request, now));
        self.apply_local_decisions(decisions.unwrap_or_default());
    }

    fn open_local_scheduler(&mut self, shard: ShardId) -> bool {
        let Some(spec) = self.layout.shards.get(&shard) else { return false };
        let layout = Rc::clone(&self.layout);
        let mut scheduler: Box<dyn Scheduler> = match self.mode {
            SchedulingMode::Uncoordinated(discipline) => {
                let seed = u64::from(self.me.0) ^ u64::from(shard.0);
                Box::new(TwoChoices::new(spec, layout, discipline, seed))
            }
            SchedulingMode::Owner => {
                let mut share = Shard::new(spec, layout);
                share.set_servers(spec, |upstream, id| self.local_slots(upstream.slots, id));
                share.servers.iter_mut().for_each(|s| s.slot_limit = f64::from(s.slots));
                let detail = format!("shard={shard} slots={}", share.servers.iter().map(|s| s.slots).sum::<u32>());
                self.actions.push(Action::Log(Event::LocalFallback, detail));
                Box::new(share)
            }
        };
        self.leaving_servers.iter().for_each(|server| scheduler.set_leaving(*server, true));
        self.local_schedulers.insert(shard, scheduler);
        true
    }

    /// Returns the number of this box's slots of a server. Without a reachable owner, each slot belongs to
    /// one live box of the hall, so that the boxes' shares do not overlap.
    fn local_slots(&self, slots: u32, server: ServerId) -> u32 {
        let boxes = self.hall_boxes();
        let key = |slot: u32| (u64::from(server.0) << 16) | u64::from(slot);
        (0..slots).filter(|slot| owner(key(*slot), boxes) == Some(self.me)).count() as u32
    }

    /// Drops local schedulers that are not in use. Shares change with the live boxes; a dropped scheduler is
    /// built anew when it is needed.
    pub(super) fn drop_idle_local_schedulers(&mut self) {
        if self.mode != SchedulingMode::Owner {
            return;
        }
        let used: Vec<ShardId> = self.lessee.leases.values().filter(|g| g.local).map(|g| g.shard).collect();
        let has_waiting = |id: &ShardId| self.lessee.pending.values().any(|p| p.local && p.shard == *id);
        let idle: Vec<ShardId> =
            self.local_schedulers.keys().filter(|id| !used.contains(id) && !has_waiting(id)).copied().collect();
        for id in idle {
            self.local_schedulers.remove(&id);
        }
    }

    /// Moves requests that wait in a local scheduler to an owner that is reachable again.
    ///
    /// An owner that has answered gets all of them; one whose back-off has passed gets a single request as a
    /// probe.
    pub(super) fn return_to_owners(&mut self, now: Time) {
        if self.mode != SchedulingMode::Owner {
            return;
        }
        let shards: BTreeSet<ShardId> = self.lessee.pending.values().filter(|p| p.local).map(|p| p.shard).collect();
        for shard in shards {
            if self.owner_of(shard).is_none() {
                continue;
            }
            match self.unresponsive_owners.get(&shard).copied() {
                None => self.move_to_owner(shard, usize::MAX, now),
                Some(until) if now >= until => {
                    self.unresponsive_owners.insert(shard, now.after(OWNER_RETRY_DELAY_MS));
                    self.move_to_owner(shard, 1, now);
                }
                Some(_) => {}
            }
        }
    }

    fn move_to_owner(&mut self, shard: ShardId, max_count: usize, now: Time) {
        let waiting = self.lessee.pending.iter().filter(|(_, p)| p.local && p.shard == shard);
        let ids: Vec<u64> = waiting.map(|(id, _)| *id).take(max_count).collect();
        for id in ids {
            let decisions = self.local_schedulers.get_mut(&shard).map(|s| s.cancel(self.me, id, now));
            self.apply_local_decisions(decisions.unwrap_or_default());
            // An earlier cancellation may have granted it a slot just now.
            if self.lessee.pending.get(&id).is_some_and(|p| p.local) {
                self.send_request(id, shard, now);
            }
        }
    }

    pub(super) fn bypass_silent_owners(&mut self, now: Time) {
        let silent = |p: &PendingRequest, target: u64| {
            let timeout = OWNER_TIMEOUT_MS.min(target / OWNER_TIMEOUT_TARGET_DIVISOR).max(1);
            match p.confirmed {
                None => now.since(p.first_sent) >= timeout,
                Some(at) => now.since(at) >= OWNER_SILENCE_TIMEOUT_MS,
            }
        };
        let unanswered: Vec<u64> = self
            .lessee
            .pending
            .iter()
            .filter(|(_, p)| !p.local && silent(p, self.layout.class(p.request.class).first_token_ms))
            .map(|(id, _)| *id)
            .collect();
        for id in unanswered {
            self.bypass_owner(id, now);
        }
    }

    /// Resends requests whose answer may have been lost. An owner answers a duplicate as it did before.
    pub(super) fn resend_requests(&mut self, now: Time) {
        let mut resends = Vec::new();
        for pending in self.lessee.pending.values_mut().filter(|p| !p.local) {
            if now.since(pending.last_sent) < RESEND_INTERVAL_MS {
                continue;
            }
            pending.last_sent = now;
            pending.request.age_ms = now.since(pending.arrived) as u32;
            resends.push((pending.owner, Message::RequestSlot(pending.shard, pending.request.clone())));
        }
        for (owner, message) in resends {
            self.send(owner, message);
        }
    }

    fn bypass_owner(&mut self, id: u64, now: Time) {
        let Some(pending) = self.lessee.pending.get_mut(&id) else { return };
        let (shard, owner) = (pending.shard, pending.owner);
        let hall = shard_hall(&self.layout, shard).to_owned();
        if hall != self.hall {
            pending.tried_halls.push(hall);
        }
        let own_hall = !pending.request.remote;
        self.send(owner, Message::Cancel(shard, id));
        if own_hall {
            self.unresponsive_owners.insert(shard, now.after(OWNER_RETRY_DELAY_MS));
            self.request_local_slot(id, shard, now);
        } else {
            self.route(id, now);
        }
    }
}
