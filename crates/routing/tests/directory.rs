//! Changes, excerpts and evacuations of the list of servers.

use routing::{Change, Directory, Evacuations, Position, Server, Version};

/// A position in the first era.
fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

fn server(id: &str, draining: bool) -> Change {
    Change::Present(Server {
        id: id.to_owned(),
        name: id.to_owned(),
        service: "api".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        version: Version::new("v1"),
        hall: "hall".to_owned(),
        slots: 4,
        draining,
        cold_ms: 0,
    })
}

#[test]
fn changes_are_applied_in_order_and_the_position_never_decreases() {
    let mut directory = Directory::default();
    assert!(directory.apply(vec![server("a", false), server("b", false)], at(5)));
    assert!(directory.apply(vec![server("a", true), Change::Gone("b".to_owned())], at(7)));
    assert!(directory.servers["a"].draining);
    assert_eq!(directory.servers.len(), 1);
    assert!(!directory.apply(vec![server("a", true), Change::Gone("b".to_owned())], at(6)));
    assert_eq!(directory.position, at(7));
}

#[test]
fn servers_in_grace_period_stay_until_they_return_or_expire() {
    let mut directory = Directory::default();
    directory.apply(vec![server("a", false), server("b", false), server("c", true)], at(5));
    let lapsed = ["a", "b", "c", "d"].map(|id| Change::Lapsed(id.to_owned()));
    assert!(directory.apply(lapsed.into(), at(6)), "the draining server is removed");
    assert_eq!(directory.servers.keys().collect::<Vec<_>>(), ["a", "b"]);
    directory.apply(vec![server("a", false)], at(7));
    assert!(!directory.expire("a"), "the server has returned");
    assert!(directory.expire("b"));
    assert!(!directory.expire("b"));
    assert_eq!(directory.servers.keys().collect::<Vec<_>>(), ["a"]);
    assert!(directory.in_grace.is_empty());
}

#[test]
fn a_list_read_after_an_outage_retains_missing_servers_in_grace_period() {
    let mut former = Directory::default();
    former.apply(vec![server("a", false), server("b", true)], at(5));
    let mut read = Directory::default();
    read.apply(vec![server("z", false)], at(9));
    read.retain_missing(&former);
    assert_eq!(read.servers.keys().collect::<Vec<_>>(), ["a", "z"], "the draining server is removed");
    assert_eq!(read.in_grace.iter().collect::<Vec<_>>(), ["a"]);
    read.apply(vec![Change::Gone("a".to_owned())], at(10));
    assert_eq!((read.servers.len(), read.in_grace.len()), (1, 0));
}

#[test]
fn a_foreign_entry_replaces_the_server_of_its_name_without_grace_period() {
    let mut directory = Directory::default();
    directory.apply(vec![server("a", false), server("b", false)], at(5));
    assert!(directory.apply(vec![Change::Foreign("a".to_owned())], at(6)));
    assert_eq!(directory.servers.keys().collect::<Vec<_>>(), ["b"]);
    let mut read = Directory::default();
    read.apply(vec![Change::Foreign("b".to_owned())], at(7));
    read.retain_missing(&directory);
    assert!(read.servers.is_empty(), "a foreign entry exists and has not expired");
    assert!(read.apply(vec![server("b", false)], at(8)));
    assert!(read.foreign.is_empty());
}

#[test]
fn changes_since_a_former_list_turn_it_into_the_new_one() {
    let mut former = Directory::default();
    former.apply(vec![server("a", false), server("b", false), server("c", false), server("d", false)], at(5));
    former.apply(vec![Change::Foreign("x".to_owned()), Change::Foreign("y".to_owned())], at(5));
    let mut newer = Directory::default();
    newer.apply(vec![server("a", false), server("b", true), server("y", false)], at(9));
    newer.apply(vec![Change::Foreign("c".to_owned())], at(9));
    newer.retain_missing(&former);
    assert_eq!(newer.in_grace.iter().collect::<Vec<_>>(), ["d"]);
    let changes = newer.changes_since(&former);
    assert_eq!(changes.len(), 5, "unchanged entries are omitted: {changes:?}");
    former.apply(changes, newer.position);
    assert_eq!(former, newer);
}

