//! Loopback ports below the kernel's ephemeral range, so that outgoing connections don't take them.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

const FIRST_PORT: u32 = 10_000;
const PORT_COUNT: u32 = 22_000;

/// Distance between the first ports of processes with consecutive ids, so that the processes of one test
/// run rarely collide.
const PROCESS_STRIDE: u32 = 397;

static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);

/// Returns a listener bound to a port that this process has not used before.
///
/// # Panics
/// If no port is free, since no test can continue without one.
#[must_use]
pub fn bind_listener() -> TcpListener {
    let offset = std::process::id().wrapping_mul(PROCESS_STRIDE);
    for _ in 0..PORT_COUNT {
        let port = FIRST_PORT + offset.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener;
        }
    }
    panic!("no loopback port is free");
}

/// Returns an address that was free when it was checked.
///
/// # Panics
/// If no port is free.
#[must_use]
pub fn free_address() -> SocketAddr {
    bind_listener().local_addr().expect("a bound listener has an address")
}
