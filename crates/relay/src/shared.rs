//! What the traffic threads and the control thread share.

use crate::{HeaderCodec, PeerClient};
use clock::Clock;
use placement::{Millis, Placement, Quarantine, Snapshot};
use routing::{Directory, Evacuations, Table};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use telemetry::SeenNames;

/// The configuration and servers in force. A new one replaces the old one whole.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration; none before the first.
    pub table: Option<Arc<Table>>,
    /// The servers.
    pub directory: Arc<Directory>,
    /// The halls whose servers are to get nothing.
    pub evacuations: Evacuations,
}

/// What the state of a box is made of.
pub struct Dependencies {
    /// Reads and writes headers.
    pub header_codec: Box<dyn HeaderCodec>,
    /// Asks the owners of servers.
    pub peer_client: Box<dyn PeerClient>,
    /// Chooses servers.
    pub placement: Placement,
    /// The same for all boxes, and known to nobody else: fingerprints of requests are made with it.
    pub secret: u64,
    /// What all but waits goes by.
    pub clock: Arc<dyn Clock>,
}

/// State of one box that all its threads see.
pub struct Shared {
    /// Reads and writes headers.
    pub header_codec: Box<dyn HeaderCodec>,
    /// Asks the owners of servers.
    pub peer_client: Box<dyn PeerClient>,
    view: RwLock<Arc<View>>,
    placement: Mutex<Placement>,
    pub(crate) quarantine: Mutex<Quarantine>,
    /// Known to boxes only; fingerprints of requests are made with it.
    pub(crate) secret: u64,
    clock: Arc<dyn Clock>,
    /// When this was made, by that clock.
    started: Millis,
    stopping: AtomicBool,
    /// Numbers of questions and leases, unique in this process.
    pub(crate) numbers: AtomicU64,
    /// Requests that are not ended.
    pub running: AtomicUsize,
    /// Headers of answers that operators were told of.
    pub(crate) reported_headers: SeenNames,
}

impl Shared {
    /// State with nothing known yet.
    #[must_use]
    pub fn new(parts: Dependencies) -> Arc<Self> {
        let Dependencies { header_codec, peer_client, placement, secret, clock } = parts;
        Arc::new(Self {
            header_codec,
            peer_client,
            view: RwLock::default(),
            placement: Mutex::new(placement),
            quarantine: Mutex::default(),
            secret,
            started: clock.now(),
            clock,
            stopping: AtomicBool::new(false),
            numbers: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            reported_headers: SeenNames::default(),
        })
    }

    /// Now, counted from when this was made; goes on while the machine is suspended.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.clock.now().saturating_sub(self.started)
    }

    /// The clock that this goes by.
    pub(crate) fn clock(&self) -> Arc<dyn Clock> {
        Arc::clone(&self.clock)
    }

    /// The configuration and servers in force.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts a configuration and servers in force.
    pub fn set_view(&self, view: View) {
        if let Some(table) = &view.table {
            let in_force = Snapshot { table, directory: &view.directory, evacuations: &view.evacuations };
            self.placement().update(&in_force, self.now());
        }
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
    }

    /// The placement, for a short while: nobody awaits while holding it.
    pub fn placement(&self) -> MutexGuard<'_, Placement> {
        self.placement.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A planned stop begins.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// True once a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// True when callers may be sent here: before the first list of servers, also an empty one, or a sample of it, they would be refused
    /// though servers are there.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let view = self.view();
        !self.is_stopping() && view.table.is_some() && view.directory.is_usable()
    }
}
