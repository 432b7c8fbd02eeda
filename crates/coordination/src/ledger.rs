//! Ledger of the leader that divides each workspace's rate limit between
//! instances.
//!
//! The limit of a workspace is a token bucket with a capacity (the burst) and a
//! refill rate. The ledger splits it into leased buckets, one for each instance,
//! and a pool of its own. The sum of the capacities of all unexpired leases and
//! of the pool never exceeds the burst; the sum of their refill rates never
//! exceeds the rate. The sum of all levels is therefore at most the burst, rises
//! at most at the rate, and falls with each admission, so that every window of
//! length w admits at most rate * w + burst.
//!
//! An instance drops a lease one lease life after it sent the request. The
//! ledger reserves the lease for one life and a margin after it received the
//! request, which is always later. A new leader doesn't know the leases of
//! earlier epochs. It reserves the whole limit for one life and the margin,
//! except for the leases that instances report: it renews these, and can lease
//! again what the instances return. Once every instance that may hold a lease
//! has reported, no unknown leases remain and the reservation ends.
//!
//! The caller must pass requests to the ledger only while a quorum has confirmed
//! it as the leader within the shortest election timeout. All grants of an epoch
//! are then made before the ledger of the next epoch is created.
//!
//! Amounts are in units of which [`TOKEN`] make one token, and rates are in units
//! per millisecond, except in [`RateLimit`].
//!
//! Each start of an instance has its own limiter, whose identifier is the name of
//! the instance and a suffix. Requests and leases are by limiter identifier. A
//! holder is an instance, identified by its name, whose limiters may hold leases.

use indexmap::{IndexMap, IndexSet};
use pomelovale_protocol::grants::{Grant, GrantReply, GrantRequest, WorkspaceDemand, TOKEN};
use pomelovale_state::{Millis, Name};

use crate::fairness::{max_min, proportional};

/// Limit of one workspace, for all instances together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateLimit {
    /// Requests per second.
    pub per_second: u64,
    /// Requests that may be admitted at once in excess of the rate.
    pub burst: u64,
}

/// Settings of a ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LedgerConfig {
    /// Epoch of this leader; higher than that of every earlier leader.
    pub epoch: u64,
    /// Lifetime of a lease.
    pub life_ms: u64,
    /// Time added to the lifetime in the ledger for the rounding and drift of the
    /// clocks of ledger and instance.
    pub margin_ms: u64,
    /// Time for which a new leader reserves the unknown leases of earlier epochs.
    pub wait_ms: u64,
    /// Fraction of the rate that is leased to instances, in per mille.
    pub leased_rate_per_mille: u64,
    /// Fraction of the burst that is leased to instances, in per mille.
    pub leased_burst_per_mille: u64,
}

impl LedgerConfig {
    /// The default settings for the leader of `epoch`.
    pub fn new(epoch: u64) -> LedgerConfig {
        LedgerConfig {
            epoch,
            life_ms: LEASE_LIFE_MS,
            margin_ms: LEASE_MARGIN_MS,
            wait_ms: LEASE_LIFE_MS + LEASE_MARGIN_MS,
            leased_rate_per_mille: 1_000,
            leased_burst_per_mille: 700,
        }
    }
}

/// Lifetime of a lease in milliseconds. It is longer than an interval without a
/// leader (2 s) and the round trips that follow it.
pub const LEASE_LIFE_MS: u64 = 4_000;
/// Covers the rounding of two clocks to 1 ms and a drift of 2,000 ppm over one
/// lease life.
pub const LEASE_MARGIN_MS: u64 = 10;
/// Part of the rate that is divided evenly, so that idle instances keep a reserve.
const RESERVE_PER_MILLE: u64 = 50;
/// A request is granted additional tokens for the instance's demand within this
/// time.
const PREFETCH_MS: u64 = 250;

/// Upper bound of a reported demand, in units per millisecond.
const DEMAND_MAX: u64 = 1 << 40;
/// The pool is low if its level is below the burst divided by this.
const LOW_POOL_DIVISOR: u64 = 8;
/// Demand that exceeds the rate by more than this many standard deviations is
/// overload.
const NOISE_STD_DEVS: f64 = 2.0;
/// Additional tokens are at most the level of the pool divided by this.
const PREFETCH_POOL_DIVISOR: u64 = 12;

/// Lease of one limiter, or a sum of leases.
#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    /// Refill rate of the leased bucket, in units per millisecond.
    rate: u64,
    /// Capacity of the leased bucket, in units.
    cap: u64,
    /// Demand that the limiter reported, in units per millisecond.
    demand: u64,
    /// Expiry in the ledger, which includes the margin.
    until: Millis,
}

