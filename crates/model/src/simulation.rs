//! Discrete-event simulation of a deployment.

use crate::arrivals::arrivals;
use crate::client_request::ClientRequest;
use crate::engine::{Engine, Job, StepOutput};
use crate::outcome::{ClassRecorder, RequestEnd};
use crate::router::{routing_table, Refused, Request, Router, RouterContext, SERVICE};
use crate::{Arm, Deployment, FaultKind, Micros, Outcome};
use placement::{Choice, Ending, Limit, LimitUpdate, Millis, Owner, Part, SendReport, SendUpdate};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use routing::{Change, Directory, Position, Server, Table, Version};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;

/// Delay until all boxes know that an engine is leaving or has started.
const DIRECTORY_DELAY: Micros = 100_000;

/// Time after which the directory entry of a crashed engine is removed.
const DIRECTORY_ENTRY_TTL: Micros = 3_600_000;

/// Maximum number of servers to which one attempt of a caller is sent.
const MAX_SENDS_PER_ATTEMPT: usize = 2;

/// Maximum number of attempts of a caller.
const MAX_ATTEMPTS: u32 = 4;

/// Largest fraction of its remaining time that a refused caller waits before it retries.
const MAX_WAIT_RATIO: f64 = 1.0 / 3.0;

/// Standard deviation of the logarithm of the boxes' shares of callers.
const BOX_LOAD_SPREAD: f64 = 0.4;

/// Largest fraction of an engine's memory that cached parts are expected to fill; boxes report it to owners with each
/// send.
const CACHE_MEMORY_RATIO: f64 = 0.8;

/// Events of the simulation. Requests and engines are given by index, sends by number.
#[derive(Clone, Debug)]
enum Event {
    /// A caller makes an attempt.
    Attempt(usize),
    /// A box places a request.
    Place(usize),
    /// A send reaches its engine.
    ReachEngine(u64),
    /// The cached parts that a send fetches from another engine have arrived.
    FetchDone(u64),
    /// A step of an engine ends; the second value is the engine's instance.
    StepDone(usize, u32),
    /// A streamed event of a send reaches its box and caller.
    Output(u64, StepOutput),
    /// The box loses the connection of a send because its engine has crashed or is down.
    ConnectionLost(u64),
    /// A caller gives up.
    CallerTimeout(usize),
    /// A fault begins (`true`) or ends (`false`).
    Fault(usize, bool),
    /// The server directory changes.
    DirectoryChange(Change),
    /// A rate limit that a box received from an engine reaches all other boxes.
    LimitUpdate(usize, LimitUpdate),
}

/// One send of a request to an engine.
struct ActiveSend {
    request: usize,
    engine: usize,
    instance: u32,
    choice: Choice,
    /// Prompt tokens whose cache entries are fetched from another engine.
    fetched_tokens: u32,
    sent_at: Micros,
    /// True once the first event has arrived, which shows that the prompt was prefilled.
    prefilled: bool,
    /// True once a gap above the limit has been reported.
    late_reported: bool,
}

/// A machine that runs an engine; successive instances of the engine replace each other there.
struct EngineNode {
    engine: Engine,
    /// Slowdown of the engine while no fault affects it.
    base_slowdown: f64,
    hall: String,
    instance: u32,
    down: bool,
    /// Rate limit that the engine announces.
    limit: Limit,
}

