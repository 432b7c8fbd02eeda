//! The entry's side of the rate limit: spends what the ledger leased.

use std::collections::VecDeque;

use indexmap::IndexMap;
use pomelovale_protocol::grants::{Grant, GrantReply, GrantRequest, WorkspaceDemand, TOKEN};
use pomelovale_state::{Millis, Name};

use crate::ledger::refill;

/// Settings of a limiter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimiterConfig {
    /// The entry instance; must differ for each start of the process.
    pub instance: Name,
    /// Longest time that a request waits for tokens.
    pub wait_ms: u64,
    /// Longest time that a request waits while the ledger doesn't answer: an
    /// interval without a leader and the round trips after it.
    pub outage_wait_ms: u64,
    /// Time after which a request to the ledger without a reply is given up.
    pub timeout_ms: u64,
    /// Time between requests to the ledger while tokens suffice.
    pub renew_ms: u64,
    /// Time after which a workspace without requests is given up.
    pub idle_ms: u64,
    /// Whether a request is refused at once while the ledger has little left
    /// to grant, instead of waiting for what others may return.
    pub refuse_short: bool,
    /// Whether the ledger is told as well that nothing is held. A new leader can
    /// end its wait for unknown leases sooner.
    pub tell_none: bool,
}

impl LimiterConfig {
    /// The usual settings.
    pub fn new(instance: Name) -> LimiterConfig {
        LimiterConfig {
            instance,
            wait_ms: 400,
            outage_wait_ms: 2_500,
            timeout_ms: 300,
            renew_ms: 250,
            idle_ms: 30_000,
            refuse_short: false,
            tell_none: false,
        }
    }
}

/// Whether a request may run now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admit {
    /// The tokens are spent; the request may run.
    Granted,
    /// Tokens are on their way: ask again with [`Limiter::retry`] after the
    /// next reply of the ledger or a few milliseconds.
    Wait,
    /// The workspace has used its limit.
    Refused {
        /// When tokens can be expected.
        retry_after_ms: u64,
    },
}

/// Longest time after which a caller is told to return while the ledger has
/// little left.
const SHORT_RETRY_MS: u64 = 1_000;

/// Time over which demand is averaged.
const DEMAND_MS: f64 = 1_000.0;
/// Time over which a change of demand is noticed.
const TREND_MS: f64 = 250.0;
/// Requests are made more often by this factor while a pool is short.
const SHORT_PART: u64 = 5;
/// Time after an outage in which requests that waited longer than usual are
/// kept: the holdings are reported, then granted, then redistributed.
const RECOVERY_MS: u64 = 1_000;
/// Standard deviations of a count of requests that chance explains.
const NOISE_ROOTS: f64 = 2.0;
/// Tokens are requested ahead for the use within this time: a round trip of
/// 110 ms and its jitter.
const AHEAD_MS: u64 = 150;

#[derive(Debug, Default)]
struct Share {
    rate: u64,
    cap: u64,
    /// May be above `cap` after a grant, and falls back by spending.
    level: u64,
    /// Level and capacity in the latest request.
    reported: u64,
    reported_cap: u64,
    short: bool,
    surplus: u64,
    debt: u64,
    until: Millis,
    at: Millis,
    /// Decaying counts of requests over two times.
    demand: f64,
    trend: f64,
    counted: Millis,
    used: Millis,
    retry_ms: u64,
    waiting: VecDeque<(Millis, u64)>,
}

#[derive(Debug)]
struct Pending {
    seq: u64,
    sent: Millis,
}

/// Admits requests against leased shares of the workspaces' limits.
#[derive(Debug)]
pub struct Limiter {
    config: LimiterConfig,
    epoch: u64,
    seq: u64,
    sent: Millis,
    /// When the first request was sent that was not answered yet.
    unanswered: Option<Millis>,
    patient_until: Millis,
    urgent: bool,
    short: bool,
    pending: Option<Pending>,
    shares: IndexMap<Name, Share>,
}

