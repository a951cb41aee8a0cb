//! Which boxes take part: they start, leave, fall silent and start again.
//!
//! A life of a box is its address and incarnation. A box that leaves says so. Silence is judged by those that would hear
//! from the box: the watchers of its hall. Watchers pass changes on to their hall, and those of their hall to the watchers
//! of other halls; whoever has missed one requests a roster while the digests differ. A box that is wrongly said to be
//! silent or to have left raises its incarnation.

use super::Peers;
use crate::member::Member;
use crate::{Action, Message, Millis, Profile, Roster, Status};
use routing::rank_address;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Time after its start from which a box may take a matching digest as a sign that it knows all boxes. By
/// then, boxes that start together know each other.
const MIN_CONVERGENCE_DELAY: Millis = 1_000;

/// Interval between checks for silent boxes.
const REVIEW_INTERVAL: Millis = 1_000;

/// Silence after which a box is no longer counted on: six hellos to its watchers.
const SILENCE_TIMEOUT: Millis = 20_000;

/// Silence of a whole hall after which its boxes are no longer counted on. No box that hears them is left to judge, and
/// halls that are cut off from each other for minutes keep counting on each other.
const HALL_SILENCE_TIMEOUT: Millis = 600_000;

/// Time that a box that has left or is silent stays known, so that an outdated roster doesn't bring it back.
const FORGET_TIMEOUT: Millis = 600_000;

/// Time for which a box that is leaving still receives updates: it serves on open connections until it has stopped.
const DEPARTURE_TIMEOUT: Millis = 30_000;

/// Number of boxes of its hall, besides the watchers, to which a leaving box of a large fleet says so: the watchers may
/// leave at the same time.
const LEAVE_WITNESSES: usize = 4;

/// Maximum number of changes that a watcher passes on at once. When more boxes start together, others request a roster.
const MAX_CHANGED_MEMBERS: usize = 32;

/// Pause between two ticks after which this box takes itself for suspended rather than others for silent.
const MAX_TICK_PAUSE: Millis = 2_000;

impl Peers {
    /// Returns the members that take part.
    pub(super) fn alive(&self) -> impl Iterator<Item = (&SocketAddr, &Member)> + Clone {
        self.members.iter().filter(|(_, member)| member.is_alive())
    }

    /// Returns the members that may still run: those that take part, that are silent, and that have left lately.
    pub(super) fn reachable(&self, now: Millis) -> impl Iterator<Item = (&SocketAddr, &Member)> + Clone {
        self.members
            .iter()
            .filter(move |(_, member)| member.status != Status::Left || now < member.status_since + DEPARTURE_TIMEOUT)
    }

    /// Returns true if no box runs at this address, as far as this box knows: it left some time ago, or was forgotten.
    #[must_use]
    pub fn is_gone(&self, address: &SocketAddr, now: Millis) -> bool {
        match self.members.get(address) {
            Some(member) => member.status == Status::Left && now >= member.status_since + DEPARTURE_TIMEOUT,
            None => !self.seeds.contains(address),
        }
    }

    /// Returns all that this box knows about boxes, including itself.
    pub(super) fn roster(&self) -> Roster {
        let others = self.members.iter().map(|(address, member)| (*address, member.profile.clone(), member.status));
        let status = if self.leaving { Status::Left } else { Status::Alive };
        others.chain([(self.me, self.profile.clone(), status)]).collect()
    }

    /// Records a message from a box. Returns true if this life of the box is new.
    pub(super) fn record_contact(
        &mut self,
        from: SocketAddr,
        profile: &Profile,
        now: Millis,
        actions: &mut Vec<Action>,
    ) -> bool {
        match self.members.get_mut(&from) {
            Some(member) if member.profile == *profile && member.is_alive() => {
                member.last_contact = now;
                return false;
            }
            Some(member) if member.version() > (profile.incarnation, Status::Alive) => {
                // Others must learn of it as well, so the box has to contradict.
                actions.push(Action::Send(from, Message::Members(self.roster())));
                return false;
            }
            Some(member) if member.profile.incarnation == profile.incarnation => {
                let same_hall = profile.hall == self.profile.hall;
                *member = Member { profile: profile.clone(), same_hall, last_contact: now, ..member.clone() };
            }
            known => {
                if known.is_none() {
                    self.next_heartbeat = 0;
                }
                self.members.insert(from, Member::new(profile, Status::Alive, &self.profile, now));
            }
        }
        self.changed_members.insert(from);
        self.on_members_changed();
        actions.push(Action::Send(from, Message::Members(self.roster())));
        true
    }

    /// Compares the digest of the boxes known to another box. Shortly after a start, it is ignored because
    /// two boxes that know only a few others may agree.
    pub(super) fn compare_digest(&mut self, members: u32, now: Millis) {
        let elapsed = self.started.is_some_and(|at| now >= at + MIN_CONVERGENCE_DELAY);
        self.converged |= elapsed && members == self.digest;
    }

    /// Merges another box's roster. Of two reports about a box, the one of the later incarnation holds.
    pub(super) fn merge_roster(&mut self, roster: Roster, now: Millis) {
        let mut changed = false;
        for (address, profile, status) in roster.into_boxes() {
            let version = (profile.incarnation, status);
            if address == self.me {
                if !self.leaving && version > (self.profile.incarnation, Status::Alive) {
                    self.profile.incarnation = profile.incarnation.saturating_add(1);
                    self.next_hello = 0;
                    self.next_heartbeat = 0;
                    changed = true;
                }
                continue;
            }
            match self.members.get_mut(&address) {
                Some(member) if version <= member.version() => continue,
                Some(member) if profile.incarnation == member.profile.incarnation => member.set_status(status, now),
                _ => drop(self.members.insert(address, Member::new(&profile, status, &self.profile, now))),
            }
            self.changed_members.insert(address);
            changed = true;
        }
        if changed {
            self.on_members_changed();
        }
    }

