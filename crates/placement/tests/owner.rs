//! What the owner of a server knows.

use placement::{Ending, Load, News, Opinion, Owner, Part, Question, Report, Work};
use std::net::SocketAddr;

const MEMORY: u64 = 100_000;

fn from() -> SocketAddr {
    "10.0.0.1:1".parse().expect("an address")
}

fn parts() -> Vec<Part> {
    vec![Part { id: 1, tokens: 10_000 }, Part { id: 2, tokens: 500 }]
}

fn ask(owner: &mut Owner, now: u64) -> Opinion {
    owner.ask(Question { number: 99, server: "s".to_owned(), parts: parts() }, now)
}

fn tell(owner: &mut Owner, number: u64, news: News, now: u64) {
    owner.report(from(), Report { number, server: "s".to_owned(), news }, now);
}

fn sent() -> News {
    News::Sent { parts: parts(), work: Work { unread: 10_500, held: 11_000, ..Work::default() }, memory: MEMORY }
}

#[test]
fn a_question_alone_changes_nothing() {
    let mut owner = Owner::default();
    let first = ask(&mut owner, 0);
    assert_eq!(ask(&mut owner, 1), first);
    assert_eq!((first.load.running, first.kept, first.read), (0, 0, 0));
}

#[test]
fn a_send_counts_from_its_beginning_to_its_end() {
    let mut owner = Owner::default();
    tell(&mut owner, 1, sent(), 0);
    let waiting = ask(&mut owner, 1);
    assert_eq!((waiting.load.running, waiting.load.unread, waiting.load.held), (1, 10_500, 11_000));
    assert_eq!((waiting.kept, waiting.read), (10_500, 0));
    tell(&mut owner, 1, News::Read, 2);
    let reading = ask(&mut owner, 3);
    assert_eq!((reading.load.running, reading.load.unread, reading.read), (1, 0, 10_500));
    tell(&mut owner, 1, News::Ended(Ending::Good), 4);
    let after = ask(&mut owner, 5);
    assert_eq!((after.load.running, after.load.held, after.read), (0, 0, 10_500));
}

#[test]
fn parts_of_a_send_that_never_began_to_answer_are_not_counted_upon() {
    let mut owner = Owner::default();
    tell(&mut owner, 1, sent(), 0);
    tell(&mut owner, 2, sent(), 0);
    tell(&mut owner, 1, News::Ended(Ending::Left), 1);
    assert_eq!(ask(&mut owner, 2).kept, 10_500, "another request still waits for them");
    tell(&mut owner, 2, News::Ended(Ending::Broken), 3);
    let after = ask(&mut owner, 4);
    assert_eq!((after.kept, after.load.running, after.load.unread), (0, 0, 0));
}

#[test]
fn a_lease_whose_box_has_died_ends_by_itself() {
    let mut owner = Owner::default();
    tell(&mut owner, 1, sent(), 0);
    assert_eq!(ask(&mut owner, 61_000).load.running, 0);
}

#[test]
fn an_end_told_twice_or_for_nothing_harms_nothing() {
    let mut owner = Owner::default();
    tell(&mut owner, 1, sent(), 0);
    tell(&mut owner, 1, News::Ended(Ending::Good), 1);
    tell(&mut owner, 1, News::Ended(Ending::Good), 2);
    tell(&mut owner, 7, News::Read, 3);
    assert_eq!(ask(&mut owner, 4).load.running, 0);
}

#[test]
fn failures_told_by_any_box_pause_the_server_for_all() {
    let mut owner = Owner::default();
    for number in 0..2 {
        tell(&mut owner, number, sent(), 0);
        tell(&mut owner, number, News::Ended(Ending::Broken), 1);
    }
    assert!(ask(&mut owner, 2).paused);
    assert!(!ask(&mut owner, 1_000).paused);
}

#[test]
fn servers_that_are_no_longer_listed_are_forgotten() {
    let mut owner = Owner::default();
    tell(&mut owner, 1, sent(), 0);
    owner.retain(|id| id == "s");
    assert_eq!(ask(&mut owner, 1).load.running, 1);
    owner.retain(|id| id != "s");
    assert_eq!((ask(&mut owner, 2).load.running, ask(&mut owner, 2).kept), (0, 0));
}

#[test]
fn an_owner_tells_of_quick_answers_until_they_end_and_of_deep_prompts_until_they_are_read() {
    let mut owner = Owner::default();
    let report = |number, news| Report { number, server: "s".to_owned(), news };
    let sent = |work| News::Sent { parts: parts(), work, memory: MEMORY };
    let question = || Question { number: 9, server: "s".to_owned(), parts: parts() };
    owner.report(from(), report(1, sent(Work { quick: true, ..Work::default() })), 0);
    owner.report(from(), report(2, sent(Work { deep: true, ..Work::default() })), 0);
    let load = owner.ask(question(), 1).load;
    assert_eq!((load.quick, load.deep), (1, 1));
    owner.report(from(), report(1, News::Read), 2);
    owner.report(from(), report(2, News::Read), 2);
    let load = owner.ask(question(), 3).load;
    assert_eq!((load.quick, load.deep), (1, 0));
    owner.report(from(), report(1, News::Ended(Ending::Good)), 4);
    owner.report(from(), report(2, News::Ended(Ending::Good)), 4);
    assert_eq!(owner.ask(question(), 5).load, Load::default());
}
