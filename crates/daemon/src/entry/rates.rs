//! Rate limiting on an entry instance, with tokens granted by the leader's ledger.

use std::sync::{Mutex, MutexGuard, PoisonError};

use pomelovale_coordination::control::ControlHandle;
use pomelovale_coordination::limiter::{Admit, Limiter, LimiterConfig};
use pomelovale_state::{Clock, ErrorKind, Millis, Name};
use tokio::sync::Notify;
use tokio::time::timeout;

use super::refusal::Refusal;

// Interval at which waiting requests and due renewals are checked.
const TICK_MS: u64 = 5;
// Later replies have no effect, since the limiter no longer waits for them.
const REPLY_TIMEOUT_MS: u64 = 300;
const TOKENS_PER_REQUEST: u64 = 1;

/// Admits requests by the tokens that this instance holds.
#[derive(Debug)]
pub struct RateLimiter {
    limiter: Mutex<Limiter>,
    clock: Clock,
    // Notified when a request needs tokens.
    wanted: Notify,
    // Notified when tokens were received.
    tokens_arrived: Notify,
}

impl RateLimiter {
    /// Creates a limiter. `instance` must be unique for each start of the process.
    pub fn new(instance: Name, clock: Clock) -> RateLimiter {
        RateLimiter {
            limiter: Mutex::new(Limiter::new(LimiterConfig::new(instance))),
            clock,
            wanted: Notify::new(),
            tokens_arrived: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Limiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a request if its workspace is within its rate limit; waits for
    /// tokens that have been requested.
    pub async fn admit(&self, workspace: &Name) -> Result<(), Refusal> {
        let since = self.clock.now();
        let mut verdict = self.lock().admit(since, workspace, TOKENS_PER_REQUEST);
        loop {
            match verdict {
                Admit::Granted => return Ok(()),
                Admit::Refused { retry_after_ms } => {
                    return Err(self.refusal(retry_after_ms));
                }
                Admit::Wait => {}
            }
            self.wanted.notify_one();
            let limit = Millis(TICK_MS).duration();
            let _ = timeout(limit, self.tokens_arrived.notified()).await;
            let now = self.clock.now();
            verdict = self.lock().retry(now, workspace, TOKENS_PER_REQUEST, since);
        }
    }

    // Unless the ledger replies, it is unknown whether the limit is exceeded.
    fn refusal(&self, retry_ms: u64) -> Refusal {
        let kind = match self.lock().is_ledger_unresponsive(self.clock.now()) {
            true => ErrorKind::Unavailable,
            false => ErrorKind::LimitExceeded,
        };
        Refusal { kind, retry_ms }
    }

    /// Requests tokens from the ledger until the task is aborted.
    pub async fn run(&self, control: ControlHandle) {
        loop {
            let limit = Millis(TICK_MS).duration();
            let _ = timeout(limit, self.wanted.notified()).await;
            let request = self.lock().next_request(self.clock.now());
            let Some(request) = request else {
                continue;
            };
            let limit = Millis(REPLY_TIMEOUT_MS).duration();
            if let Ok(Ok(reply)) = timeout(limit, control.grant(request)).await {
                self.lock().receive(self.clock.now(), reply);
                self.tokens_arrived.notify_waiters();
            }
        }
    }
}
