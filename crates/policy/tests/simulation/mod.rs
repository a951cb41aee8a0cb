//! Brokers in virtual time: messages are lost, duplicated, delayed and reordered; boxes pause, crash and
//! restart; views differ. Speed is not modelled; only what must never happen is checked.

use catalog::{BoxId, Catalog, ClassId, CustomerId, ServerId};
use policy::{
    Acquire, Action, Broker, Cause, Layout, Message, Permit, Report, SchedulingMode, Time, Unsent, Verdict,
    LEASE_TTL_MS,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

pub const STEP_MS: u64 = 10;

/// Slots of each server.
pub const SLOTS: u32 = 4;

const CLASSES: &str = r#"
key_salt = "s"
[[class]]
name = "hotline"
rank = 0
urgent = true
first_token_ms = 560
[[class]]
name = "contract"
rank = 1
first_token_ms = 4000
floor = 0.125
[[class]]
name = "review"
rank = 2
first_token_ms = 20000
floor = 0.125
pass_after_ms = 5000
preemptible = true
"#;

/// Rates of faults, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Messages that are lost.
    pub lost: u32,
    /// Messages that are delivered twice.
    pub duplicated: u32,
    /// Maximum delay of a message in milliseconds.
    pub delay_ms: u64,
    /// Pauses of boxes, per step.
    pub pauses: u32,
    /// Crashes of boxes, per step.
    pub crashes: u32,
    /// Views that become incomplete, per step.
    pub wrong_views: u32,
    /// Requests that a server fails.
    pub failures: u32,
    /// Callers that go away, per step.
    pub abandoned: u32,
}

#[derive(Debug)]
struct Running {
    server: ServerId,
    granter: BoxId,
    ends: Time,
    request: usize,
}

#[derive(Clone, Debug, Default)]
struct Request {
    class: usize,
    answers: u32,
    attempts: u32,
    lost: bool,
    key: Option<u64>,
}

struct SimulatedBox {
    id: BoxId,
    hall: String,
    broker: Option<Broker>,
    paused_until: Time,
    incarnation: u64,
    /// Requests without an answer, by id.
    pending: BTreeMap<u64, usize>,
    claims: BTreeMap<u64, usize>,
    running: BTreeMap<u64, Running>,
    /// Actions that came while the box was paused. They are carried out when it wakes.
    deferred: Vec<Action>,
}

struct InFlight {
    at: Time,
    order: u64,
    from: BoxId,
    to: BoxId,
    message: Message,
}

/// The state of one run.
pub struct Simulation {
    pub now: Time,
    rng: ChaCha8Rng,
    layout: Rc<Layout>,
    boxes: Vec<SimulatedBox>,
    in_flight: Vec<InFlight>,
    count: u64,
    requests: Vec<Request>,
    pub faults: Faults,
    /// Violated invariants. Each is a fault of the program.
    pub violations: Vec<String>,
    /// Time at which a grant was first sent, by lessee, id, granter and the wait that it names.
    ///
    /// A repeated grant names the same wait; a new lease for the same id names a longer one.
    grants: BTreeMap<(BoxId, u64, BoxId, u32), Time>,
    /// Number of runs by request key.
    ran: BTreeMap<u64, u32>,
    pub finished: BTreeMap<usize, u32>,
    pub refused: BTreeMap<usize, u32>,
    pub max_overlap: u32,
    /// Maximum number of leases on one server that one box had granted.
    pub max_by_one_box: u32,
    /// From this time on, more requests on a server than its slots are a violation.
    pub no_overlap_from: Option<Time>,
    slots: BTreeMap<ServerId, u32>,
}

fn layout(halls: usize, servers: usize, slots: u32) -> Rc<Layout> {
    let mut upstreams = String::new();
    for hall in 0..halls {
        for server in 0..servers {
            upstreams.push_str(&format!(
                "[[upstream]]\nname='s{hall}{server}'\nhall='h{hall}'\nmodel='m'\naddress='127.0.0.1:1'\nslots={slots}\nresume=true\n"
            ));
        }
    }
    let catalog = Catalog::parse(&[("classes", CLASSES), ("upstreams", &upstreams)]).expect("a good release");
    Rc::new(Layout::from_catalog(&catalog))
}

