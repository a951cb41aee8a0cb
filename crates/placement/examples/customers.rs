//! Measures the time to account for customers and to add up reports of boxes: `cargo run --release -p placement
//! --example customers`.

use placement::{CustomerSums, Customers, Shortage, ShortageSums};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

const ROUNDS: u32 = 20_000;
const CUSTOMERS: u64 = 10_000;

fn time<T>(what: &str, mut call: impl FnMut(u64) -> T) {
    let began = Instant::now();
    for round in 0..ROUNDS {
        black_box(call(round.into()));
    }
    println!("{what}: {:?}", began.elapsed() / ROUNDS);
}

fn main() {
    for boxes in [87_u16, 585] {
        let mut rng = ChaCha8Rng::seed_from_u64(u64::from(boxes));
        let (mut sums, mut shortages) = (CustomerSums::default(), ShortageSums::default());
        let (mut customers, mut shortage) = (Customers::default(), Shortage::default());
        for number in 0..boxes {
            (customers, shortage) = (Customers::default(), Shortage::default());
            for _ in 0..2_000 {
                let skewed = rng.random_range(0.0..1.0_f64).powi(4) * CUSTOMERS as f64;
                customers.record(skewed as u64, rng.random_range(1..4_000), 0);
                shortage.record(rng.random_range(0..10), 1_000, 0);
            }
            let from = SocketAddr::from(([10, 0, 0, 1], number));
            sums.on_report(from, &customers.report(4, 0), 0);
            shortages.on_report(from, &shortage.report(0), 0);
        }
        println!("{boxes} boxes");
        time("  CustomerSums::sum, computed", |round| sums.sum(8 - (round % 2) as usize, 0));
        time("  CustomerSums::sum, reused", |_| sums.sum(8, 0));
        time("  ShortageSums::sum", |_| shortages.sum(0));
        let mut own = customers.clone();
        time("  Customers::excess, own work", |_| own.excess(1, 0.5, 0));
        customers.apply(&sums.sum(8, 0), 0);
        time("  Customers::excess, sum", |_| customers.excess(1, 0.5, 0));
        time("  Customers::report", |_| customers.report(4, 0));
        time("  Customers::record", |round| own.record(round.wrapping_mul(7_919) % CUSTOMERS, 1_000, round));
        println!("  state of Customers: {} bytes", customers.state_bytes());
        time("  Shortage::shed_ratio", |_| shortage.shed_ratio(9, u32::MAX, true, 0));
    }
}
