//! Servers that fall over if they have to turn too many requests away within a second, played in virtual time.

mod common;

use common::{prompt, request, route, server, service, MODEL};
use placement::{
    Ending, Owner, Part, PermitReply, PermitRequest, Placement, PlacementRequest, RetryBudget, SendReport, SendUpdate,
    StatusQuery, Work,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::{Server, Table};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Slots of a server, which lets no request wait while it is brittle.
const SLOTS: u32 = 16;

/// Requests per second that a server may turn away.
const MAX_TURNED_AWAY: usize = 3;

/// Duration of a request.
const SERVICE_MS: u64 = 200;

/// Delay of messages to servers and to other boxes.
const SEND_MS: u64 = 1;
const REPORT_MS: u64 = 2;

/// Length of the surge, and its demand as a multiple of what the servers can run.
const SURGE_MS: u64 = 2_000;
const SURGE_FACTOR: f64 = 3.0;

/// A request on its way.
#[derive(Clone, Copy)]
struct Send {
    sender: usize,
    server: usize,
    number: u64,
    work: Work,
}

enum Event {
    Arrival(Send),
    Report(Send, SendUpdate),
    End(Send),
    Reply(Send, Ending),
}

struct Fleet {
    boxes: Vec<Placement>,
    owners: Vec<Owner>,
    running: Vec<u32>,
    /// Times at which each server turned requests away within the last second.
    turned_away: Vec<VecDeque<u64>>,
    falls: usize,
    served: usize,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(boxes: usize, servers: usize, is_brittle: bool) -> Self {
        let table = Table::new(1, vec![route(None)], vec![service(SLOTS, 4, None)]);
        let listed: Vec<Server> = (0..servers).map(|index| Server { slots: SLOTS, ..server(index, "here") }).collect();
        let mut first = Placement::new("here", RetryBudget::new(0.2, 50.0, 10_000));
        common::update(&mut first, &table, listed, &[], 0);
        first.set_box_count(boxes);
        if is_brittle {
            assert!(first.record_brittle(MODEL, 10_000), "the other boxes are told");
        }
        Self {
            boxes: vec![first; boxes],
            owners: vec![Owner::default(); servers],
            running: vec![0; servers],
            turned_away: vec![VecDeque::new(); servers],
            falls: 0,
            served: 0,
            events: BTreeMap::new(),
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(boxes as u64),
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    fn run(&mut self) {
        let per_ms = self.running.len() as f64 * f64::from(SLOTS) / SERVICE_MS as f64 * SURGE_FACTOR;
        let mut due = 0.0;
        for now in 10_000..10_000 + SURGE_MS {
            while self.events.first_key_value().is_some_and(|((at, _), _)| *at <= now) {
                let (_, event) = self.events.pop_first().expect("an event");
                self.handle(event, now);
            }
            due += per_ms;
            while due >= 1.0 {
                due -= 1.0;
                self.request(now);
            }
        }
    }

    fn request(&mut self, now: u64) {
        let sender = self.rng.random_range(0..self.boxes.len());
        let shared = Part { id: self.rng.random_range(0..8), tokens: 400 };
        let prompt = prompt(shared, Part { id: self.rng.random(), tokens: 400 });
        let request = PlacementRequest { now, ..request(&prompt) };
        let one = &mut self.boxes[sender];
        let asked = one.servers_to_query(&request, 9);
        let mut statuses = Vec::new();
        for server in asked {
            let query = StatusQuery {
                number: 0,
                server: server.id.clone(),
                parts: prompt.parts.clone(),
                gap_ms: 0,
                demand: None,
            };
            let status = self.owners[index_of(&server.id)].on_query(&query, now);
            one.on_status(MODEL, &server.id, status.clone(), now);
            statuses.push((server.id.clone(), status));
        }
        let mut denied = Vec::new();
        let choice = loop {
            let request = PlacementRequest { statuses: &statuses, denied: &denied, ..request };
            let Ok(choice) = one.choose(&request) else { return };
            let Some(quotas) = choice.permit_quotas else { break choice };
            let id = choice.server.id.clone();
            let permit = PermitRequest { number: 0, server: id.clone(), quotas, urgency: 0 };
            if self.owners[index_of(&id)].on_permit_request(&permit, now) == PermitReply::Granted {
                break choice;
            }
            denied.push(id);
        };
        let permitted = choice.permit_quotas.is_some();
        one.record_sent(MODEL, &choice.server.id, choice.work);
        self.next += 1;
        let send = Send { sender, server: index_of(&choice.server.id), number: self.next, work: choice.work };
        let update = SendUpdate::Sent { parts: prompt.parts.clone(), work: choice.work, memory: 0, permitted };
        self.schedule(now + SEND_MS, Event::Arrival(send));
        self.schedule(now + REPORT_MS, Event::Report(send, update));
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Arrival(send) if self.running[send.server] < SLOTS => {
                self.running[send.server] += 1;
                self.schedule(now + SERVICE_MS, Event::End(send));
            }
            Event::Arrival(send) => {
                self.turn_away(send.server, now);
                self.schedule(now + SEND_MS, Event::Reply(send, Ending::NotRun));
            }
            Event::End(send) => {
                self.running[send.server] -= 1;
                self.served += 1;
                self.schedule(now + SEND_MS, Event::Reply(send, Ending::Good));
            }
            Event::Reply(send, ending) => {
                let id = id_of(send.server);
                self.boxes[send.sender].record_prefilled(MODEL, &id, send.work);
                self.boxes[send.sender].record_late(MODEL, &id, send.work);
                self.boxes[send.sender].record_end(MODEL, &id, send.work, ending, now);
                self.schedule(now + REPORT_MS, Event::Report(send, SendUpdate::Ended { ending, pause_ms: 0 }));
            }
            Event::Report(send, update) => {
                let from = SocketAddr::from(([10, 0, 0, 1], send.sender as u16));
                let report = SendReport { number: send.number, server: id_of(send.server), update };
                self.owners[send.server].on_report(from, report, now);
            }
        }
    }

    fn turn_away(&mut self, server: usize, now: u64) {
        let turned_away = &mut self.turned_away[server];
        turned_away.retain(|at| now < at + 1_000);
        turned_away.push_back(now);
        if turned_away.len() > MAX_TURNED_AWAY {
            turned_away.clear();
            self.falls += 1;
        }
    }
}

fn id_of(server: usize) -> String {
    format!("s{server}")
}

fn index_of(id: &str) -> usize {
    id[1..].parse().expect("a number")
}

/// Guards against boxes that together turn brittle servers over: a surge makes each of them send to full servers.
#[test]
fn brittle_servers_do_not_fall_over_under_a_surge() {
    for (boxes, servers) in [(4, 4), (40, 10), (300, 40)] {
        let mut fleet = Fleet::new(boxes, servers, true);
        fleet.run();
        let max_falls = 2 + servers / 10;
        assert!(fleet.falls <= max_falls, "{boxes} boxes: {} falls of {servers} servers", fleet.falls);
        let most = (u64::from(SLOTS) * servers as u64 * SURGE_MS / SERVICE_MS) as usize;
        assert!(fleet.served * 2 >= most, "{boxes} boxes: served {} where {most} fit", fleet.served);
    }
}

/// Without the notice the same surge turns servers over, so that the test above shows something.
#[test]
fn the_surge_turns_servers_over_that_do_not_say_that_they_are_brittle() {
    let mut fleet = Fleet::new(40, 10, false);
    fleet.run();
    assert!(fleet.falls > 3, "{} falls", fleet.falls);
}
