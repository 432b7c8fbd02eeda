//! Admission of requests against the limits of workspaces, for the gateways
//! that subscribe to this instance.
//!
//! Leases of a limit are few and large this way: there are many more gateways
//! than control instances, and a small limit can't be divided among them.

use indexmap::IndexSet;
use pomelovale_coordination::limiter::{Admit, Limiter, LimiterConfig};
use pomelovale_protocol::grants::{GrantReply, GrantRequest};
use pomelovale_protocol::messages::{Admitted, Response};
use pomelovale_state::document::Document;
use pomelovale_state::{ErrorKind, Millis, Name};

use super::calls::Sink;

/// Longest time that a request waits for tokens, in milliseconds: a round trip
/// to a leader in another region and its jitter.
const WAIT_MS: u64 = 140;
/// Time between requests to the ledger while tokens suffice, in milliseconds.
const RENEW_MS: u64 = 300;
/// Time between two looks at the list of workspaces, in milliseconds.
const PRIME_MS: u64 = 500;
const COST: u64 = 1;

struct Waiting {
    workspace: Name,
    since: Millis,
    sink: Sink,
}

/// Answer of the ledger to this instance.
pub(super) type Granted = Result<GrantReply, ErrorKind>;

/// Admits requests against what the ledger leased to this instance.
pub(super) struct Quota {
    limiter: Limiter,
    waiting: Vec<Waiting>,
    primed: Option<Millis>,
    pub(super) replies: (flume::Sender<Granted>, flume::Receiver<Granted>),
}

impl Quota {
    pub(super) fn new(name: &Name) -> Quota {
        // The ledger must not take this start for an earlier one.
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
            primed: None,
            replies: flume::unbounded(),
        }
    }

    /// Decides about a request, now or once tokens have come.
    pub(super) fn admit(&mut self, now: Millis, workspace: Name, sink: Sink) {
        match self.limiter.admit(now, &workspace, COST) {
            Admit::Wait => self.waiting.push(Waiting {
                workspace,
                since: now,
                sink,
            }),
            verdict => answer(&sink, verdict),
        }
    }

    /// The next request for the ledger, if one is due.
    pub(super) fn request(&mut self, now: Millis) -> Option<GrantRequest> {
        self.limiter.next_request(now)
    }

    /// Takes an answer of the ledger.
    pub(super) fn receive(&mut self, now: Millis, granted: Granted) {
        if let Ok(reply) = granted {
            self.limiter.receive(now, reply);
        }
        self.retry(now);
    }

    /// Decides again about the requests that wait, and keeps shares of all
    /// workspaces ready.
    pub(super) fn tick(&mut self, now: Millis, document: &Document) {
        self.retry(now);
        if self.primed.is_none_or(|at| now.since(at) >= PRIME_MS) {
            self.primed = Some(now);
            let names: IndexSet<&Name> = document.workspaces.keys().collect();
            names
                .iter()
                .for_each(|name| self.limiter.prefetch(now, name));
        }
    }

    fn retry(&mut self, now: Millis) {
        let limiter = &mut self.limiter;
        self.waiting
            .retain(|w| match limiter.retry(now, &w.workspace, COST, w.since) {
                Admit::Wait => true,
                verdict => {
                    answer(&w.sink, verdict);
                    false
                }
            });
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