/// Limit, leases and pool of one workspace.
#[derive(Debug, Default)]
struct Bucket {
    /// Rate of the limit, in units per millisecond.
    rate: u64,
    /// Burst of the limit, in units.
    cap: u64,
    /// Reserved for leases of earlier epochs that were not reported yet.
    unknown: Lease,
    /// By limiter identifier.
    leases: IndexMap<Name, Lease>,
    /// Sums over all leases; `until` is a time before which no lease expires.
    lease_totals: Lease,
    /// Level of the pool, in units.
    level: u64,
    /// Refill that is withheld, in units; see [`Bucket::record_holdings`].
    withheld_refill: u64,
    /// Time up to which `level` includes the refill.
    at: Millis,
}

/// Latest reply to a limiter, which is sent again for a duplicate request.
#[derive(Debug)]
struct LastReply {
    reply: GrantReply,
    until: Millis,
}

/// Divides the limits of all workspaces. Only the leader holds it, in memory.
#[derive(Debug)]
pub struct Ledger {
    config: LedgerConfig,
    /// End of the wait for unknown leases of earlier epochs.
    ready: Millis,
    buckets: IndexMap<Name, Bucket>,
    // By limiter identifier.
    last_replies: IndexMap<Name, LastReply>,
    // Names of the instances that reported their leases in this epoch.
    reported_instances: IndexSet<Name>,
}

impl Ledger {
    /// Creates the ledger of a leader whose epoch began at `now` or earlier.
    pub fn new(config: LedgerConfig, now: Millis) -> Ledger {
        Ledger {
            config,
            ready: now.plus(config.wait_ms),
            buckets: IndexMap::new(),
            last_replies: IndexMap::new(),
            reported_instances: IndexSet::new(),
        }
    }

    /// Ends the recovery wait for unknown leases of earlier epochs, and with it
    /// their reservation, if all `holders`, the names of the instances that may
    /// hold one, have reported in this epoch. An instance that restarted has lost
    /// its leases and reports none. Returns whether this call ended the wait.
    pub fn release<'a>(
        &mut self,
        now: Millis,
        mut holders: impl Iterator<Item = &'a Name>,
    ) -> bool {
        let released =
            now < self.ready && holders.all(|name| self.reported_instances.contains(name));
        if released {
            self.ready = now;
            let buckets = self.buckets.values_mut();
            buckets.for_each(|b| b.advance(now, now));
        }
        released
    }

    /// Whether an instance, given by its name, has reported its leases in this epoch.
    pub fn has_reported(&self, holder: &Name) -> bool {
        self.reported_instances.contains(holder)
    }

    /// Sets the limit of a workspace. `rate` gives the rate in tokens per second
    /// and the burst in tokens; the bucket stores both in units. A lowered limit
    /// takes full effect once the current leases are renewed or have expired.
    pub fn set_limit(&mut self, workspace: &Name, rate: RateLimit, now: Millis) {
        let (per_ms, cap) = (rate.per_second * (TOKEN / 1_000), rate.burst * TOKEN);
        let ready = self.ready;
        let bucket = self.buckets.entry(workspace.clone()).or_insert(Bucket {
            at: now,
            ..Bucket::default()
        });
        bucket.advance(now, ready);
        if now < ready {
            // Earlier leaders may have granted leases under the raised limit.
            bucket.unknown.rate += per_ms.saturating_sub(bucket.rate);
            bucket.unknown.cap += cap.saturating_sub(bucket.cap);
        }
        bucket.rate = per_ms;
        bucket.cap = cap;
        bucket.level = bucket.level.min(bucket.free().cap);
    }

    /// Sets the limit of a workspace that was added in this epoch. Its pool is full, since no
    /// earlier leader can have granted any of it.
    pub fn add_limit(&mut self, workspace: &Name, rate: RateLimit, now: Millis) {
        let is_known = self.buckets.contains_key(workspace);
        self.set_limit(workspace, rate, now);
        let added = self.buckets.get_mut(workspace).filter(|_| !is_known);
        if let Some(bucket) = added {
            bucket.unknown = Lease::default();
            bucket.level = bucket.cap;
        }
    }

    /// Removes the limit of a workspace. Its leases stay reserved until they
    /// expire, also if the limit is set again.
    pub fn remove_limit(&mut self, workspace: &Name, now: Millis) {
        let none = RateLimit {
            per_second: 0,
            burst: 0,
        };
        self.set_limit(workspace, none, now);
    }

    /// Processes the request of an instance.
    pub fn request(&mut self, now: Millis, request: &GrantRequest) -> GrantReply {
        self.last_replies.retain(|_, s| now < s.until);
        let mut reply = GrantReply {
            instance: request.instance.clone(),
            seq: request.seq,
            epoch: self.config.epoch,
            life_ms: self.config.life_ms,
            grants: Vec::new(),
        };
        match self.last_replies.get(&request.instance) {
            _ if request.epoch != self.config.epoch => return reply,
            Some(s) if request.seq == s.reply.seq => return s.reply.clone(),
            Some(s) if request.seq < s.reply.seq => return reply,
            _ => {}
        }
        self.reported_instances.insert(holder(&request.instance));
        let until = now.plus(self.config.life_ms + self.config.margin_ms);
        for want in &request.wants {
            let grant = match self.buckets.get_mut(&want.workspace) {
                None => Grant {
                    workspace: want.workspace.clone(),
                    retry_ms: self.config.life_ms,
                    ..Grant::default()
                },
                Some(bucket) => {
                    bucket.advance(now, self.ready);
                    bucket.grant(&self.config, &request.instance, want, until)
                }
            };
            reply.grants.push(grant);
        }
        let last_reply = LastReply {
            reply: reply.clone(),
            until,
        };
        self.last_replies
            .insert(request.instance.clone(), last_reply);
        reply
    }
}

