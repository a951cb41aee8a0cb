//! Simulates many lightweight nodes in virtual time, with the production code for failure detection and
//! release propagation and without a network.

use crate::slopes::release;
use catalog::{BoxId, Digest, Release};
use cleatshelf::Envelope;
use fleet::{watchers, Action, FailureDetector, Message, Peer, ProbeTiming, ReleaseSync, State};
use policy::Time;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Instant;

/// Latency of a message within a hall.
const NEAR_MS: u64 = 1;
const FAR_MS: u64 = 2;

/// Interval between two ticks of a node, in virtual time.
const STEP_MS: u64 = 20;

/// Customers in the releases of the simulated fleet.
const CUSTOMERS: usize = 512;

/// Virtual time until the effects of the start have subsided.
const SETTLE_MS: u64 = 30_000;

/// Results of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetOutcome {
    /// Time from publishing to in force, median of the boxes.
    pub p50_ms: f64,
    /// Time from publishing to in force, 99th percentile of the boxes.
    pub p99_ms: f64,
    /// Time from publishing to in force, last box.
    pub max_ms: f64,
    /// Time from publishing to in force on the last box, with one hall disconnected from the platform.
    pub hall_cut_ms: f64,
    /// Bytes per second and box without changes.
    pub idle_bytes: f64,
    /// Messages per second and box without changes.
    pub idle_messages: f64,
    /// Processor microseconds per second and box without changes.
    pub idle_micros: f64,
    /// Time from the death of a box until the last box of its hall has detected it.
    pub death_ms: f64,
    /// Bytes per second and box while a death is being detected.
    pub death_bytes: f64,
}

struct Node {
    peer: Peer,
    probe: FailureDetector,
    spread: ReleaseSync,
    alive: bool,
    /// True while the box's hall is connected to the platform.
    platform: bool,
    phase: u64,
}

/// A message in flight, ordered by its arrival.
#[derive(PartialEq, Eq)]
struct Flight {
    at: std::cmp::Reverse<(u64, u64)>,
    from: BoxId,
    to: BoxId,
    message: Message,
}

impl Ord for Flight {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.cmp(&other.at)
    }
}

impl PartialOrd for Flight {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

struct Fleet {
    now: Time,
    nodes: Vec<Node>,
    index: HashMap<BoxId, usize>,
    flights: BinaryHeap<Flight>,
    count: u64,
    published: Option<Release>,
    bytes: u64,
    messages: u64,
    in_force: BTreeMap<usize, Time>,
}

impl Fleet {
    fn new(boxes: usize, halls: usize, seed: u64) -> Self {
        let now = Time(1_000_000);
        let peers: Vec<Peer> = (0..boxes)
            .map(|i| Peer {
                name: format!("box-{seed}-{i}"),
                hall: format!("hall-{}", i % halls),
                address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            })
            .collect();
        let node = |(i, peer): (usize, &Peer)| Node {
            // Incarnation 0 is already known to every node, as in a fleet that has run for a long time and has
            // no starts to gossip.
            probe: FailureDetector::new(
                peer.clone(),
                &peers,
                0,
                ProbeTiming { start_grace_ms: 0, ..ProbeTiming::default() },
                now,
            ),
            spread: ReleaseSync::default(),
            peer: peer.clone(),
            alive: true,
            platform: true,
            phase: (i as u64 * 7 + seed) % STEP_MS,
        };
        let nodes: Vec<Node> = peers.iter().enumerate().map(node).collect();
        let index = peers.iter().enumerate().map(|(i, p)| (p.id(), i)).collect();
        Self {
            now,
            nodes,
            index,
            flights: BinaryHeap::new(),
            count: 0,
            published: None,
            bytes: 0,
            messages: 0,
            in_force: BTreeMap::new(),
        }
    }

