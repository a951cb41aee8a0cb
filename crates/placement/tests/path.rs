//! The loss of a box's own path to the servers.

use placement::{Path, Way};

const PROBE: Way = Way::Tunnel { probe: true };
const TUNNEL: Way = Way::Tunnel { probe: false };

/// Guards against taking one server that is down for the loss of the path to all.
#[test]
fn one_failing_server_is_no_lost_path_to_the_others() {
    let mut path = Path::default();
    for now in (0..2_000).step_by(100) {
        assert_eq!(path.record_failed("i-1", false, now), None);
    }
    assert!(!path.is_lost());
    assert_eq!((path.way("i-1", 1_950), path.way("i-2", 1_950)), (TUNNEL, Way::Direct));
}

/// Guards against servers that look down one by one while the box itself is cut off.
#[test]
fn servers_that_fail_with_no_connection_in_between_are_a_lost_path() {
    let mut path = Path::default();
    assert_eq!(path.record_failed("i-1", false, 0), None);
    assert_eq!(path.way("i-1", 10), Way::Direct);
    assert_eq!(path.record_failed("i-2", true, 40), Some(2));
    assert_eq!(path.record_failed("i-3", true, 80), None, "reported once");
    assert_eq!((path.is_lost(), path.way("i-9", 80)), (true, TUNNEL));
    assert_eq!((path.may_use_open("i-1"), path.may_use_open("i-2")), (false, true));
    assert_eq!(path.record_opened("i-3", 5_040), Some(5_000));
    assert_eq!((path.is_lost(), path.way("i-9", 5_040)), (false, Way::Direct));
}

/// Guards against adding up failures that have nothing to do with each other.
#[test]
fn failures_before_a_connection_or_long_ago_do_not_count() {
    let mut path = Path::default();
    path.record_failed("i-1", false, 0);
    assert_eq!(path.record_opened("i-3", 10), None);
    assert_eq!(path.record_failed("i-2", false, 20), None);
    assert_eq!(path.record_failed("i-1", false, 3_020), None);
    assert!(!path.is_lost());
}

/// Guards against a restored path that is found late, and against one probe for each request.
#[test]
fn a_lost_path_is_probed_at_intervals_and_all_servers_at_once_when_it_is_restored() {
    let mut path = Path::default();
    for server in ["i-1", "i-2", "i-3"] {
        path.record_failed(server, false, 0);
        path.record_failed(server, false, 0);
    }
    let probes = (0..1_000).step_by(10).filter(|now| path.way("i-1", *now) == PROBE).count();
    assert_eq!(probes, 3);
    for server in ["i-1", "i-2", "i-3"] {
        path.record_failed(server, false, 1_000);
    }
    path.record_opened("i-1", 1_010);
    assert_eq!((path.way("i-1", 1_010), path.way("i-2", 1_010), path.way("i-2", 1_020)), (Way::Direct, PROBE, TUNNEL));
}

/// Guards against a box that reaches one server, and takes the others for lost each time that it connects to that one.
#[test]
fn a_path_that_is_lost_to_some_servers_only_stays_so_while_others_connect() {
    let mut path = Path::default();
    path.record_failed("i-1", false, 0);
    path.record_failed("i-1", false, 10);
    path.record_opened("i-2", 20);
    assert_eq!((path.is_lost(), path.is_lost_to("i-1", 30), path.is_lost_to("i-2", 30)), (false, true, false));
    assert_eq!((path.way("i-1", 30), path.way("i-2", 30)), (TUNNEL, Way::Direct));
}

/// Guards against a box whose open connections hang, and which opens no new ones that would show it.
#[test]
fn a_request_that_waits_while_no_server_is_heard_is_a_reason_to_check_the_path() {
    let mut path = Path::default();
    path.record_heard(900);
    assert_eq!((path.check_at(1_000), path.begin_check(1_000, 1_399)), (1_400, false));
    path.record_heard(1_300);
    assert_eq!((path.check_at(1_000), path.begin_check(1_000, 1_400)), (1_700, false));
    assert!(path.begin_check(1_000, 1_700));
    assert!(!path.begin_check(1_000, 2_000), "checks are rare");
    assert!(path.begin_check(1_000, 2_700));
}
