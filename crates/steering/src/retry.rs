//! Retry budget of one service.

/// Share of requests that may be sent again, in per mille.
pub const RETRY_PER_MILLE: u64 = 100;

/// Most retries saved up. Covers the requests in flight at one backend server
/// when it dies, but not a retry storm.
pub const RETRY_BURST: u64 = 10;

const REQUEST: u64 = 1_000;

/// Whether retries are limited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// A share of the requests.
    Budget,
    /// Never; no request is sent again.
    Never,
    /// Without a limit; kept for comparison.
    Unlimited,
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
            credit: RETRY_BURST * REQUEST,
        }
    }

    /// Adds the share of one first attempt.
    pub fn record_request(&mut self) {
        self.credit = (self.credit + RETRY_PER_MILLE).min(RETRY_BURST * REQUEST);
    }

    /// Takes one retry from the budget, if there is one.
    pub fn try_spend(&mut self) -> bool {
        match self.policy {
            RetryPolicy::Never => false,
            RetryPolicy::Unlimited => true,
            RetryPolicy::Budget if self.credit < REQUEST => false,
            RetryPolicy::Budget => {
                self.credit -= REQUEST;
                true
            }
        }
    }

    /// Whole retries left.
    pub fn left(&self) -> u64 {
        self.credit / REQUEST
    }
}
