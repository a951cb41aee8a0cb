//! Fair sharing between urgency classes where a server takes few requests.
//!
//! Permits are granted in the order of requests, and less urgent classes ask more often. So that they don't take what
//! more urgent ones need, they get permits only while the server receives less than it takes.

use crate::permit::Quota;
use crate::Millis;

/// Time for which a class counts as present after its last request for a permit.
const PRESENCE_WINDOW: Millis = 2_000;

/// A class that has waited this long for a permit gets one whichever other classes are present, so that none starves.
const STARVATION_TIMEOUT: Millis = 10_000;

/// Number of urgency classes that are distinguished.
const URGENCY_CLASSES: usize = 10;

/// Returns the index of an urgency's class, 0 for the most urgent.
pub(crate) fn class_index(urgency: u8) -> usize {
    usize::from(urgency).min(URGENCY_CLASSES - 1)
}

/// One value per urgency class.
pub(crate) type PerUrgency<T> = [T; URGENCY_CLASSES];

/// The classes that request permits for one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairShare {
    /// Time of each class's last request for a permit; `None` before the first.
    last_requested: PerUrgency<Option<Millis>>,
    /// Start of each class's wait for a permit; `None` if it isn't waiting.
    waiting_since: PerUrgency<Option<Millis>>,
}

impl FairShare {
    /// Records a request for a permit, and returns the quota that applies to its class: each more urgent class that
    /// is present makes the window twice, three times, … as long.
    pub(crate) fn quota_for(&mut self, urgency: u8, quota: &Quota, now: Millis) -> Quota {
        let class = class_index(urgency);
        self.last_requested[class] = Some(now);
        let since = *self.waiting_since[class].get_or_insert(now);
        if now >= since + STARVATION_TIMEOUT {
            return *quota;
        }
        let present = |last: &&Option<Millis>| last.is_some_and(|at| now < at + PRESENCE_WINDOW);
        let more_urgent = self.last_requested[..class].iter().filter(present).count() as Millis;
        Quota { window: quota.window * (1 + more_urgent), ..*quota }
    }

    /// Records that a permit was granted.
    pub(crate) fn record_granted(&mut self, urgency: u8) {
        self.waiting_since[class_index(urgency)] = None;
    }
}
