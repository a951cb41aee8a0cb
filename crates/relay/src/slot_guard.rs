//! A request's slot at a server.

use crate::shared::Shared;
use crate::slot::SlotLease;
use placement::{Choice, Ending, Millis, Prompt, SendReport, SendUpdate, Work};
use routing::Server;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// A request's slot at a server in the placement's accounts. The slot is released on drop.
pub(crate) struct SlotGuard {
    shared: Arc<Shared>,
    service: String,
    pub(crate) server: Arc<Server>,
    /// When the slot was taken.
    pub(crate) sent: Millis,
    work: Work,
    prefill_done: bool,
    /// When the first event came, or the whole answer; `None` before.
    answering_since: Option<Millis>,
    /// When the connection was opened on which it came.
    connection_opened: Option<Millis>,
    /// True once the request's parts were recorded as survived.
    survival_recorded: bool,
    /// True once a pause between events exceeded the gap limit.
    late: bool,
    /// The longest pause between two events.
    pause_ms: u32,
    ending: Ending,
    /// The servers whose owners keep the cache directory of a prompt part, with that part. They are notified after
    /// prefill.
    cache_directories: Vec<(Arc<Server>, u64)>,
    /// The request's number in reports to the server's owner; `None` for requests without a prompt.
    lease: Option<u64>,
    /// The slot that a dispatcher assigned; released with this one.
    assigned: Option<SlotLease>,
}

impl SlotGuard {
    /// Takes a slot at the chosen server and reports the send to the server's owner.
    pub(crate) fn new(shared: &Arc<Shared>, service: &str, choice: &Choice, prompt: Option<&Prompt>) -> Self {
        let work = choice.work;
        shared.placement().record_sent(service, &choice.server.id, work);
        let slot = Self {
            shared: Arc::clone(shared),
            service: service.to_owned(),
            server: Arc::clone(&choice.server),
            sent: shared.now(),
            work,
            prefill_done: false,
            answering_since: None,
            connection_opened: None,
            survival_recorded: false,
            late: false,
            pause_ms: 0,
            ending: Ending::Left,
            cache_directories: choice.cache_directories.clone(),
            lease: prompt.map(|_| shared.numbers.fetch_add(1, Ordering::Relaxed)),
            assigned: None,
        };
        if let Some(prompt) = prompt {
            let memory = shared.placement().cache_capacity(service);
            let permitted = choice.permit_quotas.is_some();
            slot.report(SendUpdate::Sent { parts: prompt.parts.clone(), work, memory, permitted });
        }
        slot
    }

    /// Holds the slot that a dispatcher assigned until this one is released.
    pub(crate) fn hold(&mut self, assigned: SlotLease) {
        self.assigned = Some(assigned);
    }

    /// Records the end of prefill, told on a connection that was opened at `opened`. Returns true on the first call.
    pub(crate) fn on_prefill_done(&mut self, opened: Millis) -> bool {
        let first = !std::mem::replace(&mut self.prefill_done, true);
        if first {
            self.answering_since = Some(self.shared.now());
            self.connection_opened = Some(opened);
            self.on_server_answered();
            self.shared.placement().record_prefilled(&self.service, &self.server.id, self.work);
            self.report(SendUpdate::Read);
            self.notify_cache_directories();
        }
        first
    }

    /// True if an event came, or the whole answer.
    pub(crate) fn has_answered(&self) -> bool {
        self.answering_since.is_some()
    }

    /// True if the server has been answering for this time.
    pub(crate) fn has_answered_for(&self, time: Millis, now: Millis) -> bool {
        self.answering_since.is_some_and(|since| now >= since + time)
    }

    /// Returns true once: when the server has been answering for this time.
    pub(crate) fn take_survival(&mut self, time: Millis) -> bool {
        let is_new = !self.survival_recorded && self.has_answered_for(time, self.shared.now());
        self.survival_recorded |= is_new;
        is_new
    }

    /// Records the time between two events. The first one above the gap limit marks the answer as late.
    pub(crate) fn record_pause(&mut self, pause: Duration) {
        let ms = u32::try_from(pause.as_millis()).unwrap_or(u32::MAX);
        self.pause_ms = self.pause_ms.max(ms);
        if self.work.gap_ms > 0 && ms > self.work.gap_ms && !std::mem::replace(&mut self.late, true) {
            self.shared.placement().record_late(&self.service, &self.server.id, self.work);
            self.report(SendUpdate::Late);
        }
    }

    /// Records that the server answered, which is liveness evidence.
    ///
    /// Where the instance id differs from the name, a newer instance of which this box doesn't know yet may have sent the
    /// answer.
    fn on_server_answered(&self) {
        if self.server.id == self.server.name {
            self.shared.on_server_answered(&self.server.id);
        } else if let Some(opened) = self.connection_opened {
            self.shared.on_instance_answered(&self.server.id, opened);
        }
    }

    /// Notifies the cache directories that this server has now cached the parts.
    fn notify_cache_directories(&mut self) {
        for (directory, part) in std::mem::take(&mut self.cache_directories) {
            let update = SendUpdate::Elsewhere { part, by: self.server.id.clone() };
            let report = SendReport { number: 0, server: directory.id.clone(), update };
            self.shared.peer_client.report(&directory, report);
        }
    }

    fn report(&self, update: SendUpdate) {
        if let Some(number) = self.lease {
            let report = SendReport { number, server: self.server.id.clone(), update };
            self.shared.peer_client.report(&self.server, report);
        }
    }

    /// Sets how the send ended. A slot that is dropped without this call counts as abandoned by the caller.
    pub(crate) fn finish(mut self, ending: Ending) {
        if ending == Ending::Good {
            self.on_server_answered();
        }
        self.ending = ending;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if !std::mem::replace(&mut self.prefill_done, true) {
            self.shared.placement().record_prefilled(&self.service, &self.server.id, self.work);
        }
        if !std::mem::replace(&mut self.late, true) {
            self.shared.placement().record_late(&self.service, &self.server.id, self.work);
        }
        self.report(SendUpdate::Ended { ending: self.ending, pause_ms: self.pause_ms });
        let now: Millis = self.shared.now();
        self.shared.placement().record_end(&self.service, &self.server.id, self.work, self.ending, now);
        if let Some(assigned) = self.assigned.take() {
            assigned.finish(self.ending, now);
        }
    }
}
