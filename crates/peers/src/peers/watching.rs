//! Election of the boxes of a hall that watch the publisher for the others.

use super::Peers;
use crate::member::Member;
use crate::{Action, Millis, WatchRole};
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Interval between a watcher's heartbeats. Two lost heartbeats and a read of the publisher take less than 2
/// s, the shortest bound on the age of updates.
const HEARTBEAT_INTERVAL: Millis = 400;

/// Size of a hall above which the heartbeat interval grows in proportion, so that a watcher's traffic stays
/// bounded.
const HEARTBEAT_SCALING_BOXES: u64 = 40;

/// Number of consecutive heartbeats that may be missed before a watcher is no longer relied upon.
const MAX_MISSED_HEARTBEATS: Millis = 2;

/// Size of a hall from which on two boxes watch, so that the loss of one has no effect.
const MIN_BOXES_FOR_TWO_WATCHERS: usize = 5;

/// When too few boxes of a hall watch, others start in groups of one, two, four, eight, with this delay
/// between groups. It gives the previous group time to read the publisher and to announce it.
const TAKEOVER_DELAY: Millis = 180;

/// Time during which a new box listens for watchers before it may become one. By then, boxes that start
/// together know each other and take turns. A new box has read the publisher once and needs no updates for
/// some seconds. Seeds don't listen.
const LISTEN_WINDOW: Millis = 600;

/// Time during which a box that has not read its first list yet counts as a watcher. Without this, all of a
/// hall's boxes would start to watch while the first of them reads.
const FIRST_LIST_TIMEOUT: Millis = 2_000;

impl Peers {
    /// Returns the role of this box in watching the publisher.
    #[must_use]
    pub fn watch_role(&self, now: Millis) -> WatchRole {
        let mut preceding =
            self.hall_peers().filter(|(address, m)| self.precedes(address, m) && self.is_watcher(m, now));
        match (self.watching, preceding.next()) {
            (false, _) => WatchRole::Off,
            (true, None) => WatchRole::Primary,
            (true, Some(_)) => WatchRole::Secondary,
        }
    }

    pub(super) fn update_watching(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let hall = self.hall_peers();
        let counts = |m: &Member| self.is_watcher(m, now) || self.is_reading_first_list(m, now);
        let watchers = hall.clone().filter(|(_, m)| counts(m)).count();
        let preceding_watchers = hall.clone().filter(|(a, m)| self.precedes(a, m) && self.is_watcher(m, now)).count();
        let rank = hall.filter(|(a, m)| self.precedes(a, m)).count();
        if self.watching {
            if preceding_watchers >= self.target_watchers() {
                self.watching = false;
                self.watchers_missing_since = None;
                actions.push(Action::SetWatching(false));
            }
            return;
        }
        let started = *self.started.get_or_insert(now);
        if watchers >= self.target_watchers() || (now < started + LISTEN_WINDOW && !self.is_seed) {
            self.watchers_missing_since = None;
            return;
        }
        let since = *self.watchers_missing_since.get_or_insert(now);
        if now >= since + TAKEOVER_DELAY * Millis::from(usize::BITS - rank.leading_zeros()) {
            self.watching = true;
            self.watchers_missing_since = None;
            self.schedule_full_heartbeat();
            actions.push(Action::SetWatching(true));
        }
    }

    /// Returns the number of boxes of this hall that should watch.
    pub(super) fn target_watchers(&self) -> usize {
        if self.hall_peers + 1 < MIN_BOXES_FOR_TWO_WATCHERS {
            1
        } else {
            2
        }
    }

    /// Returns true if another box of the hall is preferred as a watcher, by its capacity or else by its
    /// lower address.
    pub(super) fn precedes(&self, address: &SocketAddr, member: &Member) -> bool {
        let theirs = (Reverse(member.profile.capacity), *address);
        theirs < (Reverse(self.profile.capacity), self.me)
    }

    pub(super) fn is_watcher(&self, member: &Member, now: Millis) -> bool {
        self.is_recent(member.last_watching, now)
    }

    /// Returns true for a box that is about to watch and reads its first list.
    pub(super) fn is_reading_first_list(&self, member: &Member, now: Millis) -> bool {
        member.reading_since.is_some_and(|at| now <= at + FIRST_LIST_TIMEOUT)
            && self.is_recent(member.last_heartbeat, now)
    }

    /// Returns true if at most [`MAX_MISSED_HEARTBEATS`] heartbeats have been missed since `at`.
    pub(super) fn is_recent(&self, at: Option<Millis>, now: Millis) -> bool {
        let max_age = self.heartbeat_interval() * (MAX_MISSED_HEARTBEATS + 1);
        at.is_some_and(|at| now <= at + max_age)
    }

    pub(super) fn heartbeat_interval(&self) -> Millis {
        HEARTBEAT_INTERVAL * (self.hall_peers as u64).max(HEARTBEAT_SCALING_BOXES) / HEARTBEAT_SCALING_BOXES
    }
}
