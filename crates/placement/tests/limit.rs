//! Tests of server limits under the load of a whole fleet, and of unusual limits.

mod common;

use common::{server, service, update, MODEL};
use placement::{
    Ending, Limit, LimitUpdate, Owner, Part, PermitReply, PermitRequest, Placement, PlacementRequest, Prompt, Quota,
    Quotas, Refusal, RetryBudget, SendReport, SendUpdate, ServerStatus, StatusQuery,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::{ColdStart, Server, Table};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

const SERVERS: usize = 6;

/// Parts that prompts share.
const SHARED: u64 = 12;

/// Longest transit time of a message between boxes, of a request to its server or of its answer.
const MAX_TRANSIT_MS: u64 = 60;

/// Longest time that a server takes to answer.
const MAX_ANSWER_MS: u64 = 800;

/// The platform's bound applies to any window of this length that begins at least this long after a limit was first
/// named.
const WINDOW_MS: u64 = 4_000;
const GRACE_MS: u64 = 3_000;

fn allowed(per_s: f64) -> f64 {
    1.5 * per_s * (WINDOW_MS as f64 / 1e3) + 5.0
}

fn table(cold: Option<ColdStart>) -> Table {
    Table::new(1, Vec::new(), vec![service(64, 6, cold)])
}

fn placement(servers: Vec<Server>) -> Placement {
    let mut placement = Placement::new("hall", RetryBudget::new(0.2, 50.0, 10_000));
    update(&mut placement, &table(None), servers, &[], 0);
    placement
}

fn servers(count: usize) -> Vec<Server> {
    (0..count).map(|index| server(index, "hall")).collect()
}

fn request(denied: &[String], now: u64) -> PlacementRequest<'_> {
    PlacementRequest {
        service: MODEL,
        prompt: None,
        target: Duration::from_millis(2_000),
        gap_limit: None,
        urgency: 0,
        bytes: 1_000,
        tried: &[],
        denied,
        version: None,
        allowed_regions: [None, None],
        statuses: &[],
        now,
    }
}

/// A prompt of a shared part and a part of its own.
fn prompt(shared: u64, own: u64) -> Prompt {
    let parts = vec![Part { id: shared, tokens: 600 }, Part { id: own, tokens: 100 }];
    Prompt { model: "m".to_owned(), tokens: 700, max_out_tokens: 60, out_tokens_hint: None, parts }
}

fn address(from: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (from / 200) as u8, (from % 200) as u8], 80))
}

/// A message in transit.
#[derive(Clone, Debug)]
enum Message {
    /// A request that a box sent to a server at time `sent`.
    Request { from: usize, sent: u64, server: usize, number: u64 },
    /// The answer, with the limit that it names.
    Answer { to: usize, sent: u64, server: usize, number: u64, limit: Limit },
    /// An update from another box.
    Update { to: usize, limit_update: LimitUpdate },
}

/// Ways to enforce limits.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Enforcement {
    /// One box grants permits for each request.
    Permits,
    /// Each box applies its own share of the limit.
    Shares,
}

/// A simulation of boxes in front of servers, in virtual time.
struct Fleet {
    enforcement: Enforcement,
    boxes: Vec<Placement>,
    owner: Owner,
    /// Time at which a box may next send to a server, by its share.
    shares: BTreeMap<(usize, usize), u64>,
    rng: ChaCha8Rng,
    /// Parts that prompts share.
    shared: u64,
    now: u64,
    numbers: u64,
    /// Message numbers by arrival time.
    messages: BinaryHeap<Reverse<(u64, u64)>>,
    bodies: BTreeMap<u64, Message>,
    /// Limits that servers name in their answers.
    limits: Vec<Limit>,
    /// Arrival times of requests at each server.
    arrived: Vec<Vec<u64>>,
    refused: usize,
    /// Changes of limits that were broadcast to all boxes.
    updates_sent: usize,
    /// Share of requests that are urgent, and counts of sent and refused requests: those of urgent ones first, then
    /// those of all others.
    urgent: f64,
    outcomes: [(usize, usize); 2],
}

