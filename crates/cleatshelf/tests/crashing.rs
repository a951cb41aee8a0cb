//! A repeated request that crashes every server that runs it must be recognized by all boxes and held.
//!
//! Guards against boxes that treat each arrival as a new request, retry it on a second server after the first has
//! terminated, and don't inform each other: servers then terminate as fast as they restart, and all other requests on
//! them are lost. Three boxes with one caller, and servers that take half a second to restart, logged
//!
//! ```text
//! ServerEnded server=i-1 found="Connection refused (os error 111)" requests=0b985eec450052d0
//! ServerEnded server=i-3 found="Connection refused (os error 111)" requests=0b985eec450052d0
//! RequestEnded request=0b985eec450052d0 outcome=unknown sends=2 trail="+0:i-1=Broken +1:i-3=Broken"
//! ServerEnded server=i-4 found="Connection refused (os error 111)" requests=0b985eec450052d0
//! ```
//!
//! and so on: 36 terminations under the one request, which reached servers 32 times after the third.

use lab::ports::free_address;
use platform_lab::{config_json, start_boxes, wait_until, Process, Servers, Store, CONVERGENCE_DELAY};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Path of a request that terminates any server that runs it.
const CRASHING_PATH: &str = "/x/crashing";

/// Number of terminations before the request must be recognized, and of sends that are allowed afterwards.
const MAX_TERMINATIONS: usize = 3;
const MAX_LATER_SENDS: usize = 3;

#[test]
fn boxes_together_stop_sending_a_request_that_crashes_servers() {
    let store = Store::start();
    store.put("op/config", &config_json(3, "/x/"));
    let servers = Servers::start(&store, &["hall"], 6);
    let program = Path::new(env!("CARGO_BIN_EXE_cleatshelf"));
    let boxes = start_boxes(program, &["route"], &store, &["hall"; 3]);
    let round = std::cell::Cell::new(0);
    wait_until("servers terminate under the request", || {
        round.set(round.get() + 1);
        let _ = boxes[round.get() % 3].get(CRASHING_PATH);
        servers.crashing_sends() >= MAX_TERMINATIONS
    });
    std::thread::sleep(CONVERGENCE_DELAY);
    let before = servers.crashing_sends();
    let seeds: Vec<SocketAddr> = boxes.iter().take(2).map(|one| one.boxes).collect();
    let later = Process::start(program, &["route"], &store, "hall", free_address(), &seeds);
    wait_until("the later box is ready", || later.is_ready());
    std::thread::sleep(CONVERGENCE_DELAY);
    let arrivals = 32;
    for round in 0..arrivals {
        let one = boxes.iter().chain([&later]).nth(round % 4).expect("four boxes");
        let _ = one.get(CRASHING_PATH);
        std::thread::sleep(Duration::from_millis(100));
    }
    let sends = servers.crashing_sends() - before;
    assert!(sends <= MAX_LATER_SENDS, "sent {sends} times more for {arrivals} arrivals");
    for one in &boxes {
        wait_until("other requests are served", || one.get("/x/good") == (200, "good id1".to_owned()));
    }
}
