//! Prints the time for decisions and the memory of the queue: `cargo run --release -p dispatch --example cost`.

use dispatch::{Dispatcher, ServerSlots, SlotEnding, SlotRelease, SlotReply, SlotRequest};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SERVICE: &str = "plain";

fn request(number: u64, customer: u64) -> SlotRequest {
    let urgency = (number % 3) as u8;
    let service = SERVICE.to_owned();
    SlotRequest {
        number,
        service,
        urgency,
        customer,
        max_wait_ms: 600_000,
        expires_ms: 900_000,
        tried: Vec::new(),
        request: number,
    }
}

fn address(index: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7000))
}

/// Returns a dispatcher with all slots of its servers in use and `waiting` requests, and the slots in use.
fn busy(servers: u32, boxes: u64, customers: u64, waiting: u64) -> (Dispatcher, Vec<(SocketAddr, u64)>) {
    let slots: Vec<ServerSlots> =
        (0..servers).map(|id| ServerSlots { id: format!("s{id}"), slots: 6, usable: true }).collect();
    let mut dispatcher = Dispatcher::default();
    assert!(dispatcher.set_servers(SERVICE, &slots, 0).is_empty());
    let mut used = Vec::new();
    for number in 0..u64::from(servers) * 6 + waiting {
        let from = address(number % boxes);
        let replies = dispatcher.on_request(from, request(number, number % customers), 0);
        let granted = replies.iter().filter(|reply| matches!(reply.reply, SlotReply::Granted { .. }));
        used.extend(granted.map(|_| (from, number)));
    }
    (dispatcher, used)
}

/// Prints the average and the longest time.
fn print(name: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let average = times.iter().sum::<Duration>() / times.len() as u32;
    let p99 = times[times.len() * 99 / 100];
    println!("  {name}: average {average:.1?}, 99th percentile {p99:.1?}, longest {:.1?}", times[times.len() - 1]);
}

fn print_times(servers: u32, boxes: u64, waiting: u64) {
    println!("{servers} servers, {boxes} boxes, 1,000 customers, {waiting} waiting:");
    let (mut dispatcher, mut used) = busy(servers, boxes, 1_000, waiting);
    let (mut requests, mut releases, mut ticks) = (Vec::new(), Vec::new(), Vec::new());
    for round in 0..5_000 {
        let now = 100 + round;
        let number = 1_000_000 + round;
        let from = address(number % boxes);
        let start = Instant::now();
        let replies = dispatcher.on_request(from, request(number, number % 1_000), now);
        requests.push(start.elapsed());
        assert!(replies.is_empty(), "it waits");
        let (to, number) = used.remove(0);
        let release = SlotRelease { number, service: SERVICE.to_owned(), ending: SlotEnding::Answered };
        let start = Instant::now();
        let replies = dispatcher.on_release(to, &release, now);
        releases.push(start.elapsed());
        for reply in replies {
            let SlotReply::Granted { number, .. } = reply.reply else { panic!("{reply:?}") };
            used.push((reply.to, number));
        }
        if round % 10 == 0 {
            let start = Instant::now();
            assert!(dispatcher.tick(now).is_empty());
            ticks.push(start.elapsed());
        }
    }
    print("request that waits", requests);
    print("release and grant", releases);
    print("tick", ticks);
}

/// Returns the resident memory of this process in bytes, where the system tells it.
fn resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    Some(line.split_whitespace().nth(1)?.parse::<u64>().ok()? * 1024)
}

fn print_memory() {
    let before = resident_bytes();
    let (mut dispatcher, used) = busy(6, 87, 10_000, 10_000);
    let with_waiting = resident_bytes();
    let summary = &dispatcher.summaries()[0];
    println!("10,000 customers, {} requests waiting, {} slots used:", summary.waiting, used.len());
    if let (Some(before), Some(after)) = (before, with_waiting) {
        println!("  {} KB resident", (after - before) / 1024);
    }
    assert!(!dispatcher.stop().is_empty());
}

fn main() {
    print_memory();
    print_times(3, 87, 112);
    print_times(6, 300, 5_910);
    print_times(112, 87, 112);
    print_times(1_000, 300, 5_910);
}
