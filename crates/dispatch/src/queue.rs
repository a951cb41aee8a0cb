//! Requests that wait for a slot, by urgency, then customer, then age.
//!
//! Within a class, customers share by deficit round robin. Each turn adds one quantum of service time to a customer's
//! credit, and each grant is charged its expected service time; when the slot is returned, the charge is corrected to
//! the time for which it was held. A customer that uses less than its share saves credit up to a bound, and goes before
//! the others until that is spent. Without it, a customer slightly below its share would lose the bursts of its usual
//! traffic to a customer that always has requests waiting.

use crate::Millis;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Number of urgency classes that are distinguished.
pub(crate) const URGENCY_CLASSES: usize = 10;

/// Waiting requests of a service. Beyond it, requests of the least urgent class are refused. At about 300 bytes each,
/// measured with 10,000 customers, the queue stays under 2 MB; it holds more than 1,000 slots can serve in half a second
/// at the default service time.
pub(crate) const MAX_WAITING: usize = 6_144;

/// Customers of a class that are told apart. The requests of further customers share accounts. Together with the shared
/// ones they fit a hash table of 1,024 buckets, which holds at most 896 entries; the next size takes twice the memory.
const MAX_ACCOUNTS: usize = 800;

/// Accounts shared by the customers beyond [`MAX_ACCOUNTS`], numbered from 1.
const SHARED_ACCOUNTS: u64 = 64;

/// Largest credit in quanta, which is the burst that goes before the requests of customers beyond their share. With one
/// of 24 customers at nine times its rate, each other customer kept at least 0.954 of its work; with 1, 4 or 8 quanta,
/// some kept 0.946, 0.935 and 0.935 (test `heavy_customers_take_nothing_from_others`).
const MAX_CREDIT: f64 = 16.0;

/// Largest debt in quanta. Without a bound, one slot that was held very long would keep its customer out for as long.
const MAX_DEBT: f64 = 8.0;

/// Credit in quanta that a customer needs for a grant. At one half, a customer whose requests take one quantum on
/// average gets one grant per turn, whichever way single charges deviate.
const GRANT_CREDIT: f64 = 0.5;

/// A class that has requested slots for this long without a grant gets the next slot, so that none starves.
pub(crate) const FLOOR_INTERVAL: Millis = 1_000;

/// Number of the requesting box, and of the request there.
pub(crate) type Key = (u32, u64);

/// Whom the work of a request is charged to: the hash of a customer's name, or a number up to [`SHARED_ACCOUNTS`].
pub(crate) type Account = u64;

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) key: Key,
    /// Time by which it must start.
    pub(crate) deadline: Millis,
    /// Time at which its lease would lapse.
    pub(crate) expires_at: Millis,
    /// Ids of the servers that it must not be sent to again.
    pub(crate) tried: Box<[String]>,
    /// Fingerprint of the request; 0 if unknown.
    pub(crate) request: u64,
}

/// A request that was picked for a slot.
#[derive(Debug)]
pub(crate) struct Picked {
    pub(crate) waiting: Waiting,
    pub(crate) account: Account,
    /// Id of the server whose slot it gets.
    pub(crate) server: String,
    /// Service time in milliseconds that was charged to the account.
    pub(crate) charged_ms: f64,
}

/// What to do after a request was visited in the order of grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Visit {
    /// It will be granted before those that follow.
    Counted,
    /// It won't be granted.
    Skipped,
    /// No further request is of interest.
    Last,
}

#[derive(Clone, Debug)]
struct AccountQueue {
    waiting: VecDeque<Waiting>,
    /// Quanta that it may use before its next turn; negative if it has used more than its turns.
    credit: f64,
    /// Value of [`Class::shares`] up to which its credit was updated.
    updated: f64,
    /// True if the quantum of the current turn has been added.
    in_turn: bool,
}

