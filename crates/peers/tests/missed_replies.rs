//! Detection of unresponsive boxes.

use peers::MissedReplies;
use std::net::SocketAddr;

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 8000))
}

#[test]
fn a_single_late_reply_does_not_make_a_box_unresponsive() {
    let mut replies = MissedReplies::default();
    for index in 1..9 {
        replies.record_missed(address(index), 1_000);
        replies.record_missed(address(index), 1_030);
    }
    assert!((1..9).all(|index| !replies.is_unresponsive(&address(index), 1_030)));
}

#[test]
fn a_box_that_sends_nothing_is_unresponsive_for_a_limited_time() {
    let mut replies = MissedReplies::default();
    replies.record_missed(address(1), 1_000);
    replies.record_missed(address(1), 1_300);
    assert!(replies.is_unresponsive(&address(1), 1_300) && replies.is_unresponsive(&address(1), 3_200));
    assert!(!replies.is_unresponsive(&address(1), 3_300));
    assert!(!replies.is_unresponsive(&address(2), 1_300));
}

#[test]
fn a_message_from_a_box_makes_it_responsive_again() {
    let mut replies = MissedReplies::default();
    replies.record_missed(address(1), 1_000);
    replies.record_reply(address(1));
    replies.record_missed(address(1), 1_400);
    assert!(!replies.is_unresponsive(&address(1), 1_400), "a message came between the two missed replies");
    replies.record_missed(address(1), 1_700);
    assert!(replies.is_unresponsive(&address(1), 1_700));
    replies.record_reply(address(1));
    assert!(!replies.is_unresponsive(&address(1), 1_701));
}
