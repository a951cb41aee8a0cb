//! The loss of a box's own path to the servers.

use placement::Path;

/// Guards against taking one server that is down for a lost path.
#[test]
fn one_failing_server_is_no_lost_path() {
    let mut path = Path::default();
    for now in (0..2_000).step_by(100) {
        assert_eq!(path.record_failed("i-1", now), None);
    }
    assert!(!path.is_lost());
}

/// Guards against servers that look down one by one while the box itself is cut off.
#[test]
fn servers_that_fail_with_no_connection_in_between_are_a_lost_path() {
    let mut path = Path::default();
    assert_eq!(path.record_failed("i-1", 0), None);
    assert_eq!(path.record_failed("i-2", 40), Some(2));
    assert_eq!(path.record_failed("i-3", 80), None, "reported once");
    assert!(path.is_lost());
    assert_eq!(path.record_opened(5_040), Some(5_000));
    assert!(!path.is_lost());
}

/// Guards against adding up failures that have nothing to do with each other.
#[test]
fn failures_before_a_connection_or_long_ago_do_not_count() {
    let mut path = Path::default();
    path.record_failed("i-1", 0);
    assert_eq!(path.record_opened(10), None);
    assert_eq!(path.record_failed("i-2", 20), None);
    assert_eq!(path.record_failed("i-1", 3_020), None);
    assert!(!path.is_lost());
}
