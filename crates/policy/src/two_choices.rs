//! The simpler ways, kept as baselines: each box decides alone, by lagged reports.

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

/// In which order a box alone serves what waits in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDiscipline {
    /// First come, first served.
    Arrival,
    /// By the classes' rank, then first come, first served.
    Class,
}

#[derive(Clone, Debug)]
struct Seen {
    id: ServerId,
    slots: u32,
    leaving: bool,
    /// What the server last said, at some past moment.
    load: Load,
    /// Sent there by this box since that report.
    since_report: u32,
}

/// A box that decides alone for one shard: best of two servers by their lagged reports.
#[derive(Debug)]
pub struct TwoChoices {
    shard: ShardId,
    discipline: QueueDiscipline,
    layout: Rc<Layout>,
    servers: Vec<Seen>,
    line: Vec<QueuedRequest>,
    held: BTreeMap<u64, ServerId>,
    random: ChaCha8Rng,
}

impl TwoChoices {
    /// A decider for `spec`, with a seed for its choices of two.
    #[must_use]
    pub fn new(spec: &ShardSpec, layout: Rc<Layout>, discipline: QueueDiscipline, seed: u64) -> Self {
        let servers = spec.servers.iter().map(|upstream| Seen {
            id: ServerId::of(&upstream.name),
            slots: upstream.slots,
            leaving: upstream.leaving,
            load: Load::default(),
            since_report: 0,
        });
        Self {
            shard: spec.id,
            discipline,
            layout,
            servers: servers.collect(),
            line: Vec::new(),
            held: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn best_of_two(&mut self) -> Option<usize> {
        let open = |s: &Seen| !s.leaving && s.load.running + s.load.waiting + s.since_report < s.slots;
        let open: Vec<usize> = (0..self.servers.len()).filter(|i| open(&self.servers[*i])).collect();
        if open.is_empty() {
            return None;
        }
        let first = open[self.random.random_range(0..open.len())];
        let second = open[self.random.random_range(0..open.len())];
        let load = |i: usize| {
            let s = &self.servers[i];
            s.load.running + s.load.waiting + s.since_report
        };
        Some(if load(first) <= load(second) { first } else { second })
    }

    fn next(&self) -> Option<usize> {
        let rank = |w: &QueuedRequest| match self.discipline {
            QueueDiscipline::Arrival => 0,
            QueueDiscipline::Class => self.layout.class(w.ask.class).rank,
        };
        (0..self.line.len()).min_by_key(|i| (rank(&self.line[*i]), self.line[*i].arrived))
    }

    fn dispatch(&mut self, now: Time) -> Vec<Decision> {
        let mut out = Vec::new();
        while let Some(next) = self.next() {
            let Some(index) = self.best_of_two() else { break };
            let waiting = self.line.remove(next);
            let server = &mut self.servers[index];
            server.since_report += 1;
            self.held.insert(waiting.ask.id, server.id);
            let waited = now.since(waiting.arrived) as u32;
            let grant = Message::Grant { shard: self.shard, id: waiting.ask.id, server: server.id, waited };
            out.push(Decision::Send(waiting.from, grant));
        }
        out
    }
}

impl Scheduler for TwoChoices {
    fn request_slot(&mut self, from: BoxId, ask: SlotRequest, now: Time) -> Vec<Decision> {
        let arrived = Time(now.0.saturating_sub(u64::from(ask.age_ms)));
        let id = ask.id;
        self.line.push(QueuedRequest { from, ask, arrived });
        let mut out = self.dispatch(now);
        if self.line.iter().any(|w| w.ask.id == id) {
            out.push(Decision::Send(from, Message::Queued(self.shard, vec![id])));
        }
        out
    }

    fn cancel(&mut self, _from: BoxId, id: u64, now: Time) -> Vec<Decision> {
        self.line.retain(|w| w.ask.id != id);
        self.held.remove(&id);
        self.dispatch(now)
    }

    fn return_lease(&mut self, _from: BoxId, back: &LeaseReturn, now: Time) -> Vec<Decision> {
        if let Some(server) = self.held.remove(&back.id) {
            for seen in self.servers.iter_mut().filter(|s| s.id == server) {
                seen.since_report = seen.since_report.saturating_sub(1);
            }
        }
        self.dispatch(now)
    }

    fn on_load_report(&mut self, server: ServerId, load: Load, now: Time) -> Vec<Decision> {
        for seen in self.servers.iter_mut().filter(|s| s.id == server) {
            seen.leaving |= load.leaving;
            seen.load = load;
            seen.since_report = 0;
        }
        self.dispatch(now)
    }

    fn tick(&mut self, now: Time) -> Vec<Decision> {
        let layout = Rc::clone(&self.layout);
        let late = |w: &QueuedRequest| now.since(w.arrived) >= queue_timeout_ms(&layout.class(w.ask.class));
        let (late, line): (Vec<_>, Vec<_>) = self.line.drain(..).partition(late);
        self.line = line;
        let mut out = self.dispatch(now);
        for waiting in late {
            let refusal = Refusal { reason: Reason::Late, retry_ms: 1_000 };
            out.push(Decision::Send(waiting.from, Message::Refuse(self.shard, waiting.ask.id, refusal)));
        }
        out
    }

    fn renew_all(&mut self, _now: Time) {}

    fn set_leaving(&mut self, server: ServerId, leaving: bool) {
        self.servers.iter_mut().filter(|s| s.id == server).for_each(|s| s.leaving = leaving);
    }

    fn queue_len(&self) -> usize {
        self.line.len()
    }
}
