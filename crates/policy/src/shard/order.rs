//! Who goes next, and on which server.

use super::*;

/// The class whose turn it is, and whether it goes out of turn because of its age.
struct Turn {
    class: ClassId,
    passing: bool,
}

impl Shard {
    pub(super) fn dispatch(&mut self, now: Time) {
        if self.recovery.is_some() {
            return;
        }
        while let Some(turn) = self.next_turn(now) {
            if !self.grant(&turn, now) {
                break;
            }
        }
        self.recall(now);
    }

    /// Headroom that is left of earlier recalls.
    pub(super) fn headroom(&self, now: Time) -> f64 {
        self.headroom * 0.5_f64.powf(now.since(self.headroom_at) as f64 / HEADROOM_HALF_MS)
    }

    fn add_headroom(&mut self, now: Time) {
        let most = f64::from(self.capacity(now)) / HEADROOM_DIVISOR;
        self.headroom = (self.headroom(now) + 1.0).min(most);
        self.headroom_at = now;
    }

    /// A class that would only be recalled again leaves the headroom free, but never its floor.
    fn leaves_headroom(&self, id: ClassId, class: &Class, now: Time) -> bool {
        let free: u32 = self.servers.iter().map(|s| s.free_slots(now)).sum();
        let above_floor = !self.is_owed(id, class, self.capacity(now));
        !class.preemptible || !above_floor || f64::from(free) > self.headroom(now)
    }

    /// Classes with something waiting and a server that may take it.
    fn ready(&self, now: Time) -> Vec<(ClassId, Class)> {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let classes = waiting.map(|(id, _)| (*id, self.layout.class(*id)));
        classes.filter(|(_, class)| self.servers.iter().any(|s| self.may_take(s, class, now))).collect()
    }

    /// A server far too slow for a class isn't used for it while a better one is in service.
    pub(super) fn fit(&self, server: &Server, class: &Class) -> bool {
        let most = UNFIT_FACTOR * class.between_tokens_ms as f64;
        let slow = |s: &Server| s.speed.between_ms > most;
        !slow(server) || !self.servers.iter().any(|s| !slow(s) && !s.is_leaving() && !s.is_ejected())
    }

    /// A server with a free slot that is fast enough, or has to be tried.
    fn may_take(&self, server: &Server, class: &Class, now: Time) -> bool {
        server.free_slots(now) > 0 && (self.fit(server, class) || self.should_probe_speed(server, class, now))
    }

    /// A slow server of which nothing was heard for a while: its slowness may be over.
    fn should_probe_speed(&self, server: &Server, class: &Class, now: Time) -> bool {
        server.should_probe_speed(now) && (server.speed.is_degraded() || !self.fit(server, class))
    }

    fn next_turn(&self, now: Time) -> Option<Turn> {
        let ready = self.ready(now);
        let capacity = self.capacity(now);
        let below_floor = ready.iter().filter(|(id, class)| self.is_owed(*id, class, capacity));
        if let Some((id, _)) = below_floor.min_by_key(|(id, _)| self.running(*id)) {
            return Some(Turn { class: *id, passing: false });
        }
        let aged = ready.iter().find(|(id, class)| self.may_pass(*id, class, now));
        if let Some((id, _)) = aged {
            return Some(Turn { class: *id, passing: true });
        }
        let oldest = |id: &ClassId| self.queues[id].oldest().unwrap_or(now);
        let may = ready.iter().filter(|(id, class)| self.leaves_headroom(*id, class, now));
        let (id, _) = may.min_by_key(|(id, class)| (class.rank, oldest(id)))?;
        Some(Turn { class: *id, passing: false })
    }

    /// An aged request passes, one at a time for each class.
    fn may_pass(&self, id: ClassId, class: &Class, now: Time) -> bool {
        let oldest = self.queues[&id].oldest().unwrap_or(now);
        class.pass_after_ms > 0
            && now.since(oldest) >= class.pass_after_ms
            && !self.leases.values().any(|l| l.class == id && l.passing)
    }

    fn choose(&self, ask: &SlotRequest, now: Time) -> Option<usize> {
        let class = self.layout.class(ask.class);
        let candidates: Vec<usize> =
            (0..self.servers.len()).filter(|i| self.may_take(&self.servers[*i], &class, now)).collect();
        // One that has to be tried would never be the cheapest.
        let tries = |i: &&usize| {
            let server = &self.servers[**i];
            Some(server.id) != ask.avoid && self.should_probe_speed(server, &class, now)
        };
        if let Some(index) = candidates.iter().find(tries) {
            return Some(*index);
        }
        let others: Vec<usize> =
            candidates.iter().copied().filter(|i| Some(self.servers[*i].id) != ask.avoid).collect();
        let pick_from = if others.is_empty() { candidates } else { others };
        pick_from.into_iter().min_by(|a, b| {
            let (a, b) = (self.cost(&self.servers[*a], ask), self.cost(&self.servers[*b], ask));
            a.total_cmp(&b)
        })
    }

    /// Expected milliseconds of the answer, more where slots are scarce, less where the prompt is warm.
    fn cost(&self, server: &Server, ask: &SlotRequest) -> f64 {
        let saved = if server.is_warm(ask.prefix) { WARM_SAVES * server.speed.first_ms } else { 0.0 };
        let base = server.speed.expected_ms(ask.tokens) - saved + 1.0;
        base * (1.0 + f64::from(server.used) / server.slot_limit.max(1.0))
    }

