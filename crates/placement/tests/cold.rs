//! Tests of cold servers under the load that overloads them: all boxes of a fleet send their backlog at once to
//! servers that have just started. In no second may any server receive more requests from all boxes together than the
//! platform allows.

mod common;

use common::{server, service, MODEL};
use placement::{
    ColdAllowance, Ending, Owner, Part, PermitReply, PermitRequest, Placement, PlacementRequest, Prompt, Refusal,
    RetryBudget, SendReport, SendUpdate, ServerStatus, StatusQuery, Work,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::{ColdStart, Server, Table};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const BOXES: usize = 40;
const SERVERS: usize = 12;

/// Requests per second that a cold server accepts, and the number that all boxes together may send to it in one
/// second.
const REQUESTS_PER_S: f64 = 5.2;
const ALLOWED_PER_S: f64 = REQUESTS_PER_S * 1.5 + 5.0;

/// Longest transit time of a message between boxes, and of a request to its server.
const MAX_TRANSIT_MS: u64 = 60;

fn instance(index: usize, born: u64, cold_ms: u32) -> Server {
    Server { id: format!("s{index}@{born}"), cold_ms, ..server(index, &format!("hall-{}", index % 2)) }
}

fn update(placement: &mut Placement, servers: Vec<Server>, evacuated: &[&str], now: u64) {
    let cold = Some(ColdStart { duration: Duration::from_secs(3), requests_per_s: REQUESTS_PER_S });
    common::update(placement, &Table::new(1, Vec::new(), vec![service(64, 6, cold)]), servers, evacuated, now);
}

fn placement() -> Placement {
    Placement::new("hall-0", RetryBudget::new(0.2, 50.0, 10_000))
        .with_allowance(ColdAllowance { ratio: 1.5, slack: 5.0 })
}

fn prompt(shared: u64, own: u64) -> Prompt {
    let parts = vec![Part { id: shared, tokens: 6_000 }, Part { id: own, tokens: 1_000 }];
    Prompt { model: "m".to_owned(), tokens: 7_000, max_out_tokens: 60, out_tokens_hint: None, parts }
}

fn request<'a>(
    prompt: &'a Prompt,
    statuses: &'a [(String, ServerStatus)],
    denied: &'a [String],
    now: u64,
) -> PlacementRequest<'a> {
    PlacementRequest {
        service: MODEL,
        prompt: Some(prompt),
        target: Duration::from_millis(2_000),
        gap_limit: None,
        urgency: 0,
        bytes: 10_000,
        tried: &[],
        denied,
        version: None,
        allowed_regions: [None, None],
        statuses,
        now,
    }
}

/// Boxes with one owner for all servers, some of which are cut off from it.
struct Fleet {
    boxes: Vec<Placement>,
    owner: Owner,
    /// Number of boxes that don't receive messages from the owner.
    cut_off: usize,
    rng: ChaCha8Rng,
    numbers: u64,
    /// Arrival times of requests at each server, by id.
    arrived: BTreeMap<String, Vec<u64>>,
    refused: usize,
}

impl Fleet {
    fn new(seed: u64, cut_off: usize) -> Self {
        let servers = || (0..SERVERS).map(|index| instance(index, 1, 0)).collect();
        let mut boxes = vec![placement(); BOXES];
        boxes.iter_mut().for_each(|one| update(one, servers(), &[], 0));
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { boxes, owner: Owner::default(), cut_off, rng, numbers: 0, arrived: BTreeMap::new(), refused: 0 }
    }

    fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    fn statuses(&mut self, index: usize, prompt: &Prompt, now: u64) -> Vec<(String, ServerStatus)> {
        let planned = self.boxes[index].servers_to_query(&request(prompt, &[], &[], now), 9);
        let mut statuses = Vec::new();
        for server in planned {
            let query = StatusQuery {
                number: self.number(),
                server: server.id.clone(),
                parts: prompt.parts.clone(),
                gap_ms: 0,
                ..StatusQuery::default()
            };
            let status = self.owner.on_query(&query, now);
            self.boxes[index].on_status(MODEL, &server.id, status.clone(), now);
            statuses.push((server.id.clone(), status));
        }
        statuses
    }

