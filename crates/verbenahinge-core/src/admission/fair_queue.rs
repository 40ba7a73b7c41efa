//! Weighted fair queueing among the client accounts of one tier.

use std::collections::{BTreeMap, BTreeSet};

use crate::{AccountName, RequestId};

/// Virtual time units per unit of cost, so that dividing a small cost by a weight keeps precision.
const COST_SCALE: u64 = 1 << 16;

/// Sort key of a request within the queue of its account; the smallest goes first.
pub type Ticket = i64;

#[derive(Clone, Debug, Default)]
struct AccountQueue {
    virtual_finish: u64,
    weight: u64,
    waiting: BTreeMap<Ticket, RequestId>,
}

/// Weighted fair queue of the requests of one tier.
///
/// Each account has a virtual finish time that grows by cost divided by weight with every charge;
/// the account with the smallest one goes first. When an account becomes active, its finish time
/// is raised to the queue's virtual time, so that idle time earns no credit.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    accounts: BTreeMap<AccountName, AccountQueue>,
    by_finish: BTreeSet<(u64, AccountName)>,
    virtual_time: u64,
    length: usize,
    active_weight: u64,
    next_ticket: Ticket,
}

impl FairQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Returns `true` if no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a request after the others of its account.
    pub fn push_back(&mut self, account: &AccountName, weight: u32, request: RequestId) -> Ticket {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.insert(account, weight, ticket, request);
        ticket
    }

    /// Adds a retried request before the others of its account.
    pub fn push_front(&mut self, account: &AccountName, weight: u32, request: RequestId) -> Ticket {
        self.next_ticket += 1;
        let ticket = -self.next_ticket;
        self.insert(account, weight, ticket, request);
        ticket
    }

    fn insert(&mut self, account: &AccountName, weight: u32, ticket: Ticket, request: RequestId) {
        let virtual_time = self.virtual_time;
        let queue = self.accounts.entry(account.clone()).or_default();
        queue.weight = u64::from(weight.max(1));
        if queue.waiting.is_empty() {
            queue.virtual_finish = queue.virtual_finish.max(virtual_time);
            self.active_weight += queue.weight;
            self.by_finish
                .insert((queue.virtual_finish, account.clone()));
        }
        queue.waiting.insert(ticket, request);
        self.length += 1;
    }

    /// Returns the next request without removing it.
    #[must_use]
    pub fn peek(&self) -> Option<RequestId> {
        let (_, account) = self.by_finish.first()?;
        self.accounts.get(account)?.waiting.values().next().copied()
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<RequestId> {
        let (virtual_finish, account) = self.by_finish.first()?.clone();
        self.virtual_time = self.virtual_time.max(virtual_finish);
        let ticket = *self.accounts.get(&account)?.waiting.keys().next()?;
        self.remove(&account, ticket)
    }

    /// Removes a specific request, for example because its caller disconnected.
    pub fn remove(&mut self, account: &AccountName, ticket: Ticket) -> Option<RequestId> {
        let queue = self.accounts.get_mut(account)?;
        let request = queue.waiting.remove(&ticket)?;
        self.length -= 1;
        if queue.waiting.is_empty() {
            self.active_weight -= queue.weight;
            self.by_finish
                .remove(&(queue.virtual_finish, account.clone()));
        }
        Some(request)
    }

    /// Advances an account's virtual finish time by the cost of a request.
    pub fn charge(&mut self, account: &AccountName, weight: u32, cost: u64) {
        let virtual_time = self.virtual_time;
        let queue = self.accounts.entry(account.clone()).or_default();
        let before = queue.virtual_finish;
        let start = before.max(virtual_time);
        queue.virtual_finish = start + cost * COST_SCALE / u64::from(weight.max(1));
        if queue.waiting.is_empty() {
            return;
        }
        self.by_finish.remove(&(before, account.clone()));
        self.by_finish
            .insert((queue.virtual_finish, account.clone()));
    }

    /// Estimates how many waiting requests would be dispatched before a new one of this account.
    #[must_use]
    pub fn position(&self, account: &AccountName, weight: u32) -> usize {
        let weight = u64::from(weight.max(1));
        let own = self
            .accounts
            .get(account)
            .map_or(0, |queue| queue.waiting.len());
        let added_weight = if own == 0 { weight } else { 0 };
        let rounds = own as u64 + 1;
        let ahead = rounds * (self.active_weight + added_weight) / weight;
        usize::try_from(ahead)
            .unwrap_or(usize::MAX)
            .saturating_sub(1)
            .min(self.length)
    }

    /// Removes accounts without waiting requests whose finish time is not ahead of virtual time,
    /// and all accounts if the queue is empty.
    pub fn prune(&mut self) {
        let virtual_time = self.virtual_time;
        self.accounts
            .retain(|_, queue| !queue.waiting.is_empty() || queue.virtual_finish > virtual_time);
        if self.length == 0 {
            self.accounts.clear();
        }
    }
}
