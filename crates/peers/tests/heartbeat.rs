//! What a box takes from a watcher's heartbeat.

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
    Profile { hall: "here".to_owned(), capacity: 250 }
}

fn heard(holding: &KnownVersions, table: u64, table_until: Position) -> Vec<Action> {
    let mut peers = Peers::new(address(1), profile(), &[]);
    peers.set_known_versions(holding.clone());
    let beat = Heartbeat {
        profile: profile(),
        watches: true,
        table,
        table_until,
        directory: holding.directory,
        evacuations: Evacuations::default(),
        members: 0,
        suspects: 0,
        notices: 0,
    };
    peers.handle(address(2), Message::Heartbeat(beat), 1_000)
}

#[test]
fn a_box_learns_until_when_its_configuration_was_the_newest() {
    let holding = KnownVersions { table: 5, table_until: at(40), directory: at(60), ..KnownVersions::default() };
    assert!(heard(&holding, 5, at(55)).contains(&Action::TableUntil(at(55))));
    assert!(!heard(&holding, 5, at(40)).iter().any(|action| matches!(action, Action::TableUntil(_))));
}

#[test]
fn what_holds_of_another_configuration_does_not_hold_of_the_own() {
    let holding = KnownVersions { table: 5, table_until: at(40), directory: at(60), ..KnownVersions::default() };
    let newer = heard(&holding, 6, at(55));
    assert!(!newer.iter().any(|action| matches!(action, Action::TableUntil(_))));
    assert!(newer.contains(&Action::Send(address(2), Message::Want(Subject::Table))));
    assert!(!heard(&holding, 4, at(55)).iter().any(|action| matches!(action, Action::TableUntil(_))));
}

fn knowing(capacity: u32) -> Peers {
    let mut peers = Peers::new(address(1), Profile { capacity, ..profile() }, &[]);
    peers.set_known_versions(KnownVersions {
        table: 7,
        table_until: at(7),
        directory: at(9),
        ..KnownVersions::default()
    });
    peers
}

fn welcomes(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Send(_, Message::Welcome { .. }))).count()
}

#[test]
fn a_box_that_has_just_come_asks_another_and_not_the_publisher() {
    let told = knowing(1_000).handle(address(2), Message::Hello { profile: profile(), members: 0 }, 0);
    assert!(told.contains(&Action::Send(
        address(2),
        Message::Welcome { table: 7, directory: at(9), evacuations: Evacuations::default() }
    )));
    let mut newcomer = Peers::new(address(2), profile(), &[address(1)]);
    let asks = newcomer.handle(
        address(1),
        Message::Welcome { table: 7, directory: at(9), evacuations: Evacuations::default() },
        10,
    );
    assert!(asks.contains(&Action::Send(address(1), Message::Want(Subject::Table))), "{asks:?}");
    assert!(asks.contains(&Action::RequestDirectory(address(1))), "{asks:?}");
}

#[test]
fn a_small_box_tells_only_some_of_many_newcomers() {
    let mut small = knowing(50);
    let mut told = |now: u64, from: u8| {
        (from..from + 20)
            .map(|index| {
                welcomes(&small.handle(address(index), Message::Hello { profile: profile(), members: 0 }, now))
            })
            .sum::<usize>()
    };
    assert_eq!(told(0, 10), 5);
    assert_eq!(told(1_000, 40), 5, "and some more a second later");
}

#[test]
fn a_box_listens_before_it_watches_unless_others_begin_with_it() {
    for (seed, first) in [(address(1), true), (address(2), false)] {
        let mut peers = Peers::new(address(1), profile(), &[seed]);
        let watches = |actions: &[Action]| actions.contains(&Action::SetWatching(true));
        assert_eq!(watches(&peers.tick(0)), first);
        let later: Vec<Action> = [100, 300, 600, 700].into_iter().flat_map(|now| peers.tick(now)).collect();
        assert_eq!(watches(&later), !first, "after a while without a word it watches by itself");
    }
}

#[test]
fn a_box_that_reads_its_first_list_is_waited_for_and_one_that_is_turned_away_is_not() {
    // With a list, and without one.
    for (directory, waits) in [(at(9), false), (Position::NONE, true)] {
        let mut peers = Peers::new(address(1), profile(), &[address(2)]);
        let mut watches = |now: u64, beat: bool| {
            let holding = KnownVersions { directory, ..KnownVersions::default() };
            if beat {
                let beat = Heartbeat {
                    profile: profile(),
                    watches: false,
                    table: 0,
                    table_until: Position::NONE,
                    directory: holding.directory,
                    evacuations: Evacuations::default(),
                    members: 0,
                    suspects: 0,
                    notices: 0,
                };
                peers.handle(address(2), Message::Heartbeat(beat), now);
            }
            peers.tick(now).contains(&Action::SetWatching(true))
        };
        let early = (0..20).any(|step| watches(step * 100, step % 4 == 0));
        assert_eq!(early, !waits, "within two seconds");
        let later = (20..40).any(|step| watches(step * 100, step % 4 == 0));
        assert!(early || later, "not for ever");
    }
}

