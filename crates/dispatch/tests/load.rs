//! Waits and shares under load, in virtual time.

mod common;

use common::{dispatcher, Ideal, Load, Servers, DELAY_MS, MAX_WAIT_MS};
use std::collections::HashMap;

const SERVERS: Servers = &[(6, 120.0), (6, 180.0), (6, 300.0), (6, 200.0)];

const FLEETS: [Servers; 3] = [
    &[(6, 120.0), (6, 180.0), (6, 300.0)],
    &[(6, 100.0), (6, 150.0), (4, 240.0), (8, 200.0)],
    &[(2, 90.0), (6, 120.0), (6, 200.0), (6, 260.0), (4, 150.0), (6, 220.0)],
];

/// Returns the rates of customers that make up a load, given in proportion.
fn rates(parts: &[f64], load: f64) -> Vec<f64> {
    parts.iter().map(|part| load * part / parts.iter().sum::<f64>()).collect()
}

fn compare_with_one_queue(boxes: usize) {
    let parts: Vec<f64> = (1..=24).map(|rank| 1.0 / f64::from(rank)).collect();
    for servers in FLEETS {
        for load in [0.5, 0.7, 0.85, 1.0, 1.2, 1.5] {
            let played = Load { servers, boxes, rates: &rates(&parts, load), urgencies: 3, seconds: 120 };
            let arrivals = played.arrivals(boxes as u64);
            let (waits, over) = played.play(&arrivals, &mut dispatcher(servers), DELAY_MS);
            let free = servers.to_vec();
            let mut ideal = Ideal { free, waiting: Vec::new(), tags: HashMap::new(), served: [0; 10] };
            let p99s = [&waits, &played.play(&arrivals, &mut ideal, 0).0].map(|waits| {
                let mut granted: Vec<u64> = waits.iter().flatten().copied().collect();
                granted.sort_unstable();
                granted[granted.len() * 99 / 100]
            });
            println!("{boxes} boxes, {} servers, load {load}: {} ms, ideal {} ms", servers.len(), p99s[0], p99s[1]);
            assert!(p99s[0] as f64 <= 1.5 * p99s[1] as f64, "{boxes} boxes, load {load}: {p99s:?} ms");
            assert!(waits.iter().flatten().all(|wait| *wait <= u64::from(MAX_WAIT_MS) + 2 * DELAY_MS));
            assert_eq!(over, 0, "requests beyond the slots of a server");
        }
    }
}

/// Guards against waits that one central queue wouldn't have, and against servers that get more than their slots.
#[test]
fn waits_of_8_boxes_are_those_of_one_queue() {
    compare_with_one_queue(8);
}

/// The same with more boxes than slots, so that single boxes know little.
#[test]
fn waits_of_87_boxes_are_those_of_one_queue() {
    compare_with_one_queue(87);
}

/// The same with many boxes that have a request now and then.
#[test]
fn waits_of_300_boxes_are_those_of_one_queue() {
    compare_with_one_queue(300);
}

/// Returns the most that a customer gets of `total` if shared by max-min.
fn fair_level(mut demands: Vec<f64>, mut total: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    for (index, demand) in demands.iter().enumerate() {
        let level = total / (demands.len() - index) as f64;
        if *demand >= level {
            return level;
        }
        total -= demand;
    }
    f64::INFINITY
}

fn compare_with_usual(parts: &[f64], seed: u64) {
    let usual = rates(parts, 0.95);
    let cases: [&[(usize, f64)]; 5] =
        [&[(2, 6.0)], &[(2, 9.0)], &[(0, 9.0)], &[(2, 6.0), (5, 6.0)], &[(2, 9.0), (5, 9.0)]];
    for (seed, factors) in (seed..).zip(cases) {
        let play = |rates: &[f64]| {
            let load = Load { servers: SERVERS, boxes: 87, rates, urgencies: 1, seconds: 60 };
            let arrivals = load.arrivals(seed);
            let (waits, _) = load.play(&arrivals, &mut dispatcher(SERVERS), DELAY_MS);
            let (mut served, mut demand) = (vec![0.0; rates.len()], vec![0.0; rates.len()]);
            for (arrival, wait) in arrivals.iter().zip(waits) {
                demand[arrival.customer] += arrival.size;
                served[arrival.customer] += wait.map_or(0.0, |_| arrival.size);
            }
            (served, demand)
        };
        let mut heavy = usual.clone();
        factors.iter().for_each(|(customer, factor)| heavy[*customer] *= factor);
        let ((before, _), (with, demand)) = (play(&usual), play(&heavy));
        let level = fair_level(demand, with.iter().sum());
        let ratios: Vec<f64> = with.iter().zip(&before).map(|(with, before)| with / before).collect();
        println!("{factors:?}: {ratios:.3?}");
        for (customer, ratio) in ratios.iter().enumerate() {
            // What a customer had may exceed its max-min share once another one asks for more.
            let others = 0.95 * (level / before[customer]).min(1.0);
            let least = if heavy[customer] > usual[customer] { 1.0 } else { others };
            assert!(*ratio >= least, "{factors:?}, customer {customer}: {ratio} of before, at least {least}");
        }
    }
}

/// Guards against a customer that takes slots from others of its class, or loses its own share by asking for more.
#[test]
fn heavy_customers_take_nothing_from_others() {
    compare_with_usual(&[1.0; 24], 200);
    compare_with_usual(&(0..24).map(|customer| f64::from(1 + customer % 3)).collect::<Vec<_>>(), 100);
}

/// Guards against a collapse in which slots go to requests that are no longer useful.
#[test]
fn overload_keeps_throughput() {
    let completions = |load| {
        let load = Load { servers: SERVERS, boxes: 87, rates: &rates(&[1.0; 24], load), urgencies: 3, seconds: 60 };
        load.play(&load.arrivals(7), &mut dispatcher(SERVERS), DELAY_MS).0.iter().flatten().count() as f64
    };
    for load in [2.0, 3.0] {
        let ratio = completions(load) / completions(1.0);
        println!("load {load}: {ratio:.3} of the completions at load 1");
        assert!(ratio >= 0.9, "load {load}: {ratio}");
    }
}
