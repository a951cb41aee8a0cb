//! Whose turn it is where a server takes few requests.
//!
//! Leave is given to who asks first, and the less urgent ask more often. So that they don't take what more urgent ones need, they get
//! leave only where the server had less than it takes.

use crate::permit::Quota;
use crate::Millis;

/// How long a class counts as present after it asked.
const PRESENCE_WINDOW: Millis = 2_000;

/// A class that asks and got no leave for so long gets its turn whoever else is present: none starves.
const STARVATION_TIMEOUT: Millis = 10_000;

/// Most urgencies that are told apart.
const URGENCY_CLASSES: usize = 10;

/// The place of an urgency among those that are told apart, 0 for the most urgent.
pub(crate) fn class_index(urgency: u8) -> usize {
    usize::from(urgency).min(URGENCY_CLASSES - 1)
}

/// What each urgency has of it.
pub(crate) type PerUrgency<T> = [T; URGENCY_CLASSES];

/// The classes that ask for leave to send to one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairShare {
    /// When each asked last; none before the first.
    last_requested: PerUrgency<Option<Millis>>,
    /// Since when each waits for leave; none where it doesn't.
    waiting_since: PerUrgency<Option<Millis>>,
}

impl FairShare {
    /// A class asks for leave by this quota. Returns the quota by which it may have it: each more urgent class that is present makes
    /// the span twice, three times, … as long.
    pub(crate) fn quota_for(&mut self, urgency: u8, quota: &Quota, now: Millis) -> Quota {
        let class = class_index(urgency);
        self.last_requested[class] = Some(now);
        let since = *self.waiting_since[class].get_or_insert(now);
        if now >= since + STARVATION_TIMEOUT {
            return *quota;
        }
        let present = |asked: &&Option<Millis>| asked.is_some_and(|at| now < at + PRESENCE_WINDOW);
        let before = self.last_requested[..class].iter().filter(present).count() as Millis;
        Quota { window: quota.window * (1 + before), ..*quota }
    }

    /// It got leave.
    pub(crate) fn record_granted(&mut self, urgency: u8) {
        self.waiting_since[class_index(urgency)] = None;
    }
}
