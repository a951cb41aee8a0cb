//! The waiting requests of one class: deficit round robin over customers, charged by tokens.

use crate::{SlotRequest, Time};
use catalog::{BoxId, CustomerId};
use std::collections::{BTreeMap, VecDeque};

/// Tokens that one round gives a customer of weight 1.
const QUANTUM: i64 = 64;

/// A customer's debt or credit is never beyond this many tokens.
const CARRY_MOST: i64 = 8_192;

/// An ask that waits at its owner.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// The box that asked.
    pub from: BoxId,
    /// What it asked for.
    pub ask: SlotRequest,
    /// When the call came in at the asking box, as far as its age tells.
    pub arrived: Time,
}

#[derive(Clone, Debug, Default)]
struct Account {
    line: VecDeque<QueuedRequest>,
    /// Tokens the customer may still take in this round; within ±[`CARRY_MOST`].
    deficit: i64,
}

/// The waiting requests of one class.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Customers with something waiting or a debt to work off.
    accounts: BTreeMap<CustomerId, Account>,
    /// Customers with something waiting, in the order of their turn.
    turn: VecDeque<CustomerId>,
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
        let customer = waiting.ask.customer;
        let account = self.accounts.entry(customer).or_default();
        if account.line.is_empty() {
            self.turn.push_back(customer);
        }
        account.line.push_back(waiting);
        self.count += 1;
    }

    /// Takes the next ask. `weight` gives a customer's weight.
    pub fn pop(&mut self, weight: impl Fn(CustomerId) -> u32) -> Option<QueuedRequest> {
        loop {
            let customer = *self.turn.front()?;
            let account = self.accounts.get_mut(&customer)?;
            let cost = i64::from(account.line.front()?.ask.tokens);
            if account.deficit < cost {
                account.deficit += QUANTUM * i64::from(weight(customer).max(1));
                self.turn.rotate_left(1);
                continue;
            }
            account.deficit -= cost;
            let taken = account.line.pop_front();
            self.count -= 1;
            if account.line.is_empty() {
                self.close(customer);
            }
            return taken;
        }
    }

    /// A customer with nothing waiting keeps its debt, but saves no credit.
    fn close(&mut self, customer: CustomerId) {
        self.turn.retain(|c| *c != customer);
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
        account.deficit = (account.deficit - more).clamp(-CARRY_MOST, CARRY_MOST);
        if account.line.is_empty() {
            self.close(customer);
        }
    }

    /// Takes one ask out of the line, wherever it stands.
    pub fn remove(&mut self, from: BoxId, id: u64) -> Option<QueuedRequest> {
        let mut found = None;
        for (customer, account) in &mut self.accounts {
            let at = account.line.iter().position(|w| w.from == from && w.ask.id == id);
            if let Some(at) = at {
                found = account.line.remove(at).map(|w| (*customer, account.line.is_empty(), w));
                break;
            }
        }
        let (customer, empty, waiting) = found?;
        self.count -= 1;
        if empty {
            self.close(customer);
        }
        Some(waiting)
    }

    /// True when the ask waits here.
    #[must_use]
    pub fn contains(&self, from: BoxId, id: u64) -> bool {
        self.iter().any(|w| w.from == from && w.ask.id == id)
    }

    /// All that waits, customer by customer.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.accounts.values().flat_map(|a| a.line.iter())
    }

    /// When the longest-waiting request's call came in.
    #[must_use]
    pub fn oldest(&self) -> Option<Time> {
        // Each line is in order of coming, so its head is its oldest.
        self.accounts.values().filter_map(|a| a.line.front()).map(|w| w.arrived).min()
    }

    /// The longest-waiting request, out of turn.
    pub fn pop_oldest(&mut self) -> Option<QueuedRequest> {
        let oldest = self.accounts.values().filter_map(|a| a.line.front()).min_by_key(|w| w.arrived)?;
        let (from, id) = (oldest.from, oldest.ask.id);
        self.remove(from, id)
    }

    /// Halves every debt, so that an old one doesn't weigh for ever. Called now and then.
    pub fn decay_debts(&mut self) {
        for account in self.accounts.values_mut() {
            account.deficit /= 2;
        }
        self.accounts.retain(|_, a| !a.line.is_empty() || a.deficit != 0);
    }
}