#[test]
fn a_new_instance_replaces_the_one_of_the_same_name() {
    let instance = |id: &str| {
        let Change::Present(server) = server("a", false) else { unreachable!() };
        Change::Present(Server { id: id.to_owned(), ..server })
    };
    let mut directory = Directory::default();
    directory.apply(vec![instance("a@1")], at(5));
    assert!(directory.apply(vec![instance("a@2")], at(6)));
    assert_eq!(directory.instances().into_iter().collect::<Vec<_>>(), ["a@2"]);
}

#[test]
fn evacuations_of_an_older_revision_change_nothing() {
    let halls = |revision: u64, halls: &[&str]| {
        Evacuations::new(at(revision), halls.iter().map(|hall| (*hall).to_owned()).collect())
    };
    let mut known = Evacuations::default();
    assert!(known.merge(halls(5, &["a", "b"])));
    assert!(!known.merge(halls(4, &[])));
    assert!(!known.merge(halls(7, &["a", "b"])), "the same halls");
    assert!(known.merge(halls(8, &["b"])));
    assert!(!known.merge(halls(7, &["a", "b"])));
    assert_eq!(known, halls(8, &["b"]));
}

/// A list of `count` servers at a revision, the first `changed` of which are draining.
fn list(count: usize, changed: usize, revision: u64) -> Directory {
    let mut list = Directory::default();
    list.apply((0..count).map(|index| server(&format!("i-{index:010x}"), index < changed)).collect(), at(revision));
    list
}

#[test]
fn an_excerpt_turns_an_older_list_into_the_newer_one() {
    for (known, changed) in [(0, 0), (3_000, 1), (2_900, 30), (3_000, 3_000), (3_100, 5)] {
        let older = list(known, 0, 5);
        let mut newer = list(3_000, changed, 9);
        newer.apply(vec![Change::Foreign("odd".to_owned()), Change::Lapsed(format!("i-{:010x}", 2_999))], at(9));
        let excerpt = newer.excerpt(&older.digests()).expect("the list is newer");
        assert_eq!(older.with_excerpt(excerpt.clone()).expect("the base matches"), newer);
        let mut moved_on = older.clone();
        moved_on.apply(Vec::new(), at(6));
        assert_eq!(moved_on.with_excerpt(excerpt), None, "the excerpt was made for its previous position");
        assert_eq!(older.excerpt(&newer.digests()), None);
    }
}

#[test]
fn shorter_cold_starts_are_not_forwarded_but_changes_between_cold_and_warm_are() {
    let cold = |cold_ms: u32| {
        let Change::Present(server) = server("a", false) else { unreachable!() };
        Change::Present(Server { cold_ms, ..server })
    };
    for (before, after, forwarded) in
        [(3_000, 1_800, false), (1_800, 0, true), (0, 3_000, true), (500, 3_000, true), (0, 0, true)]
    {
        let mut directory = Directory::default();
        directory.apply(vec![cold(before)], at(5));
        assert_eq!(directory.changes_to_forward(vec![cold(after)]).len(), usize::from(forwarded), "{before} {after}");
    }
    let mut directory = Directory::default();
    directory.apply(vec![cold(3_000)], at(5));
    assert_eq!(directory.changes_to_forward(vec![server("a", true), Change::Gone("a".to_owned())]).len(), 2);
    directory.apply(vec![Change::Lapsed("a".to_owned())], at(6));
    assert_eq!(directory.changes_to_forward(vec![cold(1_000)]).len(), 1, "the server has returned");
}

