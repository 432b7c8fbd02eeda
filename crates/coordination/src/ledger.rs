//! The leader's rate ledger: divides each workspace's limit between entries.
//!
//! The limit of a workspace is a bucket with a capacity (the burst) and a
//! refill rate. The ledger splits it into leased buckets, one for each entry,
//! and a pool that it keeps. The capacities of all unexpired leases and of the
//! pool never exceed the burst, and their refill rates never exceed the rate.
//! The sum of all levels is therefore at most the burst, rises at most by the
//! rate, and falls by each admission, so that every window of length w admits
//! at most rate * w + burst.
//!
//! A lease ends, on the entry, one life after the request was sent; here, one
//! life (and a margin) after the request was received. A new leader does not
//! know the leases of earlier epochs. It counts the whole limit as leased for
//! one life, except for what entries tell it that they hold: this it renews,
//! and what they release it can lease again. Once all instances that may hold a
//! lease have told what they hold, nothing is left to be unknown.
//!
//! The caller must pass requests only while it is the leader by a quorum proof
//! that is younger than the shortest election timeout, so that all grants of
//! an epoch are made before the ledger of the next epoch is created.

use indexmap::{IndexMap, IndexSet};
use pomelovale_protocol::grants::{Grant, GrantReply, GrantRequest, WorkspaceDemand, TOKEN};
use pomelovale_state::{Millis, Name};

use crate::fairness::{max_min, proportional};

/// The limit of one workspace over all instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rate {
    /// Requests a second.
    pub per_second: u64,
    /// Requests above the rate at one moment.
    pub burst: u64,
}

/// Settings of a ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LedgerConfig {
    /// Epoch of this leader; above that of every earlier leader.
    pub epoch: u64,
    /// Life of a lease.
    pub life_ms: u64,
    /// Added to the life here: rounding and drift of two clocks.
    pub margin_ms: u64,
    /// Time that a new leader counts the leases of earlier epochs as held.
    pub wait_ms: u64,
    /// Part of the rate that is leased, in per mille.
    pub rate_leased: u64,
    /// Part of the burst that is leased, in per mille.
    pub cap_leased: u64,
}

impl LedgerConfig {
    /// The usual settings for a leader of `epoch`.
    pub fn new(epoch: u64) -> LedgerConfig {
        LedgerConfig {
            epoch,
            life_ms: LIFE_MS,
            margin_ms: MARGIN_MS,
            wait_ms: LIFE_MS + MARGIN_MS,
            rate_leased: 1_000,
            cap_leased: 700,
        }
    }
}

/// Life of a lease in milliseconds. It outlasts an interval without a leader
/// (2 s) and the round trips after it.
pub const LIFE_MS: u64 = 4_000;
/// Rounding of two clocks to 1 ms, and 2,000 ppm of drift over one life.
pub const MARGIN_MS: u64 = 10;
/// Part of the rate divided evenly, so that idle entries keep a reserve.
const RESERVE_PER_MILLE: u64 = 50;
/// Share of its demand, in per mille, that an entry is topped up with per
/// millisecond of this time.
const PREFETCH_MS: u64 = 250;

/// Highest demand that is believed, in units per millisecond.
const DEMAND_MAX: u64 = 1 << 40;
/// The pool is short if it holds less than this part of the burst.
const SHORT_PART: u64 = 8;
/// Demand above the rate by this many standard deviations is overload.
const NOISE_ROOTS: f64 = 2.0;
/// A prefetch takes at most this part of the pool.
const PREFETCH_PART: u64 = 12;

#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    rate: u64,
    cap: u64,
    demand: u64,
    until: Millis,
}

/// One workspace.
#[derive(Debug, Default)]
struct Bucket {
    rate: u64,
    cap: u64,
    /// Counted as leased by earlier epochs and not reported yet.
    unknown: Lease,
    leases: IndexMap<Name, Lease>,
    /// Sums over all leases, and a time before which none of them ends.
    sums: Lease,
    level: u64,
    /// Refill that is withheld; see [`Bucket::settle`].
    debt: u64,
    at: Millis,
}

#[derive(Debug)]
struct Seen {
    reply: GrantReply,
    until: Millis,
}

/// Divides the limits of all workspaces; in memory of the leader only.
#[derive(Debug)]
pub struct Ledger {
    config: LedgerConfig,
    ready: Millis,
    buckets: IndexMap<Name, Bucket>,
    seen: IndexMap<Name, Seen>,
    // Instances that told in this epoch what they hold.
    told: IndexSet<Name>,
}

