//! The box that assigns slots, and what happens when it stops, dies or isn't heard.

use cleatshelf::router::SlotAction::{self, Abandon, AnnouncePause, Queued, Release, Reply, Request, Resolve};
use cleatshelf::router::SlotAssignment;
use dispatch::SlotReply::{Granted, Unmanaged};
use dispatch::{ServerSlots, SlotEnding, SlotRelease, SlotReply, SlotRequest};
use relay::DispatcherState::{Alive, Paused, Silent};
use std::net::SocketAddr;
use std::time::Duration;

/// Later than the time in which a box that has just started assigns nothing.
const START: u64 = 2_000;

fn address(index: u16) -> SocketAddr {
    ([127, 0, 0, 1], 7_000 + index).into()
}

fn request(number: u64) -> SlotRequest {
    let (service, tried) = ("svc".to_owned(), Vec::new());
    SlotRequest { number, service, urgency: 0, customer: 0, max_wait_ms: 1_000, expires_ms: 5_000, tried, request: 0 }
}

fn unused(number: u64) -> SlotRelease {
    SlotRelease { number, service: "svc".to_owned(), ending: SlotEnding::Unused }
}

fn granted(number: u64) -> SlotReply {
    Granted { number, server: "s".to_owned() }
}

/// Three boxes with equal capacity and one with less, and one server with one slot. The dispatcher is the first box, the
/// small one the last.
fn boxes() -> Vec<SlotAssignment> {
    let all: Vec<_> = (0..4).map(|index| (address(index), if index < 3 { 100 } else { 90 })).collect();
    let mut boxes: Vec<_> = (0..4).map(|index| SlotAssignment::new(address(index))).collect();
    for one in &mut boxes {
        one.set_boxes(all.clone(), true);
        let servers = vec![ServerSlots { id: "s".to_owned(), slots: 1, usable: true }];
        let announced = one.set_servers(vec![("svc".to_owned(), servers)], START);
        assert!(announced.iter().all(|action| *action == AnnouncePause(0)));
    }
    let dispatcher = asked(&mut boxes[3], 0, START);
    let first = (0..3).position(|index| address(index) == dispatcher).expect("one with the most capacity");
    boxes.swap(0, first);
    boxes
}

/// Requests a slot for a request of this box, and returns the box that is asked.
fn asked(from: &mut SlotAssignment, number: u64, now: u64) -> SocketAddr {
    match from.request(request(number), now).expect("a dispatcher").as_slice() {
        [Request(to, _)] => *to,
        other => panic!("{other:?}"),
    }
}

fn reply(reply: SlotReply) -> SlotAction {
    Reply(address(3), reply)
}

/// Guards against boxes that ask different dispatchers, and against grants of boxes that are not in charge.
#[test]
fn all_boxes_ask_the_same_box_and_others_answer_unmanaged() {
    let mut boxes = boxes();
    let first = asked(&mut boxes[3], 1, START);
    assert!((1..3).all(|index| asked(&mut boxes[index], 1, START) == first));
    // Its own requests need no messages.
    assert_eq!(boxes[0].request(request(1), START), Some(vec![Resolve(granted(1))]));
    assert_eq!(boxes[1].on_request(address(3), request(1), START), [reply(Unmanaged { number: 1 })]);
    assert_eq!(
        boxes[0].on_request(address(3), request(2), 1_499),
        [reply(Unmanaged { number: 2 }), AnnouncePause(1_000)]
    );
    boxes[0].set_boxes(vec![(first, 100)], false);
    assert_eq!(boxes[0].on_request(address(3), request(3), START)[0], reply(Unmanaged { number: 3 }));
    assert_eq!(boxes[0].request(request(4), START), None, "not all boxes are known");
}