impl Limiter {
    /// A limiter that holds nothing yet.
    pub fn new(config: LimiterConfig) -> Limiter {
        Limiter {
            config,
            epoch: 0,
            seq: 0,
            sent: Millis(0),
            unanswered: None,
            patient_until: Millis(0),
            urgent: false,
            short: false,
            pending: None,
            shares: IndexMap::new(),
        }
    }

    /// Decides about a new request.
    pub fn admit(&mut self, now: Millis, workspace: &Name, cost: u64) -> Admit {
        let amount = cost.saturating_mul(TOKEN);
        let wait_ms = self.wait_ms(now);
        let outage_wait_ms = self.config.outage_wait_ms;
        let refuse_short = self.config.refuse_short;
        let share = self.share(now, workspace);
        share.count(now, amount);
        let ahead: u64 = share.waiting.iter().map(|w| w.1).sum();
        if share.spend(amount.saturating_add(ahead), amount) {
            let low = share.level < share.shortfall(now, AHEAD_MS);
            self.urgent |= share.short || (low && share.retry_ms == 0);
            return Admit::Granted;
        }
        let accrual = share.accrual_ms(amount.saturating_add(ahead));
        let denied = share.retry_ms > 0 || (share.short && refuse_short);
        if denied && accrual > wait_ms {
            let retry_after_ms = match share.retry_ms {
                0 => accrual.min(SHORT_RETRY_MS),
                retry_ms => retry_ms.min(accrual),
            };
            return Admit::Refused { retry_after_ms };
        }
        share.waiting.push_back((now.plus(outage_wait_ms), amount));
        self.urgent = true;
        Admit::Wait
    }

    /// Decides again about a request that waits since `since`.
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

    /// Keeps a share of a workspace ready before its first request.
    pub fn prime(&mut self, now: Millis, workspace: &Name) {
        let known = self.shares.contains_key(workspace);
        let share = self.share(now, workspace);
        share.used = now;
        self.urgent |= !known;
    }

    /// Whether the ledger has left requests unanswered for a timeout.
    pub fn is_silent(&self, now: Millis) -> bool {
        self.unanswered
            .is_some_and(|at| now.since(at) >= self.config.timeout_ms)
    }

    fn wait_ms(&self, now: Millis) -> u64 {
        match self.is_silent(now) || now < self.patient_until {
            true => self.config.outage_wait_ms,
            false => self.config.wait_ms,
        }
    }

