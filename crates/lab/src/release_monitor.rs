//! Watches from outside that no ready box's release ever falls.

use crate::Deployment;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time between two looks at all boxes.
const LOOK: Duration = Duration::from_millis(30);

/// Longest wait for a box's answer; a frozen one doesn't give any.
const ANSWER_MOST: Duration = Duration::from_millis(300);

/// Watches the release of every box, and its count of broken invariants, for as long as it isn't ended.
pub struct ReleaseMonitor {
    seen: Rc<Seen>,
    task: actix_rt::task::JoinHandle<()>,
}

#[derive(Default)]
struct Seen {
    /// Answers of boxes.
    looks: Cell<u64>,
    /// What must never be. Stays empty.
    wrongs: RefCell<Vec<String>>,
}

impl ReleaseMonitor {
    /// Begins to watch every box of the deployment, running or not.
    #[must_use]
    pub fn start(deployment: &Deployment) -> Self {
        let doors = deployment.boxes.iter().map(|(name, b)| (name.clone(), b.operators)).collect();
        let seen = Rc::<Seen>::default();
        let task = actix_rt::spawn(watch(doors, Rc::clone(&seen)));
        Self { seen, task }
    }

    /// Ends it, and gives what was wrong; that nothing was seen at all is wrong as well.
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
            // A box that was started anew begins with nothing; it is not ready until it has a release.
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
