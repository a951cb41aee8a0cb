//! The control thread as the traffic threads see it.

use crate::Control;
use actix::Addr;
use clock::Clock;
use gateway::{ControlHandle, ControlRequest, Snapshot};
use policy::Time;
use std::sync::{Arc, RwLock};

/// The snapshot that the control thread keeps up to date.
pub type Shared = Arc<RwLock<Arc<Snapshot>>>;

/// The control thread as the traffic threads see it.
pub struct ControlDesk {
    /// The control actor.
    pub control: Addr<Control>,
    /// What is in force.
    pub shared: Shared,
    /// The clock that counts through a freeze.
    pub clock: Arc<dyn Clock>,
}

impl ControlHandle for ControlDesk {
    fn submit(&self, request: ControlRequest) {
        // The number of requests is bounded at the door, so this queue is bounded as well.
        self.control.do_send(crate::control::Traffic(request));
    }

    fn snapshot(&self) -> Arc<Snapshot> {
        // A poisoned lock only says that some thread died while holding it; the value is whole.
        let guard = self.shared.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        Arc::clone(&guard)
    }

    fn now(&self) -> Time {
        Time(self.clock.now())
    }
}
