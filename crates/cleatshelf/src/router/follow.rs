//! Reads and watches what the platform publishes, while this box is one of those that do.

use super::knowledge::{Knowledge, Origin};
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
const WAIT: Duration = Duration::from_secs(4);

/// The same where another box of the hall watches as well, which goes before this one and is heard: an answer that is lost goes
/// unnoticed for as long only where that one is lost too.
const WAIT_SECOND: Duration = Duration::from_secs(12);

/// The same while the publisher is in trouble, to notice soon that it is back, and of a box that begins to watch.
const WAIT_IN_TROUBLE: Duration = Duration::from_millis(400);

/// Pauses between calls that failed: the first, and the longest.
const PAUSE_LEAST: Duration = Duration::from_millis(100);
const PAUSE_MOST: Duration = Duration::from_millis(1_200);

/// How long a box that has just started waits for others to tell it what they know, before it reads the publisher: some
/// ways between boxes. It is not ready before it knows a configuration.
const LISTEN: Duration = Duration::from_millis(150);

/// How long a box serves with a sample of the servers before it reads the whole list itself, unless others tell it. Where boxes that
/// start together all do that, the publisher has no time for those that are to tell it.
const SAMPLE_MOST: Duration = Duration::from_secs(10);

/// How long a box that has a sample watches before it reads the whole list: boxes that start together and know no other yet begin to
/// watch together, and stop once they hear each other.
const SURE_AFTER: Duration = Duration::from_millis(1_500);

/// Most samples that a box takes to have servers of each service.
const SAMPLES_MOST: usize = 4;

/// How often it looks whether they have.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// How long after its return the publisher may still tell of entries that lapsed while it was away.
const LAPSES_FOR: Duration = Duration::from_secs(1);

/// Pause of a box that watches, and of others, before they look again for a first configuration.
const ABSENT_WATCHING: Duration = Duration::from_millis(300);
const ABSENT: Duration = Duration::from_millis(1_500);

/// While nothing of the publisher can be followed, one subject shows that it is back. The other is tried after this long
/// all the same.
const OTHER_FIRST: Duration = Duration::from_secs(2);

/// Pause after news of servers, so that those of a release or a burst of failures come in few calls. A sixth of the
/// shortest bound for news, 2 s.
const GATHER: Duration = Duration::from_millis(300);

/// The same where another box of the hall watches as well: what that one tells meanwhile need not be asked for.
const GATHER_SECOND: Duration = Duration::from_secs(1);

/// Follows one subject for as long as the process runs.
pub(super) struct Follower {
    pub(super) publisher: Rc<dyn Publisher>,
    pub(super) knowledge: Rc<Knowledge>,
    pub(super) subject: Subject,
    /// What this box watches as.
    pub(super) watching: watch::Receiver<WatchRole>,
    /// Subjects whose last call failed; shared by the followers of one publisher.
    pub(super) troubles: Rc<Troubles>,
}

/// Which subjects can't be followed now.
pub(super) struct Troubles {
    orders: Cell<bool>,
    directory: Cell<bool>,
    /// True after the list of servers could not be followed, until it can again.
    away: Cell<bool>,
    /// When that ended last.
    returned: Cell<Option<Instant>>,
}

impl Default for Troubles {
    fn default() -> Self {
        Self { orders: Cell::new(true), directory: Cell::new(true), away: Cell::new(false), returned: Cell::new(None) }
    }
}

impl Troubles {
    fn of(&self, subject: Subject) -> &Cell<bool> {
        match subject {
            Subject::Orders => &self.orders,
            Subject::Directory => &self.directory,
        }
    }

    /// True while the publisher is away, and shortly after: what goes then may have only lapsed.
    fn away_lately(&self) -> bool {
        self.away.get() || self.returned.get().is_some_and(|at| at.elapsed() < LAPSES_FOR)
    }

    /// The list of servers can be followed, or can't.
    fn note_away(&self, away: bool) {
        if self.away.replace(away) && !away {
            self.returned.set(Some(Instant::now()));
        }
    }

    /// True when every subject's last call succeeded.
    pub(super) fn none(&self) -> bool {
        !self.orders.get() && !self.directory.get()
    }
}

/// What a server's entry that went while the publisher was away says.
fn lapsed(change: Change) -> Change {
    match change {
        Change::Gone(id) => Change::Lapsed(id),
        other => other,
    }
}

/// Boxes that wait for the same don't come back together.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.7..1.3))
}

