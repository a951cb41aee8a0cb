//! Handling of heartbeats, hellos and bootstrap messages.

use peers::{Action, Heartbeat, KnownVersions, Message, Peers, Profile, Roster, Subject};
use routing::{Evacuations, Position};
use std::net::SocketAddr;

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 8000))
}

fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

fn profile() -> Profile {
    Profile { hall: "here".to_owned(), capacity: 250, tunnel_port: 0, incarnation: 1 }
}

fn on_heartbeat(known: &KnownVersions, table: u64, table_until: Position) -> Vec<Action> {
    let mut peers = Peers::new(address(1), profile(), &[]);
    peers.set_known_versions(known.clone());
    let heartbeat = Heartbeat {
        profile: profile(),
        watches: true,
        table,
        table_until,
        directory: known.directory,
        evacuations: Evacuations::default(),
        members: 0,
        suspects: 0,
        notices: 0,
    };
    peers.handle(address(2), Message::Heartbeat(heartbeat), 1_000)
}

#[test]
fn a_heartbeat_extends_the_position_up_to_which_the_configuration_is_current() {
    let known = KnownVersions { table: 5, table_until: at(40), directory: at(60), ..KnownVersions::default() };
    assert!(on_heartbeat(&known, 5, at(55)).contains(&Action::TableUntil(at(55))));
    assert!(!on_heartbeat(&known, 5, at(40)).iter().any(|action| matches!(action, Action::TableUntil(_))));
}

#[test]
fn a_heartbeat_with_another_configuration_does_not_extend_the_position() {
    let known = KnownVersions { table: 5, table_until: at(40), directory: at(60), ..KnownVersions::default() };
    let newer = on_heartbeat(&known, 6, at(55));
    assert!(!newer.iter().any(|action| matches!(action, Action::TableUntil(_))));
    assert!(newer.contains(&Action::Send(address(2), Message::Want(Subject::Table))));
    assert!(!on_heartbeat(&known, 4, at(55)).iter().any(|action| matches!(action, Action::TableUntil(_))));
}

fn peers_with_data(capacity: u32) -> Peers {
    let mut peers = Peers::new(address(1), Profile { capacity, ..profile() }, &[]);
    peers.set_known_versions(KnownVersions {
        table: 7,
        table_until: at(7),
        directory: at(9),
        ..KnownVersions::default()
    });
    peers
}

fn bootstraps(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Send(_, Message::Welcome { .. }))).count()
}

#[test]
fn a_new_box_requests_data_from_another_box_and_not_from_the_publisher() {
    let sent = peers_with_data(1_000).handle(address(2), Message::Hello { profile: profile(), members: 0 }, 0);
    assert!(sent.contains(&Action::Send(
        address(2),
        Message::Welcome { table: 7, directory: at(9), evacuations: Evacuations::default() }
    )));
    let mut newcomer = Peers::new(address(2), profile(), &[address(1)]);
    let requests = newcomer.handle(
        address(1),
        Message::Welcome { table: 7, directory: at(9), evacuations: Evacuations::default() },
        10,
    );
    assert!(requests.contains(&Action::Send(address(1), Message::Want(Subject::Table))), "{requests:?}");
    assert!(requests.contains(&Action::RequestDirectory(address(1))), "{requests:?}");
}

#[test]
fn a_small_box_limits_bootstrap_messages_to_new_boxes() {
    let mut small = peers_with_data(50);
    let mut sent = |now: u64, from: u8| {
        (from..from + 20)
            .map(|index| {
                bootstraps(&small.handle(address(index), Message::Hello { profile: profile(), members: 0 }, now))
            })
            .sum::<usize>()
    };
    assert_eq!(sent(0, 10), 5);
    assert_eq!(sent(1_000, 40), 5, "the limit applies per second");
}

#[test]
fn a_box_listens_before_it_watches_unless_it_is_a_seed() {
    for (seed, is_seed) in [(address(1), true), (address(2), false)] {
        let mut peers = Peers::new(address(1), profile(), &[seed]);
        let watches = |actions: &[Action]| actions.contains(&Action::SetWatching(true));
        assert_eq!(watches(&peers.tick(0)), is_seed);
        let later: Vec<Action> = [100, 300, 600, 700].into_iter().flat_map(|now| peers.tick(now)).collect();
        assert_eq!(watches(&later), !is_seed, "a box that receives no messages starts to watch after a while");
    }
}

#[test]
fn a_box_that_reads_its_first_list_counts_as_a_watcher_and_a_rejected_one_does_not() {
    // A rejected watcher with a list, and a box without a list yet.
    for (directory, waits) in [(at(9), false), (Position::NONE, true)] {
        let mut peers = Peers::new(address(1), profile(), &[address(2)]);
        let mut watches = |now: u64, heartbeat: bool| {
            if heartbeat {
                let heartbeat = Heartbeat {
                    profile: profile(),
                    watches: false,
                    table: 0,
                    table_until: Position::NONE,
                    directory,
                    evacuations: Evacuations::default(),
                    members: 0,
                    suspects: 0,
                    notices: 0,
                };
                peers.handle(address(2), Message::Heartbeat(heartbeat), now);
            }
            peers.tick(now).contains(&Action::SetWatching(true))
        };
        let early = (0..20).any(|step| watches(step * 100, step % 4 == 0));
        assert_eq!(early, !waits, "in the first two seconds");
        let later = (20..40).any(|step| watches(step * 100, step % 4 == 0));
        assert!(early || later, "the wait is bounded");
    }
}

