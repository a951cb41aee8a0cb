//! A long seeded random run on real processes: boxes killed and frozen, links cut and delayed, the
//! platform down, engines crashed, slowed and frozen, releases published, all under load.
//!
//! Afterwards every caller must have had one true end, and the stand-ins are asked what really ran.
//! Nothing here is a question of speed: a run that is slow still has to be right.

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

/// Time between two looks at what is due.
const STEP: Duration = Duration::from_millis(20);

/// Time that a plain service takes for a call, in milliseconds.
const SERVICE_MS: u64 = 100;

/// Longest wait for boxes to be ready, and for all to come to rest.
const REST_MOST: Duration = Duration::from_secs(60);

/// A random run.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    /// What the faults and requests are drawn from. Processes don't repeat exactly what they did.
    pub seed: u64,
    /// How long faults and requests come.
    pub duration: Duration,
}

impl Default for Soak {
    fn default() -> Self {
        Self { seed: 1, duration: Duration::from_secs(60) }
    }
}

/// What a run showed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SoakReport {
    /// What was drawn from.
    pub seed: u64,
    /// Seconds of faults and requests.
    pub seconds: u64,
    /// Faults brought about, by kind.
    pub faults: std::collections::BTreeMap<String, u64>,
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// Broken off, or failed after they may have run.
    pub failed: u64,
    /// Couldn't be brought to a box.
    pub unreached: u64,
    /// What must never happen, and did. Must be empty.
    #[serde(rename = "wrongs")]
    pub violations: Vec<String>,
}

impl Soak {
    /// Two halls of three boxes with relays between them, two engines and a plain service each.
    #[must_use]
    pub fn plan() -> DeploymentSpec {
        let halls = vec![("hall-lansing".into(), 3, 2, 1), ("hall-toledo".into(), 3, 2, 1)];
        DeploymentSpec { halls, with_relays: true, traffic_threads: 1, ..DeploymentSpec::default() }
    }

    /// Runs it.
    ///
    /// # Errors
    /// When the boxes can't be started or don't become ready at first.
    pub async fn run(&self, program: &Path) -> eyre::Result<SoakReport> {
        let mut deployment = Deployment::start(Self::plan(), program)?;
        if !deployment.wait_until_ready(REST_MOST).await {
            eyre::bail!("the boxes did not become ready");
        }
        // Long enough that some calls are under way when their service crashes.
        deployment.plain_services.iter().for_each(|(_, _, plain)| plain.set_delay_ms(SERVICE_MS));
        let mut faults = Faults::new(ChaCha8Rng::seed_from_u64(self.seed));
        let mut callers = Callers::new(&deployment, self.seed);
        let releases = ReleaseMonitor::start(&deployment);
        let began = Instant::now();
        while began.elapsed() < self.duration {
            faults.step(&mut deployment)?;
            callers.step();
            tokio::time::sleep(STEP).await;
        }
        faults.end(&mut deployment)?;
        let mut soaked = callers.end(&deployment).await;
        soaked.violations.extend(at_rest(&deployment).await);
        soaked.violations.extend(releases.finish());
        soaked.violations.extend(broken(&deployment));
        (soaked.seed, soaked.seconds) = (self.seed, self.duration.as_secs());
        soaked.faults = faults.counts;
        Ok(soaked)
    }
}

/// After the last fault all boxes are ready on the newest release and hold nothing.
async fn at_rest(deployment: &Deployment) -> Option<String> {
    let idle = |s: &cleatshelf::Status| {
        s.held == 0 && s.pending == 0 && s.running == 0 && s.shards.iter().all(|row| row.held == 0)
    };
    let rest = |s: &cleatshelf::Status| s.ready && s.release >= deployment.release_number && idle(s);
    if deployment.wait_until(REST_MOST, rest).await {
        return None;
    }
    let mut left = Vec::new();
    for name in deployment.running_boxes() {
        let Some(s) = deployment.status(&name).await else {
            left.push(format!("{name} doesn't answer"));
            continue;
        };
        let (held, pending, running) = (s.held, s.pending, s.running);
        left.push(format!("{name}: release {} ready {} {held} {pending} {running}", s.release, s.ready));
    }
    Some(format!("not at rest: {}", left.join("; ")))
}

/// Broken invariants that any life of a box logged.
fn broken(deployment: &Deployment) -> Vec<String> {
    let mut lines = Vec::new();
    for name in deployment.boxes.keys() {
        let log = deployment.log(name);
        lines.extend(log.lines().filter(|line| line.contains(" E9")).map(|line| format!("{name}: {line}")));
    }
    lines
}
