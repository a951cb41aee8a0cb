//! Request bodies that are arriving.

use crate::request_body::{BodyBuffer, RequestBody};
use crate::Shared;
use memory::Reservation;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use telemetry::Event;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Interval between log lines about refused bodies.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The request bodies that are arriving on one traffic thread. They share the memory for bodies with those that have arrived.
///
/// Where it is used up, the arriving body gives way that has taken the most memory for the longest time. Bodies that have
/// arrived never do: their requests may have been sent.
pub(crate) struct Uploads {
    pub(crate) shared: Arc<Shared>,
    arriving: RefCell<BTreeMap<u64, Rc<Buffered>>>,
    next: Cell<u64>,
    /// Bodies refused since the last log line.
    refused: Cell<u64>,
    logged: Cell<Option<Instant>>,
}

/// The part of a body that has arrived.
struct Buffered {
    since: Instant,
    /// `None` once the body has given way.
    content: RefCell<Option<(BodyBuffer, Reservation)>>,
    gave_way: Notify,
}

impl Buffered {
    /// Returns what the body has cost so far, in byte seconds.
    fn cost(&self, now: Instant) -> f64 {
        let bytes = self.content.borrow().as_ref().map_or(0, |(_, reservation)| reservation.bytes());
        bytes as f64 * now.saturating_duration_since(self.since).as_secs_f64()
    }

    /// Frees the memory at once; the task that receives the body may not run soon.
    fn give_way(&self) {
        *self.content.borrow_mut() = None;
        self.gave_way.notify_one();
    }
}

impl Uploads {
    pub(crate) fn new(shared: &Arc<Shared>) -> Rc<Self> {
        Rc::new(Self {
            shared: Arc::clone(shared),
            arriving: RefCell::default(),
            next: Cell::default(),
            refused: Cell::default(),
            logged: Cell::default(),
        })
    }

    /// Begins to receive a body, of this length if it was stated.
    pub(crate) fn begin(self: &Rc<Self>, stated: Option<usize>) -> Upload {
        let content = (BodyBuffer::new(stated), self.shared.request_memory.reservation());
        let buffered =
            Rc::new(Buffered { since: Instant::now(), content: RefCell::new(Some(content)), gave_way: Notify::new() });
        let number = self.next.replace(self.next.get() + 1);
        self.arriving.borrow_mut().insert(number, Rc::clone(&buffered));
        Upload { uploads: Rc::clone(self), number, buffered }
    }

    /// Frees memory until the body has room for `more` bytes. Returns false if it has to give way itself.
    fn make_room(&self, body: &Rc<Buffered>, held: usize, more: usize) -> bool {
        while !self.shared.request_memory.has_room(held, more) {
            let now = Instant::now();
            let arriving = self.arriving.borrow();
            let others = arriving.values().filter(|other| !Rc::ptr_eq(other, body));
            let costliest = others.max_by(|a, b| a.cost(now).total_cmp(&b.cost(now)));
            match costliest {
                Some(other) if other.cost(now) > body.cost(now) => {
                    other.give_way();
                }
                _ => return false,
            }
        }
        true
    }

    /// Lets the oldest body give way. Returns false if none is arriving.
    pub(crate) fn refuse_oldest(&self) -> bool {
        let arriving = self.arriving.borrow();
        // Numbers ascend with time.
        let oldest = arriving.values().find(|buffered| buffered.content.borrow().is_some());
        oldest.inspect(|buffered| buffered.give_way()).is_some()
    }

    fn on_refused(&self) {
        metrics::counter!("cleatshelf_bodies_refused_total").increment(1);
        self.refused.set(self.refused.get() + 1);
        if self.logged.get().is_some_and(|logged| logged.elapsed() < LOG_INTERVAL) {
            return;
        }
        self.logged.set(Some(Instant::now()));
        let memory = &self.shared.request_memory;
        telemetry::emit(
            Event::BodiesRefused,
            format_args!("bodies={} used={} limit={}", self.refused.take(), memory.used(), memory.limit()),
        );
    }
}

/// A body that is arriving. Its memory is released when this value is dropped.
pub(crate) struct Upload {
    uploads: Rc<Uploads>,
    number: u64,
    buffered: Rc<Buffered>,
}

/// The body has given way to others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GaveWay;

impl Upload {
    /// Returns the number of bytes that have arrived.
    pub(crate) fn len(&self) -> usize {
        self.buffered.content.borrow().as_ref().map_or(0, |(buffer, _)| buffer.received())
    }

    /// Appends content.
    ///
    /// # Errors
    /// If there is no memory for it.
    pub(crate) fn push(&self, content: &[u8]) -> Result<(), GaveWay> {
        let sizes =
            self.buffered.content.borrow().as_ref().map(|(buffer, held)| (held.bytes(), buffer.growth(content.len())));
        let Some((held, growth)) = sizes else { return Err(GaveWay) };
        if growth > 0 && !self.uploads.make_room(&self.buffered, held, growth) {
            self.uploads.on_refused();
            return Err(GaveWay);
        }
        if let Some((buffer, reservation)) = self.buffered.content.borrow_mut().as_mut() {
            reservation.add(growth);
            buffer.push(content);
        }
        Ok(())
    }

    /// Waits until the body has given way.
    pub(crate) async fn gave_way(&self) -> GaveWay {
        self.buffered.gave_way.notified().await;
        self.uploads.on_refused();
        GaveWay
    }

    /// Returns the whole body.
    ///
    /// # Errors
    /// If it has given way.
    pub(crate) fn finish(self) -> Result<RequestBody, GaveWay> {
        let (buffer, reservation) = self.buffered.content.take().ok_or(GaveWay)?;
        Ok(buffer.finish(reservation))
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        self.uploads.arriving.borrow_mut().remove(&self.number);
    }
}
