//! Failure detection by periodic probes, with indirect probes before a suspicion. Probes also distribute
//! changes.

use crate::gossip::GossipQueue;
use crate::{Action, Change, Member, Message, Peer, State};
use catalog::{BoxId, ReleaseId, ServerId};
use policy::Time;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use telemetry::Event;

/// Number of boxes that are asked to probe an unresponsive box indirectly.
const INDIRECT_PROBES: usize = 2;

/// One in this many probes goes to another hall.
const REMOTE_PROBE_EVERY: u32 = 4;

/// Number of pending indirect probes for other boxes above which all are dropped. Those without a response
/// are not removed otherwise.
const MAX_PENDING_INDIRECT_PROBES: usize = 1_000;

/// Intervals and timeouts of probes.
#[derive(Clone, Copy, Debug)]
pub struct ProbeTiming {
    /// Interval between two probes, in milliseconds.
    pub interval_ms: u64,
    /// Time after a probe until indirect probes are requested, in milliseconds.
    pub ack_timeout_ms: u64,
    /// Time after a probe until a box is suspected despite indirect probes, in milliseconds.
    pub suspect_timeout_ms: u64,
    /// Time until a suspected box is declared dead, in milliseconds.
    pub dead_timeout_ms: u64,
    /// Time after a pause of this box during which no box is suspected that has not been contacted since, in
    /// milliseconds.
    pub wake_grace_ms: u64,
    /// Time after the start of this box during which no box is suspected that has not been contacted yet, in
    /// milliseconds. Connections are still being established then.
    pub start_grace_ms: u64,
}

