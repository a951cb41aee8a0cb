//! Short soak test on real processes; `lab soak` runs longer ones.

mod common;

use common::program;
use lab::Soak;
use std::time::Duration;

/// Uses two halls with three boxes and two engines each.
#[actix_rt::test]
async fn nothing_wrong_comes_of_random_faults() {
    let soak = Soak { seed: 21, duration: Duration::from_secs(15) };
    let soaked = soak.run(program()).await.expect("boxes that become ready");
    assert!(soaked.violations.is_empty(), "{:#?}", soaked.violations);
    let faults: u64 = soaked.faults.values().sum();
    assert!(faults >= 5 && soaked.whole > 0, "{soaked:#?}");
    assert_eq!(
        soaked.sent,
        soaked.whole + soaked.not_run + soaked.failed + soaked.unreached,
        "every request has an end"
    );
}
