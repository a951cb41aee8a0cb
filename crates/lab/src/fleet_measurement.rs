//! Measures a fleet of real processes: time until releases are in force, cost of idle boxes and the effect
//! of a killed owner on callers.

use crate::client::{Caller, Outcome};
use crate::{Deployment, DeploymentSpec, RelayMode};
use serde::Serialize;
use std::path::Path;
use std::time::{Duration, Instant};

/// Releases published for each measurement.
const RELEASES: usize = 100;

/// Number of owners killed.
const OWNER_KILLS: usize = 3;

/// Hotline requests sent around the death of an owner.
const FAILOVER_CALLS: u64 = 150;
/// Interval between these requests.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Measurement time of idle boxes.
const IDLE_WINDOW: Duration = Duration::from_secs(10);

/// Maximum wait for boxes to become ready or for a release to be in force.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Measured figures of the fleet.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FleetReport {
    /// Number of boxes.
    pub boxes: usize,
    /// Milliseconds from publishing to in force on the last box: median, 99th percentile, maximum.
    pub in_force_ms: (u64, u64, u64),
    /// Like `in_force_ms`, while the boxes of one hall are disconnected from the platform.
    pub through_peers_ms: (u64, u64, u64),
    /// Calls per second to the platform of all boxes together, idle.
    pub platform_calls: f64,
    /// Bytes of frames per second sent by a box, idle.
    pub idle_bytes: f64,
    /// Messages per second sent by a box, idle.
    pub idle_messages: f64,
    /// Longest time in milliseconds to the first token of a hotline call through other boxes while an owner
    /// dies, one value for each killed owner.
    pub failover_worst_ms: Vec<u64>,
    /// Number of these calls without a complete answer.
    pub failover_lost: usize,
}

fn percentiles(mut times: Vec<u64>) -> (u64, u64, u64) {
    times.sort_unstable();
    let at = |hundredths: usize| times.get((times.len() * hundredths).div_ceil(100).max(1) - 1).copied().unwrap_or(0);
    (at(50), at(99), at(100))
}

async fn publish_and_time(deployment: &mut Deployment) -> eyre::Result<u64> {
    let started = Instant::now();
    let number = deployment.publish()?;
    if !deployment.wait_until(READY_TIMEOUT, |s| s.release >= number).await {
        eyre::bail!("release {number} did not come into force on all boxes");
    }
    Ok(started.elapsed().as_millis() as u64)
}

async fn measure_idle(deployment: &Deployment, report: &mut FleetReport) {
    let totals = |statuses: &[cleatshelf::Status]| {
        let bytes: u64 = statuses.iter().map(|s| s.sent_bytes).sum();
        let messages: u64 = statuses.iter().map(|s| s.sent_messages).sum();
        (bytes as f64, messages as f64)
    };
    let before = (totals(&statuses(deployment).await), deployment.platform.calls());
    tokio::time::sleep(IDLE_WINDOW).await;
    let after = (totals(&statuses(deployment).await), deployment.platform.calls());
    let box_seconds = IDLE_WINDOW.as_secs_f64() * report.boxes as f64;
    report.idle_bytes = (after.0 .0 - before.0 .0) / box_seconds;
    report.idle_messages = (after.0 .1 - before.0 .1) / box_seconds;
    report.platform_calls = (after.1 - before.1) as f64 / IDLE_WINDOW.as_secs_f64();
}

async fn statuses(deployment: &Deployment) -> Vec<cleatshelf::Status> {
    let mut statuses = Vec::new();
    for name in deployment.running_boxes() {
        statuses.extend(deployment.status(&name).await);
    }
    statuses
}

/// Kills the owner of the first hall's engines during hotline calls and starts it again.
async fn kill_owner(deployment: &mut Deployment, report: &mut FleetReport) -> eyre::Result<()> {
    let hall = deployment.spec.halls[0].0.clone();
    let owner = deployment
        .shard_owner(&hall, crate::MODEL)
        .await
        .ok_or_else(|| eyre::eyre!("no box owns the shard of {hall}"))?;
    let same_hall = deployment.boxes.values().filter(|b| b.peer.hall == hall && b.peer.name != owner);
    let addresses: Vec<_> = same_hall.map(|b| b.caller_address).collect();
    let mut calls = Vec::new();
    for i in 0..FAILOVER_CALLS {
        let address = addresses[i as usize % addresses.len()];
        calls.push(actix_rt::spawn(async move {
            let sent = Instant::now();
            let reply = Caller::new("large-1")
                .class("hotline")
                .non_repeatable()
                .complete(address, &format!("failover {i}"), 8)
                .await;
            let first = reply.times.first().map(|at| at.duration_since(sent).as_millis() as u64);
            first.filter(|_| reply.outcome == Outcome::Complete)
        }));
        if i == FAILOVER_CALLS / 3 {
            deployment.kill(&owner);
        }
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    let mut slowest = 0;
    for call in calls {
        match call.await {
            Ok(Some(first)) => slowest = slowest.max(first),
            _ => report.failover_lost += 1,
        }
    }
    report.failover_worst_ms.push(slowest);
    deployment.start_box(&owner)?;
    if !deployment.wait_until_ready(READY_TIMEOUT).await {
        eyre::bail!("the boxes did not become ready again");
    }
    Ok(())
}

/// Measures the default deployment.
///
/// # Errors
/// If boxes can't be started or don't become ready.
pub async fn measure_fleet(program: &Path) -> eyre::Result<FleetReport> {
    let plan = DeploymentSpec { with_relays: true, ..DeploymentSpec::default() };
    let mut deployment = Deployment::start(plan, program)?;
    if !deployment.wait_until_ready(READY_TIMEOUT).await {
        eyre::bail!("the boxes did not become ready");
    }
    let mut report = FleetReport { boxes: deployment.boxes.len(), ..FleetReport::default() };
    measure_idle(&deployment, &mut report).await;
    let mut times = Vec::new();
    for _ in 0..RELEASES {
        times.push(publish_and_time(&mut deployment).await?);
    }
    report.in_force_ms = percentiles(std::mem::take(&mut times));
    deployment.platform_relays[&deployment.spec.halls[0].0].set_mode(RelayMode::Cut);
    for _ in 0..RELEASES {
        times.push(publish_and_time(&mut deployment).await?);
    }
    report.through_peers_ms = percentiles(times);
    deployment.platform_relays[&deployment.spec.halls[0].0].set_mode(RelayMode::Pass(0));
    for _ in 0..OWNER_KILLS {
        kill_owner(&mut deployment, &mut report).await?;
    }
    Ok(report)
}