// Name of the instance to which a limiter belongs: the limiter identifier without
// the suffix for the start.
fn holder(limiter: &Name) -> Name {
    let parts = limiter.rsplit_once('-');
    parts.map_or_else(|| limiter.clone(), |(name, _)| Name::from(name))
}

/// Refill of a bucket within `ms`, reduced by 1,000 ppm so that a clock that is
/// fast by that much doesn't refill more than the rate.
pub(crate) fn refill(rate: u64, ms: u64) -> u64 {
    rate.saturating_mul(ms) / 1_000 * 999
}

impl Bucket {
    /// Rate and capacity that are neither leased nor reserved for unknown leases.
    fn free(&self) -> Lease {
        Lease {
            rate: (self.rate.saturating_sub(self.unknown.rate))
                .saturating_sub(self.lease_totals.rate),
            cap: (self.cap.saturating_sub(self.unknown.cap)).saturating_sub(self.lease_totals.cap),
            ..Lease::default()
        }
    }

    /// Stores the lease of a limiter and updates the totals.
    fn put(&mut self, instance: &Name, lease: Lease) {
        let old = self
            .leases
            .insert(instance.clone(), lease)
            .unwrap_or_default();
        let until = match self.leases.len() {
            1 => lease.until,
            _ => self.lease_totals.until.min(lease.until),
        };
        self.lease_totals = Lease {
            rate: self.lease_totals.rate - old.rate + lease.rate,
            cap: self.lease_totals.cap - old.cap + lease.cap,
            demand: self.lease_totals.demand - old.demand + lease.demand,
            until,
        };
    }

    fn remove_expired(&mut self, now: Millis) {
        if self.leases.is_empty() || now < self.lease_totals.until {
            return;
        }
        self.leases.retain(|_, l| now < l.until);
        let mut lease_totals = Lease {
            until: Millis(u64::MAX),
            ..Lease::default()
        };
        for lease in self.leases.values() {
            lease_totals.rate += lease.rate;
            lease_totals.cap += lease.cap;
            lease_totals.demand += lease.demand;
            lease_totals.until = lease_totals.until.min(lease.until);
        }
        self.lease_totals = lease_totals;
    }

    fn advance(&mut self, now: Millis, ready: Millis) {
        let free = self.free();
        let refill = refill(free.rate, now.since(self.at));
        let withheld = refill.min(self.withheld_refill);
        self.withheld_refill -= withheld;
        self.level = self.level.saturating_add(refill - withheld);
        self.at = self.at.max(now);
        if self.level >= free.cap {
            // A bucket that is full gains nothing in the rest of this millisecond.
            self.level = free.cap;
            self.at = self.at.max(now.plus(1));
        }
        self.remove_expired(now);
        if now >= ready {
            self.unknown = Lease::default();
        }
    }

    /// Records what an instance holds and has returned. A returned rate refills
    /// the pool from the next millisecond on, since the instance may have used
    /// it in a part of the current one.
    fn record_holdings(&mut self, instance: &Name, want: &WorkspaceDemand, until: Millis) -> Lease {
        let cap = want.cap.max(want.level);
        let before = match self.leases.get(instance) {
            Some(lease) => *lease,
            None => {
                let reported = Lease {
                    rate: want.rate.min(self.unknown.rate),
                    cap: cap.min(self.unknown.cap),
                    ..Lease::default()
                };
                self.unknown.rate -= reported.rate;
                self.unknown.cap -= reported.cap;
                reported
            }
        };
        let held = Lease {
            rate: want.rate.min(before.rate),
            cap: cap.min(before.cap),
            demand: want.demand.min(DEMAND_MAX),
            until,
        };
        self.withheld_refill += before.rate - held.rate;
        self.put(instance, held);
        let returned = want.returned.min(before.cap);
        self.level = self.level.saturating_add(returned).min(self.free().cap);
        held
    }

