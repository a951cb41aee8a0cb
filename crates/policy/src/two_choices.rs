//! Baseline schedulers: each box decides on its own, by delayed load reports.

use crate::queue_timeout::queue_timeout_ms;
use crate::{
    Decision, Layout, LeaseReturn, Load, Message, QueuedRequest, Reason, Refusal, Scheduler, ShardSpec, SlotRequest,
    Time,
};
use catalog::{BoxId, ServerId, ShardId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The order in which a box without coordination serves its waiting requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDiscipline {
    /// First come, first served.
    Arrival,
    /// By class rank, then first come, first served.
    Class,
}

#[derive(Clone, Debug)]
struct ServerView {
    id: ServerId,
    slots: u32,
    leaving: bool,
    /// The server's last load report, which describes a past moment.
    load: Load,
    /// Requests that this box has sent there since that report.
    sent_since_report: u32,
}

/// A scheduler for one shard without coordination: the better of two random servers by their delayed reports.
#[derive(Debug)]
pub struct TwoChoices {
    shard: ShardId,
    discipline: QueueDiscipline,
    layout: Rc<Layout>,
    servers: Vec<ServerView>,
    queue: Vec<QueuedRequest>,
    leases: BTreeMap<u64, ServerId>,
    rng: ChaCha8Rng,
}

impl TwoChoices {
    /// Creates a scheduler for `spec`, with a seed for its random choices.
    #[must_use]
    pub fn new(spec: &ShardSpec, layout: Rc<Layout>, discipline: QueueDiscipline, seed: u64) -> Self {
        let servers = spec.servers.iter().map(|upstream| ServerView {
            id: ServerId::of(&upstream.name),
            slots: upstream.slots,
            leaving: upstream.leaving,
            load: Load::default(),
            sent_since_report: 0,
        });
        Self {
            shard: spec.id,
            discipline,
            layout,
            servers: servers.collect(),
            queue: Vec::new(),
            leases: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn pick_of_two(&mut self) -> Option<usize> {
        let open = |s: &ServerView| !s.leaving && s.load.running + s.load.waiting + s.sent_since_report < s.slots;
        let open: Vec<usize> = (0..self.servers.len()).filter(|i| open(&self.servers[*i])).collect();
        if open.is_empty() {
            return None;
        }
        let first = open[self.rng.random_range(0..open.len())];
        let second = open[self.rng.random_range(0..open.len())];
        let load = |i: usize| {
            let s = &self.servers[i];
            s.load.running + s.load.waiting + s.sent_since_report
        };
        Some(if load(first) <= load(second) { first } else { second })
    }

    fn next_index(&self) -> Option<usize> {
        let rank = |w: &QueuedRequest| match self.discipline {
            QueueDiscipline::Arrival => 0,
            QueueDiscipline::Class => self.layout.class(w.request.class).rank,
        };
        (0..self.queue.len()).min_by_key(|i| (rank(&self.queue[*i]), self.queue[*i].arrived))
    }

    fn dispatch(&mut self, now: Time) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while let Some(next) = self.next_index() {
            let Some(index) = self.pick_of_two() else { break };
            let queued = self.queue.remove(next);
            let server = &mut self.servers[index];
            server.sent_since_report += 1;
            self.leases.insert(queued.request.id, server.id);
            let waited = now.since(queued.arrived) as u32;
            let grant = Message::Grant { shard: self.shard, id: queued.request.id, server: server.id, waited };
            decisions.push(Decision::Send(queued.from, grant));
        }
        decisions
    }
}

impl Scheduler for TwoChoices {
    fn request_slot(&mut self, from: BoxId, request: SlotRequest, now: Time) -> Vec<Decision> {
        let arrived = Time(now.0.saturating_sub(u64::from(request.age_ms)));
        let id = request.id;
        self.queue.push(QueuedRequest { from, request, arrived });
        let mut decisions = self.dispatch(now);
        if self.queue.iter().any(|w| w.request.id == id) {
            decisions.push(Decision::Send(from, Message::Queued(self.shard, vec![id])));
        }
        decisions
    }

    fn cancel(&mut self, _from: BoxId, id: u64, now: Time) -> Vec<Decision> {
        self.queue.retain(|w| w.request.id != id);
        self.leases.remove(&id);
        self.dispatch(now)
    }

    fn return_lease(&mut self, _from: BoxId, returned: &LeaseReturn, now: Time) -> Vec<Decision> {
        if let Some(server) = self.leases.remove(&returned.id) {
            for view in self.servers.iter_mut().filter(|s| s.id == server) {
                view.sent_since_report = view.sent_since_report.saturating_sub(1);
            }
        }
        self.dispatch(now)
    }

    fn on_load_report(&mut self, server: ServerId, load: Load, now: Time) -> Vec<Decision> {
        for view in self.servers.iter_mut().filter(|s| s.id == server) {
            view.leaving |= load.leaving;
            view.load = load;
            view.sent_since_report = 0;
        }
        self.dispatch(now)
    }

    fn tick(&mut self, now: Time) -> Vec<Decision> {
        let layout = Rc::clone(&self.layout);
        let late = |w: &QueuedRequest| now.since(w.arrived) >= queue_timeout_ms(&layout.class(w.request.class));
        let (late, queue): (Vec<_>, Vec<_>) = self.queue.drain(..).partition(late);
        self.queue = queue;
        let mut decisions = self.dispatch(now);
        for queued in late {
            let refusal = Refusal { reason: Reason::Late, retry_ms: 1_000 };
            decisions.push(Decision::Send(queued.from, Message::Refuse(self.shard, queued.request.id, refusal)));
        }
        decisions
    }

    fn renew_all(&mut self, _now: Time) {}

    fn set_leaving(&mut self, server: ServerId, leaving: bool) {
        self.servers.iter_mut().filter(|s| s.id == server).for_each(|s| s.leaving = leaving);
    }

    fn queue_len(&self) -> usize {
        self.queue.len()
    }
}
