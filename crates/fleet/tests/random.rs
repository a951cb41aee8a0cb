//! Random simulations with fixed seeds: no box returns to an older release, and all boxes converge on the
//! latest one.

mod world;

use catalog::Release;
use fleet::State;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use world::{release, Faults, World};

fn faults() -> impl Strategy<Value = Faults> {
    (0..200u32, 0..100u32, 1..300u64, 0..6u32, 0..4u32, 0..600u32).prop_map(
        |(lost, duplicated, delay_ms, pauses, restarts, stale)| Faults {
            lost,
            duplicated,
            delay_ms,
            pauses,
            restarts,
            stale,
        },
    )
}

#[test]
fn releases_never_go_back_and_all_boxes_converge_on_the_latest() {
    let config = Config { cases: 40, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]));
    let result = runner.run(&(any::<u64>(), 2..7usize, faults()), |(seed, boxes, faults)| {
        let mut world = World::new(seed, boxes, faults);
        for number in 1..8 {
            // Two operators may publish the same number.
            world.published.push(release(number, number * 10));
            if number % 3 == 0 {
                world.published.push(release(number, number * 10 + 1));
            }
            (0..100).for_each(|_| world.step());
        }
        world.faults = Faults { lost: 0, duplicated: 0, delay_ms: 5, pauses: 0, restarts: 0, stale: 0 };
        world.published.push(release(8, 80));
        (0..800).for_each(|_| world.step());
        prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
        let latest = world.published.iter().map(Release::id).max();
        for node in &world.nodes {
            prop_assert_eq!(node.releases.release_id(), latest, "{} has an older release", node.peer.name);
            let dead = node.detector.members().filter(|m| m.state != State::Alive).count();
            prop_assert_eq!(dead, 0, "{} considers {} live boxes not alive", node.peer.name, dead);
        }
        Ok(())
    });
    if let Err(failure) = result {
        panic!("{failure}");
    }
}
