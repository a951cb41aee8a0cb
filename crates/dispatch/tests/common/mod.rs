//! Virtual-time model of boxes that request slots over links with delay.
#![allow(dead_code, reason = "not every test uses all of it")]

use dispatch::{Dispatcher, ServerSlots, SlotEnding, SlotRelease, SlotReply, SlotRequest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;

pub const DELAY_MS: u64 = 1;
pub const MAX_WAIT_MS: u32 = 600;

/// Slots and average service time in milliseconds of each server.
pub type Servers<'a> = &'a [(u32, f64)];

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 0], 7000 + index as u16))
}

pub fn server(id: usize, slots: u32) -> ServerSlots {
    ServerSlots { id: format!("s{id}"), slots, usable: true }
}

pub fn request(number: u64, urgency: u8, customer: u64, max_wait_ms: u32) -> SlotRequest {
    let service = "plain".to_owned();
    SlotRequest { number, service, urgency, customer, max_wait_ms, expires_ms: 60_000, tried: Vec::new(), request: 0 }
}

pub fn release(number: u64, ending: SlotEnding) -> SlotRelease {
    SlotRelease { number, service: "plain".to_owned(), ending }
}

pub fn dispatcher(servers: Servers) -> Dispatcher {
    let servers: Vec<_> = servers.iter().enumerate().map(|(id, (slots, _))| server(id, *slots)).collect();
    let mut dispatcher = Dispatcher::default();
    assert!(dispatcher.set_servers("plain", &servers, 0).is_empty());
    dispatcher
}

pub struct Arrival {
    pub at: u64,
    pub from: usize,
    pub customer: usize,
    pub urgency: u8,
    /// Service time relative to its server's average.
    pub size: f64,
}

pub struct Load<'a> {
    pub servers: Servers<'a>,
    pub boxes: usize,
    /// Work of each customer relative to all slots.
    pub rates: &'a [f64],
    pub urgencies: u8,
    pub seconds: u64,
}

impl Load<'_> {
    /// Returns Poisson arrivals in order.
    pub fn arrivals(&self, seed: u64) -> Vec<Arrival> {
        let per_ms: f64 = self.servers.iter().map(|(slots, ms)| f64::from(*slots) / ms).sum();
        let mut arrivals = Vec::new();
        for (customer, rate) in self.rates.iter().enumerate() {
            // Each customer has its own generator, so that the arrivals of others don't depend on its rate.
            let rng = &mut ChaCha8Rng::seed_from_u64(seed * 1_000 + customer as u64);
            let mut at = 0.0;
            while at < self.seconds as f64 * 1_000.0 {
                let (from, urgency) = (rng.random_range(0..self.boxes), rng.random_range(0..self.urgencies));
                let size = 0.4 - 0.6 * rng.random::<f64>().ln();
                at -= rng.random::<f64>().ln() / (rate * per_ms);
                arrivals.push(Arrival { at: at as u64, from, customer, urgency, size });
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals
    }

    /// Returns the wait of each arrival until its start, and the most requests that a server had beyond its slots.
    pub fn play(&self, arrivals: &[Arrival], queue: &mut dyn Queue, release_ms: u64) -> (Vec<Option<u64>>, u32) {
        let requests = arrivals.iter().enumerate().map(|(index, a)| (a.at + DELAY_MS, Event::Request(index)));
        let ticks = (0..self.seconds * 100).map(|tick| (tick * 10, Event::Tick));
        let mut events: BinaryHeap<_> = requests.chain(ticks).map(Reverse).collect();
        let mut running = vec![0_u32; self.servers.len()];
        let (mut waits, mut over) = (vec![None; arrivals.len()], 0);
        while let Some(Reverse((now, event))) = events.pop() {
            match event {
                Event::Start(index, server) => {
                    assert!(waits[index].replace(now - arrivals[index].at).is_none(), "started twice");
                    running[server] += 1;
                    over = over.max(running[server].saturating_sub(self.servers[server].0));
                    let service_ms = (arrivals[index].size * self.servers[server].1).ceil() as u64;
                    events.push(Reverse((now + service_ms, Event::End(index, server))));
                }
                Event::End(index, server) => {
                    running[server] -= 1;
                    events.push(Reverse((now + release_ms, Event::Release(index, server))));
                }
                event => {
                    let granted = queue.handle(event, arrivals, now).into_iter();
                    events
                        .extend(granted.map(|(index, server)| Reverse((now + DELAY_MS, Event::Start(index, server)))));
                }
            }
        }
        (waits, over)
    }
}

/// What happens to an arrival, given by its index, at a server.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    End(usize, usize),
    Release(usize, usize),
    Request(usize),
    Start(usize, usize),
    Tick,
}

/// Handles requests, releases and ticks; returns the granted requests with their servers.
pub trait Queue {
    fn handle(&mut self, event: Event, arrivals: &[Arrival], now: u64) -> Vec<(usize, usize)>;
}

impl Queue for Dispatcher {
    fn handle(&mut self, event: Event, arrivals: &[Arrival], now: u64) -> Vec<(usize, usize)> {
        let replies = match event {
            Event::Request(index) => {
                let Arrival { from, customer, urgency, .. } = arrivals[index];
                self.on_request(address(from), request(index as u64, urgency, customer as u64 + 1, MAX_WAIT_MS), now)
            }
            Event::Release(index, _) => {
                self.on_release(address(arrivals[index].from), &release(index as u64, SlotEnding::Answered), now)
            }
            _ => self.tick(now),
        };
        let granted = replies.into_iter().filter_map(|reply| match reply.reply {
            SlotReply::Granted { number, server } => Some((number as usize, server[1..].parse().ok()?)),
            _ => None,
        });
        granted.collect()
    }
}

/// One central queue that knows each server's speed: urgency, then start-time fair queueing of customers, then age.
pub struct Ideal {
    pub free: Vec<(u32, f64)>,
    /// Urgency, tag, index and arrival of each waiting request.
    pub waiting: Vec<(u8, u64, usize, u64)>,
    pub tags: HashMap<(u8, usize), u64>,
    pub served: [u64; 10],
}

impl Queue for Ideal {
    fn handle(&mut self, event: Event, arrivals: &[Arrival], now: u64) -> Vec<(usize, usize)> {
        if let Event::Release(_, server) = event {
            self.free[server].0 += 1;
        } else if let Event::Request(index) = event {
            let Arrival { urgency, customer, .. } = arrivals[index];
            let tag = self.tags.entry((urgency, customer)).or_default();
            *tag = 1 + (*tag).max(self.served[usize::from(urgency)]);
            self.waiting.push((urgency, *tag, index, now));
        }
        self.waiting.retain(|(.., since)| now <= since + u64::from(MAX_WAIT_MS));
        let mut granted = Vec::new();
        loop {
            let free = (0..self.free.len()).filter(|server| self.free[*server].0 > 0);
            let fastest = free.min_by(|one, other| self.free[*one].1.total_cmp(&self.free[*other].1));
            let first = (0..self.waiting.len()).min_by_key(|at| self.waiting[*at]);
            let (Some(server), Some(first)) = (fastest, first) else { return granted };
            let (urgency, tag, index, _) = self.waiting.swap_remove(first);
            self.served[usize::from(urgency)] = tag;
            self.free[server].0 -= 1;
            granted.push((index, server));
        }
    }
}
