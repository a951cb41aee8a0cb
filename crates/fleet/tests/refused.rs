//! An invalid release is shown as refused on every box, including those that don't read the platform.

mod world;

use fleet::{Action, ReleaseSync};
use policy::Time;
use telemetry::Event;
use world::{release, Faults, World, STEP_MS};

/// Steps until every box must show it: the users' limit for a change is 12 s.
const STEPS: u64 = 12_000 / STEP_MS;

fn shows(releases: &ReleaseSync, number: u64) -> bool {
    releases.refused().any(|refused| refused.id.number == number)
}

#[test]
fn an_invalid_release_is_shown_by_boxes_that_do_not_read_the_platform() {
    let faults = Faults { lost: 100, duplicated: 50, delay_ms: 200, pauses: 0, restarts: 0, stale: 0 };
    let mut world = World::new(7, 8, faults);
    world.published.push(release(1, 10));
    (0..200).for_each(|_| world.step());
    let mut bad = release(2, 20);
    let text = b"no class file".to_vec();
    let digest = catalog::Digest::of(&text);
    bad.manifest.parts.insert("classes".into(), digest);
    bad.parts.insert(digest, text);
    bad.text = bad.manifest.render();
    world.published.push(bad);
    (0..STEPS).for_each(|_| world.step());
    for node in &world.nodes {
        assert!(shows(&node.releases, 2), "{} doesn't show it", node.peer.name);
        assert_eq!(node.releases.release_id().map(|o| o.number), Some(1));
    }
    // Reports of refused releases don't keep a valid release out.
    world.published.push(release(3, 30));
    (0..STEPS).for_each(|_| world.step());
    assert!(world.nodes.iter().all(|n| n.releases.release_id().map(|o| o.number) == Some(3)));
}

#[test]
fn a_release_in_force_is_not_shown_as_refused_if_other_boxes_refuse_it() {
    let mut releases = ReleaseSync::default();
    let good = release(1, 10);
    for action in releases.on_manifest_offered(&good.text, Time(1_000)) {
        if let Action::Fetch(_) = action {
            let parts: Vec<Vec<u8>> = good.parts.values().cloned().collect();
            releases.on_parts_fetched(&parts, Time(1_000));
        }
    }
    assert_eq!(releases.release_id(), Some(good.id()));
    let actions = releases.on_refused_elsewhere(good.id(), "made by a newer cleatshelf");
    assert!(actions.iter().any(|a| matches!(a, Action::Log(Event::ReleaseRefused, _))), "not logged: {actions:?}");
    assert!(!shows(&releases, 1));
    assert!(
        releases.on_refused_elsewhere(good.id(), "made by a newer cleatshelf").is_empty(),
        "a report is only logged once"
    );
}
