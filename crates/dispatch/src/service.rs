//! The servers, leases and waiting requests of one service.

use crate::boxes::Boxes;
use crate::ended::Ended;
use crate::forecast::{self, Late, Spread, Throughput};
use crate::promises::{Promises, MAX_WAIT_RATIO};
use crate::queue::{Account, Key, Picked, Queue, Waiting, MAX_WAITING, URGENCY_CLASSES};
use crate::server::Server;
use crate::{Millis, Reply, ServerSlots, SlotEnding, SlotReply, SlotRequest, Summary};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A slot in use.
#[derive(Clone, Debug)]
struct Lease {
    server: String,
    granted_at: Millis,
    expires_at: Millis,
    class: usize,
    account: Account,
    /// Service time in milliseconds that was charged to the account.
    charged_ms: f64,
}

/// State of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Service {
    boxes: Boxes,
    /// By id. Servers that are no longer listed stay until their slots are returned.
    servers: BTreeMap<String, Server>,
    leases: BTreeMap<Key, Lease>,
    /// The leases by the time at which they lapse.
    lapses: BTreeSet<(Millis, Key)>,
    queue: Queue,
    ended: Ended,
    /// Returns of the callers of refused requests.
    promises: Promises,
    /// By class.
    spreads: [Spread; URGENCY_CLASSES],
}

impl Service {
    pub(crate) fn is_idle(&self) -> bool {
        self.leases.is_empty() && self.queue.is_empty()
    }

    pub(crate) fn summary(&self, service: &str) -> Summary {
        let usable = self.servers.values().filter(|server| server.is_usable());
        Summary {
            service: service.to_owned(),
            slots: usable.map(|server| server.slots).sum(),
            used: self.leases.len() as u32,
            waiting: self.queue.len() as u32,
        }
    }

    pub(crate) fn set_servers(&mut self, servers: &[ServerSlots], now: Millis) -> Vec<Reply> {
        for server in self.servers.values_mut() {
            server.listed = false;
            server.usable = false;
        }
        for listed in servers {
            let server = self.servers.entry(listed.id.clone()).or_default();
            server.listed = true;
            server.usable = listed.usable;
            server.slots = listed.slots;
        }
        self.servers.retain(|_, server| server.listed || server.used > 0);
        let mut replies = Vec::new();
        for key in self.queue.matching(|waiting| !self.has_server_for(&waiting.tried)) {
            self.queue.remove(&key);
            replies.push(self.unmanaged(key));
        }
        self.advance(now, &mut replies);
        replies
    }

    pub(crate) fn on_request(&mut self, from: SocketAddr, request: SlotRequest, now: Millis) -> Vec<Reply> {
        let key = (self.boxes.number(from), request.number);
        if self.leases.contains_key(&key) || self.queue.contains(&key) {
            // A repeated message: the request gets its one reply, or has got it.
            return Vec::new();
        }
        let mut replies = Vec::new();
        if self.ended.contains(&key) || !self.has_server_for(&request.tried) {
            replies.push(self.unmanaged(key));
            self.advance(now, &mut replies);
            return replies;
        }
        if let Some(retry_ms) = self.early_ms(request.request, now) {
            // Another try may get the slot of a caller that returns as told.
            self.ended.record(key);
            return vec![Reply { to: from, reply: SlotReply::Refused { number: request.number, retry_ms } }];
        }
        let waiting = Waiting {
            key,
            deadline: now + Millis::from(request.max_wait_ms.min(request.expires_ms)),
            expires_at: now + Millis::from(request.expires_ms),
            tried: request.tried.into_boxed_slice(),
            request: request.request,
        };
        let class = usize::from(request.urgency).min(URGENCY_CLASSES - 1);
        self.queue.push(waiting, class, request.customer, now);
        self.advance(now, &mut replies);
        let throughput = self.throughput();
        if let Some(late) = forecast::late_request(&self.queue, key, throughput, now) {
            replies.extend(self.refuse(late, throughput, now));
        } else if self.queue.len() > MAX_WAITING {
            let wait_ms = self.queue.len() as f64 * throughput.interval_ms;
            let last = self.queue.last().map(|key| Late { key, wait_ms });
            replies.extend(last.and_then(|last| self.refuse(last, throughput, now)));
        }
        replies
    }

    pub(crate) fn on_release(&mut self, from: SocketAddr, number: u64, ending: SlotEnding, now: Millis) -> Vec<Reply> {
        let Some(from) = self.boxes.find(from) else { return Vec::new() };
        let key = (from, number);
        let mut replies = Vec::new();
        if self.queue.remove(&key).is_some() {
            self.ended.record(key);
        }
        self.end_lease(key, ending, now);
        self.advance(now, &mut replies);
        replies
    }

