//! Checks requests against the rate limit of their workspace.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use pomelovale_coordination::control::ControlHandle;
use pomelovale_coordination::token_cache::{Taken, TokenCache, TOKEN_LIFE_MS};
use pomelovale_coordination::view::View;
use pomelovale_protocol::messages::{Admitted, TokenReply, TokenRequest};
use pomelovale_state::document::Document;
use pomelovale_state::{Clock, ErrorKind, Millis, Name};
use pomelovale_transport::stall::timeout;

use super::config::GatewayConfig;
use crate::entry::refusal::Refusal;

/// Timeout for the control instance, in milliseconds. It includes the time for
/// which the control instance itself waits for tokens.
const WAIT_MS: u64 = 330;
/// Longest time for which a request waits for a control instance that answers others.
const WAIT_MAX_MS: u64 = 2 * WAIT_MS;
/// Time for which this instance applies the limit locally after the control
/// instance failed to respond, in milliseconds.
const FALLBACK_MS: u64 = 300;
/// Burst of a workspace, in requests, while this instance applies the limit
/// locally.
const FALLBACK_BURST: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    at: Millis,
}

/// What the control instance said last of a workspace.
#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    /// Whether it is over its limit.
    is_over: bool,
    /// Until when this instance applies the limit of this workspace locally.
    local_until: Millis,
}

#[derive(Debug, Default)]
struct State {
    // When a request was unanswered last; with prefetching, see `standings`.
    since: Option<Millis>,
    buckets: IndexMap<Name, Bucket>,
    // When the control instance answered last.
    heard: Millis,
    // Of workspaces that are over their limit or whose limit is applied locally.
    standings: IndexMap<Name, Standing>,
    tokens: TokenCache,
}

/// Receiver of the replies to a request for tokens.
type Replies = flume::Receiver<Result<TokenReply, ErrorKind>>;

/// Asks the control instance to admit requests, and applies the limit locally
/// while it does not respond. On narrow links, obtains tokens in advance.
#[derive(Debug)]
pub(super) struct Quota {
    control: ControlHandle,
    clock: Clock,
    view: Arc<View>,
    prefetch: AtomicBool,
    state: Arc<Mutex<State>>,
}

