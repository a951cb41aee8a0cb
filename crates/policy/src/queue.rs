//! The waiting requests of one class: deficit round robin over customers, charged by tokens.

use crate::{SlotRequest, Time};
use catalog::{BoxId, CustomerId};
use std::collections::{BTreeMap, VecDeque};

/// Tokens per round for a customer of weight 1.
const QUANTUM_TOKENS: i64 = 64;

/// Bound of a customer's debt and credit.
const MAX_DEFICIT_TOKENS: i64 = 8_192;

/// A request that waits at its owner.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// The requesting box.
    pub from: BoxId,
    /// The request.
    pub request: SlotRequest,
    /// Arrival of the call at the requesting box, as computed from the request's age.
    pub arrived: Time,
}

#[derive(Clone, Debug, Default)]
struct Account {
    queue: VecDeque<QueuedRequest>,
    /// Tokens that the customer may still use in this round; within ±[`MAX_DEFICIT_TOKENS`].
    deficit: i64,
}

/// The waiting requests of one class.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Customers with waiting requests or a debt.
    accounts: BTreeMap<CustomerId, Account>,
    /// Customers with waiting requests, in round-robin order.
    round: VecDeque<CustomerId>,
    /// Number of waiting requests of all customers.
    count: usize,
}

impl Queue {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns true if no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Appends a request to its customer's queue.
    pub fn push(&mut self, waiting: QueuedRequest) {
        let customer = waiting.request.customer;
        let account = self.accounts.entry(customer).or_default();
        if account.queue.is_empty() {
            self.round.push_back(customer);
        }
        account.queue.push_back(waiting);
        self.count += 1;
    }

    /// Takes the next request. `weight` returns a customer's weight.
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
            let request = account.queue.pop_front();
            self.count -= 1;
            if account.queue.is_empty() {
                self.deactivate(customer);
            }
            return request;
        }
    }

    /// Takes a customer without waiting requests out of the round. It keeps its debt, but saves no credit.
    fn deactivate(&mut self, customer: CustomerId) {
        self.round.retain(|c| *c != customer);
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.deficit = account.deficit.min(0);
            if account.deficit == 0 {
                self.accounts.remove(&customer);
            }
        }
    }

    /// Corrects a customer's charge once the actual length of the answer is known.
    pub fn adjust_charge(&mut self, customer: CustomerId, expected: u32, actual: u32) {
        let extra = i64::from(actual) - i64::from(expected);
        let account = self.accounts.entry(customer).or_default();
        account.deficit = (account.deficit - extra).clamp(-MAX_DEFICIT_TOKENS, MAX_DEFICIT_TOKENS);
        if account.queue.is_empty() {
            self.deactivate(customer);
        }
    }

    /// Removes a request from any position.
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

    /// Returns true if the request waits here.
    #[must_use]
    pub fn contains(&self, from: BoxId, id: u64) -> bool {
        self.iter().any(|w| w.from == from && w.request.id == id)
    }

    /// Iterates over all waiting requests, customer by customer.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.accounts.values().flat_map(|a| a.queue.iter())
    }

    /// Returns the arrival of the call that has waited longest.
    #[must_use]
    pub fn oldest(&self) -> Option<Time> {
        // Each customer's queue is in order of arrival, so its head is its oldest.
        self.accounts.values().filter_map(|a| a.queue.front()).map(|w| w.arrived).min()
    }

    /// Takes the request that has waited longest, out of turn.
    pub fn pop_oldest(&mut self) -> Option<QueuedRequest> {
        let oldest = self.accounts.values().filter_map(|a| a.queue.front()).min_by_key(|w| w.arrived)?;
        let (from, id) = (oldest.from, oldest.request.id);
        self.remove(from, id)
    }

    /// Halves every debt, so that an old one does not count forever. Called periodically.
    pub fn decay_debts(&mut self) {
        for account in self.accounts.values_mut() {
            account.deficit /= 2;
        }
        self.accounts.retain(|_, a| !a.queue.is_empty() || a.deficit != 0);
    }
}
