//! Retry budget of one service.

/// Share of requests that may be sent again, in per mille.
pub const RETRY_PER_MILLE: u64 = 100;

/// Most retries saved up. Covers the requests in flight at one backend server
/// when it dies, but not a retry storm.
pub const RETRY_BURST: u64 = 10;

const CREDIT_PER_RETRY: u64 = 1_000;

/// Whether retries are limited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// A share of the requests.
    Budget,
    /// This instance's part of a budget that all instances share.
    Fleet {
        /// Retries for each request, in per mille.
        per_mille: u64,
        /// Most retries saved up.
        burst: u64,
    },
    /// Never; no request is sent again.
    Never,
    /// Without a limit; kept for comparison.
    Unlimited,
}

impl RetryPolicy {
    // Retries for each request in per mille, and the most saved up.
    fn limits(self) -> (u64, u64) {
        match self {
            RetryPolicy::Fleet { per_mille, burst } => (per_mille, burst),
            RetryPolicy::Budget | RetryPolicy::Never | RetryPolicy::Unlimited => {
                (RETRY_PER_MILLE, RETRY_BURST)
            }
        }
    }
}

/// Retries and hedges allowed by the requests seen so far.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    policy: RetryPolicy,
    credit: u64,
}

impl RetryBudget {
    /// A budget that starts full.
    pub fn new(policy: RetryPolicy) -> RetryBudget {
        RetryBudget {
            policy,
            credit: policy.limits().1 * CREDIT_PER_RETRY,
        }
    }

    /// Changes the policy; what is saved up is kept as far as it allows.
    pub fn set_policy(&mut self, policy: RetryPolicy) {
        self.policy = policy;
        self.credit = self.credit.min(policy.limits().1 * CREDIT_PER_RETRY);
    }

    /// Adds the share of one first attempt.
    pub fn record_request(&mut self) {
        let (per_mille, burst) = self.policy.limits();
        self.credit = (self.credit + per_mille).min(burst * CREDIT_PER_RETRY);
    }

    /// Takes one retry from the budget, if there is one.
    pub fn try_spend(&mut self) -> bool {
        match self.policy {
            RetryPolicy::Never => false,
            RetryPolicy::Unlimited => true,
            RetryPolicy::Budget | RetryPolicy::Fleet { .. } if self.credit < CREDIT_PER_RETRY => {
                false
            }
            RetryPolicy::Budget | RetryPolicy::Fleet { .. } => {
                self.credit -= CREDIT_PER_RETRY;
                true
            }
        }
    }

    /// Whole retries left.
    pub fn left(&self) -> u64 {
        self.credit / CREDIT_PER_RETRY
    }
}
