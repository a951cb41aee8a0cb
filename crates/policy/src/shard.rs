//! The owner's side of one shard: one queue, leases on slots, and the order of grants.

use crate::server::Standing;
use crate::{
    Ask, Decider, Decision, Held, Layout, Ledger, Load, Message, Queue, Reason, Refusal, Report, Return, Server, Spec,
    Time, Waiting,
};
use catalog::{BoxId, Class, ClassId, CustomerId, ServerId, ShardId};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use telemetry::Event;

/// How long a lease lives without being renewed, in milliseconds.
pub const LEASE_MS: u64 = 3_000;

/// How long a new owner waits for its lessees' answers, in milliseconds.
pub const RECOVER_MS: u64 = 300;

/// Every lessee with something waiting hears from the owner this often, in milliseconds.
pub const SIGN_MS: u64 = 100;

/// A lease younger than this isn't taken as gone because its lessee didn't name it.
const GRACE_MS: u64 = 1_000;

/// Most asks of one class that wait at one shard.
const QUEUE_MOST: usize = 4_096;

/// Most of a shard's capacity that other halls may use, as a divisor.
const REMOTE_DIVISOR: u32 = 4;

/// A waiting request is given up after this many times its class's target.
const GIVE_UP_TARGETS: u64 = 4;

/// No request is given up for being late before this age, in milliseconds.
const GIVE_UP_LEAST_MS: u64 = 2_000;

/// A request that was accepted before isn't given up before this age, in milliseconds.
const GIVE_UP_BEGUN_MS: u64 = 60_000;

/// A request that isn't urgent is pressed once this part of its target has gone by, as a divisor.
const PRESSED_DIVISOR: u64 = 4;

/// Headroom after recalls: time in which half of it fades, in milliseconds, and its most as a divisor of
/// the capacity.
const HEADROOM_HALF_MS: f64 = 1_000.0;
const HEADROOM_DIVISOR: f64 = 3.0;

/// A class whose target between tokens a server misses by this factor isn't sent there.
const UNFIT_FACTOR: f64 = 1.5;

/// Part of the first-token time that a warm prompt prefix saves.
const WARM_SAVES: f64 = 0.7;

/// Guess of a lease's length before any has ended: milliseconds, and milliseconds a token.
const HOLD_GUESS_MS: f64 = 200.0;
const HOLD_GUESS_TOKEN_MS: f64 = 20.0;

/// Time over which a class's slots are averaged for its floor, in milliseconds.
const HAD_MS: f64 = 10_000.0;

/// Expected waits are taken as this much longer, so that what is admitted is in time.
const WAIT_MARGIN: f64 = 1.25;

/// How often old debts of customers fade, in milliseconds.
const FADE_MS: u64 = 10_000;

#[derive(Clone, Debug)]
struct Lease {
    server: ServerId,
    class: ClassId,
    customer: CustomerId,
    tokens: u32,
    granted: Time,
    /// Milliseconds from the call's arrival at the lessee to the grant, at least.
    waited: u32,
    /// Never earlier than `granted`.
    renewed: Time,
    resumable: bool,
    remote: bool,
    recalled: bool,
    /// Given out of turn because of its age.
    passing: bool,
}

#[derive(Clone, Debug)]
struct Recovery {
    since: Time,
    pending: BTreeSet<BoxId>,
}

/// The owner's side of one shard.
#[derive(Clone, Debug)]
pub struct Shard {
    /// The shard's short name.
    pub id: ShardId,
    /// The servers, in the file's order.
    pub servers: Vec<Server>,
    /// The count of leases; even at every moment.
    pub ledger: Ledger,
    layout: Rc<Layout>,
    queues: BTreeMap<ClassId, Queue>,
    leases: BTreeMap<(BoxId, u64), Lease>,
    /// Leases by class: counts `leases`, so that no decision has to.
    running: BTreeMap<ClassId, u32>,
    hold_ms: BTreeMap<ClassId, f64>,
    /// Slots that each class has had on average of late.
    had: BTreeMap<ClassId, f64>,
    had_at: Time,
    recovery: Option<Recovery>,
    /// Slots kept free of requests that would be recalled again at once: rises with each recall, then fades.
    headroom: f64,
    headroom_at: Time,
    signed: Time,
    faded: Time,
    out: Vec<Decision>,
}

// ----------------------------------------------------------------------------
// Set-up

