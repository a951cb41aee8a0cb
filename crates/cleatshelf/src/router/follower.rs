//! Reads the published configuration and servers, and watches them while this box is a watcher.

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

/// Timeout of a watch. Each watch is a call and calls are billed, but a watch that hangs must time out soon after the
/// publisher is back.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);

/// Timeout of a watch while another, responsive box of the hall is the primary watcher. A lost response goes unnoticed
/// for this long only if the primary's response is lost too.
const SECONDARY_WATCH_TIMEOUT: Duration = Duration::from_secs(12);

/// Timeout of a watch after a failure, to notice soon that the publisher is back, and when a box starts to watch.
const RECOVERY_WATCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Back-off after failed calls, doubling from the minimum to the maximum.
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(100);
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(1_200);

/// Time that a starting box waits for the state of its peers before it reads from the publisher: a few times the
/// latency between boxes. The box is not ready until it has a configuration.
const PEER_STATE_TIMEOUT: Duration = Duration::from_millis(150);

/// Time that a box serves with a sample of the servers before it reads the full list itself, unless peers send it
/// first. If all boxes that start together read it at once, the publisher is too busy to serve the watchers that would
/// send it to them.
const SAMPLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time that a box with a sample must be a watcher before it reads the full list. Boxes that start together and don't
/// know each other yet all start to watch, and stop once they hear from each other.
const WATCH_CONFIRM_DELAY: Duration = Duration::from_millis(1_500);

/// Maximum number of samples that a box reads to find servers of each service.
const MAX_SAMPLES: usize = 4;

/// Interval at which the state is polled during the start and after failures.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time after its return during which the publisher may still report entries that lapsed while it was away.
const LAPSE_WINDOW: Duration = Duration::from_secs(1);

/// Delay before looking again for a first configuration, for watchers and for other boxes.
const WATCHER_NO_CONFIGURATION_DELAY: Duration = Duration::from_millis(300);
const NO_CONFIGURATION_DELAY: Duration = Duration::from_millis(1_500);

/// Maximum time that orders wait for the directory to recover. While neither can be followed, calls for one subject are
/// enough to notice that the publisher is back.
const OTHER_SUBJECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after changes of servers, so that those of a release or a burst of failures arrive in few calls. About a sixth
/// of 2 s, the shortest time limit for updates to take effect.
const BATCH_DELAY: Duration = Duration::from_millis(300);

/// Delay after changes of servers while another box of the hall is the primary watcher: updates that it sends meanwhile
/// need not be requested.
const SECONDARY_BATCH_DELAY: Duration = Duration::from_secs(1);

/// Follows one subject for as long as the process runs.
pub(super) struct Follower {
    pub(super) publisher: Rc<dyn Publisher>,
    pub(super) cluster_state: Rc<ClusterState>,
    pub(super) subject: Subject,
    /// The watch role of this box.
    pub(super) watch_role: watch::Receiver<WatchRole>,
    /// Shared by the followers of one publisher.
    pub(super) health: Rc<PublisherHealth>,
}

/// The subjects whose last call failed.
pub(super) struct PublisherHealth {
    orders_failing: Cell<bool>,
    directory_failing: Cell<bool>,
    /// True from a failure to follow the list of servers until the next success.
    away: Cell<bool>,
    /// Time of the last such success.
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

    /// Returns true while the publisher is away and shortly after: entries that disappear then may have only lapsed.
    fn is_recently_away(&self) -> bool {
        self.away.get() || self.returned_at.get().is_some_and(|at| at.elapsed() < LAPSE_WINDOW)
    }

    /// Records whether the list of servers can be followed.
    fn set_away(&self, away: bool) {
        if self.away.replace(away) && !away {
            self.returned_at.set(Some(Instant::now()));
        }
    }

    /// Returns true if the last call for each subject succeeded.
    pub(super) fn is_healthy(&self) -> bool {
        !self.orders_failing.get() && !self.directory_failing.get()
    }
}

/// Turns the removal of an entry into its lapse, for entries that disappeared while the publisher was away.
fn as_lapsed(change: Change) -> Change {
    match change {
        Change::Gone(id) => Change::Lapsed(id),
        other => other,
    }
}

/// Adds 30 % jitter, so that boxes that wait for the same event don't retry together.
fn jittered(delay: Duration) -> Duration {
    delay.mul_f64(rand::rng().random_range(0.7..1.3))
}