    fn act(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(from, to, message),
                Action::Fetch(digests) => self.fetch(from, &digests),
                Action::Adopt(..) => {
                    self.in_force.entry(from).or_insert(self.now);
                    let order = self.nodes[from].spread.release_id();
                    for to in self.nodes[from].probe.random_alive(3) {
                        self.send(from, to, Message::Ack { number: 0, order, changes: Vec::new() });
                    }
                }
                Action::ViewChanged
                | Action::Upstream(..)
                | Action::Log(..)
                | Action::Gossip(_)
                | Action::RefusedElsewhere(..) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: BoxId, message: Message) {
        let envelope = Envelope::Fleet(message);
        self.bytes += wire::Frame::encode(&envelope).map_or(0, |f| f.wire_bytes()) as u64;
        let Envelope::Fleet(message) = envelope else { return };
        self.messages += 1;
        self.count += 1;
        let target = self.index[&to];
        let near = self.nodes[target].peer.hall == self.nodes[from].peer.hall;
        let at = self.now.0 + if near { NEAR_MS } else { FAR_MS };
        let from = self.nodes[from].peer.id();
        self.flights.push(Flight { at: std::cmp::Reverse((at, self.count)), from, to, message });
    }

    fn fetch(&mut self, index: usize, digests: &[Digest]) {
        let Some(release) = &self.published else { return };
        let parts: Vec<Vec<u8>> = digests.iter().filter_map(|d| release.parts.get(d).cloned()).collect();
        let now = self.now;
        let actions = self.nodes[index].spread.on_parts_fetched(&parts, now);
        self.act(index, actions);
    }

    fn run(&mut self, ms: u64) {
        let until = self.now.0 + ms;
        while self.now.0 < until {
            self.now = self.now.after(1);
            while self.flights.peek().is_some_and(|f| f.at.0 .0 <= self.now.0) {
                if let Some(flight) = self.flights.pop() {
                    self.deliver(&flight);
                }
            }
            for i in 0..self.nodes.len() {
                if self.nodes[i].alive && self.now.0 % STEP_MS == self.nodes[i].phase {
                    self.tick(i);
                }
            }
        }
    }

    fn deliver(&mut self, flight: &Flight) {
        let (i, now) = (self.index[&flight.to], self.now);
        if !self.nodes[i].alive {
            return;
        }
        let order = self.nodes[i].spread.release_id();
        let actions = self.nodes[i].probe.on_message(flight.from, &flight.message, order, now);
        self.act(i, actions);
        let actions = match &flight.message {
            Message::Ping { order, .. } | Message::Ack { order, .. } => {
                self.nodes[i].spread.on_release(flight.from, *order, now)
            }
            other => self.nodes[i].spread.on_message(flight.from, other, now),
        };
        self.act(i, actions);
    }

    fn tick(&mut self, i: usize) {
        let now = self.now;
        let node = &mut self.nodes[i];
        let order = node.spread.release_id();
        let mut actions = node.probe.tick(order, now);
        node.spread.tick(now);
        if let Some(release) = self.published.as_ref().filter(|r| node.platform && Some(r.id()) > order) {
            let boxes = node.probe.eligible_boxes();
            let alive = boxes.get(&node.peer.hall).map_or(&[][..], Vec::as_slice);
            if watchers(alive).contains(&node.peer.id()) {
                actions.extend(node.spread.on_manifest_offered(&release.text, now));
            }
        }
        self.act(i, actions);
    }

    /// Publishes a release and returns the times after which half, 99 % and all of the boxes have it in force.
    fn publish(&mut self, release: Release) -> (f64, f64, f64) {
        self.in_force.clear();
        let began = self.now;
        self.published = Some(release);
        let alive = self.nodes.iter().filter(|n| n.alive).count();
        while self.in_force.len() < alive && self.now.since(began) < 60_000 {
            self.run(10);
        }
        let mut times: Vec<f64> = self.in_force.values().map(|at| at.since(began) as f64).collect();
        times.resize(alive, 60_000.0);
        times.sort_by(f64::total_cmp);
        let at = |share: f64| times[((times.len() - 1) as f64 * share).ceil() as usize];
        (at(0.5), at(0.99), at(1.0))
    }

