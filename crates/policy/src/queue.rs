//! The waiting requests of one class: deficit round robin over customers, charged by tokens.

use crate::{SlotRequest, Time};
use catalog::{BoxId, CustomerId};
use std::collections::{BTreeMap, VecDeque};

/// Tokens that one round gives a customer of weight 1.
const QUANTUM_TOKENS: i64 = 64;

/// A customer's debt or credit is never beyond this many tokens.
const MAX_DEFICIT_TOKENS: i64 = 8_192;

/// An ask that waits at its owner.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// The box that asked.
    pub from: BoxId,
    /// What it asked for.
    pub request: SlotRequest,
    /// When the call came in at the asking box, as far as its age tells.
    pub arrived: Time,
}

#[derive(Clone, Debug, Default)]
struct Account {
    queue: VecDeque<QueuedRequest>,
    /// Tokens the customer may still take in this round; within ±[`MAX_DEFICIT_TOKENS`].
    deficit: i64,
}

/// The waiting requests of one class.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Customers with something waiting or a debt to work off.
    accounts: BTreeMap<CustomerId, Account>,
    /// Customers with something waiting, in the order of their turn.
    round: VecDeque<CustomerId>,
    /// How many asks wait: the sum of all lines.
    count: usize,
}

impl Queue {
    /// How many asks wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// True when nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Puts an ask at the end of its customer's line.
    pub fn push(&mut self, waiting: QueuedRequest) {
        let customer = waiting.request.customer;
        let account = self.accounts.entry(customer).or_default();
        if account.queue.is_empty() {
            self.round.push_back(customer);
        }
        account.queue.push_back(waiting);
        self.count += 1;
    }

    /// Takes the next ask. `weight` gives a customer's weight.
    pub fn pop(&mut self, weight: impl Fn(CustomerId) -> u32) -> Option<QueuedRequest> {
        loop {
            let customer = *self.round.front()?;
            let account = self.accounts.get_mut(&customer)?;
            let cost = i64::from(account.queue.front()?.request.tokens);
            if account.deficit < cost {
                account.deficit += QUANTUM_TOKENS * i64::from(weight(customer).max(1));
                self.round.rotate_left(1);
                continue;
            }
            account.deficit -= cost;
            let taken = account.queue.pop_front();
            self.count -= 1;
            if account.queue.is_empty() {
                self.deactivate(customer);
            }
            return taken;
        }
    }

    /// A customer with nothing waiting keeps its debt, but saves no credit.
    fn deactivate(&mut self, customer: CustomerId) {
        self.round.retain(|c| *c != customer);
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.deficit = account.deficit.min(0);
            if account.deficit == 0 {
                self.accounts.remove(&customer);
            }
        }
    }

    /// Corrects a customer's charge once the answer's true length is known.
    pub fn adjust_charge(&mut self, customer: CustomerId, expected: u32, actual: u32) {
        let more = i64::from(actual) - i64::from(expected);
        let account = self.accounts.entry(customer).or_default();
        account.deficit = (account.deficit - more).clamp(-MAX_DEFICIT_TOKENS, MAX_DEFICIT_TOKENS);
        if account.queue.is_empty() {
            self.deactivate(customer);
        }
    }

    /// Takes one ask out of the line, wherever it stands.
    pub fn remove(&mut self, from: BoxId, id: u64) -> Option<QueuedRequest> {
        let mut found = None;
        for (customer, account) in &mut self.accounts {
            let at = account.queue.iter().position(|w| w.from == from && w.request.id == id);
            if let Some(at) = at {
                found = account.queue.remove(at).map(|w| (*customer, account.queue.is_empty(), w));
                break;
            }
        }
        let (customer, empty, waiting) = found?;
        self.count -= 1;
        if empty {
            self.deactivate(customer);
        }
        Some(waiting)
    }

    /// True when the ask waits here.
    #[must_use]
    pub fn contains(&self, from: BoxId, id: u64) -> bool {
        self.iter().any(|w| w.from == from && w.request.id == id)
    }

    /// All that waits, customer by customer.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.accounts.values().flat_map(|a| a.queue.iter())
    }

    /// When the longest-waiting request's call came in.
    #[must_use]
    pub fn oldest(&self) -> Option<Time> {
        // Each line is in order of coming, so its head is its oldest.
        self.accounts.values().filter_map(|a| a.queue.front()).map(|w| w.arrived).min()
    }

    /// The longest-waiting request, out of turn.
    pub fn pop_oldest(&mut self) -> Option<QueuedRequest> {
        let oldest = self.accounts.values().filter_map(|a| a.queue.front()).min_by_key(|w| w.arrived)?;
        let (from, id) = (oldest.from, oldest.request.id);
        self.remove(from, id)
    }

    /// Halves every debt, so that an old one doesn't weigh for ever. Called now and then.
    pub fn decay_debts(&mut self) {
        for account in self.accounts.values_mut() {
            account.deficit /= 2;
        }
        self.accounts.retain(|_, a| !a.queue.is_empty() || a.deficit != 0);
    }
}
