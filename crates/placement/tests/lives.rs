//! What is known of instances that may have ended: evidence, what it is taken for, and what disproves it.

mod common;

use common::{request_without_prompt, route, server, service, update};
use placement::{Placement, PlacementRequest, Refusal, RetryBudget};
use routing::{Server, Table, Version};
use std::collections::BTreeSet;

const LIFE: &str = "s0@1";

/// When the instance is seen to end.
const END: u64 = 10_000;

/// Time after an answer from which a list proves that the same instance gave it, as the users' servers write their entries
/// every 1.2 s.
const HEARTBEAT: u64 = 1_200;

/// The users' bound on the time in which a machine must find out.
const CONTACT: u64 = 3_000;

fn listed(born: u64) -> Server {
    Server { id: format!("s0@{born}"), ..server(0, "hall") }
}

fn apply(placement: &mut Placement, servers: Vec<Server>, now: u64) {
    update(placement, &Table::new(1, vec![route(None)], vec![service(64, 4, None)]), servers, &[], now);
}

/// A placement with one instance that was seen to end.
fn doubting() -> Placement {
    let mut placement = Placement::new("hall", RetryBudget::new(0.2, 50.0, 10_000));
    apply(&mut placement, vec![listed(1)], 0);
    assert!(placement.record_ended(LIFE, END));
    assert!(!placement.is_identified(LIFE));
    placement
}

fn confirm(placement: &mut Placement, now: u64) -> usize {
    placement.record_listed(&BTreeSet::new(), now).len()
}

fn goes_on(placement: &mut Placement) -> bool {
    let version = Version::new("v1");
    let request = PlacementRequest { version: Some(&version), now: END + 60_000, ..request_without_prompt() };
    match placement.choose(&request) {
        Ok(_) => true,
        Err(refusal) => {
            assert_eq!(refusal, Refusal::NoServer);
            false
        }
    }
}

/// Guards against streams that go on at an instance of which nothing is known, and against those that never do.
#[test]
fn an_answer_and_a_later_list_prove_that_an_instance_lives_on() {
    let mut placement = doubting();
    assert!(!goes_on(&mut placement));
    let answered = END + 1_500;
    assert!(!placement.record_answer(LIFE, END + 1_400, answered), "a later life may have answered");
    assert_eq!(confirm(&mut placement, answered + HEARTBEAT - 1), 0, "its entry may not be there yet");
    assert_eq!(confirm(&mut placement, answered + CONTACT), 1);
    assert!(placement.is_identified(LIFE) && placement.is_proved(LIFE) && goes_on(&mut placement));
}

/// Guards against a list that proves an instance which nobody reaches.
#[test]
fn a_list_alone_proves_nothing() {
    let mut placement = doubting();
    assert_eq!(confirm(&mut placement, END + 60_000), 0);
    assert!(!goes_on(&mut placement));
}

/// Guards against a list from before the outage of the publisher, or an entry that is kept although it has gone.
#[test]
fn an_answer_alone_and_a_lapsed_entry_prove_nothing() {
    let mut placement = doubting();
    let _ = placement.record_answer(LIFE, END + 5_000, END + 5_000);
    assert!(!goes_on(&mut placement));
    let lapsed = BTreeSet::from([listed(1).name]);
    assert!(placement.record_listed(&lapsed, END + 60_000).is_empty());
    assert!(!goes_on(&mut placement));
}

/// Guards against late reads: data from before the end proves nothing, an answer on an older connection does later.
#[test]
fn an_answer_on_an_older_connection_proves_the_instance_unless_it_was_read_late() {
    let mut placement = doubting();
    assert!(!placement.record_answer(LIFE, END - 50, END + 500));
    assert!(placement.record_answer(LIFE, END - 50, END + 1_500));
    assert!(goes_on(&mut placement));
}

/// Guards against a later life that is taken for the former one, and the reverse.
#[test]
fn a_later_life_in_the_list_ends_the_doubt_of_its_name() {
    let mut placement = doubting();
    apply(&mut placement, vec![listed(2)], END + 800);
    assert!(!placement.is_proved(LIFE), "nothing that began there is known");
    assert!(placement.is_identified("s0@2") && goes_on(&mut placement));
    assert!(!placement.record_ended(LIFE, END + 900), "the former life doesn't concern the later one");
    assert!(goes_on(&mut placement));
}

/// Guards against old reports that are told again after their correction, and against corrections that hide a later end.
#[test]
fn only_a_later_end_raises_the_doubt_again() {
    let mut placement = doubting();
    assert!(placement.record_alive(LIFE, END + 2_000));
    assert!(!placement.record_ended(LIFE, END));
    assert!(!placement.record_ended(LIFE, END + 1_000));
    assert!(goes_on(&mut placement));
    assert!(placement.record_ended(LIFE, END + 3_000));
    assert!(!placement.record_alive(LIFE, END + 2_500));
    assert!(!goes_on(&mut placement));
}

/// Guards against doubts where ids are never used again: a server answers 421 there instead.
#[test]
fn an_instance_with_an_id_of_its_own_is_never_in_doubt() {
    let mut placement = Placement::new("hall", RetryBudget::new(0.2, 50.0, 10_000));
    apply(&mut placement, vec![server(0, "hall")], 0);
    assert!(!placement.record_ended("s0", END));
    assert!(goes_on(&mut placement));
}