    /// Returns the lease that an instance should have, given the demands of all.
    fn target(&self, config: &LedgerConfig, instance: &Name) -> Lease {
        let index = self.leases.get_index_of(instance).unwrap_or(0);
        let (demand, sum) = (self.leases[index].demand, self.lease_totals.demand);
        // While leases of earlier epochs are unknown, leases and pool divide only
        // the known part of the burst.
        let known = self.cap.saturating_sub(self.unknown.cap);
        let leased = self.rate / 1_000 * config.leased_rate_per_mille;
        let reserve = self.rate / 1_000 * RESERVE_PER_MILLE;
        let rest = leased.saturating_sub(reserve);
        let share = match sum > rest {
            true => {
                let demands: Vec<u64> = self.leases.values().map(|l| l.demand).collect();
                max_min(rest, &demands)[index]
            }
            false => proportional(rest, &[demand, sum - demand])[0],
        };
        let rate = share + reserve / self.leases.len() as u64;
        let cap = u128::from(known / 1_000 * config.leased_burst_per_mille) * u128::from(rate);
        let cap = (cap / u128::from(leased.max(1))) as u64;
        match cap < TOKEN {
            true => Lease::default(),
            false => Lease {
                rate,
                cap,
                ..Lease::default()
            },
        }
    }

    fn grant(
        &mut self,
        config: &LedgerConfig,
        instance: &Name,
        want: &WorkspaceDemand,
        until: Millis,
    ) -> Grant {
        let held = self.record_holdings(instance, want, until);
        let target = self.target(config, instance);
        let free = self.free();
        let raise = |held: u64, target: u64, free: u64| match target > held {
            true => held + (target - held).min(free),
            false => target,
        };
        let rate = raise(held.rate, target.rate, free.rate);
        // A token stays in the pool for each instance without one. Were all of the burst
        // leased to the instances that ask first, another one would wait until they return
        // it, which takes two round trips.
        let others = self.leases.iter().filter(|(name, _)| *name != instance);
        let without = others.filter(|(_, lease)| lease.cap < TOKEN).count() as u64;
        let leasable = free.cap.saturating_sub(without * TOKEN);
        let cap = raise(held.cap, target.cap, leasable);
        let level = want.level.min(held.cap);
        let wanted = want.wanted.saturating_sub(level);
        let prefetch = want
            .demand
            .saturating_mul(PREFETCH_MS)
            .saturating_sub(level.saturating_sub(want.wanted));
        let tokens = wanted.saturating_add(prefetch.min(self.level / PREFETCH_POOL_DIVISOR));
        // The pool may not hold more tokens than the capacity that remains to it;
        // the excess is granted with the leased capacity.
        let pool_cap = free.cap.saturating_sub(cap.saturating_sub(held.cap));
        let tokens = tokens
            .min(self.level)
            .max(self.level.saturating_sub(pool_cap));
        let tokens = tokens.min((held.cap + free.cap).max(cap) - level);
        self.level -= tokens;
        let lease = Lease {
            rate: rate.max(held.rate),
            cap: cap.max(held.cap).max(level + tokens),
            ..held
        };
        self.put(instance, lease);
        self.level = self.level.min(self.free().cap);
        Grant {
            workspace: want.workspace.clone(),
            rate,
            cap,
            tokens,
            retry_ms: self.retry_ms(want, tokens),
            // A pool that is reserved for unknown leases says nothing of the demand.
            short: self.unknown.cap == 0 && self.level < self.cap / LOW_POOL_DIVISOR,
        }
    }

    /// Retry delay of a workspace that has exhausted its limit; zero while it is
    /// within the limit.
    fn retry_ms(&self, want: &WorkspaceDemand, tokens: u64) -> u64 {
        let demand = self.lease_totals.demand;
        // Demand is averaged over about a second, so the standard deviation of
        // the estimate is the square root of the requests in a second.
        let std_dev = (self.rate as f64 * 1_000.0 / TOKEN as f64).sqrt();
        let noise = (NOISE_STD_DEVS * std_dev * TOKEN as f64 / 1_000.0) as u64;
        match want.wanted > tokens.saturating_add(want.level) && demand > self.rate + noise {
            true => (want.wanted / self.rate.max(1)).clamp(1, 1_000),
            false => 0,
        }
    }
}