impl Fleet {
    fn new(seed: u64, enforcement: Enforcement, boxes: usize) -> Self {
        Self {
            enforcement,
            boxes: vec![placement(servers(SERVERS)); boxes],
            owner: Owner::default(),
            shares: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            shared: SHARED,
            now: 0,
            numbers: 0,
            messages: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            limits: vec![Limit::None; SERVERS],
            arrived: vec![Vec::new(); SERVERS],
            refused: 0,
            updates_sent: 0,
            urgent: 0.0,
            outcomes: [(0, 0); 2],
        }
    }

    fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    fn send(&mut self, delay: u64, message: Message) {
        let number = self.number();
        let transit = self.rng.random_range(0..=MAX_TRANSIT_MS);
        self.messages.push(Reverse((self.now + delay + transit, number)));
        self.bodies.insert(number, message);
    }

    fn request_permit(&mut self, from: usize, server: usize, quotas: Quotas, urgency: u8) -> PermitReply {
        match self.enforcement {
            Enforcement::Permits => {
                let permit = PermitRequest { number: self.number(), server: format!("s{server}"), quotas, urgency };
                self.owner.on_permit_request(&permit, self.now)
            }
            Enforcement::Shares => {
                let quota = quotas.limit.expect("a limit");
                let each = quota.window * self.boxes.len() as u64 / u64::from(quota.max_requests);
                // Boxes begin at different times, so that they don't all send at once.
                let (now, phase) = (self.now, self.rng.random_range(0..=each));
                let next = self.shares.entry((from, server)).or_insert(now + phase);
                if self.now < *next {
                    return PermitReply::Denied { retry_ms: *next - self.now };
                }
                *next = self.now + each;
                PermitReply::Granted
            }
        }
    }

    /// Returns the statuses of the most likely servers from their owner.
    fn statuses(&mut self, from: usize, prompt: &Prompt) -> Vec<(String, ServerStatus)> {
        let planned = self.boxes[from]
            .servers_to_query(&PlacementRequest { prompt: Some(prompt), ..request(&[], self.now) }, SERVERS);
        let mut statuses = Vec::new();
        for server in planned {
            let (number, id) = (self.number(), server.id.clone());
            let query = StatusQuery {
                number,
                server: id.clone(),
                parts: prompt.parts.clone(),
                gap_ms: 0,
                ..StatusQuery::default()
            };
            let status = self.owner.on_query(&query, self.now);
            self.boxes[from].on_status(MODEL, &id, status.clone(), self.now);
            statuses.push((id, status));
        }
        statuses
    }

