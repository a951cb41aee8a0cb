//! Slots of plain servers: which box assigns them, the requests of this box, and those that it decides itself.
//!
//! A state machine without I/O or clock: it takes messages and the time, and returns [`SlotAction`]s.

use dispatch::{Dispatcher, Reply, ServerSlots, SlotEnding, SlotRelease, SlotReply, SlotRequest, Summary};
use peers::{Millis, MissedReplies};
use relay::DispatcherState;
use routing::{rank, rank_address};
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Time after its start during which a box assigns no slots: a previous process at its address may have assigned some
/// whose requests still run.
const FIRST_GRANT_DELAY: Millis = 1_500;

/// Time for which a stopping box isn't asked for slots: the longest planned stop in the example settings. It ends earlier
/// for a successor at the same address, see [`RETURN_DELAY`].
const STOP_PAUSE_MS: u32 = 120_000;

/// Time for which a box that has just started isn't asked again, once it was asked. It takes up to some seconds to know
/// all boxes. With a delay of its own at each box, a restart of the dispatcher left half of all requests unmanaged
/// for seconds.
const START_PAUSE_MS: u32 = 1_000;

/// Minimum interval between two announcements of a box that has just started.
const ANNOUNCEMENT_INTERVAL: Millis = 500;

/// Time for which a box that is heard again after its connection was lost isn't asked for slots. It may have started
/// anew and assigns none yet, and all boxes would switch to it from the one that replaced it.
const RETURN_DELAY: Millis = 2_000;

/// Time without a message and without a connection after which a box counts as gone and its slots are assigned again.
/// Assigning them at once would double the requests at a server after each short network fault.
const GONE_TIMEOUT: Millis = 1_000;

/// Time since the last message up to which a silent dispatcher may only be paused: small boxes run on a share of a
/// processor and pause for up to 100 ms.
const MAX_PAUSE: Millis = 100;

/// Number of requests at which old withdrawn ones are removed, and the age from which they are old: no reply is in
/// transit for so long.
const CLEANUP_THRESHOLD: usize = 256;
const WITHDRAWN_TTL: Millis = 5_000;

/// An action to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotAction {
    /// Sends a request to the dispatcher of its service.
    Request(SocketAddr, SlotRequest),
    /// Sends a reply to the requesting box.
    Reply(SocketAddr, SlotReply),
    /// Informs the requesting box that this request is queued, which proves that the dispatcher is alive.
    Queued(SocketAddr, u64),
    /// Sends a release to the dispatcher.
    Release(SocketAddr, SlotRelease),
    /// Announces to all boxes that this one assigns no slots for this many milliseconds; 0 if it does from now on.
    AnnouncePause(u32),
    /// Passes a reply to the request of this box that waits for it.
    Resolve(SlotReply),
    /// Ends the wait of this box's request with this number without a reply.
    Abandon(u64),
}

/// State of a request of this box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Granted,
    /// The request no longer waits, since this time.
    Withdrawn(Millis),
}

/// A request of this box.
#[derive(Clone, Debug)]
struct OwnRequest {
    dispatcher: SocketAddr,
    service: String,
    /// Number of messages from the dispatcher before the request.
    messages_before: u64,
    phase: Phase,
}

/// Messages from a box.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    messages: u64,
    /// Time of the last message.
    last: Millis,
}

/// Assignment of slots, as far as this box takes part in it.
#[derive(Debug)]
pub struct SlotAssignment {
    me: SocketAddr,
    dispatcher: Dispatcher,
    /// Boxes of this box's region, including this one, with their capacities in descending order.
    boxes: Vec<(SocketAddr, u32)>,
    /// True once another box has reported the same set of boxes.
    converged: bool,
    /// True once a planned stop of this box has begun.
    stopping: bool,
    /// Servers of the services whose slots are assigned in this region.
    servers: HashMap<String, Vec<ServerSlots>>,
    /// The services whose servers the dispatcher of this box has.
    managed: HashSet<String>,
    own_requests: HashMap<u64, OwnRequest>,
    contacts: HashMap<SocketAddr, Contact>,
    /// Boxes that have sent nothing since the connection to them was lost, with the time of the loss.
    lost_since: HashMap<SocketAddr, Millis>,
    missed_replies: MissedReplies,
    /// True once this box has announced that it assigns slots.
    announced_ready: bool,
    /// Time of the last announcement that this box has just started.
    announced: Option<Millis>,
    /// Boxes that are stopping, are starting or have just returned, with the time until which they are not asked.
    excluded_until: HashMap<SocketAddr, Millis>,
}

