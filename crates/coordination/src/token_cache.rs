//! Tokens of workspaces that a gateway holds in advance of the requests that use them, so
//! that these are admitted without a round trip to the control instance.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use pomelovale_state::{Millis, Name};

/// Lifetime of tokens, from the time of the request for them. The control instance keeps
/// the capacity of their bucket reserved for as long after it granted them, which is later.
pub const TOKEN_LIFE_MS: u64 = 250;
/// Tokens are held for the expected demand of this time. Covers a round trip to the control
/// instance on a link of 6.7 Mbit/s, of which three in four take less than 76 ms.
const LOOKAHEAD_MS: f64 = 150.0;
/// Time constant of the average demand.
const DEMAND_TIME_CONSTANT_MS: f64 = 500.0;
/// Time constant of the sums of granted and of expired tokens.
const EXPIRY_TIME_CONSTANT_MS: f64 = 2_000.0;
/// Fewer tokens are held if more than this fraction of them expired unused.
const EXPIRED_MAX: f64 = 0.25;
/// Factor of the tokens held while too many expire.
const REDUCED: f64 = 0.5;
/// Time after which an unanswered request for tokens no longer counts.
const UNANSWERED_MS: u64 = 330;
/// Pause after a request for tokens that was answered without any: the workspace has few
/// left, and requests that ask on their own get them sooner.
const EMPTY_PAUSE_MS: u64 = 100;
/// Time without requests after which a workspace is forgotten.
const IDLE_MS: u64 = 10_000;

/// Whether a request was admitted with a token in hand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Taken {
    /// A token was used.
    Granted,
    /// No token is in hand: the control instance must be asked.
    Ask,
}

/// Sum that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct Decaying {
    sum: f64,
    at: Millis,
}

impl Decaying {
    fn at(self, now: Millis, constant_ms: f64) -> f64 {
        self.sum * (-(now.since(self.at) as f64) / constant_ms).exp()
    }

    fn add(&mut self, now: Millis, amount: f64, constant_ms: f64) {
        self.sum = self.at(now, constant_ms) + amount;
        self.at = now;
    }
}

/// What is known of one workspace.
#[derive(Debug, Default)]
struct Holding {
    /// Expiry and number of tokens in hand, by expiry.
    tokens: VecDeque<(Millis, u32)>,
    /// Requests of about the last [`DEMAND_TIME_CONSTANT_MS`].
    demand: Decaying,
    granted: Decaying,
    expired: Decaying,
    /// Tokens asked for that weren't answered yet, and until when they count.
    asked: u32,
    asked_until: Millis,
    /// No tokens are asked for before this time.
    paused_until: Millis,
    last_used: Millis,
}

impl Holding {
    fn remove_expired(&mut self, now: Millis) {
        while let Some(&(until, count)) = self.tokens.front().filter(|t| t.0 <= now) {
            self.tokens.pop_front();
            let count = f64::from(count);
            self.expired.add(until, count, EXPIRY_TIME_CONSTANT_MS);
        }
        if self.asked_until <= now {
            self.asked = 0;
        }
    }

    // How many tokens should be in hand or on their way.
    fn target(&self, now: Millis) -> u32 {
        let demand = self.demand.at(now, DEMAND_TIME_CONSTANT_MS) / DEMAND_TIME_CONSTANT_MS;
        let granted = self.granted.at(now, EXPIRY_TIME_CONSTANT_MS);
        let expired = self.expired.at(now, EXPIRY_TIME_CONSTANT_MS);
        let factor = match expired > granted * EXPIRED_MAX {
            true => REDUCED,
            false => 1.0,
        };
        match demand * TOKEN_LIFE_MS as f64 >= 1.0 {
            true => (demand * LOOKAHEAD_MS * factor).round() as u32,
            false => 0,
        }
    }
}

/// Tokens that a gateway holds for the workspaces whose requests it receives.
#[derive(Debug, Default)]
pub struct TokenCache {
    holdings: IndexMap<Name, Holding>,
    /// Workspaces whose tokens may be due since [`TokenCache::due`] was called last.
    changed: IndexSet<Name>,
    /// When idle workspaces were looked for last.
    cleaned: Millis,
}

impl TokenCache {
    /// Admits a request with a token in hand if there is one, and counts it towards the
    /// demand of its workspace.
    pub fn take(&mut self, now: Millis, workspace: &Name) -> Taken {
        if now.since(self.cleaned) >= IDLE_MS {
            self.cleaned = now;
            self.holdings
                .retain(|_, h| now.since(h.last_used) < IDLE_MS);
        }
        let holding = self.holdings.entry(workspace.clone()).or_default();
        holding.remove_expired(now);
        holding.demand.add(now, 1.0, DEMAND_TIME_CONSTANT_MS);
        holding.last_used = now;
        self.changed.insert(workspace.clone());
        match holding.tokens.front_mut() {
            None => Taken::Ask,
            Some((_, 1)) => {
                holding.tokens.pop_front();
                Taken::Granted
            }
            Some((_, count)) => {
                *count -= 1;
                Taken::Granted
            }
        }
    }

    /// Returns a workspace for which tokens are to be prefetched, and how many. They count
    /// as asked for until [`TokenCache::put`] is called.
    pub fn due(&mut self, now: Millis) -> Option<(Name, u32)> {
        while let Some(workspace) = self.changed.pop() {
            let Some(holding) = self.holdings.get_mut(&workspace) else {
                continue;
            };
            holding.remove_expired(now);
            let target = holding.target(now);
            let in_hand: u32 = holding.tokens.iter().map(|t| t.1).sum();
            let held = in_hand + holding.asked;
            // Half of the target at a time, so that there are fewer messages than tokens.
            if now >= holding.paused_until && held < target {
                let count = target - held;
                holding.asked += count;
                holding.asked_until = now.plus(UNANSWERED_MS);
                return Some((workspace, count));
            }
        }
        None
    }

    /// Adds `count` tokens that were prefetched for a workspace and that can be used for
    /// another `life_ms`. A count of 0 is the answer that there are none.
    pub fn put(&mut self, now: Millis, workspace: &Name, count: u32, life_ms: u64) {
        let Some(holding) = self.holdings.get_mut(workspace) else {
            return;
        };
        holding.remove_expired(now);
        holding.asked = 0;
        if count == 0 {
            holding.paused_until = now.plus(EMPTY_PAUSE_MS);
            return;
        }
        let added = f64::from(count);
        holding.granted.add(now, added, EXPIRY_TIME_CONSTANT_MS);
        let until = now.plus(life_ms.min(TOKEN_LIFE_MS));
        let later = holding.tokens.iter().position(|t| t.0 > until);
        let at = later.unwrap_or(holding.tokens.len());
        holding.tokens.insert(at, (until, count));
        self.changed.insert(workspace.clone());
    }
}