    /// Sends one request from one box, as the program does.
    fn request(&mut self, from: usize) {
        let prompt = prompt(self.rng.random_range(0..self.shared), self.rng.random());
        let statuses = self.statuses(from, &prompt);
        let less_urgent = usize::from(!self.rng.random_bool(self.urgent));
        let urgency = [0, 6][less_urgent];
        let mut denied = Vec::new();
        loop {
            let request =
                PlacementRequest { prompt: Some(&prompt), statuses: &statuses, urgency, ..request(&denied, self.now) };
            let choice = match self.boxes[from].choose(&request) {
                Ok(choice) => choice,
                Err(Refusal::Limited { .. }) => {
                    self.refused += 1;
                    self.outcomes[less_urgent].1 += 1;
                    return;
                }
                Err(other) => panic!("{other:?}"),
            };
            let id = choice.server.id.clone();
            let server: usize = id[1..].parse().expect("a number");
            let reply = choice
                .permit_quotas
                .map_or(PermitReply::Granted, |quotas| self.request_permit(from, server, quotas, urgency));
            match reply {
                PermitReply::Granted => {
                    self.outcomes[less_urgent].0 += 1;
                    let (sent, number) = (self.now, self.number());
                    let permitted = choice.permit_quotas.is_some();
                    let sent_update =
                        SendUpdate::Sent { parts: prompt.parts, work: choice.work, memory: 300_000, permitted };
                    self.owner.on_report(address(from), SendReport { number, server: id, update: sent_update }, sent);
                    return self.send(0, Message::Request { from, sent, server, number });
                }
                PermitReply::Denied { retry_ms } => {
                    self.boxes[from].record_denial(MODEL, &id, urgency, self.now + retry_ms);
                    denied.push(id);
                }
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request { from, sent, server, number } => {
                self.arrived[server].push(self.now);
                let delay = self.rng.random_range(0..=MAX_ANSWER_MS);
                // The answer names the limit at the arrival of the request.
                let limit = self.limits[server];
                self.send(delay, Message::Answer { to: from, sent, server, number, limit });
            }
            Message::Answer { to, sent, server, number, limit } => {
                let id = format!("s{server}");
                let new_limit = self.boxes[to].record_limit(&id, limit, sent, self.now);
                let ended = SendUpdate::Ended { ending: Ending::Good, pause_ms: 0 };
                self.owner.on_report(address(to), SendReport { number, server: id, update: ended }, self.now);
                self.updates_sent += usize::from(new_limit.is_some());
                for other in (0..self.boxes.len()).filter(|other| *other != to && new_limit.is_some()) {
                    let limit_update = new_limit.clone().expect("just looked");
                    self.send(0, Message::Update { to: other, limit_update });
                }
            }
            Message::Update { to, limit_update } => {
                self.boxes[to].on_limit_update(&limit_update, self.now);
            }
        }
    }

    /// Sends `rate` requests per second from all boxes together, for `time` milliseconds.
    fn run(&mut self, time: u64, rate: f64) {
        let until = self.now + time;
        while self.now < until {
            while let Some(Reverse((at, number))) = self.messages.peek().copied().filter(|due| due.0 .0 <= self.now) {
                self.messages.pop();
                assert!(at <= self.now);
                let message = self.bodies.remove(&number).expect("it is on its way");
                self.deliver(message);
            }
            let mut due = rate / 1e3;
            while due > 0.0 && self.rng.random_bool(due.min(1.0)) {
                let from = self.rng.random_range(0..self.boxes.len());
                self.request(from);
                due -= 1.0;
            }
            self.now += 1;
        }
    }

    /// Returns the most requests that a server received within one window between these times.
    fn max_in_window(&self, server: usize, from: u64, until: u64) -> usize {
        let times: Vec<u64> = self.arrived[server].iter().copied().filter(|at| (from..until).contains(at)).collect();
        let within = |first: usize| times[first..].iter().take_while(|at| **at < times[first] + WINDOW_MS).count();
        (0..times.len()).map(within).max().unwrap_or_default()
    }

    fn received(&self, server: usize, from: u64, until: u64) -> f64 {
        self.arrived[server].iter().filter(|at| (from..until).contains(at)).count() as f64
    }
}

#[test]
fn limits_hold_over_all_boxes_and_are_used() {
    for (seed, boxes) in [(1, 4), (2, 40), (3, 300)] {
        for per_s in [0.3, 2.1, 12.0] {
            let mut fleet = Fleet::new(seed, Enforcement::Permits, boxes);
            fleet.run(2_000, 300.0);
            fleet.limits[0] = Limit::PerS(per_s);
            fleet.limits[1] = Limit::PerS(2.0 * per_s);
            let named = fleet.now;
            fleet.run(15_000, 300.0);
            for (server, per_s) in [(0, per_s), (1, 2.0 * per_s)] {
                let what = format!("{boxes} boxes, server {server}, {per_s} a second");
                let most = fleet.max_in_window(server, named + GRACE_MS, fleet.now) as f64;
                assert!(most <= allowed(per_s), "{what}: {most} in four seconds");
                let capacity = per_s * (fleet.now - named - GRACE_MS) as f64 / 1e3;
                let received = fleet.received(server, named + GRACE_MS, fleet.now);
                assert!(received <= capacity + per_s.max(1.0), "{what}: {received} of {capacity}");
                assert!(received >= 0.8 * capacity - 1.0, "{what}: {received} of {capacity}");
            }
            assert_eq!(fleet.refused, 0, "others serve");
        }
    }
}

#[test]
fn limits_of_all_servers_are_used() {
    for (seed, boxes) in [(1, 4), (2, 40), (3, 300)] {
        let mut fleet = Fleet::new(seed, Enforcement::Permits, boxes);
        fleet.limits = vec![Limit::PerS(3.0); SERVERS];
        fleet.run(GRACE_MS, 100.0);
        fleet.run(12_000, 100.0);
        let mut received = 0.0;
        for server in 0..SERVERS {
            assert!(fleet.max_in_window(server, GRACE_MS, fleet.now) as f64 <= allowed(3.0));
            received += fleet.received(server, GRACE_MS, fleet.now);
        }
        let capacity = 3.0 * SERVERS as f64 * 12.0;
        assert!(received >= 0.8 * capacity, "{boxes} boxes: {received} of {capacity}");
        assert!(fleet.refused > 0, "the excess is refused");
    }
}

#[test]
fn a_server_that_lifts_its_limit_gets_its_share_back_at_once_without_a_burst() {
    for (seed, boxes) in [(1, 4), (2, 40), (3, 300)] {
        let mut fleet = Fleet::new(seed, Enforcement::Permits, boxes);
        // No part is shared, so that no other server caches the parts that this one had.
        fleet.shared = u64::MAX;
        fleet.run(4_000, 300.0);
        let share = fleet.received(0, 1_000, 4_000) / 3.0;
        fleet.limits[0] = Limit::PerS(2.0);
        fleet.run(6_000, 300.0);
        fleet.limits[0] = Limit::None;
        // Any request that is sent within half a second shows the change in its answer.
        fleet.run(4_000, 300.0);
        for from in [12_000, 13_000] {
            let received = fleet.received(0, from, from + 1_000);
            assert!((0.7 * share..1.5 * share).contains(&received), "{boxes} boxes: {received} of {share}");
        }
    }
}

#[test]
fn limits_that_change_with_each_answer_hold() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed, Enforcement::Permits, 40);
        for _ in 0..100 {
            let per_s = fleet.rng.random_range(1.0..4.0);
            fleet.limits[0] = Limit::PerS(per_s);
            fleet.run(100, 300.0);
        }
        let most = fleet.max_in_window(0, GRACE_MS, fleet.now) as f64;
        assert!(most <= allowed(4.0), "seed {seed}: {most}");
    }
}

