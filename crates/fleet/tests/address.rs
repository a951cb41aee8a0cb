//! A box that comes back under its name at another address.

use catalog::BoxId;
use fleet::{Change, FailureDetector, Message, Peer, ProbeTiming, State};
use policy::Time;
use std::net::SocketAddr;

fn peer(name: &str, port: u16) -> Peer {
    Peer { name: name.into(), hall: "h".into(), address: SocketAddr::from(([127, 0, 0, 1], port)) }
}

fn news(peer: &Peer, incarnation: u32) -> Message {
    let change = Change::Box { id: peer.id(), state: State::Alive, incarnation, peer: Some(peer.clone()) };
    Message::Ping { number: 1, order: None, changes: vec![change] }
}

fn address(probe: &FailureDetector, id: BoxId) -> Option<SocketAddr> {
    probe.peer(id).map(|p| p.address)
}

#[test]
fn a_younger_life_is_followed_to_its_address_unless_the_settings_name_one() {
    let now = Time(1_000);
    let (in_settings, learned) = (peer("fixed", 1), peer("learned", 2));
    let mut probe =
        FailureDetector::new(peer("me", 3), std::slice::from_ref(&in_settings), 1, ProbeTiming::default(), now);
    probe.on_message(in_settings.id(), &news(&learned, 5), None, now);
    assert_eq!(address(&probe, learned.id()), Some(learned.address));
    // An older life's news changes nothing, a younger one's does.
    probe.on_message(in_settings.id(), &news(&peer("learned", 20), 5), None, now);
    assert_eq!(address(&probe, learned.id()), Some(learned.address));
    let moved = peer("learned", 21);
    probe.on_message(in_settings.id(), &news(&moved, 6), None, now);
    assert_eq!(address(&probe, learned.id()), Some(moved.address));
    probe.on_message(learned.id(), &news(&peer("fixed", 10), 9), None, now);
    assert_eq!(address(&probe, in_settings.id()), Some(in_settings.address));
}
