//! Boxes that are killed together and return one by one, with trouble of the store and of servers at the same time.

use platform_lab::{config_json, start_boxes, Call, Process, Reply, Servers, Store, StoreMode};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::path::Path;
use std::time::{Duration, Instant};

/// Halls of the boxes and of the servers, like those of a small deployment.
const BOX_HALLS: [&str; 7] = ["a", "a", "a", "b", "b", "c", "c"];
const HALLS: [&str; 3] = ["a", "b", "c"];

/// Time after the boxes' return within which service is back: `recoverS` of the users' small sites.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Share of requests that must be served from then on.
const MIN_SERVED: f64 = 0.25;

/// Requests to each box while the share is measured.
const REQUESTS: usize = 20;

/// First seed and number of seeds, for runs by hand.
const FIRST_SEED: &str = "RECOVERY_FIRST_SEED";
const SEEDS: &str = "RECOVERY_SEEDS";

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok().map(|text| text.parse().expect("a number"))
}

fn is_served(one: &Process, id: &str) -> bool {
    let call = Call { id: id.to_owned(), method: "GET", path: "/x/good".to_owned(), ..Call::default() };
    matches!(call.send(one.callers), Reply::Complete { status: 200, .. })
}

/// Returns the share of requests that are served, and prints it by box.
fn share_served(boxes: &[Process], name: &str) -> f64 {
    let served: Vec<usize> = std::thread::scope(|scope| {
        let count = |(index, one)| {
            scope.spawn(move || (0..REQUESTS).filter(|n| is_served(one, &format!("{name}-{index}-{n}"))).count())
        };
        let counts: Vec<_> = boxes.iter().enumerate().map(count).collect();
        counts.into_iter().map(|count| count.join().expect("a count")).collect()
    });
    println!("{name}: {served:?} of {REQUESTS} at each box");
    served.iter().sum::<usize>() as f64 / (REQUESTS * boxes.len()) as f64
}

/// Kills all boxes, or those of some halls, and lets them return in any order, some of them twice. Meanwhile the store or
/// some servers are in trouble, which ends before the last box returns.
fn play(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let store = Store::start();
    store.put("op/config", &config_json(3, "/x/"));
    let servers = Servers::start(&store, &HALLS, 3);
    let mut boxes = start_boxes(Path::new(env!("CARGO_BIN_EXE_cleatshelf")), &["route"], &store, &BOX_HALLS);
    assert!(share_served(&boxes, "before") >= MIN_SERVED);
    let copy = store.snapshot();
    store.put("op/config", &config_json(5, "/x/"));
    let killed: Vec<usize> = match rng.random_range(0..3) {
        0 => (0..boxes.len()).filter(|index| BOX_HALLS[*index] != "a").collect(),
        _ => (0..boxes.len()).collect(),
    };
    let mode = [StoreMode::Available, StoreMode::Unavailable, StoreMode::Unresponsive, StoreMode::ServersUnavailable]
        [rng.random_range(0..4)];
    let restores = rng.random_bool(0.3);
    let crashed = rng.random_range(0..5);
    println!("seed {seed}: killed {killed:?}, store {mode:?}, restored {restores}, {crashed} servers crash");
    killed.iter().for_each(|index| boxes[*index].kill());
    store.set_mode(mode);
    (0..crashed).for_each(|index| servers.crash(index));
    let began = Instant::now();
    let store_back = Duration::from_millis(rng.random_range(0..5_000));
    let mut returns: Vec<(Duration, usize)> = Vec::new();
    for index in &killed {
        let at = Duration::from_millis(rng.random_range(0..4_000));
        returns.push((at, *index));
        if rng.random_bool(0.2) {
            returns.push((at + Duration::from_millis(rng.random_range(50..1_500)), *index));
        }
    }
    returns.shuffle(&mut rng);
    returns.sort_by_key(|(at, _)| *at);
    let mut is_back = false;
    let restore = |is_back: &mut bool| {
        if !std::mem::replace(is_back, true) {
            if restores {
                store.restore(&copy);
            }
            store.set_mode(StoreMode::Available);
        }
    };
    for (at, index) in returns {
        while began.elapsed() < at {
            if began.elapsed() >= store_back {
                restore(&mut is_back);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        boxes[index].restart();
    }
    restore(&mut is_back);
    for key in store.lost_keys() {
        store.rewrite(&key);
    }
    std::thread::sleep(RECOVERY_TIME);
    let share = share_served(&boxes, "after");
    if share < MIN_SERVED {
        for (index, one) in boxes.iter().enumerate() {
            println!("log of box {index}:\n{}", one.log());
        }
    }
    assert!(share >= MIN_SERVED, "seed {seed}: {share:.2} of requests are served");
}

/// Guards against boxes that return and do not serve. By hand: `RECOVERY_FIRST_SEED=1 RECOVERY_SEEDS=50`.
#[test]
fn service_is_back_after_boxes_were_killed_together() {
    let first = number(FIRST_SEED).unwrap_or(1);
    for seed in first..first + number(SEEDS).unwrap_or(1) {
        play(seed);
    }
}
