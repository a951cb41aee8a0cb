//! Messages that a box sends on its own initiative, and their recipients.

use super::{KnownVersions, Peers, FULL_HEARTBEAT_EVERY};
use crate::member::Member;
use crate::{Action, Heartbeat, Message, Millis, Status};
use routing::Position;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Number of boxes up to which urgent messages are sent directly to all others: about the size of a small hall.
const MAX_DIRECT_BROADCAST_BOXES: usize = 40;

/// Interval between hellos to known watchers.
const HELLO_INTERVAL: Millis = 3_000;

/// Interval between hellos while no watcher is known.
const HELLO_INTERVAL_ALONE: Millis = 500;

/// Time without a message after which a box counts as silent and receives only one in
/// [`FULL_HEARTBEAT_EVERY`] heartbeats.
const SILENCE_TIMEOUT: Millis = 10_000;

/// Capacity that a box needs for each bootstrap message per second, in thousandths of a core or tenths of
/// Mbit/s. Most recipients then request all data, and at 30 kB each, these take at most a quarter of the
/// box's link.
const CAPACITY_PER_BOOTSTRAP_PER_S: u32 = 10;

/// Window in which bootstrap messages are counted.
const BOOTSTRAP_WINDOW: Millis = 1_000;

impl Peers {
    /// Returns the actions that send a new configuration to the hall's other boxes, if this box watches for
    /// them.
    #[must_use]
    pub fn broadcast_table(&self, now: Millis) -> Vec<Action> {
        self.hall_targets(now).map(Action::SendTable).collect()
    }

    /// Returns the actions that send changes of servers to the hall's other boxes, if this box watches for
    /// them.
    #[must_use]
    pub fn broadcast_changes(&self, since: Position, until: Position, packed: &[u8], now: Millis) -> Vec<Action> {
        let message = Message::Changes { since, until, packed: packed.to_vec() };
        self.hall_targets(now).map(|to| Action::Send(to, message.clone())).collect()
    }

    /// Returns the recipients of a message for all boxes that is new to this one, received `from` another box
    /// or originating here. In a small fleet, the originating box sends it to all others. In a larger one, it
    /// goes to the watchers of its hall, which forward it to their hall and to the watchers of other halls,
    /// so that the number of messages per box doesn't grow with the fleet. A box that is missed requests the
    /// data, since heartbeats contain its digest.
    #[must_use]
    pub fn forward_targets(&self, from: Option<SocketAddr>, now: Millis) -> Vec<SocketAddr> {
        let others = || self.reachable(now).filter(|(address, _)| Some(**address) != from);
        let all = || others().map(|(address, _)| *address).collect();
        if self.alive().count() < MAX_DIRECT_BROADCAST_BOXES {
            return if from.is_none() { all() } else { Vec::new() };
        }
        if !self.watching {
            if from.is_some() {
                return Vec::new();
            }
            let watchers =
                others().filter(|(_, member)| member.same_hall && self.is_recent(member.last_heartbeat, now));
            let watchers: Vec<SocketAddr> = watchers.map(|(address, _)| *address).collect();
            return if watchers.is_empty() { all() } else { watchers };
        }
        let from_hall = from.and_then(|from| self.members.get(&from)).is_none_or(|member| member.same_hall);
        let is_target = |(_, member): &(&SocketAddr, &Member)| {
            member.same_hall || (from_hall && self.is_recent(member.last_heartbeat, now))
        };
        others().filter(is_target).map(|(address, _)| *address).collect()
    }

    /// Returns the hall's other boxes that may run while this box watches, and no boxes otherwise.
    pub(super) fn hall_targets(&self, now: Millis) -> impl Iterator<Item = SocketAddr> + '_ {
        let in_hall = self.reachable(now).filter(|(_, member)| member.same_hall);
        in_hall.filter(|_| self.watching).map(|(address, _)| *address)
    }

    pub(super) fn send_heartbeats(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.next_heartbeat = now + self.heartbeat_interval();
        self.heartbeats += 1;
        let heartbeat = Message::Heartbeat(Heartbeat {
            profile: self.profile.clone(),
            watches: self.reachable,
            table: self.known.table,
            table_until: self.known.table_until,
            directory: self.known.directory,
            evacuations: self.known.evacuations.clone(),
            members: self.digest,
            suspects: self.known.suspects,
            notices: self.known.notices,
        });
        let all = self.heartbeats.is_multiple_of(FULL_HEARTBEAT_EVERY);
        let preferred = if all { self.preferred_watchers() } else { BTreeSet::new() };
        for (address, member) in self.reachable(now) {
            let active = now < member.last_contact + SILENCE_TIMEOUT || member.status == Status::Left;
            // Includes watchers that the publisher rejects, whose halls receive updates only from other halls.
            let other_watcher = self.is_recent(member.last_heartbeat, now) || preferred.contains(address);
            if (member.same_hall && (active || all)) || (!member.same_hall && other_watcher) {
                actions.push(Action::Send(*address, heartbeat.clone()));
            }
        }
    }

    /// Returns the preferred watcher of each hall, as far as this box knows.
    pub(super) fn preferred_watchers(&self) -> BTreeSet<SocketAddr> {
        let mut preferred: BTreeMap<&str, (Reverse<u32>, SocketAddr)> = BTreeMap::new();
        for (address, member) in self.alive() {
            let preference = (Reverse(member.profile.capacity), *address);
            preferred
                .entry(&member.profile.hall)
                .and_modify(|best| *best = preference.min(*best))
                .or_insert(preference);
        }
        preferred.into_values().map(|(_, address)| address).collect()
    }

    pub(super) fn send_hello(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let hello = Message::Hello { profile: self.profile.clone(), members: self.digest };
        let watchers: Vec<SocketAddr> =
            self.hall_peers().filter(|(_, m)| self.is_watcher(m, now)).map(|(a, _)| *a).collect();
        let alone = watchers.is_empty();
        let mut to = watchers;
        if alone {
            to.extend(self.seeds.iter().filter(|seed| !to.contains(seed)).copied().collect::<Vec<_>>());
        }
        let unknown = self.seeds.iter().any(|seed| !self.members.contains_key(seed));
        self.next_hello = now + if alone || unknown { HELLO_INTERVAL_ALONE } else { HELLO_INTERVAL };
        if unknown {
            to.extend(self.seeds.iter().filter(|seed| !self.members.contains_key(seed)));
            to.sort_unstable();
            to.dedup();
        }
        actions.extend(to.into_iter().map(|address| Action::Send(address, hello.clone())));
    }

    /// Sends a bootstrap message to a new box, unless many arrive at once.
    pub(super) fn send_bootstrap(&mut self, to: SocketAddr, now: Millis, actions: &mut Vec<Action>) {
        let KnownVersions { table, directory, ref evacuations, .. } = self.known;
        if now >= self.bootstraps.0 + BOOTSTRAP_WINDOW {
            self.bootstraps = (now, 0);
        }
        if table == 0 || self.bootstraps.1 >= self.profile.capacity / CAPACITY_PER_BOOTSTRAP_PER_S {
            return;
        }
        self.bootstraps.1 += 1;
        let evacuations = evacuations.clone();
        actions.push(Action::Send(to, Message::Welcome { table, directory, evacuations }));
    }
}
