//! Boxes that die, two dispatchers at once, a planned stop, full servers, and requests that can't start in time.

mod common;

use common::{address, dispatcher, release, request};
use dispatch::{Reply, SlotEnding, SlotReply};

const SERVERS: [(u32, f64); 2] = [(2, 100.0), (4, 150.0)];

fn grants(replies: &[Reply]) -> usize {
    replies.iter().filter(|reply| matches!(reply.reply, SlotReply::Granted { .. })).count()
}

/// Guards against slots that a dead box keeps, be it known to have left or not.
#[test]
fn slots_of_a_dead_box_are_freed() {
    let mut dispatcher = dispatcher(&SERVERS);
    for number in 0..6 {
        let mut request = request(number, 1, 1, 1_000);
        request.expires_ms = 500;
        assert_eq!(grants(&dispatcher.on_request(address((number % 2) as usize), request, 0)), 1);
    }
    for number in 6..14 {
        assert!(dispatcher.on_request(address(2), request(number, 1, 1, 1_000), 10).is_empty());
    }
    assert_eq!(grants(&dispatcher.on_box_left(address(0), 20)), 3);
    assert_eq!(grants(&dispatcher.tick(499)), 0);
    assert_eq!(grants(&dispatcher.tick(500)), 3);
    assert_eq!(dispatcher.summaries()[0].used, 6);
    assert!(dispatcher.on_release(address(1), &release(1, SlotEnding::Answered), 510).is_empty(), "it has lapsed");
}

/// Guards against more than twice the slots when two boxes take themselves for the dispatcher.
#[test]
fn two_dispatchers_give_at_most_twice_the_slots() {
    let mut dispatchers = [dispatcher(&SERVERS), dispatcher(&SERVERS)];
    let mut used = [0; 2];
    for number in 0..100 {
        let to = &mut dispatchers[(number % 2) as usize];
        for reply in to.on_request(address(number as usize % 9), request(number, 0, number % 5, 500), number) {
            if let SlotReply::Granted { server, .. } = reply.reply {
                used[server[1..].parse::<usize>().unwrap()] += 1;
            }
        }
    }
    assert_eq!(used, [4, 8]);
}

/// Guards against requests that a planned stop leaves without an answer, and against grants after it.
#[test]
fn a_stop_answers_all() {
    let mut dispatcher = dispatcher(&SERVERS);
    let replies: Vec<Reply> =
        (0..20).flat_map(|number| dispatcher.on_request(address(0), request(number, 0, number, 5_000), 0)).collect();
    assert_eq!((replies.len(), grants(&replies)), (6, 6));
    let mut stopped = dispatcher.stop();
    stopped.extend(dispatcher.on_request(address(1), request(1, 0, 1, 5_000), 10));
    assert_eq!(stopped.len(), 15);
    assert!(stopped.iter().all(|reply| matches!(reply.reply, SlotReply::Unmanaged { .. })));
    for number in 0..6 {
        assert!(dispatcher.on_release(address(0), &release(number, SlotEnding::Answered), 100).is_empty());
    }
    assert!(dispatcher.is_idle());
}

/// Guards against a server that turns requests away and attracts the next ones at once.
#[test]
fn a_full_server_gets_nothing_for_a_service_time() {
    let mut dispatcher = dispatcher(&[(2, 100.0)]);
    assert_eq!(grants(&dispatcher.on_request(address(0), request(0, 0, 1, 1_000), 0)), 1);
    assert!(dispatcher.on_release(address(0), &release(0, SlotEnding::Answered), 100).is_empty());
    assert_eq!(grants(&dispatcher.on_request(address(0), request(1, 0, 1, 1_000), 100)), 1);
    assert!(dispatcher.on_release(address(0), &release(1, SlotEnding::TurnedAway), 110).is_empty());
    assert!(dispatcher.on_request(address(0), request(2, 0, 1, 1_000), 110).is_empty());
    assert!(dispatcher.tick(200).is_empty());
    assert_eq!(grants(&dispatcher.tick(210)), 1);
}

/// Guards against requests that wait in vain, and against refused ones that all return at the same time.
#[test]
fn requests_that_cannot_start_in_time_are_refused() {
    let mut dispatcher = dispatcher(&[(1, 100.0)]);
    let mut refusals = |urgency, customer, max_wait_ms, numbers: std::ops::Range<u64>, now| -> Vec<(u64, u32)> {
        let mut replies = Vec::new();
        for number in numbers {
            replies.extend(dispatcher.on_request(address(0), request(number, urgency, customer, max_wait_ms), now));
        }
        replies.extend(dispatcher.tick(now));
        let refusals = replies.into_iter().filter_map(|reply| match reply.reply {
            SlotReply::Refused { number, retry_ms } => Some((number, retry_ms)),
            _ => None,
        });
        refusals.collect()
    };
    // One slot every 100 ms: one request runs, five wait 0 ms to 400 ms, and the next would wait 500 ms.
    let retries = refusals(3, 1, 450, 0..11, 0);
    assert_eq!(retries, [(6, 500), (7, 600), (8, 700), (9, 800), (10, 900)]);
    // Another customer's first request goes before all but one of the first customer's.
    assert_eq!(refusals(3, 2, 450, 20..21, 10), [(5, 500)]);
    // Two of a more urgent class go before all, so that the last two can't start in time any more.
    let refused: Vec<u64> = refusals(1, 3, 450, 30..32, 20).into_iter().map(|(number, _)| number).collect();
    assert_eq!(refused, [3, 4]);
}
