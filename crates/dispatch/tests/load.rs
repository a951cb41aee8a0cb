//! Waits and shares under load, in virtual time.

mod common;

use common::{dispatcher, Ideal, Load, DELAY_MS, MAX_WAIT_MS};

fn p99(waits: &[Option<u64>]) -> f64 {
    let mut granted: Vec<u64> = waits.iter().flatten().copied().collect();
    granted.sort_unstable();
    granted[granted.len() * 99 / 100] as f64
}

const FLEETS: [&[(u32, f64)]; 3] = [
    &[(6, 120.0), (6, 180.0), (6, 300.0)],
    &[(6, 100.0), (6, 150.0), (4, 240.0), (8, 200.0)],
    &[(2, 90.0), (6, 120.0), (6, 200.0), (6, 260.0), (4, 150.0), (6, 220.0)],
];

fn compare_with_one_queue(boxes: usize) {
    let rates: Vec<f64> = (1..=24).map(|rank| 1.0 / f64::from(rank)).collect();
    for servers in FLEETS {
        for load in [0.5, 0.7, 0.85, 1.0, 1.2, 1.5] {
            let load = Load { servers, boxes, rates: &rates, load, factors: &[], urgencies: 3, seconds: 120 };
            let arrivals = load.arrivals(boxes as u64);
            let (waits, over) = load.play(&arrivals, &mut dispatcher(servers), DELAY_MS);
            let (ideal, _) = load.play(&arrivals, &mut Ideal::new(servers), 0);
            let (wait, ideal) = (p99(&waits), p99(&ideal));
            println!("{boxes} boxes, {} servers, load {}: {wait} ms, ideal {ideal} ms", servers.len(), load.load);
            assert!(wait <= 1.5 * ideal, "{boxes} boxes, load {}: {wait} ms, ideal {ideal} ms", load.load);
            assert!(waits.iter().flatten().all(|wait| *wait <= u64::from(MAX_WAIT_MS) + 2 * DELAY_MS));
            assert_eq!(over, 0);
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

const SERVERS: [(u32, f64); 4] = [(6, 120.0), (6, 180.0), (6, 300.0), (6, 200.0)];

/// Returns the largest amount that a customer gets of `total` if shared by max-min.
fn fair_level(demands: &[f64], total: f64) -> f64 {
    let mut sorted = demands.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (mut left, mut customers) = (total, sorted.len() as f64);
    for demand in sorted {
        if demand * customers >= left {
            return left / customers;
        }
        (left, customers) = (left - demand, customers - 1.0);
    }
    f64::INFINITY
}

fn compare_with_usual(rates: &[f64], seed: u64) {
    let usual = Load { servers: &SERVERS, boxes: 87, rates, load: 0.95, factors: &[], urgencies: 1, seconds: 60 };
    let cases: [&[(usize, f64)]; 5] =
        [&[(2, 6.0)], &[(2, 9.0)], &[(0, 9.0)], &[(2, 6.0), (5, 6.0)], &[(2, 9.0), (5, 9.0)]];
    for (seed, factors) in (seed..).zip(cases) {
        let shares = |load: &Load<'_>| {
            let arrivals = load.arrivals(seed);
            let (waits, _) = load.play(&arrivals, &mut dispatcher(&SERVERS), DELAY_MS);
            let (mut served, mut demand) = (vec![0.0; rates.len()], vec![0.0; rates.len()]);
            for (arrival, wait) in arrivals.iter().zip(waits) {
                demand[arrival.customer] += arrival.size;
                served[arrival.customer] += if wait.is_some() { arrival.size } else { 0.0 };
            }
            (served, demand)
        };
        let ((before, _), (with, demand)) = (shares(&usual), shares(&Load { factors, ..usual }));
        let level = fair_level(&demand, with.iter().sum());
        let ratios: Vec<f64> = with.iter().zip(&before).map(|(with, before)| with / before).collect();
        println!("{factors:?}: {ratios:.3?}");
        for (customer, ratio) in ratios.iter().enumerate() {
            let heavy = factors.iter().any(|(heavy, _)| *heavy == customer);
            // What a customer had may exceed its max-min share once another one asks for more.
            let least = if heavy { 1.0 } else { 0.95 * (level / before[customer]).min(1.0) };
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
    let rates = [1.0; 24];
    let completions = |load| {
        let load = Load { servers: &SERVERS, boxes: 87, rates: &rates, load, factors: &[], urgencies: 3, seconds: 60 };
        load.play(&load.arrivals(7), &mut dispatcher(&SERVERS), DELAY_MS).0.iter().flatten().count() as f64
    };
    let fits = completions(1.0);
    for load in [2.0, 3.0] {
        let ratio = completions(load) / fits;
        println!("load {load}: {ratio:.3} of the completions at load 1");
        assert!(ratio >= 0.9, "load {load}: {ratio}");
    }
}
