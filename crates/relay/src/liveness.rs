//! Detection of dead peers on TCP connections.
//!
//! A connection may become silent permanently without a reset, while new connections to the same peer work.

use socket2::{SockRef, TcpKeepalive};
use std::os::fd::AsFd;
use std::time::Duration;

/// Time without acknowledgement of sent data after which the peer is considered dead. The kernel also gives up an idle
/// connection at the first unanswered keep-alive probe after this time, whatever the number of probes.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The same for servers, which may be silent for a second and go on: two probes in a row must remain unanswered.
const SERVER_USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle time before a keep-alive probe, and the interval between probes; the shortest that the kernel allows.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Configures a connection to fail soon after its peer became silent, both idle and in use.
pub fn enable_dead_peer_detection(stream: &impl AsFd) {
    configure(stream, USER_TIMEOUT);
}

/// Configures a connection to a server to fail after its peer became silent for longer than a sound server is.
pub fn enable_dead_server_detection(stream: &impl AsFd) {
    configure(stream, SERVER_USER_TIMEOUT);
}

fn configure(stream: &impl AsFd, user_timeout: Duration) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    let results = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_user_timeout(Some(user_timeout)),
        socket.set_tcp_keepalive(&keepalive),
    ];
    for result in results {
        if let Err(why) = result {
            log::debug!(target: "cleatshelf", "setting a socket option failed: {why}");
        }
    }
}