#[test]
fn a_fluctuating_limit_is_not_broadcast_with_each_answer() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed, Enforcement::Permits, 40);
        for _ in 0..100 {
            let per_s = fleet.rng.random_range(10.0..12.0);
            fleet.limits[0] = Limit::PerS(per_s);
            fleet.run(100, 300.0);
        }
        let (updates_sent, received) = (fleet.updates_sent, fleet.received(0, GRACE_MS, fleet.now));
        println!("seed {seed}: {updates_sent} updates, {received} requests in seven seconds");
        assert!(updates_sent <= 10, "seed {seed}: {updates_sent} updates");
        assert!(received >= 0.8 * 10.0 * 7.0, "seed {seed}: {received}");
    }
}

/// Eight urgent requests and `others` less urgent ones per second, where the servers take twelve. Returns the share
/// of urgent requests that were sent, and the number of others that were.
fn urgent_beside(seed: u64, boxes: usize, others: f64) -> (f64, usize) {
    let mut fleet = Fleet::new(seed, Enforcement::Permits, boxes);
    fleet.limits = vec![Limit::PerS(2.0); SERVERS];
    let rate = 8.0 + others;
    fleet.urgent = 8.0 / rate;
    fleet.run(GRACE_MS, rate);
    fleet.outcomes = [(0, 0); 2];
    fleet.run(40_000, rate);
    let [(urgent, shed), (less_urgent, _)] = fleet.outcomes;
    (urgent as f64 / (urgent + shed) as f64, less_urgent)
}

#[test]
fn urgent_requests_have_priority_under_limits_and_no_class_starves() {
    for (seed, boxes) in [(1, 4), (2, 40), (3, 300)] {
        let (alone, _) = urgent_beside(seed, boxes, 0.0);
        let (beside, less_urgent) = urgent_beside(seed, boxes, 32.0);
        println!(
            "{boxes} boxes: {beside:.2} of the urgent ones sent ({alone:.2} without others), {less_urgent} others"
        );
        assert!(beside >= alone - 0.1, "{boxes} boxes: {beside} of the urgent ones, {alone} without others");
        assert!(less_urgent > 40, "{boxes} boxes: {less_urgent} others in 40 s");
        // If urgent requests alone exceed the limits, the others still get a share.
        let mut fleet = Fleet::new(seed, Enforcement::Permits, boxes);
        fleet.limits = vec![Limit::PerS(2.0); SERVERS];
        fleet.urgent = 0.8;
        fleet.run(30_000, 40.0);
        let [(urgent, _), (less_urgent, _)] = fleet.outcomes;
        assert!(
            less_urgent >= SERVERS && less_urgent * 4 < urgent,
            "{boxes} boxes: {less_urgent} others, {urgent} urgent ones"
        );
    }
}

