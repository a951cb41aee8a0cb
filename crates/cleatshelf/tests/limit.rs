//! Servers in need named in their answers how many requests they take a second, from all boxes together, and got as many as before: of
//! one that takes 2 a second 248 came in four seconds, where 17 are allowed. Callers waited there longer than elsewhere, and the server
//! got no relief.
//!
//! Boxes passed the word on to callers and made nothing of it. Once they logged it, each said for answer after answer
//!
//! ```text
//! ServerLimits id=7003-40 server=i-4@1796281143699 per_s=4.212103937151079
//! ServerLimits id=7003-41 server=i-4@1796281143699 per_s=4.212103937151079
//! ServerLimits id=7007-40 server=i-4@1796281143699 per_s=4.212103937151079
//! ```
//!
//! and sent the next request there within a tenth of a second; four boxes logged 489 such lines in forty seconds. A box that would have
//! kept the number alone would have been wrong as well: seven boxes that each send one a second are seven, and the limit is over all.

mod common;

use common::World;
use platform_lab::{soon, Limits, Mood, Reply, Word, CONTACT};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Requests a second that a server in need takes from all boxes together.
const PER_S: f64 = 2.0;

/// How long the bound is looked at.
const LOOKED_AT: Duration = Duration::from_secs(9);

/// Pause between two requests of one caller; each box has one.
const PAUSE: Duration = Duration::from_millis(10);

/// What came of the requests of a while.
#[derive(Default)]
struct Came {
    whole: AtomicUsize,
    refused: AtomicUsize,
    /// Refused, and not told when to come back.
    lost: AtomicUsize,
}

/// Callers of all boxes ask one after the other for that long; request ids begin with the number of the box.
fn ask_all(world: &World, name: &str, time: Duration) -> Came {
    let came = Came::default();
    let until = Instant::now() + time;
    std::thread::scope(|scope| {
        for which in 0..world.boxes.len() {
            let came = &came;
            scope.spawn(move || {
                for number in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let counter = match world.ask(which, &format!("{which}-{name}-{number}")) {
                        Reply::Whole { status: 200, .. } => &came.whole,
                        Reply::Whole { status: 503, back: true, .. } => &came.refused,
                        _ => &came.lost,
                    };
                    counter.fetch_add(1, Ordering::Relaxed);
                    std::thread::sleep(PAUSE);
                }
            });
        }
    });
    came
}

fn limits<'a>(world: &'a World) -> Limits<'a> {
    let door = &|request: &str| request.split('-').next().and_then(|number| number.parse().ok());
    Limits { ledger: &world.servers.ledger, door, disturbed: &|_, _, _| false }
}

/// Requests that a server got from `from` until `until`.
fn got(world: &World, server: &str, from: Instant, until: Instant) -> usize {
    world.servers.ledger.all().iter().filter(|a| a.server == server && a.at >= from && a.at < until).count()
}

#[test]
fn a_server_that_names_a_limit_gets_no_more_from_all_boxes_together() {
    let world = World::start(3);
    let limited = world.first(0);
    // Nothing of it is published, nor could it be.
    world.store.set(Mood::Silent);
    world.servers.say(&limited, Some(Word::Limits(PER_S)));
    let began = Instant::now();
    let came = ask_all(&world, "limited", CONTACT + LOOKED_AT);
    let ended = Instant::now();
    assert_eq!(limits(&world).wrongs(), Vec::<String>::new());
    let sent = got(&world, &limited, began + CONTACT, ended) as f64;
    let takes = PER_S * (ended - began - CONTACT).as_secs_f64();
    assert!(sent <= takes + PER_S + 1.0, "{sent} requests, and it takes {takes}");
    assert!(sent >= 0.5 * takes, "what it takes is used: {sent} of {takes}");
    assert_eq!((came.refused.into_inner(), came.lost.into_inner()), (0, 0), "others serve");
    // It no longer says so, and has its part again.
    world.servers.say(&limited, None);
    soon("it serves as before", || {
        let began = Instant::now();
        ask_all(&world, "after", Duration::from_secs(1));
        got(&world, &limited, began, Instant::now()) as f64 > 4.0 * PER_S
    });
}

#[test]
fn where_all_servers_name_limits_callers_get_what_they_take_and_hear_when_to_come_back() {
    let world = World::start(2);
    for server in world.servers.names() {
        world.servers.say(&server, Some(Word::Limits(PER_S)));
    }
    ask_all(&world, "told", CONTACT);
    let came = ask_all(&world, "limited", LOOKED_AT);
    assert_eq!(limits(&world).wrongs(), Vec::<String>::new());
    let takes = 4.0 * PER_S * LOOKED_AT.as_secs_f64();
    let whole = came.whole.into_inner() as f64;
    assert!(whole >= 0.7 * takes, "{whole} of {takes} that they take");
    assert!(came.refused.into_inner() > 0, "what they don't take is turned away");
    assert_eq!(came.lost.into_inner(), 0, "and told when to come back");
}
