//! Reads and watches what the platform publishes, while this box is one of those that do.

use super::cluster_state::{ClusterState, Origin};
use peers::WatchRole;
use rand::Rng;
use routing::{Change, Freshness, Position, Publisher, PublisherError, Subject};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use telemetry::Event;
use tokio::sync::watch;

/// How long a watch waits for news. Short enough that one that hangs is given up soon after the publisher is
/// back; each watch is a call, and calls are paid for.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);

/// The same where another box of the hall watches as well, which goes before this one and is heard: an answer that is lost goes
/// unnoticed for as long only where that one is lost too.
const SECONDARY_WATCH_TIMEOUT: Duration = Duration::from_secs(12);

/// The same while the publisher is in trouble, to notice soon that it is back, and of a box that begins to watch.
const RECOVERY_WATCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Pauses between calls that failed: the first, and the longest.
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(100);
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(1_200);

/// How long a box that has just started waits for others to tell it what they know, before it reads the publisher: some
/// ways between boxes. It is not ready before it knows a configuration.
const PEER_STATE_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a box serves with a sample of the servers before it reads the whole list itself, unless others tell it. Where boxes that
/// start together all do that, the publisher has no time for those that are to tell it.
const SAMPLE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a box that has a sample watches before it reads the whole list: boxes that start together and know no other yet begin to
/// watch together, and stop once they hear each other.
const WATCH_CONFIRM_DELAY: Duration = Duration::from_millis(1_500);

/// Most samples that a box takes to have servers of each service.
const MAX_SAMPLES: usize = 4;

/// How often it looks whether they have.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long after its return the publisher may still tell of entries that lapsed while it was away.
const LAPSE_WINDOW: Duration = Duration::from_secs(1);

/// Pause of a box that watches, and of others, before they look again for a first configuration.
const WATCHER_NO_CONFIGURATION_DELAY: Duration = Duration::from_millis(300);
const NO_CONFIGURATION_DELAY: Duration = Duration::from_millis(1_500);

/// While nothing of the publisher can be followed, one subject shows that it is back. The other is tried after this long
/// all the same.
const OTHER_SUBJECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after news of servers, so that those of a release or a burst of failures come in few calls. A sixth of the
/// shortest bound for news, 2 s.
const BATCH_DELAY: Duration = Duration::from_millis(300);

/// The same where another box of the hall watches as well: what that one tells meanwhile need not be asked for.
const SECONDARY_BATCH_DELAY: Duration = Duration::from_secs(1);

/// Follows one subject for as long as the process runs.
pub(super) struct Follower {
    pub(super) publisher: Rc<dyn Publisher>,
    pub(super) cluster_state: Rc<ClusterState>,
    pub(super) subject: Subject,
    /// What this box watches as.
    pub(super) watch_role: watch::Receiver<WatchRole>,
    /// Subjects whose last call failed; shared by the followers of one publisher.
    pub(super) health: Rc<PublisherHealth>,
}

/// Which subjects can't be followed now.
pub(super) struct PublisherHealth {
    orders_failing: Cell<bool>,
    directory_failing: Cell<bool>,
    /// True after the list of servers could not be followed, until it can again.
    away: Cell<bool>,
    /// When that ended last.
    returned_at: Cell<Option<Instant>>,
}

impl Default for PublisherHealth {
    fn default() -> Self {
        Self {
            orders_failing: Cell::new(true),
            directory_failing: Cell::new(true),
            away: Cell::new(false),
            returned_at: Cell::new(None),
        }
    }
}

impl PublisherHealth {
    fn failing(&self, subject: Subject) -> &Cell<bool> {
        match subject {
            Subject::Orders => &self.orders_failing,
            Subject::Directory => &self.directory_failing,
        }
    }

    /// True while the publisher is away, and shortly after: what goes then may have only lapsed.
    fn is_recently_away(&self) -> bool {
        self.away.get() || self.returned_at.get().is_some_and(|at| at.elapsed() < LAPSE_WINDOW)
    }

    /// The list of servers can be followed, or can't.
    fn set_away(&self, away: bool) {
        if self.away.replace(away) && !away {
            self.returned_at.set(Some(Instant::now()));
        }
    }

    /// True when every subject's last call succeeded.
    pub(super) fn is_healthy(&self) -> bool {
        !self.orders_failing.get() && !self.directory_failing.get()
    }
}

/// What a server's entry that went while the publisher was away says.
fn as_lapsed(change: Change) -> Change {
    match change {
        Change::Gone(id) => Change::Lapsed(id),
        other => other,
    }
}

/// Boxes that wait for the same don't come back together.
fn jittered(delay: Duration) -> Duration {
    delay.mul_f64(rand::rng().random_range(0.7..1.3))
}

