//! Benchmarks of the shard owner's production code at several sizes, without a network.

use catalog::{BoxId, Catalog, ClassId, CustomerId};
use policy::{Decision, Layout, LeaseReturn, Message, Report, Scheduler, Shard, SlotRequest, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt::Write as _;
use std::rc::Rc;
use std::time::Instant;

/// Number of requests in one measurement.
const REQUEST_COUNT: usize = 20_000;

/// Builds a layout with `servers` servers of one model and `classes` classes, the first of them urgent.
pub(crate) fn layout(servers: usize, slots: usize, classes: usize) -> Rc<Layout> {
    let mut text = "key_salt = \"s\"\n".to_owned();
    for i in 0..classes {
        // Writing to a String can't fail.
        let _ = write!(
            text,
            "[[class]]\nname = \"c{i}\"\nrank = {i}\nurgent = {}\nfirst_token_ms = 600000\nfloor = {}\npreemptible = false\npass_after_ms = 5000\n",
            i == 0,
            if i == 0 { 0.0 } else { 0.5 / classes as f64 }
        );
    }
    let mut upstreams = String::new();
    for i in 0..servers {
        let _ = write!(
            upstreams,
            "[[upstream]]\nname = \"s{i}\"\nhall = \"h\"\nmodel = \"m\"\naddress = \"127.0.0.1:1\"\nslots = {slots}\nresume = true\n"
        );
    }
    let catalog = Catalog::parse(&[("classes", &text), ("upstreams", &upstreams)]).expect("valid files");
    Rc::new(Layout::from_catalog(&catalog))
}

/// Creates one owner of all servers, however many: the measurements are to show when a split into shards is
/// worthwhile.
fn shard_of_all_servers(layout: &Rc<Layout>) -> Shard {
    let mut specs = layout.shards.values();
    let mut spec = specs.next().expect("at least one shard").clone();
    for other in specs {
        spec.servers.extend(other.servers.clone());
    }
    Shard::new(&spec, Rc::clone(layout))
}

fn slot_request(id: u64, classes: usize, random: &mut ChaCha8Rng) -> SlotRequest {
    SlotRequest {
        id,
        class: ClassId::of(&format!("c{}", random.random_range(0..classes))),
        customer: CustomerId(random.random_range(0..100)),
        tokens: 100,
        prefix: random.random_range(0..50),
        age_ms: 1,
        resumable: true,
        begun: false,
        remote: false,
        avoid: None,
    }
}

fn collect_grants(decisions: &[Decision], held: &mut Vec<(BoxId, u64)>) {
    for decision in decisions {
        if let Decision::Send(to, Message::Grant { id, .. }) = decision {
            held.push((*to, *id));
        }
    }
}

/// Returns the owner's processor microseconds for one request (requested, granted and returned) with all
/// slots in use.
#[must_use]
pub fn request_micros(servers: usize, slots: usize, classes: usize, seed: u64) -> f64 {
    let layout = layout(servers, slots, classes);
    let mut shard = shard_of_all_servers(&layout);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut now = Time(1_000);
    let mut held = Vec::new();
    let mut next = 0;
    let mut request_slot = |shard: &mut Shard, held: &mut Vec<(BoxId, u64)>, now, random: &mut ChaCha8Rng| {
        next += 1;
        let from = BoxId(random.random_range(0..8));
        let decisions = shard.request_slot(from, slot_request(next, classes, random), now);
        collect_grants(&decisions, held);
    };
    for _ in 0..servers * slots + 50 {
        request_slot(&mut shard, &mut held, now, &mut random);
    }
    let report = Report { tokens: 100, first_ms: 50, between_tenths: 100, failed: false, unused: false };
    let started = Instant::now();
    for i in 0..REQUEST_COUNT {
        if i % 20 == 0 {
            now = now.after(20);
            collect_grants(&shard.tick(now), &mut held);
        }
        let (from, id) = held.swap_remove(random.random_range(0..held.len()));
        let decisions = shard.return_lease(from, &LeaseReturn { id, report }, now);
        collect_grants(&decisions, &mut held);
        request_slot(&mut shard, &mut held, now, &mut random);
    }
    started.elapsed().as_secs_f64() * 1e6 / REQUEST_COUNT as f64
}

/// Returns the processor microseconds of one tick with `waiting` requests in the queue.
#[must_use]
pub fn tick_micros(waiting: usize, seed: u64) -> f64 {
    const TICK_COUNT: usize = 50;
    let layout = layout(12, 8, 8);
    let mut shard = shard_of_all_servers(&layout);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut now = Time(1_000);
    for id in 0..(96 + waiting) as u64 {
        let mut request = slot_request(id, 8, &mut random);
        request.begun = true;
        shard.request_slot(BoxId((id % 8) as u32), request, now);
    }
    let started = Instant::now();
    for _ in 0..TICK_COUNT {
        now = now.after(20);
        shard.tick(now);
    }
    started.elapsed().as_secs_f64() * 1e6 / TICK_COUNT as f64
}

/// Returns the processor microseconds to renew `held` leases of one lessee.
#[must_use]
pub fn renew_micros(held: usize, seed: u64) -> f64 {
    const RENEWAL_COUNT: usize = 50;
    let layout = layout(12, held.div_ceil(12), 2);
    let mut shard = shard_of_all_servers(&layout);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut leases = Vec::new();
    for id in 0..held as u64 {
        collect_grants(&shard.request_slot(BoxId(1), slot_request(id, 2, &mut random), Time(1_000)), &mut leases);
    }
    let started = Instant::now();
    for i in 0..RENEWAL_COUNT {
        shard.renew(BoxId(1), 0, i as u64, Time(1_001));
    }
    started.elapsed().as_secs_f64() * 1e6 / RENEWAL_COUNT as f64
}
