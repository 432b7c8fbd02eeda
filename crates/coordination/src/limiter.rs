//! Rate limiter of one instance. It admits requests against the token buckets
//! that the leader's ledger leased to it.
//!
//! Amounts, levels and capacities are in units of which [`TOKEN`] make one token,
//! and rates are in units per millisecond.

use std::collections::VecDeque;

use indexmap::IndexMap;
use pomelovale_protocol::grants::{Grant, GrantReply, GrantRequest, WorkspaceDemand, TOKEN};
use pomelovale_state::{Millis, Name};

use crate::ledger::refill;

/// Settings of a limiter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimiterConfig {
    /// Identifier of this limiter: the name of the instance, `-` and a suffix that
    /// differs for each start of the process. The ledger keeps leases by it.
    pub instance: Name,
    /// Longest time that a request waits for tokens.
    pub wait_ms: u64,
    /// Longest time that a request waits while the ledger doesn't reply. Covers an
    /// interval without a leader and the round trips that follow it.
    pub outage_wait_ms: u64,
    /// Time after which an unanswered request to the ledger is abandoned.
    pub timeout_ms: u64,
    /// Interval between requests to the ledger while there are enough tokens.
    pub renew_ms: u64,
    /// Time without requests after which the share of a workspace is dropped, once
    /// its lease has expired as well.
    pub idle_ms: u64,
    /// Whether a request is refused immediately while the ledger's pool is low,
    /// instead of waiting for tokens that other instances may return.
    pub refuse_early: bool,
    /// Whether requests are sent to the ledger even without any leased share, so
    /// that a new leader can stop waiting for unknown leases sooner.
    pub report_empty: bool,
}

impl LimiterConfig {
    /// The default settings.
    pub fn new(instance: Name) -> LimiterConfig {
        LimiterConfig {
            instance,
            wait_ms: 400,
            outage_wait_ms: 2_500,
            timeout_ms: 300,
            renew_ms: 250,
            idle_ms: 30_000,
            refuse_early: false,
            report_empty: false,
        }
    }
}

/// Decision of the limiter about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admit {
    /// The tokens were spent and the request may run.
    Granted,
    /// Tokens were requested from the ledger. Call [`Limiter::retry`] after its
    /// next reply or a few milliseconds.
    Wait,
    /// The workspace has exhausted its limit.
    Refused {
        /// Time until tokens are expected.
        retry_after_ms: u64,
    },
}

/// Tokens that a gateway has in advance of the requests that use them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Prefetched {
    /// Number of tokens.
    pub count: u64,
    /// Time in which they can be used.
    pub life_ms: u64,
}

/// Tokens are prefetched only while the level is above the capacity divided by this: what
/// expires unused must not use up a limit.
const PREFETCH_LEVEL_DIVISOR: u64 = 4;
/// Prefetched tokens are at most the capacity divided by this.
const PREFETCHED_DIVISOR: u64 = 2;

/// Longest retry delay given to a caller while the ledger's pool is low.
const LOW_POOL_RETRY_MAX_MS: u64 = 1_000;

/// Time constant of the exponential average of demand.
const DEMAND_TIME_CONSTANT_MS: f64 = 1_000.0;
/// Time constant of the faster average that detects a change of demand.
const FAST_DEMAND_TIME_CONSTANT_MS: f64 = 250.0;
/// The interval between requests to the ledger is divided by this while its
/// pool of any workspace is low.
const LOW_POOL_RENEW_DIVISOR: u64 = 5;
/// Time after an outage in which the longer wait limit still applies. In this
/// time leases are reported to the new leader, granted and redistributed.
const RECOVERY_MS: u64 = 1_000;
/// Deviations of the request count up to this many standard deviations are
/// treated as noise.
const NOISE_STD_DEVS: f64 = 2.0;
/// Tokens are requested in advance for the demand within this time, which
/// covers a round trip of 110 ms and its jitter.
const LOOKAHEAD_MS: u64 = 150;

