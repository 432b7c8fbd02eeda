//! Admission of requests against the rate limits of workspaces, on behalf of the
//! gateways that subscribe to this instance.
//!
//! Control instances lease tokens in place of gateways, so that the leases of a
//! limit are few and large: there are many more gateways than control instances,
//! and a small limit can't be divided among all gateways.

use indexmap::{IndexMap, IndexSet};
use pomelovale_coordination::limiter::{Admit, Limiter, LimiterConfig};
use pomelovale_coordination::token_cache::TOKEN_LIFE_MS;
use pomelovale_protocol::grants::{GrantReply, GrantRequest};
use pomelovale_protocol::messages::{Admitted, Response, TokenReply, TokenRequest};
use pomelovale_state::document::Document;
use pomelovale_state::{ErrorKind, Millis, Name};

use super::calls::Sink;

/// Maximum time that a request waits for tokens, in milliseconds: enough for a
/// round trip to a leader in another region, with jitter.
const WAIT_MS: u64 = 280;
/// Interval of lease renewals while there are enough tokens, in milliseconds.
const RENEW_MS: u64 = 300;
/// Interval at which all workspaces of the document are given to the limiter, in
/// milliseconds.
const LEASE_ALL_INTERVAL_MS: u64 = 500;
const TOKENS_PER_REQUEST: u64 = 1;
/// Shortest and longest time after which a refused caller is told to retry, in milliseconds.
/// The longest one is the window of the limits: nothing is known beyond it.
const RETRY_MS: (u64, u64) = (20, 5_000);
/// Time per token of a workspace of whose limit this instance has no share, in milliseconds.
const UNKNOWN_TOKEN_MS: u64 = 1_000;

struct WaitingRequest {
    workspace: Name,
    since: Millis,
    // Tokens to prefetch as well; `None` for a request that admits a single caller.
    ahead: Option<u64>,
    sink: Sink,
}

/// Response of the ledger to a request for tokens.
pub(super) type Granted = Result<GrantReply, ErrorKind>;

/// Admits requests against the tokens that the ledger leased to this instance.
pub(super) struct Quota {
    limiter: Limiter,
    waiting: Vec<WaitingRequest>,
    last_lease_all: Option<Millis>,
    // When the latest refused caller of each workspace was told to retry.
    retries: IndexMap<Name, Millis>,
    pub(super) replies: (flume::Sender<Granted>, flume::Receiver<Granted>),
}

impl Quota {
    pub(super) fn new(name: &Name) -> Quota {
        // A random suffix per start, so that the ledger doesn't attribute the
        // leases of an earlier run to this one.
        let start: u64 = rand::random();
        let config = LimiterConfig {
            wait_ms: WAIT_MS,
            outage_wait_ms: WAIT_MS,
            renew_ms: RENEW_MS,
            refuse_early: true,
            report_empty: true,
            ..LimiterConfig::new(format!("{name}-{start:x}").into())
        };
        Quota {
            limiter: Limiter::new(config),
            waiting: Vec::new(),
            last_lease_all: None,
            retries: IndexMap::new(),
            replies: flume::unbounded(),
        }
    }

    /// Admits or refuses a request, at once or when tokens have arrived.
    pub(super) fn admit(&mut self, now: Millis, workspace: Name, sink: Sink) {
        let limiter = &mut self.limiter;
        match limiter.admit_unless_over(now, &workspace, TOKENS_PER_REQUEST) {
            Admit::Wait => self.waiting.push(WaitingRequest {
                workspace,
                since: now,
                ahead: None,
                sink,
            }),
            verdict => answer(&sink, verdict),
        }
    }

    /// Grants tokens to a gateway: the token of a waiting caller at once or when tokens have
    /// arrived, the others if there are enough.
    pub(super) fn grant(&mut self, now: Millis, request: TokenRequest, sink: Sink) {
        let TokenRequest {
            workspace,
            count,
            waiting,
        } = request;
        let ahead = u64::from(count).saturating_sub(u64::from(waiting));
        let verdict = match waiting {
            true => self
                .limiter
                .admit_unless_over(now, &workspace, TOKENS_PER_REQUEST),
            false => Admit::Granted,
        };
        if verdict == Admit::Wait {
            sink.deliver(&Response::Tokens(TokenReply::Waiting));
            return self.waiting.push(WaitingRequest {
                workspace,
                since: now,
                ahead: Some(ahead),
                sink,
            });
        }
        let reply = self.token_reply(now, &workspace, u32::from(waiting), ahead, verdict);
        sink.deliver(&Response::Tokens(reply));
    }

