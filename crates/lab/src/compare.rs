//! The ways of deciding, run against each other under the same load and faults.

use crate::load::{run_load, Load};
use crate::{Deployment, Plan, Profile, Report};
use std::path::Path;
use std::time::Duration;

/// One run to be compared.
#[derive(Clone, Debug)]
pub struct Case {
    /// How requests find a server.
    pub way: String,
    /// Load as a multiple of capacity.
    pub load: f64,
    /// One engine is ten times slower from a third of the run on, and another crashes and comes back.
    pub faults: bool,
}

/// Runs one case on a new deployment.
///
/// # Errors
/// When the boxes can't be started or don't become ready.
pub async fn compare(case: &Case, plan: &Plan, profile: &Profile, program: &Path) -> eyre::Result<Report> {
    let plan = Plan { way: case.way.clone(), ..plan.clone() };
    let deployment = Deployment::start(plan, program)?;
    if !deployment.settled(Duration::from_secs(20)).await {
        eyre::bail!("the boxes did not become ready");
    }
    let profile = profile.clone().scaled(case.load);
    let faults = case.faults.then(|| {
        let (slow, crash) = (deployment.engines[0].1.clone(), deployment.engines[4].1.clone());
        let third = Duration::from_secs_f64(profile.seconds / 3.0);
        actix_rt::spawn(async move {
            tokio::time::sleep(third).await;
            slow.slow(1_000);
            crash.crash();
            tokio::time::sleep(third).await;
            crash.restart();
        })
    });
    let name = format!("{}{}", case.way, if case.faults { "+faults" } else { "" });
    let before = deployment.generated();
    let load = Load { name: &name, profile: &profile, doors: deployment.doors(), progress: true };
    let mut report = run_load(load).await;
    if let Some(faults) = faults {
        faults.abort();
    }
    report.load = case.load;
    account(&mut report, &deployment, before).await;
    Ok(report)
}

/// Adds what engines and boxes counted.
pub async fn account(report: &mut Report, deployment: &Deployment, generated_before: u64) {
    report.generated = deployment.generated() - generated_before;
    let lost = report.generated.saturating_sub(report.delivered);
    report.wasted = if report.generated == 0 { 0.0 } else { lost as f64 / report.generated as f64 };
    report.broken = deployment.broken().await;
}