/// This instance's share of the limit of one workspace: the token bucket that the
/// ledger leased to it.
#[derive(Debug, Default)]
struct Share {
    rate: u64,
    cap: u64,
    /// A grant may raise it above `cap`; refill then pauses until requests
    /// bring it below `cap`.
    level: u64,
    /// Expiry and amount of the tokens prefetched by gateways, by expiry. Together with the
    /// level they never exceed what the ledger reserves, as they can still be used.
    prefetched: VecDeque<(Millis, u64)>,
    /// Level and capacity sent in the latest request to the ledger.
    reported: u64,
    reported_cap: u64,
    /// Whether the ledger's pool was low at the latest grant.
    short: bool,
    /// Amount to return with the next request to the ledger.
    surplus: u64,
    /// Refill that is still to be withheld after an increase of the rate.
    withheld_refill: u64,
    /// Expiry of the lease.
    until: Millis,
    /// Time up to which `level` includes the refill.
    at: Millis,
    /// Exponentially decaying sums of requested tokens, slow and fast.
    demand: f64,
    fast_demand: f64,
    demand_updated: Millis,
    last_used: Millis,
    /// Retry delay from the latest grant; zero while within the limit.
    retry_ms: u64,
    /// For each waiting request, the time until which it waits at most, and its
    /// amount.
    waiting: VecDeque<(Millis, u64)>,
}

#[derive(Debug)]
struct Pending {
    seq: u64,
    sent: Millis,
}

/// Admits requests against the leased shares of the workspaces' limits.
#[derive(Debug)]
pub struct Limiter {
    config: LimiterConfig,
    epoch: u64,
    seq: u64,
    sent: Millis,
    /// When the first request since the last reply was sent.
    unanswered: Option<Millis>,
    /// End of the longer wait limit after an outage.
    recovery_until: Millis,
    /// Whether the next request is sent without waiting for the interval.
    urgent: bool,
    /// Whether the pool of any workspace was low in the latest reply.
    short: bool,
    /// The latest request, while it is unanswered.
    pending: Option<Pending>,
    shares: IndexMap<Name, Share>,
}

impl Limiter {
    /// Creates a limiter without leased shares.
    pub fn new(config: LimiterConfig) -> Limiter {
        Limiter {
            config,
            epoch: 0,
            seq: 0,
            sent: Millis(0),
            unanswered: None,
            recovery_until: Millis(0),
            urgent: false,
            short: false,
            pending: None,
            shares: IndexMap::new(),
        }
    }

    /// Decides on a new request.
    pub fn admit(&mut self, now: Millis, workspace: &Name, cost: u64) -> Admit {
        self.decide(now, workspace, cost, self.config.refuse_early)
    }

    /// Likewise, but refuses a request immediately only if its workspace is over its limit,
    /// and not whenever the ledger's pool is low: the pool of a small limit that is divided
    /// between many instances is low at times without any overload.
    pub fn admit_unless_over(&mut self, now: Millis, workspace: &Name, cost: u64) -> Admit {
        self.decide(now, workspace, cost, false)
    }

    fn decide(&mut self, now: Millis, workspace: &Name, cost: u64, refuse_early: bool) -> Admit {
        let amount = cost.saturating_mul(TOKEN);
        let wait_ms = self.wait_ms(now);
        let outage_wait_ms = self.config.outage_wait_ms;
        let share = self.share(now, workspace);
        share.count(now, amount);
        let queued_amount: u64 = share.waiting.iter().map(|w| w.1).sum();
        if share.spend(amount.saturating_add(queued_amount), amount) {
            let low = share.level < share.shortfall(now, LOOKAHEAD_MS);
            self.urgent |= share.short || (low && share.retry_ms == 0);
            return Admit::Granted;
        }
        let accrual = share.accrual_ms(amount.saturating_add(queued_amount));
        let denied = share.retry_ms > 0 || (share.short && refuse_early);
        if denied && accrual > wait_ms {
            let retry_after_ms = match share.retry_ms {
                0 => accrual.min(LOW_POOL_RETRY_MAX_MS),
                retry_ms => retry_ms.min(accrual),
            };
            return Admit::Refused { retry_after_ms };
        }
        share.waiting.push_back((now.plus(outage_wait_ms), amount));
        self.urgent = true;
        Admit::Wait
    }