impl SlotAssignment {
    /// Creates the state of the box `me`, which knows no other boxes and no servers.
    #[must_use]
    pub fn new(me: SocketAddr) -> Self {
        Self {
            me,
            dispatcher: Dispatcher::default(),
            boxes: Vec::new(),
            converged: false,
            stopping: false,
            servers: HashMap::new(),
            managed: HashSet::new(),
            own_requests: HashMap::new(),
            contacts: HashMap::new(),
            lost_since: HashMap::new(),
            missed_replies: MissedReplies::default(),
            announced_ready: false,
            announced: None,
            excluded_until: HashMap::new(),
        }
    }

    /// Sets the boxes of this box's region, including this one, with their capacities.
    pub fn set_boxes(&mut self, boxes: Vec<(SocketAddr, u32)>, converged: bool) {
        self.boxes = boxes;
        self.boxes.sort_unstable_by_key(|(_, capacity)| Reverse(*capacity));
        self.converged = converged;
    }

    /// Sets the servers of the services whose slots are assigned in this region. The dispatcher keeps those services
    /// that this box is in charge of.
    #[must_use]
    pub fn set_servers(&mut self, services: Vec<(String, Vec<ServerSlots>)>, now: Millis) -> Vec<SlotAction> {
        let former = std::mem::replace(&mut self.servers, services.into_iter().collect());
        let known: HashSet<&String> = former.keys().chain(self.servers.keys()).chain(&self.managed).collect();
        let known: Vec<String> = known.into_iter().cloned().collect();
        let mut replies = Vec::new();
        for service in known {
            let is_managed = self.servers.contains_key(&service) && self.is_in_charge(&service, now);
            if !is_managed {
                if self.managed.remove(&service) {
                    replies.extend(self.dispatcher.set_servers(&service, &[], now));
                }
            } else if self.managed.insert(service.clone()) || former.get(&service) != self.servers.get(&service) {
                replies.extend(self.dispatcher.set_servers(&service, &self.servers[&service], now));
            }
        }
        let mut actions = self.deliver(replies);
        if !self.managed.is_empty() && !std::mem::replace(&mut self.announced_ready, true) {
            // All boxes change to this one at the same time. Otherwise some would still ask the box that it replaces.
            actions.push(SlotAction::AnnouncePause(0));
        }
        actions
    }

    /// Returns the box that assigns the slots of a service: of the responsive boxes with the most capacity, the one that
    /// ranks first for the service.
    fn dispatcher_of(&self, service: &str, now: Millis) -> Option<SocketAddr> {
        let key = rank(0, service);
        self.boxes.chunk_by(|(_, one), (_, other)| one == other).find_map(|candidates| {
            let mut best: Option<(u64, SocketAddr)> = None;
            for (address, _) in candidates {
                let rank = rank_address(key, address);
                // Few boxes rank above all those before them, so that few are checked.
                if best.is_none_or(|(highest, _)| rank > highest) && self.is_eligible(address, now) {
                    best = Some((rank, *address));
                }
            }
            best.map(|(_, address)| address)
        })
    }

    fn is_eligible(&self, address: &SocketAddr, now: Millis) -> bool {
        if *address == self.me {
            return !self.stopping;
        }
        let is_excluded = self.excluded_until.get(address).is_some_and(|until| now < *until);
        !is_excluded && !self.missed_replies.is_unresponsive(address, now)
    }

    /// True if this box assigns the slots of a service.
    fn is_in_charge(&self, service: &str, now: Millis) -> bool {
        self.converged && now >= FIRST_GRANT_DELAY && self.dispatcher_of(service, now) == Some(self.me)
    }

