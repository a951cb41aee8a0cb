//! Plays a deployment in virtual time.

use crate::call::Call;
use crate::engine::{Engine, Job, Made};
use crate::outcome::{Counter, End};
use crate::prompts::wishes;
use crate::router::{table, Around, Refused, Request, Router, SERVICE};
use crate::{Arm, Deployment, FaultKind, Micros, Outcome};
use placement::{Choice, Ending, Limit, LimitUpdate, Millis, Owner, Part, SendReport, SendUpdate};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use routing::{Change, Directory, Position, Server, Table};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;

/// How long until boxes know that an engine leaves or has started.
const NEWS: Micros = 100_000;

/// How long until the entry of an engine that has ended goes.
const ENTRY_GOES: Micros = 3_600_000;

/// Most sends of one try, and most tries of a caller.
const SENDS_MOST: usize = 2;
const TRIES_MOST: u32 = 4;

/// The part of the time that a caller has left which it waits at most before it comes back.
const WAIT_MOST: f64 = 1.0 / 3.0;

/// Spread of the logarithm of how many callers come to a box.
const BOXES_UNEVEN: f64 = 0.4;

/// The part of its memory that kept parts are expected to fill at most, as boxes tell owners.
const KEPT_SHARE: f64 = 0.8;

/// What happens next.
#[derive(Clone, Debug)]
enum Event {
    /// A caller tries.
    Try(usize),
    /// A box chooses.
    Choose(usize),
    /// A send reaches its engine.
    Arrive(u64),
    /// What a send fetched has come.
    Begin(u64),
    /// A step of an engine's life ends.
    Step(usize, u32),
    /// An event of a send reaches its box and its caller.
    Got(u64, Made),
    /// A send's engine has ended.
    Broke(u64),
    /// A caller's time is over.
    Leave(usize),
    /// A fault begins, or ends.
    Fault(usize, bool),
    /// The list of engines changes.
    Listed(Change),
    /// What an engine said of its limit reaches all boxes but the one that it told.
    Told(usize, LimitUpdate),
}

/// One send of a request to an engine.
struct Send {
    call: usize,
    engine: usize,
    life: u32,
    choice: Choice,
    fetched: u32,
    began: Micros,
    read: bool,
    late: bool,
}

/// An engine's place in the deployment: lives follow each other there.
struct Place {
    engine: Engine,
    slowness: f64,
    hall: String,
    life: u32,
    away: bool,
    /// What it says that it takes.
    limit: Limit,
}