    /// Handles the announcement of a box that it is shutting down.
    pub(super) fn on_leave(&mut self, from: SocketAddr, incarnation: u64, now: Millis) {
        let Some(member) = self.members.get_mut(&from) else { return };
        if member.version() < (incarnation, Status::Left) {
            member.profile.incarnation = incarnation;
            member.set_status(Status::Left, now);
            self.changed_members.insert(from);
            self.on_members_changed();
            // Passed on by a watcher at once, and by another box when a watcher sees its digest.
            self.next_heartbeat = 0;
            self.next_hello = now;
        }
    }

    /// Sends the members that have changed, as a watcher, to those that have not heard of it.
    pub(super) fn send_changed_members(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let changed = std::mem::take(&mut self.changed_members);
        if changed.is_empty() || changed.len() > MAX_CHANGED_MEMBERS {
            return;
        }
        let entry = |address: &SocketAddr| {
            let member = self.members.get(address)?;
            Some((member.same_hall, (*address, member.profile.clone(), member.status)))
        };
        let entries: Vec<_> = changed.iter().filter_map(entry).collect();
        let own_hall: Roster = entries.iter().filter(|(same_hall, _)| *same_hall).map(|(_, e)| e.clone()).collect();
        let all: Roster = entries.into_iter().map(|(_, entry)| entry).collect();
        for (address, member) in self.alive() {
            if member.same_hall {
                actions.push(Action::Send(*address, Message::Members(all.clone())));
            } else if own_hall != Roster::default() && self.is_recent(member.last_heartbeat, now) {
                actions.push(Action::Send(*address, Message::Members(own_hall.clone())));
            }
        }
    }

    /// Begins a planned shutdown. Returns the messages that announce it: to all boxes of a small fleet, and in a larger
    /// one to those that pass it on.
    #[must_use]
    pub fn leave(&mut self, now: Millis) -> Vec<Action> {
        self.leaving = true;
        self.on_members_changed();
        let mut targets: BTreeSet<SocketAddr> = self.forward_targets(None, now).into_iter().collect();
        let mut witnesses: Vec<SocketAddr> = self.hall_peers().map(|(address, _)| *address).collect();
        let key = rank_address(0, &self.me);
        witnesses.sort_unstable_by_key(|address| rank_address(key, address));
        targets.extend(witnesses.into_iter().take(LEAVE_WITNESSES));
        // Other halls learn of it even if this one is leaving as a whole.
        targets.extend(self.preferred_watchers());
        let message = Message::Leave { incarnation: self.profile.incarnation };
        targets.into_iter().map(|to| Action::Send(to, message.clone())).collect()
    }

    /// Finds boxes that are silent, and forgets those that left or fell silent long ago.
    pub(super) fn review_members(&mut self, now: Millis) {
        let last_tick = self.last_tick.replace(now);
        let judges = self.watching && self.reachable && !self.leaving;
        if !judges || last_tick.is_none_or(|at| now > at + MAX_TICK_PAUSE) {
            self.judging_since = None;
        }
        if now < self.next_review {
            return;
        }
        self.next_review = now + REVIEW_INTERVAL;
        self.forget_members(now);
        if !self.watching {
            // Another box passes them on.
            self.changed_members.clear();
        }
        if judges {
            self.mark_silent(now);
        }
    }

    /// Marks the boxes that this box would have heard from.
    fn mark_silent(&mut self, now: Millis) {
        let judging_since = *self.judging_since.get_or_insert(now);
        let is_overdue = |last: Millis, timeout: Millis| now > last.max(judging_since) + timeout;
        let mut hall_contacts: BTreeMap<&str, Millis> = BTreeMap::new();
        for (_, member) in self.alive().filter(|(_, member)| !member.same_hall) {
            let last = hall_contacts.entry(&member.profile.hall).or_default();
            *last = member.last_contact.max(*last);
        }
        let is_silent = |member: &Member| {
            if member.same_hall {
                is_overdue(member.last_contact, SILENCE_TIMEOUT)
            } else {
                let last = hall_contacts.get(member.profile.hall.as_str()).copied();
                is_overdue(last.unwrap_or(member.last_contact), HALL_SILENCE_TIMEOUT)
            }
        };
        let silent: Vec<SocketAddr> =
            self.alive().filter(|(_, member)| is_silent(member)).map(|(address, _)| *address).collect();
        for address in &silent {
            if let Some(member) = self.members.get_mut(address) {
                member.set_status(Status::Silent, now);
                self.changed_members.insert(*address);
            }
        }
        if !silent.is_empty() {
            self.on_members_changed();
        }
    }

    /// Forgets boxes that left or fell silent long ago. Seeds stay known, since unknown ones are sent hellos.
    fn forget_members(&mut self, now: Millis) {
        let seeds = &self.seeds;
        self.members.retain(|address, member| {
            member.is_alive() || now <= member.status_since + FORGET_TIMEOUT || seeds.contains(address)
        });
    }

    /// Updates derived state after a change to the known boxes or their profiles.
    pub(super) fn on_members_changed(&mut self) {
        self.generation += 1;
        self.hall_peers = self.hall_peers().count();
        // The digest is equal on all boxes that count on the same lives.
        let hash = |address: &SocketAddr, profile: &Profile| rank_address(profile.incarnation, address) as u32;
        let others = self.alive().map(|(address, member)| hash(address, &member.profile));
        let me = (!self.leaving).then(|| hash(&self.me, &self.profile));
        self.digest = others.chain(me).fold(0, u32::wrapping_add);
    }
}
