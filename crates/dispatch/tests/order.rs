//! Order of grants, replies and slots under random events.

mod common;

use common::{address, release, request, server};
use dispatch::{Dispatcher, Reply, ServerSlots, SlotEnding, SlotReply, SlotRequest};
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use SlotEnding::{Answered, Failed, TurnedAway, Unused};

#[derive(Clone, Debug)]
enum Op {
    Request(usize, SlotRequest),
    Repeat(Index),
    Release(Index, SlotEnding),
    Servers(Vec<(u32, bool)>),
    BoxLeft(usize),
    Ticks(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let requests = (0..3_usize, 0..4_u8, 0..3_u64, 0..400_u32, 0..400_u32, prop::collection::vec(0..3_usize, 0..2));
    let requests = requests.prop_map(|(from, urgency, customer, max_wait_ms, more_ms, tried)| {
        let tried = tried.iter().map(|id| format!("s{id}")).collect();
        let expires_ms = max_wait_ms + more_ms;
        Op::Request(from, SlotRequest { expires_ms, tried, ..request(0, urgency, customer, max_wait_ms) })
    });
    let ending = prop::sample::select(vec![Answered, Answered, Answered, TurnedAway, Failed, Unused]);
    prop_oneof![
        8 => requests,
        1 => any::<Index>().prop_map(Op::Repeat),
        5 => (any::<Index>(), ending).prop_map(|(index, ending)| Op::Release(index, ending)),
        1 => prop::collection::vec((0..3_u32, prop::bool::weighted(0.8)), 0..4).prop_map(Op::Servers),
        1 => (0..3_usize).prop_map(Op::BoxLeft),
        4 => (0..30_u64).prop_map(Op::Ticks),
    ]
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    Waiting,
    Granted(String),
    Done,
}

struct Record {
    from: usize,
    request: SlotRequest,
    at: u64,
    state: State,
    /// Replies, or 1 if it was withdrawn.
    ends: u32,
    /// True if its box has left, and may use its number again.
    left: bool,
}

/// What the replies so far mean.
#[derive(Default)]
struct World {
    dispatcher: Dispatcher,
    servers: Vec<ServerSlots>,
    /// Time until which each server may get nothing after it has turned a request away.
    blocked_until: [u64; 3],
    last_grants: [u64; 4],
    records: Vec<Record>,
    now: u64,
}

impl World {
    fn used(&self, id: &str) -> u32 {
        self.records.iter().filter(|record| matches!(&record.state, State::Granted(server) if server == id)).count()
            as u32
    }

    fn apply(&mut self, replies: Vec<Reply>) -> Result<(), TestCaseError> {
        let now = self.now;
        for record in &mut self.records {
            if matches!(record.state, State::Granted(_)) && record.at + u64::from(record.request.expires_ms) <= now {
                record.state = State::Done;
            }
        }
        let (mut granted, mut refused) = (Vec::new(), Vec::new());
        for Reply { to, reply } in replies {
            use SlotReply::{Granted, Refused, Unmanaged};
            let (Granted { number, .. } | Refused { number, .. } | Unmanaged { number }) = reply;
            let record = &mut self.records[number as usize];
            prop_assert!(to == address(record.from) && record.state == State::Waiting, "unexpected reply to {number}");
            record.ends += 1;
            record.state = State::Done;
            if let Granted { server, .. } = reply {
                prop_assert!(!record.request.tried.contains(&server), "{server} was tried");
                prop_assert!(now <= record.at + u64::from(record.request.max_wait_ms), "{number} was granted too late");
                record.state = State::Granted(server.clone());
                let slots = self.servers.iter().find(|listed| listed.id == server && listed.usable).map(|s| s.slots);
                prop_assert!(Some(self.used(&server)) <= slots, "{server} got more than its slots");
                granted.push((number as usize, server));
            } else if matches!(reply, Refused { .. }) {
                refused.push(number);
            }
        }
        for (index, server) in granted {
            let urgency = self.records[index].request.urgency;
            let last_grant = std::mem::replace(&mut self.last_grants[usize::from(urgency)], now);
            let passed_over = self.records.iter().find(|Record { request, at, state, .. }| {
                let in_time = now < at + u64::from(request.max_wait_ms);
                let waits = *state == State::Waiting || (refused.contains(&request.number) && in_time);
                waits && request.urgency < urgency && !request.tried.contains(&server)
            });
            let passed_over = passed_over.filter(|_| now < last_grant + 1_000).map(|record| &record.request);
            prop_assert!(passed_over.is_none(), "{index} was granted before {passed_over:?}");
        }
        for (ServerSlots { id, slots, usable }, blocked_until) in self.servers.iter().zip(self.blocked_until) {
            let waits = |r: &Record| r.state == State::Waiting && !r.request.tried.contains(id);
            let free = *usable && now >= blocked_until && self.used(id) < *slots;
            prop_assert!(!(free && self.records.iter().any(waits)), "a request waits while {id} has a free slot");
        }
        Ok(())
    }

