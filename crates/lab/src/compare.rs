//! Comparison of the scheduling modes under the same load and faults.

use crate::load::{run_load, LoadRun};
use crate::{Deployment, DeploymentSpec, LoadReport, Profile};
use std::path::Path;
use std::time::Duration;

/// One run of a comparison.
#[derive(Clone, Debug)]
pub struct ComparisonCase {
    /// Scheduling mode.
    pub scheduling_mode: String,
    /// Load as a multiple of capacity.
    pub load: f64,
    /// Makes one engine ten times slower from the end of the first third of the run on, and keeps another
    /// one crashed during the second third.
    pub faults: bool,
}

/// Runs one case on a new deployment.
///
/// # Errors
/// If the boxes can't be started or don't become ready.
pub async fn run_case(
    case: &ComparisonCase,
    plan: &DeploymentSpec,
    profile: &Profile,
    program: &Path,
) -> eyre::Result<LoadReport> {
    let plan = DeploymentSpec { scheduling_mode: case.scheduling_mode.clone(), ..plan.clone() };
    let deployment = Deployment::start(plan, program)?;
    if !deployment.wait_until_ready(Duration::from_secs(20)).await {
        eyre::bail!("the boxes did not become ready");
    }
    let profile = profile.clone().scaled(case.load);
    let faults = case.faults.then(|| {
        let (slow, crash) = (deployment.engines[0].1.clone(), deployment.engines[4].1.clone());
        let third = Duration::from_secs_f64(profile.seconds / 3.0);
        actix_rt::spawn(async move {
            tokio::time::sleep(third).await;
            slow.set_slowness_percent(1_000);
            crash.crash();
            tokio::time::sleep(third).await;
            crash.restart();
        })
    });
    let name = format!("{}{}", case.scheduling_mode, if case.faults { "+faults" } else { "" });
    let before = deployment.generated_tokens();
    let load = LoadRun { name: &name, profile: &profile, addresses: deployment.caller_addresses(), progress: true };
    let mut report = run_load(load).await;
    if let Some(faults) = faults {
        faults.abort();
    }
    report.load = case.load;
    add_server_totals(&mut report, &deployment, before).await;
    Ok(report)
}

/// Adds the totals counted by engines and boxes to the report.
pub async fn add_server_totals(report: &mut LoadReport, deployment: &Deployment, generated_before: u64) {
    report.generated = deployment.generated_tokens() - generated_before;
    let undelivered = report.generated.saturating_sub(report.delivered);
    report.wasted = if report.generated == 0 { 0.0 } else { undelivered as f64 / report.generated as f64 };
    report.broken = deployment.invariant_violations().await;
}
