//! Measures the messages between boxes and a shard's owner for each request, with the production code of
//! all of them in virtual time and without a network.

use crate::owner_benchmark::layout;
use catalog::{BoxId, ClassId, CustomerId};
use cleatshelf::Envelope;
use policy::{Acquire, Action, Broker, Cause, Message, Report, SchedulingMode, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::ops::Range;

/// Classes of the requests, all equally frequent.
const CLASS_COUNT: usize = 8;

/// Number of servers of the shard.
const SERVER_COUNT: usize = 12;

/// Step of virtual time.
const STEP_MS: u64 = 10;
/// Number of steps between two ticks of a box.
const STEPS_PER_TICK: u64 = 2;

/// First id of a box's requests, as large as the wall-clock time makes it in production.
const FIRST_REQUEST_ID: u64 = 3 << 30;

/// A shard, the boxes that use it and their load.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Number of boxes that use the shard; one of them owns it.
    pub boxes: usize,
    /// Slots of each server.
    pub slots: usize,
    /// Requests per second of all boxes together.
    pub requests_per_s: f64,
    /// Range of answer durations in milliseconds.
    pub length_ms: Range<u64>,
    /// Number of distinct prompt prefixes, all equally frequent; prefix 0 stands for prompts too short to
    /// have one.
    pub prefixes: u32,
    /// Warm-up time before the measurement, in seconds.
    pub warmup_s: u64,
    /// Measurement time in seconds.
    pub duration_s: u64,
}

impl Default for Exchange {
    /// The present number of slots, two thirds of them in use.
    fn default() -> Self {
        let (slots, length_ms) = (8, 500..2_500);
        Self { boxes: 8, slots, requests_per_s: 43.0, length_ms, prefixes: 1, warmup_s: 5, duration_s: 20 }
    }
}

impl Exchange {
    /// A shard at the size planned for the next two years: 27 of 78 boxes use it, with 95 requests per
    /// second of 22.5 s on average.
    #[must_use]
    pub fn planned() -> Self {
        let length_ms = 10_000..35_000;
        Self { boxes: 27, slots: 200, requests_per_s: 95.0, length_ms, prefixes: 8, warmup_s: 60, duration_s: 30 }
    }

    /// Runs the simulation and returns the counts of the measurement time.
    #[must_use]
    pub fn run(&self, seed: u64) -> ExchangeStats {
        let mut simulation = Simulation::new(self, seed);
        for step in 0..(self.warmup_s + self.duration_s) * 1_000 / STEP_MS {
            if step == self.warmup_s * 1_000 / STEP_MS {
                simulation.stats = ExchangeStats::default();
            }
            simulation.step(self, step);
        }
        simulation.stats
    }
}

/// Counts of one measurement.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExchangeStats {
    /// Requests that arrived at boxes.
    pub requests: u64,
    /// Messages between boxes.
    pub messages: u64,
    /// Bytes of the frames of these messages.
    pub bytes: u64,
    /// Refused requests.
    pub refused: u64,
}

impl ExchangeStats {
    /// Returns the number of messages per request.
    #[must_use]
    pub fn messages_per_request(&self) -> f64 {
        self.messages as f64 / self.requests.max(1) as f64
    }

    /// Returns the bytes of frames per request.
    #[must_use]
    pub fn bytes_per_request(&self) -> f64 {
        self.bytes as f64 / self.requests.max(1) as f64
    }
}

struct Simulation {
    now: Time,
    random: ChaCha8Rng,
    ids: Vec<BoxId>,
    brokers: Vec<Broker>,
    messages_in_flight: Vec<(usize, BoxId, Message)>,
    /// Running requests: end time, index of the box and request id.
    running: Vec<(Time, usize, u64)>,
    length_ms: Range<u64>,
    stats: ExchangeStats,
}

impl Simulation {
    fn new(exchange: &Exchange, seed: u64) -> Self {
        let now = Time(10_000);
        let ids: Vec<BoxId> = (0..exchange.boxes).map(|i| BoxId::of(&format!("b{i}"))).collect();
        let brokers =
            ids.iter().map(|id| Broker::new(*id, "h", SchedulingMode::Owner, FIRST_REQUEST_ID, now)).collect();
        let mut simulation = Self {
            now,
            random: ChaCha8Rng::seed_from_u64(seed),
            ids: ids.clone(),
            brokers,
            messages_in_flight: Vec::new(),
            running: Vec::new(),
            length_ms: exchange.length_ms.clone(),
            stats: ExchangeStats::default(),
        };
        let layout = layout(SERVER_COUNT, exchange.slots, CLASS_COUNT);
        let view = BTreeMap::from([("h".to_owned(), ids)]);
        for i in 0..simulation.brokers.len() {
            let actions = simulation.brokers[i].set_layout(std::rc::Rc::clone(&layout), now);
            simulation.apply(i, actions);
            let actions = simulation.brokers[i].set_boxes(view.clone(), Vec::new(), now);
            simulation.apply(i, actions);
        }
        simulation
    }

    fn apply(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    let envelope = Envelope::Policy(message.clone());
                    self.stats.bytes += wire::Frame::encode(&envelope).map_or(0, |f| f.wire_bytes()) as u64;
                    self.stats.messages += 1;
                    self.messages_in_flight.push((from, to, message));
                }
                Action::Granted { id, .. } => {
                    let length = self.random.random_range(self.length_ms.clone());
                    self.running.push((self.now.after(length), from, id));
                }
                Action::Refused(..) => self.stats.refused += 1,
                _ => {}
            }
        }
    }

    fn step(&mut self, exchange: &Exchange, step: u64) {
        self.now = self.now.after(STEP_MS);
        for (from, to, message) in std::mem::take(&mut self.messages_in_flight) {
            let Some(target) = self.ids.iter().position(|id| *id == to) else { continue };
            let actions = self.brokers[target].receive(self.ids[from], message, self.now);
            self.apply(target, actions);
        }
        if self.random.random_bool((exchange.requests_per_s * STEP_MS as f64 / 1_000.0).min(1.0)) {
            self.start_request(exchange);
        }
        self.return_ended_leases();
        if step.is_multiple_of(STEPS_PER_TICK) {
            for i in 0..self.brokers.len() {
                let actions = self.brokers[i].tick(self.now);
                self.apply(i, actions);
            }
        }
    }

    fn start_request(&mut self, exchange: &Exchange) {
        let i = self.random.random_range(0..self.brokers.len());
        let acquire = Acquire {
            serves: "m".into(),
            class: ClassId::of(&format!("c{}", self.random.random_range(0..CLASS_COUNT))),
            customer: CustomerId(self.random.random()),
            tokens: 500,
            prefix: self.random.random_range(0..exchange.prefixes) * 0x0101_0101,
            resumable: true,
            arrived: self.now,
            cause: Cause::First,
            avoid: None,
        };
        self.stats.requests += 1;
        let (_, actions) = self.brokers[i].acquire(acquire, self.now);
        self.apply(i, actions);
    }

    fn return_ended_leases(&mut self) {
        let now = self.now;
        let (ended, still_running) = std::mem::take(&mut self.running).into_iter().partition(|(at, ..)| *at <= now);
        self.running = still_running;
        let ended: Vec<(Time, usize, u64)> = ended;
        for (_, i, id) in ended {
            let report = Report { tokens: 500, first_ms: 300, between_tenths: 400, failed: false, unused: false };
            let actions = self.brokers[i].return_lease(id, report, now);
            self.apply(i, actions);
        }
    }
}
