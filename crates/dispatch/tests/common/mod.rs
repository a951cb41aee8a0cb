//! Virtual-time model of boxes that request slots over links with delay.
#![allow(dead_code, reason = "not every test uses all of it")]

use dispatch::{Dispatcher, Reply, ServerSlots, SlotEnding, SlotRelease, SlotReply, SlotRequest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;

pub const DELAY_MS: u64 = 1;

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7000))
}

pub fn server(id: usize, slots: u32) -> ServerSlots {
    ServerSlots { id: format!("s{id}"), slots, usable: true }
}

pub fn request(number: u64, urgency: u8, customer: u64, max_wait_ms: u32) -> SlotRequest {
    let service = "plain".to_owned();
    SlotRequest { number, service, urgency, customer, max_wait_ms, expires_ms: 60_000, tried: Vec::new() }
}

pub fn release(number: u64, ending: SlotEnding) -> SlotRelease {
    SlotRelease { number, service: "plain".to_owned(), ending }
}

pub struct Arrival {
    pub at: u64,
    pub from: usize,
    pub customer: usize,
    pub urgency: u8,
    /// Service time relative to its server's average.
    pub size: f64,
}

/// Poisson arrivals; `rates` are relative to each other, and their sum at the usual rates makes up `load`.
pub struct Load<'a> {
    /// Slots and average service time in milliseconds of each server.
    pub servers: &'a [(u32, f64)],
    pub boxes: usize,
    pub rates: &'a [f64],
    pub load: f64,
    pub factors: &'a [(usize, f64)],
    pub urgencies: u8,
    pub seconds: u64,
}

pub const MAX_WAIT_MS: u32 = 600;

