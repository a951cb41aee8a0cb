//! Who of a hall watches the publisher, by whom the others hear.

use super::Peers;
use crate::member::Member;
use crate::{Action, Millis, WatchRole};
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Pause between a watcher's heartbeats. Two lost ones and a read of the publisher stay within the shortest
/// bound for news, 2 s.
const BEAT_EVERY: Millis = 400;

/// Boxes of a hall up to which heartbeats come that often; with more they come in proportion rarer, so that
/// a watcher's bytes stay bounded.
const BEAT_BOXES: u64 = 40;

/// Heartbeats that may be missing before a watcher isn't relied upon.
const BEATS_LOST: Millis = 2;

/// Boxes of a hall from which on two of them watch, so that the loss of one costs nobody anything.
const BOXES_FOR_TWO: usize = 5;

/// When too few boxes of a hall watch, the others begin one, two, four, eight at a time, this long after each
/// other: long enough for those before to read the publisher and to say so.
const STAGGER: Millis = 180;

/// How long a box that has just come listens for watchers before it begins to be one itself: boxes that start
/// together know each other by then, and take turns. It has read the publisher once, and needs no news for
/// some seconds more. A box that others begin with doesn't listen.
const LISTEN: Millis = 600;

/// How long a box counts as a watcher that has not read its first list yet. Without this all of a hall's
/// boxes begin to watch while the first of them reads.
const FIRST_LIST_MOST: Millis = 2_000;

impl Peers {
    /// What this box watches the publisher as.
    #[must_use]
    pub fn watch_role(&self, now: Millis) -> WatchRole {
        let mut before =
            self.mates().filter(|(address, m)| self.goes_before(address, m) && self.heard_watching(m, now));
        match (self.watching, before.next()) {
            (false, _) => WatchRole::Off,
            (true, None) => WatchRole::Primary,
            (true, Some(_)) => WatchRole::Secondary,
        }
    }

    pub(super) fn decide(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mine = self.mates();
        let relied = |m: &Member| self.heard_watching(m, now) || self.heard_beginning(m, now);
        let heard = mine.clone().filter(|(_, m)| relied(m)).count();
        let before = mine.clone().filter(|(a, m)| self.goes_before(a, m) && self.heard_watching(m, now)).count();
        let place = mine.filter(|(a, m)| self.goes_before(a, m)).count();
        if self.watching {
            if before >= self.enough() {
                self.watching = false;
                self.lacking = None;
                actions.push(Action::SetWatching(false));
            }
            return;
        }
        let began = *self.began.get_or_insert(now);
        if heard >= self.enough() || (now < began + LISTEN && !self.first) {
            self.lacking = None;
            return;
        }
        let since = *self.lacking.get_or_insert(now);
        if now >= since + STAGGER * Millis::from(usize::BITS - place.leading_zeros()) {
            self.watching = true;
            self.lacking = None;
            self.tell_all();
            actions.push(Action::SetWatching(true));
        }
    }

    /// Boxes of this hall that are to watch.
    pub(super) fn enough(&self) -> usize {
        if self.mates + 1 < BOXES_FOR_TWO {
            1
        } else {
            2
        }
    }

    /// True when another box of the hall is to watch before this one: it can do more, or else has a lower
    /// address.
    pub(super) fn goes_before(&self, address: &SocketAddr, member: &Member) -> bool {
        let theirs = (Reverse(member.profile.capacity), *address);
        theirs < (Reverse(self.profile.capacity), self.me)
    }

    pub(super) fn heard_watching(&self, member: &Member, now: Millis) -> bool {
        self.lately(member.watched, now)
    }

    /// True for a box that is about to watch: it reads its first list.
    pub(super) fn heard_beginning(&self, member: &Member, now: Millis) -> bool {
        member.begins.is_some_and(|at| now <= at + FIRST_LIST_MOST) && self.lately(member.tried, now)
    }

    /// True when no more heartbeats are missing since then than may be lost.
    pub(super) fn lately(&self, at: Option<Millis>, now: Millis) -> bool {
        let longest = self.beat_every() * (BEATS_LOST + 1);
        at.is_some_and(|at| now <= at + longest)
    }

    pub(super) fn beat_every(&self) -> Millis {
        BEAT_EVERY * (self.mates as u64).max(BEAT_BOXES) / BEAT_BOXES
    }
}