/// Compares permits with shares; `--nocapture` shows the figures.
#[test]
fn permits_use_limits_better_than_shares() {
    let mut used = [0.0, 0.0];
    for (seed, boxes) in [(1, 4), (2, 40), (3, 300)] {
        for per_s in [0.3, 1.0, 12.0] {
            for enforcement in [Enforcement::Permits, Enforcement::Shares] {
                let mut fleet = Fleet::new(seed, enforcement, boxes);
                fleet.limits = vec![Limit::PerS(per_s); SERVERS];
                fleet.run(15_000, 100.0);
                let received: f64 = (0..SERVERS).map(|server| fleet.received(server, GRACE_MS, fleet.now)).sum();
                let most = (0..SERVERS)
                    .map(|server| fleet.max_in_window(server, GRACE_MS, fleet.now))
                    .max()
                    .unwrap_or_default();
                let capacity = per_s * SERVERS as f64 * 12.0;
                println!(
                    "{enforcement:?}: {boxes} boxes, {per_s} a second: {:.2} of it used, {most} of {:.1} in four seconds",
                    received / capacity,
                    allowed(per_s)
                );
                used[usize::from(enforcement == Enforcement::Shares)] += received / capacity;
            }
        }
    }
    assert!(used[0] > used[1]);
}

fn named(per_s: f64) -> LimitUpdate {
    LimitUpdate { instance: "s0".to_owned(), limit: Limit::PerS(per_s), version: 1 }
}

fn quotas(placement: &mut Placement, now: u64) -> Option<Quotas> {
    placement.choose(&request(&[], now)).expect("a server").permit_quotas
}

#[test]
fn every_limit_has_a_valid_quota() {
    let quota = |per_s: f64| {
        let mut placement = placement(servers(1));
        assert!(placement.on_limit_update(&named(per_s), 0));
        quotas(&mut placement, 10).and_then(|quotas| quotas.limit)
    };
    assert_eq!(quota(2.1), Some(Quota { max_requests: 2, window: 953 }));
    assert_eq!(quota(0.3), Some(Quota { max_requests: 1, window: 3_334 }));
    assert_eq!(quota(1.0 / 60.0), Some(Quota { max_requests: 1, window: 60_000 }));
    // A limit of zero still allows a request now and then, since only an answer can show that the limit has risen.
    for per_s in [0.0, -0.0, 1e-9, f64::MIN_POSITIVE] {
        assert_eq!(quota(per_s), Some(Quota { max_requests: 1, window: 60_000 }), "{per_s}");
    }
    assert_eq!(quota(9_999.5), Some(Quota { max_requests: 9_999, window: 1_000 }));
    assert_eq!(quota(1e300), None, "more than any server answers");
}

#[test]
fn the_newer_limit_applies_or_the_stricter_if_the_order_is_unknown() {
    let limit = |placement: &mut Placement, per_s: Option<f64>, sent: u64, now: u64| {
        let limit = per_s.map_or(Limit::None, Limit::PerS);
        placement.record_limit("s0", limit, sent, now).is_some()
    };
    let mut placement = placement(servers(1));
    assert!(!limit(&mut placement, None, 1, 10), "nothing new");
    assert!(limit(&mut placement, Some(2.0), 1, 10));
    assert!(!limit(&mut placement, Some(2.0), 11, 12), "it is new once");
    // The answer to a request that was sent before the limit was known may be older than the limit.
    assert!(!limit(&mut placement, None, 9, 20));
    assert!(!limit(&mut placement, Some(5.0), 9, 20));
    assert!(limit(&mut placement, Some(1.0), 9, 20), "a stricter one counts");
    assert!(quotas(&mut placement, 30).is_some());
    assert!(limit(&mut placement, None, 21, 40));
    assert_eq!(quotas(&mut placement, 50), None);
}

