//! The state machine.

use crate::member::Member;
use crate::{Action, Heartbeat, Message, Millis, Profile, Roster, Subject, Watch};
use routing::{rank_address, Evacuations, Position};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Pause between a watcher's heartbeats. Two lost ones and a read of the publisher stay within the shortest
/// bound for news, 2 s.
const BEAT_EVERY: Millis = 400;

/// Boxes up to which each tells all others by itself what they must know at once: as many as a small hall has.
const TELL_ALL_MOST: usize = 40;

/// A second.
const SECOND: Millis = 1_000;

/// Boxes of a hall up to which heartbeats come that often; with more they come in proportion rarer, so that
/// a watcher's bytes stay bounded.
const BEAT_BOXES: u64 = 40;

/// Heartbeats that may be missing before a watcher isn't relied upon.
const BEATS_LOST: Millis = 2;

/// Pause between a box's words to the watchers that it hears, and while it hears none.
const HELLO_EVERY: Millis = 3_000;
const HELLO_ALONE: Millis = 500;

/// A box that hasn't said a word for this long gets heartbeats only now and then.
const SILENT: Millis = 10_000;

/// One heartbeat in this many goes to silent boxes too.
const SILENT_BEATS: u64 = 8;

/// Boxes of a hall from which on two of them watch, so that the loss of one costs nobody anything.
const BOXES_FOR_TWO: usize = 5;

/// When too few boxes of a hall watch, the others begin one, two, four, eight at a time, this long after each
/// other: long enough for those before to read the publisher and to say so.
const STAGGER: Millis = 180;

/// How long a box that has just come listens for watchers before it begins to be one itself: boxes that start together know
/// each other by then, and take turns. It has read the publisher once, and needs no news for some seconds more. A box that
/// others begin with doesn't listen.
const LISTEN: Millis = 600;

/// How long a box counts as a watcher that has not read its first list yet: 3,000 servers take half a core 1.5 s. Without this
/// all of a hall's boxes begin to watch while the first of them reads.
const FIRST_LIST_MOST: Millis = 2_000;

/// What a box must be able to do for each newcomer a second that it tells of its knowledge, since most then ask for it:
/// thousandths of a core or tenths of Mbit/s. At 30 kB each it spends at most a quarter of its link on them.
const CAPACITY_PER_WELCOME: u32 = 10;

/// How long after its start a box may take others' agreement for knowing all: by then boxes that start together have met.
const SETTLED_AFTER: Millis = 1_000;

/// Pause between two questions for the same thing.
const WANT_EVERY: Millis = 300;

/// The same for a first list of servers: some tens of kilobytes for each of a hundred boxes take a small link seconds, and
/// whoever asks again meanwhile gets all of it twice.
const FIRST_LIST_EVERY: Millis = 2_500;

/// The same for the boxes known: a list for each of some hundred boxes fills a small link while all start, and nothing waits
/// for it.
const MEMBERS_EVERY: Millis = 1_500;

/// The same for requests that end servers, and for servers that leave: each box is told of them as they are found, and asks only
/// where that was lost.
const TOLD_EVERY: Millis = 1_000;

