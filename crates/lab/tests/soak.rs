//! Short soak test on real processes; `lab soak` runs longer ones.

mod common;

use common::program;
use lab::Soak;
use std::time::Duration;

/// Uses two halls with three boxes and two engines each.
#[actix_rt::test]
async fn random_faults_violate_no_invariant() {
    let soak = Soak { seed: 21, duration: Duration::from_secs(15) };
    let report = soak.run(program()).await.expect("boxes that become ready");
    assert!(report.violations.is_empty(), "{:#?}", report.violations);
    let faults: u64 = report.faults.values().sum();
    assert!(faults >= 5 && report.whole > 0, "{report:#?}");
    assert_eq!(
        report.sent,
        report.whole + report.not_run + report.failed + report.unreached,
        "every request has an outcome"
    );
}
