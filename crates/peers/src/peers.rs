//! The state machine: known boxes and scheduled messages.

mod broadcast;
mod exchange;
mod membership;
mod watching;

use crate::member::Member;
use crate::{Action, Message, Millis, Profile, Subject};
use routing::{Evacuations, Position};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// One in this many heartbeats is also sent to silent boxes.
const FULL_HEARTBEAT_EVERY: u64 = 8;

/// The versions of the data that this box has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownVersions {
    /// Version of the configuration; 0 for none.
    pub table: u64,
    /// Position at which that configuration was still the latest; [`Position::NONE`] if unknown.
    pub table_until: Position,
    /// Position of the list of servers.
    pub directory: Position,
    /// The evacuated halls.
    pub evacuations: Evacuations,
    /// Digest of the suspect requests.
    pub suspects: u64,
    /// Digest of the server notices that are not part of the servers' entries.
    pub notices: u64,
}

/// The other boxes known to a box, and its exchange of updates with them.
#[derive(Clone, Debug)]
pub struct Peers {
    me: SocketAddr,
    profile: Profile,
    seeds: Vec<SocketAddr>,
    /// This box is one of the seeds, or there are no other seeds: it doesn't listen for watchers first.
    is_seed: bool,
    /// Other boxes by the address where they listen for peers. Never contains this box.
    members: BTreeMap<SocketAddr, Member>,
    /// Number of `members` in this box's hall that are alive.
    hall_peers: usize,
    /// Incremented whenever `members` may have changed.
    generation: u64,
    /// Digest of the `members` that are alive, and of this box unless it is leaving.
    digest: u32,
    /// Members that have changed since this box, as a watcher, last passed such changes on.
    changed_members: BTreeSet<SocketAddr>,
    /// This box is shutting down.
    leaving: bool,
    /// Time of the last tick.
    last_tick: Option<Millis>,
    /// Time of the next check for silent boxes.
    next_review: Millis,
    /// Time since which this box would hear from all boxes of its hall: it watches, and the publisher answers it.
    judging_since: Option<Millis>,
    known: KnownVersions,
    /// This box watches the publisher, or tries to.
    watching: bool,
    /// The publisher answers this box.
    reachable: bool,
    /// Another box has announced the same digest of known boxes.
    converged: bool,
    /// Time since which there have been too few watchers, if there are.
    watchers_missing_since: Option<Millis>,
    /// Time of the first tick.
    started: Option<Millis>,
    /// Start of the current rate-limit window of bootstrap messages, and the number sent in it.
    bootstraps: (Millis, u32),
    next_heartbeat: Millis,
    heartbeats: u64,
    next_hello: Millis,
    /// Time of the last request for each subject.
    last_requested: BTreeMap<u8, Millis>,
}

impl Peers {
    /// Creates the state of a box that other boxes reach at `me`. It starts by listening for watchers.
    #[must_use]
    pub fn new(me: SocketAddr, profile: Profile, seeds: &[SocketAddr]) -> Self {
        let mut peers = Self {
            me,
            profile,
            seeds: seeds.iter().copied().filter(|seed| *seed != me).collect(),
            is_seed: seeds.iter().all(|seed| *seed == me) || seeds.contains(&me),
            members: BTreeMap::new(),
            hall_peers: 0,
            generation: 0,
            digest: 0,
            changed_members: BTreeSet::new(),
            leaving: false,
            last_tick: None,
            next_review: 0,
            judging_since: None,
            known: KnownVersions::default(),
            watching: false,
            reachable: false,
            converged: false,
            watchers_missing_since: None,
            started: None,
            bootstraps: (0, 0),
            next_heartbeat: 0,
            heartbeats: 0,
            next_hello: 0,
            last_requested: BTreeMap::new(),
        };
        peers.on_members_changed();
        peers
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().filter(|seed| *seed != self.me).collect();
    }

    /// Returns the number of boxes that take part, including this one.
    #[must_use]
    pub fn box_count(&self) -> usize {
        self.alive().count() + 1
    }

    /// Returns the number of boxes about which this one knows something: also those that have left or are silent.
    #[must_use]
    pub fn known_count(&self) -> usize {
        self.members.len()
    }

