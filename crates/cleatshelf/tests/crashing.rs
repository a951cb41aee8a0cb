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

mod common;

use common::{call, config, entry, soon, Box, Store};
use lab::ports::{free, listener};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What ends a server that begins to run it.
const CRASHING: &str = "/x/crashing";

/// How long an ended server is away.
const AWAY: Duration = Duration::from_millis(500);

/// How long news of an end may take to be everywhere.
const CONTACT: Duration = Duration::from_secs(3);

/// Ends that may happen before a request is known for what it is, and sends that may follow later.
const ENDS_ALLOWED: usize = 3;
const SENDS_ALLOWED: usize = 3;

/// Servers that a request may end, each under a new name after a while.
#[derive(Clone)]
struct Servers {
    store: Store,
    /// Sends of the crashing request that reached a server.
    reached: Arc<AtomicUsize>,
    lives: Arc<AtomicUsize>,
}

impl Servers {
    fn start(store: &Store, count: usize) -> Self {
        let servers = Self { store: store.clone(), reached: Arc::default(), lives: Arc::default() };
        for _ in 0..count {
            servers.begin_life();
        }
        servers
    }

    fn reached(&self) -> usize {
        self.reached.load(Ordering::Relaxed)
    }

    fn begin_life(&self) {
        let name = format!("servers/i-{}", self.lives.fetch_add(1, Ordering::Relaxed));
        let this = self.clone();
        let listener = listener();
        let address = listener.local_addr().expect("an address");
        listener.set_nonblocking(true).expect("a listener that does not wait");
        std::thread::spawn(move || {
            let ended = Arc::new(AtomicBool::new(false));
            let streams: Mutex<Vec<TcpStream>> = Mutex::default();
            this.store.put(&name, &entry(address, "ready"));
            while !ended.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(2));
                    continue;
                };
                stream.set_nonblocking(false).expect("a stream that waits");
                streams.lock().expect("no thread died").push(stream.try_clone().expect("a stream"));
                let (this, ended) = (this.clone(), Arc::clone(&ended));
                std::thread::spawn(move || this.serve(stream, &ended));
            }
            // As a process ends: nothing listens any more when its connections close.
            drop(listener);
            for stream in streams.lock().expect("no thread died").iter() {
                // An error means that it is closed already.
                let _ = stream.shutdown(Shutdown::Both);
            }
            std::thread::sleep(AWAY);
            this.store.remove(&name);
            this.begin_life();
        });
    }

    fn serve(&self, mut stream: TcpStream, ended: &AtomicBool) {
        let mut bytes = Vec::new();
        let mut buffer = [0; 4_096];
        while let Ok(count @ 1..) = stream.read(&mut buffer) {
            bytes.extend_from_slice(&buffer[..count]);
            let text = String::from_utf8_lossy(&bytes).into_owned();
            if !text.ends_with("\r\n\r\n") {
                continue;
            }
            bytes.clear();
            if text.contains(CRASHING) {
                self.reached.fetch_add(1, Ordering::Relaxed);
                ended.store(true, Ordering::Relaxed);
                return;
            }
            let id = text.lines().find_map(|l| l.strip_prefix("cleatshelf-request-id: ")).unwrap_or("");
            let answer = format!(
                "HTTP/1.1 200 OK\r\nCleatshelf-Request-Id: {id}\r\nCleatshelf-Server-Seal: s\r\nContent-Length: 4\r\n\r\ngood"
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

#[test]
fn a_request_that_ends_its_servers_is_not_sent_on_and_on_by_many_boxes() {
    let store = Store::start();
    store.put("op/config", &config(3, "/x/"));
    let servers = Servers::start(&store, 6);
    let addresses = [free(), free(), free()];
    let boxes = addresses.map(|address| Box::start(&store, address, &addresses));
    for one in &boxes {
        soon("served", || call(one.callers, "/x/good").0 == 200);
    }
    // Boxes that start together know each other within this.
    std::thread::sleep(CONTACT);
    let round = std::cell::Cell::new(0);
    soon("servers end under the request", || {
        round.set(round.get() + 1);
        call(boxes[round.get() % 3].callers, CRASHING);
        servers.reached() >= ENDS_ALLOWED
    });
    std::thread::sleep(CONTACT);
    let before = servers.reached();
    let later = Box::start(&store, free(), &addresses);
    soon("the later box is ready", || later.is_ready());
    std::thread::sleep(CONTACT);
    let asked = 32;
    for round in 0..asked {
        let one = boxes.iter().chain([&later]).nth(round % 4).expect("four boxes");
        call(one.callers, CRASHING);
        std::thread::sleep(Duration::from_millis(100));
    }
    let sends = servers.reached() - before;
    assert!(sends <= SENDS_ALLOWED, "sent {sends} times more, {asked} times asked for");
    for one in &boxes {
        soon("others are served", || call(one.callers, "/x/good") == (200, "good".to_owned()));
    }
}
