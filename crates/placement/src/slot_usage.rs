//! Use of a service's slots, as far as the owners of its servers reported.

use crate::member::Member;
use crate::shedding::{is_recent, REPORT_TTL};
use crate::{AdmissionState, Millis};
use std::collections::{BTreeMap, VecDeque};

/// Time for which a result is reused. Under load, hundreds of requests a second ask for it.
const RESULT_TTL: Millis = 20;

/// Most reports that are kept: those of a second at a hundred requests a second.
const MAX_REPORTS: usize = 1_024;

/// Use of the slots of some servers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlotUsage {
    /// Number of the servers.
    servers: u32,
    /// Free slots of all of them. Requests that wait at one server take no slot of another.
    free: u32,
}

impl SlotUsage {
    /// Returns the use of the open servers whose load was reported within the last second.
    fn of<'a>(members: impl Iterator<Item = &'a Member>, now: Millis) -> Self {
        let mut usage = Self::default();
        for member in members.filter(|member| member.admission_state(now) == AdmissionState::Open) {
            let Some(status) = member.status_within(REPORT_TTL, now) else { continue };
            usage.servers += 1;
            // A server that turns requests away has no free slot, whatever was counted.
            if !member.is_full(now) {
                usage.free = usage.free.saturating_add(member.server.slots.saturating_sub(status.load.running));
            }
        }
        usage
    }

    /// True if the servers have a free slot each on average, so that a request finds one wherever it goes, or if no load was
    /// reported.
    pub(crate) fn has_free(self) -> bool {
        self.free >= self.servers
    }
}

/// The use of a service's slots, by the servers whose load was reported within the last second.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotUsageTracker {
    /// Servers in the order of the reports on them, with their times. Kept apart from the pool's servers, of which a box of
    /// a large fleet has heard thousands.
    reported: VecDeque<(Millis, String)>,
    /// The last result, and when it was computed; `None` before the first.
    last: Option<(Millis, SlotUsage)>,
}

impl SlotUsageTracker {
    /// Records that the load of a server was reported.
    pub(crate) fn record(&mut self, id: &str, now: Millis) {
        if self.reported.len() >= MAX_REPORTS {
            self.reported.pop_front();
        }
        self.reported.push_back((now, id.to_owned()));
    }

    /// Returns the use of the slots, up to 20 ms old.
    pub(crate) fn get(&mut self, members: &BTreeMap<String, Member>, now: Millis) -> SlotUsage {
        match self.last {
            Some((at, usage)) if (at..at.saturating_add(RESULT_TTL)).contains(&now) => usage,
            _ => {
                while self.reported.front().is_some_and(|(at, _)| !is_recent(*at, now)) {
                    self.reported.pop_front();
                }
                // A server counts once, by its last report.
                let is_last =
                    |member: &&Member, at: Millis| member.status.as_ref().is_some_and(|(_, last)| *last == at);
                let last_reports =
                    self.reported.iter().filter_map(|(at, id)| members.get(id).filter(|member| is_last(member, *at)));
                let usage = SlotUsage::of(last_reports, now);
                self.last = Some((now, usage));
                usage
            }
        }
    }
}