    /// Sends one request from one box, as the program does.
    fn request(&mut self, index: usize, now: u64) {
        let (shared, own) = (self.rng.random_range(0..6), self.rng.random());
        let prompt = prompt(shared, own);
        let connected = index >= self.cut_off;
        let statuses = if connected { self.statuses(index, &prompt, now) } else { Vec::new() };
        let mut denied = Vec::new();
        let choice = loop {
            match self.boxes[index].choose(&request(&prompt, &statuses, &denied, now)) {
                Ok(choice) => {
                    let Some(quotas) = choice.permit_quotas else { break choice };
                    let permit =
                        PermitRequest { number: self.number(), server: choice.server.id.clone(), quotas, urgency: 0 };
                    if connected && self.owner.on_permit_request(&permit, now) == PermitReply::Granted {
                        break choice;
                    }
                    denied.push(choice.server.id.clone());
                }
                Err(Refusal::Cold) => {
                    self.refused += 1;
                    return;
                }
                Err(other) => panic!("{other:?}"),
            }
        };
        let id = choice.server.id.clone();
        let arrives = now + self.rng.random_range(0..=MAX_TRANSIT_MS);
        self.arrived.entry(id.clone()).or_default().push(arrives);
        if connected {
            let permitted = choice.permit_quotas.is_some();
            let sent_update =
                SendUpdate::Sent { parts: prompt.parts, work: Work::default(), memory: 300_000, permitted };
            let from = SocketAddr::from(([10, 1, 0, index as u8], 80));
            let number = self.number();
            self.owner.on_report(from, SendReport { number, server: id.clone(), update: sent_update }, now);
            let ended = SendUpdate::Ended { ending: Ending::Good, pause_ms: 0 };
            self.owner.on_report(from, SendReport { number, server: id, update: ended }, now);
        }
    }

    /// Sends `rate` requests per second from all boxes together.
    fn run(&mut self, from: u64, until: u64, rate: f64) {
        for now in from..until {
            let mut due = rate / 1e3;
            while due > 0.0 && self.rng.random_bool(due.min(1.0)) {
                let index = self.rng.random_range(0..BOXES);
                self.request(index, now);
                due -= 1.0;
            }
        }
    }

    /// Returns the most requests that any server received within one second.
    fn most_in_a_second(&mut self) -> usize {
        let mut most = 0;
        for times in self.arrived.values_mut() {
            times.sort_unstable();
            for (first, at) in times.iter().enumerate() {
                most = most.max(times[first..].iter().take_while(|later| **later < at + 1_000).count());
            }
        }
        most
    }
}

#[test]
fn load_on_servers_that_have_just_started_stays_within_the_bound() {
    for seed in 0..8 {
        let mut fleet = Fleet::new(seed, 0);
        for one in &mut fleet.boxes {
            update(one, (0..SERVERS).map(|index| instance(index, 2, 3_000)).collect(), &[], 1_000);
        }
        fleet.run(1_000, 3_900, 300.0);
        let most = fleet.most_in_a_second();
        assert!(most as f64 <= ALLOWED_PER_S, "seed {seed}: {most} of {ALLOWED_PER_S}");
        let got: usize = fleet.arrived.values().map(Vec::len).sum();
        assert!(got as f64 >= REQUESTS_PER_S * 2.9 * SERVERS as f64, "seed {seed}: the allowed rate is used, {got}");
        assert!(fleet.refused > 0, "the excess is refused");
    }
}

#[test]
fn boxes_cut_off_from_owners_send_nothing_to_cold_servers() {
    for seed in 0..8 {
        let mut fleet = Fleet::new(seed, BOXES / 2);
        for one in &mut fleet.boxes {
            update(one, (0..SERVERS).map(|index| instance(index, 2, 3_000)).collect(), &[], 1_000);
        }
        fleet.run(1_000, 3_900, 400.0);
        let most = fleet.most_in_a_second();
        assert!(most as f64 <= ALLOWED_PER_S, "seed {seed}: {most} of {ALLOWED_PER_S}");
    }
}

#[test]
fn a_server_not_known_to_be_cold_gets_no_burst_while_others_are_available() {
    for seed in 0..8 {
        // All servers are warm as far as the boxes know. 45 requests per second are about four for each server, but
        // there are only six shared parts.
        let mut fleet = Fleet::new(seed, 0);
        fleet.run(1_000, 5_000, 45.0);
        let most = fleet.most_in_a_second();
        assert!(most as f64 <= ALLOWED_PER_S, "seed {seed}: {most} of {ALLOWED_PER_S}");
        assert_eq!(fleet.refused, 0, "warm servers refuse nothing");
    }
}