    pub(crate) fn on_box_left(&mut self, address: SocketAddr, now: Millis) -> Vec<Reply> {
        let Some(number) = self.boxes.find(address) else { return Vec::new() };
        for key in self.queue.of_box(number) {
            self.queue.remove(&key);
        }
        let of_box = self.leases.range((number, 0)..=(number, u64::MAX));
        for key in of_box.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.end_lease(key, SlotEnding::Unused, now);
        }
        self.ended.forget_box(number);
        self.boxes.remove(address);
        let mut replies = Vec::new();
        self.advance(now, &mut replies);
        replies
    }

    pub(crate) fn tick(&mut self, now: Millis) -> Vec<Reply> {
        let mut replies = Vec::new();
        self.advance(now, &mut replies);
        let throughput = self.throughput();
        for late in forecast::late(&self.queue, throughput, now) {
            replies.extend(self.refuse(late, throughput, now));
        }
        replies
    }

    /// Answers all waiting requests with [`SlotReply::Unmanaged`].
    pub(crate) fn stop(&mut self) -> Vec<Reply> {
        let keys = self.queue.matching(|_| true);
        keys.into_iter()
            .map(|key| {
                self.queue.remove(&key);
                self.unmanaged(key)
            })
            .collect()
    }

    /// True if a usable server is left for a request that must not be sent to the `tried` ones again.
    fn has_server_for(&self, tried: &[String]) -> bool {
        self.servers.iter().any(|(id, server)| server.is_usable() && !tried.contains(id))
    }

    fn throughput(&self) -> Throughput {
        let usable = self.servers.values().filter(|server| server.is_usable());
        Throughput::of(usable.map(|server| (server.slots, server.learned_ms())))
    }

    fn unmanaged(&mut self, key: Key) -> Reply {
        self.ended.record(key);
        Reply { to: self.boxes.address(key.0), reply: SlotReply::Unmanaged { number: key.1 } }
    }

    /// Returns the milliseconds until the caller of a request was told to return, if slots are short until then.
    fn early_ms(&self, request: u64, now: Millis) -> Option<u32> {
        let is_short = !self.queue.is_empty() || !self.servers.values().any(|server| server.is_free(now));
        self.promises.left_ms(request, now).filter(|_| is_short)
    }

    fn refuse(&mut self, late: Late, throughput: Throughput, now: Millis) -> Option<Reply> {
        let Late { key, wait_ms } = late;
        let class = self.queue.class_of(&key)?;
        let refused = self.queue.remove(&key)?;
        self.ended.record(key);
        let retry_ms = self.spreads[class].retry_ms(wait_ms, throughput);
        let left_ms = refused.expires_at.saturating_sub(now) as f64;
        if f64::from(retry_ms) <= left_ms * MAX_WAIT_RATIO {
            self.promises.record(refused.request, now + Millis::from(retry_ms), now);
        }
        Some(Reply { to: self.boxes.address(key.0), reply: SlotReply::Refused { number: key.1, retry_ms } })
    }

    /// Ends lapsed leases, refuses requests whose longest useful wait has passed, and grants free slots.
    fn advance(&mut self, now: Millis, replies: &mut Vec<Reply>) {
        while let Some((_, key)) = self.lapses.first().copied().filter(|(expires_at, _)| *expires_at <= now) {
            self.end_lease(key, SlotEnding::Unused, now);
        }
        while let Some(key) = self.queue.first_overdue(now) {
            let throughput = self.throughput();
            let late = forecast::late_request(&self.queue, key, throughput, now);
            replies.extend(late.and_then(|late| self.refuse(late, throughput, now)));
        }
        while let Some(reply) = self.grant_next(now) {
            replies.push(reply);
        }
    }

    fn end_lease(&mut self, key: Key, ending: SlotEnding, now: Millis) {
        let Some(lease) = self.leases.remove(&key) else { return };
        self.lapses.remove(&(lease.expires_at, key));
        self.ended.record(key);
        let held_ms = now.saturating_sub(lease.granted_at);
        let throughput = self.throughput();
        let credit = (lease.charged_ms - held_ms as f64) / throughput.service_ms;
        self.queue.correct(lease.class, lease.account, credit);
        let Some(server) = self.servers.get_mut(&lease.server) else { return };
        server.used -= 1;
        let expected_ms = server.learned_ms().unwrap_or(throughput.typical_ms);
        match ending {
            SlotEnding::Answered => server.record_answer(held_ms),
            SlotEnding::TurnedAway => server.record_turned_away(expected_ms, now),
            SlotEnding::Failed => server.record_failure(expected_ms, now),
            SlotEnding::Unused => {}
        }
        if !server.listed && server.used == 0 {
            self.servers.remove(&lease.server);
        }
    }

    /// Grants the request that is next, if a slot is free that a waiting request can use.
    fn grant_next(&mut self, now: Millis) -> Option<Reply> {
        if self.queue.is_empty() || !self.servers.values().any(|server| server.is_free(now)) {
            return None;
        }
        let Throughput { service_ms, typical_ms, .. } = self.throughput();
        let servers = &self.servers;
        let best_slot = |waiting: &Waiting| {
            let free = servers.iter().filter(|(id, server)| server.is_free(now) && !waiting.tried.contains(id));
            let ranked = free.map(|(id, server)| (id, server, server.learned_ms().unwrap_or(typical_ms)));
            let best = ranked.min_by(|(_, one, one_ms), (_, other, other_ms)| {
                let avoided = one.is_avoided(now).cmp(&other.is_avoided(now));
                avoided.then(one_ms.total_cmp(other_ms)).then(one.used_ratio().total_cmp(&other.used_ratio()))
            });
            best.map(|(id, _, expected_ms)| (id.clone(), expected_ms))
        };
        let queue = &mut self.queue;
        // The most urgent class needs no floor: nothing goes before it.
        let floor_due: Vec<usize> = (1..URGENCY_CLASSES).filter(|class| queue.floor_due_at(*class) <= now).collect();
        let mut order = floor_due.into_iter().chain(0..URGENCY_CLASSES);
        let (class, picked) = order.find_map(|class| Some((class, queue.pick(class, service_ms, now, best_slot)?)))?;
        Some(self.grant(class, picked, now))
    }

    fn grant(&mut self, class: usize, picked: Picked, now: Millis) -> Reply {
        let Picked { waiting: Waiting { key, expires_at, .. }, account, server, charged_ms } = picked;
        if let Some(granted) = self.servers.get_mut(&server) {
            granted.used += 1;
        }
        self.lapses.insert((expires_at, key));
        let lease = Lease { server: server.clone(), granted_at: now, expires_at, class, account, charged_ms };
        self.leases.insert(key, lease);
        Reply { to: self.boxes.address(key.0), reply: SlotReply::Granted { number: key.1, server } }
    }
}