impl Follower {
    pub(super) async fn run(mut self) {
        let mut backoff = MIN_RETRY_BACKOFF;
        self.bootstrap().await;
        // `None` requests a full read.
        let mut since = self.known_position();
        // A watch that hangs must be noticed soon when other boxes begin to rely on it.
        let mut timeout = RECOVERY_WATCH_TIMEOUT;
        loop {
            if !self.watch_role.borrow_and_update().is_on() {
                if self.watch_role.changed().await.is_err() {
                    return;
                }
                // While others watched, updates arrived through them.
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
                    // A peer may have sent newer state during the batch delay.
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

    /// Waits for the initial state from peers, and reads it if they don't send it. The state may be seconds old: newer
    /// updates come from the watchers, or from this box's own watch, which continues from that position.
    async fn bootstrap(&self) {
        let began = Instant::now();
        while began.elapsed() < PEER_STATE_TIMEOUT && !self.is_known() && !self.is_watching() {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        if self.subject == Subject::Directory {
            self.sample().await;
        }
        self.retry_until_known(|| self.read(Freshness::Stale)).await;
        // The publisher counts as healthy until a call from this box fails.
        self.health.failing(self.subject).set(false);
    }

    /// Reads a sample of the servers, to serve with until peers send the full list. With thousands of servers and
    /// hundreds of boxes that start together, sending the full list to each exceeds the capacity of the publisher's
    /// link for seconds.
    ///
    /// Returns once the full list is known, or once this box should read it.
    async fn sample(&self) {
        let began = Instant::now();
        let timeout = jittered(SAMPLE_TIMEOUT);
        // Other boxes rely on a box that is a watcher from the start, so it doesn't wait for them.
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

    /// Repeats a read until it succeeds or peers have sent the state.
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

    /// Returns true once this box has the state of the subject, from any source.
    fn is_known(&self) -> bool {
        let versions = self.cluster_state.known_versions();
        match self.subject {
            Subject::Orders => versions.table > 0 && versions.evacuations.position.is_known(),
            Subject::Directory => versions.directory.is_known(),
        }
    }

    /// Handles a response of the publisher that no configuration exists yet.
    async fn on_no_configuration(&self, delay: Duration) {
        self.on_success();
        actix_rt::time::sleep(jittered(delay)).await;
    }

    /// Delays the follower of orders while the directory can't be followed either.
    async fn wait_for_directory(&self) {
        let began = Instant::now();
        while self.subject == Subject::Orders
            && self.health.directory_failing.get()
            && began.elapsed() < OTHER_SUBJECT_TIMEOUT
        {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the position up to which the state is known; `None` requires a full read.
    fn known_position(&self) -> Option<Position> {
        let versions = self.cluster_state.known_versions();
        let position = match self.subject {
            // The watch repeats what either of the two lacks.
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
                if freshness == Freshness::Newest {
                    self.cluster_state.on_list_complete();
                }
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
            self.confirm_list(update.position);
            self.on_success();
            let is_secondary = *self.watch_role.borrow() == WatchRole::Secondary;
            actix_rt::time::sleep(if is_secondary { SECONDARY_BATCH_DELAY } else { BATCH_DELAY }).await;
        } else {
            self.confirm_list(update.position);
        }
        Ok(update.position)
    }

    /// Records that this box has the complete list of servers, if it has all changes up to this position.
    fn confirm_list(&self, position: Position) {
        let known = self.cluster_state.known_versions().directory;
        if self.subject == Subject::Directory && position.era == known.era {
            self.cluster_state.on_list_complete();
        }
    }

    /// Rejects state of an earlier era than the known one, from a late response or a lagging replica.
    fn reject_former_era(&self, read: Position) -> Result<(), PublisherError> {
        let versions = self.cluster_state.known_versions();
        let known = match self.subject {
            Subject::Orders => versions.evacuations.position,
            Subject::Directory => versions.directory,
        };
        if read.era < known.era {
            return Err(PublisherError::Malformed(format!(
                "position {read} is of an earlier era than the known {known}"
            )));
        }
        Ok(())
    }

    /// Applies the configuration that the publisher has at `position`; `None` means that it is unchanged.
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
        self.cluster_state.record_publisher_contact();
        if self.health.failing(self.subject).replace(false) {
            telemetry::emit(Event::PlatformReachable, format_args!("subject={:?}", self.subject));
        }
    }
}
