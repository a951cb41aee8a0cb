//! A box that restarts under the same name at another address.

use catalog::BoxId;
use fleet::{Change, FailureDetector, Message, Peer, ProbeTiming, State};
use policy::Time;
use std::net::SocketAddr;

fn peer(name: &str, port: u16) -> Peer {
    Peer { name: name.into(), hall: "h".into(), address: SocketAddr::from(([127, 0, 0, 1], port)) }
}

fn ping_about(peer: &Peer, incarnation: u32) -> Message {
    let change = Change::Box { id: peer.id(), state: State::Alive, incarnation, peer: Some(peer.clone()) };
    Message::Ping { number: 1, order: None, changes: vec![change] }
}

fn address(detector: &FailureDetector, id: BoxId) -> Option<SocketAddr> {
    detector.peer(id).map(|p| p.address)
}

#[test]
fn a_newer_incarnation_updates_the_address_unless_it_is_in_the_settings() {
    let now = Time(1_000);
    let (in_settings, learned) = (peer("fixed", 1), peer("learned", 2));
    let mut detector =
        FailureDetector::new(peer("me", 3), std::slice::from_ref(&in_settings), 1, ProbeTiming::default(), now);
    detector.on_message(in_settings.id(), &ping_about(&learned, 5), None, now);
    assert_eq!(address(&detector, learned.id()), Some(learned.address));
    // The same incarnation does not change the address, a newer one does.
    detector.on_message(in_settings.id(), &ping_about(&peer("learned", 20), 5), None, now);
    assert_eq!(address(&detector, learned.id()), Some(learned.address));
    let moved = peer("learned", 21);
    detector.on_message(in_settings.id(), &ping_about(&moved, 6), None, now);
    assert_eq!(address(&detector, learned.id()), Some(moved.address));
    detector.on_message(learned.id(), &ping_about(&peer("fixed", 10), 9), None, now);
    assert_eq!(address(&detector, in_settings.id()), Some(in_settings.address));
}
