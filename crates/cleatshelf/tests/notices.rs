//! Servers said in their answers that they leave, or that they want rest, and boxes went on sending to them. A box took a server
//! for leaving by its published entry alone, and the publisher was away for twelve seconds just then; nothing at all was made of a
//! wish for rest, and a server that turns everything away runs nothing, looks cheapest and so gets the next request first.
//!
//! A box that was told so by the first such answer said
//!
//! ```text
//! ServerLeaves id=leaving-0-12 server=i-0 entry=ready
//! ServerLeaves id=leaving-0-13 server=i-0 entry=ready
//! ServerRests id=resting-0-60 server=i-0 ms=3000
//! RequestEnded id=resting-0-60 outcome=refused sends=1 trail="+0:i-0=NotRun(status 503 Service Unavailable) budget used up"
//! ServerRests id=resting-0-61 server=i-0 ms=3000
//! ```
//!
//! and so on: all of 20 requests went to the server that leaves, all of 67 to the one that wanted rest, and second sends of the latter
//! used up the budget, so that callers were refused while three other servers had nothing to do.

mod common;

use common::World;
use platform_lab::{soon, Mood, Reply, Word, CONTACT};
use std::time::{Duration, Instant};

/// How long after a box passed on that a server leaves it may still send there.
const DRAIN: Duration = Duration::from_secs(2);

/// How long a server wants rest, from when on that binds, and how many requests of one box it may get until then.
const REST: Duration = Duration::from_secs(3);
const REST_BINDS: Duration = Duration::from_millis(500);
const RESTING_MOST: usize = 2;

/// How many requests whose ids begin so have reached a server since then.
fn reached(world: &World, name: &str, prefix: &str, since: Instant) -> usize {
    let arrivals = world.servers.ledger.all().into_iter();
    arrivals.filter(|a| a.server == name && a.request.starts_with(prefix) && a.at >= since).count()
}

#[test]
fn a_server_whose_answer_says_that_it_leaves_gets_nothing_more_from_any_box() {
    let world = World::start(3);
    let leaving = world.first(0);
    world.store.set(Mood::Silent);
    world.servers.say(&leaving, Some(Word::Leaves));
    soon("the server's word was passed on", || {
        let _ = world.ask(0, "told-0");
        world.servers.ledger.told().iter().any(|told| told.server == leaving)
    });
    // The box that was told, and then all others.
    let began = Instant::now();
    std::thread::sleep(DRAIN);
    for number in 0..20 {
        let id = format!("leaving-0-{number}");
        assert!(matches!(world.ask(0, &id), Reply::Whole { status: 200, .. }), "others serve");
    }
    let sent = reached(&world, &leaving, "leaving-0-", began);
    assert_eq!(sent, 0, "sends to a server that said it leaves, by the box that was told");
    std::thread::sleep(CONTACT.saturating_sub(began.elapsed()));
    for number in 0..30 {
        let which = 1 + number % 2;
        let id = format!("others-{which}-{number}");
        assert!(matches!(world.ask(which, &id), Reply::Whole { status: 200, .. }), "others serve");
    }
    assert_eq!(reached(&world, &leaving, "others-", began), 0, "sends to a server that said it leaves, by other boxes");
    // A list that is read anew, and still has it as it was, doesn't bring it back.
    world.store.set(Mood::Well);
    world.store.put("servers/other", "{}");
    std::thread::sleep(CONTACT);
    for number in 0..30 {
        let which = number % 3;
        let id = format!("later-{which}-{number}");
        assert!(matches!(world.ask(which, &id), Reply::Whole { status: 200, .. }), "others serve");
    }
    assert_eq!(reached(&world, &leaving, "later-", began), 0, "sends to a server that said it leaves, after its entry");
}

#[test]
fn a_server_that_wants_rest_gets_none_of_a_boxs_requests_until_then() {
    let world = World::start(3);
    let resting = world.first(0);
    world.servers.say(&resting, Some(Word::Rests(REST)));
    soon("the box was turned away", || {
        let _ = world.ask(0, "told-0");
        world.servers.ledger.told().iter().any(|told| told.server == resting)
    });
    let told = world.servers.ledger.told()[0].at;
    std::thread::sleep(REST_BINDS.saturating_sub(told.elapsed()));
    let began = Instant::now();
    let (mut number, mut unserved) = (0, 0);
    while told.elapsed() < REST.saturating_sub(REST_BINDS) {
        let id = format!("resting-0-{number}");
        unserved += usize::from(!matches!(world.ask(0, &id), Reply::Whole { status: 200, .. }));
        number += 1;
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(number > 10, "only {number} requests were asked for");
    let sent = reached(&world, &resting, "resting-0-", began);
    assert!(sent <= RESTING_MOST, "{sent} of {number} were sent to a server that had asked for rest");
    assert_eq!(unserved, 0, "others serve");
    // Afterwards it is used again.
    world.servers.say(&resting, None);
    std::thread::sleep(REST.saturating_sub(told.elapsed()));
    let names = world.servers.names();
    for other in names.iter().filter(|name| **name != resting) {
        world.servers.say(other, Some(Word::Rests(REST)));
    }
    soon("it serves again", || matches!(world.ask(0, "again-0"), Reply::Whole { status: 200, .. }));
    assert!(reached(&world, &resting, "again-0", began) > 0);
}
