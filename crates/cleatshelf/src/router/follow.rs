//! Reads and watches what the platform publishes.

use super::knowledge::{Knowledge, Origin};
use rand::Rng;
use routing::{Publisher, Subject, Trouble};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use telemetry::Event;

/// How long a watch waits for news. Short enough that one that hangs is given up soon after the publisher is
/// back; each watch is a call, and calls are paid for.
const WAIT: Duration = Duration::from_secs(8);

/// The same while the publisher is in trouble, to notice soon that it is back.
const WAIT_IN_TROUBLE: Duration = Duration::from_millis(400);

/// Pauses between calls that failed: the first, and the longest.
const PAUSE_LEAST: Duration = Duration::from_millis(100);
const PAUSE_MOST: Duration = Duration::from_millis(800);

/// Follows one subject for as long as the process runs.
pub(super) struct Follower {
    pub(super) publisher: Rc<dyn Publisher>,
    pub(super) knowledge: Rc<Knowledge>,
    pub(super) subject: Subject,
    /// True while the last call failed; shared by the followers of one publisher.
    pub(super) trouble: Rc<Cell<bool>>,
}

impl Follower {
    pub(super) async fn run(self) {
        let mut pause = PAUSE_LEAST;
        let mut since = None;
        loop {
            let step = match since {
                None => self.read().await,
                Some(since) => self.watch(since).await,
            };
            match step {
                Ok(revision) => {
                    self.calm();
                    pause = PAUSE_LEAST;
                    since = Some(revision);
                }
                Err(Trouble::Forgotten) => since = None,
                Err(why) => {
                    self.troubled(&why);
                    let jitter = rand::rng().random_range(0.7..1.3);
                    actix_rt::time::sleep(pause.mul_f64(jitter)).await;
                    pause = (pause * 2).min(PAUSE_MOST);
                }
            }
        }
    }

    async fn read(&self) -> Result<u64, Trouble> {
        match self.subject {
            Subject::Table => {
                let found = self.publisher.table().await?;
                let (revision, bytes) = found.ok_or_else(|| Trouble::Unreachable("no configuration yet".into()))?;
                self.knowledge.offer_table(bytes, Origin::Publisher);
                Ok(revision)
            }
            Subject::Directory => {
                let directory = self.publisher.directory().await?;
                let revision = directory.revision;
                self.knowledge.offer_directory(directory, Origin::Publisher);
                Ok(revision)
            }
        }
    }

    async fn watch(&self, since: u64) -> Result<u64, Trouble> {
        let wait = if self.trouble.get() { WAIT_IN_TROUBLE } else { WAIT };
        let update = self.publisher.watch(self.subject, since, wait).await?;
        if let Some(bytes) = update.table {
            self.knowledge.offer_table(bytes, Origin::Publisher);
        }
        if !update.changes.is_empty() {
            self.knowledge.offer_changes(update.changes, update.revision);
        }
        Ok(update.revision)
    }

    fn troubled(&self, why: &Trouble) {
        if !self.trouble.replace(true) {
            telemetry::emit(Event::PlatformUnreachable, format_args!("subject={:?} why=\"{why}\"", self.subject));
        }
    }

    fn calm(&self) {
        if self.trouble.replace(false) {
            telemetry::emit(Event::PlatformReachable, format_args!("subject={:?}", self.subject));
        }
    }
}