    /// Requests a slot for a request of this box. Returns `None` if no dispatcher is known.
    #[must_use]
    pub fn request(&mut self, request: SlotRequest, now: Millis) -> Option<Vec<SlotAction>> {
        if !self.converged {
            return None;
        }
        let dispatcher = self.dispatcher_of(&request.service, now)?;
        if self.own_requests.len() >= CLEANUP_THRESHOLD {
            let is_old = |phase| matches!(phase, Phase::Withdrawn(at) if now >= at + WITHDRAWN_TTL);
            self.own_requests.retain(|_, own| !is_old(own.phase));
        }
        let messages_before = self.contact(&dispatcher).messages;
        let service = request.service.clone();
        let own = OwnRequest { dispatcher, service, messages_before, phase: Phase::Waiting };
        self.own_requests.insert(request.number, own);
        if dispatcher == self.me {
            return Some(self.on_request(dispatcher, request, now));
        }
        Some(vec![SlotAction::Request(dispatcher, request)])
    }

    /// Returns whether the dispatcher of this request of this box is alive. Any message since the request proves it.
    pub fn check_dispatcher(&mut self, number: u64, now: Millis) -> DispatcherState {
        let Some(own) = self.own_requests.get(&number) else { return DispatcherState::Alive };
        let contact = self.contact(&own.dispatcher);
        if own.dispatcher == self.me || contact.messages > own.messages_before {
            return DispatcherState::Alive;
        }
        if contact.messages > 0 && now < contact.last + MAX_PAUSE {
            return DispatcherState::Paused(Duration::from_millis(contact.last + MAX_PAUSE - now));
        }
        self.missed_replies.record_missed(own.dispatcher, now);
        DispatcherState::Silent
    }

    /// Returns the slot of a request of this box, or withdraws the request.
    #[must_use]
    pub fn release(&mut self, release: SlotRelease, now: Millis) -> Vec<SlotAction> {
        let Some(own) = self.own_requests.get_mut(&release.number) else { return Vec::new() };
        let dispatcher = own.dispatcher;
        if own.phase == Phase::Granted || dispatcher == self.me {
            self.own_requests.remove(&release.number);
        } else {
            // Kept, so that a grant which arrives later is released even if this release is lost.
            own.phase = Phase::Withdrawn(now);
        }
        if dispatcher == self.me {
            return self.on_release(dispatcher, &release, now);
        }
        vec![SlotAction::Release(dispatcher, release)]
    }

    /// Records a message of any kind from another box.
    pub fn on_contact(&mut self, from: SocketAddr, now: Millis) {
        let contact = self.contacts.entry(from).or_default();
        contact.messages += 1;
        contact.last = now;
        if self.lost_since.remove(&from).is_some() {
            self.excluded_until.insert(from, now + RETURN_DELAY);
        }
        self.missed_replies.record_reply(from);
    }

    /// Handles a request of another box, or of this one.
    #[must_use]
    pub fn on_request(&mut self, from: SocketAddr, request: SlotRequest, now: Millis) -> Vec<SlotAction> {
        let number = request.number;
        if !self.is_in_charge(&request.service, now) {
            let mut actions = self.deliver(vec![Reply { to: from, reply: SlotReply::Unmanaged { number } }]);
            let is_starting = !self.converged || now < FIRST_GRANT_DELAY;
            if is_starting && self.announced.is_none_or(|at| now >= at + ANNOUNCEMENT_INTERVAL) {
                self.announced = Some(now);
                actions.push(SlotAction::AnnouncePause(START_PAUSE_MS));
            }
            return actions;
        }
        let mut replies = Vec::new();
        if let Some(servers) = self.servers.get(&request.service).filter(|_| !self.managed.contains(&request.service)) {
            // This box has just taken over from another one.
            replies = self.dispatcher.set_servers(&request.service, servers, now);
            self.managed.insert(request.service.clone());
        }
        replies.extend(self.dispatcher.on_request(from, request, now));
        let is_decided = replies.iter().any(|reply| reply.to == from && reply.reply.number() == number);
        let mut actions = self.deliver(replies);
        if !is_decided && from != self.me {
            actions.push(SlotAction::Queued(from, number));
        }
        actions
    }