/// Guards against slots that stay in use because their request had given up, and against two sends for one grant.
#[test]
fn a_grant_that_nothing_waits_for_is_released_unused() {
    let one = &mut boxes()[3];
    let first = asked(one, 1, START);
    assert_eq!(one.release(unused(1), START + 25), [Release(first, unused(1))]);
    assert_eq!(one.on_reply(first, granted(1)), [Release(first, unused(1))], "a late grant");
    asked(one, 2, START);
    assert_eq!(one.on_reply(first, granted(2)), [Resolve(granted(2))]);
    assert_eq!(one.on_reply(first, granted(2)), [], "a repeated grant");
    assert_eq!(one.release(unused(2), START), [Release(first, unused(2))]);
    assert_eq!(one.release(unused(2), START), [], "a repeated release");
}

/// Guards against requests that keep asking a box that is silent or dead.
#[test]
fn the_next_box_is_asked_while_the_dispatcher_is_silent() {
    let one = &mut boxes()[3];
    let first = asked(one, 1, START);
    assert_eq!(one.check_dispatcher(1, START + 25), Silent, "nothing was heard");
    assert_eq!(asked(one, 2, START + 250), first, "one missed reply may be a pause");
    assert_eq!(one.check_dispatcher(2, START + 275), Silent);
    assert_ne!(asked(one, 3, START + 275), first);
    one.on_contact(first, START + 300);
    assert_eq!(one.check_dispatcher(2, START + 300), Alive, "any message counts");
    assert_eq!(asked(one, 4, START + 300), first);
    assert_eq!(one.check_dispatcher(4, START + 325), Paused(Duration::from_millis(75)), "it was just heard");
    assert_eq!(one.check_dispatcher(4, START + 400), Silent);
    let waiting = one.on_link_lost(first, START + 300);
    assert!([1, 2, 4].iter().all(|number| waiting.contains(&Abandon(*number))), "{waiting:?}");
    assert!(!waiting.contains(&Abandon(3)), "asked elsewhere");
    one.on_contact(first, START + 400);
    assert_ne!(asked(one, 5, START + 2_399), first, "it may have started anew");
    assert_eq!(asked(one, 6, START + 2_400), first);
    one.on_pause(first, 1_000, START + 2_400);
    assert_ne!(asked(one, 7, START + 3_000), first);
    one.on_pause(first, 0, START + 3_000);
    assert_eq!(asked(one, 8, START + 3_000), first, "it has announced that it is ready");
}

/// Guards against a planned stop that leaves requests waiting, and against a crowd without a dispatcher after it.
#[test]
fn a_stopping_dispatcher_answers_all_that_wait_and_the_next_takes_over() {
    let mut boxes = boxes();
    let first = asked(&mut boxes[3], 1, START);
    assert_eq!(boxes[0].on_request(address(3), request(1), START), [reply(granted(1))]);
    assert_eq!(boxes[0].on_request(address(3), request(2), START), [Queued(address(3), 2)]);
    assert_eq!(boxes[0].stop(), [AnnouncePause(120_000), reply(Unmanaged { number: 2 })]);
    assert_eq!(boxes[0].on_request(address(3), request(3), START), [reply(Unmanaged { number: 3 })]);
    boxes[1..].iter_mut().for_each(|one| one.on_pause(first, 120_000, START));
    let next = asked(&mut boxes[0], 4, START);
    assert_eq!(next, asked(&mut boxes[3], 4, START));
    // It need not wait for the next list of servers.
    let grants = boxes[1..3].iter_mut().map(|one| one.on_request(address(3), request(5), START));
    assert_eq!(grants.filter(|actions| *actions == [reply(granted(5))]).count(), 1);
}

/// Guards against slots that a dead box keeps until its requests' deadlines.
#[test]
fn slots_of_a_box_that_stays_unreachable_are_assigned_again() {
    let one = &mut boxes()[0];
    assert_eq!(one.on_request(address(8), request(1), START).len(), 1);
    assert_eq!(one.on_link_lost(address(8), START), []);
    one.on_contact(address(8), START + 100);
    assert_eq!(one.on_link_lost(address(8), START + 900), [], "it was heard in between");
    assert_eq!(one.on_request(address(3), request(1), START + 1_500), [Queued(address(3), 1)]);
    assert_eq!(one.on_link_lost(address(8), START + 1_900), [reply(granted(1))]);
}