impl Simulation {
    pub fn new(seed: u64, halls: usize, boxes: usize, faults: Faults) -> Self {
        let layout = layout(halls, 2, SLOTS);
        let mut sim = Self {
            now: Time(10_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            boxes: Vec::new(),
            in_flight: Vec::new(),
            count: 0,
            requests: Vec::new(),
            faults,
            violations: Vec::new(),
            grants: BTreeMap::new(),
            ran: BTreeMap::new(),
            finished: BTreeMap::new(),
            refused: BTreeMap::new(),
            max_overlap: 0,
            max_by_one_box: 0,
            no_overlap_from: None,
            slots: layout.shards.values().flat_map(|s| &s.servers).map(|u| (ServerId::of(&u.name), u.slots)).collect(),
            layout,
        };
        for index in 0..halls * boxes {
            let hall = format!("h{}", index / boxes);
            let id = BoxId::of(&format!("box{index}"));
            sim.boxes.push(SimulatedBox {
                id,
                hall,
                broker: None,
                paused_until: Time(0),
                incarnation: 0,
                pending: BTreeMap::new(),
                claims: BTreeMap::new(),
                running: BTreeMap::new(),
                deferred: Vec::new(),
            });
        }
        for index in 0..sim.boxes.len() {
            sim.restart(index);
        }
        for index in 0..sim.boxes.len() {
            sim.set_true_view(index);
        }
        sim
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.rng.random_range(0..1_000) < thousandths
    }

    fn restart(&mut self, index: usize) {
        let sim_box = &mut self.boxes[index];
        sim_box.incarnation += 1;
        let mut broker =
            Broker::new(sim_box.id, &sim_box.hall, SchedulingMode::Owner, sim_box.incarnation << 32, self.now);
        let actions = broker.set_layout(Rc::clone(&self.layout), self.now);
        sim_box.broker = Some(broker);
        self.apply(index, actions);
    }

    fn view(&self) -> BTreeMap<String, Vec<BoxId>> {
        let mut view: BTreeMap<String, Vec<BoxId>> = BTreeMap::new();
        for sim_box in self.boxes.iter().filter(|n| n.broker.is_some()) {
            view.entry(sim_box.hall.clone()).or_default().push(sim_box.id);
        }
        view.values_mut().for_each(|ids| ids.sort_unstable());
        view
    }

    fn set_view(&mut self, index: usize, view: BTreeMap<String, Vec<BoxId>>) {
        let now = self.now;
        let Some(broker) = &mut self.boxes[index].broker else { return };
        let actions = broker.set_boxes(view, Vec::new(), now);
        self.apply(index, actions);
    }

    fn set_true_view(&mut self, index: usize) {
        let mut view = self.view();
        let sim_box = &self.boxes[index];
        view.entry(sim_box.hall.clone()).or_default();
        self.set_view(index, view);
    }

    /// Sets a view in which some other box of the hall is missing.
    fn set_incomplete_view(&mut self, index: usize) {
        let mut view = self.view();
        let (me, hall) = (self.boxes[index].id, self.boxes[index].hall.clone());
        if let Some(ids) = view.get_mut(&hall) {
            let others: Vec<BoxId> = ids.iter().copied().filter(|id| *id != me).collect();
            if !others.is_empty() {
                let missing = others[self.rng.random_range(0..others.len())];
                ids.retain(|id| *id != missing);
            }
        }
        self.set_view(index, view);
    }

    // ------------------------------------------------------------------------

    fn apply(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(index, to, &message),
                Action::Log(event, detail) if event.number() >= 900 => {
                    self.violations.push(format!("E{} {detail}", event.number()));
                }
                Action::Log(..) => {}
                other => {
                    self.check_expiry(index, &other);
                    self.on_answer(index, other);
                }
            }
        }
    }

    /// Checks that a permit expires no later than the lifetime of a lease after the owner's grant, however
    /// messages were delayed or duplicated.
    fn check_expiry(&mut self, index: usize, action: &Action) {
        let Action::Granted { id, granter, expires, .. } = action else { return };
        let me = self.boxes[index].id;
        let sent = self.grants.range((me, *id, *granter, 0)..=(me, *id, *granter, u32::MAX));
        let granted = if *granter == me { Some(self.now) } else { sent.map(|(_, at)| *at).max() };
        if granted.is_none_or(|granted| *expires > granted.after(LEASE_TTL_MS)) {
            self.violations.push(format!("a permit expires at {expires:?}, granted at {granted:?}"));
        }
    }

    fn send(&mut self, index: usize, to: BoxId, message: &Message) {
        let from = self.boxes[index].id;
        if let Message::Grant { id, waited, .. } = message {
            self.grants.entry((to, *id, from, *waited)).or_insert(self.now);
        }
        if self.chance(self.faults.lost) {
            return;
        }
        let copies = if self.chance(self.faults.duplicated) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.rng.random_range(0..=self.faults.delay_ms);
            self.count += 1;
            let (at, order, message) = (self.now.after(delay), self.count, message.clone());
            self.in_flight.push(InFlight { at, order, from, to, message });
        }
    }

    /// Does what the traffic threads would do with an answer. The threads of a paused box are paused as well.
    fn on_answer(&mut self, index: usize, action: Action) {
        if self.now < self.boxes[index].paused_until {
            self.boxes[index].deferred.push(action);
            return;
        }
        match action {
            Action::Granted { id, server, expires, granter, .. } => {
                let Some(request) = self.boxes[index].pending.remove(&id) else {
                    self.violations.push(format!("a second answer to request {id}"));
                    return;
                };
                self.requests[request].answers += 1;
                self.start(index, id, (server, granter), expires, request);
            }
            Action::Refused(id, refusal) => {
                let Some(request) = self.boxes[index].pending.remove(&id) else {
                    self.violations.push(format!("a second answer to request {id}"));
                    return;
                };
                if refusal.retry_ms == 0 {
                    self.violations.push("a refusal without a retry time".to_owned());
                }
                self.requests[request].answers += 1;
                *self.refused.entry(self.requests[request].class).or_default() += 1;
            }
            Action::Recalled(id) => self.on_recall(index, id),
            Action::Claimed(id, verdict) => self.on_claim_result(index, id, verdict),
            Action::Send(..) | Action::Log(..) => {}
        }
    }

    fn start(&mut self, index: usize, id: u64, from: (ServerId, BoxId), expires: Time, request: usize) {
        let (server, granter) = from;
        let now = self.now;
        let sent = Unsent::new(true).send(Permit::new(expires), now);
        if sent.is_err() {
            // Too late: returns the lease and requests a slot again, as the gateway does.
            self.return_lease(index, id, Report { unused: true, ..Report::default() });
            self.acquire(index, request, Cause::Recall);
            return;
        }
        if let Some(key) = self.requests[request].key {
            *self.ran.entry(key).or_default() += 1;
        }
        let length = self.rng.random_range(100..3_000);
        self.boxes[index].running.insert(id, Running { server, granter, ends: now.after(length), request });
        self.measure_overlap(server, granter);
    }

    fn measure_overlap(&mut self, server: ServerId, granter: BoxId) {
        let on_server = self.boxes.iter().flat_map(|n| n.running.values()).filter(|r| r.server == server);
        let (mut all, mut of_one) = (0u32, 0u32);
        for running in on_server {
            all += 1;
            of_one += u32::from(running.granter == granter);
        }
        let slots = self.slots[&server];
        self.max_overlap = self.max_overlap.max(all.saturating_sub(slots));
        self.max_by_one_box = self.max_by_one_box.max(of_one);
        if all > slots && self.no_overlap_from.is_some_and(|from| self.now >= from) {
            self.violations
                .push(format!("{all} on {server} with {slots} slots at {:?}, long after the faults", self.now));
        }
    }

    fn return_lease(&mut self, index: usize, id: u64, report: Report) {
        let now = self.now;
        if let Some(broker) = &mut self.boxes[index].broker {
            let actions = broker.return_lease(id, report, now);
            self.apply(index, actions);
        }
    }

    fn on_recall(&mut self, index: usize, id: u64) {
        let Some(running) = self.boxes[index].running.remove(&id) else { return };
        self.return_lease(index, id, Report { tokens: 3, ..Report::default() });
        self.acquire(index, running.request, Cause::Recall);
    }

    fn on_claim_result(&mut self, index: usize, id: u64, verdict: Verdict) {
        let Some(request) = self.boxes[index].claims.remove(&id) else { return };
        if verdict == Verdict::Fresh {
            self.acquire(index, request, Cause::First);
        } else {
            self.requests[request].answers += 1;
            self.requests[request].attempts += 1;
        }
    }

    // ------------------------------------------------------------------------

    /// Submits a new request of `class` (0 is the urgent one) at a random running box.
    pub fn submit(&mut self, class: usize, key: Option<u64>) {
        let alive: Vec<usize> = (0..self.boxes.len())
            .filter(|i| self.boxes[*i].broker.is_some() && self.now >= self.boxes[*i].paused_until)
            .collect();
        if alive.is_empty() {
            return;
        }
        let index = alive[self.rng.random_range(0..alive.len())];
        self.requests.push(Request { class, key, ..Request::default() });
        let request = self.requests.len() - 1;
        match key {
            None => self.acquire(index, request, Cause::First),
            Some(key) => {
                let now = self.now;
                let Some(broker) = &mut self.boxes[index].broker else { return };
                let (id, actions) = broker.claim(key, Some(0), now);
                self.boxes[index].claims.insert(id, request);
                self.apply(index, actions);
            }
        }
    }

    fn acquire(&mut self, index: usize, request: usize, cause: Cause) {
        let class = ["hotline", "contract", "review"][self.requests[request].class];
        let acquire = Acquire {
            serves: "m".to_owned(),
            class: ClassId::of(class),
            customer: CustomerId(self.rng.random_range(0..5)),
            tokens: self.rng.random_range(1..200),
            prefix: self.rng.random_range(0..4),
            resumable: self.requests[request].key.is_none(),
            arrived: self.now,
            cause,
            avoid: None,
        };
        self.requests[request].attempts += 1;
        let now = self.now;
        let Some(broker) = &mut self.boxes[index].broker else { return };
        let (id, actions) = broker.acquire(acquire, now);
        self.boxes[index].pending.insert(id, request);
        self.apply(index, actions);
    }

    fn crash(&mut self, index: usize) {
        let sim_box = &mut self.boxes[index];
        sim_box.broker = None;
        let lost: Vec<usize> = sim_box
            .pending
            .values()
            .chain(sim_box.claims.values())
            .chain(sim_box.running.values().map(|r| &r.request))
            .copied()
            .collect();
        sim_box.pending.clear();
        sim_box.claims.clear();
        sim_box.running.clear();
        sim_box.deferred.clear();
        for request in lost {
            self.requests[request].lost = true;
        }
    }

    // ------------------------------------------------------------------------

    fn inject_faults(&mut self) {
        let index = self.rng.random_range(0..self.boxes.len());
        if self.chance(self.faults.pauses) {
            let length = self.rng.random_range(200..6_000);
            self.boxes[index].paused_until = self.now.after(length);
        }
        let one_dead = self.boxes.iter().any(|n| n.broker.is_none());
        if self.chance(self.faults.crashes) {
            if self.boxes[index].broker.is_none() {
                self.restart(index);
                (0..self.boxes.len()).for_each(|i| self.set_true_view(i));
            } else if !one_dead {
                self.crash(index);
            }
        }
        if self.chance(self.faults.wrong_views) {
            self.set_incomplete_view(index);
        }
        // Sooner or later every box gets the true view.
        if self.chance(20) {
            self.set_true_view(index);
        }
        if self.chance(self.faults.abandoned) {
            self.abandon_one(index);
        }
    }

    fn abandon_one(&mut self, index: usize) {
        let sim_box = &self.boxes[index];
        if self.now < sim_box.paused_until || !sim_box.deferred.is_empty() {
            // A paused box notices only when it wakes, after the answers that came before.
            return;
        }
        let Some((id, request)) = self.boxes[index].pending.pop_first() else { return };
        self.requests[request].lost = true;
        let now = self.now;
        if let Some(broker) = &mut self.boxes[index].broker {
            let actions = broker.abandon(id, now);
            self.apply(index, actions);
        }
    }

    /// Advances virtual time by one step.
    pub fn step(&mut self) {
        self.now = self.now.after(STEP_MS);
        self.inject_faults();
        self.deliver();
        for index in 0..self.boxes.len() {
            self.run_box(index);
        }
    }

    fn deliver(&mut self) {
        let (mut due, later): (Vec<InFlight>, Vec<InFlight>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|f| f.at <= self.now);
        self.in_flight = later;
        due.sort_by_key(|f| (f.at, f.order));
        for flight in due {
            let Some(index) = self.boxes.iter().position(|n| n.id == flight.to) else { continue };
            if self.now < self.boxes[index].paused_until {
                // The message waits in the paused box's socket.
                self.in_flight.push(InFlight { at: self.boxes[index].paused_until, ..flight });
                continue;
            }
            let now = self.now;
            if let Some(broker) = &mut self.boxes[index].broker {
                let actions = broker.receive(flight.from, flight.message, now);
                self.apply(index, actions);
            }
        }
    }

    fn run_box(&mut self, index: usize) {
        let now = self.now;
        if now < self.boxes[index].paused_until {
            return;
        }
        for action in std::mem::take(&mut self.boxes[index].deferred) {
            self.on_answer(index, action);
        }
        let ended: Vec<u64> =
            self.boxes[index].running.iter().filter(|(_, r)| r.ends <= now).map(|(id, _)| *id).collect();
        for id in ended {
            let Some(running) = self.boxes[index].running.remove(&id) else { continue };
            let failed = self.chance(self.faults.failures);
            let report = Report { tokens: 50, first_ms: 40, between_tenths: 100, failed, unused: false };
            self.return_lease(index, id, report);
            *self.finished.entry(self.requests[running.request].class).or_default() += 1;
        }
        if let Some(broker) = &mut self.boxes[index].broker {
            let actions = broker.tick(now);
            self.apply(index, actions);
        }
    }

    /// Ends all faults: every box runs and sees all others.
    pub fn heal(&mut self) {
        self.faults = Faults { delay_ms: 5, ..Faults::default() };
        for index in 0..self.boxes.len() {
            if self.boxes[index].broker.is_none() {
                self.restart(index);
            }
        }
        (0..self.boxes.len()).for_each(|i| self.set_true_view(i));
    }

    /// Ends all faults, waits until everything must have settled, and checks that it has.
    pub fn settle_and_check(&mut self) {
        self.heal();
        for _ in 0..12_000 {
            self.step();
        }
        for request in &self.requests {
            if !request.lost && request.answers != request.attempts {
                self.violations.push(format!("{request:?} was not answered exactly once per attempt"));
            }
        }
        for sim_box in &self.boxes {
            let Some(broker) = &sim_box.broker else { continue };
            if broker.lease_count() != 0 || broker.pending_count() != 0 {
                self.violations.push(format!(
                    "{} holds {} and waits for {}",
                    sim_box.id,
                    broker.lease_count(),
                    broker.pending_count()
                ));
            }
            for shard in broker.owned_shards() {
                if shard.lease_count() != 0 {
                    self.violations.push(format!("{} still counts {} leases", sim_box.id, shard.lease_count()));
                }
            }
        }
        let twice: BTreeSet<u64> = self.ran.iter().filter(|(_, n)| **n > 1).map(|(key, _)| *key).collect();
        if !twice.is_empty() {
            self.violations.push(format!("keys ran twice: {twice:?}"));
        }
    }
}
