//! The order of grants, and the choice of servers.

use super::*;

/// The class to serve next, and whether its oldest request goes out of turn because of its age.
struct Turn {
    class: ClassId,
    out_of_turn: bool,
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
        self.recall_leases(now);
    }

    /// Returns the headroom that is left from earlier recalls.
    pub(super) fn headroom(&self, now: Time) -> f64 {
        self.headroom * 0.5_f64.powf(now.since(self.headroom_at) as f64 / HEADROOM_HALF_LIFE_MS)
    }

    fn add_headroom(&mut self, now: Time) {
        let max = f64::from(self.capacity(now)) / HEADROOM_CAPACITY_DIVISOR;
        self.headroom = (self.headroom(now) + 1.0).min(max);
        self.headroom_at = now;
    }

    /// Returns true if the class may take a slot. A preemptible class, which would only be recalled again,
    /// leaves the headroom free, but always gets its floor.
    fn respects_headroom(&self, id: ClassId, class: &Class, now: Time) -> bool {
        let free: u32 = self.servers.iter().map(|s| s.free_slots(now)).sum();
        let above_floor = !self.is_below_floor(id, class, self.capacity(now));
        !class.preemptible || !above_floor || f64::from(free) > self.headroom(now)
    }

    /// Returns the classes with waiting requests and a server that can take one.
    fn ready_classes(&self, now: Time) -> Vec<(ClassId, Class)> {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let classes = waiting.map(|(id, _)| (*id, self.layout.class(*id)));
        classes.filter(|(_, class)| self.servers.iter().any(|s| self.can_take(s, class, now))).collect()
    }

    /// Returns true if the server is fast enough for the class, or if no better one is in service.
    pub(super) fn is_fit(&self, server: &Server, class: &Class) -> bool {
        let max_gap_ms = UNFIT_GAP_FACTOR * class.between_tokens_ms as f64;
        let slow = |s: &Server| s.speed.between_ms > max_gap_ms;
        !slow(server) || !self.servers.iter().any(|s| !slow(s) && !s.is_leaving() && !s.is_ejected())
    }

    /// Returns true for a server with a free slot that is fast enough or due for a speed probe.
    fn can_take(&self, server: &Server, class: &Class, now: Time) -> bool {
        server.free_slots(now) > 0 && (self.is_fit(server, class) || self.should_probe_speed(server, class, now))
    }

    /// Returns true for a slow server without a recent sample, since it may have recovered.
    fn should_probe_speed(&self, server: &Server, class: &Class, now: Time) -> bool {
        server.should_probe_speed(now) && (server.speed.is_degraded() || !self.is_fit(server, class))
    }

    fn next_turn(&self, now: Time) -> Option<Turn> {
        let ready = self.ready_classes(now);
        let capacity = self.capacity(now);
        let below_floor = ready.iter().filter(|(id, class)| self.is_below_floor(*id, class, capacity));
        if let Some((id, _)) = below_floor.min_by_key(|(id, _)| self.running_count(*id)) {
            return Some(Turn { class: *id, out_of_turn: false });
        }
        let aged = ready.iter().find(|(id, class)| self.may_go_out_of_turn(*id, class, now));
        if let Some((id, _)) = aged {
            return Some(Turn { class: *id, out_of_turn: true });
        }
        let oldest = |id: &ClassId| self.queues[id].oldest().unwrap_or(now);
        let eligible = ready.iter().filter(|(id, class)| self.respects_headroom(*id, class, now));
        let (id, _) = eligible.min_by_key(|(id, class)| (class.rank, oldest(id)))?;
        Some(Turn { class: *id, out_of_turn: false })
    }

    /// Returns true if the class's oldest request may go out of turn because of its age, one at a time for
    /// each class.
    fn may_go_out_of_turn(&self, id: ClassId, class: &Class, now: Time) -> bool {
        let oldest = self.queues[&id].oldest().unwrap_or(now);
        class.pass_after_ms > 0
            && now.since(oldest) >= class.pass_after_ms
            && !self.leases.values().any(|l| l.class == id && l.out_of_turn)
    }

    fn choose_server(&self, request: &SlotRequest, now: Time) -> Option<usize> {
        let class = self.layout.class(request.class);
        let candidates: Vec<usize> =
            (0..self.servers.len()).filter(|i| self.can_take(&self.servers[*i], &class, now)).collect();
        // A server that is due for a speed probe would never be the cheapest.
        let needs_probe = |i: &&usize| {
            let server = &self.servers[**i];
            Some(server.id) != request.avoid && self.should_probe_speed(server, &class, now)
        };
        if let Some(index) = candidates.iter().find(needs_probe) {
            return Some(*index);
        }
        let others: Vec<usize> =
            candidates.iter().copied().filter(|i| Some(self.servers[*i].id) != request.avoid).collect();
        let choices = if others.is_empty() { candidates } else { others };
        choices.into_iter().min_by(|a, b| {
            let (a, b) = (self.cost(&self.servers[*a], request), self.cost(&self.servers[*b], request));
            a.total_cmp(&b)
        })
    }

    /// Returns the expected milliseconds of the answer, more where slots are scarce, less where the prompt's
    /// prefix is warm.
    fn cost(&self, server: &Server, request: &SlotRequest) -> f64 {
        let saved = if server.is_warm(request.prefix) { WARM_PREFIX_SAVING_RATIO * server.speed.first_ms } else { 0.0 };
        let base = server.speed.expected_ms(request.tokens) - saved + 1.0;
        base * (1.0 + f64::from(server.used) / server.slot_limit.max(1.0))
    }

    fn grant(&mut self, turn: &Turn, now: Time) -> bool {
        let layout = Rc::clone(&self.layout);
        let Some(queue) = self.queues.get_mut(&turn.class) else { return false };
        let next = if turn.out_of_turn { queue.pop_oldest() } else { queue.pop(|c| layout.quota(c).weight) };
        let Some(waiting) = next else { return false };
        let Some(index) = self.choose_server(&waiting.request, now) else {
            if let Some(queue) = self.queues.get_mut(&turn.class) {
                queue.push(waiting);
            }
            return false;
        };
        self.check_grant_order(turn, index, now);
        let class = layout.class(turn.class);
        if self.should_probe_speed(&self.servers[index], &class, now) {
            self.servers[index].begin_speed_probe(now);
        }
        self.grant_lease(&waiting, index, turn.out_of_turn, now);
        true
    }

    pub(super) fn grant_lease(&mut self, waiting: &QueuedRequest, index: usize, out_of_turn: bool, now: Time) {
        let request = &waiting.request;
        let server = &mut self.servers[index];
        server.used += 1;
        server.record_prefix(request.prefix);
        let lease = Lease {
            server: server.id,
            class: request.class,
            customer: request.customer,
            tokens: request.tokens,
            granted: now,
            waited: now.since(waiting.arrived) as u32,
            renewed: now,
            resumable: request.resumable,
            remote: request.remote,
            recalled: false,
            out_of_turn,
        };
        let grant = Message::Grant { shard: self.id, id: request.id, server: lease.server, waited: lease.waited };
        self.ledger.granted += 1;
        if self.insert_lease((waiting.from, request.id), lease).is_some() {
            // `request_slot` answers for an id that has a lease already, so this cannot happen.
            self.report_violation(Event::LeaseCountBroken, "a lease was granted twice");
        }
        self.decisions.push(Decision::Send(waiting.from, grant));
    }

    /// Checks the invariant of each grant: above its floor, a class never goes before an urgent one that
    /// could run.
    fn check_grant_order(&mut self, turn: &Turn, index: usize, now: Time) {
        let class = self.layout.class(turn.class);
        let entitled = turn.out_of_turn || self.is_below_floor(turn.class, &class, self.capacity(now));
        if class.urgent || entitled {
            return;
        }
        let server = &self.servers[index];
        let urgent_waits = self.queues.iter().any(|(id, queue)| {
            let other = self.layout.class(*id);
            other.urgent && other.rank < class.rank && !queue.is_empty() && self.is_fit(server, &other)
        });
        if urgent_waits {
            let detail = format!("class={} went before an urgent request", class.name);
            self.report_violation(Event::GrantOrderBroken, &detail);
        }
    }

    pub(super) fn report_violation(&mut self, event: Event, detail: &str) {
        self.decisions.push(Decision::Log(event, format!("shard={} {detail}", self.id)));
    }

    /// Recalls leases of lower classes where higher ones are short of time and no slot is free for them.
    ///
    /// Only a request that an engine can resume is recalled, so that no token is generated twice.
    pub(super) fn recall_leases(&mut self, now: Time) {
        let mut pending_recalls = self.leases.values().filter(|l| l.recalled).count();
        let mut waiting_by_rank: Vec<(u8, usize)> = Vec::new();
        for (id, queue) in self.queues.iter().filter(|(_, queue)| !queue.is_empty()) {
            let class = self.layout.class(*id);
            waiting_by_rank.push((class.rank, queue.iter().filter(|w| needs_recall(&class, w, now)).count()));
        }
        waiting_by_rank.sort_unstable();
        for (rank, mut waiting) in waiting_by_rank {
            let served = pending_recalls.min(waiting);
            (pending_recalls, waiting) = (pending_recalls - served, waiting - served);
            for _ in 0..waiting {
                let Some(key) = self.recall_candidate(rank, now) else { break };
                if let Some(lease) = self.leases.get_mut(&key) {
                    lease.recalled = true;
                }
                self.add_headroom(now);
                self.decisions.push(Decision::Send(key.0, Message::Recall(self.id, key.1)));
                self.decisions.push(Decision::Log(Event::LeaseRecalled, format!("shard={} lease={}", self.id, key.1)));
            }
        }
    }

    /// Returns the newest lease of the lowest class that is above its floor and can be resumed.
    fn recall_candidate(&self, rank: u8, now: Time) -> Option<(BoxId, u64)> {
        let capacity = self.capacity(now);
        let remaining = |id: ClassId| self.leases.values().filter(|l| l.class == id && !l.recalled).count() as u32;
        let mut best: Option<((u8, Time), (BoxId, u64))> = None;
        for (key, lease) in &self.leases {
            let class = self.layout.class(lease.class);
            let eligible =
                class.preemptible && class.rank > rank && lease.resumable && !lease.recalled && !lease.out_of_turn;
            if !eligible || remaining(lease.class) <= self.protected_slots(lease.class, &class, capacity) {
                continue;
            }
            let order = (class.rank, lease.granted);
            if best.is_none_or(|(lowest, _)| order > lowest) {
                best = Some((order, *key));
            }
        }
        best.map(|(_, key)| key)
    }
}

/// Returns true if a waiting request justifies a recall: an urgent one at once, any other once a fraction of
/// its target has passed.
fn needs_recall(class: &Class, waiting: &QueuedRequest, now: Time) -> bool {
    class.urgent || now.since(waiting.arrived) * RECALL_TARGET_DIVISOR >= class.first_token_ms
}
