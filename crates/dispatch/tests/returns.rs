//! Callers that come back before the time that a refusal states.

mod common;

use common::{address, dispatcher, release, request, MAX_WAIT_MS};
use dispatch::{Dispatcher, SlotEnding, SlotReply, SlotRequest};

/// Requests a slot from a box for a request with this fingerprint.
fn ask(dispatcher: &mut Dispatcher, from: usize, number: u64, fingerprint: u64, now: u64) -> Option<SlotReply> {
    let request = SlotRequest { request: fingerprint, ..request(number, 0, 0, MAX_WAIT_MS) };
    let replies = dispatcher.on_request(address(from), request, now);
    replies.into_iter().map(|reply| reply.reply).find(|reply| reply.number() == number)
}

/// Guards against early returns, to any box, that queue for a slot a second time, and against refusals of callers that
/// nothing was promised, that return as told, or that meet a free slot.
#[test]
fn an_early_return_to_another_box_is_told_the_rest_of_its_time() {
    let mut dispatcher = dispatcher(&[(1, 400.0)]);
    assert!(matches!(ask(&mut dispatcher, 0, 1, 11, 0), Some(SlotReply::Granted { .. })));
    // Requests queue until those before take longer than the longest useful wait.
    let refused = (2..100).find_map(|number| match ask(&mut dispatcher, 0, number, 100 + number, 0) {
        Some(SlotReply::Refused { retry_ms, .. }) => Some((100 + number, retry_ms)),
        _ => None,
    });
    let (fingerprint, told_ms) = refused.expect("a request that finds no slot in time");
    assert!(told_ms > 100, "{told_ms}");
    assert_eq!(
        ask(&mut dispatcher, 1, 200, fingerprint, 20),
        Some(SlotReply::Refused { number: 200, retry_ms: told_ms - 20 })
    );
    let promised = |reply: Option<SlotReply>| matches!(reply, Some(SlotReply::Refused { retry_ms, .. }) if retry_ms == told_ms - 20);
    assert!(!promised(ask(&mut dispatcher, 1, 201, 0, 20)), "a request without a fingerprint is a newcomer");
    // All that wait have left, and the slot is free.
    for number in 1..300 {
        let _ = dispatcher.on_release(address(0), &release(number, SlotEnding::Unused), 30);
        let _ = dispatcher.on_release(address(1), &release(number, SlotEnding::Unused), 30);
    }
    assert!(matches!(ask(&mut dispatcher, 2, 301, fingerprint, 40), Some(SlotReply::Granted { .. })));
}

/// Guards against callers with little time that come back before the stated time, as they must, and are turned away for it.
#[test]
fn nothing_is_promised_to_a_caller_that_is_told_more_than_a_third_of_its_time() {
    for (expires_ms, is_promised) in [(60_000, true), (2_000, false)] {
        let mut dispatcher = dispatcher(&[(1, 400.0)]);
        let mut ask = |number: u64, now: u64| {
            let request = SlotRequest { request: 100 + number, expires_ms, ..request(number, 0, 0, MAX_WAIT_MS) };
            let replies = dispatcher.on_request(address(0), request, now);
            replies.into_iter().map(|reply| reply.reply).find(|reply| reply.number() == number)
        };
        let refused = |reply: Option<SlotReply>| match reply {
            Some(SlotReply::Refused { retry_ms, .. }) => Some(retry_ms),
            _ => None,
        };
        let (number, told_ms) =
            (1..100).find_map(|number| Some((number, refused(ask(number, 0))?))).expect("a refusal");
        // The same request under another number, since numbers are used once.
        let again = SlotRequest { request: 100 + number, expires_ms, ..request(1_000, 0, 0, MAX_WAIT_MS) };
        let replies = dispatcher.on_request(address(1), again, 20);
        let rest = replies.into_iter().map(|reply| reply.reply).find(|reply| reply.number() == 1_000);
        assert_eq!(refused(rest) == Some(told_ms - 20), is_promised, "{expires_ms} ms left, told {told_ms} ms");
    }
}