impl Ledger {
    /// A ledger for a leader whose epoch began at `now` or earlier.
    pub fn new(config: LedgerConfig, now: Millis) -> Ledger {
        Ledger {
            config,
            ready: now.plus(config.wait_ms),
            buckets: IndexMap::new(),
            seen: IndexMap::new(),
            told: IndexSet::new(),
        }
    }

    /// Ends the wait for unknown leases if all `holders`, the instances that may
    /// hold one, have told in this epoch what they hold. An instance that has
    /// restarted has lost its leases and tells that it holds none. Returns
    /// whether this ends the wait.
    pub fn release<'a>(
        &mut self,
        now: Millis,
        mut holders: impl Iterator<Item = &'a Name>,
    ) -> bool {
        let released = now < self.ready && holders.all(|name| self.told.contains(name));
        if released {
            self.ready = now;
            let buckets = self.buckets.values_mut();
            buckets.for_each(|b| b.advance(now, now));
        }
        released
    }

    /// Whether an instance has told in this epoch what it holds.
    pub fn has_told(&self, holder: &Name) -> bool {
        self.told.contains(holder)
    }

    /// Sets the limit of a workspace. A lowered limit is in force once the
    /// present leases are renewed or have expired.
    pub fn set_limit(&mut self, workspace: &Name, rate: Rate, now: Millis) {
        let (per_ms, cap) = (rate.per_second * (TOKEN / 1_000), rate.burst * TOKEN);
        let ready = self.ready;
        let bucket = self.buckets.entry(workspace.clone()).or_insert(Bucket {
            at: now,
            ..Bucket::default()
        });
        bucket.advance(now, ready);
        if now < ready {
            // Earlier leaders may have leased by the raised limit already.
            bucket.unknown.rate += per_ms.saturating_sub(bucket.rate);
            bucket.unknown.cap += cap.saturating_sub(bucket.cap);
        }
        bucket.rate = per_ms;
        bucket.cap = cap;
        bucket.level = bucket.level.min(bucket.free().cap);
    }

    /// Removes a workspace; leases of it run out, and count if it is set again.
    pub fn remove_limit(&mut self, workspace: &Name, now: Millis) {
        let none = Rate {
            per_second: 0,
            burst: 0,
        };
        self.set_limit(workspace, none, now);
    }

    /// Processes a request of an entry.
    pub fn request(&mut self, now: Millis, request: &GrantRequest) -> GrantReply {
        self.seen.retain(|_, s| now < s.until);
        let mut reply = GrantReply {
            instance: request.instance.clone(),
            seq: request.seq,
            epoch: self.config.epoch,
            life_ms: self.config.life_ms,
            grants: Vec::new(),
        };
        match self.seen.get(&request.instance) {
            _ if request.epoch != self.config.epoch => return reply,
            Some(s) if request.seq == s.reply.seq => return s.reply.clone(),
            Some(s) if request.seq < s.reply.seq => return reply,
            _ => {}
        }
        self.told.insert(holder(&request.instance));
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
        let seen = Seen {
            reply: reply.clone(),
            until,
        };
        self.seen.insert(request.instance.clone(), seen);
        reply
    }
}

// The name of an instance, without that of its start.
fn holder(limiter: &Name) -> Name {
    let parts = limiter.rsplit_once('-');
    parts.map_or_else(|| limiter.clone(), |(name, _)| Name::from(name))
}

/// Refill of a bucket, less than nominal so that a clock that is fast by up
/// to 1,000 ppm never refills more than the rate.
pub(crate) fn refill(rate: u64, ms: u64) -> u64 {
    rate.saturating_mul(ms) / 1_000 * 999
}

impl Bucket {
    /// What is neither leased nor unknown.
    fn free(&self) -> Lease {
        Lease {
            rate: (self.rate.saturating_sub(self.unknown.rate)).saturating_sub(self.sums.rate),
            cap: (self.cap.saturating_sub(self.unknown.cap)).saturating_sub(self.sums.cap),
            ..Lease::default()
        }
    }

    fn put(&mut self, instance: &Name, lease: Lease) {
        let old = self
            .leases
            .insert(instance.clone(), lease)
            .unwrap_or_default();
        let until = match self.leases.len() {
            1 => lease.until,
            _ => self.sums.until.min(lease.until),
        };
        self.sums = Lease {
            rate: self.sums.rate - old.rate + lease.rate,
            cap: self.sums.cap - old.cap + lease.cap,
            demand: self.sums.demand - old.demand + lease.demand,
            until,
        };
    }

