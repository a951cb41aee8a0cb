//! Tests of the accounts by which customers beyond their fair share are shed first.

use placement::{CustomerReport, CustomerSums, CustomerWork, Customers};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

/// Returns the level at which the total of all `min(work, level)` is this share of the total.
fn exact_level(works: &[f64], served_ratio: f64) -> f64 {
    let served = works.iter().sum::<f64>() * served_ratio;
    let (mut low, mut high) = (0.0, works.iter().copied().fold(0.0, f64::max));
    for _ in 0..60 {
        let level = (low + high) / 2.0;
        let total: f64 = works.iter().map(|work| work.min(level)).sum();
        *(if total < served { &mut low } else { &mut high }) = level;
    }
    high
}

/// Steady work of customers on boxes. The part of a customer that a box gets ranges over a factor of 10 to the power of
/// `spread`. Returns the sum over boxes and a box that knows it.
fn run(rates: &[f64], boxes: u16, spread: f64, rng: &mut ChaCha8Rng) -> (CustomerReport, Customers) {
    let mut all = vec![Customers::default(); usize::from(boxes)];
    let mut sums = CustomerSums::default();
    for (customer, rate) in (0..).zip(rates) {
        let weights: Vec<f64> = all.iter().map(|_| rng.random_range(0.1..1.0_f64).powf(spread)).collect();
        for (of_box, weight) in all.iter_mut().zip(&weights) {
            let work = rate * 1e6 * weight / weights.iter().sum::<f64>();
            of_box.record(customer, work as u32, 0);
        }
    }
    for (number, of_box) in (0..).zip(&all) {
        sums.on_report(address(number), &of_box.report(4, 0), 0);
    }
    let sum = sums.sum(8, 0);
    all[0].apply(&sum, 0);
    (sum, all.swap_remove(0))
}

/// Guards against a heavy customer that isn't found because boxes see other parts of it, that loses its own share, or
/// that takes the others' share. What is served is the usual load.
#[test]
fn only_what_heavy_customers_have_beyond_their_share_is_excess() {
    // Four of 24 customers on each of seven boxes say less about the whole than on 87.
    for (seed, (boxes, heavy, tolerance)) in
        (0..).zip([(7, 6.0, 0.15), (87, 6.0, 0.1), (87, 9.0, 0.1), (585, 9.0, 0.1)].repeat(5))
    {
        for heavy_customers in 1..=2 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let usual: Vec<f64> = (0..24).map(|_| rng.random_range(0.5..2.0)).collect();
            let surge = |(customer, rate)| if customer < heavy_customers { rate * heavy } else { rate };
            let rates: Vec<f64> = usual.iter().copied().enumerate().map(surge).collect();
            let served_ratio = usual.iter().sum::<f64>() / rates.iter().sum::<f64>();
            let (sum, of_box) = run(&rates, boxes, 2.0, &mut rng);
            let level = exact_level(&rates, served_ratio);
            let total_error = f64::from(sum.total) / 1e6 / rates.iter().sum::<f64>() - 1.0;
            assert!(total_error.abs() < 0.01 && sum.count == 24, "seed {seed}: {sum:?}");
            for (customer, rate) in rates.iter().enumerate() {
                let kept = rate * (1.0 - of_box.excess(customer as u64, served_ratio, 0));
                let fair = rate.min(level);
                let context = format!("seed {seed}, {boxes} boxes, customer {customer}: {kept} of {fair}, {rates:?}");
                if customer >= heavy_customers {
                    assert!(kept >= 0.95 * fair, "{context}");
                    continue;
                }
                let listed = sum.heaviest.iter().find(|listed| listed.customer == customer as u64);
                let work = listed.map_or(0.0, |listed| f64::from(listed.work) / 1e6);
                assert!((work / rate - 1.0).abs() < 0.1, "{context}: {work}");
                assert!((kept / fair - 1.0).abs() < tolerance, "{context}");
            }
        }
    }
}

/// Guards against estimates that depend on which boxes happen to list a customer.
#[test]
fn sums_agree_with_the_exact_work_for_skewed_customers() {
    for (seed, (customers, skew)) in (0..).zip([(24, 0.5), (24, 0.8), (200, 0.5), (200, 0.8)].repeat(5)) {
        let rates: Vec<f64> = (1..=customers).map(|rank| f64::from(rank).powf(-skew)).collect();
        let (sum, _) = run(&rates, 87, 2.0, &mut ChaCha8Rng::seed_from_u64(seed));
        assert_eq!(sum.heaviest.len(), 8);
        for (rank, listed) in sum.heaviest.iter().enumerate() {
            let ratio = f64::from(listed.work) / 1e6 / rates[listed.customer as usize];
            // Most boxes don't list the others, so that these are estimated.
            let tolerance = if rank < 3 { 0.1 } else { 0.15 };
            assert!(
                (ratio - 1.0).abs() < tolerance,
                "seed {seed}, {customers} customers, skew {skew}: {ratio}, {rank}"
            );
        }
    }
}

