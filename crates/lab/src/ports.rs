//! Loopback ports below those that the kernel gives to outgoing connections, so that nobody else takes them.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

const FIRST: u32 = 10_000;
const COUNT: u32 = 22_000;

/// How far the processes of one test run begin from each other.
const STRIDE: u32 = 397;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A bound listener on a port that this process has not used before.
///
/// # Panics
/// When no port is free: no test can go on without.
#[must_use]
pub fn bind_listener() -> TcpListener {
    let offset = std::process::id().wrapping_mul(STRIDE);
    for _ in 0..COUNT {
        let port = FIRST + offset.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % COUNT;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener;
        }
    }
    panic!("no loopback port is free");
}

/// An address that was free a moment ago.
///
/// # Panics
/// When no port is free.
#[must_use]
pub fn free_address() -> SocketAddr {
    bind_listener().local_addr().expect("a bound listener has an address")
}