impl Shard {
    /// An owner that grants every slot of `spec`'s servers.
    #[must_use]
    pub fn new(spec: &Spec, layout: Rc<Layout>) -> Self {
        let mut shard = Self {
            id: spec.id,
            servers: Vec::new(),
            ledger: Ledger::default(),
            layout,
            queues: BTreeMap::new(),
            leases: BTreeMap::new(),
            running: BTreeMap::new(),
            hold_ms: BTreeMap::new(),
            had: BTreeMap::new(),
            had_at: Time(0),
            recovery: None,
            headroom: 0.0,
            headroom_at: Time(0),
            signed: Time(0),
            faded: Time(0),
            out: Vec::new(),
        };
        shard.set_servers(spec, |upstream, _| upstream.slots);
        shard
    }

    /// Takes over a release: servers that stay keep what is known of them.
    pub fn set_layout(&mut self, layout: Rc<Layout>) {
        let spec = layout.shards.get(&self.id).cloned();
        self.layout = layout;
        match spec {
            Some(spec) => self.set_servers(&spec, |upstream, _| upstream.slots),
            None => self.servers.iter_mut().for_each(|s| s.left_by_file = true),
        }
    }

    /// Sets the servers, with `slots` of each; a server that is gone from the file takes no new work.
    pub fn set_servers(&mut self, spec: &Spec, slots: impl Fn(&catalog::Upstream, ServerId) -> u32) {
        let mut next = Vec::new();
        for upstream in &spec.servers {
            let id = ServerId::of(&upstream.name);
            let slots = slots(upstream, id);
            let known = self.servers.iter().find(|s| s.id == id).cloned();
            let mut server = known.unwrap_or_else(|| Server::new(upstream, slots));
            server.trusted = (server.trusted + f64::from(slots) - f64::from(server.slots)).clamp(0.0, f64::from(slots));
            server.slots = slots;
            server.left_by_file = upstream.leaving;
            next.push(server);
        }
        for mut gone in self.servers.drain(..) {
            if gone.used > 0 && !next.iter().any(|s| s.id == gone.id) {
                gone.left_by_file = true;
                next.push(gone);
            }
        }
        self.servers = next;
    }

    /// Asks `boxes` what they hold, and grants nothing until they have answered or the wait is over.
    pub fn recover(&mut self, boxes: &[BoxId], now: Time) -> Vec<Decision> {
        for to in boxes {
            self.out.push(Decision::Tell(*to, Message::Recover(self.id)));
        }
        self.recovery = Some(Recovery { since: now, pending: boxes.iter().copied().collect() });
        std::mem::take(&mut self.out)
    }

    /// True while lessees are being asked.
    #[must_use]
    pub fn recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// How many leases are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.leases.len()
    }

    /// How many asks of each class wait.
    #[must_use]
    pub fn depths(&self) -> Vec<(ClassId, usize)> {
        self.queues.iter().map(|(class, queue)| (*class, queue.len())).collect()
    }

    /// Milliseconds that a request of this class would wait now, as admission sees it.
    #[must_use]
    pub fn expected_wait_ms(&self, class: ClassId, now: Time) -> u64 {
        self.wait_ms(&self.layout.class(class), class, now)
    }

    /// True when nothing waits here and nothing is held.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.leases.is_empty() && self.waiting() == 0
    }
}

// ----------------------------------------------------------------------------
// Admission

impl Shard {
    fn capacity(&self, now: Time) -> u32 {
        self.servers.iter().map(|s| s.capacity(now)).sum()
    }

    /// Slots of the servers that are fast enough for a class.
    fn capacity_for(&self, class: &Class, now: Time) -> u32 {
        self.servers.iter().filter(|s| self.fit(s, class)).map(|s| s.capacity(now)).sum()
    }

    fn running(&self, class: ClassId) -> u32 {
        self.running.get(&class).copied().unwrap_or(0)
    }

    /// Puts a lease in; the one that had its place, which there never should be, comes back.
    fn put_lease(&mut self, key: (BoxId, u64), lease: Lease) -> Option<Lease> {
        *self.running.entry(lease.class).or_insert(0) += 1;
        let old = self.leases.insert(key, lease);
        if let Some(old) = &old {
            self.count_down(old.class);
        }
        old
    }

