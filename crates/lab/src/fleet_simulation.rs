//! Simulates many lightweight nodes in virtual time, with the production code for failure detection and
//! release propagation and without a network.

use crate::slopes::release_with_customers;
use catalog::{BoxId, Digest, Release};
use cleatshelf::Envelope;
use fleet::{watchers, Action, FailureDetector, Message, Peer, ProbeTiming, ReleaseSync, State};
use policy::Time;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Instant;

/// Latency of a message within a hall.
const SAME_HALL_LATENCY_MS: u64 = 1;
/// Latency of a message between halls.
const REMOTE_HALL_LATENCY_MS: u64 = 2;

/// Interval between two ticks of a node, in virtual time.
const TICK_INTERVAL_MS: u64 = 20;

/// Customers in the releases of the simulated fleet.
const CUSTOMER_COUNT: usize = 512;

/// Virtual time until the effects of the start have subsided.
const SETTLE_TIME_MS: u64 = 30_000;

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
    detector: FailureDetector,
    sync: ReleaseSync,
    alive: bool,
    /// True while the box's hall is connected to the platform.
    has_platform: bool,
    tick_phase_ms: u64,
}

/// A message in flight, ordered by its arrival.
#[derive(PartialEq, Eq)]
struct InFlight {
    at: std::cmp::Reverse<(u64, u64)>,
    from: BoxId,
    to: BoxId,
    message: Message,
}

impl Ord for InFlight {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.cmp(&other.at)
    }
}

