//! A request came again and again that ended whichever server began to run it. Each box took each arrival for a new one, sent it to
//! a second server when the first had ended, and told the others nothing, so that servers ended as fast as they came back and
//! everything else that ran on them was lost. Three boxes under one caller, with servers that are away for half a second, said
//!
//! ```text
//! ServerEnded server=i-1 found="Connection refused (os error 111)" requests=0b985eec450052d0
//! ServerEnded server=i-3 found="Connection refused (os error 111)" requests=0b985eec450052d0
//! RequestEnded request=0b985eec450052d0 outcome=unknown sends=2 trail="+0:i-1=Broken +1:i-3=Broken"
//! ServerEnded server=i-4 found="Connection refused (os error 111)" requests=0b985eec450052d0
//! ```
//!
//! and so on: 36 ends under the one request, which reached servers 32 times after the third.

use lab::ports::free;
use platform_lab::{config, soon, start_boxes, Process, Servers, Store, CONTACT};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// What ends a server that begins to run it.
const CRASHING: &str = "/x/crashing";

/// Ends that may happen before a request is known for what it is, and sends that may follow later.
const ENDS_ALLOWED: usize = 3;
const SENDS_ALLOWED: usize = 3;

#[test]
fn a_request_that_ends_its_servers_is_not_sent_on_and_on_by_many_boxes() {
    let store = Store::start();
    store.put("op/config", &config(3, "/x/"));
    let servers = Servers::start(&store, &["hall"], 6);
    let program = Path::new(env!("CARGO_BIN_EXE_cleatshelf"));
    let boxes = start_boxes(program, &["route"], &store, &["hall"; 3]);
    let round = std::cell::Cell::new(0);
    soon("servers end under the request", || {
        round.set(round.get() + 1);
        let _ = boxes[round.get() % 3].get(CRASHING);
        servers.reached() >= ENDS_ALLOWED
    });
    std::thread::sleep(CONTACT);
    let before = servers.reached();
    let seeds: Vec<SocketAddr> = boxes.iter().take(2).map(|one| one.boxes).collect();
    let later = Process::start(program, &["route"], &store, "hall", free(), &seeds);
    soon("the later box is ready", || later.is_ready());
    std::thread::sleep(CONTACT);
    let asked = 32;
    for round in 0..asked {
        let one = boxes.iter().chain([&later]).nth(round % 4).expect("four boxes");
        let _ = one.get(CRASHING);
        std::thread::sleep(Duration::from_millis(100));
    }
    let sends = servers.reached() - before;
    assert!(sends <= SENDS_ALLOWED, "sent {sends} times more, {asked} times asked for");
    for one in &boxes {
        soon("others are served", || one.get("/x/good") == (200, "good id1".to_owned()));
    }
}
