//! Classification of failed attempts, and the limits on retries.
//!
//! A request that may have run is retried only if it is repeatable. A retry budget limits the
//! load that retries add when many attempts fail at once. See `docs/design/retry.md`.

use strum::{Display, IntoStaticStr};

use crate::Verdict;

/// Deposit for each admitted request, in thousandths of a retry.
const BUDGET_PER_REQUEST_PERMILLE: u64 = 100;

/// Maximum balance of a budget, in thousandths of a retry.
const BUDGET_MAX_PERMILLE: u64 = 50_000;

/// Cost of one retry, in the same unit.
const RETRY_COST_PERMILLE: u64 = 1000;

/// Kind of failure of an attempt.
#[derive(Clone, Copy, Debug, Display, IntoStaticStr, Eq, PartialEq, Ord, PartialOrd, Hash)]
#[strum(serialize_all = "snake_case")]
pub enum FailureKind {
    /// No connection could be opened.
    ConnectFailed,
    /// The backend server stopped taking requests before this one was sent to it.
    NotSent,
    /// The backend server refused to take the request.
    Rejected,
    /// The backend server answered with a server error after taking the request.
    ServerError,
    /// The connection was lost before the answer was complete.
    ConnectionLost,
    /// No data arrived within the progress timeout.
    Silent,
    /// The answer ended without its end marker or violated the protocol.
    Malformed,
}

impl FailureKind {
    /// Returns whether the attempt may have run.
    #[must_use]
    pub const fn verdict(self) -> Verdict {
        match self {
            Self::ConnectFailed | Self::NotSent | Self::Rejected => Verdict::NotRun,
            Self::ServerError | Self::ConnectionLost | Self::Silent | Self::Malformed => {
                Verdict::MayHaveRun
            }
        }
    }

    /// Returns whether the backend server may still be working on the attempt.
    #[must_use]
    pub const fn may_still_run(self) -> bool {
        match self {
            Self::ConnectionLost | Self::Silent | Self::Malformed => true,
            Self::ConnectFailed | Self::NotSent | Self::Rejected | Self::ServerError => false,
        }
    }

    /// Returns whether a retry adds load to the backend servers.
    #[must_use]
    pub const fn retry_adds_load(self) -> bool {
        !matches!(self, Self::ConnectFailed | Self::NotSent | Self::Rejected)
    }

    /// Returns whether the failure suggests that the backend server is down.
    #[must_use]
    pub const fn suggests_server_down(self) -> bool {
        match self {
            Self::ConnectFailed | Self::ConnectionLost | Self::Silent | Self::Malformed => true,
            Self::NotSent | Self::Rejected | Self::ServerError => false,
        }
    }
}

/// Retry budget of one pool, which limits retries to a fraction of the admitted requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    balance_permille: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            balance_permille: BUDGET_MAX_PERMILLE,
        }
    }

    /// Adds the deposit for an admitted request.
    pub fn deposit(&mut self) {
        let balance = self.balance_permille + BUDGET_PER_REQUEST_PERMILLE;
        self.balance_permille = balance.min(BUDGET_MAX_PERMILLE);
    }

    /// Withdraws the cost of a retry and returns whether the balance covered it.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance_permille < RETRY_COST_PERMILLE {
            return false;
        }
        self.balance_permille -= RETRY_COST_PERMILLE;
        true
    }
}

/// Returns whether the verdict allows another attempt.
#[must_use]
pub const fn may_retry(verdict: Verdict, repeatable: bool) -> bool {
    match verdict {
        Verdict::NotRun => true,
        Verdict::MayHaveRun => repeatable,
    }
}
