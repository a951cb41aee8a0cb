//! Limits on the slots of one server.

use catalog::Catalog;
use policy::{Load, Report, Server, Time};

const CLASSES: &str = "key_salt='s'\n[[class]]\nname='hotline'\nrank=0\nurgent=true\nfirst_token_ms=5000\n";
const UPSTREAMS: &str = "[[upstream]]\nname='s1'\nhall='h'\nmodel='m'\naddress='127.0.0.1:1'\nslots=2\nresume=true\n";

fn server(slots: u32) -> Server {
    let catalog = Catalog::parse(&[("classes", CLASSES), ("upstreams", UPSTREAMS)]).expect("a good release");
    let upstream = catalog.pools.values().flatten().next().expect("one upstream");
    Server::new(upstream, slots)
}

fn failed() -> Report {
    Report { failed: true, ..Report::default() }
}

/// Guards against a box that grants a slot at a server of which its share has none, after a load report or failures.
#[test]
fn a_share_without_slots_grants_none_after_load_reports_and_failures() {
    for (slots, lowest) in [(0, 0), (2, 1)] {
        let mut server = server(slots);
        for second in 1..20 {
            server.record_load(Load { running: 9, waiting: 9, leaving: false }, Time(second * 1_000));
            assert!((lowest..=slots).contains(&server.free_slots(Time(second * 1_000))), "{slots} slots after loads");
        }
        for _ in 0..10 {
            let _ = server.record_report(&failed(), Time(30_000));
        }
        let later = Time(10_000_000);
        assert_eq!(server.free_slots(later), lowest, "{slots} slots after failures");
    }
}
