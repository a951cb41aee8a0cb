//! Boxes must obey the limit on requests per second that a server under pressure sends in its responses and that
//! applies to all boxes together.
//!
//! Guards against boxes that pass the hint on to callers without obeying it: a server with a limit of 2 requests per
//! second received 248 in four seconds, where 17 are allowed, so callers waited there longer than elsewhere and the
//! server got no relief. Each box logged for response after response
//!
//! ```text
//! ServerLimits id=7003-40 server=i-4@1796281143699 per_s=4.212103937151079
//! ServerLimits id=7003-41 server=i-4@1796281143699 per_s=4.212103937151079
//! ServerLimits id=7007-40 server=i-4@1796281143699 per_s=4.212103937151079
//! ```
//!
//! and sent the next request there within 100 ms; four boxes logged 489 such lines in 40 s. Also guards against boxes
//! that each apply the limit on their own: seven boxes with one request per second each send seven in total.

mod common;

use common::World;
use platform_lab::{wait_until, Hint, LimitChecker, Reply, StoreMode, CONVERGENCE_DELAY};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Requests per second that a limited server accepts from all boxes together.
const LIMIT_PER_S: f64 = 2.0;

/// Time during which the limit is observed.
const OBSERVATION_TIME: Duration = Duration::from_secs(9);

/// Delay between two requests of one caller; each box has one caller.
const REQUEST_DELAY: Duration = Duration::from_millis(10);

/// The outcomes of a series of requests.
#[derive(Default)]
struct Outcomes {
    complete: AtomicUsize,
    refused: AtomicUsize,
    /// Failed, or refused without a time to retry.
    lost: AtomicUsize,
}

/// Sends requests from one caller per box for this time; request ids begin with the index of the box.
fn send_from_all(world: &World, name: &str, time: Duration) -> Outcomes {
    let outcomes = Outcomes::default();
    let until = Instant::now() + time;
    std::thread::scope(|scope| {
        for index in 0..world.boxes.len() {
            let outcomes = &outcomes;
            scope.spawn(move || {
                for number in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let counter = match world.send(index, &format!("{index}-{name}-{number}")) {
                        Reply::Complete { status: 200, .. } => &outcomes.complete,
                        Reply::Complete { status: 503, has_retry_after: true, .. } => &outcomes.refused,
                        _ => &outcomes.lost,
                    };
                    counter.fetch_add(1, Ordering::Relaxed);
                    std::thread::sleep(REQUEST_DELAY);
                }
            });
        }
    });
    outcomes
}

fn limits<'a>(world: &'a World) -> LimitChecker<'a> {
    let box_of = &|request: &str| request.split('-').next().and_then(|index| index.parse().ok());
    LimitChecker { ledger: &world.servers.ledger, box_of, disrupted: &|_, _, _| false }
}

/// Returns the number of requests that reached a server from `from` until `until`.
fn reached(world: &World, server: &str, from: Instant, until: Instant) -> usize {
    world.servers.ledger.arrivals().iter().filter(|a| a.server == server && a.at >= from && a.at < until).count()
}

#[test]
fn a_server_with_a_limit_gets_no_more_requests_from_all_boxes_together() {
    let world = World::start(3);
    let limited = world.first_choice(0);
    // The publisher is away, so the limit can't be published.
    world.store.set_mode(StoreMode::Unresponsive);
    world.servers.set_hint(&limited, Some(Hint::Limit(LIMIT_PER_S)));
    let began = Instant::now();
    let outcomes = send_from_all(&world, "limited", CONVERGENCE_DELAY + OBSERVATION_TIME);
    let ended = Instant::now();
    assert_eq!(limits(&world).violations(), Vec::<String>::new());
    let sent = reached(&world, &limited, began + CONVERGENCE_DELAY, ended) as f64;
    let allowed = LIMIT_PER_S * (ended - began - CONVERGENCE_DELAY).as_secs_f64();
    assert!(sent <= allowed + LIMIT_PER_S + 1.0, "{sent} requests sent, {allowed} allowed");
    assert!(sent >= 0.5 * allowed, "the limit is not used: {sent} requests sent, {allowed} allowed");
    assert_eq!((outcomes.refused.into_inner(), outcomes.lost.into_inner()), (0, 0), "other servers respond");
    // Without the hint the server gets its share again.
    world.servers.set_hint(&limited, None);
    wait_until("the server gets its share again", || {
        let began = Instant::now();
        send_from_all(&world, "after", Duration::from_secs(1));
        reached(&world, &limited, began, Instant::now()) as f64 > 4.0 * LIMIT_PER_S
    });
}

#[test]
fn when_all_servers_have_limits_the_limits_are_used_and_other_requests_are_refused_with_a_time_to_retry() {
    let world = World::start(2);
    for server in world.servers.names() {
        world.servers.set_hint(&server, Some(Hint::Limit(LIMIT_PER_S)));
    }
    send_from_all(&world, "told", CONVERGENCE_DELAY);
    let outcomes = send_from_all(&world, "limited", OBSERVATION_TIME);
    assert_eq!(limits(&world).violations(), Vec::<String>::new());
    let allowed = 4.0 * LIMIT_PER_S * OBSERVATION_TIME.as_secs_f64();
    let complete = outcomes.complete.into_inner() as f64;
    assert!(complete >= 0.7 * allowed, "{complete} requests complete, {allowed} allowed");
    assert!(outcomes.refused.into_inner() > 0, "requests above the limits are refused");
    assert_eq!(outcomes.lost.into_inner(), 0, "refusals have a time to retry");
}
