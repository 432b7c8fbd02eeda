//! Limit that a backend server in need names for the requests of all instances together.
//!
//! A server names its limit in its answers for as long as it applies, so that only
//! instances that send to it learn of its start, its changes and its end. They report
//! these to the leader, which records them in the document. For each limited server, all
//! instances agree on the few that may send to it and on their shares, by its location and
//! the list of instances. An instance without a current view can't know whether another
//! one has taken its place; it uses an equal part, as if all instances were isolated.
//!
//! A share starts without tokens: otherwise each start of a share would add a burst.

use pomelovale_state::Millis;
use serde::{Deserialize, Serialize};

/// Limits above this are no restriction, in thousandths of a request per second.
pub const LIMIT_MAX: u64 = 10_000_000;
/// Lowest rate at which a limited server is sent requests, in thousandths of a request per
/// second. Without any, the end of its limit would not be noticed.
const TRIAL_RATE: u64 = 250;
/// Part of a limit that is used.
const UTILIZATION: f64 = 0.95;
/// Time for which unused tokens are kept, in milliseconds.
const BURST_MS: f64 = 500.0;
/// Time for which an answer counts for more than the document, in milliseconds: longer
/// than a report takes to get there and back. A document that isn't known as of that long
/// after the answer doesn't end a limit either.
const NOTICE_MS: u64 = 3_000;
/// Time for which a limit is kept since it was last named, in milliseconds. A server need
/// not name it in each answer, and answers to requests from before its start are late.
pub const HOLD_MS: u64 = 2_500;
/// Successive answers without a limit after which it ends. At a low limit each answer comes
/// later than `HOLD_MS` after the one before, so that time alone shows no end.
const SILENT_MIN: u32 = 3;

/// What an answer of a server says about its limit.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum LimitNotice {
    /// A limit, in thousandths of a request per second.
    Limited(u64),
    /// Nothing, or nothing that can be understood.
    #[default]
    Unknown,
    /// The server names no limit.
    Unlimited,
}

/// Shares of one instance in the limit of a server, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitShare {
    /// Share while the view of this instance is current.
    pub current: f64,
    /// Share otherwise.
    pub isolated: f64,
}

impl LimitShare {
    /// The shares of the instance `own`. `instances` lists those that may send requests,
    /// each with whether it is one of those that use the limit.
    pub fn of<T: PartialEq>(own: &T, instances: &[(T, bool)]) -> LimitShare {
        let users = instances.iter().filter(|(_, uses)| *uses).count();
        let uses = instances.iter().any(|(name, uses)| name == own && *uses);
        LimitShare {
            current: match uses {
                true => 1.0 / users as f64,
                false => 0.0,
            },
            isolated: 1.0 / instances.len().max(1) as f64,
        }
    }
}

/// What an answer that counts said.
#[derive(Clone, Copy, Debug)]
struct Noticed {
    rate: Option<u64>,
    /// When the request was sent, since answers come out of order.
    sent: Millis,
    /// When the answer came.
    at: Millis,
}

/// Limit of one server, as one instance applies it.
#[derive(Clone, Debug, Default)]
pub struct ServerLimit {
    recorded: Option<u64>,
    noticed: Option<Noticed>,
    // When the limit in force started here or was last named.
    named_at: Millis,
    // Answers without a limit since `HOLD_MS` after it was last named.
    silent: u32,
    share: LimitShare,
    // Time as of which the document is known.
    known_at: Millis,
    is_isolated: bool,
    tokens: f64,
    refilled_at: Millis,
}

impl ServerLimit {
    /// The limit in force, in thousandths of a request per second.
    pub fn rate(&self, now: Millis) -> Option<u64> {
        match self.noticed {
            Some(notice) if now.since(notice.at) < NOTICE_MS => notice.rate,
            // The document need not show the notice yet.
            Some(notice) if self.known_at.since(notice.at) < NOTICE_MS => {
                [notice.rate, self.recorded].into_iter().flatten().min()
            }
            Some(_) | None => self.recorded,
        }
    }

    fn share(&self) -> f64 {
        match self.is_isolated {
            true => self.share.isolated,
            false => self.share.current,
        }
    }