impl Follower {
    pub(super) async fn run(mut self) {
        let mut pause = PAUSE_LEAST;
        self.begin().await;
        // None asks for a full read.
        let mut since = self.known();
        // A watch that hangs must not go unnoticed for long where others begin to rely on it.
        let mut wait = WAIT_IN_TROUBLE;
        loop {
            if !self.watching.borrow_and_update().is_on() {
                if self.watching.changed().await.is_err() {
                    return;
                }
                // While others watched, news came through them.
                since = self.known();
                wait = WAIT_IN_TROUBLE;
                continue;
            }
            let mut watching = self.watching.clone();
            let step = tokio::select! {
                step = self.step(since, wait) => step,
                _ = watching.wait_for(|watch| !watch.is_on()) => continue,
            };
            match step {
                Ok(position) => {
                    self.calm();
                    pause = PAUSE_LEAST;
                    // While this box gathered, another may have told it more.
                    since = self.known().max(Some(position));
                    wait = if *self.watching.borrow() == WatchRole::Secondary { WAIT_SECOND } else { WAIT };
                }
                Err(PublisherError::HistoryUnavailable) => since = None,
                Err(PublisherError::NoConfiguration) => self.absent(ABSENT_WATCHING).await,
                Err(why) => {
                    self.troubled(&why);
                    wait = WAIT_IN_TROUBLE;
                    actix_rt::time::sleep(jittered(pause)).await;
                    pause = (pause * 2).min(PAUSE_MOST);
                    self.wait_for_other().await;
                }
            }
        }
    }

    /// Waits until others have told what this box needs to begin with, and reads it if they don't. It may be seconds
    /// old: who watches tells this box of what is newer, and it goes on from there if it watches itself.
    async fn begin(&self) {
        let began = Instant::now();
        while began.elapsed() < LISTEN && !self.told() && !self.watches() {
            actix_rt::time::sleep(LOOK_EVERY).await;
        }
        if self.subject == Subject::Directory {
            self.sample().await;
        }
        self.try_until_told(|| self.read(Freshness::Stale)).await;
        // As long as this box has not called the publisher itself, nothing speaks against it.
        self.troubles.of(self.subject).set(false);
    }

    /// Serves with some of the servers until others tell of all. Where thousands of servers serve hundreds of boxes that start
    /// together, the whole list for each is more than the publisher's link carries in seconds.
    ///
    /// Returns once the whole list is known, or is to be read by this box.
    async fn sample(&self) {
        let began = Instant::now();
        let most = jittered(SAMPLE_MOST);
        // Others begin with this box: it doesn't wait for them.
        let at_once = self.watches();
        let mut watches_since = None;
        let mut samples = 0;
        while !self.told() {
            watches_since = self.watches().then(|| watches_since.unwrap_or_else(Instant::now));
            let sure = watches_since.is_some_and(|since| at_once || since.elapsed() >= SURE_AFTER);
            if samples == 0 || (samples < SAMPLES_MOST && self.knowledge.lacks_servers()) {
                self.try_until_told(|| self.read_sample()).await;
                samples += 1;
            } else if sure || began.elapsed() >= most {
                return;
            } else {
                actix_rt::time::sleep(LOOK_EVERY).await;
            }
        }
    }

    async fn read_sample(&self) -> Result<Position, PublisherError> {
        let sample = self.publisher.sample(Freshness::Stale, rand::rng().random()).await?;
        let position = sample.position;
        if position.is_known() {
            self.knowledge.offer_directory(sample, Origin::Publisher, self.troubles.away_lately());
        } else {
            self.knowledge.offer_sample(sample);
        }
        Ok(position)
    }

    /// Reads until that succeeds or others have told.
    async fn try_until_told<F: Future<Output = Result<Position, PublisherError>>>(&self, read: impl Fn() -> F) {
        let mut pause = PAUSE_LEAST;
        while !self.told() {
            match read().await {
                Ok(_) => {
                    self.calm();
                    return;
                }
                Err(PublisherError::NoConfiguration) => {
                    self.absent(if self.watches() { ABSENT_WATCHING } else { ABSENT }).await;
                }
                Err(why) => {
                    self.troubled(&why);
                    actix_rt::time::sleep(jittered(pause)).await;
                    pause = (pause * 2).min(PAUSE_MOST);
                }
            }
        }
    }

    fn watches(&self) -> bool {
        self.watching.borrow().is_on()
    }