    /// Returns the boxes that take part, including this one.
    #[must_use]
    pub fn members(&self) -> Vec<(SocketAddr, Profile)> {
        let others = self.alive().map(|(address, member)| (*address, member.profile.clone()));
        others.chain([(self.me, self.profile.clone())]).collect()
    }

    /// Returns this box's hall.
    #[must_use]
    pub fn hall(&self) -> &str {
        &self.profile.hall
    }

    /// Returns the addresses of the other boxes that may run, which includes those that have left lately.
    pub fn other_boxes(&self, now: Millis) -> impl Iterator<Item = SocketAddr> + '_ {
        self.reachable(now).map(|(address, _)| *address)
    }

    /// Returns true once this box knows all others: one of them knows the same boxes, or there is none to ask.
    #[must_use]
    pub fn has_converged(&self) -> bool {
        self.converged || (self.seeds.is_empty() && self.members.is_empty())
    }

    /// Returns a counter that increases whenever the known boxes may have changed.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns true while this box watches the publisher, or tries to.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Updates the versions of the data that this box has.
    pub fn set_known_versions(&mut self, known: KnownVersions) {
        if self.known.evacuations.evacuated_halls() != known.evacuations.evacuated_halls() {
            // Evacuations are distributed by heartbeats.
            self.schedule_full_heartbeat();
        }
        self.known = known;
    }

    /// Updates whether the publisher answers this box. A change is announced at once, since other boxes
    /// depend on it.
    pub fn set_publisher_reachable(&mut self, reachable: bool) {
        if self.reachable != reachable {
            self.reachable = reachable;
            self.schedule_full_heartbeat();
        }
    }

    /// Schedules an immediate heartbeat to the whole hall, including silent boxes, since those could take
    /// over as well.
    fn schedule_full_heartbeat(&mut self) {
        self.next_heartbeat = 0;
        self.heartbeats = FULL_HEARTBEAT_EVERY - 1;
    }

    /// Runs scheduled work. To be called every few hundred milliseconds.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        self.update_watching(now, &mut actions);
        self.review_members(now);
        if self.leaving {
            // Nobody relies on this box any more. It receives updates for a while without asking.
            return actions;
        }
        if self.watching && now >= self.next_heartbeat {
            self.send_changed_members(now, &mut actions);
            self.send_heartbeats(now, &mut actions);
        }
        if now >= self.next_hello {
            self.send_hello(now, &mut actions);
        }
        actions
    }

    /// Handles a message from another box.
    pub fn handle(&mut self, from: SocketAddr, message: Message, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        if from == self.me {
            return actions;
        }
        match message {
            Message::Hello { profile, members } => {
                self.compare_digest(members, now);
                if self.record_contact(from, &profile, now, &mut actions) {
                    self.send_bootstrap(from, now, &mut actions);
                } else if self.watching && members != self.digest {
                    self.request(from, Subject::Members, now, &mut actions);
                }
            }
            Message::Welcome { table, directory, evacuations } => {
                self.request_newer(from, table, directory, now, &mut actions);
                self.on_evacuations(evacuations, &mut actions);
            }
            Message::Heartbeat(heartbeat) => self.on_heartbeat(from, heartbeat, now, &mut actions),
            Message::Want(subject) => self.on_want(from, subject, &mut actions),
            Message::Members(roster) => self.merge_roster(roster, now),
            Message::Table(bytes) => actions.push(Action::Table(bytes)),
            Message::Lacking(digests) => actions.push(Action::SendDirectory(from, digests)),
            Message::Excerpt(packed) => actions.push(Action::Excerpt(packed)),
            Message::Changes { since, until, packed } => {
                self.on_changes(from, since, until, packed, now, &mut actions);
            }
            Message::Leave { incarnation } => self.on_leave(from, incarnation, now),
        }
        actions
    }

    /// Returns the other boxes of this box's hall that take part.
    fn hall_peers(&self) -> impl Iterator<Item = (&SocketAddr, &Member)> + Clone {
        self.alive().filter(|(_, member)| member.same_hall)
    }
}