#[test]
fn changes_of_which_some_are_already_known_lead_to_the_same_result() {
    // A peer sent the last of the changes first; then the publisher returns all of them from an older
    // revision on.
    let published = || vec![server("a", false), server("a", true), Change::Gone("b".to_owned()), server("b", false)];
    for known in
        [vec![], vec![server("a", true)], vec![server("b", false)], vec![server("a", false), server("b", true)]]
    {
        let mut directory = Directory::default();
        directory.apply(known, at(5));
        let forwarded = directory.changes_to_forward(published());
        directory.apply(forwarded, at(6));
        assert!(directory.servers["a"].draining, "a draining server must not be listed as active");
        assert!(!directory.servers["b"].draining);
    }
}

#[test]
fn changes_that_a_list_read_in_pages_had_ahead_of_its_position_are_forwarded() {
    // The list has the revision of its first page, and the second page was newer.
    let mut ahead = Directory::default();
    ahead.apply(vec![server("a", false), server("b", true)], at(5));
    let mut other = Directory::default();
    other.apply(vec![server("a", false), server("b", false)], at(5));
    other.apply(ahead.changes_to_forward(vec![server("b", true), server("c", false)]), at(7));
    assert!(other.servers["b"].draining);
}

#[test]
fn a_position_of_a_later_era_is_newer_regardless_of_its_revision() {
    let mut order = [Position::new(1, 3), at(900), Position::NONE, Position::new(2, 1), at(1)];
    order.sort();
    assert_eq!(order, [Position::NONE, at(1), at(900), Position::new(1, 3), Position::new(2, 1)]);
    assert!(Position::new(1, 3).restored_since(at(900)));
    assert!(!Position::new(1, 4).restored_since(Position::new(1, 3)));
    assert!(!Position::new(1, 3).restored_since(Position::NONE), "nothing was known before");
}

#[test]
fn lists_of_two_eras_with_the_same_revision_are_different() {
    let mut former = list(6, 0, 9);
    let mut restored = list(4, 2, 9);
    restored.position = Position::new(1, 9);
    assert!(former.excerpt(&restored.digests()).is_none(), "the restored list is newer");
    let excerpt = restored.excerpt(&former.digests()).expect("the list is newer");
    assert_eq!(former.with_excerpt(excerpt.clone()).expect("the base matches"), restored);
    // The excerpt was made for revision 9 of the former era, not of the later one.
    assert!(restored.with_excerpt(excerpt).is_none());
    former.apply(Vec::new(), at(10));
    assert_eq!(former.new_instances(&restored).len(), 2);
    assert!(restored.new_instances(&former).is_empty());
}

#[test]
fn evacuations_are_held_after_a_restore_until_they_are_written_again() {
    let halls = |position, names: &[&str]| Evacuations::new(position, names.iter().map(|n| (*n).to_owned()).collect());
    let restored = |revision| Position::new(1, revision);
    let names = |of: &Evacuations| of.evacuated_halls().into_iter().collect::<Vec<_>>().join(" ");
    // After the backup, the evacuation of "a" began and that of "b" ended; "c" is unchanged.
    let mut known = Evacuations::default();
    known.merge(halls(at(50), &["a", "c"]));
    assert!(known.merge(halls(restored(40), &["b", "c"])));
    assert_eq!(names(&known), "a b c");
    assert!(!known.merge(halls(at(51), &[])), "state of the former era is ignored");
    // Another box that knew less holds nothing; the two agree on the halls held by the first.
    let mut other = Evacuations::default();
    other.merge(halls(restored(40), &["b", "c"]));
    assert!(other.merge(known.clone()));
    assert_eq!(other, known);
    let mut late = other.clone();
    // The operator writes again: "a" is evacuated and later released, "b" is released.
    assert!(known.apply(vec![("a".to_owned(), true), ("b".to_owned(), false)], restored(42)));
    assert_eq!((names(&known).as_str(), known.held.len()), ("a c", 0));
    assert!(known.apply(vec![("a".to_owned(), false)], restored(43)));
    assert_eq!(names(&known), "c");
    // A box that receives this from others drops the held halls that were written, and does not take them
    // back from a box that still holds them.
    assert!(other.merge(known.clone()));
    assert_eq!(names(&other), "c");
    let mut still_held = halls(restored(43), &["c"]);
    still_held.held = late.held.clone();
    assert!(!other.merge(still_held));
    // If the operator never writes again, the published state applies after a while.
    assert!(late.drop_held());
    assert_eq!(names(&late), "b c");
    // A second restore before the first is settled: held halls remain held.
    let mut twice = Evacuations::default();
    twice.merge(halls(at(50), &["a"]));
    twice.merge(halls(restored(40), &[]));
    assert!(!twice.merge(halls(Position::new(2, 39), &[])));
    assert!(twice.is_evacuated("a"));
}

