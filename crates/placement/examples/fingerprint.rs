//! Measures the time to compute the fingerprint of a request: `cargo run --release -p placement --example
//! fingerprint`.

use placement::Fingerprint;
use std::hint::black_box;
use std::time::Instant;

const ROUNDS: u32 = 20_000;

fn main() {
    for bytes in [0, 1_000, 20_000, 100_000] {
        let body = vec![7; bytes];
        let began = Instant::now();
        for _ in 0..ROUNDS {
            let fields: [&[u8]; 5] = [b"POST", b"a.example", b"/v1/chat/completions", b"lender", black_box(&body)];
            black_box(Fingerprint::of(1, &fields));
        }
        println!("{bytes} bytes: {:?} a request", began.elapsed() / ROUNDS);
    }
}