impl PartialOrd for InFlight {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

struct SimulatedFleet {
    now: Time,
    nodes: Vec<Node>,
    index: HashMap<BoxId, usize>,
    in_flight: BinaryHeap<InFlight>,
    sent_count: u64,
    published: Option<Release>,
    bytes: u64,
    messages: u64,
    in_force: BTreeMap<usize, Time>,
}

impl SimulatedFleet {
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
            detector: FailureDetector::new(
                peer.clone(),
                &peers,
                0,
                ProbeTiming { start_grace_ms: 0, ..ProbeTiming::default() },
                now,
            ),
            sync: ReleaseSync::default(),
            peer: peer.clone(),
            alive: true,
            has_platform: true,
            tick_phase_ms: (i as u64 * 7 + seed) % TICK_INTERVAL_MS,
        };
        let nodes: Vec<Node> = peers.iter().enumerate().map(node).collect();
        let index = peers.iter().enumerate().map(|(i, p)| (p.id(), i)).collect();
        Self {
            now,
            nodes,
            index,
            in_flight: BinaryHeap::new(),
            sent_count: 0,
            published: None,
            bytes: 0,
            messages: 0,
            in_force: BTreeMap::new(),
        }
    }

    fn apply(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(from, to, message),
                Action::Fetch(digests) => self.fetch(from, &digests),
                Action::Adopt(..) => {
                    self.in_force.entry(from).or_insert(self.now);
                    let release_id = self.nodes[from].sync.release_id();
                    for to in self.nodes[from].detector.random_alive(3) {
                        self.send(from, to, Message::Ack { number: 0, order: release_id, changes: Vec::new() });
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
        self.sent_count += 1;
        let target = self.index[&to];
        let same_hall = self.nodes[target].peer.hall == self.nodes[from].peer.hall;
        let at = self.now.0 + if same_hall { SAME_HALL_LATENCY_MS } else { REMOTE_HALL_LATENCY_MS };
        let from = self.nodes[from].peer.id();
        self.in_flight.push(InFlight { at: std::cmp::Reverse((at, self.sent_count)), from, to, message });
    }

    fn fetch(&mut self, index: usize, digests: &[Digest]) {
        let Some(release) = &self.published else { return };
        let parts: Vec<Vec<u8>> = digests.iter().filter_map(|d| release.parts.get(d).cloned()).collect();
        let now = self.now;
        let actions = self.nodes[index].sync.on_parts_fetched(&parts, now);
        self.apply(index, actions);
    }

    fn run(&mut self, ms: u64) {
        let end = self.now.0 + ms;
        while self.now.0 < end {
            self.now = self.now.after(1);
            while self.in_flight.peek().is_some_and(|f| f.at.0 .0 <= self.now.0) {
                if let Some(delivery) = self.in_flight.pop() {
                    self.deliver(&delivery);
                }
            }
            for i in 0..self.nodes.len() {
                if self.nodes[i].alive && self.now.0 % TICK_INTERVAL_MS == self.nodes[i].tick_phase_ms {
                    self.tick(i);
                }
            }
        }
    }

    fn deliver(&mut self, delivery: &InFlight) {
        let (i, now) = (self.index[&delivery.to], self.now);
        if !self.nodes[i].alive {
            return;
        }
        let release_id = self.nodes[i].sync.release_id();
        let actions = self.nodes[i].detector.on_message(delivery.from, &delivery.message, release_id, now);
        self.apply(i, actions);
        let actions = match &delivery.message {
            Message::Ping { order, .. } | Message::Ack { order, .. } => {
                self.nodes[i].sync.on_release(delivery.from, *order, now)
            }
            other => self.nodes[i].sync.on_message(delivery.from, other, now),
        };
        self.apply(i, actions);
    }

    fn tick(&mut self, i: usize) {
        let now = self.now;
        let node = &mut self.nodes[i];
        let release_id = node.sync.release_id();
        let mut actions = node.detector.tick(release_id, now);
        node.sync.tick(now);
        if let Some(release) = self.published.as_ref().filter(|r| node.has_platform && Some(r.id()) > release_id) {
            let boxes = node.detector.eligible_boxes();
            let hall_boxes = boxes.get(&node.peer.hall).map_or(&[][..], Vec::as_slice);
            if watchers(hall_boxes).contains(&node.peer.id()) {
                actions.extend(node.sync.on_manifest_offered(&release.text, now));
            }
        }
        self.apply(i, actions);
    }

    /// Publishes a release and returns the times after which half, 99 % and all of the boxes have it in force.
    fn publish(&mut self, release: Release) -> (f64, f64, f64) {
        self.in_force.clear();
        let started = self.now;
        self.published = Some(release);
        let alive = self.nodes.iter().filter(|n| n.alive).count();
        while self.in_force.len() < alive && self.now.since(started) < 60_000 {
            self.run(10);
        }
        let mut times: Vec<f64> = self.in_force.values().map(|at| at.since(started) as f64).collect();
        times.resize(alive, 60_000.0);
        times.sort_by(f64::total_cmp);
        let quantile = |share: f64| times[((times.len() - 1) as f64 * share).ceil() as usize];
        (quantile(0.5), quantile(0.99), quantile(1.0))
    }

    /// Kills a box and returns the time until every other box of its hall considers it dead.
    fn kill_and_detect_ms(&mut self) -> f64 {
        let (victim, hall) = (self.nodes[0].peer.id(), self.nodes[0].peer.hall.clone());
        self.nodes[0].alive = false;
        let started = self.now;
        let detected = |n: &Node| n.detector.members().any(|m| m.peer.id() == victim && m.state == State::Dead);
        while self.now.since(started) < 60_000 {
            self.run(10);
            if self.nodes.iter().filter(|n| n.alive && n.peer.hall == hall).all(detected) {
                break;
            }
        }
        self.now.since(started) as f64
    }
}

/// Runs the simulation with `boxes` boxes in `halls` halls.
#[must_use]
pub fn run(boxes: usize, halls: usize, seed: u64) -> FleetOutcome {
    const IDLE_WINDOW_MS: u64 = 5_000;
    let halls = halls.min(boxes / 2).max(1);
    let mut fleet = SimulatedFleet::new(boxes, halls, seed);
    fleet.publish(release_with_customers(1, CUSTOMER_COUNT, 0));
    fleet.run(SETTLE_TIME_MS);
    (fleet.bytes, fleet.messages) = (0, 0);
    let started = Instant::now();
    fleet.run(IDLE_WINDOW_MS);
    let box_seconds = boxes as f64 * IDLE_WINDOW_MS as f64 / 1e3;
    let mut outcome = FleetOutcome {
        idle_micros: started.elapsed().as_secs_f64() * 1e6 / box_seconds,
        idle_bytes: fleet.bytes as f64 / box_seconds,
        idle_messages: fleet.messages as f64 / box_seconds,
        ..FleetOutcome::default()
    };
    (outcome.p50_ms, outcome.p99_ms, outcome.max_ms) = fleet.publish(release_with_customers(2, CUSTOMER_COUNT, 1));
    fleet.nodes.iter_mut().filter(|n| n.peer.hall == "hall-0").for_each(|n| n.has_platform = false);
    (_, _, outcome.hall_cut_ms) = fleet.publish(release_with_customers(3, CUSTOMER_COUNT, 2));
    fleet.run(2_000);
    fleet.bytes = 0;
    outcome.death_ms = fleet.kill_and_detect_ms();
    outcome.death_bytes = fleet.bytes as f64 / (boxes as f64 * outcome.death_ms.max(1.0) / 1e3);
    outcome
}

/// Transfers a new release from one box to another and returns the second box, before it applied the parts,
/// with the messages it received.
fn transfer_change(customers: usize) -> (ReleaseSync, Vec<Message>) {
    let now = Time(1);
    let first = release_with_customers(1, customers, 0);
    let second = release_with_customers(2, customers, 1);
    let mut from = ReleaseSync::default();
    apply_release(&mut from, &first, now);
    let mut to = ReleaseSync::default();
    apply_release(&mut to, &first, now);
    apply_release(&mut from, &second, now);
    let mut received = Vec::new();
    let (a, b) = (BoxId(1), BoxId(2));
    let mut requests = to.on_release(a, from.release_id(), now);
    while let Some(Action::Send(_, request)) = requests.pop() {
        for response in from.on_message(b, &request, now) {
            let Action::Send(_, response) = response else { continue };
            received.push(response.clone());
            if matches!(response, Message::Manifest(..)) {
                requests.extend(to.on_message(a, &response, now));
            }
        }
    }
    (to, received)
}

fn apply_release(sync: &mut ReleaseSync, release: &Release, now: Time) {
    let mut actions = sync.on_manifest_offered(&release.text, now);
    while let Some(action) = actions.pop() {
        if let Action::Fetch(digests) = action {
            let parts: Vec<Vec<u8>> = digests.iter().filter_map(|d| release.parts.get(d).cloned()).collect();
            actions = sync.on_parts_fetched(&parts, now);
        }
    }
}

/// Returns the milliseconds that a box spends on applying a change of one customer, from the arrival of the
/// changed part.
#[must_use]
pub fn change_ms(customers: usize) -> f64 {
    let (mut to, received) = transfer_change(customers);
    let started = Instant::now();
    for message in &received {
        if let Message::Parts(..) = message {
            for action in to.on_message(BoxId(1), message, Time(2)) {
                if let Action::Adopt(_, catalog) = action {
                    std::hint::black_box(policy::Layout::from_catalog(&catalog));
                }
            }
        }
    }
    started.elapsed().as_secs_f64() * 1e3
}

/// Returns the bytes of frames that a box receives for a change of one customer.
#[must_use]
pub fn change_bytes(customers: usize) -> usize {
    let (_, received) = transfer_change(customers);
    let frame = |m: &Message| wire::Frame::encode(&Envelope::Fleet(m.clone())).map_or(0, |f| f.wire_bytes());
    received.iter().map(frame).sum()
}
