//! Stand-ins for the scripts of the review: a store, servers and clients that follow the users' pages, and
//! `cleatshelf route` as processes. Standard library only; loopback addresses only.

pub mod client;
pub mod http;
pub mod record;
pub mod router;
pub mod server;
pub mod store;

use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns a free loopback address. Its port lies below those that the kernel gives to outgoing channels, so that it stays
/// free until it is used.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let seed = std::process::id().wrapping_mul(2_654_435_761) ^ now_nanos();
    for _ in 0..10_000 {
        let port = 20_000 + (seed.wrapping_add(NEXT.fetch_add(7, Ordering::SeqCst)) % 12_000) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    fail_setup("no free port");
}

fn now_nanos() -> u32 {
    static FIRST: std::sync::OnceLock<u32> = std::sync::OnceLock::new();
    *FIRST.get_or_init(|| SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.subsec_nanos()))
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// True unless the script is run with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The processes that this one has started.
pub(crate) static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and this one: 0 if the rule held, 1 if it was broken, 2 if the case couldn't
/// run.
pub fn exit(code: i32) -> ! {
    for id in STARTED.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).stderr(Stdio::null()).status();
    }
    std::process::exit(code);
}

pub fn fail_setup(why: &str) -> ! {
    eprintln!("the case couldn't run: {why}");
    exit(2);
}
