//! Use of a service's slots, as far as the owners of its servers reported.

use crate::member::Member;
use crate::shedding::REPORT_TTL;
use crate::{AdmissionState, Millis};

/// Time for which a result is reused. Under load, hundreds of requests a second ask for it.
const RESULT_TTL: Millis = 20;

/// Use of the slots of some servers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlotUsage {
    /// Number of the servers.
    pub(crate) servers: u32,
    /// Slots of all of them.
    pub(crate) slots: u32,
    /// Requests there, waiting ones included.
    pub(crate) running: u32,
}

impl SlotUsage {
    /// Returns the use of the open servers whose load was reported within the last second.
    fn of<'a>(members: impl Iterator<Item = &'a Member>, now: Millis) -> Self {
        let mut usage = Self::default();
        for member in members.filter(|member| member.admission_state(now) == AdmissionState::Open) {
            let Some(status) = member.status_within(REPORT_TTL, now) else { continue };
            let slots = member.server.slots;
            // A server that turns requests away has no free slot, whatever was counted.
            let running = if member.is_full(now) { status.load.running.max(slots) } else { status.load.running };
            usage.servers += 1;
            usage.slots = usage.slots.saturating_add(slots);
            usage.running = usage.running.saturating_add(running);
        }
        usage
    }

    /// True if the servers have a free slot each on average, so that a request finds one wherever it goes, or if no load was
    /// reported.
    pub(crate) fn has_free(self) -> bool {
        self.running.saturating_add(self.servers) <= self.slots
    }
}

/// The use of a service's slots, updated at intervals.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotUsageCache {
    /// The last result, and when it was computed; `None` before the first.
    last: Option<(Millis, SlotUsage)>,
}

impl SlotUsageCache {
    /// Returns the use of these servers' slots, up to 20 ms old.
    pub(crate) fn get<'a>(&mut self, members: impl Iterator<Item = &'a Member>, now: Millis) -> SlotUsage {
        match self.last {
            Some((at, usage)) if (at..at.saturating_add(RESULT_TTL)).contains(&now) => usage,
            _ => {
                let usage = SlotUsage::of(members, now);
                self.last = Some((now, usage));
                usage
            }
        }
    }
}