impl Default for ProbeTiming {
    fn default() -> Self {
        Self {
            interval_ms: 250,
            ack_timeout_ms: 200,
            suspect_timeout_ms: 500,
            dead_timeout_ms: 600,
            wake_grace_ms: 1_000,
            start_grace_ms: 5_000,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Outstanding {
    to: BoxId,
    sent: Time,
    indirect: bool,
}

/// Membership of the fleet, as seen by this box.
pub struct FailureDetector {
    me: Peer,
    timing: ProbeTiming,
    incarnation: u32,
    leaving: bool,
    members: BTreeMap<BoxId, Member>,
    /// The revision and the leaving flag of each server, according to the platform's list.
    upstreams: BTreeMap<ServerId, (u64, bool)>,
    local_round: Vec<BoxId>,
    remote_round: Vec<BoxId>,
    last_number: u32,
    outstanding: BTreeMap<u32, Outstanding>,
    /// Indirect probes for other boxes: the requester and the number of its probe.
    indirect_probes: BTreeMap<u32, (BoxId, u32)>,
    gossip: GossipQueue,
    last_probe: Time,
    last_tick: Time,
    grace_until: Time,
    random: ChaCha8Rng,
    out: Vec<Action>,
}

impl FailureDetector {
    /// Creates the state of a box that knows `peers` from its settings. `incarnation` must increase with each
    /// start.
    #[must_use]
    pub fn new(me: Peer, peers: &[Peer], incarnation: u32, timing: ProbeTiming, now: Time) -> Self {
        let random = ChaCha8Rng::seed_from_u64(u64::from(me.id().0) ^ u64::from(incarnation));
        let mut probe = Self {
            me,
            timing,
            incarnation,
            leaving: false,
            members: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            local_round: Vec::new(),
            remote_round: Vec::new(),
            last_number: 0,
            outstanding: BTreeMap::new(),
            indirect_probes: BTreeMap::new(),
            gossip: GossipQueue::default(),
            last_probe: Time(0),
            last_tick: now,
            grace_until: now.after(timing.start_grace_ms),
            random,
            out: Vec::new(),
        };
        for peer in peers {
            probe.add(peer.clone(), 0, now);
        }
        probe.members.values_mut().for_each(|m| m.address_fixed = true);
        probe.announce_self();
        probe
    }

    fn add(&mut self, peer: Peer, incarnation: u32, now: Time) {
        if peer.id() == self.me.id() {
            return;
        }
        if let Some(known) = self.members.get_mut(&peer.id()) {
            // A newer incarnation may have started at another address.
            if !known.address_fixed && incarnation > known.incarnation {
                known.peer = peer;
            }
            return;
        }
        let member = Member {
            address_fixed: false,
            state: State::Alive,
            incarnation,
            since: now,
            contacted: false,
            last_contact: Time(0),
            peer,
        };
        self.members.insert(member.peer.id(), member);
        self.out.push(Action::ViewChanged);
    }

    fn announce_self(&mut self) {
        let state = if self.leaving { State::Leaving } else { State::Alive };
        let change =
            Change::Box { id: self.me.id(), state, incarnation: self.incarnation, peer: Some(self.me.clone()) };
        self.gossip(change);
    }

    /// Distributes a change with probes.
    pub fn gossip(&mut self, change: Change) {
        // Counts this box, and one that may not be known yet.
        self.gossip.push(change, self.members.len() + 2);
    }

    // ------------------------------------------------------------------------
    // Messages from other boxes

    /// Records a message of any kind from a box.
    pub fn record_contact(&mut self, from: BoxId, now: Time) {
        let Some(member) = self.members.get_mut(&from) else { return };
        member.contacted = true;
        member.last_contact = now;
        if member.state != State::Suspect && member.state != State::Dead {
            return;
        }
        // A direct message takes precedence over a reported state. Other boxes learn it from the box's higher
        // incarnation.
        let was_dead = member.state == State::Dead;
        member.state = State::Alive;
        member.since = now;
        if was_dead {
            let detail = format!("box={}", member.peer.name);
            self.out.push(Action::Log(Event::PeerAlive, detail));
            self.out.push(Action::ViewChanged);
        }
    }

    /// Handles a message about membership. Messages about releases are handled by [`crate::ReleaseSync`].
    pub fn on_message(&mut self, from: BoxId, message: &Message, release: Option<ReleaseId>, now: Time) -> Vec<Action> {
        match message {
            Message::Ping { number, changes, .. } => {
                self.apply_changes(changes, now);
                self.record_contact(from, now);
                let changes = self.gossip.take();
                self.out.push(Action::Send(from, Message::Ack { number: *number, order: release, changes }));
            }
            Message::Ack { number, changes, .. } => {
                self.apply_changes(changes, now);
                self.record_contact(from, now);
                self.outstanding.remove(number);
                if let Some((requester, request)) = self.indirect_probes.remove(number) {
                    self.out.push(Action::Send(requester, Message::AckFor(request, from)));
                }
            }
            Message::PingFor(request, target) => {
                let number = self.next_number();
                self.indirect_probes.insert(number, (from, *request));
                let changes = self.gossip.take();
                self.out.push(Action::Send(*target, Message::Ping { number, order: release, changes }));
            }
            Message::AckFor(number, _) => {
                self.outstanding.remove(number);
            }
            _ => self.record_contact(from, now),
        }
        std::mem::take(&mut self.out)
    }

    fn apply_changes(&mut self, changes: &[Change], now: Time) {
        for change in changes {
            match change {
                Change::Box { id, state, incarnation, peer } => {
                    if let Some(peer) = peer {
                        self.add(peer.clone(), *incarnation, now);
                    }
                    self.apply_state(*id, *state, *incarnation, now);
                }
                Change::Upstream { id, leaving, revision } => self.apply_upstream(*id, *leaving, *revision),
                Change::Refused { order, reason } => self.out.push(Action::RefusedElsewhere(*order, reason.clone())),
            }
        }
    }

    fn apply_state(&mut self, id: BoxId, state: State, incarnation: u32, now: Time) {
        if id == self.me.id() {
            self.refute(state, incarnation);
            return;
        }
        let Some(member) = self.members.get_mut(&id) else { return };
        let newer = (incarnation, state) > (member.incarnation, member.state);
        // A recent direct message takes precedence over states of the same incarnation that others report.
        let recent = member.contacted && now.since(member.last_contact) < self.timing.suspect_timeout_ms;
        let contradicted = recent && incarnation == member.incarnation && state != State::Leaving;
        if !newer || contradicted {
            return;
        }
        member.incarnation = incarnation;
        let change = Change::Box { id, state, incarnation, peer: Some(member.peer.clone()) };
        self.set_state(id, state, now);
        self.gossip(change);
    }

    /// Refutes a wrong state of this box, with a higher incarnation.
    fn refute(&mut self, state: State, incarnation: u32) {
        let own = if self.leaving { State::Leaving } else { State::Alive };
        if incarnation < self.incarnation || (incarnation == self.incarnation && state <= own) {
            return;
        }
        self.incarnation = incarnation + 1;
        self.announce_self();
    }

    fn set_state(&mut self, id: BoxId, state: State, now: Time) {
        let Some(member) = self.members.get_mut(&id) else { return };
        if member.state == state {
            return;
        }
        member.state = state;
        member.since = now;
        let event = match state {
            State::Alive => Event::PeerAlive,
            State::Suspect => Event::PeerSuspect,
            State::Dead => Event::PeerDead,
            State::Leaving => Event::PeerLeaving,
        };
        self.out.push(Action::Log(event, format!("box={}", member.peer.name)));
        self.out.push(Action::ViewChanged);
    }

    fn apply_upstream(&mut self, id: ServerId, leaving: bool, revision: u64) {
        let known = self.upstreams.get(&id).copied();
        if known.is_some_and(|(seen, _)| seen >= revision) {
            return;
        }
        self.upstreams.insert(id, (revision, leaving));
        if known.is_none_or(|(_, was)| was != leaving) {
            self.out.push(Action::Upstream(id, leaving));
            self.gossip(Change::Upstream { id, leaving, revision });
        }
    }

    // ------------------------------------------------------------------------
    // The platform's list

    /// Applies the platform's list: boxes and servers with their leaving flags.
    ///
    /// The list lags behind. It adds boxes and marks them as leaving, but never revives a box that doesn't
    /// answer, and a box that is no longer listed stays while it answers.
    pub fn on_member_list(
        &mut self,
        boxes: &[(Peer, bool)],
        upstreams: &[(ServerId, bool)],
        revision: u64,
        now: Time,
    ) -> Vec<Action> {
        for (peer, leaving) in boxes {
            self.add(peer.clone(), 0, now);
            let id = peer.id();
            if *leaving && id != self.me.id() {
                let incarnation = self.members.get(&id).map_or(0, |m| m.incarnation);
                self.apply_state(id, State::Leaving, incarnation, now);
            }
        }
        for (id, leaving) in upstreams {
            self.apply_upstream(*id, *leaving, revision);
        }
        std::mem::take(&mut self.out)
    }

    /// Begins to leave, so that no other box relies on this one any more.
    pub fn leave(&mut self) -> Vec<Action> {
        self.leaving = true;
        self.incarnation += 1;
        self.announce_self();
        self.out.push(Action::ViewChanged);
        // All boxes of this hall must know at once; others receive it like any other change.
        let local = |m: &&Member| m.peer.hall == self.me.hall && m.state != State::Dead;
        let ids: Vec<BoxId> = self.members.values().filter(local).map(|m| m.peer.id()).collect();
        let change = Change::Box {
            id: self.me.id(),
            state: State::Leaving,
            incarnation: self.incarnation,
            peer: Some(self.me.clone()),
        };
        for to in ids {
            let number = self.next_number();
            let changes = vec![change.clone()];
            self.out.push(Action::Send(to, Message::Ping { number, order: None, changes }));
        }
        std::mem::take(&mut self.out)
    }

    // ------------------------------------------------------------------------
    // Time

    fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    fn ping(&mut self, to: BoxId, release: Option<ReleaseId>, now: Time) {
        let number = self.next_number();
        let changes = self.gossip.take();
        self.outstanding.insert(number, Outstanding { to, sent: now, indirect: false });
        self.out.push(Action::Send(to, Message::Ping { number, order: release, changes }));
    }

    /// Handles a lost connection to a box, which is suspected at once instead of after a failed probe.
    pub fn on_connection_lost(&mut self, id: BoxId, now: Time) -> Vec<Action> {
        if self.members.get(&id).is_some_and(|m| m.contacted) {
            self.suspect(id, now);
        }
        std::mem::take(&mut self.out)
    }

    /// Returns true if a box that doesn't answer may be suspected. During the grace period after a start or a
    /// pause of this box, only boxes that have been contacted may be.
    fn may_suspect(&self, id: BoxId, now: Time) -> bool {
        now >= self.grace_until || self.members.get(&id).is_some_and(|m| m.contacted)
    }

    fn suspect(&mut self, id: BoxId, now: Time) {
        let Some(member) = self.members.get(&id) else { return };
        if member.state != State::Alive {
            return;
        }
        let change = Change::Box { id, state: State::Suspect, incarnation: member.incarnation, peer: None };
        self.set_state(id, State::Suspect, now);
        self.gossip(change);
    }

    /// Runs scheduled work. `release` is the release in force here.
    pub fn tick(&mut self, release: Option<ReleaseId>, now: Time) -> Vec<Action> {
        if now.since(self.last_tick) >= policy::PAUSE_THRESHOLD_MS {
            // This box itself was paused, so missing responses don't indicate a failure.
            self.outstanding.clear();
            self.grace_until = now.after(self.timing.wake_grace_ms);
            self.members.values_mut().for_each(|m| m.contacted = false);
        }
        self.last_tick = now;
        self.check_outstanding(now);
        self.declare_dead(now);
        if now.since(self.last_probe) >= self.timing.interval_ms {
            self.last_probe = now;
            self.probe_next(release, now);
        }
        std::mem::take(&mut self.out)
    }

    fn probe_next(&mut self, release: Option<ReleaseId>, now: Time) {
        let remote = self.last_number.is_multiple_of(REMOTE_PROBE_EVERY);
        if let Some(to) = self.next_target(remote).or_else(|| self.next_target(!remote)) {
            self.ping(to, release, now);
        }
        if self.indirect_probes.len() > MAX_PENDING_INDIRECT_PROBES {
            self.indirect_probes.clear();
        }
    }

    /// Returns the next box of a shuffled round, so that each is probed within a bounded time.
    fn next_target(&mut self, remote: bool) -> Option<BoxId> {
        let empty = if remote { self.remote_round.is_empty() } else { self.local_round.is_empty() };
        if empty {
            let is_candidate = |m: &&Member| (m.peer.hall != self.me.hall) == remote;
            // Dead boxes are probed as well, to detect the end of a network partition.
            let mut round: Vec<BoxId> = self.members.values().filter(is_candidate).map(|m| m.peer.id()).collect();
            round.shuffle(&mut self.random);
            *(if remote { &mut self.remote_round } else { &mut self.local_round }) = round;
        }
        (if remote { &mut self.remote_round } else { &mut self.local_round }).pop()
    }

    fn check_outstanding(&mut self, now: Time) {
        let mut help = Vec::new();
        let mut late = Vec::new();
        for (number, probe) in &mut self.outstanding {
            let waited = now.since(probe.sent);
            if waited >= self.timing.suspect_timeout_ms {
                late.push((*number, probe.to));
            } else if waited >= self.timing.ack_timeout_ms && !probe.indirect {
                probe.indirect = true;
                help.push((*number, probe.to));
            }
        }
        for (number, target) in help {
            self.probe_indirectly(number, target);
        }
        for (number, target) in late {
            self.outstanding.remove(&number);
            if self.may_suspect(target, now) {
                self.suspect(target, now);
            }
        }
    }

    fn probe_indirectly(&mut self, number: u32, target: BoxId) {
        let alive = |m: &&Member| m.state == State::Alive && m.peer.id() != target;
        let mut helpers: Vec<BoxId> = self.members.values().filter(alive).map(|m| m.peer.id()).collect();
        helpers.shuffle(&mut self.random);
        for helper in helpers.into_iter().take(INDIRECT_PROBES) {
            self.out.push(Action::Send(helper, Message::PingFor(number, target)));
        }
    }

    fn declare_dead(&mut self, now: Time) {
        let old = |m: &&Member| m.state == State::Suspect && now.since(m.since) >= self.timing.dead_timeout_ms;
        let dead: Vec<(BoxId, u32)> = self.members.values().filter(old).map(|m| (m.peer.id(), m.incarnation)).collect();
        for (id, incarnation) in dead {
            self.set_state(id, State::Dead, now);
            self.gossip(Change::Box { id, state: State::Dead, incarnation, peer: None });
        }
    }

    // ------------------------------------------------------------------------
    // The view

    /// Returns the boxes that may be owners, by hall: all that are neither dead nor leaving, including this
    /// one.
    #[must_use]
    pub fn eligible_boxes(&self) -> BTreeMap<String, Vec<BoxId>> {
        let mut halls: BTreeMap<String, Vec<BoxId>> = BTreeMap::new();
        if !self.leaving {
            halls.entry(self.me.hall.clone()).or_default().push(self.me.id());
        }
        let counts = |m: &&Member| matches!(m.state, State::Alive | State::Suspect);
        for member in self.members.values().filter(counts) {
            halls.entry(member.peer.hall.clone()).or_default().push(member.peer.id());
        }
        halls.values_mut().for_each(|ids| ids.sort_unstable());
        halls
    }

    /// Returns the boxes of this hall that are leaving. They own nothing but may still hold leases.
    #[must_use]
    pub fn leaving_boxes(&self) -> Vec<BoxId> {
        let local = |m: &&Member| m.peer.hall == self.me.hall && m.state == State::Leaving;
        self.members.values().filter(local).map(|m| m.peer.id()).collect()
    }

    /// Returns true while some box of this hall has neither been contacted nor been found dead or leaving.
    #[must_use]
    pub fn has_uncontacted_peers(&self) -> bool {
        let open = |m: &Member| !m.contacted && matches!(m.state, State::Alive | State::Suspect);
        self.members.values().any(|m| m.peer.hall == self.me.hall && open(m))
    }

    /// Returns all other boxes that have ever been known.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the identity and address of a box.
    #[must_use]
    pub fn peer(&self, id: BoxId) -> Option<&Peer> {
        self.members.get(&id).map(|m| &m.peer)
    }

    /// Returns up to `max` random live boxes, those of this hall first, for announcing a new release.
    pub fn random_alive(&mut self, max: usize) -> Vec<BoxId> {
        let alive = self.members.values().filter(|m| m.state == State::Alive);
        let mut ids: Vec<(bool, u32, BoxId)> = alive.map(|m| (m.peer.hall != self.me.hall, 0, m.peer.id())).collect();
        ids.iter_mut().for_each(|id| id.1 = self.random.random());
        ids.sort_unstable();
        ids.into_iter().take(max).map(|(_, _, id)| id).collect()
    }
}
