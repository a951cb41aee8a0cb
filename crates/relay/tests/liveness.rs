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

/// Guards against connections to a sound server that are given up since one keep-alive probe fell into a silent second.
#[actix_rt::test]
async fn a_server_that_misses_one_keep_alive_probe_keeps_its_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let stream = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("a connection");
    relay::enable_dead_server_detection(&stream);
    let socket = SockRef::from(&stream);
    let user_timeout = socket.tcp_user_timeout().expect("an option").expect("a time");
    let first_probe = socket.tcp_keepalive_time().expect("an option");
    let interval = socket.tcp_keepalive_interval().expect("an option");
    // The kernel decides at each probe, and gives up at the first one after the user timeout.
    assert!(user_timeout > first_probe + interval, "given up after one unanswered probe");
    let given_up = (1..).map(|probe| first_probe + interval * probe).find(|at| *at >= user_timeout).expect("a time");
    assert!(given_up <= Duration::from_secs(3), "a dead server is noticed after {given_up:?}");
}
