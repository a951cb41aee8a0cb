//! What boxes and a shard's owner say to each other for each request: the real code of all of them in
//! virtual time, without a network.

use crate::owner_benchmark::layout;
use catalog::{BoxId, ClassId, CustomerId};
use cleatshelf::Envelope;
use policy::{Acquire, Action, Broker, Cause, Message, Report, SchedulingMode, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::ops::Range;

/// Classes of the requests, all as often.
const CLASSES: usize = 8;

/// Servers of the shard.
const SERVERS: usize = 12;

/// A step of virtual time, and how many steps a box's tick is apart, in milliseconds.
const STEP_MS: u64 = 10;
const TICK_STEPS: u64 = 2;

/// A box's first number, as large as the time of day makes it.
const FIRST: u64 = 3 << 30;

/// A shard, the boxes that use it, and what they are asked for.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Boxes that use the shard; one of them owns it.
    pub boxes: usize,
    /// Slots of each of the twelve servers.
    pub slots: usize,
    /// Requests a second, over all boxes.
    pub requests_per_s: f64,
    /// How long answers take, in milliseconds.
    pub length_ms: Range<u64>,
    /// Beginnings of prompts, all as often; 0 is for prompts too short to have one.
    pub prefixes: u32,
    /// How long it goes on before it is looked at, in seconds.
    pub warmup_s: u64,
    /// How long it is looked at, in seconds.
    pub duration_s: u64,
}

impl Default for Exchange {
    /// Today's slots, two thirds of them in use.
    fn default() -> Self {
        let (slots, length_ms) = (8, 500..2_500);
        Self { boxes: 8, slots, requests_per_s: 43.0, length_ms, prefixes: 1, warmup_s: 5, duration_s: 20 }
    }
}

impl Exchange {
    /// A shard at the size of the next two years: 27 of 78 boxes use it, 95 requests a second of 22.5 s.
    #[must_use]
    pub fn planned() -> Self {
        let length_ms = 10_000..35_000;
        Self { boxes: 27, slots: 200, requests_per_s: 95.0, length_ms, prefixes: 8, warmup_s: 60, duration_s: 30 }
    }

    /// Runs it.
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

/// What was seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExchangeStats {
    /// Requests that boxes were asked for.
    pub requests: u64,
    /// Messages between boxes.
    pub messages: u64,
    /// Bytes of their frames.
    pub bytes: u64,
    /// Requests that were refused.
    pub refused: u64,
}

impl ExchangeStats {
    /// Messages for each request.
    #[must_use]
    pub fn messages_per_request(&self) -> f64 {
        self.messages as f64 / self.requests.max(1) as f64
    }

    /// Bytes of frames for each request.
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
    /// When which box's request ends.
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
