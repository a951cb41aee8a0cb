//! The connection time limit adapts to recent connections.

use relay::ConnectTimeout;
use std::time::Duration;

const MAX_TIMEOUT: Duration = Duration::from_millis(400);

fn estimator_after(millis: &[u64]) -> ConnectTimeout {
    let mut estimator = ConnectTimeout::default();
    for ms in millis {
        estimator.record_connected(Duration::from_millis(*ms));
    }
    estimator
}

#[test]
fn timeout_is_maximal_before_first_connection() {
    assert_eq!(ConnectTimeout::default().timeout(), MAX_TIMEOUT);
}

#[test]
fn timeout_is_short_when_connections_take_milliseconds() {
    let timeout = estimator_after(&[3; 20]).timeout();
    assert!(timeout < Duration::from_millis(60), "{timeout:?}");
}

#[test]
fn timeout_covers_slow_connections() {
    for times in [&[100; 20][..], &[20, 90, 30, 120, 25, 100, 40, 110]] {
        let timeout = estimator_after(times).timeout();
        let longest = Duration::from_millis(times.iter().copied().max().unwrap_or_default());
        assert!(timeout > longest && timeout <= MAX_TIMEOUT, "{timeout:?} for {times:?}");
    }
}

#[test]
fn timeout_is_maximal_after_consecutive_timeouts_until_a_connection_succeeds() {
    let mut estimator = estimator_after(&[3; 20]);
    for _ in 0..4 {
        assert!(estimator.timeout() < MAX_TIMEOUT);
        estimator.record_timeout();
    }
    assert_eq!(estimator.timeout(), MAX_TIMEOUT);
    estimator.record_connected(Duration::from_millis(3));
    assert!(estimator.timeout() < MAX_TIMEOUT);
}
