//! Reads and watches what the platform publishes, while this box is one of those that do.

use super::knowledge::{Knowledge, Origin};
use rand::Rng;
use routing::{Publisher, Subject, Trouble};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use telemetry::Event;
use tokio::sync::watch;

/// How long a watch waits for news. Short enough that one that hangs is given up soon after the publisher is
/// back; each watch is a call, and calls are paid for.
const WAIT: Duration = Duration::from_secs(4);

/// The same while the publisher is in trouble, to notice soon that it is back.
const WAIT_IN_TROUBLE: Duration = Duration::from_millis(400);

/// Pauses between calls that failed: the first, and the longest.
const PAUSE_LEAST: Duration = Duration::from_millis(100);
const PAUSE_MOST: Duration = Duration::from_millis(800);

/// Pause after news of servers, so that those of a release or a burst of failures come in few calls. A sixth of the
/// shortest bound for news, 2 s.
const GATHER: Duration = Duration::from_millis(300);

/// Pause between the first read and the first watch: by then a box that has just started has heard from a watcher of
/// its hall, if there is one, and need not watch itself.
const SETTLE: Duration = Duration::from_millis(1_200);

/// Follows one subject for as long as the process runs.
pub(super) struct Follower {
    pub(super) publisher: Rc<dyn Publisher>,
    pub(super) knowledge: Rc<Knowledge>,
    pub(super) subject: Subject,
    /// True while this box is to watch.
    pub(super) watching: watch::Receiver<bool>,
    /// Subjects whose last call failed; shared by the followers of one publisher.
    pub(super) troubles: Rc<Troubles>,
}

/// Which subjects can't be followed now.
pub(super) struct Troubles {
    table: Cell<bool>,
    directory: Cell<bool>,
}

impl Default for Troubles {
    fn default() -> Self {
        Self { table: Cell::new(true), directory: Cell::new(true) }
    }
}

impl Troubles {
    fn of(&self, subject: Subject) -> &Cell<bool> {
        match subject {
            Subject::Table => &self.table,
            Subject::Directory => &self.directory,
        }
    }

    /// True when every subject's last call succeeded.
    pub(super) fn none(&self) -> bool {
        !self.table.get() && !self.directory.get()
    }
}

impl Follower {
    pub(super) async fn run(mut self) {
        let mut pause = PAUSE_LEAST;
        // None asks for a full read.
        let mut since = None;
        let mut settled = false;
        loop {
            if !*self.watching.borrow_and_update() {
                if self.watching.changed().await.is_err() {
                    return;
                }
                // While others watched, news came through them.
                since = self.known();
                continue;
            }
            let mut watching = self.watching.clone();
            let step = tokio::select! {
                step = self.step(since) => step,
                _ = watching.wait_for(|watching| !*watching) => continue,
            };
            match step {
                Ok(revision) => {
                    self.calm();
                    pause = PAUSE_LEAST;
                    since = Some(revision);
                    if !std::mem::replace(&mut settled, true) {
                        actix_rt::time::sleep(SETTLE).await;
                    }
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

    /// The revision up to which everything is known without asking; none where only a read can tell.
    fn known(&self) -> Option<u64> {
        let holding = self.knowledge.holding();
        let revision = match self.subject {
            Subject::Table => holding.table_until,
            Subject::Directory => holding.directory,
        };
        Some(revision).filter(|revision| *revision > 0)
    }

    async fn step(&self, since: Option<u64>) -> Result<u64, Trouble> {
        match since {
            None => self.read().await,
            Some(since) => self.watch(since).await,
        }
    }

    async fn read(&self) -> Result<u64, Trouble> {
        match self.subject {
            Subject::Table => {
                let found = self.publisher.table().await?;
                let (revision, bytes) = found.ok_or_else(|| Trouble::Unreachable("no configuration yet".into()))?;
                self.take_table(Some(&bytes), revision);
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
        let wait = if self.troubles.of(self.subject).get() { WAIT_IN_TROUBLE } else { WAIT };
        let update = self.publisher.watch(self.subject, since, wait).await?;
        if self.subject == Subject::Table {
            self.take_table(update.table.as_deref(), update.revision);
        }
        if !update.changes.is_empty() {
            self.knowledge.offer_changes(update.changes, update.revision, Origin::Publisher);
            self.calm();
            actix_rt::time::sleep(GATHER).await;
        }
        Ok(update.revision)
    }

    /// Takes the configuration that the publisher has at `revision`; none when it is the one known already.
    fn take_table(&self, bytes: Option<&[u8]>, revision: u64) {
        if bytes.is_none_or(|bytes| self.knowledge.offer_table(bytes, Origin::Publisher)) {
            self.knowledge.table_stands(revision);
        }
    }

    fn troubled(&self, why: &Trouble) {
        if !self.troubles.of(self.subject).replace(true) {
            telemetry::emit(Event::PlatformUnreachable, format_args!("subject={:?} why=\"{why}\"", self.subject));
        }
    }

    fn calm(&self) {
        self.knowledge.heard();
        if self.troubles.of(self.subject).replace(false) {
            telemetry::emit(Event::PlatformReachable, format_args!("subject={:?}", self.subject));
        }
    }
}