    // Applies a change. A share that starts with it has no tokens.
    fn change(&mut self, now: Millis, apply: impl FnOnce(&mut ServerLimit)) {
        let before = self.rate(now).map(|_| self.share());
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
        apply(self);
        let after = self.rate(now).map(|_| self.share());
        if before != after {
            self.tokens = 0.0;
        }
        if before.is_none() && after.is_some() {
            self.named_at = now;
            self.silent = 0;
        }
    }

    /// Applies what the answer to a request says that was sent at `sent`. Returns whether a
    /// limit has started or ended by it.
    pub fn record_notice(&mut self, now: Millis, sent: Millis, notice: LimitNotice) -> bool {
        let rate = match notice {
            LimitNotice::Unknown => return false,
            LimitNotice::Limited(rate) => Some(rate),
            LimitNotice::Unlimited => None,
        };
        let before = self.rate(now);
        let counts = match rate {
            // A request from before the end of a limit may still name it.
            Some(_) => !self
                .noticed
                .is_some_and(|n| n.rate.is_none() && sent < n.sent),
            None => before.is_some() && self.is_over(now, sent),
        };
        if !counts {
            return false;
        }
        if rate.is_some() {
            self.named_at = now;
            self.silent = 0;
        }
        let noticed = Noticed {
            rate,
            sent,
            at: now,
        };
        self.change(now, |l| l.noticed = Some(noticed));
        before.is_some() != rate.is_some()
    }

    // Counts an answer that names no limit. Returns whether the limit is over; until then
    // another request may be sent at once to confirm it.
    fn is_over(&mut self, now: Millis, sent: Millis) -> bool {
        if sent < self.named_at || now.since(self.named_at) < HOLD_MS {
            return false;
        }
        self.silent += 1;
        self.tokens = self.tokens_at(now).max(1.0);
        self.refilled_at = now;
        self.silent >= SILENT_MIN
    }

    /// Sets the limit that the document holds.
    pub fn set_recorded(&mut self, now: Millis, recorded: Option<u64>) {
        if self.recorded != recorded {
            self.change(now, |l| l.recorded = recorded);
        }
    }

    /// Sets the shares of this instance.
    pub fn set_share(&mut self, now: Millis, share: LimitShare) {
        if self.share != share {
            self.change(now, |l| l.share = share);
        }
    }

    /// Sets the time as of which the document is known, and whether that is too long ago.
    pub fn set_view(&mut self, now: Millis, known_at: Millis, is_isolated: bool) {
        self.change(now, |l| {
            l.known_at = known_at;
            l.is_isolated = is_isolated;
        });
    }

    // Requests a second that this instance may send, if the server is limited.
    fn allowance(&self, now: Millis) -> Option<f64> {
        let rate = self.rate(now)?.max(TRIAL_RATE) as f64 / 1_000.0;
        Some(rate * UTILIZATION * self.share())
    }

    fn tokens_at(&self, now: Millis) -> f64 {
        let Some(allowance) = self.allowance(now) else {
            return 0.0;
        };
        let per_ms = allowance / 1_000.0;
        let refilled = self.tokens + now.since(self.refilled_at) as f64 * per_ms;
        refilled.min(1.0 + per_ms * BURST_MS)
    }

    /// Whether a request may be sent to the server now.
    pub fn may_send(&self, now: Millis) -> bool {
        self.rate(now).is_none() || self.share() > 0.0 && self.tokens_at(now) >= 1.0
    }

    /// Records that a request is sent.
    pub fn record_send(&mut self, now: Millis) {
        if self.rate(now).is_some() {
            self.tokens = self.tokens_at(now) - 1.0;
            self.refilled_at = now;
        }
    }

    /// The limit by a recent answer and the age of the answer in milliseconds, for the
    /// leader.
    pub fn notice(&self, now: Millis) -> Option<(Option<u64>, u64)> {
        let notice = self.noticed?;
        let age_ms = now.since(notice.at);
        (age_ms < NOTICE_MS).then_some((notice.rate, age_ms))
    }
}