/// A deployment that is played with one arm and one seed.
pub struct Simulation<'a> {
    deployment: &'a Deployment,
    arm: Arm,
    rng: ChaCha8Rng,
    now: Micros,
    order: u64,
    due: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    boxes: Vec<Router>,
    /// Sums of how many callers come to each box and those before it.
    weights: Vec<f64>,
    owner: Owner,
    places: Vec<Place>,
    table: Table,
    directory: Directory,
    servers: Vec<Arc<Server>>,
    calls: Vec<Call>,
    sends: BTreeMap<u64, Send>,
    counters: Vec<Counter>,
    /// Shared parts that some engine has read.
    known: BTreeSet<u64>,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    /// A world at its beginning.
    #[must_use]
    pub fn new(deployment: &'a Deployment, arm: Arm, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let unlike = LogNormal::new(0.0, deployment.engine_spec.unlike).expect("a checked deployment");
        let uneven = LogNormal::new(0.0, BOXES_UNEVEN).expect("a constant");
        let hall = |index: usize| format!("hall-{}", index % deployment.halls);
        let places = (0..deployment.engines).map(|index| {
            let slowness = unlike.sample(&mut rng);
            let engine = Engine::new(&deployment.engine_spec, slowness);
            Place { engine, slowness, hall: hall(index), life: 1, away: false, limit: Limit::None }
        });
        let places: Vec<Place> = places.collect();
        let boxes = (0..deployment.boxes).map(|index| Router::new(&hall(index), rng.random())).collect();
        let mut sum = 0.0;
        let weights = (0..deployment.boxes).map(|_| {
            sum += uneven.sample(&mut rng);
            sum
        });
        let weights = weights.collect();
        let mut world = Self {
            deployment,
            arm,
            now: 0,
            order: 0,
            due: BinaryHeap::new(),
            events: BTreeMap::new(),
            boxes,
            weights,
            owner: Owner::default(),
            places,
            table: table(deployment, arm),
            directory: Directory::default(),
            servers: Vec::new(),
            calls: Vec::new(),
            sends: BTreeMap::new(),
            counters: deployment.classes.iter().map(Counter::new).collect(),
            known: BTreeSet::new(),
            outcome: Outcome::default(),
            rng,
        };
        let listed = (0..deployment.engines).map(|index| world.entry(index, false));
        let listed: Vec<Change> = listed.map(Change::Present).collect();
        world.list(listed);
        world.plan(seed);
        world
    }

    /// Puts all that comes from outside on the way.
    fn plan(&mut self, seed: u64) {
        let Deployment { classes, bursts, faults, seconds, .. } = self.deployment;
        for (index, class) in classes.iter().enumerate() {
            for wish in wishes(index, class, bursts, *seconds, seed) {
                let number = self.calls.len();
                self.at(wish.at, Event::Try(number));
                self.at(wish.at + ms(class.limit_ms), Event::Leave(number));
                self.calls.push(Call::new(wish));
            }
        }
        for (index, fault) in faults.iter().enumerate() {
            self.at(ms(fault.at_s * 1e3), Event::Fault(index, true));
            self.at(ms((fault.at_s + fault.for_s) * 1e3), Event::Fault(index, false));
        }
    }

    /// Plays to the end.
    #[must_use]
    pub fn run(mut self) -> Outcome {
        while let Some(Reverse((at, number))) = self.due.pop() {
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.happen(event);
            }
        }
        self.outcome.prefilled_tokens = self.places.iter().map(|place| place.engine.prefilled_tokens).sum();
        self.outcome.preempted = self.places.iter().map(|place| place.engine.preempted).sum();
        self.outcome.classes = self.counters.into_iter().map(Counter::finish).collect();
        self.outcome
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.order += 1;
        self.due.push(Reverse((at, self.order)));
        self.events.insert(self.order, event);
    }

    fn after(&mut self, time: Micros, event: Event) {
        self.at(self.now + time, event);
    }

    fn millis(&self) -> Millis {
        self.now / 1_000
    }

    /// Time of a way from a box to an engine.
    fn way(&self, from: usize, engine: usize) -> Micros {
        let near = self.boxes[from].hall == self.places[engine].hall;
        ms(if near { self.deployment.near_ms } else { self.deployment.far_ms })
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Try(call) => self.attempt(call),
            Event::Choose(call) => self.choose(call),
            Event::Arrive(send) => self.arrive(send),
            Event::Begin(send) => self.begin(send),
            Event::Step(engine, life) => self.step(engine, life),
            Event::Got(send, made) => self.got(send, made),
            Event::Broke(send) => self.broke(send),
            Event::Leave(call) => self.leave(call),
            Event::Fault(index, begins) => self.fault(index, begins),
            Event::Listed(change) => self.list(vec![change]),
            Event::Told(from, statement) => self.told(from, &statement),
        }
    }

    /// A caller comes to a box: another one with each try.
    fn attempt(&mut self, number: usize) {
        let call = &mut self.calls[number];
        if call.ended {
            return;
        }
        let draw = routing::rank(call.wish.luck, &call.tries.to_string()) as f64 / u64::MAX as f64;
        let at = draw * self.weights.last().copied().unwrap_or_default();
        call.at_box = self.weights.partition_point(|sum| *sum < at).min(self.boxes.len() - 1);
        call.tries += 1;
        call.tried.clear();
        self.consult(number);
    }

    /// Questions to owners take a way there and back; they are a hall away at most.
    fn consult(&mut self, number: usize) {
        let asks = self.arm.places() && self.arm != Arm::WithoutOwners;
        let far = if self.deployment.halls > 1 { self.deployment.far_ms } else { self.deployment.near_ms };
        self.after(if asks { ms(2.0 * far) } else { 0 }, Event::Choose(number));
    }

    fn choose(&mut self, number: usize) {
        let now = self.millis();
        let call = &self.calls[number];
        if call.ended {
            return;
        }
        let class = &self.deployment.classes[call.wish.class];
        let request = Request { prompt: &call.wish.prompt, class, tried: &call.tried, now };
        let mut around = Around {
            arm: self.arm,
            owner: &mut self.owner,
            servers: &self.servers,
            rng: &mut self.rng,
            owner_queries: &mut self.outcome.owner_queries,
        };
        self.outcome.choices += 1;
        match self.boxes[call.at_box].choose(request, &mut around) {
            Ok(choice) => self.send(number, choice),
            Err(Refused(back)) => self.refuse(number, back),
        }
    }

    /// A refused caller comes back where it has the time.
    fn refuse(&mut self, number: usize, back: Millis) {
        let call = &self.calls[number];
        let class = &self.deployment.classes[call.wish.class];
        let left = (call.wish.at + ms(class.limit_ms)).saturating_sub(self.now);
        let comes_back = call.tries < TRIES_MOST && (back * 1_000) as f64 <= left as f64 * WAIT_MOST;
        if comes_back {
            self.after(back * 1_000, Event::Try(number));
        } else {
            self.end(number, End::Refused);
        }
    }

    fn send(&mut self, number: usize, choice: Choice) {
        let Some(engine) = engine_of(&choice.server) else { return };
        self.order += 1;
        let send = self.order;
        let call = &mut self.calls[number];
        call.tried.push(choice.server.id.clone());
        call.send = Some(send);
        let (from, prompt, work) = (call.at_box, call.wish.prompt.clone(), choice.work);
        let placement = &mut self.boxes[from].placement;
        placement.record_sent(SERVICE, &choice.server.id, work);
        let memory = (self.deployment.engine_spec.memory_tokens as f64 * KEPT_SHARE) as u64;
        let news = SendUpdate::Sent { parts: prompt.parts, work, memory, permitted: choice.permit_quotas.is_some() };
        self.tell(from, send, &choice.server.id, news);
        let life = life_of(&choice.server);
        let sent = Send { call: number, engine, life, choice, fetched: 0, began: self.now, read: false, late: false };
        self.sends.insert(send, sent);
        let way = self.way(from, engine);
        self.after(way, Event::Arrive(send));
    }

    fn tell(&mut self, from: usize, number: u64, server: &str, news: SendUpdate) {
        let report = SendReport { number, server: server.to_owned(), update: news };
        self.owner.on_report(address(from), report, self.now / 1_000);
    }

    /// A send reaches its engine; what it fetches from another comes first.
    fn arrive(&mut self, number: u64) {
        let Some(send) = self.sends.get(&number) else { return };
        let place = &self.places[send.engine];
        if place.away || place.life != send.life {
            let way = self.way(self.calls[send.call].at_box, send.engine);
            return self.after(way, Event::Broke(number));
        }
        let parts = &self.calls[send.call].wish.prompt.parts;
        let source = send.choice.fetch.and_then(|address| self.servers.iter().find(|s| s.address == address));
        let source = source.and_then(|server| engine_of(server)).filter(|index| !self.places[*index].away);
        let own = place.engine.memory.prefix(parts);
        let there = source.map_or(0, |index| self.places[index].engine.memory.prefix(parts));
        let fetched = there.saturating_sub(own);
        let bits = f64::from(fetched) * self.deployment.engine_spec.token_bytes as f64 * 8.0;
        let takes = ms(bits / (self.deployment.engine_spec.link_mbps * 1e3));
        if let Some(send) = self.sends.get_mut(&number) {
            send.fetched = fetched;
        }
        self.after(takes, Event::Begin(number));
    }

    fn begin(&mut self, number: u64) {
        let Some(send) = self.sends.get(&number) else { return };
        let place = &mut self.places[send.engine];
        if place.away || place.life != send.life {
            return self.after(0, Event::Broke(number));
        }
        let Call { wish, .. } = &self.calls[send.call];
        let parts = &wish.prompt.parts;
        if send.fetched > 0 {
            self.outcome.fetched_tokens += u64::from(send.fetched);
            place.engine.memory.take(&prefix_of(parts, send.fetched), self.deployment.engine_spec.memory_tokens);
        }
        let shared = &parts[..parts.len() - 1];
        for part in shared.iter().filter(|part| !place.engine.memory.has_read(part.id)) {
            if !self.known.insert(part.id) {
                self.outcome.recomputed_tokens += u64::from(part.tokens);
            }
        }
        let urgency = self.deployment.classes[wish.class].urgency;
        let job = Job { send: number, urgency, parts: parts.clone(), tokens: wish.prompt.tokens, out: wish.out };
        place.engine.take(job);
        let engine = send.engine;
        self.go_on(engine);
    }

    /// Begins an engine's next step, unless one is under way or there is nothing to do.
    fn go_on(&mut self, index: usize) {
        let place = &mut self.places[index];
        if place.away || place.engine.stepping {
            return;
        }
        let life = place.life;
        if let Some(takes) = place.engine.begin() {
            self.after(takes, Event::Step(index, life));
        }
    }

    fn step(&mut self, index: usize, life: u32) {
        let place = &mut self.places[index];
        if place.life != life || place.away {
            return;
        }
        for (send, made) in place.engine.end() {
            let from = self.sends.get(&send).map(|send| self.calls[send.call].at_box);
            if let Some(from) = from {
                let way = self.way(from, index);
                self.after(way, Event::Got(send, made));
            }
        }
        self.go_on(index);
    }

    /// An event reaches its box and caller.
    fn got(&mut self, number: u64, made: Made) {
        let Some(send) = self.sends.get_mut(&number) else { return };
        let (call_number, id, work) = (send.call, send.choice.server.id.clone(), send.choice.work);
        let (engine, began) = (send.engine, send.began);
        let first = !std::mem::replace(&mut send.read, true);
        let call = &mut self.calls[call_number];
        let class = &self.deployment.classes[call.wish.class];
        let pause = call.last.map_or(0, |last| self.now - last);
        call.first.get_or_insert(self.now);
        call.last = Some(self.now);
        call.pause = call.pause.max(pause);
        let late = pause > ms(class.gap_ms) && !std::mem::replace(&mut send.late, true);
        let registers = if first { std::mem::take(&mut send.choice.cache_directories) } else { Vec::new() };
        let (from, prompt) = (call.at_box, call.wish.prompt.clone());
        if first {
            let placement = &mut self.boxes[from].placement;
            placement.record_prefilled(SERVICE, &id, work);
            placement.record_cached(SERVICE, &id, &prompt);
            self.tell(from, number, &id, SendUpdate::Read);
            self.hear(from, engine, &id, began);
        }
        for (register, part) in registers {
            self.tell(from, 0, &register.id, SendUpdate::Elsewhere { part, by: id.clone() });
        }
        if late {
            self.boxes[from].placement.record_late(SERVICE, &id, work);
            self.tell(from, number, &id, SendUpdate::Late);
        }
        if made == Made::Last {
            self.over(number, Ending::Good);
            self.end(call_number, End::Answered);
        }
    }

    /// What an engine says of its limit reaches a box, in an answer to a request that was sent at `sent`.
    fn hear(&mut self, from: usize, engine: usize, id: &str, sent: Micros) {
        let heeds = self.arm.places() && self.arm != Arm::WithoutLimits;
        let limit = self.places[engine].limit;
        let now = self.millis();
        let told = heeds.then(|| self.boxes[from].placement.record_limit(id, limit, sent / 1_000, now)).flatten();
        if let Some(statement) = told {
            self.after(ms(self.deployment.far_ms), Event::Told(from, statement));
        }
    }

    fn told(&mut self, from: usize, statement: &LimitUpdate) {
        let now = self.millis();
        for (_, one) in self.boxes.iter_mut().enumerate().filter(|(index, _)| *index != from) {
            one.placement.on_limit_update(statement, now);
        }
    }

    /// A send has ended.
    fn over(&mut self, number: u64, ending: Ending) {
        let Some(send) = self.sends.remove(&number) else { return };
        let (id, work) = (send.choice.server.id.clone(), send.choice.work);
        let call = &mut self.calls[send.call];
        call.send = None;
        let (from, pause_ms) = (call.at_box, (call.pause / 1_000) as u32);
        let now = self.millis();
        let placement = &mut self.boxes[from].placement;
        if !send.read {
            placement.record_prefilled(SERVICE, &id, work);
        }
        if !send.late {
            placement.record_late(SERVICE, &id, work);
        }
        placement.record_end(SERVICE, &id, work, ending, now);
        self.tell(from, number, &id, SendUpdate::Ended { ending, pause_ms });
    }

    /// A send's engine has ended: the request goes to another, if it may.
    fn broke(&mut self, number: u64) {
        let Some(call) = self.sends.get(&number).map(|send| send.call) else { return };
        self.over(number, Ending::Broken);
        if self.calls[call].tried.len() < SENDS_MOST {
            self.consult(call);
        } else {
            self.end(call, End::Lost);
        }
    }

    /// A caller's time is over.
    fn leave(&mut self, number: usize) {
        if self.calls[number].ended {
            return;
        }
        if let Some(send) = self.calls[number].send {
            let engine = self.sends.get(&send).map(|send| send.engine);
            self.over(send, Ending::Left);
            if let Some(engine) = engine {
                self.places[engine].engine.drop_send(send);
            }
        }
        self.end(number, End::Lost);
    }

    fn end(&mut self, number: usize, end: End) {
        let call = &mut self.calls[number];
        if std::mem::replace(&mut call.ended, true) {
            return;
        }
        let class = &self.deployment.classes[call.wish.class];
        let first = call.first.map(|at| at - call.wish.at);
        self.counters[call.wish.class].end(class, end, first, call.pause);
    }

    fn fault(&mut self, index: usize, begins: bool) {
        let fault = &self.deployment.faults[index];
        // The same engines at its beginning and its end, for all arms.
        let mut rng = ChaCha8Rng::seed_from_u64(index as u64 + 1);
        let mut among: Vec<usize> = (0..self.places.len()).collect();
        among.shuffle(&mut rng);
        among.truncate((fault.share * self.places.len() as f64).round() as usize);
        for engine in among {
            match (fault.kind, begins) {
                (FaultKind::Slow, _) => self.slow(engine, if begins { fault.times } else { 1.0 }),
                (FaultKind::Limit, true) => self.places[engine].limit = Limit::PerS(fault.times),
                (FaultKind::Limit, false) => self.places[engine].limit = Limit::None,
                (FaultKind::Crash, true) => self.crash(engine),
                (FaultKind::Crash, false) => self.start(engine),
                (FaultKind::Leave, true) => {
                    let draining = self.entry(engine, true);
                    self.after(NEWS, Event::Listed(Change::Present(draining)));
                }
                (FaultKind::Leave, false) => {
                    self.crash(engine);
                    self.start(engine);
                }
            }
        }
    }

    /// An engine takes so many times as long as it usually does.
    fn slow(&mut self, index: usize, times: f64) {
        let place = &mut self.places[index];
        place.engine.slowness = place.slowness * times;
    }

    /// An engine ends, with all that it has.
    fn crash(&mut self, index: usize) {
        let place = &mut self.places[index];
        if std::mem::replace(&mut place.away, true) {
            return;
        }
        let name = name_of(index);
        for send in place.engine.sends() {
            if let Some(from) = self.sends.get(&send).map(|send| self.calls[send.call].at_box) {
                let way = self.way(from, index);
                self.after(way, Event::Broke(send));
            }
        }
        let place = &mut self.places[index];
        let slowness = place.slowness;
        let counts = (place.engine.prefilled_tokens, place.engine.preempted);
        place.engine = Engine::new(&self.deployment.engine_spec, slowness);
        (place.engine.prefilled_tokens, place.engine.preempted) = counts;
        place.life += 1;
        place.limit = Limit::None;
        self.after(ENTRY_GOES, Event::Listed(Change::Gone(name)));
    }

    /// It starts again, as another life.
    fn start(&mut self, index: usize) {
        self.places[index].away = false;
        let entry = self.entry(index, false);
        self.after(NEWS, Event::Listed(Change::Present(entry)));
    }

    fn entry(&self, index: usize, draining: bool) -> Server {
        let place = &self.places[index];
        let name = name_of(index);
        Server {
            id: format!("{name}@{}", place.life),
            name,
            service: SERVICE.to_owned(),
            address: ([10, 2, (index / 250) as u8, (index % 250) as u8 + 1], 80).into(),
            hall: place.hall.clone(),
            slots: self.deployment.engine_spec.slots,
            draining,
            cold_ms: 0,
        }
    }

    /// Takes what became of engines.
    fn list(&mut self, changes: Vec<Change>) {
        // An entry that goes is that of the life that has ended.
        let stale = |change: &Change| matches!(change, Change::Gone(name) if self.places.iter().enumerate().any(|(index, place)| !place.away && name_of(index) == *name));
        let changes: Vec<Change> = changes.into_iter().filter(|change| !stale(change)).collect();
        self.directory.apply(changes, Position::new(0, self.now + 1));
        self.servers = self.directory.servers.values().cloned().collect();
        let now = self.millis();
        for one in &mut self.boxes {
            one.update(&self.table, &self.directory, now);
        }
    }
}

fn ms(ms: f64) -> Micros {
    (ms * 1e3) as Micros
}

fn name_of(index: usize) -> String {
    format!("engine-{index}")
}

/// The place of an engine, by its name.
fn engine_of(server: &Server) -> Option<usize> {
    server.name.strip_prefix("engine-")?.parse().ok()
}

fn life_of(server: &Server) -> u32 {
    server.id.rsplit_once('@').and_then(|(_, life)| life.parse().ok()).unwrap_or_default()
}

fn address(from: usize) -> SocketAddr {
    ([10, 1, (from / 250) as u8, (from % 250) as u8 + 1], 80).into()
}

/// The parts that make up the first so many tokens.
fn prefix_of(parts: &[Part], tokens: u32) -> Vec<Part> {
    let mut left = tokens;
    let fits = |part: &&Part| {
        let fits = part.tokens <= left;
        left = left.saturating_sub(part.tokens);
        fits
    };
    parts.iter().take_while(fits).copied().collect()
}