impl Quota {
    pub(super) fn new(
        config: &GatewayConfig,
        control: ControlHandle,
        view: Arc<View>,
        clock: Clock,
    ) -> Quota {
        Quota {
            control,
            clock,
            view,
            prefetch: AtomicBool::new(config.token_prefetch && !config.needs_pace),
            state: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether tokens are obtained in advance.
    pub(super) fn is_prefetching(&self) -> bool {
        self.prefetch.load(Ordering::Relaxed)
    }

    /// Sets whether tokens are obtained in advance.
    pub(super) fn set_prefetching(&self, prefetch: bool) {
        self.prefetch.store(prefetch, Ordering::Relaxed);
    }

    /// Admits or refuses a request of a workspace.
    pub(super) async fn admit(&self, document: &Document, name: &Name) -> Result<(), Refusal> {
        match self.is_prefetching() {
            true => self.admit_with_tokens(document, name).await,
            false => self.admit_singly(document, name).await,
        }
    }

    async fn admit_with_tokens(&self, document: &Document, name: &Name) -> Result<(), Refusal> {
        let now = self.clock.now();
        let (taken, due, is_local) = {
            let mut state = self.lock();
            let taken = state.tokens.take(now, name);
            let standing = state.standings.get(name).copied().unwrap_or_default();
            (taken, state.tokens.due(now), now < standing.local_until)
        };
        let (own, other) = match due {
            Some((workspace, count)) if workspace == *name => (count, None),
            other => (0, other),
        };
        if let Some((workspace, count)) = other {
            self.prefetch(now, workspace, count);
        }
        match taken {
            Taken::Granted => {
                count_admission("token");
                if own > 0 {
                    self.prefetch(now, name.clone(), own);
                }
                Ok(())
            }
            Taken::Ask if is_local => self.admit_from_share(now, document, name),
            Taken::Ask => self.ask(now, document, name, own).await,
        }
    }

    // Asks for tokens that no request waits for.
    fn prefetch(&self, now: Millis, workspace: Name, count: u32) {
        let request = TokenRequest {
            workspace: workspace.clone(),
            count,
            waiting: false,
        };
        if let Ok(replies) = self.control.tokens(request) {
            let late = LateReplies {
                replies,
                sent: now,
                workspace,
                clock: self.clock.clone(),
                state: self.state.clone(),
            };
            tokio::spawn(late.receive(0));
        }
    }

    // Asks for the token of a request, and for `ahead` further ones.
    async fn ask(
        &self,
        sent: Millis,
        document: &Document,
        name: &Name,
        ahead: u32,
    ) -> Result<(), Refusal> {
        let request = TokenRequest {
            workspace: name.clone(),
            count: 1 + ahead,
            waiting: true,
        };
        let replies = match self.control.tokens(request) {
            Ok(replies) => replies,
            Err(_) => return self.admit_unanswered(document, name, None, sent),
        };
        let mut until = sent.plus(WAIT_MS);
        loop {
            let wait_ms = until.since(self.clock.now());
            let reply = timeout(Millis(wait_ms).duration(), replies.recv_async()).await;
            let now = self.clock.now();
            match reply {
                Ok(Ok(Ok(reply))) => {
                    let mut state = self.lock();
                    state.record(now, sent, name, reply, 1);
                    match reply {
                        TokenReply::Waiting => until = until.max(now.plus(WAIT_MS)),
                        TokenReply::Granted { .. } => {
                            count_admission("asked");
                            return Ok(());
                        }
                        TokenReply::Refused { retry_ms, is_over } => {
                            count_admission("refused");
                            return Err(refusal(is_over, retry_ms));
                        }
                    }
                }
                Ok(Ok(Err(_)) | Err(_)) => {
                    return self.admit_unanswered(document, name, None, sent);
                }
                Err(_) if now < until => {}
                // The control instance answers, so that this request is on its way.
                Err(_) if self.heard(now) > sent && now.since(sent) < WAIT_MAX_MS => {
                    until = self.heard(now).plus(WAIT_MS).max(now.plus(1));
                    until = until.min(sent.plus(WAIT_MAX_MS));
                }
                Err(_) => return self.admit_unanswered(document, name, Some(replies), sent),
            }
        }
    }

    // When the control instance is known to have answered any message. A view is proven at
    // the time when the renewal that is answered was sent.
    fn heard(&self, now: Millis) -> Millis {
        let proven = now.minus(self.view.age(now));
        self.lock().heard.max(proven)
    }

    // Decides on a request that wasn't answered. A late reply ends the use of the share.
    fn admit_unanswered(
        &self,
        document: &Document,
        name: &Name,
        replies: Option<Replies>,
        sent: Millis,
    ) -> Result<(), Refusal> {
        let now = self.clock.now();
        metrics::counter!("gateway_quota_unanswered_total").increment(1);
        let until = now.plus(FALLBACK_MS);
        let mut state = self.lock();
        state.standings.entry(name.clone()).or_default().local_until = until;
        drop(state);
        if let Some(replies) = replies {
            let late = LateReplies {
                replies,
                sent,
                workspace: name.clone(),
                clock: self.clock.clone(),
                state: self.state.clone(),
            };
            // Its own token is lost: the request is decided here.
            tokio::spawn(late.receive(1));
        }
        self.admit_from_share(now, document, name)
    }

    // Applies an equal share of the limit, and tells callers when it has a token again.
    fn admit_from_share(
        &self,
        now: Millis,
        document: &Document,
        name: &Name,
    ) -> Result<(), Refusal> {
        let rate = share_rate(document, name);
        let mut state = self.lock();
        let standing = state.standings.get(name).copied().unwrap_or_default();
        let level = state.take_local(now, name, rate);
        match level {
            Ok(()) => {
                count_admission("local");
                Ok(())
            }
            Err(level) => {
                count_admission("refused");
                let token_ms = ((1.0 - level) / rate.max(f64::MIN_POSITIVE)).ceil() as u64;
                let local_ms = standing.local_until.since(now);
                let retry_ms = token_ms.min(local_ms).max(1);
                Err(refusal(standing.is_over, retry_ms))
            }
        }
    }

    async fn admit_singly(&self, document: &Document, name: &Name) -> Result<(), Refusal> {
        let now = self.clock.now();
        let silent = self
            .lock()
            .since
            .is_some_and(|at| now.since(at) < FALLBACK_MS);
        if silent {
            return self.admit_locally(now, document, name);
        }
        let limit = Millis(WAIT_MS).duration();
        let reply = timeout(limit, self.control.admit(name.clone())).await;
        match reply {
            Ok(Ok(Admitted::Granted)) => Ok(()),
            Ok(Ok(Admitted::Refused { retry_ms })) => Err(Refusal {
                kind: ErrorKind::LimitExceeded,
                retry_ms,
            }),
            Ok(Err(_)) | Err(_) => {
                let now = self.clock.now();
                metrics::counter!("gateway_quota_unanswered_total").increment(1);
                self.lock().since = Some(now);
                self.admit_locally(now, document, name)
            }
        }
    }

    fn admit_locally(&self, now: Millis, document: &Document, name: &Name) -> Result<(), Refusal> {
        let rate = share_rate(document, name);
        let taken = self.lock().take_local(now, name, rate);
        taken.map_err(|_| Refusal {
            kind: ErrorKind::Unavailable,
            retry_ms: FALLBACK_MS,
        })
    }
}

impl State {
    // Takes a token of this instance's share. Returns the level if it has none.
    fn take_local(&mut self, now: Millis, name: &Name, rate: f64) -> Result<(), f64> {
        let bucket = self.buckets.entry(name.clone()).or_insert(Bucket {
            level: FALLBACK_BURST,
            at: now,
        });
        bucket.level = (bucket.level + now.since(bucket.at) as f64 * rate).min(FALLBACK_BURST);
        bucket.at = now;
        if bucket.level >= 1.0 {
            bucket.level -= 1.0;
            return Ok(());
        }
        Err(bucket.level)
    }

    // Records a reply to a request that was sent at `sent`, of whose tokens `used` are for
    // that request.
    fn record(&mut self, now: Millis, sent: Millis, name: &Name, reply: TokenReply, used: u32) {
        self.heard = now;
        match reply {
            TokenReply::Granted { count, life_ms } => {
                self.standings.shift_remove(name);
                let left_ms = life_ms.min(TOKEN_LIFE_MS).saturating_sub(now.since(sent));
                match count.saturating_sub(used) {
                    0 if used > 0 => {}
                    ahead if left_ms > 0 => self.tokens.put(now, name, ahead, left_ms),
                    _ => self.tokens.put(now, name, 0, 0),
                }
            }
            TokenReply::Refused { is_over, .. } => {
                let standing = Standing {
                    is_over,
                    local_until: Millis(0),
                };
                self.standings.insert(name.clone(), standing);
                self.tokens.put(now, name, 0, 0);
            }
            TokenReply::Waiting => {}
        }
    }
}

/// Replies to a request for tokens for which no caller waits, or not any more.
struct LateReplies {
    replies: Replies,
    sent: Millis,
    workspace: Name,
    clock: Clock,
    state: Arc<Mutex<State>>,
}

impl LateReplies {
    async fn receive(self, used: u32) {
        while let Ok(Ok(reply)) = self.replies.recv_async().await {
            let now = self.clock.now();
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.record(now, self.sent, &self.workspace, reply, used);
        }
    }
}

// Tokens per millisecond of an equal share of a limit. The shares hardly exceed the limit as
// a whole: few instances are without their control instance at a time, and the tokens leased
// to that instance are unused meanwhile.
fn share_rate(document: &Document, name: &Name) -> f64 {
    let gateways = document.instances.values().filter(|i| i.callers.is_some());
    let count = gateways.count().max(1) as f64;
    let limit = document.workspaces.get(name).map_or(0, |w| w.rate);
    limit as f64 / count / 1_000.0
}

fn refusal(is_over: bool, retry_ms: u64) -> Refusal {
    let kind = match is_over {
        true => ErrorKind::LimitExceeded,
        false => ErrorKind::Unavailable,
    };
    Refusal { kind, retry_ms }
}

fn count_admission(result: &'static str) {
    metrics::counter!("gateway_admissions_total", "result" => result).increment(1);
}
