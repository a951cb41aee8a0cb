//! How long a connection is waited for, by how long others took.

use relay::ConnectTimeout;
use std::time::Duration;

const MOST: Duration = Duration::from_millis(400);

fn after(millis: &[u64]) -> ConnectTimeout {
    let mut handshake = ConnectTimeout::default();
    for ms in millis {
        handshake.record_connected(Duration::from_millis(*ms));
    }
    handshake
}

#[test]
fn before_the_first_connection_the_wait_is_the_longest() {
    assert_eq!(ConnectTimeout::default().timeout(), MOST);
}

#[test]
fn where_connections_take_milliseconds_a_silent_server_is_given_up_soon() {
    let patience = after(&[3; 20]).timeout();
    assert!(patience < Duration::from_millis(60), "{patience:?}");
}

#[test]
fn where_connections_take_long_they_are_waited_for() {
    for times in [&[100; 20][..], &[20, 90, 30, 120, 25, 100, 40, 110]] {
        let patience = after(times).timeout();
        let longest = Duration::from_millis(times.iter().copied().max().unwrap_or_default());
        assert!(patience > longest && patience <= MOST, "{patience:?} for {times:?}");
    }
}

#[test]
fn when_no_connection_comes_the_wait_is_the_longest_until_one_does() {
    let mut handshake = after(&[3; 20]);
    for _ in 0..4 {
        assert!(handshake.timeout() < MOST);
        handshake.record_timeout();
    }
    assert_eq!(handshake.timeout(), MOST);
    handshake.record_connected(Duration::from_millis(3));
    assert!(handshake.timeout() < MOST);
}