impl Follower {
    pub(super) async fn run(mut self) {
        let mut backoff = MIN_RETRY_BACKOFF;
        self.bootstrap().await;
        // None asks for a full read.
        let mut since = self.known_position();
        // A watch that hangs must not go unnoticed for long where others begin to rely on it.
        let mut timeout = RECOVERY_WATCH_TIMEOUT;
        loop {
            if !self.watch_role.borrow_and_update().is_on() {
                if self.watch_role.changed().await.is_err() {
                    return;
                }
                // While others watched, news came through them.
                since = self.known_position();
                timeout = RECOVERY_WATCH_TIMEOUT;
                continue;
            }
            let mut watch_role = self.watch_role.clone();
            let step = tokio::select! {
                step = self.step(since, timeout) => step,
                _ = watch_role.wait_for(|watch| !watch.is_on()) => continue,
            };
            match step {
                Ok(position) => {
                    self.on_success();
                    backoff = MIN_RETRY_BACKOFF;
                    // While this box gathered, another may have told it more.
                    since = self.known_position().max(Some(position));
                    timeout = if *self.watch_role.borrow() == WatchRole::Secondary {
                        SECONDARY_WATCH_TIMEOUT
                    } else {
                        WATCH_TIMEOUT
                    };
                }
                Err(PublisherError::HistoryUnavailable) => since = None,
                Err(PublisherError::NoConfiguration) => self.on_no_configuration(WATCHER_NO_CONFIGURATION_DELAY).await,
                Err(why) => {
                    self.on_failure(&why);
                    timeout = RECOVERY_WATCH_TIMEOUT;
                    actix_rt::time::sleep(jittered(backoff)).await;
                    backoff = (backoff * 2).min(MAX_RETRY_BACKOFF);
                    self.wait_for_directory().await;
                }
            }
        }
    }