    fn remove_expired(&mut self, now: Millis) {
        if self.leases.is_empty() || now < self.sums.until {
            return;
        }
        self.leases.retain(|_, l| now < l.until);
        let mut sums = Lease {
            until: Millis(u64::MAX),
            ..Lease::default()
        };
        for lease in self.leases.values() {
            sums.rate += lease.rate;
            sums.cap += lease.cap;
            sums.demand += lease.demand;
            sums.until = sums.until.min(lease.until);
        }
        self.sums = sums;
    }

    fn advance(&mut self, now: Millis, ready: Millis) {
        let free = self.free();
        let refill = refill(free.rate, now.since(self.at));
        let paid = refill.min(self.debt);
        self.debt -= paid;
        self.level = self.level.saturating_add(refill - paid);
        self.at = self.at.max(now);
        if self.level >= free.cap {
            // The rest of the current millisecond doesn't refill a full bucket.
            self.level = free.cap;
            self.at = self.at.max(now.plus(1));
        }
        self.remove_expired(now);
        if now >= ready {
            self.unknown = Lease::default();
        }
    }

    /// Takes note of what an entry holds and has given back. A rate that is
    /// given back refills the pool from the next millisecond on, since the
    /// current one may have begun before the entry gave it up.
    fn settle(&mut self, instance: &Name, want: &WorkspaceDemand, until: Millis) -> Lease {
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
        self.debt += before.rate - held.rate;
        self.put(instance, held);
        let returned = want.returned.min(before.cap);
        self.level = self.level.saturating_add(returned).min(self.free().cap);
        held
    }

    /// The lease that an entry should have in view of all demands.
    fn target(&self, config: &LedgerConfig, instance: &Name) -> Lease {
        let index = self.leases.get_index_of(instance).unwrap_or(0);
        let (claim, sum) = (self.leases[index].demand, self.sums.demand);
        // A new leader keeps a pool of what was reported, not of the whole limit.
        let known = self.cap.saturating_sub(self.unknown.cap);
        let leased = self.rate / 1_000 * config.rate_leased;
        let reserve = self.rate / 1_000 * RESERVE_PER_MILLE;
        let rest = leased.saturating_sub(reserve);
        let share = match sum > rest {
            true => {
                let claims: Vec<u64> = self.leases.values().map(|l| l.demand).collect();
                max_min(rest, &claims)[index]
            }
            false => proportional(rest, &[claim, sum - claim])[0],
        };
        let rate = share + reserve / self.leases.len() as u64;
        let cap = u128::from(known / 1_000 * config.cap_leased) * u128::from(rate);
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
        let held = self.settle(instance, want, until);
        let target = self.target(config, instance);
        let free = self.free();
        let raise = |held: u64, target: u64, free: u64| match target > held {
            true => held + (target - held).min(free),
            false => target,
        };
        let rate = raise(held.rate, target.rate, free.rate);
        let cap = raise(held.cap, target.cap, free.cap);
        let level = want.level.min(held.cap);
        let wanted = want.wanted.saturating_sub(level);
        let ahead = want
            .demand
            .saturating_mul(PREFETCH_MS)
            .saturating_sub(level.saturating_sub(want.wanted));
        let tokens = wanted.saturating_add(ahead.min(self.level / PREFETCH_PART));
        // Leased capacity leaves with the tokens that it holds.
        let room = free.cap.saturating_sub(cap.saturating_sub(held.cap));
        let tokens = tokens.min(self.level).max(self.level.saturating_sub(room));
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
            short: self.level < self.cap / SHORT_PART,
        }
    }

    /// Zero while the workspace is within its limit.
    fn retry_ms(&self, want: &WorkspaceDemand, tokens: u64) -> u64 {
        let demand = self.sums.demand;
        // Demand is an average over about a second, so its estimate varies by
        // the root of the number of requests in a second.
        let second = (self.rate as f64 * 1_000.0 / TOKEN as f64).sqrt();
        let noise = (NOISE_ROOTS * second * TOKEN as f64 / 1_000.0) as u64;
        match want.wanted > tokens.saturating_add(want.level) && demand > self.rate + noise {
            true => (want.wanted / self.rate.max(1)).clamp(1, 1_000),
            false => 0,
        }
    }
}
