//! Admission of requests at the owner, and their time-out.

use super::*;
use crate::queue_timeout::queue_timeout_ms;

impl Shard {
    pub(super) fn capacity(&self, now: Time) -> u32 {
        self.servers.iter().map(|s| s.capacity(now)).sum()
    }

    /// Returns the capacity of the servers that are fast enough for a class.
    fn capacity_for(&self, class: &Class, now: Time) -> u32 {
        self.servers.iter().filter(|s| self.is_fit(s, class)).map(|s| s.capacity(now)).sum()
    }

    pub(super) fn running_count(&self, class: ClassId) -> u32 {
        self.running.get(&class).copied().unwrap_or(0)
    }

    /// Inserts a lease. Returns the previous one under the same key, which should never exist.
    pub(super) fn insert_lease(&mut self, key: (BoxId, u64), lease: Lease) -> Option<Lease> {
        *self.running.entry(lease.class).or_insert(0) += 1;
        let old = self.leases.insert(key, lease);
        if let Some(old) = &old {
            self.decrement_running(old.class);
        }
        old
    }

    pub(super) fn decrement_running(&mut self, class: ClassId) {
        if let Some(count) = self.running.get_mut(&class) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the number of slots that a class may always use while it has work.
    fn floor_slots(&self, class: &Class, capacity: u32) -> u32 {
        if class.floor == 0.0 || capacity < 2 {
            return 0;
        }
        ((class.floor * f64::from(capacity)) as u32).max(1)
    }

    /// Returns true while a class has fewer slots than its floor, both now and on average.
    ///
    /// The average makes the floor bearable for urgent classes: a class that had plenty of slots before a
    /// short urgent burst yields for the length of the burst, and one that had none gets its floor at once.
    pub(super) fn is_below_floor(&self, id: ClassId, class: &Class, capacity: u32) -> bool {
        let floor = self.floor_slots(class, capacity);
        self.running_count(id) < floor && self.average_slots.get(&id).copied().unwrap_or(0.0) < f64::from(floor)
    }

    /// Returns the slots of a class that may not be recalled: its floor, unless it has had more than that on
    /// average.
    pub(super) fn protected_slots(&self, id: ClassId, class: &Class, capacity: u32) -> u32 {
        let floor = self.floor_slots(class, capacity);
        let average = self.average_slots.get(&id).copied().unwrap_or(0.0);
        if average < f64::from(floor) {
            floor
        } else {
            0
        }
    }

    pub(super) fn update_average_slots(&mut self, now: Time) {
        let weight = 1.0 - (-(now.since(self.averaged_at) as f64) / FLOOR_AVERAGE_WINDOW_MS).exp();
        self.averaged_at = now;
        let ids: Vec<ClassId> = self.layout.classes.keys().copied().collect();
        for id in ids {
            let running = f64::from(self.running_count(id));
            let average = self.average_slots.entry(id).or_insert(0.0);
            *average += weight * (running - *average);
        }
    }

    fn expected_hold_ms(&self, class: ClassId) -> f64 {
        self.hold_ms.get(&class).copied().unwrap_or(DEFAULT_HOLD_MS + DEFAULT_HOLD_MS_PER_TOKEN * 50.0)
    }

    /// Estimates the wait of a new request, counting only what is ahead of it in its own rank or above.
    pub(super) fn wait_ms(&self, class: &Class, id: ClassId, now: Time) -> u64 {
        let capacity = self.capacity_for(class, now);
        let mut reserved_for_lower = 0;
        let mut ahead = 0;
        for (other_id, other) in &self.layout.classes {
            let queued = self.queues.get(other_id).map_or(0, Queue::len) as u32;
            if other.rank <= class.rank {
                ahead += queued + self.running_count(*other_id);
            } else if queued > 0 && self.is_below_floor(*other_id, other, capacity) {
                reserved_for_lower += self.floor_slots(other, capacity);
            }
        }
        let slots = capacity.saturating_sub(reserved_for_lower).max(1);
        if ahead < slots {
            return 0;
        }
        let positions = f64::from(ahead - slots + 1);
        (WAIT_MARGIN_FACTOR * positions * self.expected_hold_ms(id) / f64::from(slots)) as u64
    }

    pub(super) fn admit(&self, request: &SlotRequest, now: Time) -> Result<(), Refusal> {
        let class = self.layout.class(request.class);
        if self.capacity(now) == 0 && self.servers.iter().all(Server::is_leaving) {
            return Err(Refusal { reason: Reason::NoServer, retry_ms: 1_000 });
        }
        let wait = self.wait_ms(&class, request.class, now);
        if self.queues.get(&request.class).map_or(0, Queue::len) >= MAX_QUEUED_PER_CLASS {
            return Err(refusal(Reason::QueueFull, wait));
        }
        if request.remote && !self.has_room_for_remote(request.class, &class, now) {
            return Err(refusal(Reason::Infeasible, wait));
        }
        // The servers' best time to the first token counts as well, as far as it is known.
        let first = self.servers.iter().map(|s| s.speed.first_ms).fold(f64::INFINITY, f64::min);
        let first = if first.is_finite() { first as u64 } else { 0 };
        if !request.begun && wait > 0 && u64::from(request.age_ms) + wait + first > class.first_token_ms {
            return Err(refusal(Reason::Infeasible, wait.saturating_sub(class.first_token_ms)));
        }
        Ok(())
    }

    /// Returns true if a request from another hall may be admitted. Such requests use a bounded part of the
    /// capacity.
    ///
    /// An urgent one may also wait for a slot that a lower class has to give back: refusing it while
    /// preemptible requests run here would shed it in their favour. Any other takes only free slots.
    fn has_room_for_remote(&self, id: ClassId, class: &Class, now: Time) -> bool {
        let capacity = self.capacity(now);
        let running = self.leases.values().filter(|l| l.remote).count();
        let queued = self.queues.values().flat_map(Queue::iter).filter(|w| w.request.remote).count();
        let remote = (running + queued) as u32;
        if class.urgent {
            return remote < (capacity / URGENT_REMOTE_CAPACITY_DIVISOR).max(1) && self.wait_ms(class, id, now) == 0;
        }
        let waits_ahead =
            |(id, queue): (&ClassId, &Queue)| !queue.is_empty() && self.layout.class(*id).rank <= class.rank;
        let free: u32 = self.servers.iter().map(|s| s.free_slots(now)).sum();
        free > 0 && remote < (capacity / REMOTE_CAPACITY_DIVISOR).max(1) && !self.queues.iter().any(waits_ahead)
    }

    pub(super) fn refuse_timed_out(&mut self, now: Time) {
        let mut late = Vec::new();
        for (id, queue) in &self.queues {
            let timeout = queue_timeout_ms(&self.layout.class(*id));
            let timeout_of =
                |w: &QueuedRequest| if w.request.begun { timeout.max(MIN_READMITTED_TIMEOUT_MS) } else { timeout };
            let timed_out = queue.iter().filter(|w| now.since(w.arrived) >= timeout_of(w));
            late.extend(timed_out.map(|w| (*id, w.from, w.request.id)));
        }
        for (class, from, id) in late {
            if let Some(queue) = self.queues.get_mut(&class) {
                queue.remove(from, id);
            }
            let wait = self.expected_wait_ms(class, now);
            let message = Message::Refuse(self.id, id, refusal(Reason::Late, wait));
            self.decisions.push(Decision::Send(from, message));
        }
    }
}

fn refusal(reason: Reason, wait_ms: u64) -> Refusal {
    const MIN_RETRY_MS: u64 = 1_000;
    const MAX_RETRY_MS: u64 = 600_000;
    Refusal { reason, retry_ms: wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS) as u32 }
}