/// Guards against shedding where nothing is short, against listed customers that are shed in place of equal ones that
/// no list has room for, and against the work at boxes that don't list a customer being lost where shares are even.
#[test]
fn equal_customers_have_no_excess() {
    for (spread, tolerance) in [(0.1, 0.1), (2.0, 0.15)] {
        let (sum, of_box) = run(&[1.0; 24], 87, spread, &mut ChaCha8Rng::seed_from_u64(1));
        assert!(sum.heaviest.iter().all(|listed| (f64::from(listed.work) / 1e6 - 1.0).abs() < tolerance), "{sum:?}");
        for customer in 0..25 {
            assert_eq!(of_box.excess(customer, 1.0, 0), 0.0);
            assert!(of_box.excess(customer, 0.3, 0) < 0.1);
        }
    }
}

/// Guards against memory that grows with the number of customers (measured by the sizes and capacities of the types),
/// and against light customers that take over an account and are taken for heavy ones.
#[test]
fn ten_thousand_customers_take_bounded_memory() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut customers = Customers::default();
    for now in 0..20_000 {
        customers.record(rng.random_range(1..10_000), 100, now);
        customers.record(0, 5, now);
    }
    assert!(customers.state_bytes() < 10_000, "{} bytes for one service", customers.state_bytes());
    let report = customers.report(4, 20_000);
    assert_eq!(report.heaviest[0].customer, 0);
    assert!((9_000..=11_000).contains(&report.heaviest[0].work), "{report:?}");
    assert!(report.heaviest[1].work < 500, "{report:?}");
    assert!(customers.excess(0, 0.9, 20_000) > 0.9);
    // A burst is followed within seconds, and forgotten as fast.
    assert!(customers.report(4, 26_000).total < report.total / 15);
    assert_eq!(customers.report(4, u64::MAX), CustomerReport::default());
}

/// Guards against shares that go by a dead box, an owner that hears few boxes, or an old sum.
#[test]
fn reports_and_sums_count_for_one_second() {
    let list = |work| CustomerReport { total: work + 50, count: 6, heaviest: vec![CustomerWork { customer: 7, work }] };
    let mut sums = CustomerSums::default();
    sums.on_report(address(1), &list(1_000), 0);
    sums.on_report(address(2), &list(500), 600);
    // A sum is reused for 50 ms.
    assert_eq!((sums.sum(8, 999).total, sums.sum(8, 1_049).total, sums.sum(8, 1_600).total), (1_600, 550, 0));
    let mut customers = Customers::default();
    customers.apply(&list(1_000), 0);
    customers.apply(&list(10), 500);
    assert!(customers.excess(7, 0.5, 999) > 0.5);
    assert_eq!((customers.excess(7, 0.5, 1_000), customers.excess(8, 0.5, 0)), (0.0, 0.0));
}

/// Guards against panics, ratios outside 0 to 1 and growing state, whatever other boxes report.
#[test]
fn hostile_reports_neither_panic_nor_grow_state() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut sums, mut customers) = (CustomerSums::default(), Customers::default());
        for _ in 0..50 {
            let work = |rng: &mut ChaCha8Rng| if rng.random() { u32::MAX } else { rng.random_range(0..30) };
            let entry = |rng: &mut ChaCha8Rng| CustomerWork { customer: rng.random_range(0..9), work: work(rng) };
            let heaviest = (0..rng.random_range(0..200)).map(|_| entry(&mut rng)).collect();
            let report = CustomerReport { total: work(&mut rng), count: rng.random(), heaviest };
            let now = if rng.random_bool(0.1) { rng.random() } else { u64::MAX - rng.random_range(0..1_000) };
            sums.on_report(address(rng.random_range(0..5)), &report, now);
            let sum = sums.sum(8, now);
            assert!(sum.heaviest.len() <= 8 && sum.heaviest.is_sorted_by(|a, b| a.work >= b.work), "seed {seed}");
            customers.record(rng.random(), work(&mut rng), now);
            customers.apply(if rng.random() { &sum } else { &report }, now);
            assert!(customers.state_bytes() < 10_000, "seed {seed}");
            for ratio in [rng.random_range(0.0..1.0), f64::NAN, -1.0, f64::INFINITY] {
                let excess = customers.excess(rng.random_range(0..9), ratio, now);
                assert!((0.0..=1.0).contains(&excess), "seed {seed}: {excess}");
            }
        }
    }
}

/// Guards against the work of a surge that counts for a second after newer sums with less work have come.
#[test]
fn a_sum_with_slightly_less_work_replaces_the_last_one() {
    let report = |heavy| CustomerReport {
        total: 1_000 + heavy,
        count: 10,
        heaviest: vec![CustomerWork { customer: 1, work: heavy }],
    };
    let mut customers = Customers::default();
    customers.apply(&report(900), 0);
    customers.apply(&report(100), 100);
    assert_eq!(customers.excess(1, 0.5, 100), 0.0);
}
