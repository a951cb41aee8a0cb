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
const CLASSES: usize = 8;

/// Number of servers of the shard.
const SERVERS: usize = 12;

/// Step of virtual time.
const STEP_MS: u64 = 10;
const TICK_STEPS: u64 = 2;

/// First id of a box's requests, as large as the wall-clock time makes it in production.
const FIRST: u64 = 3 << 30;

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
        let mut world = World::new(self, seed);
        for step in 0..(self.warmup_s + self.duration_s) * 1_000 / STEP_MS {
            if step == self.warmup_s * 1_000 / STEP_MS {
                world.seen = ExchangeStats::default();
            }
            world.step(self, step);
        }
        world.seen
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

struct World {
    now: Time,
    random: ChaCha8Rng,
    ids: Vec<BoxId>,
    brokers: Vec<Broker>,
    mail: Vec<(usize, BoxId, Message)>,
    /// Running requests: end time, index of the box and request id.
    ends: Vec<(Time, usize, u64)>,
    length_ms: Range<u64>,
    seen: ExchangeStats,
}

impl World {
    fn new(exchange: &Exchange, seed: u64) -> Self {
        let now = Time(10_000);
        let ids: Vec<BoxId> = (0..exchange.boxes).map(|i| BoxId::of(&format!("b{i}"))).collect();
        let brokers = ids.iter().map(|id| Broker::new(*id, "h", SchedulingMode::Owner, FIRST, now)).collect();
        let mut world = Self {
            now,
            random: ChaCha8Rng::seed_from_u64(seed),
            ids: ids.clone(),
            brokers,
            mail: Vec::new(),
            ends: Vec::new(),
            length_ms: exchange.length_ms.clone(),
            seen: ExchangeStats::default(),
        };
        let layout = layout(SERVERS, exchange.slots, CLASSES);
        let view = BTreeMap::from([("h".to_owned(), ids)]);
        for i in 0..world.brokers.len() {
            let actions = world.brokers[i].set_layout(std::rc::Rc::clone(&layout), now);
            world.take(i, actions);
            let actions = world.brokers[i].set_boxes(view.clone(), Vec::new(), now);
            world.take(i, actions);
        }
        world
    }

    fn take(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    let envelope = Envelope::Policy(message.clone());
                    self.seen.bytes += wire::Frame::encode(&envelope).map_or(0, |f| f.wire_bytes()) as u64;
                    self.seen.messages += 1;
                    self.mail.push((from, to, message));
                }
                Action::Granted { id, .. } => {
                    let length = self.random.random_range(self.length_ms.clone());
                    self.ends.push((self.now.after(length), from, id));
                }
                Action::Refused(..) => self.seen.refused += 1,
                _ => {}
            }
        }
    }

    fn step(&mut self, exchange: &Exchange, step: u64) {
        self.now = self.now.after(STEP_MS);
        for (from, to, message) in std::mem::take(&mut self.mail) {
            let Some(target) = self.ids.iter().position(|id| *id == to) else { continue };
            let actions = self.brokers[target].receive(self.ids[from], message, self.now);
            self.take(target, actions);
        }
        if self.random.random_bool((exchange.requests_per_s * STEP_MS as f64 / 1_000.0).min(1.0)) {
            self.request(exchange);
        }
        self.end_some();
        if step.is_multiple_of(TICK_STEPS) {
            for i in 0..self.brokers.len() {
                let actions = self.brokers[i].tick(self.now);
                self.take(i, actions);
            }
        }
    }

    fn request(&mut self, exchange: &Exchange) {
        let i = self.random.random_range(0..self.brokers.len());
        let acquire = Acquire {
            serves: "m".into(),
            class: ClassId::of(&format!("c{}", self.random.random_range(0..CLASSES))),
            customer: CustomerId(self.random.random()),
            tokens: 500,
            prefix: self.random.random_range(0..exchange.prefixes) * 0x0101_0101,
            resumable: true,
            arrived: self.now,
            cause: Cause::First,
            avoid: None,
        };
        self.seen.requests += 1;
        let (_, actions) = self.brokers[i].acquire(acquire, self.now);
        self.take(i, actions);
    }

    fn end_some(&mut self) {
        let now = self.now;
        let (over, going) = std::mem::take(&mut self.ends).into_iter().partition(|(at, ..)| *at <= now);
        self.ends = going;
        let over: Vec<(Time, usize, u64)> = over;
        for (_, i, id) in over {
            let report = Report { tokens: 500, first_ms: 300, between_tenths: 400, failed: false, unused: false };
            let actions = self.brokers[i].return_lease(id, report, now);
            self.take(i, actions);
        }
    }
}
