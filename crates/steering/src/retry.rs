//! Retry budget of one service, a token bucket that requests refill.

/// Retries allowed for each request, in per mille.
pub const RETRY_PER_MILLE: u64 = 100;

/// Maximum burst of retries. It covers the requests that are in flight at one
/// backend server when that server fails, but prevents a retry storm.
pub const RETRY_BURST: u64 = 10;

/// Credit that one retry costs; a request adds its per mille.
const CREDIT_PER_RETRY: u64 = 1_000;

/// Whether retries are limited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// By [`RETRY_PER_MILLE`] and [`RETRY_BURST`].
    Budget,
    /// This instance's share of a budget of all instances.
    Shared {
        /// Retries for each request, in per mille.
        per_mille: u64,
        /// Maximum burst of retries.
        burst: u64,
    },
    /// No retries.
    Never,
    /// Unlimited retries; a baseline for benchmarks.
    Unlimited,
}

impl RetryPolicy {
    /// Retries for each request in per mille, and the maximum burst.
    fn limits(self) -> (u64, u64) {
        match self {
            RetryPolicy::Shared { per_mille, burst } => (per_mille, burst),
            RetryPolicy::Budget | RetryPolicy::Never | RetryPolicy::Unlimited => {
                (RETRY_PER_MILLE, RETRY_BURST)
            }
        }
    }
}

/// Budget of retries and hedges, refilled by requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    policy: RetryPolicy,
    credit: u64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(policy: RetryPolicy) -> RetryBudget {
        RetryBudget {
            policy,
            credit: policy.limits().1 * CREDIT_PER_RETRY,
        }
    }

    /// Changes the policy. The credit is kept up to the new burst.
    pub fn set_policy(&mut self, policy: RetryPolicy) {
        self.policy = policy;
        self.credit = self.credit.min(policy.limits().1 * CREDIT_PER_RETRY);
    }

    /// Adds the credit of one request. Must be called once per request, at its first
    /// attempt; retries and hedges add no credit.
    pub fn record_request(&mut self) {
        let (per_mille, burst) = self.policy.limits();
        self.credit = (self.credit + per_mille).min(burst * CREDIT_PER_RETRY);
    }

    /// Takes one retry from the budget. Returns false if the budget is exhausted.
    pub fn try_spend(&mut self) -> bool {
        match self.policy {
            RetryPolicy::Never => false,
            RetryPolicy::Unlimited => true,
            RetryPolicy::Budget | RetryPolicy::Shared { .. } if self.credit < CREDIT_PER_RETRY => {
                false
            }
            RetryPolicy::Budget | RetryPolicy::Shared { .. } => {
                self.credit -= CREDIT_PER_RETRY;
                true
            }
        }
    }

    /// Number of retries left.
    pub fn left(&self) -> u64 {
        self.credit / CREDIT_PER_RETRY
    }
}