#[test]
fn servers_count_as_cold_after_their_hall_was_evacuated() {
    let mut placement = placement();
    let servers = || (0..2).map(|index| instance(index, 1, 0)).collect();
    update(&mut placement, servers(), &["hall-0"], 1_000);
    let prompt = prompt(1, 2);
    let during = placement.choose(&request(&prompt, &[], &[], 1_500)).expect("the other hall's server");
    assert_eq!((during.server.name.as_str(), during.permit_quotas), ("s1", None));
    update(&mut placement, servers(), &[], 9_000);
    let tried = ["s1@1".to_owned()];
    let reopened =
        placement.choose(&PlacementRequest { tried: &tried, ..request(&prompt, &[], &[], 9_100) }).expect("a server");
    assert!(reopened.permit_quotas.is_some());
    let warm =
        placement.choose(&PlacementRequest { tried: &tried, ..request(&prompt, &[], &[], 12_100) }).expect("a server");
    assert_eq!(warm.permit_quotas, None);
    update(&mut placement, servers(), &["hall-0", "hall-1"], 20_000);
    assert_eq!(placement.choose(&request(&prompt, &[], &[], 20_001)).expect_err("no hall"), Refusal::NoServer);
}

#[test]
fn a_server_that_lost_its_connections_is_cold_until_some_time_after_its_next_answer() {
    let mut placement = placement();
    update(&mut placement, vec![instance(0, 1, 0)], &[], 0);
    let needs_permit = |placement: &mut Placement, now: u64| {
        placement.choose(&request(&prompt(1, 2), &[], &[], now)).expect("a server").permit_quotas.is_some()
    };
    assert!(!needs_permit(&mut placement, 10));
    placement.record_ending(MODEL, "s0@1", Ending::Broken, 20);
    assert!(needs_permit(&mut placement, 30) && needs_permit(&mut placement, 60_000), "it may restart at any time");
    placement.record_ending(MODEL, "s0@1", Ending::Good, 60_000);
    assert!(needs_permit(&mut placement, 62_900));
    assert!(!needs_permit(&mut placement, 63_100));
}

#[test]
fn a_new_instance_inherits_nothing_from_the_former_one() {
    let mut placement = placement();
    update(&mut placement, vec![instance(0, 1, 0)], &[], 0);
    let known = prompt(1, 2);
    placement.choose(&request(&known, &[], &[], 10)).expect("a server");
    placement.record_cached(MODEL, "s0@1", &known);
    placement.record_ending(MODEL, "s0@1", Ending::Unreached, 20);
    update(&mut placement, vec![instance(0, 2, 0)], &[], 30);
    let chosen = placement.choose(&request(&prompt(1, 3), &[], &[], 40)).expect("it isn't paused");
    assert_eq!((chosen.server.id.as_str(), chosen.permit_quotas), ("s0@2", None));
    assert_eq!(chosen.load.running, 0);
    // Late reports on the former instance change nothing.
    placement.record_ending(MODEL, "s0@1", Ending::Broken, 50);
    assert_eq!(placement.choose(&request(&prompt(1, 4), &[], &[], 60)).expect("a server").permit_quotas, None);
    let mut owner = Owner::default();
    let from = SocketAddr::from(([10, 1, 0, 1], 80));
    let sent =
        SendUpdate::Sent { parts: known.parts.clone(), work: Work::default(), memory: 100_000, permitted: false };
    owner.on_report(from, SendReport { number: 1, server: "s0@1".to_owned(), update: sent }, 10);
    owner.on_report(from, SendReport { number: 1, server: "s0@1".to_owned(), update: SendUpdate::Read }, 40);
    let query =
        StatusQuery { number: 2, server: "s0@2".to_owned(), parts: known.parts, gap_ms: 0, ..StatusQuery::default() };
    let status = owner.on_query(&query, 50);
    assert_eq!((status.load.running, status.cached_tokens, status.confirmed_tokens, status.arrivals), (0, 0, 0, 0));
}
