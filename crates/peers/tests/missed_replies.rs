//! When a box counts as silent.

use peers::MissedReplies;
use std::net::SocketAddr;

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 8000))
}

#[test]
fn one_late_answer_makes_no_box_silent() {
    let mut silence = MissedReplies::default();
    for index in 1..9 {
        silence.record_missed(address(index), 1_000);
        silence.record_missed(address(index), 1_030);
    }
    assert!((1..9).all(|index| !silence.is_unresponsive(&address(index), 1_030)));
}

#[test]
fn a_box_that_says_nothing_for_long_is_silent_for_a_while() {
    let mut silence = MissedReplies::default();
    silence.record_missed(address(1), 1_000);
    silence.record_missed(address(1), 1_300);
    assert!(silence.is_unresponsive(&address(1), 1_300) && silence.is_unresponsive(&address(1), 3_200));
    assert!(!silence.is_unresponsive(&address(1), 3_300));
    assert!(!silence.is_unresponsive(&address(2), 1_300));
}

#[test]
fn a_word_from_a_box_ends_its_silence() {
    let mut silence = MissedReplies::default();
    silence.record_missed(address(1), 1_000);
    silence.record_reply(address(1));
    silence.record_missed(address(1), 1_400);
    assert!(!silence.is_unresponsive(&address(1), 1_400), "it spoke between the two");
    silence.record_missed(address(1), 1_700);
    assert!(silence.is_unresponsive(&address(1), 1_700));
    silence.record_reply(address(1));
    assert!(!silence.is_unresponsive(&address(1), 1_701));
}
