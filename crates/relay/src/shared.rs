//! State shared by the traffic threads and the control thread.

use crate::{AnswerMemory, HeaderCodec, Network, PeerClient, RequestMemory, Returns};
use clock::Clock;
use origins::Origins;
use placement::{Millis, Placement, Quarantine, Snapshot};
use routing::{Directory, Evacuations, Table};
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;
use telemetry::SeenNames;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time that the last answers of a planned stop have to reach their callers.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// The configuration and servers in force. Replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The routing table; `None` until the first configuration arrives.
    pub table: Option<Arc<Table>>,
    /// The servers.
    pub directory: Arc<Directory>,
    /// The evacuated halls, whose servers receive no requests.
    pub evacuations: Evacuations,
}

/// The components and settings that [`Shared`] is built from.
pub struct Dependencies {
    /// Reads and writes request and response headers.
    pub header_codec: Box<dyn HeaderCodec>,
    /// Sends messages to the boxes that own servers.
    pub peer_client: Box<dyn PeerClient>,
    /// Opens connections to servers.
    pub network: Arc<dyn Network>,
    /// Chooses servers.
    pub placement: Placement,
    /// Secret of the deployment, equal on all boxes; keys the request fingerprints.
    pub secret: u64,
    /// Clock used for all timestamps. Timers use Tokio's.
    pub clock: Arc<dyn Clock>,
}

/// State of one box, shared by all its threads.
pub struct Shared {
    /// Reads and writes request and response headers.
    pub header_codec: Box<dyn HeaderCodec>,
    /// Sends messages to the boxes that own servers.
    pub peer_client: Box<dyn PeerClient>,
    /// Opens connections to servers.
    pub(crate) network: Arc<dyn Network>,
    view: RwLock<Arc<View>>,
    placement: Mutex<Placement>,
    pub(crate) quarantine: Mutex<Quarantine>,
    /// The origins of streams.
    origins: Mutex<Origins>,
    /// When refused callers were told to return.
    returns: Mutex<Returns>,
    /// Secret of the deployment, equal on all boxes; keys the request fingerprints.
    pub(crate) secret: u64,
    clock: Arc<dyn Clock>,
    /// Time of creation by `clock`.
    started: Millis,
    /// Time of the last answers of a planned stop; `None` until one has begun.
    last_answer: watch::Sender<Option<Instant>>,
    /// Next number of a status query, permit request or lease; unique within this process.
    pub(crate) numbers: AtomicU64,
    /// Next number of a slot request. Begins at a random number: a dispatcher may remember requests of a former process
    /// at this box's address.
    pub(crate) slot_numbers: AtomicU64,
    /// Number of requests in progress.
    pub running: AtomicUsize,
    /// Names of unknown response headers that were already reported to operators.
    pub(crate) reported_headers: SeenNames,
    /// Memory that buffered answers take.
    pub answer_memory: AnswerMemory,
    /// Memory that request bodies take.
    pub request_memory: RequestMemory,
}

impl Shared {
    /// Creates the state of a box that has no configuration and no servers yet.
    #[must_use]
    pub fn new(parts: Dependencies) -> Arc<Self> {
        let Dependencies { header_codec, peer_client, network, placement, secret, clock } = parts;
        Arc::new(Self {
            header_codec,
            peer_client,
            network,
            view: RwLock::default(),
            placement: Mutex::new(placement),
            quarantine: Mutex::default(),
            origins: Mutex::default(),
            returns: Mutex::default(),
            secret,
            started: clock.now(),
            clock,
            last_answer: watch::Sender::new(None),
            numbers: AtomicU64::new(0),
            slot_numbers: AtomicU64::new(u64::from(rand::random::<u32>())),
            running: AtomicUsize::new(0),
            reported_headers: SeenNames::default(),
            answer_memory: AnswerMemory::default(),
            request_memory: RequestMemory::default(),
        })
    }

    /// Returns the time since creation. It advances while the machine is suspended.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.clock.now().saturating_sub(self.started)
    }

    /// Returns the configuration and servers in force.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the configuration and servers in force.
    pub fn set_view(&self, view: View) {
        self.origins().update(view.table.as_deref(), &view.directory, self.now());
        if let Some(table) = &view.table {
            let in_force = Snapshot { table, directory: &view.directory, evacuations: &view.evacuations };
            self.placement().update(&in_force, self.now());
        }
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
    }

    /// Locks the placement. The guard must not be held across an await point.
    pub fn placement(&self) -> MutexGuard<'_, Placement> {
        self.placement.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the origins of streams. The guard must not be held across an await point.
    pub fn origins(&self) -> MutexGuard<'_, Origins> {
        self.origins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the promised returns of refused callers. The guard must not be held across an await point.
    pub(crate) fn returns(&self) -> MutexGuard<'_, Returns> {
        self.returns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a planned stop, after which nothing can be answered.
    pub fn begin_stop(&self, ends_in: Duration) {
        let last_answer = Instant::now() + ends_in.saturating_sub(LAST_ANSWER_MARGIN);
        self.last_answer.send_replace(Some(last_answer));
    }

    /// Returns true once a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.last_answer.borrow().is_some()
    }

    /// Returns the time of the last answers of a planned stop, once it has begun.
    pub(crate) fn last_answer(&self) -> Option<Instant> {
        *self.last_answer.borrow()
    }

    /// Waits until the last answers of a planned stop are due.
    pub(crate) async fn wait_for_last_answer(&self) {
        let mut last_answer = self.last_answer.subscribe();
        // The sender is a field of `self`, so it is never dropped meanwhile.
        let at = last_answer.wait_for(Option::is_some).await.ok().and_then(|at| *at);
        match at {
            Some(at) => tokio::time::sleep_until(at).await,
            None => std::future::pending().await,
        }
    }

    /// Returns true when the balancer may send callers to this box.
    ///
    /// A box needs a configuration and a first list of servers: without any list it would refuse requests although
    /// servers exist. A complete list counts even if it is empty, and so does a sample with servers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let view = self.view();
        !self.is_stopping() && view.table.is_some() && view.directory.is_usable()
    }
}
