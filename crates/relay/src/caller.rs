//! A connection of a caller.

use crate::RequestMemory;
use memory::Reservation;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::Notify;

/// Bytes of a request head that the buffer of a connection has room for in any case.
const SMALL_HEAD_BYTES: usize = 8 << 10;

/// What happens on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// No request has begun.
    Idle,
    /// A part of a request head has arrived.
    Head,
    /// A request is in progress.
    Request,
    /// The connection is about to be closed.
    Closing,
}

/// One open connection.
#[derive(Debug)]
pub struct Caller {
    phase: Cell<Phase>,
    /// When the phase began.
    since: Cell<Instant>,
    /// Bytes of the head that is arriving.
    head_bytes: Cell<usize>,
    /// Memory of a large head, until its request has ended.
    head: RefCell<Reservation>,
    memory: RequestMemory,
    closing: Notify,
    /// Number of the request that is being read, or was read last.
    reading: Cell<u64>,
    /// True if a request body was not read to its end, so that closing the connection would reset it.
    has_unread_body: Cell<bool>,
}

impl Caller {
    pub(crate) fn new(now: Instant, memory: &RequestMemory) -> Self {
        Self {
            head_bytes: Cell::default(),
            head: RefCell::new(memory.head_reservation()),
            memory: memory.clone(),
            phase: Cell::new(Phase::Idle),
            since: Cell::new(now),
            closing: Notify::new(),
            reading: Cell::default(),
            has_unread_body: Cell::default(),
        }
    }

    pub(crate) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Returns when the phase began.
    pub(crate) fn since(&self) -> Instant {
        self.since.get()
    }

    fn enter(&self, phase: Phase, now: Instant) {
        if self.phase.get() != Phase::Closing {
            self.phase.set(phase);
            self.since.set(now);
        }
    }

    /// Records that bytes have arrived. A head that finds no memory closes its connection.
    pub fn on_bytes(&self, count: usize, now: Instant) {
        if self.phase.get() == Phase::Idle {
            self.enter(Phase::Head, now);
            self.head_bytes.set(0);
        }
        if self.phase.get() == Phase::Head {
            self.head_bytes.set(self.head_bytes.get() + count);
            self.reserve_head();
        }
    }

    fn reserve_head(&self) {
        if self.head_bytes.get() <= SMALL_HEAD_BYTES {
            return;
        }
        let mut head = self.head.borrow_mut();
        // The buffer doubles, and is copied then.
        let more = (self.head_bytes.get().next_power_of_two() * 2).saturating_sub(head.bytes());
        if !head.grow(more) {
            metrics::counter!("cleatshelf_heads_refused_total").increment(1);
            *head = self.memory.head_reservation();
            self.close();
        }
    }

    /// Records that a request head has arrived. The request is in progress until the guard is dropped.
    pub fn begin_request(self: &Rc<Self>, now: Instant) -> RequestGuard {
        self.enter(Phase::Request, now);
        RequestGuard(Rc::clone(self))
    }

    /// Records that another request is expected, which has this number.
    pub fn expect(&self, number: u64) {
        self.reading.set(number);
    }

    /// Returns the number of the request that is being read, or was read last.
    pub fn reading(&self) -> u64 {
        self.reading.get()
    }

    /// Records that the rest of a request body won't be read.
    pub fn leave_unread(&self) {
        self.has_unread_body.set(true);
    }

    /// Returns true if a request body was not read to its end.
    pub fn has_unread_body(&self) -> bool {
        self.has_unread_body.get()
    }

    /// Returns true once the connection has to be closed.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.phase.get() == Phase::Closing
    }

    /// Waits until the connection has to be closed.
    pub async fn closing(&self) {
        self.closing.notified().await;
    }

    pub(crate) fn close(&self) {
        self.phase.set(Phase::Closing);
        self.closing.notify_one();
    }
}

/// A request in progress, until its answer has been written.
pub struct RequestGuard(Rc<Caller>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.enter(Phase::Idle, Instant::now());
        self.0.head.replace(self.0.memory.head_reservation());
    }
}