    /// Decides again on a request that has been waiting since `since`.
    pub fn retry(&mut self, now: Millis, workspace: &Name, cost: u64, since: Millis) -> Admit {
        let amount = cost.saturating_mul(TOKEN);
        let wait_ms = self.wait_ms(now);
        let share = self.share(now, workspace);
        if share.spend(amount, amount) {
            share.waiting.pop_front();
            return Admit::Granted;
        }
        if now.since(since) >= wait_ms {
            share.waiting.pop_front();
            let retry_after_ms = share.retry_ms.max(share.accrual_ms(amount).min(1_000));
            return Admit::Refused { retry_after_ms };
        }
        Admit::Wait
    }

    /// Spends up to `count` tokens for requests of the next `life_ms`, unless the workspace
    /// has few left. Their capacity stays reserved until they have expired.
    pub fn spend_ahead(
        &mut self,
        now: Millis,
        workspace: &Name,
        count: u64,
        life_ms: u64,
    ) -> Prefetched {
        let share = self.share(now, workspace);
        let life_ms = life_ms.min(share.until.since(now));
        let reserve = share.cap / PREFETCH_LEVEL_DIVISOR;
        let spare = share.level.saturating_sub(reserve);
        let room = (share.cap / PREFETCHED_DIVISOR).saturating_sub(share.prefetched_amount());
        let is_short = share.short || share.retry_ms > 0 || !share.waiting.is_empty();
        let count = match is_short || life_ms == 0 {
            true => 0,
            false => count.min(spare.min(room) / TOKEN),
        };
        if count == 0 {
            return Prefetched::default();
        }
        let amount = count * TOKEN;
        share.level -= amount;
        share.prefetched.push_back((now.plus(life_ms), amount));
        share.count(now, amount);
        let low = share.level < share.shortfall(now, LOOKAHEAD_MS);
        self.urgent |= low;
        Prefetched { count, life_ms }
    }

    /// Whether a workspace has used up its limit, as far as the ledger has said.
    pub fn is_over_limit(&self, workspace: &Name) -> bool {
        let share = self.shares.get(workspace);
        share.is_some_and(|s| s.retry_ms > 0 || s.short)
    }

    /// Time in which this instance's share of a limit gains one token; `None` without a
    /// share.
    pub fn token_ms(&self, workspace: &Name) -> Option<u64> {
        let share = self.shares.get(workspace).filter(|s| s.rate > 0);
        share.map(|s| TOKEN.div_ceil(s.rate))
    }

    /// Has the next request to the ledger ask for a share of a workspace, in advance
    /// of the first request of a caller.
    pub fn prefetch(&mut self, now: Millis, workspace: &Name) {
        let known = self.shares.contains_key(workspace);
        let share = self.share(now, workspace);
        share.last_used = now;
        self.urgent |= !known;
    }

    /// Whether requests to the ledger have been unanswered for at least the timeout.
    pub fn is_ledger_unresponsive(&self, now: Millis) -> bool {
        self.unanswered
            .is_some_and(|at| now.since(at) >= self.config.timeout_ms)
    }

    fn wait_ms(&self, now: Millis) -> u64 {
        match self.is_ledger_unresponsive(now) || now < self.recovery_until {
            true => self.config.outage_wait_ms,
            false => self.config.wait_ms,
        }
    }

