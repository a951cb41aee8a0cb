//! The state machine: who is there, and what is due.

mod broadcast;
mod exchange;
mod watching;

use crate::member::Member;
use crate::{Action, Message, Millis, Profile, Roster};
use routing::{rank_address, Evacuations, Position};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One heartbeat in this many goes to silent boxes too.
const SILENT_BEATS: u64 = 8;

/// How long after its start a box may take others' agreement for knowing all: by then boxes that start
/// together have met.
const SETTLED_AFTER: Millis = 1_000;

/// How new this box's knowledge is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownVersions {
    /// Version of the configuration; 0 for none.
    pub table: u64,
    /// Where in the publisher's history that was still the newest; none when this is not known.
    pub table_until: Position,
    /// Position of the list of servers.
    pub directory: Position,
    /// The evacuated halls.
    pub evacuations: Evacuations,
    /// Digest of the requests that end servers.
    pub suspects: u64,
    /// Digest of what servers said of themselves and their entries don't say.
    pub notices: u64,
}

/// What one box knows of the others, and what it does about news.
#[derive(Clone, Debug)]
pub struct Peers {
    me: SocketAddr,
    profile: Profile,
    seeds: Vec<SocketAddr>,
    /// True for a box that others begin with, or that has none to begin with: it doesn't listen first.
    first: bool,
    /// Other boxes by the address where they listen for boxes. Never holds this box.
    members: BTreeMap<SocketAddr, Member>,
    /// How many of them are of this box's hall.
    mates: usize,
    /// Rises whenever `members` may have changed.
    generation: u64,
    /// Digest of `members` and this box.
    digest: u32,
    holding: KnownVersions,
    /// True while this box watches the publisher, or tries to.
    watching: bool,
    /// True while the publisher answers this box.
    reached: bool,
    /// True once another box said that it knows the same boxes.
    settled: bool,
    /// When too few watchers were first heard; none while enough are.
    lacking: Option<Millis>,
    /// When it first looked at what is due; none before.
    began: Option<Millis>,
    /// Since when newcomers are counted, and how many came since.
    welcomes: (Millis, u32),
    beat_at: Millis,
    beats: u64,
    hello_at: Millis,
    /// When each subject was last asked for.
    wanted: BTreeMap<u8, Millis>,
}

impl Peers {
    /// A box that other boxes reach at `me`. It begins by listening.
    #[must_use]
    pub fn new(me: SocketAddr, profile: Profile, seeds: &[SocketAddr]) -> Self {
        Self {
            me,
            profile,
            seeds: seeds.iter().copied().filter(|seed| *seed != me).collect(),
            first: seeds.iter().all(|seed| *seed == me) || seeds.contains(&me),
            members: BTreeMap::new(),
            mates: 0,
            generation: 0,
            digest: rank_address(0, &me) as u32,
            holding: KnownVersions::default(),
            watching: false,
            reached: false,
            settled: false,
            lacking: None,
            began: None,
            welcomes: (0, 0),
            beat_at: 0,
            beats: 0,
            hello_at: 0,
            wanted: BTreeMap::new(),
        }
    }