    /// True once this box knows something of the subject, wherever from.
    fn told(&self) -> bool {
        let holding = self.knowledge.holding();
        match self.subject {
            Subject::Orders => holding.table > 0 && holding.evacuations.position.is_known(),
            Subject::Directory => holding.directory.is_known(),
        }
    }

    /// The publisher answers and has nothing yet.
    async fn absent(&self, pause: Duration) {
        self.calm();
        actix_rt::time::sleep(jittered(pause)).await;
    }

    /// While the list of servers can't be followed either, the configuration waits for it.
    async fn wait_for_other(&self) {
        let began = Instant::now();
        while self.subject == Subject::Orders && self.troubles.directory.get() && began.elapsed() < OTHER_FIRST {
            actix_rt::time::sleep(LOOK_EVERY).await;
        }
    }

    /// Up to where everything is known without asking; none where only a read can tell.
    fn known(&self) -> Option<Position> {
        let holding = self.knowledge.holding();
        let position = match self.subject {
            // What one of both lacks, the watch tells again.
            Subject::Orders => holding.table_until.min(holding.evacuations.position),
            Subject::Directory => holding.directory,
        };
        Some(position).filter(|position| position.is_known())
    }

    async fn step(&self, since: Option<Position>, wait: Duration) -> Result<Position, PublisherError> {
        match since {
            None => self.read(Freshness::Newest).await,
            Some(since) => self.watch(since, wait).await,
        }
    }

    async fn read(&self, freshness: Freshness) -> Result<Position, PublisherError> {
        match self.subject {
            Subject::Orders => {
                let orders = self.publisher.orders(freshness).await?;
                let position = orders.evacuations.position;
                self.refuse_former(position)?;
                self.knowledge.offer_evacuations(orders.evacuations, Origin::Publisher);
                let bytes = orders.table.ok_or(PublisherError::NoConfiguration)?;
                self.take_table(Some(&bytes), position);
                Ok(position)
            }
            Subject::Directory => {
                let directory = self.publisher.directory(freshness).await?;
                let position = directory.position;
                self.refuse_former(position)?;
                self.knowledge.offer_directory(directory, Origin::Publisher, self.troubles.away_lately());
                Ok(position)
            }
        }
    }

    async fn watch(&self, since: Position, wait: Duration) -> Result<Position, PublisherError> {
        let update = self.publisher.watch(self.subject, since, wait).await?;
        if self.subject == Subject::Orders {
            self.take_table(update.table.as_deref(), update.position);
            self.knowledge.change_evacuations(update.evacuations, update.position);
        }
        if !update.changes.is_empty() {
            let away = self.troubles.away_lately();
            let changes = update.changes.into_iter().map(|change| if away { lapsed(change) } else { change }).collect();
            self.knowledge.offer_changes(changes, update.position, Origin::Publisher);
            self.calm();
            let second = *self.watching.borrow() == WatchRole::Secondary;
            actix_rt::time::sleep(if second { GATHER_SECOND } else { GATHER }).await;
        }
        Ok(update.position)
    }

    /// What was read in an era before the one that is known is over: a late answer, or a replica's that is behind.
    fn refuse_former(&self, read: Position) -> Result<(), PublisherError> {
        let holding = self.knowledge.holding();
        let known = match self.subject {
            Subject::Orders => holding.evacuations.position,
            Subject::Directory => holding.directory,
        };
        if read.era < known.era {
            return Err(PublisherError::Malformed(format!("read at {read}, known at {known}")));
        }
        Ok(())
    }

    /// Takes the configuration that the publisher has at `position`; none when it is the one known already.
    fn take_table(&self, bytes: Option<&[u8]>, position: Position) {
        if bytes.is_none_or(|bytes| self.knowledge.offer_table(bytes, Origin::Publisher)) {
            self.knowledge.table_stands(position);
        }
    }

    fn troubled(&self, why: &PublisherError) {
        if self.subject == Subject::Directory {
            self.troubles.note_away(true);
        }
        if !self.troubles.of(self.subject).replace(true) {
            telemetry::emit(Event::PlatformUnreachable, format_args!("subject={:?} why=\"{why}\"", self.subject));
        }
    }

    fn calm(&self) {
        if self.subject == Subject::Directory {
            self.troubles.note_away(false);
        }
        self.knowledge.heard();
        if self.troubles.of(self.subject).replace(false) {
            telemetry::emit(Event::PlatformReachable, format_args!("subject={:?}", self.subject));
        }
    }
}
