//! How soon a connection shows that its peer is gone.
//!
//! A connection may fall silent for good without a reset, while new ones to the same peer work.

use socket2::{SockRef, TcpKeepalive};
use std::time::Duration;
use tokio::net::TcpStream;

/// A peer that acknowledges nothing for this long is taken as dead.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// When an idle peer is asked whether it lives; the shortest that the kernel allows.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Makes a connection end by itself soon after its peer has fallen silent, whether it rests or not.
pub fn enable_dead_peer_detection(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    let results = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT)),
        socket.set_tcp_keepalive(&keepalive),
    ];
    for result in results {
        if let Err(why) = result {
            log::debug!(target: "cleatshelf", "socket option: {why}");
        }
    }
}