/// How new this box's knowledge is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Holding {
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
    holding: Holding,
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
            holding: Holding::default(),
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
    pub fn boxes(&self) -> usize {
        self.members.len() + 1
    }

    /// All boxes known, this one included.
    #[must_use]
    pub fn list(&self) -> Vec<(SocketAddr, Profile)> {
        let others = self.members.iter().map(|(address, member)| (*address, member.profile.clone()));
        others.chain([(self.me, self.profile.clone())]).collect()
    }

    /// The other boxes known.
    pub fn others(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.members.keys().copied()
    }

    /// True once this box knows the others: one of them knew the same, or there is none that it could ask.
    #[must_use]
    pub fn settled(&self) -> bool {
        self.settled || (self.seeds.is_empty() && self.members.is_empty())
    }

    /// Rises whenever the boxes known may have changed.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// True while this box watches the publisher, or tries to.
    #[must_use]
    pub fn watching(&self) -> bool {
        self.watching
    }

    /// What this box watches the publisher as.
    #[must_use]
    pub fn watch(&self, now: Millis) -> Watch {
        let mut before =
            self.mates().filter(|(address, m)| self.goes_before(address, m) && self.heard_watching(m, now));
        match (self.watching, before.next()) {
            (false, _) => Watch::Off,
            (true, None) => Watch::First,
            (true, Some(_)) => Watch::Second,
        }
    }

    /// Notes how new this box's knowledge is.
    pub fn hold(&mut self, holding: Holding) {
        if self.holding.evacuations.evacuated() != holding.evacuations.evacuated() {
            // Heartbeats carry them.
            self.tell_all();
        }
        self.holding = holding;
    }

    /// Notes whether the publisher answers this box. A change is told at once, since others rely on it.
    pub fn reach(&mut self, reached: bool) {
        if self.reached != reached {
            self.reached = reached;
            self.tell_all();
        }
    }

    /// Makes the next heartbeat due, and one that goes to the whole hall: also to those that have said nothing to this box,
    /// and would take over too.
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

    /// A new configuration came: the hall's others get it if this box watches for them.
    #[must_use]
    pub fn spread_table(&self) -> Vec<Action> {
        self.hall_members().map(Action::SendTable).collect()
    }

    /// Servers changed: the hall's others are told if this box watches for them.
    #[must_use]
    pub fn spread_changes(&self, since: Position, until: Position, packed: &[u8]) -> Vec<Action> {
        let message = Message::Changes { since, until, packed: packed.to_vec() };
        self.hall_members().map(|to| Action::Send(to, message.clone())).collect()
    }

    /// Where a word goes that is for all boxes and new to this one: heard `from` another box, or first said here. Few boxes tell all others
    /// themselves. In a larger fleet the watchers of the hall tell it, and those of other halls, which tell theirs: what a box sends
    /// doesn't grow with the fleet. Whoever is missed asks, since heartbeats tell that something is known elsewhere.
    #[must_use]
    pub fn tell(&self, from: Option<SocketAddr>, now: Millis) -> Vec<SocketAddr> {
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
    fn hall_members(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.mates().filter(|_| self.watching).map(|(address, _)| *address)
    }

    /// The other boxes of this one's hall.
    fn mates(&self) -> impl Iterator<Item = (&SocketAddr, &Member)> + Clone {
        self.members.iter().filter(|(_, member)| member.mate)
    }

    // ------------------------------------------------------------------------
    // Who watches

    fn beat_every(&self) -> Millis {
        BEAT_EVERY * (self.mates as u64).max(BEAT_BOXES) / BEAT_BOXES
    }

    fn heard_watching(&self, member: &Member, now: Millis) -> bool {
        self.lately(member.watched, now)
    }

    /// True for a box that is about to watch: it reads its first list.
    fn heard_beginning(&self, member: &Member, now: Millis) -> bool {
        member.begins.is_some_and(|at| now <= at + FIRST_LIST_MOST) && self.lately(member.tried, now)
    }

    /// True when no more heartbeats are missing since then than may be lost.
    fn lately(&self, at: Option<Millis>, now: Millis) -> bool {
        let longest = self.beat_every() * (BEATS_LOST + 1);
        at.is_some_and(|at| now <= at + longest)
    }

    /// Boxes of this hall that are to watch.
    fn enough(&self) -> usize {
        if self.mates + 1 < BOXES_FOR_TWO {
            1
        } else {
            2
        }
    }

    /// True when another box of the hall is to watch before this one: it can do more, or else has a lower address.
    fn goes_before(&self, address: &SocketAddr, member: &Member) -> bool {
        let theirs = (Reverse(member.profile.capacity), *address);
        theirs < (Reverse(self.profile.capacity), self.me)
    }

    fn decide(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mine = self.mates();
        let relied = |m: &Member| self.heard_watching(m, now) || self.heard_beginning(m, now);
        let heard = mine.clone().filter(|(_, m)| relied(m)).count();
        let before = mine.clone().filter(|(a, m)| self.goes_before(a, m) && self.heard_watching(m, now)).count();
        let place = mine.filter(|(a, m)| self.goes_before(a, m)).count();
        if self.watching {
            if before >= self.enough() {
                self.watching = false;
                self.lacking = None;
                actions.push(Action::Watch(false));
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
            actions.push(Action::Watch(true));
        }
    }

    fn beat(&mut self, now: Millis, actions: &mut Vec<Action>) {
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
    fn first_of_halls(&self) -> BTreeSet<SocketAddr> {
        let mut firsts: BTreeMap<&str, (Reverse<u32>, SocketAddr)> = BTreeMap::new();
        for (address, member) in &self.members {
            let place = (Reverse(member.profile.capacity), *address);
            firsts.entry(&member.profile.hall).and_modify(|first| *first = place.min(*first)).or_insert(place);
        }
        firsts.into_values().map(|(_, address)| address).collect()
    }

    fn hello(&mut self, now: Millis, actions: &mut Vec<Action>) {
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

    // ------------------------------------------------------------------------
    // What others say

    /// Notes that a box lives. True for one that wasn't known.
    fn hear(&mut self, from: SocketAddr, profile: &Profile, now: Millis, actions: &mut Vec<Action>) -> bool {
        let known = self.members.get(&from).is_some_and(|m| m.profile == *profile);
        let member = self.members.entry(from).or_insert_with(|| Member::new(profile, &self.profile, now));
        member.heard = now;
        if !known {
            *member = Member { profile: profile.clone(), mate: profile.hall == self.profile.hall, ..member.clone() };
            self.beat_at = 0;
            self.roster_changed();
            actions.push(Action::Send(from, Message::Members(Roster::of(self.list()))));
        }
        !known
    }

    /// Tells a newcomer how new this box's knowledge is, unless many come at once.
    fn welcome(&mut self, to: SocketAddr, now: Millis, actions: &mut Vec<Action>) {
        let Holding { table, directory, ref evacuations, .. } = self.holding;
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

    /// Asks for what another box knows and this one doesn't.
    fn take_holdings(
        &mut self,
        from: SocketAddr,
        table: u64,
        directory: Position,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if table > self.holding.table {
            self.want(from, Subject::Table, now, actions);
        }
        if directory > self.holding.directory {
            self.want(from, Subject::Directory, now, actions);
        }
    }

    fn take_heartbeat(&mut self, from: SocketAddr, beat: Heartbeat, now: Millis, actions: &mut Vec<Action>) {
        self.hear(from, &beat.profile, now, actions);
        if let Some(member) = self.members.get_mut(&from) {
            member.tried = Some(now);
            member.watched = beat.watches.then_some(now);
            member.begins = if !beat.directory.is_known() { member.begins.or(Some(now)) } else { None };
        }
        self.take_holdings(from, beat.table, beat.directory, now, actions);
        if beat.table == self.holding.table && beat.table_until > self.holding.table_until {
            actions.push(Action::TableUntil(beat.table_until));
        }
        self.take_evacuations(beat.evacuations, actions);
        if beat.suspects != self.holding.suspects {
            self.want(from, Subject::Suspects, now, actions);
        }
        if beat.notices != self.holding.notices {
            self.want(from, Subject::Notices, now, actions);
        }
        if beat.members == self.digest {
            self.compare(beat.members, now);
        } else {
            self.want(from, Subject::Members, now, actions);
        }
    }

    /// Takes the digest of the boxes that another box knows. Just after a start two may agree that know few.
    fn compare(&mut self, members: u32, now: Millis) {
        let started = self.began.is_some_and(|at| now >= at + SETTLED_AFTER);
        self.settled |= started && members == self.digest;
    }

    fn take_evacuations(&self, evacuations: Evacuations, actions: &mut Vec<Action>) {
        let known = &self.holding.evacuations;
        let more = evacuations.position == known.position && evacuations.held != known.held;
        if evacuations.position > known.position || more {
            actions.push(Action::Evacuations(evacuations));
        }
    }

    fn want(&mut self, from: SocketAddr, subject: Subject, now: Millis, actions: &mut Vec<Action>) {
        let last = self.wanted.get(&(subject as u8)).copied();
        let pause = match subject {
            Subject::Members => MEMBERS_EVERY,
            Subject::Directory if !self.holding.directory.is_known() => FIRST_LIST_EVERY,
            Subject::Directory | Subject::Table => WANT_EVERY,
            Subject::Suspects | Subject::Notices => TOLD_EVERY,
        };
        if last.is_none_or(|at| now >= at + pause) {
            self.wanted.insert(subject as u8, now);
            actions.push(match subject {
                Subject::Directory => Action::AskDirectory(from),
                Subject::Suspects => Action::ShareSuspects(from),
                Subject::Notices => Action::ShareNotices(from),
                Subject::Table | Subject::Members => Action::Send(from, Message::Want(subject)),
            });
        }
    }

    fn give(&self, to: SocketAddr, subject: Subject, actions: &mut Vec<Action>) {
        actions.push(match subject {
            Subject::Table => Action::SendTable(to),
            // Asked for with what the asker has, in messages of their own.
            Subject::Directory | Subject::Suspects | Subject::Notices => return,
            Subject::Members => Action::Send(to, Message::Members(Roster::of(self.list()))),
        });
    }

    fn meet(&mut self, roster: Roster, now: Millis) {
        let known = self.members.len();
        for (address, profile) in roster.boxes().filter(|(address, _)| *address != self.me) {
            self.members.entry(address).or_insert_with(|| Member::new(&profile, &self.profile, now));
        }
        if self.members.len() > known {
            self.roster_changed();
        }
    }

    fn take_changes(
        &mut self,
        from: SocketAddr,
        since: Position,
        until: Position,
        packed: Vec<u8>,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if until <= self.holding.directory {
            return;
        }
        if since > self.holding.directory {
            self.want(from, Subject::Directory, now, actions);
        } else {
            actions.push(Action::Changes(packed, until));
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