/// The waiting requests of one urgency.
#[derive(Clone, Debug, Default)]
struct Class {
    /// Accounts with waiting requests, and idle ones without full credit.
    accounts: HashMap<Account, AccountQueue>,
    /// Accounts with waiting requests that spend saved credit, in the order of their turns. They go first.
    saved: VecDeque<Account>,
    /// Other accounts with waiting requests, in the order of their turns.
    turns: VecDeque<Account>,
    /// Quanta that each customer with waiting requests could have used so far, if they had shared equally.
    shares: f64,
    waiting: usize,
    last_requested: Option<Millis>,
    /// Time of the last grant, or of the first request if there was none since the class is present.
    unserved_since: Millis,
}

/// The waiting requests of a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    classes: [Class; URGENCY_CLASSES],
    /// Class and account of each waiting request.
    places: BTreeMap<Key, (u8, Account)>,
    deadlines: BTreeSet<(Millis, Key)>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    pub(crate) fn contains(&self, key: &Key) -> bool {
        self.places.contains_key(key)
    }

    /// Returns the class of a waiting request.
    pub(crate) fn class_of(&self, key: &Key) -> Option<usize> {
        self.places.get(key).map(|(class, _)| usize::from(*class))
    }

    /// Returns the number of requests that wait in the classes above this one.
    pub(crate) fn waiting_above(&self, class: usize) -> usize {
        self.classes[..class].iter().map(|class| class.waiting).sum()
    }

    /// Returns the time at which the class's floor is due, provided it goes on requesting slots.
    pub(crate) fn floor_due_at(&self, class: usize) -> Millis {
        self.classes[class].unserved_since + FLOOR_INTERVAL
    }

    pub(crate) fn push(&mut self, waiting: Waiting, class: usize, customer: u64, now: Millis) {
        let place = &mut self.classes[class];
        let account = place.account(customer);
        self.places.insert(waiting.key, (class as u8, account));
        self.deadlines.insert((waiting.deadline, waiting.key));
        place.push(waiting, account, now);
    }

    /// Removes a waiting request.
    pub(crate) fn remove(&mut self, key: &Key) -> Option<Waiting> {
        let (class, account) = self.places.remove(key)?;
        let waiting = self.classes[usize::from(class)].remove(account, key)?;
        self.deadlines.remove(&(waiting.deadline, *key));
        Some(waiting)
    }

    /// Removes and returns the next request of a class that `best_slot` finds a server for, and charges the expected
    /// service time in milliseconds that it returns with the server.
    pub(crate) fn pick(
        &mut self,
        class: usize,
        quantum_ms: f64,
        now: Millis,
        best_slot: impl Fn(&Waiting) -> Option<(String, f64)>,
    ) -> Option<Picked> {
        let picked = self.classes[class].pick(quantum_ms, now, best_slot)?;
        self.places.remove(&picked.waiting.key);
        self.deadlines.remove(&(picked.waiting.deadline, picked.waiting.key));
        Some(picked)
    }

    /// Corrects the charge of a grant by a credit in quanta.
    pub(crate) fn correct(&mut self, class: usize, account: Account, credit: f64) {
        if let Some(queue) = self.classes[class].accounts.get_mut(&account) {
            queue.credit = (queue.credit + credit).clamp(-MAX_DEBT, MAX_CREDIT);
        }
    }

    /// Visits the requests of a class in the order in which they would be granted if each took one quantum.
    pub(crate) fn visit(&self, class: usize, visit: impl FnMut(&Waiting) -> Visit) {
        self.classes[class].visit(visit);
    }

    /// Returns the request to refuse when too many wait: the newest of the customer with the most waiting requests in
    /// the least urgent class.
    pub(crate) fn last(&self) -> Option<Key> {
        let class = self.classes.iter().rev().find(|class| class.waiting > 0)?;
        let queues = class.active().filter_map(|account| class.accounts.get(account));
        queues.max_by_key(|queue| queue.waiting.len())?.waiting.back().map(|waiting| waiting.key)
    }

    /// Returns the request whose deadline passed first, if one has passed.
    pub(crate) fn first_overdue(&self, now: Millis) -> Option<Key> {
        self.deadlines.first().filter(|(deadline, _)| *deadline < now).map(|(_, key)| *key)
    }

    /// Returns the waiting requests of a box.
    pub(crate) fn of_box(&self, number: u32) -> Vec<Key> {
        self.places.range((number, 0)..=(number, u64::MAX)).map(|(key, _)| *key).collect()
    }

    /// Returns the waiting requests that satisfy a condition, in the order of their keys.
    pub(crate) fn matching(&self, condition: impl Fn(&Waiting) -> bool) -> Vec<Key> {
        let queues = self.classes.iter().flat_map(|class| class.accounts.values());
        let mut keys: Vec<Key> =
            queues.flat_map(|queue| &queue.waiting).filter(|w| condition(w)).map(|waiting| waiting.key).collect();
        keys.sort_unstable();
        keys
    }
}