    /// The next request to send to the ledger, if one is due.
    pub fn next_request(&mut self, now: Millis) -> Option<GrantRequest> {
        let renew_ms = match self.short {
            true => self.config.renew_ms / SHORT_PART,
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
            .retain(|_, s| now.since(s.used) < idle_ms || now < s.until);
        if self.shares.is_empty() && !self.config.tell_none {
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
        let wants = self.shares.iter_mut().map(|(n, s)| s.want(now, n));
        Some(GrantRequest {
            instance: self.config.instance.clone(),
            seq: self.seq,
            epoch: self.epoch,
            wants: wants.collect(),
        })
    }

    /// Takes a reply of the ledger. Replies to any but the latest request, of
    /// an earlier epoch, or whose life has passed, have no effect.
    pub fn receive(&mut self, now: Millis, reply: GrantReply) {
        let sent = match &self.pending {
            Some(p) if p.seq == reply.seq && reply.instance == self.config.instance => p.sent,
            _ => return,
        };
        if reply.epoch < self.epoch {
            return;
        }
        self.pending = None;
        if self.is_silent(now) {
            self.patient_until = now.plus(RECOVERY_MS);
        }
        self.unanswered = None;
        let until = sent.plus(reply.life_ms);
        match reply.epoch > self.epoch {
            // The holdings must be reported to the new leader before it grants.
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
        // What was refilled since the request may exceed what the ledger keeps
        // reserved; a returned surplus may not.
        let kept = grant.cap.max(share.reported + grant.tokens);
        let reserved = kept.max(share.reported_cap);
        let level = (share.level + grant.tokens).min(reserved);
        share.level = level.min(kept);
        share.surplus = level - share.level;
        // The raised rate refills from the next millisecond on.
        share.debt += grant.rate.saturating_sub(share.rate);
        share.rate = grant.rate;
        share.cap = grant.cap;
        share.until = until;
        share.retry_ms = grant.retry_ms;
        share.short = grant.short;
        let ahead: u64 = share.waiting.iter().map(|w| w.1).sum();
        self.urgent |= ahead > share.level && grant.retry_ms == 0;
    }

    fn share(&mut self, now: Millis, workspace: &Name) -> &mut Share {
        if !self.shares.contains_key(workspace) {
            let share = Share {
                at: now,
                counted: now,
                used: now,
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
        let refill = refill(self.rate, now.since(self.at));
        let paid = refill.min(self.debt);
        self.debt -= paid;
        let top = self.level.max(self.cap);
        self.level = self.level.saturating_add(refill - paid).min(top);
        self.at = self.at.max(now);
        if self.level >= self.cap {
            // The rest of the current millisecond doesn't refill a full bucket.
            self.at = self.at.max(now.plus(1));
        }
        while self.waiting.front().is_some_and(|w| w.0 <= now) {
            self.waiting.pop_front();
        }
    }

    fn count(&mut self, now: Millis, amount: u64) {
        let passed = now.since(self.counted) as f64;
        self.demand = self.demand * (-passed / DEMAND_MS).exp() + amount as f64;
        self.trend = self.trend * (-passed / TREND_MS).exp() + amount as f64;
        self.counted = now;
        self.used = now;
    }

    /// Rate of requests: the long average, corrected if the short one differs
    /// by more than chance explains.
    fn demand_at(&self, now: Millis) -> u64 {
        let passed = now.since(self.counted) as f64;
        let long = self.demand * (-passed / DEMAND_MS).exp() / DEMAND_MS;
        let short = self.trend * (-passed / TREND_MS).exp();
        let noise = NOISE_ROOTS * (short * TOKEN as f64).sqrt();
        let low = (short - noise) / TREND_MS;
        let high = (short + noise + TOKEN as f64) / TREND_MS;
        long.clamp(low, high) as u64
    }

    fn spend(&mut self, needed: u64, amount: u64) -> bool {
        let enough = self.level >= needed;
        if enough {
            self.level -= amount;
        }
        enough
    }

    /// What demand will use beyond the refill within a time.
    fn shortfall(&self, now: Millis, ms: u64) -> u64 {
        let demand = self.demand_at(now);
        demand.saturating_sub(self.rate).saturating_mul(ms)
    }

    /// Time until the bucket alone holds an amount.
    fn accrual_ms(&self, amount: u64) -> u64 {
        match amount.saturating_sub(self.level) {
            _ if amount > self.cap || self.rate == 0 => u64::MAX,
            short => short.div_ceil(self.rate),
        }
    }

    fn want(&mut self, now: Millis, workspace: &Name) -> WorkspaceDemand {
        self.advance(now);
        let demand = self.demand_at(now);
        let keep = (self.cap / 2).max(self.shortfall(now, AHEAD_MS));
        if self.waiting.is_empty() && self.level > keep {
            self.surplus += self.level - keep;
            self.level = keep;
        }
        self.reported = self.level;
        self.reported_cap = self.cap.max(self.level);
        WorkspaceDemand {
            workspace: workspace.clone(),
            rate: self.rate,
            cap: self.cap,
            level: self.level,
            wanted: self.waiting.iter().map(|w| w.1).sum(),
            demand,
            returned: std::mem::take(&mut self.surplus),
        }
    }
}