#[test]
fn a_first_list_is_asked_for_once_while_it_may_be_on_its_way_and_differences_soon_again() {
    for (directory, most) in [(Position::NONE, 1), (at(5), 7)] {
        let mut peers = Peers::new(address(1), profile(), &[address(2)]);
        peers.set_known_versions(KnownVersions { directory, ..KnownVersions::default() });
        let mut asked = 0;
        for now in (0..2_000).step_by(100) {
            let welcome = Message::Welcome { table: 0, directory: at(9), evacuations: Evacuations::default() };
            let actions = peers.handle(address(2), welcome, now);
            asked += actions.iter().filter(|action| matches!(action, Action::RequestDirectory(_))).count();
        }
        assert_eq!(asked, most, "in two seconds, from {directory}");
    }
}

#[test]
fn the_only_watcher_of_all_knows_by_what_others_say_that_they_know_the_same_boxes() {
    let mut watcher = Peers::new(address(1), profile(), &[address(1), address(2)]);
    let mut other = Peers::new(address(2), profile(), &[address(1), address(2)]);
    let mut posts: Vec<(u8, Action)> = Vec::new();
    // Nobody else ever watches, so that the watcher hears no heartbeat.
    for now in (0..5_000).step_by(100) {
        posts.extend(watcher.tick(now).into_iter().map(|action| (1, action)));
        posts.extend(
            other.tick(now).into_iter().filter(|a| !matches!(a, Action::SetWatching(_))).map(|action| (2, action)),
        );
        while let Some((from, action)) = posts.pop() {
            let Action::Send(_, message) = action else { continue };
            if from == 2 && matches!(message, Message::Heartbeat(_)) {
                continue;
            }
            let (to, receiver) = if from == 1 { (2, &mut other) } else { (1, &mut watcher) };
            posts.extend(receiver.handle(address(from), message, now).into_iter().map(|action| (to, action)));
        }
    }
    assert!(other.has_converged(), "by the watcher's heartbeats");
    assert!(watcher.has_converged(), "by what the other says");
}

#[test]
fn what_is_of_a_later_era_is_newer_though_its_revision_is_lower() {
    let later = Position::new(1, 30);
    let holding = KnownVersions { table: 5, table_until: at(40), directory: at(60), ..KnownVersions::default() };
    assert!(heard(&holding, 5, later).contains(&Action::TableUntil(later)));
    let mut peers = Peers::new(address(1), profile(), &[]);
    peers.set_known_versions(holding.clone());
    let welcome = Message::Welcome { table: 5, directory: later, evacuations: Evacuations::default() };
    assert!(peers.handle(address(2), welcome, 0).contains(&Action::RequestDirectory(address(2))));
    // On top of a list of the former era the changes make no list.
    let changes = |since, until| Message::Changes { since, until, packed: vec![1] };
    let asks = peers.handle(address(3), changes(later, Position::new(1, 31)), 5_000);
    assert!(asks.contains(&Action::RequestDirectory(address(3))) && asks.len() == 1, "{asks:?}");
    peers.set_known_versions(KnownVersions { directory: later, ..holding });
    assert!(peers.handle(address(3), changes(at(60), at(61)), 10_000).is_empty(), "what is of a former era is over");
    let taken = peers.handle(address(3), changes(later, Position::new(1, 31)), 10_000);
    assert_eq!(taken, [Action::Changes(vec![1], Position::new(1, 31))]);
}

/// How many boxes are of a box's hall was counted anew for each of them at each look, ten times a second: 1
/// ms of a core with 585 boxes, and 4 ms with 1,170. It is kept now, and must go by what boxes say of their
/// halls last.
#[test]
fn heartbeats_are_rarer_by_the_boxes_that_are_of_the_hall_now() {
    let pause = |peers: &mut Peers, from: u64| -> u64 {
        let beats = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Send(_, Message::Heartbeat(_))));
        let times: Vec<u64> = (from..from + 5_000).step_by(20).filter(|now| beats(&peers.tick(*now))).collect();
        times[2] - times[1]
    };
    let mut peers = Peers::new(address(1), profile(), &[]);
    let boxes = (2..82).map(|index| (address(index), profile()));
    peers.handle(address(2), Message::Members(Roster::new(boxes)), 0);
    assert_eq!(pause(&mut peers, 0), 800, "80 others");
    let elsewhere = Profile { hall: "there".to_owned(), capacity: 250 };
    for index in 2..62 {
        peers.handle(address(index), Message::Hello { profile: elsewhere.clone(), members: 0 }, 6_000);
    }
    assert_eq!(pause(&mut peers, 6_000), 400, "20 others");
}