#[test]
fn requests_for_the_first_list_are_repeated_later_than_those_for_differences() {
    for (directory, expected) in [(Position::NONE, 1), (at(5), 7)] {
        let mut peers = Peers::new(address(1), profile(), &[address(2)]);
        peers.set_known_versions(KnownVersions { directory, ..KnownVersions::default() });
        let mut requests = 0;
        for now in (0..2_000).step_by(100) {
            let bootstrap = Message::Welcome { table: 0, directory: at(9), evacuations: Evacuations::default() };
            let actions = peers.handle(address(2), bootstrap, now);
            requests += actions.iter().filter(|action| matches!(action, Action::RequestDirectory(_))).count();
        }
        assert_eq!(requests, expected, "in two seconds, from {directory}");
    }
}

#[test]
fn the_only_watcher_converges_by_the_hellos_of_other_boxes() {
    let mut watcher = Peers::new(address(1), profile(), &[address(1), address(2)]);
    let mut other = Peers::new(address(2), profile(), &[address(1), address(2)]);
    let mut pending: Vec<(u8, Action)> = Vec::new();
    // No other box ever watches, so the watcher receives no heartbeats.
    for now in (0..5_000).step_by(100) {
        pending.extend(watcher.tick(now).into_iter().map(|action| (1, action)));
        pending.extend(
            other.tick(now).into_iter().filter(|a| !matches!(a, Action::SetWatching(_))).map(|action| (2, action)),
        );
        while let Some((from, action)) = pending.pop() {
            let Action::Send(_, message) = action else { continue };
            if from == 2 && matches!(message, Message::Heartbeat(_)) {
                continue;
            }
            let (to, receiver) = if from == 1 { (2, &mut other) } else { (1, &mut watcher) };
            pending.extend(receiver.handle(address(from), message, now).into_iter().map(|action| (to, action)));
        }
    }
    assert!(other.has_converged(), "by the watcher's heartbeats");
    assert!(watcher.has_converged(), "by the other box's hellos");
}

#[test]
fn data_of_a_later_era_is_newer_although_its_revision_is_lower() {
    let later = Position::new(1, 30);
    let known = KnownVersions { table: 5, table_until: at(40), directory: at(60), ..KnownVersions::default() };
    assert!(on_heartbeat(&known, 5, later).contains(&Action::TableUntil(later)));
    let mut peers = Peers::new(address(1), profile(), &[]);
    peers.set_known_versions(known.clone());
    let bootstrap = Message::Welcome { table: 5, directory: later, evacuations: Evacuations::default() };
    assert!(peers.handle(address(2), bootstrap, 0).contains(&Action::RequestDirectory(address(2))));
    // Changes don't apply to a list of the former era.
    let changes = |since, until| Message::Changes { since, until, packed: vec![1] };
    let requests = peers.handle(address(3), changes(later, Position::new(1, 31)), 5_000);
    assert!(requests.contains(&Action::RequestDirectory(address(3))) && requests.len() == 1, "{requests:?}");
    peers.set_known_versions(KnownVersions { directory: later, ..known });
    assert!(
        peers.handle(address(3), changes(at(60), at(61)), 10_000).is_empty(),
        "changes of a former era are ignored"
    );
    let applied = peers.handle(address(3), changes(later, Position::new(1, 31)), 10_000);
    assert_eq!(applied, [Action::Changes(vec![1], Position::new(1, 31))]);
}

/// The number of boxes in the hall is cached, since counting it for each box in each of ten ticks per second
/// took 1 ms of a core with 585 boxes and 4 ms with 1,170. The cached number must follow the halls that boxes
/// announce.
#[test]
fn the_heartbeat_interval_follows_the_current_size_of_the_hall() {
    let interval = |peers: &mut Peers, from: u64| -> u64 {
        let beats = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Send(_, Message::Heartbeat(_))));
        let times: Vec<u64> = (from..from + 5_000).step_by(20).filter(|now| beats(&peers.tick(*now))).collect();
        times[2] - times[1]
    };
    let mut peers = Peers::new(address(1), profile(), &[]);
    let boxes = (2..82).map(|index| (address(index), profile()));
    peers.handle(address(2), Message::Members(Roster::new(boxes)), 0);
    assert_eq!(interval(&mut peers, 0), 800, "80 others");
    let elsewhere = Profile { hall: "there".to_owned(), capacity: 250, tunnel_port: 0, incarnation: 1 };
    for index in 2..62 {
        peers.handle(address(index), Message::Hello { profile: elsewhere.clone(), members: 0 }, 6_000);
    }
    assert_eq!(interval(&mut peers, 6_000), 400, "20 others");
}