    /// Kills a box and returns the time until every other box of its hall considers it dead.
    fn death_ms(&mut self) -> f64 {
        let (victim, hall) = (self.nodes[0].peer.id(), self.nodes[0].peer.hall.clone());
        self.nodes[0].alive = false;
        let began = self.now;
        let knows = |n: &Node| n.probe.members().any(|m| m.peer.id() == victim && m.state == State::Dead);
        while self.now.since(began) < 60_000 {
            self.run(10);
            if self.nodes.iter().filter(|n| n.alive && n.peer.hall == hall).all(knows) {
                break;
            }
        }
        self.now.since(began) as f64
    }
}

/// Runs the simulation with `boxes` boxes in `halls` halls.
#[must_use]
pub fn run(boxes: usize, halls: usize, seed: u64) -> FleetOutcome {
    const QUIET_MS: u64 = 5_000;
    let halls = halls.min(boxes / 2).max(1);
    let mut fleet = Fleet::new(boxes, halls, seed);
    fleet.publish(release(1, CUSTOMERS, 0));
    fleet.run(SETTLE_MS);
    (fleet.bytes, fleet.messages) = (0, 0);
    let began = Instant::now();
    fleet.run(QUIET_MS);
    let share = boxes as f64 * QUIET_MS as f64 / 1e3;
    let mut outcome = FleetOutcome {
        idle_micros: began.elapsed().as_secs_f64() * 1e6 / share,
        idle_bytes: fleet.bytes as f64 / share,
        idle_messages: fleet.messages as f64 / share,
        ..FleetOutcome::default()
    };
    (outcome.p50_ms, outcome.p99_ms, outcome.max_ms) = fleet.publish(release(2, CUSTOMERS, 1));
    fleet.nodes.iter_mut().filter(|n| n.peer.hall == "hall-0").for_each(|n| n.platform = false);
    (_, _, outcome.hall_cut_ms) = fleet.publish(release(3, CUSTOMERS, 2));
    fleet.run(2_000);
    fleet.bytes = 0;
    outcome.death_ms = fleet.death_ms();
    outcome.death_bytes = fleet.bytes as f64 / (boxes as f64 * outcome.death_ms.max(1.0) / 1e3);
    outcome
}

/// Transfers a new release from one box to another and returns the second box, before it applied the parts,
/// with the messages it received.
fn hand_over(customers: usize) -> (ReleaseSync, Vec<Message>) {
    let now = Time(1);
    let first = release(1, customers, 0);
    let second = release(2, customers, 1);
    let mut from = ReleaseSync::default();
    load(&mut from, &first, now);
    let mut to = ReleaseSync::default();
    load(&mut to, &first, now);
    load(&mut from, &second, now);
    let mut got = Vec::new();
    let (a, b) = (BoxId(1), BoxId(2));
    let mut asks = to.on_release(a, from.release_id(), now);
    while let Some(Action::Send(_, ask)) = asks.pop() {
        for answer in from.on_message(b, &ask, now) {
            let Action::Send(_, answer) = answer else { continue };
            got.push(answer.clone());
            if matches!(answer, Message::Manifest(..)) {
                asks.extend(to.on_message(a, &answer, now));
            }
        }
    }
    (to, got)
}

fn load(spread: &mut ReleaseSync, release: &Release, now: Time) {
    let mut actions = spread.on_manifest_offered(&release.text, now);
    while let Some(action) = actions.pop() {
        if let Action::Fetch(digests) = action {
            let parts: Vec<Vec<u8>> = digests.iter().filter_map(|d| release.parts.get(d).cloned()).collect();
            actions = spread.on_parts_fetched(&parts, now);
        }
    }
}

/// Returns the milliseconds that a box spends on applying a change of one customer, from the arrival of the
/// changed part.
#[must_use]
pub fn change_ms(customers: usize) -> f64 {
    let (mut to, got) = hand_over(customers);
    let began = Instant::now();
    for message in &got {
        if let Message::Parts(..) = message {
            for action in to.on_message(BoxId(1), message, Time(2)) {
                if let Action::Adopt(_, catalog) = action {
                    std::hint::black_box(policy::Layout::from_catalog(&catalog));
                }
            }
        }
    }
    began.elapsed().as_secs_f64() * 1e3
}

/// Returns the bytes of frames that a box receives for a change of one customer.
#[must_use]
pub fn change_bytes(customers: usize) -> usize {
    let (_, got) = hand_over(customers);
    let frame = |m: &Message| wire::Frame::encode(&Envelope::Fleet(m.clone())).map_or(0, |f| f.wire_bytes());
    got.iter().map(frame).sum()
}
