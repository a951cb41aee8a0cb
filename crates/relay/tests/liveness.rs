//! Connections detect a silent peer.

use socket2::SockRef;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

#[actix_rt::test]
async fn silent_peer_is_detected_within_three_seconds() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let stream = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("a connection");
    relay::enable_dead_peer_detection(&stream);
    let socket = SockRef::from(&stream);
    let user_timeout = socket.tcp_user_timeout().expect("an option").expect("a time");
    assert!(socket.keepalive().expect("an option"), "keep-alive must be enabled, so that idle connections are covered");
    let keepalive_time = socket.tcp_keepalive_time().expect("an option");
    assert!(user_timeout + keepalive_time <= Duration::from_secs(3), "{user_timeout:?} after {keepalive_time:?}");
}