    /// Returns the next request to the ledger if one is due.
    pub fn next_request(&mut self, now: Millis) -> Option<GrantRequest> {
        let renew_ms = match self.short {
            true => self.config.renew_ms / LOW_POOL_RENEW_DIVISOR,
            false => self.config.renew_ms,
        };
        match &self.pending {
            Some(p) if now.since(p.sent) < self.config.timeout_ms => return None,
            Some(_) => {}
            None if self.urgent => {}
            None if now.since(self.sent) < renew_ms => return None,
            None => {}
        }
        let idle_ms = self.config.idle_ms;
        self.shares
            .retain(|_, s| now.since(s.last_used) < idle_ms || now < s.until);
        if self.shares.is_empty() && !self.config.report_empty {
            return None;
        }
        self.seq += 1;
        self.sent = now;
        self.unanswered = self.unanswered.or(Some(now));
        self.urgent = false;
        self.pending = Some(Pending {
            seq: self.seq,
            sent: now,
        });
        let wants = self.shares.iter_mut().map(|(n, s)| s.build_want(now, n));
        Some(GrantRequest {
            instance: self.config.instance.clone(),
            seq: self.seq,
            epoch: self.epoch,
            wants: wants.collect(),
        })
    }

    /// Processes a reply of the ledger. Ignores a reply that doesn't answer the
    /// latest request or is of an earlier epoch. A reply whose leases have expired
    /// ends the wait for the reply, but its grants are not applied.
    pub fn receive(&mut self, now: Millis, reply: GrantReply) {
        let sent = match &self.pending {
            Some(p) if p.seq == reply.seq && reply.instance == self.config.instance => p.sent,
            _ => return,
        };
        if reply.epoch < self.epoch {
            return;
        }
        self.pending = None;
        if self.is_ledger_unresponsive(now) {
            self.recovery_until = now.plus(RECOVERY_MS);
        }
        self.unanswered = None;
        let until = sent.plus(reply.life_ms);
        match reply.epoch > self.epoch {
            // A new leader grants nothing until the leases are reported to it.
            true => {
                self.epoch = reply.epoch;
                self.urgent = true;
            }
            false if now < until => {
                self.short = reply.grants.iter().any(|g| g.short);
                for grant in &reply.grants {
                    self.apply(now, until, grant);
                }
            }
            false => {}
        }
    }

    fn apply(&mut self, now: Millis, until: Millis, grant: &Grant) {
        let share = self.share(now, &grant.workspace);
        // Refill since the request may raise the level above what the ledger
        // reserves. Tokens above the reserve are dropped; only those within it
        // may be returned as surplus.
        let kept = grant.cap.max(share.reported + grant.tokens);
        let reserved = kept.max(share.reported_cap);
        let stock = reserved.saturating_sub(share.prefetched_amount());
        let level = (share.level + grant.tokens).min(stock);
        share.level = level.min(kept);
        share.surplus = level - share.level;
        // An increase of the rate takes effect in the next millisecond.
        share.withheld_refill += grant.rate.saturating_sub(share.rate);
        share.rate = grant.rate;
        share.cap = grant.cap;
        share.until = until;
        share.retry_ms = grant.retry_ms;
        share.short = grant.short;
        let queued_amount: u64 = share.waiting.iter().map(|w| w.1).sum();
        self.urgent |= queued_amount > share.level && grant.retry_ms == 0;
    }

    fn share(&mut self, now: Millis, workspace: &Name) -> &mut Share {
        if !self.shares.contains_key(workspace) {
            let share = Share {
                at: now,
                demand_updated: now,
                last_used: now,
                ..Share::default()
            };
            self.shares.insert(workspace.clone(), share);
        }
        let share = &mut self.shares[workspace];
        share.advance(now);
        share
    }
}

impl Share {
    fn advance(&mut self, now: Millis) {
        if now >= self.until {
            self.rate = 0;
            self.cap = 0;
            self.level = 0;
            self.surplus = 0;
        }
        // The capacity of prefetched tokens is refilled from their expiry on.
        while let Some(&(until, _)) = self.prefetched.front().filter(|p| p.0 <= now) {
            self.refill_until(until);
            self.prefetched.pop_front();
        }
        self.refill_until(now);
        while self.waiting.front().is_some_and(|w| w.0 <= now) {
            self.waiting.pop_front();
        }
    }