    // The answer to a gateway of whose callers `admitted` were admitted, and for which `ahead`
    // tokens are to be prefetched.
    fn token_reply(
        &mut self,
        now: Millis,
        workspace: &Name,
        admitted: u32,
        ahead: u64,
        verdict: Admit,
    ) -> TokenReply {
        match verdict {
            Admit::Granted | Admit::Wait => {
                let limiter = &mut self.limiter;
                let ahead = limiter.spend_ahead(now, workspace, ahead, TOKEN_LIFE_MS);
                let prefetched = ahead.count as u32;
                metrics::counter!("quota_prefetched_total").increment(ahead.count);
                TokenReply::Granted {
                    count: admitted + prefetched,
                    life_ms: ahead.life_ms,
                }
            }
            Admit::Refused { retry_after_ms } => TokenReply::Refused {
                retry_ms: self.retry_ms(now, workspace, retry_after_ms),
                is_over: self.limiter.is_over_limit(workspace),
            },
        }
    }

    // Each refused caller is told the time of the next token that none before it was told.
    fn retry_ms(&mut self, now: Millis, workspace: &Name, next_ms: u64) -> u64 {
        let token_ms = self.limiter.token_ms(workspace);
        let last = self.retries.get(workspace).copied().unwrap_or_default();
        let next = last.plus(token_ms.unwrap_or(UNKNOWN_TOKEN_MS));
        let retry = next.max(now.plus(next_ms));
        let retry_ms = retry.since(now).clamp(RETRY_MS.0, RETRY_MS.1);
        self.retries.insert(workspace.clone(), now.plus(retry_ms));
        retry_ms
    }

    /// Returns the next request to the ledger if one is due.
    pub(super) fn request(&mut self, now: Millis) -> Option<GrantRequest> {
        self.limiter.next_request(now)
    }

    /// Applies a response of the ledger and decides the waiting requests again.
    pub(super) fn receive(&mut self, now: Millis, granted: Granted) {
        if let Ok(reply) = granted {
            self.limiter.receive(now, reply);
        }
        self.retry_waiting(now);
    }

    /// Decides the waiting requests again, and keeps leases for all workspaces of
    /// the document.
    pub(super) fn tick(&mut self, now: Millis, document: &Document) {
        self.retry_waiting(now);
        if self
            .last_lease_all
            .is_none_or(|at| now.since(at) >= LEASE_ALL_INTERVAL_MS)
        {
            self.last_lease_all = Some(now);
            self.retries.retain(|_, retry| now < *retry);
            let names: IndexSet<&Name> = document.workspaces.keys().collect();
            names
                .iter()
                .for_each(|name| self.limiter.prefetch(now, name));
        }
    }

    fn retry_waiting(&mut self, now: Millis) {
        for w in std::mem::take(&mut self.waiting) {
            let limiter = &mut self.limiter;
            let verdict = limiter.retry(now, &w.workspace, TOKENS_PER_REQUEST, w.since);
            match (verdict, w.ahead) {
                (Admit::Wait, _) => self.waiting.push(w),
                (verdict, None) => answer(&w.sink, verdict),
                (verdict, Some(ahead)) => {
                    let reply = self.token_reply(now, &w.workspace, 1, ahead, verdict);
                    w.sink.deliver(&Response::Tokens(reply));
                }
            }
        }
    }
}

fn answer(sink: &Sink, verdict: Admit) {
    let admitted = match verdict {
        Admit::Granted => Admitted::Granted,
        Admit::Refused { retry_after_ms } => Admitted::Refused {
            retry_ms: retry_after_ms,
        },
        Admit::Wait => return,
    };
    sink.deliver(&Response::Admitted(admitted));
}