impl Load<'_> {
    pub fn arrivals(&self, seed: u64) -> Vec<Arrival> {
        let per_ms: f64 = self.servers.iter().map(|(slots, ms)| f64::from(*slots) / ms).sum();
        let usual: f64 = self.rates.iter().sum();
        let mut arrivals = Vec::new();
        for (customer, rate) in self.rates.iter().enumerate() {
            // Each customer has its own generator, so that the arrivals of others don't depend on its rate.
            let rng = &mut ChaCha8Rng::seed_from_u64(seed * 1_000 + customer as u64);
            let factor = self.factors.iter().find(|(other, _)| *other == customer).map_or(1.0, |(_, factor)| *factor);
            let rate = rate / usual * self.load * per_ms * factor;
            let mut at = 0.0;
            loop {
                at -= rng.random::<f64>().ln() / rate;
                if at > self.seconds as f64 * 1_000.0 {
                    break;
                }
                let size = 0.4 - 0.6 * rng.random::<f64>().ln();
                let (from, urgency) = (rng.random_range(0..self.boxes), rng.random_range(0..self.urgencies));
                arrivals.push(Arrival { at: at as u64, from, customer, urgency, size });
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals
    }

    /// Plays arrivals. Returns the wait of each from its arrival to its start, and the most requests that a server had
    /// beyond its slots.
    pub fn play(&self, arrivals: &[Arrival], assigner: &mut dyn Assigner, release_ms: u64) -> (Vec<Option<u64>>, u32) {
        #[derive(PartialEq, Eq, PartialOrd, Ord)]
        enum Event {
            End(usize, usize),
            Release(usize, usize),
            Request(usize),
            Start(usize, usize),
            Tick,
        }
        let requests = arrivals.iter().enumerate().map(|(index, a)| (a.at + DELAY_MS, Event::Request(index)));
        let ticks = (0..self.seconds * 100).map(|tick| (tick * 10, Event::Tick));
        let mut events: BinaryHeap<_> = requests.chain(ticks).map(Reverse).collect();
        let mut running = vec![0_u32; self.servers.len()];
        let (mut waits, mut over) = (vec![None; arrivals.len()], 0);
        while let Some(Reverse((now, event))) = events.pop() {
            let granted = match event {
                Event::Request(index) => assigner.request(index, &arrivals[index], now),
                Event::Tick => assigner.tick(now),
                Event::Release(index, server) => assigner.release(index, &arrivals[index], server, now),
                Event::Start(index, server) => {
                    assert!(waits[index].replace(now - arrivals[index].at).is_none(), "started twice");
                    running[server] += 1;
                    over = over.max(running[server].saturating_sub(self.servers[server].0));
                    let service_ms = (arrivals[index].size * self.servers[server].1).ceil() as u64;
                    events.push(Reverse((now + service_ms, Event::End(index, server))));
                    continue;
                }
                Event::End(index, server) => {
                    running[server] -= 1;
                    events.push(Reverse((now + release_ms, Event::Release(index, server))));
                    continue;
                }
            };
            let starts = granted.into_iter().map(|(index, server)| (now + DELAY_MS, Event::Start(index, server)));
            events.extend(starts.map(Reverse));
        }
        (waits, over)
    }
}

/// Decides on requests; returns the granted ones with their servers.
pub trait Assigner {
    fn request(&mut self, index: usize, arrival: &Arrival, now: u64) -> Vec<(usize, usize)>;
    fn release(&mut self, index: usize, arrival: &Arrival, server: usize, now: u64) -> Vec<(usize, usize)>;
    fn tick(&mut self, now: u64) -> Vec<(usize, usize)>;
}

pub fn dispatcher(servers: &[(u32, f64)]) -> Dispatcher {
    let servers: Vec<_> = servers.iter().enumerate().map(|(id, (slots, _))| server(id, *slots)).collect();
    let mut dispatcher = Dispatcher::default();
    assert!(dispatcher.set_servers("plain", &servers, 0).is_empty());
    dispatcher
}

fn granted(replies: Vec<Reply>) -> Vec<(usize, usize)> {
    let granted = replies.into_iter().filter_map(|reply| match reply.reply {
        SlotReply::Granted { number, server } => Some((number as usize, server[1..].parse().ok()?)),
        _ => None,
    });
    granted.collect()
}

impl Assigner for Dispatcher {
    fn request(&mut self, index: usize, arrival: &Arrival, now: u64) -> Vec<(usize, usize)> {
        let request = request(index as u64, arrival.urgency, arrival.customer as u64 + 1, MAX_WAIT_MS);
        granted(self.on_request(address(arrival.from), request, now))
    }

    fn release(&mut self, index: usize, arrival: &Arrival, _: usize, now: u64) -> Vec<(usize, usize)> {
        granted(self.on_release(address(arrival.from), &release(index as u64, SlotEnding::Answered), now))
    }

    fn tick(&mut self, now: u64) -> Vec<(usize, usize)> {
        granted(Dispatcher::tick(self, now))
    }
}

/// One central queue that knows each server's speed: urgency, then start-time fair queueing of customers, then age.
pub struct Ideal {
    /// Free slots and average service time in milliseconds of each server.
    pub free: Vec<(u32, f64)>,
    /// Urgency, tag, index and arrival of each waiting request.
    pub waiting: Vec<(u8, u64, usize, u64)>,
    pub tags: HashMap<(u8, usize), u64>,
    pub served: [u64; 10],
}

impl Ideal {
    pub fn new(servers: &[(u32, f64)]) -> Self {
        Self { free: servers.to_vec(), waiting: Vec::new(), tags: HashMap::new(), served: [0; 10] }
    }
}

impl Assigner for Ideal {
    fn request(&mut self, index: usize, arrival: &Arrival, now: u64) -> Vec<(usize, usize)> {
        let tag = self.tags.entry((arrival.urgency, arrival.customer)).or_default();
        *tag = 1 + (*tag).max(self.served[usize::from(arrival.urgency)]);
        self.waiting.push((arrival.urgency, *tag, index, now));
        self.tick(now)
    }

    fn release(&mut self, _: usize, _: &Arrival, server: usize, now: u64) -> Vec<(usize, usize)> {
        self.free[server].0 += 1;
        self.tick(now)
    }

    fn tick(&mut self, now: u64) -> Vec<(usize, usize)> {
        self.waiting.retain(|(.., since)| now <= since + u64::from(MAX_WAIT_MS));
        let mut granted = Vec::new();
        loop {
            let free = self.free.iter().enumerate().filter(|(_, (slots, _))| *slots > 0);
            let Some(server) = free.min_by(|one, other| one.1 .1.total_cmp(&other.1 .1)).map(|(id, _)| id) else {
                break;
            };
            let Some(at) = (0..self.waiting.len()).min_by_key(|at| self.waiting[*at]) else { break };
            let (urgency, tag, index, _) = self.waiting.swap_remove(at);
            self.served[usize::from(urgency)] = tag;
            self.free[server].0 -= 1;
            granted.push((index, server));
        }
        granted
    }
}