/// A simulation of one deployment with one arm and one seed.
pub struct Simulation<'a> {
    deployment: &'a Deployment,
    arm: Arm,
    rng: ChaCha8Rng,
    now: Micros,
    /// Last number given to an event or a send. It orders events that are due at the same time.
    last_number: u64,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    boxes: Vec<Router>,
    /// Cumulative weights of the boxes, by which callers choose among them.
    cumulative_weights: Vec<f64>,
    owner: Owner,
    engines: Vec<EngineNode>,
    table: Table,
    directory: Directory,
    servers: Vec<Arc<Server>>,
    requests: Vec<ClientRequest>,
    sends: BTreeMap<u64, ActiveSend>,
    recorders: Vec<ClassRecorder>,
    /// Shared parts that some engine has already received in a request.
    received_parts: BTreeSet<u64>,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    /// Creates a simulation at virtual time 0.
    #[must_use]
    pub fn new(deployment: &'a Deployment, arm: Arm, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let speed_spread =
            LogNormal::new(0.0, deployment.engine_spec.speed_spread).expect("valid parameters of a deployment");
        let load_spread = LogNormal::new(0.0, BOX_LOAD_SPREAD).expect("valid constant");
        let hall = |index: usize| format!("hall-{}", index % deployment.halls);
        let engines = (0..deployment.engines).map(|index| {
            let slowdown = speed_spread.sample(&mut rng);
            let engine = Engine::new(&deployment.engine_spec, slowdown);
            EngineNode {
                engine,
                base_slowdown: slowdown,
                hall: hall(index),
                instance: 1,
                down: false,
                limit: Limit::None,
            }
        });
        let engines: Vec<EngineNode> = engines.collect();
        let boxes = (0..deployment.boxes).map(|index| Router::new(&hall(index), rng.random())).collect();
        let mut sum = 0.0;
        let cumulative_weights = (0..deployment.boxes).map(|_| {
            sum += load_spread.sample(&mut rng);
            sum
        });
        let cumulative_weights = cumulative_weights.collect();
        let mut simulation = Self {
            deployment,
            arm,
            now: 0,
            last_number: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            boxes,
            cumulative_weights,
            owner: Owner::default(),
            engines,
            table: routing_table(deployment, arm),
            directory: Directory::default(),
            servers: Vec::new(),
            requests: Vec::new(),
            sends: BTreeMap::new(),
            recorders: deployment.classes.iter().map(ClassRecorder::new).collect(),
            received_parts: BTreeSet::new(),
            outcome: Outcome::default(),
            rng,
        };
        let entries = (0..deployment.engines).map(|index| simulation.directory_entry(index, false));
        let entries: Vec<Change> = entries.map(Change::Present).collect();
        simulation.apply_changes(entries);
        simulation.schedule_inputs(seed);
        simulation
    }

    /// Schedules all external events: arrivals, callers' timeouts and faults.
    fn schedule_inputs(&mut self, seed: u64) {
        let Deployment { classes, bursts, faults, seconds, .. } = self.deployment;
        for (index, class) in classes.iter().enumerate() {
            for arrival in arrivals(index, class, bursts, *seconds, seed) {
                let number = self.requests.len();
                self.schedule_at(arrival.at, Event::Attempt(number));
                self.schedule_at(arrival.at + ms_to_micros(class.timeout_ms), Event::CallerTimeout(number));
                self.requests.push(ClientRequest::new(arrival));
            }
        }
        for (index, fault) in faults.iter().enumerate() {
            self.schedule_at(ms_to_micros(fault.at_s * 1e3), Event::Fault(index, true));
            self.schedule_at(ms_to_micros((fault.at_s + fault.for_s) * 1e3), Event::Fault(index, false));
        }
    }

    /// Runs the simulation until no events are left.
    #[must_use]
    pub fn run(mut self) -> Outcome {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.outcome.prefilled_tokens = self.engines.iter().map(|node| node.engine.prefilled_tokens).sum();
        self.outcome.preempted = self.engines.iter().map(|node| node.engine.preempted).sum();
        self.outcome.classes = self.recorders.into_iter().map(ClassRecorder::finish).collect();
        self.outcome
    }

    fn schedule_at(&mut self, at: Micros, event: Event) {
        self.last_number += 1;
        self.queue.push(Reverse((at, self.last_number)));
        self.events.insert(self.last_number, event);
    }

    fn schedule_after(&mut self, time: Micros, event: Event) {
        self.schedule_at(self.now + time, event);
    }

    fn millis(&self) -> Millis {
        self.now / 1_000
    }

    /// Returns the one-way network delay between a box and an engine.
    fn network_delay(&self, from: usize, engine: usize) -> Micros {
        let near = self.boxes[from].hall == self.engines[engine].hall;
        ms_to_micros(if near { self.deployment.near_ms } else { self.deployment.far_ms })
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Attempt(request) => self.on_attempt(request),
            Event::Place(request) => self.on_place(request),
            Event::ReachEngine(send) => self.on_reach_engine(send),
            Event::FetchDone(send) => self.on_fetch_done(send),
            Event::StepDone(engine, instance) => self.on_step_done(engine, instance),
            Event::Output(send, output) => self.on_output(send, output),
            Event::ConnectionLost(send) => self.on_connection_lost(send),
            Event::CallerTimeout(request) => self.on_caller_timeout(request),
            Event::Fault(index, begins) => self.on_fault(index, begins),
            Event::DirectoryChange(change) => self.apply_changes(vec![change]),
            Event::LimitUpdate(from, update) => self.on_limit_update(from, &update),
        }
    }

    /// Sends a caller's request to a box; each attempt draws the box anew.
    fn on_attempt(&mut self, number: usize) {
        let request = &mut self.requests[number];
        if request.ended {
            return;
        }
        let draw = routing::rank(request.arrival.box_seed, &request.attempts.to_string()) as f64 / u64::MAX as f64;
        let at = draw * self.cumulative_weights.last().copied().unwrap_or_default();
        request.box_index = self.cumulative_weights.partition_point(|sum| *sum < at).min(self.boxes.len() - 1);
        request.attempts += 1;
        request.tried_servers.clear();
        self.schedule_placement(number);
    }

    /// Schedules the placement of a request. If the box queries owners first, this takes a round trip, and between
    /// halls if there are several, which is the worst case.
    fn schedule_placement(&mut self, number: usize) {
        let queries_owners = self.arm.uses_placement() && self.arm != Arm::WithoutOwners;
        let far = if self.deployment.halls > 1 { self.deployment.far_ms } else { self.deployment.near_ms };
        self.schedule_after(if queries_owners { ms_to_micros(2.0 * far) } else { 0 }, Event::Place(number));
    }

    fn on_place(&mut self, number: usize) {
        let now = self.millis();
        let request = &self.requests[number];
        if request.ended {
            return;
        }
        let class = &self.deployment.classes[request.arrival.class];
        let routed = Request { prompt: &request.arrival.prompt, class, tried: &request.tried_servers, now };
        let mut context = RouterContext {
            arm: self.arm,
            owner: &mut self.owner,
            servers: &self.servers,
            rng: &mut self.rng,
            owner_queries: &mut self.outcome.owner_queries,
        };
        self.outcome.choices += 1;
        match self.boxes[request.box_index].choose(routed, &mut context) {
            Ok(choice) => self.send(number, choice),
            Err(Refused(retry_ms)) => self.on_refused(number, retry_ms),
        }
    }

    /// Lets a refused caller retry if it has attempts and enough time left.
    fn on_refused(&mut self, number: usize, retry_ms: Millis) {
        let request = &self.requests[number];
        let class = &self.deployment.classes[request.arrival.class];
        let left = (request.arrival.at + ms_to_micros(class.timeout_ms)).saturating_sub(self.now);
        let retries = request.attempts < MAX_ATTEMPTS && (retry_ms * 1_000) as f64 <= left as f64 * MAX_WAIT_RATIO;
        if retries {
            self.schedule_after(retry_ms * 1_000, Event::Attempt(number));
        } else {
            self.finish_request(number, RequestEnd::Refused);
        }
    }

    fn send(&mut self, number: usize, choice: Choice) {
        let Some(engine) = engine_index(&choice.server) else { return };
        self.last_number += 1;
        let send = self.last_number;
        let request = &mut self.requests[number];
        request.tried_servers.push(choice.server.id.clone());
        request.active_send = Some(send);
        let (from, prompt, work) = (request.box_index, request.arrival.prompt.clone(), choice.work);
        let placement = &mut self.boxes[from].placement;
        placement.record_sent(SERVICE, &choice.server.id, work);
        let memory = (self.deployment.engine_spec.memory_tokens as f64 * CACHE_MEMORY_RATIO) as u64;
        let update = SendUpdate::Sent { parts: prompt.parts, work, memory, permitted: choice.permit_quotas.is_some() };
        self.report(from, send, &choice.server.id, update);
        let instance = instance_number(&choice.server);
        let active_send = ActiveSend {
            request: number,
            engine,
            instance,
            choice,
            fetched_tokens: 0,
            sent_at: self.now,
            prefilled: false,
            late_reported: false,
        };
        self.sends.insert(send, active_send);
        let delay = self.network_delay(from, engine);
        self.schedule_after(delay, Event::ReachEngine(send));
    }

    fn report(&mut self, from: usize, number: u64, server: &str, update: SendUpdate) {
        let report = SendReport { number, server: server.to_owned(), update };
        self.owner.on_report(box_address(from), report, self.now / 1_000);
    }

    /// Starts the fetch of cached parts when a send reaches its engine; the request is queued when the fetch is done.
    fn on_reach_engine(&mut self, number: u64) {
        let Some(send) = self.sends.get(&number) else { return };
        let node = &self.engines[send.engine];
        if node.down || node.instance != send.instance {
            let delay = self.network_delay(self.requests[send.request].box_index, send.engine);
            return self.schedule_after(delay, Event::ConnectionLost(number));
        }
        let parts = &self.requests[send.request].arrival.prompt.parts;
        let source = send.choice.fetch.and_then(|address| self.servers.iter().find(|s| s.address == address));
        let source = source.and_then(|server| engine_index(server)).filter(|index| !self.engines[*index].down);
        let own_tokens = node.engine.cache.cached_prefix_tokens(parts);
        let source_tokens = source.map_or(0, |index| self.engines[index].engine.cache.cached_prefix_tokens(parts));
        let fetched = source_tokens.saturating_sub(own_tokens);
        let bits = f64::from(fetched) * self.deployment.engine_spec.token_bytes as f64 * 8.0;
        let duration = ms_to_micros(bits / (self.deployment.engine_spec.link_mbps * 1e3));
        if let Some(send) = self.sends.get_mut(&number) {
            send.fetched_tokens = fetched;
        }
        self.schedule_after(duration, Event::FetchDone(number));
    }

    fn on_fetch_done(&mut self, number: u64) {
        let Some(send) = self.sends.get(&number) else { return };
        let node = &mut self.engines[send.engine];
        if node.down || node.instance != send.instance {
            return self.schedule_after(0, Event::ConnectionLost(number));
        }
        let ClientRequest { arrival, .. } = &self.requests[send.request];
        let parts = &arrival.prompt.parts;
        if send.fetched_tokens > 0 {
            self.outcome.fetched_tokens += u64::from(send.fetched_tokens);
            node.engine
                .cache
                .insert_fetched(&leading_parts(parts, send.fetched_tokens), self.deployment.engine_spec.memory_tokens);
        }
        let shared = &parts[..parts.len() - 1];
        for part in shared.iter().filter(|part| !node.engine.cache.is_prefilled(part.id)) {
            if !self.received_parts.insert(part.id) {
                self.outcome.recomputed_tokens += u64::from(part.tokens);
            }
        }
        let urgency = self.deployment.classes[arrival.class].urgency;
        let job = Job {
            send: number,
            urgency,
            parts: parts.clone(),
            prompt_tokens: arrival.prompt.tokens,
            out_tokens: arrival.out_tokens,
        };
        node.engine.enqueue(job);
        let engine = send.engine;
        self.start_next_step(engine);
    }

    /// Begins an engine's next step, unless one is in progress or there is nothing to do.
    fn start_next_step(&mut self, index: usize) {
        let node = &mut self.engines[index];
        if node.down || node.engine.step_in_progress {
            return;
        }
        let instance = node.instance;
        if let Some(duration) = node.engine.begin_step() {
            self.schedule_after(duration, Event::StepDone(index, instance));
        }
    }

    fn on_step_done(&mut self, index: usize, instance: u32) {
        let node = &mut self.engines[index];
        if node.instance != instance || node.down {
            return;
        }
        for (send, output) in node.engine.finish_step() {
            let from = self.sends.get(&send).map(|send| self.requests[send.request].box_index);
            if let Some(from) = from {
                let delay = self.network_delay(from, index);
                self.schedule_after(delay, Event::Output(send, output));
            }
        }
        self.start_next_step(index);
    }

    /// Handles a streamed event that reaches its box and caller.
    fn on_output(&mut self, number: u64, output: StepOutput) {
        let Some(send) = self.sends.get_mut(&number) else { return };
        let (request_number, id, work) = (send.request, send.choice.server.id.clone(), send.choice.work);
        let (engine, sent_at) = (send.engine, send.sent_at);
        let first = !std::mem::replace(&mut send.prefilled, true);
        let request = &mut self.requests[request_number];
        let class = &self.deployment.classes[request.arrival.class];
        let gap = request.last_event_at.map_or(0, |last| self.now - last);
        request.first_event_at.get_or_insert(self.now);
        request.last_event_at = Some(self.now);
        request.max_gap = request.max_gap.max(gap);
        let late = gap > ms_to_micros(class.gap_ms) && !std::mem::replace(&mut send.late_reported, true);
        let directories = if first { std::mem::take(&mut send.choice.cache_directories) } else { Vec::new() };
        let (from, prompt) = (request.box_index, request.arrival.prompt.clone());
        if first {
            let placement = &mut self.boxes[from].placement;
            placement.record_prefilled(SERVICE, &id, work);
            placement.record_cached(SERVICE, &id, &prompt);
            self.report(from, number, &id, SendUpdate::Read);
            self.record_limit(from, engine, &id, sent_at);
        }
        for (holder, part) in directories {
            self.report(from, 0, &holder.id, SendUpdate::Elsewhere { part, by: id.clone() });
        }
        if late {
            self.boxes[from].placement.record_late(SERVICE, &id, work);
            self.report(from, number, &id, SendUpdate::Late);
        }
        if output == StepOutput::Last {
            self.finish_send(number, Ending::Good);
            self.finish_request(request_number, RequestEnd::Answered);
        }
    }

    /// Records the rate limit that an engine announced to a box in its answer to a request that was sent at `sent`, and
    /// broadcasts it if necessary.
    fn record_limit(&mut self, from: usize, engine: usize, id: &str, sent: Micros) {
        let uses_limits = self.arm.uses_placement() && self.arm != Arm::WithoutLimits;
        let limit = self.engines[engine].limit;
        let now = self.millis();
        let update =
            uses_limits.then(|| self.boxes[from].placement.record_limit(id, limit, sent / 1_000, now)).flatten();
        if let Some(update) = update {
            self.schedule_after(ms_to_micros(self.deployment.far_ms), Event::LimitUpdate(from, update));
        }
    }

    fn on_limit_update(&mut self, from: usize, update: &LimitUpdate) {
        let now = self.millis();
        for (_, router) in self.boxes.iter_mut().enumerate().filter(|(index, _)| *index != from) {
            router.placement.on_limit_update(update, now);
        }
    }

    /// Removes a send that has ended, and reports its end to the owner.
    fn finish_send(&mut self, number: u64, ending: Ending) {
        let Some(send) = self.sends.remove(&number) else { return };
        let (id, work) = (send.choice.server.id.clone(), send.choice.work);
        let request = &mut self.requests[send.request];
        request.active_send = None;
        let (from, pause_ms) = (request.box_index, (request.max_gap / 1_000) as u32);
        let now = self.millis();
        let placement = &mut self.boxes[from].placement;
        if !send.prefilled {
            placement.record_prefilled(SERVICE, &id, work);
        }
        if !send.late_reported {
            placement.record_late(SERVICE, &id, work);
        }
        placement.record_end(SERVICE, &id, work, ending, now);
        self.report(from, number, &id, SendUpdate::Ended { ending, pause_ms });
    }

    /// Sends a request to another engine after its connection was lost, or ends it if the attempt has no sends left.
    fn on_connection_lost(&mut self, number: u64) {
        let Some(request) = self.sends.get(&number).map(|send| send.request) else { return };
        self.finish_send(number, Ending::Broken);
        if self.requests[request].tried_servers.len() < MAX_SENDS_PER_ATTEMPT {
            self.schedule_placement(request);
        } else {
            self.finish_request(request, RequestEnd::Lost);
        }
    }

    /// Cancels a request whose caller gives up.
    fn on_caller_timeout(&mut self, number: usize) {
        if self.requests[number].ended {
            return;
        }
        if let Some(send) = self.requests[number].active_send {
            let engine = self.sends.get(&send).map(|send| send.engine);
            self.finish_send(send, Ending::Left);
            if let Some(engine) = engine {
                self.engines[engine].engine.cancel(send);
            }
        }
        self.finish_request(number, RequestEnd::Lost);
    }

    fn finish_request(&mut self, number: usize, end: RequestEnd) {
        let request = &mut self.requests[number];
        if std::mem::replace(&mut request.ended, true) {
            return;
        }
        let class = &self.deployment.classes[request.arrival.class];
        let first = request.first_event_at.map(|at| at - request.arrival.at);
        self.recorders[request.arrival.class].record(class, end, first, request.max_gap);
    }

    fn on_fault(&mut self, index: usize, begins: bool) {
        let fault = &self.deployment.faults[index];
        // Seeded by the index only, so that a fault affects the same engines at its start and its end, and under all
        // arms.
        let mut rng = ChaCha8Rng::seed_from_u64(index as u64 + 1);
        let mut affected: Vec<usize> = (0..self.engines.len()).collect();
        affected.shuffle(&mut rng);
        affected.truncate((fault.share * self.engines.len() as f64).round() as usize);
        for engine in affected {
            match (fault.kind, begins) {
                (FaultKind::Slow, _) => self.set_slowdown(engine, if begins { fault.times } else { 1.0 }),
                (FaultKind::Limit, true) => self.engines[engine].limit = Limit::PerS(fault.times),
                (FaultKind::Limit, false) => self.engines[engine].limit = Limit::None,
                (FaultKind::Crash, true) => self.crash(engine),
                (FaultKind::Crash, false) => self.restart(engine),
                (FaultKind::Leave, true) => {
                    let draining = self.directory_entry(engine, true);
                    self.schedule_after(DIRECTORY_DELAY, Event::DirectoryChange(Change::Present(draining)));
                }
                (FaultKind::Leave, false) => {
                    self.crash(engine);
                    self.restart(engine);
                }
            }
        }
    }

    /// Sets an engine's step durations to `times` its usual ones.
    fn set_slowdown(&mut self, index: usize, times: f64) {
        let node = &mut self.engines[index];
        node.engine.slowdown = node.base_slowdown * times;
    }

    /// Takes an engine down. Its requests lose their connections, and its cache is lost.
    fn crash(&mut self, index: usize) {
        let node = &mut self.engines[index];
        if std::mem::replace(&mut node.down, true) {
            return;
        }
        let name = engine_name(index);
        for send in node.engine.send_ids() {
            if let Some(from) = self.sends.get(&send).map(|send| self.requests[send.request].box_index) {
                let delay = self.network_delay(from, index);
                self.schedule_after(delay, Event::ConnectionLost(send));
            }
        }
        let node = &mut self.engines[index];
        let slowdown = node.base_slowdown;
        let counts = (node.engine.prefilled_tokens, node.engine.preempted);
        node.engine = Engine::new(&self.deployment.engine_spec, slowdown);
        (node.engine.prefilled_tokens, node.engine.preempted) = counts;
        node.instance += 1;
        node.limit = Limit::None;
        self.schedule_after(DIRECTORY_ENTRY_TTL, Event::DirectoryChange(Change::Gone(name)));
    }

    /// Starts a new instance of an engine.
    fn restart(&mut self, index: usize) {
        self.engines[index].down = false;
        let entry = self.directory_entry(index, false);
        self.schedule_after(DIRECTORY_DELAY, Event::DirectoryChange(Change::Present(entry)));
    }

    fn directory_entry(&self, index: usize, draining: bool) -> Server {
        let node = &self.engines[index];
        let name = engine_name(index);
        Server {
            id: format!("{name}@{}", node.instance),
            name,
            service: SERVICE.to_owned(),
            address: ([10, 2, (index / 250) as u8, (index % 250) as u8 + 1], 80).into(),
            version: Version::new("1"),
            hall: node.hall.clone(),
            slots: self.deployment.engine_spec.slots,
            draining,
            cold_ms: 0,
        }
    }

    /// Applies changes to the server directory, and hands it to all boxes.
    fn apply_changes(&mut self, changes: Vec<Change>) {
        // A delayed removal applies to the crashed instance only, not to one that has started since.
        let is_stale = |change: &Change| matches!(change, Change::Gone(name) if self.engines.iter().enumerate().any(|(index, node)| !node.down && engine_name(index) == *name));
        let changes: Vec<Change> = changes.into_iter().filter(|change| !is_stale(change)).collect();
        self.directory.apply(changes, Position::new(0, self.now + 1));
        self.servers = self.directory.servers.values().cloned().collect();
        let now = self.millis();
        for router in &mut self.boxes {
            router.update(&self.table, &self.directory, now);
        }
    }
}

fn ms_to_micros(ms: f64) -> Micros {
    (ms * 1e3) as Micros
}

fn engine_name(index: usize) -> String {
    format!("engine-{index}")
}

/// Returns the index of an engine, taken from its name.
fn engine_index(server: &Server) -> Option<usize> {
    server.name.strip_prefix("engine-")?.parse().ok()
}

fn instance_number(server: &Server) -> u32 {
    server.id.rsplit_once('@').and_then(|(_, instance)| instance.parse().ok()).unwrap_or_default()
}

fn box_address(from: usize) -> SocketAddr {
    ([10, 1, (from / 250) as u8, (from % 250) as u8 + 1], 80).into()
}

/// Returns the leading parts that fit into the first `tokens` tokens.
fn leading_parts(parts: &[Part], tokens: u32) -> Vec<Part> {
    let mut left = tokens;
    let fits = |part: &&Part| {
        let fits = part.tokens <= left;
        left = left.saturating_sub(part.tokens);
        fits
    };
    parts.iter().take_while(fits).copied().collect()
}
