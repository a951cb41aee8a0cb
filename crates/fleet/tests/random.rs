//! Long seeded random runs of probing and spreading: releases never fall, and all boxes end on the newest.

use catalog::{BoxId, Release};
use fleet::{Action, Message, Peer, Probe, Spread, State, Timing};
use policy::Time;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP_MS: u64 = 20;
const CLASSES: &str = "key_salt='s'\n[[class]]\nname='c'\nrank=0\nurgent=true\nfirst_token_ms=500\n";

struct Node {
    peer: Peer,
    probe: Probe,
    spread: Spread,
    paused_until: Time,
    watches: bool,
}

#[derive(Clone, Copy, Debug)]
struct Faults {
    lost: u32,
    doubled: u32,
    delay_ms: u64,
    pauses: u32,
    restarts: u32,
    stale: u32,
}

struct World {
    now: Time,
    random: ChaCha8Rng,
    nodes: Vec<Node>,
    flights: Vec<(Time, BoxId, BoxId, Message)>,
    published: Vec<Release>,
    faults: Faults,
    wrongs: Vec<String>,
    lives: u32,
}

fn release(number: u64, variant: u64) -> Release {
    let customers = format!("[[customer]]\nname='a'\nkey_hash='{variant:032x}'\nclasses=['c']\n");
    Release::pack(number, CLASSES, &customers, "").expect("a good release")
}

impl World {
    fn new(seed: u64, boxes: usize, faults: Faults) -> Self {
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
            probe: Probe::new(peer.clone(), &peers, 1, Timing::default(), now),
            spread: Spread::default(),
            paused_until: Time(0),
            watches: i == 0,
        };
        Self {
            now,
            random: ChaCha8Rng::seed_from_u64(seed),
            nodes: peers.iter().enumerate().map(node).collect(),
            flights: Vec::new(),
            published: Vec::new(),
            faults,
            wrongs: Vec::new(),
            lives: 1,
        }
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.random.random_range(0..1_000) < thousandths
    }

    fn act(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(i, to, &message),
                Action::Note(event, detail) if event.number() >= 900 => self.wrongs.push(format!("{event:?} {detail}")),
                Action::Fetch(digests) => {
                    let parts =
                        |r: &Release| digests.iter().filter_map(|d| r.parts.get(d).cloned()).collect::<Vec<_>>();
                    let found: Vec<Vec<u8>> = self.published.iter().flat_map(parts).collect();
                    let now = self.now;
                    let actions = self.nodes[i].spread.fetched(&found, now);
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
        let copies = if self.chance(self.faults.doubled) { 2 } else { 1 };
        for _ in 0..copies {
            let at = self.now.after(self.random.random_range(0..=self.faults.delay_ms));
            self.flights.push((at, self.nodes[i].peer.id(), to, message.clone()));
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP_MS);
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.flights).into_iter().partition(|(at, ..)| *at <= now);
        self.flights = later;
        let due: Vec<(Time, BoxId, BoxId, Message)> = due;
        for (_, from, to, message) in due {
            let Some(i) = self.nodes.iter().position(|n| n.peer.id() == to) else { continue };
            if now < self.nodes[i].paused_until {
                self.flights.push((self.nodes[i].paused_until, from, to, message));
                continue;
            }
            self.deliver(i, from, &message);
        }
        self.bring_faults();
        for i in 0..self.nodes.len() {
            if now >= self.nodes[i].paused_until {
                self.tick(i);
            }
        }
    }

    fn deliver(&mut self, i: usize, from: BoxId, message: &Message) {
        let now = self.now;
        let before = self.nodes[i].spread.order();
        let actions = self.nodes[i].probe.receive(from, message, before, now);
        self.act(i, actions);
        let actions = match message {
            Message::Ping { order, .. } | Message::Ack { order, .. } => self.nodes[i].spread.hear(from, *order, now),
            other => self.nodes[i].spread.receive(from, other, now),
        };
        self.act(i, actions);
        self.check(i, before);
    }

    fn check(&mut self, i: usize, before: Option<catalog::Order>) {
        let after = self.nodes[i].spread.order();
        if after < before {
            self.wrongs.push(format!("{} fell from {before:?} to {after:?}", self.nodes[i].peer.name));
        }
    }

    fn tick(&mut self, i: usize) {
        let now = self.now;
        let before = self.nodes[i].spread.order();
        let actions = self.nodes[i].probe.tick(before, now);
        self.act(i, actions);
        self.nodes[i].spread.tick(now);
        if self.nodes[i].watches && !self.published.is_empty() && self.chance(100) {
            // A replica of the platform may stand still and show any earlier release.
            let last = self.published.len() - 1;
            let shown = if self.chance(self.faults.stale) { self.random.random_range(0..=last) } else { last };
            let text = self.published[shown].text.clone();
            let actions = self.nodes[i].spread.offered(&text, now);
            self.act(i, actions);
        }
        self.check(i, before);
    }

    fn bring_faults(&mut self) {
        let i = self.random.random_range(0..self.nodes.len());
        if self.chance(self.faults.pauses) {
            self.nodes[i].paused_until = self.now.after(self.random.random_range(500..5_000));
        }
        if self.chance(self.faults.restarts) {
            self.lives += 1;
            let peers: Vec<Peer> = self.nodes.iter().map(|n| n.peer.clone()).collect();
            let node = &mut self.nodes[i];
            node.probe = Probe::new(node.peer.clone(), &peers, self.lives, Timing::default(), self.now);
            node.spread = Spread::default();
        }
    }
}

fn faults() -> impl Strategy<Value = Faults> {
    (0..200u32, 0..100u32, 1..300u64, 0..6u32, 0..4u32, 0..600u32).prop_map(
        |(lost, doubled, delay_ms, pauses, restarts, stale)| Faults {
            lost,
            doubled,
            delay_ms,
            pauses,
            restarts,
            stale,
        },
    )
}

#[test]
fn releases_never_fall_and_all_end_on_the_newest() {
    let config = Config { cases: 40, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]));
    let ended = runner.run(&(any::<u64>(), 2..7usize, faults()), |(seed, boxes, faults)| {
        let mut world = World::new(seed, boxes, faults);
        for number in 1..8 {
            // Two operators may publish the same number.
            world.published.push(release(number, number * 10));
            if number % 3 == 0 {
                world.published.push(release(number, number * 10 + 1));
            }
            (0..100).for_each(|_| world.step());
        }
        world.faults = Faults { lost: 0, doubled: 0, delay_ms: 5, pauses: 0, restarts: 0, stale: 0 };
        world.published.push(release(8, 80));
        (0..800).for_each(|_| world.step());
        prop_assert!(world.wrongs.is_empty(), "{:?}", world.wrongs);
        let newest = world.published.iter().map(Release::order).max();
        for node in &world.nodes {
            prop_assert_eq!(node.spread.order(), newest, "{} is behind", node.peer.name);
            let dead = node.probe.members().filter(|m| m.state != State::Alive).count();
            prop_assert_eq!(dead, 0, "{} takes {} living boxes as gone", node.peer.name, dead);
        }
        Ok(())
    });
    if let Err(failure) = ended {
        panic!("{failure}");
    }
}
