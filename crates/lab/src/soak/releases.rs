//! Watches from outside that no ready box's release ever falls.

use crate::Deployment;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time between two looks at all boxes.
const LOOK: Duration = Duration::from_millis(50);

/// Longest wait for a box's answer; a frozen one doesn't give any.
const ANSWER_MOST: Duration = Duration::from_millis(300);

/// Watches the release of every box for as long as it isn't ended.
pub(super) struct Releases {
    fell: Rc<RefCell<Vec<String>>>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Releases {
    pub(super) fn over(deployment: &Deployment) -> Self {
        let doors = deployment.boxes.iter().map(|(name, b)| (name.clone(), b.operators)).collect();
        let fell = Rc::new(RefCell::new(Vec::new()));
        let task = actix_rt::spawn(watch(doors, Rc::clone(&fell)));
        Self { fell, task }
    }

    /// What was seen.
    pub(super) fn end(self) -> Vec<String> {
        self.task.abort();
        self.fell.take()
    }
}

async fn watch(doors: Vec<(String, SocketAddr)>, fell: Rc<RefCell<Vec<String>>>) {
    let client = awc::Client::builder().timeout(ANSWER_MOST).finish();
    let mut last: BTreeMap<String, (u64, String)> = BTreeMap::new();
    loop {
        for (name, address) in &doors {
            let Ok(mut response) = client.get(format!("http://{address}/status")).send().await else { continue };
            let Ok(status) = response.json::<cleatshelf::Status>().limit(1 << 24).await else { continue };
            // A box that was started anew begins with nothing; it is not ready until it has a release.
            if !status.ready {
                continue;
            }
            let now = (status.release, status.digest);
            if last.get(name).is_some_and(|before| now < *before) {
                fell.borrow_mut().push(format!("{name} fell to release {}", now.0));
            }
            last.insert(name.clone(), now);
        }
        tokio::time::sleep(LOOK).await;
    }
}
