//! Boxes must act on hints in a server's responses: that it is leaving, or that it wants them to back off.
//!
//! Guards against boxes that learn of a leaving server only from its published entry, which doesn't change while the
//! publisher is away (for twelve seconds in the observed failure), and against boxes that ignore a requested back-off:
//! a server that refuses everything runs nothing, so it looks cheapest and is chosen next. A box that got such
//! responses logged
//!
//! ```text
//! ServerLeaves id=leaving-0-12 server=i-0 entry=ready
//! ServerLeaves id=leaving-0-13 server=i-0 entry=ready
//! ServerRests id=resting-0-60 server=i-0 ms=3000
//! RequestEnded id=resting-0-60 outcome=refused sends=1 trail="+0:i-0=NotRun(status 503 Service Unavailable) budget used up"
//! ServerRests id=resting-0-61 server=i-0 ms=3000
//! ```
//!
//! and so on. All 20 requests went to the leaving server, and all 67 to the one that had requested a back-off; retries
//! of the latter exhausted the retry budget, so that callers were refused while three other servers were idle.

mod common;

use common::World;
use platform_lab::{wait_until, Hint, Reply, StoreMode, CONVERGENCE_DELAY};
use std::time::{Duration, Instant};

/// Time after receiving a leaving hint during which a box may still send to the server.
const LEAVING_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// The back-off that a server requests, the delay until it is binding, and the number of requests that it may get from
/// one box during the back-off.
const BACKOFF: Duration = Duration::from_secs(3);
const BACKOFF_BINDING_DELAY: Duration = Duration::from_millis(500);
const MAX_REQUESTS_DURING_BACKOFF: usize = 2;

/// Returns the number of requests whose ids have this prefix that have reached a server since `since`.
fn reached(world: &World, name: &str, prefix: &str, since: Instant) -> usize {
    let arrivals = world.servers.ledger.arrivals().into_iter();
    arrivals.filter(|a| a.server == name && a.request.starts_with(prefix) && a.at >= since).count()
}

#[test]
fn no_box_sends_to_a_server_whose_response_announces_that_it_is_leaving() {
    let world = World::start(3);
    let leaving = world.first_choice(0);
    world.store.set_mode(StoreMode::Unresponsive);
    world.servers.set_hint(&leaving, Some(Hint::Leaving));
    wait_until("the server sent the hint", || {
        let _ = world.send(0, "told-0");
        world.servers.ledger.sent_hints().iter().any(|told| told.server == leaving)
    });
    // First the box that received the hint, then all others.
    let began = Instant::now();
    std::thread::sleep(LEAVING_GRACE_PERIOD);
    for number in 0..20 {
        let id = format!("leaving-0-{number}");
        assert!(matches!(world.send(0, &id), Reply::Complete { status: 200, .. }), "other servers respond");
    }
    let sent = reached(&world, &leaving, "leaving-0-", began);
    assert_eq!(sent, 0, "requests to a leaving server from the box that received the hint");
    std::thread::sleep(CONVERGENCE_DELAY.saturating_sub(began.elapsed()));
    for number in 0..30 {
        let index = 1 + number % 2;
        let id = format!("others-{index}-{number}");
        assert!(matches!(world.send(index, &id), Reply::Complete { status: 200, .. }), "other servers respond");
    }
    assert_eq!(reached(&world, &leaving, "others-", began), 0, "requests to a leaving server from other boxes");
    // Reading the list again, with the server's unchanged entry, must not bring the server back.
    world.store.set_mode(StoreMode::Available);
    world.store.put("servers/other", "{}");
    std::thread::sleep(CONVERGENCE_DELAY);
    for number in 0..30 {
        let index = number % 3;
        let id = format!("later-{index}-{number}");
        assert!(matches!(world.send(index, &id), Reply::Complete { status: 200, .. }), "other servers respond");
    }
    assert_eq!(reached(&world, &leaving, "later-", began), 0, "requests to a leaving server after the list was read");
}

#[test]
fn a_box_sends_nothing_to_a_server_during_a_requested_back_off() {
    let world = World::start(3);
    let backing_off = world.first_choice(0);
    world.servers.set_hint(&backing_off, Some(Hint::BackOff(BACKOFF)));
    wait_until("the server refused a request", || {
        let _ = world.send(0, "told-0");
        world.servers.ledger.sent_hints().iter().any(|told| told.server == backing_off)
    });
    let refused_at = world.servers.ledger.sent_hints()[0].at;
    std::thread::sleep(BACKOFF_BINDING_DELAY.saturating_sub(refused_at.elapsed()));
    let began = Instant::now();
    let (mut number, mut unserved) = (0, 0);
    while refused_at.elapsed() < BACKOFF.saturating_sub(BACKOFF_BINDING_DELAY) {
        let id = format!("resting-0-{number}");
        unserved += usize::from(!matches!(world.send(0, &id), Reply::Complete { status: 200, .. }));
        number += 1;
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(number > 10, "only {number} requests were sent");
    let sent = reached(&world, &backing_off, "resting-0-", began);
    assert!(sent <= MAX_REQUESTS_DURING_BACKOFF, "{sent} of {number} requests reached a server during its back-off");
    assert_eq!(unserved, 0, "other servers respond");
    // After the back-off the server is used again.
    world.servers.set_hint(&backing_off, None);
    std::thread::sleep(BACKOFF.saturating_sub(refused_at.elapsed()));
    let names = world.servers.names();
    for other in names.iter().filter(|name| **name != backing_off) {
        world.servers.set_hint(other, Some(Hint::BackOff(BACKOFF)));
    }
    wait_until("the server responds again", || matches!(world.send(0, "again-0"), Reply::Complete { status: 200, .. }));
    assert!(reached(&world, &backing_off, "again-0", began) > 0);
}