    /// Handles a release by another box, or by this one.
    #[must_use]
    pub fn on_release(&mut self, from: SocketAddr, release: &SlotRelease, now: Millis) -> Vec<SlotAction> {
        let replies = self.dispatcher.on_release(from, release, now);
        self.deliver(replies)
    }

    /// Handles the reply to a request of this box. A grant that nothing waits for is released unused.
    #[must_use]
    pub fn on_reply(&mut self, from: SocketAddr, reply: SlotReply) -> Vec<SlotAction> {
        let number = reply.number();
        let Some(own) = self.own_requests.get_mut(&number).filter(|own| own.dispatcher == from) else {
            return Vec::new();
        };
        let is_granted = matches!(reply, SlotReply::Granted { .. });
        match own.phase {
            Phase::Waiting => {
                if is_granted {
                    own.phase = Phase::Granted;
                } else {
                    self.own_requests.remove(&number);
                }
                vec![SlotAction::Resolve(reply)]
            }
            Phase::Granted => Vec::new(),
            Phase::Withdrawn(_) => {
                let service = std::mem::take(&mut own.service);
                self.own_requests.remove(&number);
                let release = SlotRelease { number, service, ending: SlotEnding::Unused };
                if is_granted {
                    vec![SlotAction::Release(from, release)]
                } else {
                    Vec::new()
                }
            }
        }
    }

    /// Handles the announcement that another box assigns no slots for `pause_ms`.
    pub fn on_pause(&mut self, from: SocketAddr, pause_ms: u32, now: Millis) {
        self.excluded_until.insert(from, now + Millis::from(pause_ms.min(STOP_PAUSE_MS)));
    }

    /// Handles a lost connection to another box, or a failed attempt to open one: this box's requests there no longer
    /// wait, and a box that stays unreachable returns its slots.
    #[must_use]
    pub fn on_link_lost(&mut self, to: SocketAddr, now: Millis) -> Vec<SlotAction> {
        self.missed_replies.record_missed(to, now);
        let mut actions = Vec::new();
        for (number, own) in &mut self.own_requests {
            if own.dispatcher == to && own.phase == Phase::Waiting {
                own.phase = Phase::Withdrawn(now);
                actions.push(SlotAction::Abandon(*number));
            }
        }
        let lost_since = *self.lost_since.entry(to).or_insert(now);
        if now >= lost_since + GONE_TIMEOUT {
            let replies = self.dispatcher.on_box_left(to, now);
            actions.extend(self.deliver(replies));
        }
        actions
    }

    /// Runs scheduled work of the dispatcher. To be called every 10 ms while [`SlotAssignment::is_idle`] is false.
    #[must_use]
    pub fn tick(&mut self, now: Millis) -> Vec<SlotAction> {
        let replies = self.dispatcher.tick(now);
        self.deliver(replies)
    }

    /// True if no request waits at this box's dispatcher and none of the slots that it assigned is in use.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.dispatcher.is_idle()
    }

    /// Begins a planned stop of this box: requests that wait are answered, and other boxes ask the next one in rank.
    #[must_use]
    pub fn stop(&mut self) -> Vec<SlotAction> {
        self.stopping = true;
        let replies = self.dispatcher.stop();
        let mut actions =
            if self.managed.is_empty() { Vec::new() } else { vec![SlotAction::AnnouncePause(STOP_PAUSE_MS)] };
        actions.extend(self.deliver(replies));
        actions
    }

    /// Returns the state of the services that this box assigns slots for.
    #[must_use]
    pub fn summaries(&self) -> Vec<Summary> {
        self.dispatcher.summaries()
    }

    fn contact(&self, address: &SocketAddr) -> Contact {
        self.contacts.get(address).copied().unwrap_or_default()
    }

    /// Returns the actions that deliver the dispatcher's replies.
    fn deliver(&mut self, replies: Vec<Reply>) -> Vec<SlotAction> {
        let mut actions = Vec::with_capacity(replies.len());
        for Reply { to, reply } in replies {
            if to == self.me {
                actions.extend(self.on_reply(to, reply));
            } else {
                actions.push(SlotAction::Reply(to, reply));
            }
        }
        actions
    }
}
