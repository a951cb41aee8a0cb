//! What a box takes from a watcher's heartbeat.

use peers::{Action, Heartbeat, Holding, Message, Peers, Profile, Subject};
use std::net::SocketAddr;

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 8000))
}

fn profile() -> Profile {
    Profile { hall: "here".to_owned(), capacity: 250 }
}

fn heard(holding: Holding, table: u64, table_until: u64) -> Vec<Action> {
    let mut peers = Peers::new(address(1), profile(), &[]);
    peers.hold(holding);
    let beat =
        Heartbeat { profile: profile(), watches: true, table, table_until, directory: holding.directory, members: 0 };
    peers.handle(address(2), Message::Heartbeat(beat), 1_000)
}

#[test]
fn a_box_learns_until_when_its_configuration_was_the_newest() {
    let holding = Holding { table: 5, table_until: 40, directory: 60 };
    assert!(heard(holding, 5, 55).contains(&Action::TableUntil(55)));
    assert!(!heard(holding, 5, 40).iter().any(|action| matches!(action, Action::TableUntil(_))));
}

#[test]
fn what_holds_of_another_configuration_does_not_hold_of_the_own() {
    let holding = Holding { table: 5, table_until: 40, directory: 60 };
    let newer = heard(holding, 6, 55);
    assert!(!newer.iter().any(|action| matches!(action, Action::TableUntil(_))));
    assert!(newer.contains(&Action::Send(address(2), Message::Want(Subject::Table))));
    assert!(!heard(holding, 4, 55).iter().any(|action| matches!(action, Action::TableUntil(_))));
}
