//! Simulation of many boxes with lost, duplicated and delayed messages, and boxes that pause and restart.
#![allow(dead_code, missing_docs)]

use catalog::{BoxId, Release};
use fleet::{Action, FailureDetector, Message, Peer, ProbeTiming, ReleaseSync};
use policy::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const STEP_MS: u64 = 20;
const CLASSES: &str = "key_salt='s'\n[[class]]\nname='c'\nrank=0\nurgent=true\nfirst_token_ms=500\n";

pub struct Node {
    pub peer: Peer,
    pub detector: FailureDetector,
    pub releases: ReleaseSync,
    pub paused_until: Time,
    pub watches: bool,
}

#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub lost: u32,
    pub duplicated: u32,
    pub delay_ms: u64,
    pub pauses: u32,
    pub restarts: u32,
    pub stale: u32,
}

pub struct World {
    pub now: Time,
    pub random: ChaCha8Rng,
    pub nodes: Vec<Node>,
    pub in_flight: Vec<(Time, BoxId, BoxId, Message)>,
    pub published: Vec<Release>,
    pub faults: Faults,
    pub violations: Vec<String>,
    pub incarnations: u32,
}

pub fn release(number: u64, variant: u64) -> Release {
    let customers = format!("[[customer]]\nname='a'\nkey_hash='{variant:032x}'\nclasses=['c']\n");
    Release::pack(number, CLASSES, &customers, "").expect("a good release")
}

impl World {
    pub fn new(seed: u64, boxes: usize, faults: Faults) -> Self {
        let now = Time(50_000);
        let peers: Vec<Peer> = (0..boxes)
            .map(|i| Peer {
                name: format!("b{i}"),
                hall: format!("h{}", i % 2),
                address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            })
            .collect();
        let node = |(i, peer): (usize, &Peer)| Node {
            peer: peer.clone(),
            detector: FailureDetector::new(peer.clone(), &peers, 1, ProbeTiming::default(), now),
            releases: ReleaseSync::default(),
            paused_until: Time(0),
            watches: i == 0,
        };
        Self {
            now,
            random: ChaCha8Rng::seed_from_u64(seed),
            nodes: peers.iter().enumerate().map(node).collect(),
            in_flight: Vec::new(),
            published: Vec::new(),
            faults,
            violations: Vec::new(),
            incarnations: 1,
        }
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.random.random_range(0..1_000) < thousandths
    }

    fn act(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(i, to, &message),
                Action::Log(event, detail) if event.number() >= 900 => {
                    self.violations.push(format!("{event:?} {detail}"));
                }
                Action::Fetch(digests) => {
                    let parts =
                        |r: &Release| digests.iter().filter_map(|d| r.parts.get(d).cloned()).collect::<Vec<_>>();
                    let found: Vec<Vec<u8>> = self.published.iter().flat_map(parts).collect();
                    let now = self.now;
                    let actions = self.nodes[i].releases.on_parts_fetched(&found, now);
                    self.act(i, actions);
                }
                Action::Gossip(change) => self.nodes[i].detector.gossip(change),
                Action::RefusedElsewhere(order, reason) => {
                    let actions = self.nodes[i].releases.on_refused_elsewhere(order, &reason);
                    self.act(i, actions);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, i: usize, to: BoxId, message: &Message) {
        if self.chance(self.faults.lost) {
            return;
        }
        let copies = if self.chance(self.faults.duplicated) { 2 } else { 1 };
        for _ in 0..copies {
            let at = self.now.after(self.random.random_range(0..=self.faults.delay_ms));
            self.in_flight.push((at, self.nodes[i].peer.id(), to, message.clone()));
        }
    }

    pub fn step(&mut self) {
        self.now = self.now.after(STEP_MS);
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_flight).into_iter().partition(|(at, ..)| *at <= now);
        self.in_flight = later;
        let due: Vec<(Time, BoxId, BoxId, Message)> = due;
        for (_, from, to, message) in due {
            let Some(i) = self.nodes.iter().position(|n| n.peer.id() == to) else { continue };
            if now < self.nodes[i].paused_until {
                self.in_flight.push((self.nodes[i].paused_until, from, to, message));
                continue;
            }
            self.deliver(i, from, &message);
        }
        self.inject_faults();
        for i in 0..self.nodes.len() {
            if now >= self.nodes[i].paused_until {
                self.tick(i);
            }
        }
    }

    fn deliver(&mut self, i: usize, from: BoxId, message: &Message) {
        let now = self.now;
        let before = self.nodes[i].releases.release_id();
        let actions = self.nodes[i].detector.on_message(from, message, before, now);
        self.act(i, actions);
        let actions = match message {
            Message::Ping { order, .. } | Message::Ack { order, .. } => {
                self.nodes[i].releases.on_release(from, *order, now)
            }
            other => self.nodes[i].releases.on_message(from, other, now),
        };
        self.act(i, actions);
        self.check(i, before);
    }

    fn check(&mut self, i: usize, before: Option<catalog::ReleaseId>) {
        let after = self.nodes[i].releases.release_id();
        if after < before {
            self.violations.push(format!("{} went back from {before:?} to {after:?}", self.nodes[i].peer.name));
        }
    }

    fn tick(&mut self, i: usize) {
        let now = self.now;
        let before = self.nodes[i].releases.release_id();
        let actions = self.nodes[i].detector.tick(before, now);
        self.act(i, actions);
        self.nodes[i].releases.tick(now);
        if self.nodes[i].watches && !self.published.is_empty() && self.chance(100) {
            // A replica of the platform may be stale and return any earlier release.
            let last = self.published.len() - 1;
            let shown = if self.chance(self.faults.stale) { self.random.random_range(0..=last) } else { last };
            let text = self.published[shown].text.clone();
            let actions = self.nodes[i].releases.on_manifest_offered(&text, now);
            self.act(i, actions);
        }
        self.check(i, before);
    }

    fn inject_faults(&mut self) {
        let i = self.random.random_range(0..self.nodes.len());
        if self.chance(self.faults.pauses) {
            self.nodes[i].paused_until = self.now.after(self.random.random_range(500..5_000));
        }
        if self.chance(self.faults.restarts) {
            self.incarnations += 1;
            let peers: Vec<Peer> = self.nodes.iter().map(|n| n.peer.clone()).collect();
            let node = &mut self.nodes[i];
            node.detector =
                FailureDetector::new(node.peer.clone(), &peers, self.incarnations, ProbeTiming::default(), self.now);
            node.releases = ReleaseSync::default();
        }
    }
}
