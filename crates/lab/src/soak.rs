//! Soak test on real processes with seeded random faults under load: boxes are killed and frozen, links cut
//! and delayed, the platform stopped, engines crashed, slowed down and frozen, and releases published.
//!
//! Afterwards every request must have exactly one correct outcome, checked against the counts of the
//! stand-ins. Apart from long timeouts no check depends on speed: a slow run still has to be correct.

mod callers;
mod fault;

use crate::{Deployment, DeploymentSpec, ReleaseMonitor};
use callers::Callers;
use fault::Faults;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::path::Path;
use std::time::{Duration, Instant};

/// Interval between two steps of faults and callers.
const STEP_INTERVAL: Duration = Duration::from_millis(20);

/// Time that a plain service takes for a call.
const SERVICE_DELAY_MS: u64 = 100;

/// Maximum wait for boxes to become ready, and to become idle after the run.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Configuration of a soak test.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    /// Seed of the faults and requests. Runs with the same seed still differ in the timing of the processes.
    pub seed: u64,
    /// Time during which faults and requests are generated.
    pub duration: Duration,
}

impl Default for Soak {
    fn default() -> Self {
        Self { seed: 1, duration: Duration::from_secs(60) }
    }
}

/// Results of a soak test.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Duration of faults and requests in seconds.
    pub seconds: u64,
    /// Number of injected faults by kind.
    pub faults: std::collections::BTreeMap<String, u64>,
    /// Number of requests sent.
    pub sent: u64,
    /// Number of complete answers.
    pub whole: u64,
    /// Number of requests refused as not run.
    pub not_run: u64,
    /// Number of requests interrupted, or failed after they may have run.
    pub failed: u64,
    /// Number of requests for which no box could be reached.
    pub unreached: u64,
    /// Violated invariants. Must be empty.
    #[serde(rename = "wrongs")]
    pub violations: Vec<String>,
}

impl Soak {
    /// Returns two halls with relays between them, each with three boxes, two engines and a plain service.
    #[must_use]
    pub fn deployment_spec() -> DeploymentSpec {
        let halls = vec![("hall-lansing".into(), 3, 2, 1), ("hall-toledo".into(), 3, 2, 1)];
        DeploymentSpec { halls, with_relays: true, traffic_threads: 1, ..DeploymentSpec::default() }
    }

    /// Runs the soak test.
    ///
    /// # Errors
    /// If the boxes can't be started or don't become ready at the start.
    pub async fn run(&self, program: &Path) -> eyre::Result<SoakReport> {
        let mut deployment = Deployment::start(Self::deployment_spec(), program)?;
        if !deployment.wait_until_ready(READY_TIMEOUT).await {
            eyre::bail!("the boxes did not become ready");
        }
        // The delay is long enough for some calls to be in progress when their service crashes.
        deployment.plain_services.iter().for_each(|(_, _, plain)| plain.set_delay_ms(SERVICE_DELAY_MS));
        let mut faults = Faults::new(ChaCha8Rng::seed_from_u64(self.seed));
        let mut callers = Callers::new(&deployment, self.seed);
        let releases = ReleaseMonitor::start(&deployment);
        let started = Instant::now();
        while started.elapsed() < self.duration {
            faults.step(&mut deployment)?;
            callers.step();
            tokio::time::sleep(STEP_INTERVAL).await;
        }
        faults.end_all(&mut deployment)?;
        let mut report = callers.finish(&deployment).await;
        report.violations.extend(check_idle(&deployment).await);
        report.violations.extend(releases.finish());
        report.violations.extend(logged_violations(&deployment));
        (report.seed, report.seconds) = (self.seed, self.duration.as_secs());
        report.faults = faults.counts;
        Ok(report)
    }
}

/// Checks that after the last fault all boxes are ready with the newest release and hold no requests or
/// leases.
async fn check_idle(deployment: &Deployment) -> Option<String> {
    let idle = |s: &cleatshelf::Status| {
        s.held == 0 && s.pending == 0 && s.running == 0 && s.shards.iter().all(|row| row.held == 0)
    };
    let settled = |s: &cleatshelf::Status| s.ready && s.release >= deployment.release_number && idle(s);
    if deployment.wait_until(READY_TIMEOUT, settled).await {
        return None;
    }
    let mut busy = Vec::new();
    for name in deployment.running_boxes() {
        let Some(s) = deployment.status(&name).await else {
            busy.push(format!("{name} does not answer"));
            continue;
        };
        let (held, pending, running) = (s.held, s.pending, s.running);
        busy.push(format!(
            "{name}: release {} ready {} held {held} pending {pending} running {running}",
            s.release, s.ready
        ));
    }
    Some(format!("boxes not idle after the run: {}", busy.join("; ")))
}

/// Returns the invariant violations logged by any instance of a box.
fn logged_violations(deployment: &Deployment) -> Vec<String> {
    let mut lines = Vec::new();
    for name in deployment.boxes.keys() {
        let log = deployment.log(name);
        lines.extend(log.lines().filter(|line| line.contains(" E9")).map(|line| format!("{name}: {line}")));
    }
    lines
}