    fn count_down(&mut self, class: ClassId) {
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
    fn is_owed(&self, id: ClassId, class: &Class, capacity: u32) -> bool {
        let floor = self.floor_slots(class, capacity);
        self.running(id) < floor && self.had.get(&id).copied().unwrap_or(0.0) < f64::from(floor)
    }

    /// Slots of a class that may not be recalled: its floor, unless it had more than that of late.
    fn protected(&self, id: ClassId, class: &Class, capacity: u32) -> u32 {
        let floor = self.floor_slots(class, capacity);
        let had = self.had.get(&id).copied().unwrap_or(0.0);
        if had < f64::from(floor) {
            floor
        } else {
            0
        }
    }

    fn note_had(&mut self, now: Time) {
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
    fn wait_ms(&self, class: &Class, id: ClassId, now: Time) -> u64 {
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

    fn admit(&self, ask: &Ask, now: Time) -> Result<(), Refusal> {
        let class = self.layout.class(ask.class);
        if self.capacity(now) == 0 && self.servers.iter().all(Server::leaving) {
            return Err(Refusal { reason: Reason::NoServer, retry_ms: 1_000 });
        }
        let wait = self.wait_ms(&class, ask.class, now);
        if self.queues.get(&ask.class).map_or(0, Queue::len) >= QUEUE_MOST {
            return Err(refusal(Reason::QueueFull, wait));
        }
        if ask.remote && !self.room_for_remote(&class, now) {
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

    fn room_for_remote(&self, class: &Class, now: Time) -> bool {
        let remote = self.leases.values().filter(|l| l.remote).count() as u32;
        let waiting_before =
            |(id, queue): (&ClassId, &Queue)| !queue.is_empty() && self.layout.class(*id).rank <= class.rank;
        let free: u32 = self.servers.iter().map(|s| s.free(now)).sum();
        free > 0 && remote < (self.capacity(now) / REMOTE_DIVISOR).max(1) && !self.queues.iter().any(waiting_before)
    }

    fn give_up_ms(class: &Class) -> u64 {
        (class.first_token_ms * GIVE_UP_TARGETS).max(GIVE_UP_LEAST_MS)
    }

    fn refuse_late(&mut self, now: Time) {
        let mut late = Vec::new();
        for (id, queue) in &self.queues {
            let limit = Self::give_up_ms(&self.layout.class(*id));
            let limit_of = |w: &Waiting| if w.ask.begun { limit.max(GIVE_UP_BEGUN_MS) } else { limit };
            let waits = queue.iter().filter(|w| now.since(w.arrived) >= limit_of(w));
            late.extend(waits.map(|w| (*id, w.from, w.ask.id)));
        }
        for (class, from, id) in late {
            if let Some(queue) = self.queues.get_mut(&class) {
                queue.remove(from, id);
            }
            let wait = self.expected_wait_ms(class, now);
            let message = Message::Refuse(self.id, id, refusal(Reason::Late, wait));
            self.out.push(Decision::Tell(from, message));
        }
    }
}

/// An urgent request is pressed from the start, any other once a part of its target has gone by.
fn is_pressed(class: &Class, waiting: &Waiting, now: Time) -> bool {
    class.urgent || now.since(waiting.arrived) * PRESSED_DIVISOR >= class.first_token_ms
}

fn refusal(reason: Reason, wait_ms: u64) -> Refusal {
    const LEAST_MS: u64 = 1_000;
    const MOST_MS: u64 = 600_000;
    Refusal { reason, retry_ms: wait_ms.clamp(LEAST_MS, MOST_MS) as u32 }
}

// ----------------------------------------------------------------------------
// The order of grants

/// The class whose turn it is, and whether it goes out of turn because of its age.
struct Turn {
    class: ClassId,
    passing: bool,
}

impl Shard {
    fn dispatch(&mut self, now: Time) {
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
    fn headroom(&self, now: Time) -> f64 {
        self.headroom * 0.5_f64.powf(now.since(self.headroom_at) as f64 / HEADROOM_HALF_MS)
    }

    fn add_headroom(&mut self, now: Time) {
        let most = f64::from(self.capacity(now)) / HEADROOM_DIVISOR;
        self.headroom = (self.headroom(now) + 1.0).min(most);
        self.headroom_at = now;
    }

    /// A class that would only be recalled again leaves the headroom free, but never its floor.
    fn leaves_headroom(&self, id: ClassId, class: &Class, now: Time) -> bool {
        let free: u32 = self.servers.iter().map(|s| s.free(now)).sum();
        let above_floor = !self.is_owed(id, class, self.capacity(now));
        !class.preemptible || !above_floor || f64::from(free) > self.headroom(now)
    }

    /// Classes with something waiting and a server that may take it.
    fn ready(&self, now: Time) -> Vec<(ClassId, Class)> {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let classes = waiting.map(|(id, _)| (*id, self.layout.class(*id)));
        classes.filter(|(_, class)| self.servers.iter().any(|s| s.free(now) > 0 && self.fit(s, class))).collect()
    }

    /// A server far too slow for a class isn't used for it while a better one is in service.
    fn fit(&self, server: &Server, class: &Class) -> bool {
        let most = UNFIT_FACTOR * class.between_tokens_ms as f64;
        let slow = |s: &Server| s.speed.between_ms > most;
        !slow(server) || !self.servers.iter().any(|s| !slow(s) && !s.leaving() && !s.ejected())
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

    fn choose(&self, ask: &Ask, now: Time) -> Option<usize> {
        let class = self.layout.class(ask.class);
        let free = |s: &Server| s.free(now) > 0 && self.fit(s, &class);
        let candidates: Vec<usize> = (0..self.servers.len()).filter(|i| free(&self.servers[*i])).collect();
        let others: Vec<usize> =
            candidates.iter().copied().filter(|i| Some(self.servers[*i].id) != ask.avoid).collect();
        let pick_from = if others.is_empty() { candidates } else { others };
        pick_from.into_iter().min_by(|a, b| {
            let (a, b) = (self.cost(&self.servers[*a], ask), self.cost(&self.servers[*b], ask));
            a.total_cmp(&b)
        })
    }

    /// Expected milliseconds of the answer, more where slots are scarce, less where the prompt is warm.
    fn cost(&self, server: &Server, ask: &Ask) -> f64 {
        let saved = if server.is_warm(ask.prefix) { WARM_SAVES * server.speed.first_ms } else { 0.0 };
        let base = server.speed.expected_ms(ask.tokens) - saved + 1.0;
        base * (1.0 + f64::from(server.used) / server.trusted.max(1.0))
    }

    fn grant(&mut self, turn: &Turn, now: Time) -> bool {
        let layout = Rc::clone(&self.layout);
        let Some(queue) = self.queues.get_mut(&turn.class) else { return false };
        let taken = if turn.passing { queue.pop_oldest() } else { queue.pop(|c| layout.share(c).weight) };
        let Some(waiting) = taken else { return false };
        let Some(index) = self.choose(&waiting.ask, now) else {
            if let Some(queue) = self.queues.get_mut(&turn.class) {
                queue.push(waiting);
            }
            return false;
        };
        self.check_order(turn, index, now);
        self.lease(&waiting, index, turn.passing, now);
        true
    }

    fn lease(&mut self, waiting: &Waiting, index: usize, passing: bool, now: Time) {
        let ask = &waiting.ask;
        let server = &mut self.servers[index];
        server.used += 1;
        server.warm_up(ask.prefix);
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
        self.out.push(Decision::Tell(waiting.from, grant));
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

    fn broken(&mut self, event: Event, detail: &str) {
        self.out.push(Decision::Note(event, format!("shard={} {detail}", self.id)));
    }

    /// Asks lesser requests to step back where higher ones are pressed and no slot is free for them.
    ///
    /// Only a request that an engine can resume is recalled, so no token is generated twice.
    fn recall(&mut self, now: Time) {
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
                self.out.push(Decision::Tell(key.0, Message::Recall(self.id, key.1)));
                self.out.push(Decision::Note(Event::LeaseRecalled, format!("shard={} lease={}", self.id, key.1)));
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

// ----------------------------------------------------------------------------
// Leases: renewal, recovery, expiry

/// Mixes a lease's number so that sums of different sets differ.
#[must_use]
pub fn mixed(id: u64) -> u64 {
    id.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29)
}

impl Shard {
    /// A lessee says how many leases it holds: all are renewed if that agrees, else it is asked for the list.
    pub fn renew(&mut self, from: BoxId, count: u32, sum: u64, now: Time) -> Vec<Decision> {
        let of_box = self.leases.iter_mut().filter(|((holder, _), _)| *holder == from);
        let mut seen = (0, 0);
        let mut leases = Vec::new();
        for ((_, id), lease) in of_box {
            seen = (seen.0 + 1, seen.1 ^ mixed(*id));
            leases.push(lease);
        }
        if seen == (count, sum) {
            leases.into_iter().for_each(|lease| lease.renewed = now);
        } else {
            self.out.push(Decision::Tell(from, Message::Recover(self.id)));
        }
        std::mem::take(&mut self.out)
    }

    /// A lessee told all that it holds: unknown leases are adopted, missing ones are gone.
    pub fn holding(&mut self, from: BoxId, held: &[Held], now: Time) -> Vec<Decision> {
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

    fn adopt(&mut self, from: BoxId, held: &Held, now: Time) {
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
            self.out.push(Decision::Note(Event::LeaseOverlap, detail));
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
        if !recovery.pending.is_empty() && now.since(recovery.since) < RECOVER_MS {
            return;
        }
        let detail = format!("shard={} leases={} silent={}", self.id, self.leases.len(), recovery.pending.len());
        self.recovery = None;
        self.out.push(Decision::Note(Event::OwnerRecovered, detail));
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
        let old = self.leases.iter().filter(|(_, l)| now.since(l.renewed) >= LEASE_MS);
        let keys: Vec<(BoxId, u64)> = old.map(|(key, _)| *key).collect();
        for key in keys {
            self.drop_lease(key);
            self.ledger.expired += 1;
        }
    }

    fn sign(&mut self, now: Time) {
        if now.since(self.signed) < SIGN_MS {
            return;
        }
        self.signed = now;
        let mut ids: BTreeMap<BoxId, Vec<u64>> = BTreeMap::new();
        for waiting in self.queues.values().flat_map(Queue::iter) {
            // One number is enough: the message says that the owner lives.
            ids.entry(waiting.from).or_insert_with(|| vec![waiting.ask.id]);
        }
        for (to, ids) in ids {
            self.out.push(Decision::Tell(to, Message::Queued(self.id, ids)));
        }
    }

    fn finish(&mut self, now: Time) -> Vec<Decision> {
        self.dispatch(now);
        if !self.ledger.even(self.leases.len()) {
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
            queue.correct(lease.customer, lease.tokens, report.tokens);
        }
        let Some(server) = self.servers.iter_mut().find(|s| s.id == lease.server) else { return };
        let event = match server.note(report, now) {
            Some(Standing::Ejected) => Event::UpstreamEjected,
            Some(Standing::Returned) => Event::UpstreamReturned,
            None => return,
        };
        let detail = format!("upstream={}", server.name);
        self.out.push(Decision::Note(event, detail));
    }
}

impl Decider for Shard {
    fn ask(&mut self, from: BoxId, ask: Ask, now: Time) -> Vec<Decision> {
        // A lessee that hears nothing asks again, and the network may deliver twice: say the same again.
        if let Some(lease) = self.leases.get(&(from, ask.id)) {
            let (server, waited) = (lease.server, lease.waited);
            self.out.push(Decision::Tell(from, Message::Grant { shard: self.id, id: ask.id, server, waited }));
            return std::mem::take(&mut self.out);
        }
        if self.queues.get(&ask.class).is_some_and(|q| q.contains(from, ask.id)) {
            self.out.push(Decision::Tell(from, Message::Queued(self.id, vec![ask.id])));
            return std::mem::take(&mut self.out);
        }
        if let Err(refusal) = self.admit(&ask, now) {
            self.out.push(Decision::Tell(from, Message::Refuse(self.id, ask.id, refusal)));
            return self.finish(now);
        }
        let (class, id) = (ask.class, ask.id);
        let arrived = Time(now.0.saturating_sub(u64::from(ask.age_ms)));
        let waiting = Waiting { from, ask, arrived };
        self.queues.entry(class).or_default().push(waiting);
        self.dispatch(now);
        if self.queues[&class].contains(from, id) {
            self.out.push(Decision::Tell(from, Message::Queued(self.id, vec![id])));
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

    fn give_back(&mut self, from: BoxId, back: &Return, now: Time) -> Vec<Decision> {
        if let Some(lease) = self.drop_lease((from, back.id)) {
            self.ledger.returned += 1;
            self.note_report(&lease, &back.report, now);
        }
        self.finish(now)
    }

    fn load(&mut self, server: ServerId, load: Load, now: Time) -> Vec<Decision> {
        for known in self.servers.iter_mut().filter(|s| s.id == server) {
            if load.leaving && !known.leaving() {
                self.out.push(Decision::Note(Event::UpstreamLeaving, format!("upstream={} by=word", known.name)));
            }
            known.load(load, now);
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
            self.queues.values_mut().for_each(Queue::fade);
        }
        self.sign(now);
        self.finish(now)
    }

    fn renew_all(&mut self, now: Time) {
        self.leases.values_mut().for_each(|lease| lease.renewed = now);
    }

    fn set_leaving(&mut self, server: ServerId, leaving: bool) {
        for known in self.servers.iter_mut().filter(|s| s.id == server) {
            if leaving && !known.leaving() {
                self.out.push(Decision::Note(Event::UpstreamLeaving, format!("upstream={} by=list", known.name)));
            }
            known.left_by_list = leaving;
        }
    }

    fn waiting(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }
}