    fn grant(&mut self, turn: &Turn, now: Time) -> bool {
        let layout = Rc::clone(&self.layout);
        let Some(queue) = self.queues.get_mut(&turn.class) else { return false };
        let taken = if turn.passing { queue.pop_oldest() } else { queue.pop(|c| layout.quota(c).weight) };
        let Some(waiting) = taken else { return false };
        let Some(index) = self.choose(&waiting.ask, now) else {
            if let Some(queue) = self.queues.get_mut(&turn.class) {
                queue.push(waiting);
            }
            return false;
        };
        self.check_order(turn, index, now);
        let class = layout.class(turn.class);
        if self.should_probe_speed(&self.servers[index], &class, now) {
            self.servers[index].begin_speed_probe(now);
        }
        self.lease(&waiting, index, turn.passing, now);
        true
    }

    pub(super) fn lease(&mut self, waiting: &QueuedRequest, index: usize, passing: bool, now: Time) {
        let ask = &waiting.ask;
        let server = &mut self.servers[index];
        server.used += 1;
        server.record_prefix(ask.prefix);
        let lease = Lease {
            server: server.id,
            class: ask.class,
            customer: ask.customer,
            tokens: ask.tokens,
            granted: now,
            waited: now.since(waiting.arrived) as u32,
            renewed: now,
            resumable: ask.resumable,
            remote: ask.remote,
            recalled: false,
            passing,
        };
        let grant = Message::Grant { shard: self.id, id: ask.id, server: lease.server, waited: lease.waited };
        self.ledger.granted += 1;
        if self.put_lease((waiting.from, ask.id), lease).is_some() {
            // `ask` refuses a number that is held, so this can't be.
            self.broken(Event::LeaseCountBroken, "a lease was granted twice");
        }
        self.out.push(Decision::Send(waiting.from, grant));
    }

    /// The invariant at each grant: above its floor, a class never goes before an urgent one that could run.
    fn check_order(&mut self, turn: &Turn, index: usize, now: Time) {
        let class = self.layout.class(turn.class);
        let entitled = turn.passing || self.is_owed(turn.class, &class, self.capacity(now));
        if class.urgent || entitled {
            return;
        }
        let server = &self.servers[index];
        let urgent_waits = self.queues.iter().any(|(id, queue)| {
            let other = self.layout.class(*id);
            other.urgent && other.rank < class.rank && !queue.is_empty() && self.fit(server, &other)
        });
        if urgent_waits {
            let detail = format!("class={} went before an urgent request", class.name);
            self.broken(Event::GrantOrderBroken, &detail);
        }
    }

    pub(super) fn broken(&mut self, event: Event, detail: &str) {
        self.out.push(Decision::Log(event, format!("shard={} {detail}", self.id)));
    }

    /// Asks lesser requests to step back where higher ones are pressed and no slot is free for them.
    ///
    /// Only a request that an engine can resume is recalled, so no token is generated twice.
    pub(super) fn recall(&mut self, now: Time) {
        let mut coming = self.leases.values().filter(|l| l.recalled).count();
        let mut pressed: Vec<(u8, usize)> = Vec::new();
        for (id, queue) in self.queues.iter().filter(|(_, queue)| !queue.is_empty()) {
            let class = self.layout.class(*id);
            pressed.push((class.rank, queue.iter().filter(|w| is_pressed(&class, w, now)).count()));
        }
        pressed.sort_unstable();
        for (rank, mut waiting) in pressed {
            let served = coming.min(waiting);
            (coming, waiting) = (coming - served, waiting - served);
            for _ in 0..waiting {
                let Some(key) = self.victim(rank, now) else { break };
                if let Some(lease) = self.leases.get_mut(&key) {
                    lease.recalled = true;
                }
                self.add_headroom(now);
                self.out.push(Decision::Send(key.0, Message::Recall(self.id, key.1)));
                self.out.push(Decision::Log(Event::LeaseRecalled, format!("shard={} lease={}", self.id, key.1)));
            }
        }
    }

    /// The newest lease of the least class that is above its floor and can be resumed.
    fn victim(&self, rank: u8, now: Time) -> Option<(BoxId, u64)> {
        let capacity = self.capacity(now);
        let staying = |id: ClassId| self.leases.values().filter(|l| l.class == id && !l.recalled).count() as u32;
        let mut best: Option<((u8, Time), (BoxId, u64))> = None;
        for (key, lease) in &self.leases {
            let class = self.layout.class(lease.class);
            let may = class.preemptible && class.rank > rank && lease.resumable && !lease.recalled && !lease.passing;
            if !may || staying(lease.class) <= self.protected(lease.class, &class, capacity) {
                continue;
            }
            let order = (class.rank, lease.granted);
            if best.is_none_or(|(least, _)| order > least) {
                best = Some((order, *key));
            }
        }
        best.map(|(_, key)| key)
    }
}

/// An urgent request is pressed from the start, any other once a part of its target has gone by.
fn is_pressed(class: &Class, waiting: &QueuedRequest, now: Time) -> bool {
    class.urgent || now.since(waiting.arrived) * PRESSED_DIVISOR >= class.first_token_ms
}
