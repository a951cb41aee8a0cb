//! What a box tells others of its own accord, and whom.

use super::{KnownVersions, Peers, SILENT_BEATS};
use crate::member::Member;
use crate::{Action, Heartbeat, Message, Millis};
use routing::Position;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Boxes up to which each tells all others by itself what they must know at once: as many as a small hall has.
const TELL_ALL_MOST: usize = 40;

/// Pause between a box's words to the watchers that it hears, and while it hears none.
const HELLO_EVERY: Millis = 3_000;
const HELLO_ALONE: Millis = 500;

/// A box that hasn't said a word for this long gets heartbeats only now and then.
const SILENT: Millis = 10_000;

/// What a box must be able to do for each newcomer a second that it tells of its knowledge, since most then
/// ask for it: thousandths of a core or tenths of Mbit/s. At 30 kB each it spends at most a quarter of its
/// link on them.
const CAPACITY_PER_WELCOME: u32 = 10;

/// A second.
const SECOND: Millis = 1_000;

impl Peers {
    /// A new configuration came: the hall's others get it if this box watches for them.
    #[must_use]
    pub fn broadcast_table(&self) -> Vec<Action> {
        self.hall_members().map(Action::SendTable).collect()
    }

    /// Servers changed: the hall's others are told if this box watches for them.
    #[must_use]
    pub fn broadcast_changes(&self, since: Position, until: Position, packed: &[u8]) -> Vec<Action> {
        let message = Message::Changes { since, until, packed: packed.to_vec() };
        self.hall_members().map(|to| Action::Send(to, message.clone())).collect()
    }

    /// Where a word goes that is for all boxes and new to this one: heard `from` another box, or first said
    /// here. Few boxes tell all others themselves. In a larger fleet the watchers of the hall tell it, and
    /// those of other halls, which tell theirs: what a box sends doesn't grow with the fleet. Whoever is
    /// missed asks, since heartbeats tell that something is known elsewhere.
    #[must_use]
    pub fn forward_targets(&self, from: Option<SocketAddr>, now: Millis) -> Vec<SocketAddr> {
        let others = || self.members.iter().filter(|(address, _)| Some(**address) != from);
        let all = || others().map(|(address, _)| *address).collect();
        if self.members.len() < TELL_ALL_MOST {
            return if from.is_none() { all() } else { Vec::new() };
        }
        if !self.watching {
            if from.is_some() {
                return Vec::new();
            }
            let watchers = others().filter(|(_, member)| member.mate && self.lately(member.tried, now));
            let watchers: Vec<SocketAddr> = watchers.map(|(address, _)| *address).collect();
            return if watchers.is_empty() { all() } else { watchers };
        }
        let elsewhere = from.and_then(|from| self.members.get(&from)).is_none_or(|member| member.mate);
        let told = |(_, member): &(&SocketAddr, &Member)| member.mate || (elsewhere && self.lately(member.tried, now));
        others().filter(told).map(|(address, _)| *address).collect()
    }

    /// This box stops by plan: those are told that may rely on it, or send to it of their own accord.
    #[must_use]
    pub fn leave(&self) -> Vec<Action> {
        let watches = |member: &Member| member.tried.is_some();
        let told = |(_, member): &(&SocketAddr, &Member)| {
            if self.watching {
                member.mate || watches(member)
            } else {
                member.mate && watches(member)
            }
        };
        self.members.iter().filter(told).map(|(to, _)| Action::Send(*to, Message::Leave)).collect()
    }

    /// The hall's other boxes, while this one watches; nobody otherwise.
    pub(super) fn hall_members(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.mates().filter(|_| self.watching).map(|(address, _)| *address)
    }

    pub(super) fn beat(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.beat_at = now + self.beat_every();
        self.beats += 1;
        let beat = Message::Heartbeat(Heartbeat {
            profile: self.profile.clone(),
            watches: self.reached,
            table: self.holding.table,
            table_until: self.holding.table_until,
            directory: self.holding.directory,
            evacuations: self.holding.evacuations.clone(),
            members: self.digest,
            suspects: self.holding.suspects,
            notices: self.holding.notices,
        });
        let all = self.beats.is_multiple_of(SILENT_BEATS);
        let firsts = if all { self.first_of_halls() } else { BTreeSet::new() };
        for (address, member) in &self.members {
            let spoken = now < member.heard + SILENT;
            // Also one that the publisher turns away: its hall hears of news only from here.
            let other_watcher = self.lately(member.tried, now) || firsts.contains(address);
            if (member.mate && (spoken || all)) || (!member.mate && other_watcher) {
                actions.push(Action::Send(*address, beat.clone()));
            }
        }
    }

    /// The box of each hall that is the first to watch there, as far as this box knows.
    pub(super) fn first_of_halls(&self) -> BTreeSet<SocketAddr> {
        let mut firsts: BTreeMap<&str, (Reverse<u32>, SocketAddr)> = BTreeMap::new();
        for (address, member) in &self.members {
            let place = (Reverse(member.profile.capacity), *address);
            firsts.entry(&member.profile.hall).and_modify(|first| *first = place.min(*first)).or_insert(place);
        }
        firsts.into_values().map(|(_, address)| address).collect()
    }

    pub(super) fn hello(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let hello = Message::Hello { profile: self.profile.clone(), members: self.digest };
        let heard: Vec<SocketAddr> =
            self.mates().filter(|(_, m)| self.heard_watching(m, now)).map(|(a, _)| *a).collect();
        let alone = heard.is_empty();
        let mut to = heard;
        if alone || self.members.is_empty() {
            to.extend(self.seeds.iter().filter(|seed| !to.contains(seed)).copied().collect::<Vec<_>>());
        }
        let unknown = self.seeds.iter().any(|seed| !self.members.contains_key(seed));
        self.hello_at = now + if alone || unknown { HELLO_ALONE } else { HELLO_EVERY };
        if unknown {
            to.extend(self.seeds.iter().filter(|seed| !self.members.contains_key(seed)));
            to.sort_unstable();
            to.dedup();
        }
        actions.extend(to.into_iter().map(|address| Action::Send(address, hello.clone())));
    }

    /// Tells a newcomer how new this box's knowledge is, unless many come at once.
    pub(super) fn welcome(&mut self, to: SocketAddr, now: Millis, actions: &mut Vec<Action>) {
        let KnownVersions { table, directory, ref evacuations, .. } = self.holding;
        if now >= self.welcomes.0 + SECOND {
            self.welcomes = (now, 0);
        }
        if table == 0 || self.welcomes.1 >= self.profile.capacity / CAPACITY_PER_WELCOME {
            return;
        }
        self.welcomes.1 += 1;
        let evacuations = evacuations.clone();
        actions.push(Action::Send(to, Message::Welcome { table, directory, evacuations }));
    }
}
