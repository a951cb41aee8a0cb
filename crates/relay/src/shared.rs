//! State shared by the traffic threads and the control thread.

use crate::{AnswerMemory, HeaderCodec, Network, PeerClient, Returns};
use clock::Clock;
use origins::Origins;
use placement::{Millis, Placement, Quarantine, Snapshot};
use routing::{Directory, Evacuations, Table};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use telemetry::SeenNames;

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
    stopping: AtomicBool,
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
    pub answer_memory: Arc<AnswerMemory>,
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
            stopping: AtomicBool::new(false),
            numbers: AtomicU64::new(0),
            slot_numbers: AtomicU64::new(u64::from(rand::random::<u32>())),
            running: AtomicUsize::new(0),
            reported_headers: SeenNames::default(),
            answer_memory: Arc::default(),
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

    /// Marks the beginning of a planned stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns true once a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
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