impl Class {
    /// Returns the accounts with waiting requests.
    fn active(&self) -> impl Iterator<Item = &Account> {
        self.saved.iter().chain(&self.turns)
    }

    fn account(&mut self, customer: u64) -> Account {
        if self.accounts.contains_key(&customer) {
            return customer;
        }
        if self.accounts.len() >= MAX_ACCOUNTS {
            let shares = self.shares;
            self.accounts.retain(|_, queue| !queue.waiting.is_empty() || queue.credit_at(shares) < MAX_CREDIT);
        }
        if self.accounts.len() < MAX_ACCOUNTS {
            customer
        } else {
            1 + customer % SHARED_ACCOUNTS
        }
    }

    fn push(&mut self, waiting: Waiting, account: Account, now: Millis) {
        if self.last_requested.is_none_or(|at| now >= at + FLOOR_INTERVAL) && self.waiting == 0 {
            self.unserved_since = now;
        }
        self.last_requested = Some(now);
        self.waiting += 1;
        let shares = self.shares;
        let queue = self.accounts.entry(account).or_insert_with(|| AccountQueue::new(shares));
        if queue.waiting.is_empty() {
            queue.credit = queue.credit_at(shares);
            let turns = if queue.credit >= GRANT_CREDIT { &mut self.saved } else { &mut self.turns };
            turns.push_back(account);
        }
        queue.waiting.push_back(waiting);
    }

    fn remove(&mut self, account: Account, key: &Key) -> Option<Waiting> {
        let queue = self.accounts.get_mut(&account)?;
        let index = queue.waiting.iter().position(|waiting| waiting.key == *key)?;
        let waiting = queue.waiting.remove(index);
        self.waiting -= 1;
        if queue.waiting.is_empty() {
            queue.set_idle(self.shares);
            self.saved.retain(|other| *other != account);
            self.turns.retain(|other| *other != account);
        }
        waiting
    }

    fn pick(
        &mut self,
        quantum_ms: f64,
        now: Millis,
        best_slot: impl Fn(&Waiting) -> Option<(String, f64)>,
    ) -> Option<Picked> {
        let active = self.saved.len() + self.turns.len();
        let picked = self.pick_saved(quantum_ms, &best_slot).or_else(|| self.pick_turn(quantum_ms, &best_slot))?;
        self.shares += picked.charged_ms / quantum_ms / active as f64;
        self.waiting -= 1;
        self.unserved_since = now;
        Some(picked)
    }

    /// Picks a request of a customer with saved credit. One that has spent it takes turns from then on.
    fn pick_saved(
        &mut self,
        quantum_ms: f64,
        best_slot: &impl Fn(&Waiting) -> Option<(String, f64)>,
    ) -> Option<Picked> {
        for at in 0..self.saved.len() {
            let account = *self.saved.get(at)?;
            let queue = self.accounts.get_mut(&account)?;
            let Some(picked) = queue.take(account, quantum_ms, best_slot) else { continue };
            self.saved.remove(at);
            if queue.waiting.is_empty() {
                queue.set_idle(self.shares);
            } else if queue.credit >= GRANT_CREDIT {
                self.saved.push_back(account);
            } else {
                self.turns.push_back(account);
            }
            return Some(picked);
        }
        None
    }