    fn refill_until(&mut self, now: Millis) {
        let refill = refill(self.rate, now.since(self.at));
        let withheld = refill.min(self.withheld_refill);
        self.withheld_refill -= withheld;
        let cap = self.cap.saturating_sub(self.prefetched_amount());
        let top = self.level.max(cap);
        self.level = self.level.saturating_add(refill - withheld).min(top);
        self.at = self.at.max(now);
        if self.level >= cap {
            // A bucket that is full gains nothing in the rest of this millisecond.
            self.at = self.at.max(now.plus(1));
        }
    }

    /// Amount of the prefetched tokens that haven't expired.
    fn prefetched_amount(&self) -> u64 {
        self.prefetched.iter().map(|p| p.1).sum()
    }

    /// Adds the amount of a new request to the demand estimates.
    fn count(&mut self, now: Millis, amount: u64) {
        let elapsed_ms = now.since(self.demand_updated) as f64;
        self.demand = self.demand * (-elapsed_ms / DEMAND_TIME_CONSTANT_MS).exp() + amount as f64;
        self.fast_demand =
            self.fast_demand * (-elapsed_ms / FAST_DEMAND_TIME_CONSTANT_MS).exp() + amount as f64;
        self.demand_updated = now;
        self.last_used = now;
    }

    /// Estimated demand in units per millisecond: the slow average, clamped to
    /// the noise interval around the fast one.
    fn demand_at(&self, now: Millis) -> u64 {
        let elapsed_ms = now.since(self.demand_updated) as f64;
        let long =
            self.demand * (-elapsed_ms / DEMAND_TIME_CONSTANT_MS).exp() / DEMAND_TIME_CONSTANT_MS;
        let short = self.fast_demand * (-elapsed_ms / FAST_DEMAND_TIME_CONSTANT_MS).exp();
        let noise = NOISE_STD_DEVS * (short * TOKEN as f64).sqrt();
        let low = (short - noise) / FAST_DEMAND_TIME_CONSTANT_MS;
        let high = (short + noise + TOKEN as f64) / FAST_DEMAND_TIME_CONSTANT_MS;
        long.clamp(low, high) as u64
    }

    fn spend(&mut self, needed: u64, amount: u64) -> bool {
        let enough = self.level >= needed;
        if enough {
            self.level -= amount;
        }
        enough
    }

    /// Tokens by which the demand exceeds the refill within `ms`.
    fn shortfall(&self, now: Millis, ms: u64) -> u64 {
        let demand = self.demand_at(now);
        demand.saturating_sub(self.rate).saturating_mul(ms)
    }

    /// Time until refill alone raises the level to `amount`; `u64::MAX` if it
    /// never does.
    fn accrual_ms(&self, amount: u64) -> u64 {
        match amount.saturating_sub(self.level) {
            _ if amount > self.cap || self.rate == 0 => u64::MAX,
            short => short.div_ceil(self.rate),
        }
    }

    fn build_want(&mut self, now: Millis, workspace: &Name) -> WorkspaceDemand {
        self.advance(now);
        let demand = self.demand_at(now);
        let keep = (self.cap / 2).max(self.shortfall(now, LOOKAHEAD_MS));
        if self.waiting.is_empty() && self.level > keep {
            self.surplus += self.level - keep;
            self.level = keep;
        }
        self.reported = self.level;
        let stock = self.level + self.prefetched_amount();
        self.reported_cap = self.cap.max(stock);
        WorkspaceDemand {
            workspace: workspace.clone(),
            rate: self.rate,
            cap: self.reported_cap,
            level: self.level,
            wanted: self.waiting.iter().map(|w| w.1).sum(),
            demand,
            returned: std::mem::take(&mut self.surplus),
        }
    }
}