#[test]
fn a_hall_evacuated_while_the_publisher_is_unavailable_stays_evacuated() {
    let halls = |position, names: &[&str]| Evacuations::new(position, names.iter().map(|n| (*n).to_owned()).collect());
    // The evacuation was not known here before, and is in the first state after the restore.
    let mut known = Evacuations::default();
    known.merge(halls(at(17), &[]));
    assert!(known.merge(halls(Position::new(1, 30), &["b"])));
    assert!(known.is_evacuated("b"));
    // An evacuation that ended after the backup begins again.
    let mut renewed = Evacuations::default();
    renewed.merge(halls(at(50), &[]));
    renewed.merge(halls(Position::new(1, 40), &["a"]));
    let other = renewed.clone();
    for mut one in [renewed, other] {
        one.apply(vec![("a".to_owned(), true)], Position::new(1, 45));
        assert!(one.is_evacuated("a"));
    }
}

/// The digests are updated incrementally. If one were wrong, a box would receive parts that it already has,
/// or miss parts that it lacks.
#[test]
fn digests_depend_on_the_entries_and_not_on_their_history() {
    let mut list = Directory::default();
    let mut state = 7_u64;
    for round in 1..2_000 {
        // A linear congruential generator gives the same changes in each run.
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let name = format!("s{}", (state >> 33) % 60);
        let change = match (state >> 40) % 6 {
            0 => Change::Gone(name),
            1 => Change::Foreign(name),
            2 => Change::Lapsed(name),
            kind => server(&name, kind == 3),
        };
        list.apply(vec![change], at(round));
        let mut rebuilt = Directory::default();
        rebuilt.apply(list.servers.values().map(|server| Change::Present(Server::clone(server))).collect(), at(round));
        let foreign = list.foreign.iter().cloned().map(Change::Foreign);
        let lapsed = list.in_grace.iter().cloned().map(Change::Lapsed);
        rebuilt.apply(foreign.chain(lapsed).collect(), at(round));
        assert_eq!(list, rebuilt);
        assert_eq!(list.digests(), rebuilt.digests());
    }
}

#[test]
fn a_sample_is_usable_and_is_replaced_by_the_complete_list() {
    let mut sample = Directory::default();
    assert!(!sample.is_usable());
    let mut drawn = Directory::default();
    drawn.apply(vec![server("a", false), server("gone", false)], Position::NONE);
    assert!(sample.merge_sample(drawn.clone()));
    assert!(!sample.merge_sample(drawn), "no server has changed");
    assert!(sample.is_usable() && !sample.position.is_known());
    let mut complete = Directory::default();
    complete.apply(vec![server("a", false), server("b", true)], at(9));
    let excerpt = complete.excerpt(&Directory::default().digests()).expect("the list is newer");
    assert_eq!(Directory::default().with_excerpt(excerpt), Some(complete));
    let mut empty = Directory::default();
    empty.apply(Vec::new(), at(3));
    assert!(empty.is_usable(), "the list is known to be empty");
}
