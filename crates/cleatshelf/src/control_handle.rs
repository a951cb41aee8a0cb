//! Access of the traffic threads to the control thread.

use crate::Control;
use actix::Addr;
use clock::Clock;
use gateway::{ControlHandle, ControlRequest, Snapshot};
use policy::Time;
use std::sync::{Arc, RwLock};

/// The snapshot of the state in force, updated by the control thread.
pub type SharedSnapshot = Arc<RwLock<Arc<Snapshot>>>;

/// A handle to the control actor.
pub struct ActorControlHandle {
    /// The control actor.
    pub control: Addr<Control>,
    /// The state in force.
    pub snapshot: SharedSnapshot,
    /// A clock that also advances while the process is suspended.
    pub clock: Arc<dyn Clock>,
}

impl ControlHandle for ActorControlHandle {
    fn submit(&self, request: ControlRequest) {
        // The front end limits the number of requests, which bounds this queue as well.
        self.control.do_send(crate::control::Traffic(request));
    }

    fn snapshot(&self) -> Arc<Snapshot> {
        // A poisoned lock means that a thread panicked while holding it; the value itself is intact.
        let guard = self.snapshot.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        Arc::clone(&guard)
    }

    fn now(&self) -> Time {
        Time(self.clock.now())
    }
}
