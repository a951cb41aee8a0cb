//! Which asks an owner takes, and when it gives one up.

use super::*;
use crate::queue_timeout::queue_timeout_ms;

impl Shard {
    pub(super) fn capacity(&self, now: Time) -> u32 {
        self.servers.iter().map(|s| s.capacity(now)).sum()
    }

    /// Slots of the servers that are fast enough for a class.
    fn capacity_for(&self, class: &Class, now: Time) -> u32 {
        self.servers.iter().filter(|s| self.fit(s, class)).map(|s| s.capacity(now)).sum()
    }

    pub(super) fn running(&self, class: ClassId) -> u32 {
        self.running.get(&class).copied().unwrap_or(0)
    }

    /// Puts a lease in; the one that had its place, which there never should be, comes back.
    pub(super) fn put_lease(&mut self, key: (BoxId, u64), lease: Lease) -> Option<Lease> {
        *self.running.entry(lease.class).or_insert(0) += 1;
        let old = self.leases.insert(key, lease);
        if let Some(old) = &old {
            self.count_down(old.class);
        }
        old
    }

    pub(super) fn count_down(&mut self, class: ClassId) {
        if let Some(count) = self.running.get_mut(&class) {
            *count = count.saturating_sub(1);
        }
    }

    /// Slots that a class may always use while it has work.
    fn floor_slots(&self, class: &Class, capacity: u32) -> u32 {
        if class.floor == 0.0 || capacity < 2 {
            return 0;
        }
        ((class.floor * f64::from(capacity)) as u32).max(1)
    }

    /// True while a class has had less than its floor, now and on average of late.
    ///
    /// The average is what makes the floor bearable: a class that had plenty before a short urgent burst
    /// gives way for its length, and one that had nothing gets its floor at once.
    pub(super) fn is_owed(&self, id: ClassId, class: &Class, capacity: u32) -> bool {
        let floor = self.floor_slots(class, capacity);
        self.running(id) < floor && self.had.get(&id).copied().unwrap_or(0.0) < f64::from(floor)
    }

    /// Slots of a class that may not be recalled: its floor, unless it had more than that of late.
    pub(super) fn protected(&self, id: ClassId, class: &Class, capacity: u32) -> u32 {
        let floor = self.floor_slots(class, capacity);
        let had = self.had.get(&id).copied().unwrap_or(0.0);
        if had < f64::from(floor) {
            floor
        } else {
            0
        }
    }

    pub(super) fn note_had(&mut self, now: Time) {
        let share = 1.0 - (-(now.since(self.had_at) as f64) / HAD_MS).exp();
        self.had_at = now;
        let ids: Vec<ClassId> = self.layout.classes.keys().copied().collect();
        for id in ids {
            let running = f64::from(self.running(id));
            let had = self.had.entry(id).or_insert(0.0);
            *had += share * (running - *had);
        }
    }

    fn hold_of(&self, class: ClassId) -> f64 {
        self.hold_ms.get(&class).copied().unwrap_or(HOLD_GUESS_MS + HOLD_GUESS_TOKEN_MS * 50.0)
    }

    /// Wait of a new request, counting only what stands before it in its own rank or above.
    pub(super) fn wait_ms(&self, class: &Class, id: ClassId, now: Time) -> u64 {
        let capacity = self.capacity_for(class, now);
        let mut owed_to_lesser = 0;
        let mut ahead = 0;
        for (other_id, other) in &self.layout.classes {
            let queued = self.queues.get(other_id).map_or(0, Queue::len) as u32;
            if other.rank <= class.rank {
                ahead += queued + self.running(*other_id);
            } else if queued > 0 && self.is_owed(*other_id, other, capacity) {
                owed_to_lesser += self.floor_slots(other, capacity);
            }
        }
        let slots = capacity.saturating_sub(owed_to_lesser).max(1);
        if ahead < slots {
            return 0;
        }
        let places = f64::from(ahead - slots + 1);
        (WAIT_MARGIN * places * self.hold_of(id) / f64::from(slots)) as u64
    }

    pub(super) fn admit(&self, ask: &SlotRequest, now: Time) -> Result<(), Refusal> {
        let class = self.layout.class(ask.class);
        if self.capacity(now) == 0 && self.servers.iter().all(Server::is_leaving) {
            return Err(Refusal { reason: Reason::NoServer, retry_ms: 1_000 });
        }
        let wait = self.wait_ms(&class, ask.class, now);
        if self.queues.get(&ask.class).map_or(0, Queue::len) >= QUEUE_MOST {
            return Err(refusal(Reason::QueueFull, wait));
        }
        if ask.remote && !self.room_for_remote(ask.class, &class, now) {
            return Err(refusal(Reason::Infeasible, wait));
        }
        // The server's own time to the first token counts as well, as far as it is known.
        let first = self.servers.iter().map(|s| s.speed.first_ms).fold(f64::INFINITY, f64::min);
        let first = if first.is_finite() { first as u64 } else { 0 };
        if !ask.begun && wait > 0 && u64::from(ask.age_ms) + wait + first > class.first_token_ms {
            return Err(refusal(Reason::Infeasible, wait.saturating_sub(class.first_token_ms)));
        }
        Ok(())
    }

    /// Other halls' requests use a bounded part of the capacity.
    ///
    /// An urgent one may also wait for a slot that a lesser request has to give back: refusing it while
    /// reviews run here would shed it for them. Any other takes only what is free.
    fn room_for_remote(&self, id: ClassId, class: &Class, now: Time) -> bool {
        let capacity = self.capacity(now);
        let running = self.leases.values().filter(|l| l.remote).count();
        let queued = self.queues.values().flat_map(Queue::iter).filter(|w| w.ask.remote).count();
        let remote = (running + queued) as u32;
        if class.urgent {
            return remote < (capacity / URGENT_REMOTE_DIVISOR).max(1) && self.wait_ms(class, id, now) == 0;
        }
        let waiting_before =
            |(id, queue): (&ClassId, &Queue)| !queue.is_empty() && self.layout.class(*id).rank <= class.rank;
        let free: u32 = self.servers.iter().map(|s| s.free_slots(now)).sum();
        free > 0 && remote < (capacity / REMOTE_DIVISOR).max(1) && !self.queues.iter().any(waiting_before)
    }

    pub(super) fn refuse_late(&mut self, now: Time) {
        let mut late = Vec::new();
        for (id, queue) in &self.queues {
            let limit = queue_timeout_ms(&self.layout.class(*id));
            let limit_of = |w: &QueuedRequest| if w.ask.begun { limit.max(GIVE_UP_BEGUN_MS) } else { limit };
            let waits = queue.iter().filter(|w| now.since(w.arrived) >= limit_of(w));
            late.extend(waits.map(|w| (*id, w.from, w.ask.id)));
        }
        for (class, from, id) in late {
            if let Some(queue) = self.queues.get_mut(&class) {
                queue.remove(from, id);
            }
            let wait = self.expected_wait_ms(class, now);
            let message = Message::Refuse(self.id, id, refusal(Reason::Late, wait));
            self.out.push(Decision::Send(from, message));
        }
    }
}

fn refusal(reason: Reason, wait_ms: u64) -> Refusal {
    const LEAST_MS: u64 = 1_000;
    const MOST_MS: u64 = 600_000;
    Refusal { reason, retry_ms: wait_ms.clamp(LEAST_MS, MOST_MS) as u32 }
}
