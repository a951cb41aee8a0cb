//! Checks from outside that the release of a ready box never goes backwards.

use crate::Deployment;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two polls of all boxes.
const LOOK: Duration = Duration::from_millis(30);

/// Timeout of a box's answer; a frozen box does not answer.
const ANSWER_MOST: Duration = Duration::from_millis(300);

/// Polls the release and the count of invariant violations of every box until it is finished.
pub struct ReleaseMonitor {
    seen: Rc<Seen>,
    task: actix_rt::task::JoinHandle<()>,
}

#[derive(Default)]
struct Seen {
    /// Number of status answers received.
    looks: Cell<u64>,
    /// Violations found; expected to stay empty.
    wrongs: RefCell<Vec<String>>,
}

impl ReleaseMonitor {
    /// Starts to poll every box of the deployment, running or not.
    #[must_use]
    pub fn start(deployment: &Deployment) -> Self {
        let doors = deployment.boxes.iter().map(|(name, b)| (name.clone(), b.operators)).collect();
        let seen = Rc::<Seen>::default();
        let task = actix_rt::spawn(watch(doors, Rc::clone(&seen)));
        Self { seen, task }
    }

    /// Stops polling and returns the violations. It is a violation as well if no status was received at all.
    #[must_use]
    pub fn finish(self) -> Vec<String> {
        self.task.abort();
        let mut wrongs = self.seen.wrongs.take();
        if self.seen.looks.get() == 0 {
            wrongs.push("nothing was watched".to_owned());
        }
        wrongs
    }
}

async fn watch(doors: Vec<(String, SocketAddr)>, seen: Rc<Seen>) {
    let client = awc::Client::builder().timeout(ANSWER_MOST).finish();
    let mut last: BTreeMap<String, (u64, String)> = BTreeMap::new();
    loop {
        for (name, address) in &doors {
            let Ok(mut response) = client.get(format!("http://{address}/status")).send().await else { continue };
            let Ok(status) = response.json::<cleatshelf::Status>().limit(1 << 24).await else { continue };
            seen.looks.set(seen.looks.get() + 1);
            // A restarted box has no state and is not ready until it has a release.
            if !status.ready {
                continue;
            }
            let mut wrongs = seen.wrongs.borrow_mut();
            let now = (status.release, status.digest);
            if let Some(before) = last.get(name).filter(|before| now < **before) {
                wrongs.push(format!("{name} fell from release {} to {}", before.0, now.0));
            }
            if status.broken > 0 {
                wrongs.push(format!("{name}: {} broken invariants", status.broken));
            }
            last.insert(name.clone(), now);
        }
        tokio::time::sleep(LOOK).await;
    }
}
