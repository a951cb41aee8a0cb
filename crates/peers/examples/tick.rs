//! Measures the time of `Peers::tick` by the number of boxes: `cargo run --release -p peers --example tick`.

use peers::{Heartbeat, KnownVersions, Message, Peers, Profile, Roster};
use routing::{Evacuations, Position};
use std::net::SocketAddr;
use std::time::Instant;

const HALLS: u16 = 5;

/// Interval between ticks in the program.
const TICK_INTERVAL_MS: u64 = 100;

/// Number of ticks that are measured.
const ROUNDS: u64 = 2_000;

fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 8000))
}

fn profile(index: u16) -> Profile {
    Profile { hall: format!("hall-of-the-fleet-{}", index % HALLS), capacity: 120, tunnel_port: 7_355, incarnation: 1 }
}

/// Returns the mean time of a tick, in microseconds, for a box that receives the heartbeats of two watchers,
/// or is one.
fn tick_micros(boxes: u16, watches: bool) -> f64 {
    let me = if watches { 0 } else { boxes - 1 };
    let mut peers = Peers::new(address(me), profile(me), &[address(0)]);
    peers.set_known_versions(KnownVersions { table: 1, directory: Position::new(0, 9), ..KnownVersions::default() });
    let roster = Roster::new((0..boxes).map(|index| (address(index), profile(index))));
    peers.handle(address(1), Message::Members(roster), 0);
    peers.set_publisher_reachable(true);
    let heartbeat = |from: u16| Heartbeat {
        profile: profile(from),
        watches: true,
        table: 1,
        table_until: Position::NONE,
        directory: Position::new(0, 9),
        evacuations: Evacuations::default(),
        members: 0,
        suspects: 0,
        notices: 0,
    };
    let mut total = 0.0;
    for round in 0..ROUNDS {
        let now = round * TICK_INTERVAL_MS;
        if round % 5 == 0 && !watches {
            for from in [(boxes - 1) % HALLS, (boxes - 1) % HALLS + HALLS] {
                peers.handle(address(from), Message::Heartbeat(heartbeat(from)), now);
            }
        }
        let start = Instant::now();
        std::hint::black_box(peers.tick(now));
        total += start.elapsed().as_secs_f64() * 1e6;
    }
    total / ROUNDS as f64
}

fn main() {
    println!("boxes  not a watcher   watcher   (microseconds per tick, ten ticks per second)");
    for boxes in [75, 150, 300, 585, 1_170] {
        println!("{boxes:5} {:14.1} {:8.1}", tick_micros(boxes, false), tick_micros(boxes, true));
    }
}
