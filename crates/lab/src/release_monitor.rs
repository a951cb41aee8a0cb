//! Checks from outside that the release of a ready box never goes backwards.

use crate::Deployment;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two polls of all boxes.
const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Timeout of a box's answer; a frozen box does not answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Polls the release and the count of invariant violations of every box until it is finished.
pub struct ReleaseMonitor {
    observations: Rc<Observations>,
    task: actix_rt::task::JoinHandle<()>,
}

#[derive(Default)]
struct Observations {
    /// Number of status answers received.
    answers: Cell<u64>,
    /// Violations found; expected to stay empty.
    violations: RefCell<Vec<String>>,
}

impl ReleaseMonitor {
    /// Starts to poll every box of the deployment, running or not.
    #[must_use]
    pub fn start(deployment: &Deployment) -> Self {
        let addresses = deployment.boxes.iter().map(|(name, b)| (name.clone(), b.operator_address)).collect();
        let observations = Rc::<Observations>::default();
        let task = actix_rt::spawn(poll(addresses, Rc::clone(&observations)));
        Self { observations, task }
    }

    /// Stops polling and returns the violations. It is a violation as well if no status was received at all.
    #[must_use]
    pub fn finish(self) -> Vec<String> {
        self.task.abort();
        let mut violations = self.observations.violations.take();
        if self.observations.answers.get() == 0 {
            violations.push("no status was received from any box".to_owned());
        }
        violations
    }
}

async fn poll(addresses: Vec<(String, SocketAddr)>, observations: Rc<Observations>) {
    let client = awc::Client::builder().timeout(ANSWER_TIMEOUT).finish();
    let mut last: BTreeMap<String, (u64, String)> = BTreeMap::new();
    loop {
        for (name, address) in &addresses {
            let Ok(mut response) = client.get(format!("http://{address}/status")).send().await else { continue };
            let Ok(status) = response.json::<cleatshelf::Status>().limit(1 << 24).await else { continue };
            observations.answers.set(observations.answers.get() + 1);
            // A restarted box has no state and is not ready until it has a release.
            if !status.ready {
                continue;
            }
            let mut violations = observations.violations.borrow_mut();
            let now = (status.release, status.digest);
            if let Some(before) = last.get(name).filter(|before| now < **before) {
                violations.push(format!("{name} went back from release {} to {}", before.0, now.0));
            }
            if status.broken > 0 {
                violations.push(format!("{name}: {} invariant violations", status.broken));
            }
            last.insert(name.clone(), now);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