    fn pick_turn(&mut self, quantum_ms: f64, best_slot: &impl Fn(&Waiting) -> Option<(String, f64)>) -> Option<Picked> {
        // Accounts before `turn` have no request that can use a free slot; they keep their turns.
        let mut turn = 0;
        loop {
            let account = *self.turns.get(turn)?;
            let queue = self.accounts.get_mut(&account)?;
            if !queue.waiting.iter().any(|waiting| best_slot(waiting).is_some()) {
                turn += 1;
                continue;
            }
            if !queue.in_turn {
                queue.in_turn = true;
                queue.credit += 1.0;
            }
            let picked = if queue.credit >= GRANT_CREDIT { queue.take(account, quantum_ms, best_slot) } else { None };
            if queue.waiting.is_empty() {
                queue.set_idle(self.shares);
                self.turns.remove(turn);
            } else if queue.credit < GRANT_CREDIT {
                queue.in_turn = false;
                self.turns.remove(turn);
                self.turns.push_back(account);
            }
            if picked.is_some() {
                return picked;
            }
        }
    }

    fn visit(&self, mut visit: impl FnMut(&Waiting) -> Visit) {
        struct Cursor<'a> {
            waiting: std::collections::vec_deque::Iter<'a, Waiting>,
            credit: f64,
        }
        let cursor = |account| {
            let queue = self.accounts.get(account)?;
            let credit = queue.credit - f64::from(u8::from(queue.in_turn));
            Some(Cursor { waiting: queue.waiting.iter(), credit })
        };
        let mut turns: Vec<Cursor<'_>> = self.turns.iter().filter_map(cursor).collect();
        let mut saved: VecDeque<Cursor<'_>> = self.saved.iter().filter_map(cursor).collect();
        while let Some(mut cursor) = saved.pop_front() {
            let Some(waiting) = cursor.waiting.next() else { continue };
            match visit(waiting) {
                Visit::Counted => cursor.credit -= 1.0,
                Visit::Skipped => {}
                Visit::Last => return,
            }
            if cursor.credit >= GRANT_CREDIT {
                saved.push_back(cursor);
            } else {
                turns.push(cursor);
            }
        }
        while !turns.is_empty() {
            for cursor in &mut turns {
                cursor.credit += 1.0;
                while cursor.credit >= GRANT_CREDIT {
                    let Some(waiting) = cursor.waiting.next() else { break };
                    match visit(waiting) {
                        Visit::Counted => cursor.credit -= 1.0,
                        Visit::Skipped => {}
                        Visit::Last => return,
                    }
                }
            }
            turns.retain(|cursor| cursor.waiting.len() > 0);
        }
    }
}

impl AccountQueue {
    /// Returns the queue of a customer that has used nothing recently. State of such customers is not kept.
    fn new(shares: f64) -> Self {
        // Most customers have one waiting request; the default capacity would hold four.
        Self { waiting: VecDeque::with_capacity(1), credit: MAX_CREDIT, updated: shares, in_turn: false }
    }

    /// Returns the credit of an idle account, which saves the share that it doesn't use.
    fn credit_at(&self, shares: f64) -> f64 {
        (self.credit + shares - self.updated).min(MAX_CREDIT)
    }

    fn set_idle(&mut self, shares: f64) {
        self.updated = shares;
        self.in_turn = false;
        self.waiting = VecDeque::new();
    }

    /// Removes and charges the oldest request that a slot is free for.
    fn take(
        &mut self,
        account: Account,
        quantum_ms: f64,
        best_slot: impl Fn(&Waiting) -> Option<(String, f64)>,
    ) -> Option<Picked> {
        let found = self.waiting.iter().enumerate().find_map(|(at, waiting)| Some((at, best_slot(waiting)?)));
        let (index, (server, charged_ms)) = found?;
        let waiting = self.waiting.remove(index)?;
        self.credit -= charged_ms / quantum_ms;
        Some(Picked { waiting, account, server, charged_ms })
    }
}