    /// Waits until others have told what this box needs to begin with, and reads it if they don't. It may be seconds
    /// old: who watches tells this box of what is newer, and it goes on from there if it watches itself.
    async fn bootstrap(&self) {
        let began = Instant::now();
        while began.elapsed() < PEER_STATE_TIMEOUT && !self.is_known() && !self.is_watching() {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        if self.subject == Subject::Directory {
            self.sample().await;
        }
        self.retry_until_known(|| self.read(Freshness::Stale)).await;
        // As long as this box has not called the publisher itself, nothing speaks against it.
        self.health.failing(self.subject).set(false);
    }

    /// Serves with some of the servers until others tell of all. Where thousands of servers serve hundreds of boxes that start
    /// together, the whole list for each is more than the publisher's link carries in seconds.
    ///
    /// Returns once the whole list is known, or is to be read by this box.
    async fn sample(&self) {
        let began = Instant::now();
        let timeout = jittered(SAMPLE_TIMEOUT);
        // Others begin with this box: it doesn't wait for them.
        let watched_at_start = self.is_watching();
        let mut watching_since = None;
        let mut samples = 0;
        while !self.is_known() {
            watching_since = self.is_watching().then(|| watching_since.unwrap_or_else(Instant::now));
            let is_confirmed =
                watching_since.is_some_and(|since| watched_at_start || since.elapsed() >= WATCH_CONFIRM_DELAY);
            if samples == 0 || (samples < MAX_SAMPLES && self.cluster_state.lacks_servers()) {
                self.retry_until_known(|| self.read_sample()).await;
                samples += 1;
            } else if is_confirmed || began.elapsed() >= timeout {
                return;
            } else {
                actix_rt::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    async fn read_sample(&self) -> Result<Position, PublisherError> {
        let sample = self.publisher.sample(Freshness::Stale, rand::rng().random()).await?;
        let position = sample.position;
        if position.is_known() {
            self.cluster_state.offer_directory(sample, Origin::Publisher, self.health.is_recently_away());
        } else {
            self.cluster_state.offer_sample(sample);
        }
        Ok(position)
    }

    /// Reads until that succeeds or others have told.
    async fn retry_until_known<F: Future<Output = Result<Position, PublisherError>>>(&self, read: impl Fn() -> F) {
        let mut backoff = MIN_RETRY_BACKOFF;
        while !self.is_known() {
            match read().await {
                Ok(_) => {
                    self.on_success();
                    return;
                }
                Err(PublisherError::NoConfiguration) => {
                    self.on_no_configuration(if self.is_watching() {
                        WATCHER_NO_CONFIGURATION_DELAY
                    } else {
                        NO_CONFIGURATION_DELAY
                    })
                    .await;
                }
                Err(why) => {
                    self.on_failure(&why);
                    actix_rt::time::sleep(jittered(backoff)).await;
                    backoff = (backoff * 2).min(MAX_RETRY_BACKOFF);
                }
            }
        }
    }

    fn is_watching(&self) -> bool {
        self.watch_role.borrow().is_on()
    }

    /// True once this box knows something of the subject, wherever from.
    fn is_known(&self) -> bool {
        let versions = self.cluster_state.known_versions();
        match self.subject {
            Subject::Orders => versions.table > 0 && versions.evacuations.position.is_known(),
            Subject::Directory => versions.directory.is_known(),
        }
    }

    /// The publisher answers and has nothing yet.
    async fn on_no_configuration(&self, delay: Duration) {
        self.on_success();
        actix_rt::time::sleep(jittered(delay)).await;
    }

    /// While the list of servers can't be followed either, the configuration waits for it.
    async fn wait_for_directory(&self) {
        let began = Instant::now();
        while self.subject == Subject::Orders
            && self.health.directory_failing.get()
            && began.elapsed() < OTHER_SUBJECT_TIMEOUT
        {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Up to where everything is known without asking; none where only a read can tell.
    fn known_position(&self) -> Option<Position> {
        let versions = self.cluster_state.known_versions();
        let position = match self.subject {
            // What one of both lacks, the watch tells again.
            Subject::Orders => versions.table_until.min(versions.evacuations.position),
            Subject::Directory => versions.directory,
        };
        Some(position).filter(|position| position.is_known())
    }

    async fn step(&self, since: Option<Position>, timeout: Duration) -> Result<Position, PublisherError> {
        match since {
            None => self.read(Freshness::Newest).await,
            Some(since) => self.watch(since, timeout).await,
        }
    }

    async fn read(&self, freshness: Freshness) -> Result<Position, PublisherError> {
        match self.subject {
            Subject::Orders => {
                let orders = self.publisher.orders(freshness).await?;
                let position = orders.evacuations.position;
                self.reject_former_era(position)?;
                self.cluster_state.offer_evacuations(orders.evacuations, Origin::Publisher);
                let bytes = orders.table.ok_or(PublisherError::NoConfiguration)?;
                self.apply_table(Some(&bytes), position);
                Ok(position)
            }
            Subject::Directory => {
                let directory = self.publisher.directory(freshness).await?;
                let position = directory.position;
                self.reject_former_era(position)?;
                self.cluster_state.offer_directory(directory, Origin::Publisher, self.health.is_recently_away());
                Ok(position)
            }
        }
    }

    async fn watch(&self, since: Position, timeout: Duration) -> Result<Position, PublisherError> {
        let update = self.publisher.watch(self.subject, since, timeout).await?;
        if self.subject == Subject::Orders {
            self.apply_table(update.table.as_deref(), update.position);
            self.cluster_state.change_evacuations(update.evacuations, update.position);
        }
        if !update.changes.is_empty() {
            let was_away = self.health.is_recently_away();
            let changes =
                update.changes.into_iter().map(|change| if was_away { as_lapsed(change) } else { change }).collect();
            self.cluster_state.offer_changes(changes, update.position, Origin::Publisher);
            self.on_success();
            let is_secondary = *self.watch_role.borrow() == WatchRole::Secondary;
            actix_rt::time::sleep(if is_secondary { SECONDARY_BATCH_DELAY } else { BATCH_DELAY }).await;
        }
        Ok(update.position)
    }

    /// What was read in an era before the one that is known is over: a late answer, or a replica's that is behind.
    fn reject_former_era(&self, read: Position) -> Result<(), PublisherError> {
        let versions = self.cluster_state.known_versions();
        let known = match self.subject {
            Subject::Orders => versions.evacuations.position,
            Subject::Directory => versions.directory,
        };
        if read.era < known.era {
            return Err(PublisherError::Malformed(format!("read at {read}, known at {known}")));
        }
        Ok(())
    }

    /// Takes the configuration that the publisher has at `position`; none when it is the one known already.
    fn apply_table(&self, bytes: Option<&[u8]>, position: Position) {
        if bytes.is_none_or(|bytes| self.cluster_state.offer_table(bytes, Origin::Publisher)) {
            self.cluster_state.confirm_table(position);
        }
    }

    fn on_failure(&self, why: &PublisherError) {
        if self.subject == Subject::Directory {
            self.health.set_away(true);
        }
        if !self.health.failing(self.subject).replace(true) {
            telemetry::emit(Event::PlatformUnreachable, format_args!("subject={:?} why=\"{why}\"", self.subject));
        }
    }

    fn on_success(&self) {
        if self.subject == Subject::Directory {
            self.health.set_away(false);
        }
        self.cluster_state.record_contact();
        if self.health.failing(self.subject).replace(false) {
            telemetry::emit(Event::PlatformReachable, format_args!("subject={:?}", self.subject));
        }
    }
}