    /// Takes new seeds, after the settings have changed.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().filter(|seed| *seed != self.me).collect();
    }

    /// Boxes known, this one included.
    #[must_use]
    pub fn box_count(&self) -> usize {
        self.members.len() + 1
    }

    /// All boxes known, this one included.
    #[must_use]
    pub fn members(&self) -> Vec<(SocketAddr, Profile)> {
        let others = self.members.iter().map(|(address, member)| (*address, member.profile.clone()));
        others.chain([(self.me, self.profile.clone())]).collect()
    }

    /// The other boxes known.
    pub fn other_boxes(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.members.keys().copied()
    }

    /// True once this box knows the others: one of them knew the same, or there is none that it could ask.
    #[must_use]
    pub fn has_converged(&self) -> bool {
        self.settled || (self.seeds.is_empty() && self.members.is_empty())
    }

    /// Rises whenever the boxes known may have changed.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// True while this box watches the publisher, or tries to.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Notes how new this box's knowledge is.
    pub fn set_known_versions(&mut self, holding: KnownVersions) {
        if self.holding.evacuations.evacuated_halls() != holding.evacuations.evacuated_halls() {
            // Heartbeats carry them.
            self.tell_all();
        }
        self.holding = holding;
    }

    /// Notes whether the publisher answers this box. A change is told at once, since others rely on it.
    pub fn set_publisher_reachable(&mut self, reached: bool) {
        if self.reached != reached {
            self.reached = reached;
            self.tell_all();
        }
    }

    /// Makes the next heartbeat due, and one that goes to the whole hall: also to those that have said
    /// nothing to this box, and would take over too.
    fn tell_all(&mut self) {
        self.beat_at = 0;
        self.beats = SILENT_BEATS - 1;
    }

    /// To be called every few hundred milliseconds.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        self.decide(now, &mut actions);
        if self.watching && now >= self.beat_at {
            self.beat(now, &mut actions);
        }
        if now >= self.hello_at {
            self.hello(now, &mut actions);
        }
        actions
    }

    /// Takes a message.
    pub fn handle(&mut self, from: SocketAddr, message: Message, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        if from == self.me {
            return actions;
        }
        match message {
            Message::Hello { profile, members } => {
                self.compare(members, now);
                if self.hear(from, &profile, now, &mut actions) {
                    self.welcome(from, now, &mut actions);
                }
            }
            Message::Welcome { table, directory, evacuations } => {
                self.take_holdings(from, table, directory, now, &mut actions);
                self.take_evacuations(evacuations, &mut actions);
            }
            Message::Heartbeat(beat) => self.take_heartbeat(from, beat, now, &mut actions),
            Message::Want(subject) => self.give(from, subject, &mut actions),
            Message::Members(roster) => self.meet(roster, now),
            Message::Table(bytes) => actions.push(Action::Table(bytes)),
            Message::Lacking(digests) => actions.push(Action::SendDirectory(from, digests)),
            Message::Excerpt(packed) => actions.push(Action::Excerpt(packed)),
            Message::Changes { since, until, packed } => {
                self.take_changes(from, since, until, packed, now, &mut actions);
            }
            Message::Leave => {
                if let Some(member) = self.members.get_mut(&from) {
                    member.watched = None;
                    member.tried = None;
                    member.begins = None;
                    member.heard = 0;
                }
            }
        }
        actions
    }

    /// The other boxes of this one's hall.
    fn mates(&self) -> impl Iterator<Item = (&SocketAddr, &Member)> + Clone {
        self.members.iter().filter(|(_, member)| member.mate)
    }

    /// Notes that a box lives. True for one that wasn't known.
    fn hear(&mut self, from: SocketAddr, profile: &Profile, now: Millis, actions: &mut Vec<Action>) -> bool {
        let known = self.members.get(&from).is_some_and(|m| m.profile == *profile);
        let member = self.members.entry(from).or_insert_with(|| Member::new(profile, &self.profile, now));
        member.heard = now;
        if !known {
            *member = Member { profile: profile.clone(), mate: profile.hall == self.profile.hall, ..member.clone() };
            self.beat_at = 0;
            self.roster_changed();
            actions.push(Action::Send(from, Message::Members(Roster::new(self.members()))));
        }
        !known
    }

    /// Takes the digest of the boxes that another box knows. Just after a start two may agree that know few.
    fn compare(&mut self, members: u32, now: Millis) {
        let started = self.began.is_some_and(|at| now >= at + SETTLED_AFTER);
        self.settled |= started && members == self.digest;
    }

    fn meet(&mut self, roster: Roster, now: Millis) {
        let known = self.members.len();
        for (address, profile) in roster.into_boxes().filter(|(address, _)| *address != self.me) {
            self.members.entry(address).or_insert_with(|| Member::new(&profile, &self.profile, now));
        }
        if self.members.len() > known {
            self.roster_changed();
        }
    }

    /// Notes that other boxes are known, or that they said other things of themselves.
    fn roster_changed(&mut self) {
        self.generation += 1;
        self.mates = self.mates().count();
        // Equal for equal sets of boxes, whoever computes it.
        let hash = |address: &SocketAddr| rank_address(0, address) as u32;
        self.digest = self.members.keys().chain([&self.me]).map(hash).fold(0, u32::wrapping_add);
    }
}
