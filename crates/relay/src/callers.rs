//! The connections of callers.

use crate::caller::{Caller, Phase};
use crate::RequestMemory;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The open connections of one traffic thread.
pub struct Callers {
    memory: RequestMemory,
    open: RefCell<BTreeMap<u64, Rc<Caller>>>,
    next: Cell<u64>,
}

impl Callers {
    /// Creates a set without connections, whose large heads take this memory.
    #[must_use]
    pub fn new(memory: &RequestMemory) -> Self {
        Self { memory: memory.clone(), open: RefCell::default(), next: Cell::default() }
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Adds a connection that was opened now.
    pub fn add(self: &Rc<Self>, now: Instant) -> CallerGuard {
        let number = self.next.replace(self.next.get() + 1);
        let caller = Rc::new(Caller::new(now, &self.memory));
        self.open.borrow_mut().insert(number, Rc::clone(&caller));
        CallerGuard { callers: Rc::clone(self), number, caller }
    }

    /// Closes the connection that has been idle for the longest time, or else the one whose head has taken the longest.
    /// Returns false if a request is in progress on each.
    pub fn close_one(&self) -> bool {
        let open = self.open.borrow();
        let unused = open.values().filter(|caller| caller.phase() < Phase::Request);
        let oldest = unused.min_by_key(|caller| (caller.phase(), caller.since()));
        oldest.inspect(|caller| caller.close()).is_some()
    }

    /// Closes all connections without a request in progress.
    pub fn close_unused(&self) {
        let open = self.open.borrow();
        open.values().filter(|caller| caller.phase() < Phase::Request).for_each(|caller| caller.close());
    }

    /// Closes the connections whose head is incomplete after this time.
    pub fn close_slow_heads(&self, timeout: Duration, now: Instant) {
        let open = self.open.borrow();
        let heads = open.values().filter(|caller| caller.phase() == Phase::Head);
        heads
            .filter(|caller| now.saturating_duration_since(caller.since()) > timeout)
            .for_each(|caller| caller.close());
    }
}

/// Keeps a connection among the open ones until dropped.
pub struct CallerGuard {
    callers: Rc<Callers>,
    number: u64,
    /// The connection.
    pub caller: Rc<Caller>,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.callers.open.borrow_mut().remove(&self.number);
    }
}