#[test]
fn boxes_agree_whatever_the_order_of_updates() {
    let limit_update = |limit: Limit, version: u64| LimitUpdate { instance: "s0".to_owned(), limit, version };
    let updates = [
        limit_update(Limit::PerS(2.0), 1),
        limit_update(Limit::None, 2),
        limit_update(Limit::PerS(1.0), 3),
        limit_update(Limit::PerS(4.0), 3),
    ];
    for order in [[0, 1, 2, 3], [3, 2, 1, 0], [2, 0, 3, 1]] {
        let mut placement = placement(servers(1));
        for index in order {
            placement.on_limit_update(&updates[index], 10);
        }
        assert_eq!(placement.limit_updates(), vec![updates[2].clone()], "{order:?}");
    }
    let (mut one, mut other) = (placement(servers(2)), placement(servers(2)));
    let limit_update = one.record_limit("s1", Limit::PerS(1.0), 5, 10).expect("a new limit");
    assert_ne!(one.notices_digest(), other.notices_digest());
    assert!(other.on_limit_update(&limit_update, 900) && !other.on_limit_update(&limit_update, 901));
    assert_eq!(one.notices_digest(), other.notices_digest());
    // The limit of an instance that is no longer listed is not exchanged, but it is known if the instance reappears.
    update(&mut one, &table(None), servers(1), &[], 1_000);
    assert!(one.limit_updates().is_empty());
    update(&mut one, &table(None), servers(2), &[], 2_000);
    assert_eq!(one.limit_updates(), vec![limit_update]);
}

#[test]
fn a_limit_belongs_to_one_instance_and_applies_besides_other_rules() {
    let cold = Some(ColdStart { duration: Duration::from_secs(10), requests_per_s: 5.0 });
    let mut placement = Placement::new("hall", RetryBudget::new(0.2, 50.0, 10_000));
    let cold_server = || Server { cold_ms: 10_000, ..server(0, "hall") };
    update(&mut placement, &table(cold), vec![cold_server()], &[], 0);
    placement.on_limit_update(&named(1.0), 0);
    let both = quotas(&mut placement, 10).expect("it is both");
    assert!(both.cold.is_some() && both.limit.is_some());
    // A cold server with a limit gets no more than either quota allows.
    let mut owner = Owner::default();
    let mut permit = |quotas: Quotas, now: u64| {
        let permit = PermitRequest { number: 0, server: "s0".to_owned(), quotas, urgency: 0 };
        owner.on_permit_request(&permit, now)
    };
    assert_eq!(permit(both, 0), PermitReply::Denied { retry_ms: 1_000 }, "permits of a former owner are unknown");
    assert_eq!(permit(both, 1_000), PermitReply::Granted);
    assert_eq!(permit(both, 1_001), PermitReply::Denied { retry_ms: 999 });
    assert_eq!(permit(Quotas { limit: None, ..both }, 1_002), PermitReply::Granted);
    assert!(!placement.may_send(MODEL, "s0", false, 20), "chosen before the limit was known");
    assert!(placement.may_send(MODEL, "s0", true, 20));
    placement.record_back_off("s0", 5_000);
    assert!(!placement.may_send(MODEL, "s0", true, 30));
    assert_eq!(placement.choose(&request(&[], 30)).expect_err("it backs off"), Refusal::BackingOff { retry_ms: 4_970 });
    let later = Server { id: "s0@7".to_owned(), ..server(0, "hall") };
    update(&mut placement, &table(None), vec![later], &[], 40);
    assert_eq!(quotas(&mut placement, 50), None, "a later instance is another server");
}

#[test]
fn refusals_name_the_time_when_the_first_server_accepts_requests_again() {
    let mut placement = placement(servers(2));
    placement.on_limit_update(&named(1.0), 0);
    placement.on_limit_update(&LimitUpdate { instance: "s1".to_owned(), ..named(0.5) }, 0);
    assert!(placement.choose(&request(&[], 10)).is_ok());
    placement.record_denial(MODEL, "s0", 0, 700);
    placement.record_denial(MODEL, "s1", 0, 1_500);
    assert_eq!(
        placement.choose(&request(&[], 100)).expect_err("limits are used up"),
        Refusal::Limited { retry_ms: 600 }
    );
    assert!(placement.choose(&request(&[], 700)).is_ok());
    // Denials under a former limit don't apply to a new one.
    placement.on_limit_update(&LimitUpdate { version: 2, ..named(5.0) }, 200);
    assert!(placement.choose(&request(&[], 210)).is_ok());
}