    fn run(&mut self, op: Op) -> Result<(), TestCaseError> {
        let (now, count) = (self.now, self.records.len());
        let replies = match op {
            Op::Request(from, request) => {
                let request = SlotRequest { number: count as u64, ..request };
                let (at, state) = (now, State::Waiting);
                self.records.push(Record { from, request: request.clone(), at, state, ends: 0, left: false });
                self.dispatcher.on_request(address(from), request, now)
            }
            Op::Repeat(index) if count > 0 && !self.records[index.index(count)].left => {
                let Record { from, request, state, .. } = &self.records[index.index(count)];
                let mut replies = self.dispatcher.on_request(address(*from), request.clone(), now);
                // A request that has ended may be told again that it isn't managed.
                let unmanaged = SlotReply::Unmanaged { number: request.number };
                replies.retain(|reply| *state != State::Done || reply.reply != unmanaged);
                replies
            }
            Op::Release(index, ending) if count > 0 => {
                let record = &mut self.records[index.index(count)];
                match std::mem::replace(&mut record.state, State::Done) {
                    State::Granted(server) if ending == TurnedAway => {
                        // No service time is longer than the 800 ms until leases lapse.
                        self.blocked_until[server[1..].parse::<usize>().unwrap()] = now + 800;
                    }
                    State::Waiting => record.ends += 1,
                    _ => {}
                }
                self.dispatcher.on_release(address(record.from), &release(record.request.number, ending), now)
            }
            Op::Servers(servers) => {
                let slots = servers.into_iter().enumerate();
                self.servers = slots.map(|(id, (slots, usable))| ServerSlots { usable, ..server(id, slots) }).collect();
                self.dispatcher.set_servers("plain", &self.servers, now)
            }
            Op::BoxLeft(from) => {
                for record in self.records.iter_mut().filter(|record| record.from == from) {
                    record.ends += u32::from(record.state == State::Waiting);
                    (record.state, record.left) = (State::Done, true);
                }
                self.dispatcher.on_box_left(address(from), now)
            }
            Op::Ticks(ticks) => {
                return (0..ticks).try_for_each(|_| {
                    self.now += 10;
                    let replies = self.dispatcher.tick(self.now);
                    self.apply(replies)
                });
            }
            Op::Repeat(_) | Op::Release(..) => return Ok(()),
        };
        self.apply(replies)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::with_cases(2_000)
    })]

    /// Guards against grants out of order or beyond the slots, idle slots, and requests without exactly one reply.
    #[test]
    fn replies_keep_the_rules(ops in prop::collection::vec(op(), 1..80)) {
        let mut world = World::default();
        world.run(Op::Servers(vec![(1, true), (2, true)]))?;
        ops.into_iter().try_for_each(|op| world.run(op))?;
        let replies = world.dispatcher.stop();
        world.servers.clear();
        world.apply(replies)?;
        prop_assert!(world.records.iter().all(|record| record.ends == 1), "not one reply each");
    }
}

/// Guards against a class that starves, and against a floor that takes more than one slot a second.
#[test]
fn each_class_has_a_floor() {
    let mut dispatcher = common::dispatcher(&[(1, 10.0)]);
    let (from, mut floor_grants, mut running) = (address(0), 0, None);
    for number in 0..1_000 {
        let now = number * 10;
        let mut replies = dispatcher.on_request(from, request(number, 0, 1, 1_000), now);
        replies.extend(dispatcher.on_request(from, request(10_000 + number, 5, 2, 60_000), now));
        if let Some(running) = running.take() {
            replies.extend(dispatcher.on_release(from, &release(running, Answered), now));
        }
        for reply in replies {
            if let SlotReply::Granted { number, .. } = reply.reply {
                running = Some(number);
                floor_grants += u32::from(number >= 10_000);
            }
        }
    }
    assert!((9..=10).contains(&floor_grants), "{floor_grants} grants in 10 s");
}
