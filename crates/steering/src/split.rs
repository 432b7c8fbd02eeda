//! Deterministic split of a service's traffic during a move.
//!
//! Each service has a credit in per mille of a request. Every request adds the
//! current share to it, and every request sent to the destination subtracts one
//! whole request. At any time, the number of requests moved so far therefore
//! exceeds the sum of the shares by at most one, however the shares change.

use indexmap::IndexMap;
use pomelovale_state::moves::FULL_SHARE;
use pomelovale_state::Name;

const REQUEST_CREDIT: i32 = FULL_SHARE as i32;

/// Splits the traffic of one entry between source and destination of a move.
#[derive(Clone, Debug, Default)]
pub struct Split {
    credits: IndexMap<Name, i32>,
}

impl Split {
    /// A split without credit for any service.
    pub fn new() -> Split {
        Split::default()
    }

    /// Whether the next request of a service goes to the destination. `share` is
    /// in per mille. Must be called exactly once for each request.
    pub fn try_move(&mut self, service: &Name, share: u16) -> bool {
        let share = i32::from(share.min(FULL_SHARE));
        let credit = self.credit(service);
        // The credit is below one request before the share is added, so it never
        // exceeds this bound, and is below one request again after the subtraction.
        *credit = (*credit + share).min(2 * REQUEST_CREDIT - 1);
        let moved = share > 0 && *credit >= REQUEST_CREDIT;
        if moved {
            *credit -= REQUEST_CREDIT;
        }
        moved
    }

    /// Whether a request that was not moved may spill to the destination of the
    /// current move. Spills use the same credit, and may overdraw it by one
    /// request.
    pub fn try_spill(&mut self, service: &Name) -> bool {
        let credit = self.credit(service);
        let allowed = *credit >= 0;
        if allowed {
            *credit -= REQUEST_CREDIT;
        }
        allowed
    }

    /// Returns the credit of a request for which [`Split::try_move`] returned true, but
    /// that was not sent to the destination.
    /// The credit stays below one request, so that no burst follows.
    pub fn refund(&mut self, service: &Name) {
        let credit = self.credit(service);
        *credit = (*credit + REQUEST_CREDIT).min(REQUEST_CREDIT - 1);
    }

    /// Removes the credit of a service whose move has ended.
    pub fn forget(&mut self, service: &Name) {
        self.credits.swap_remove(service);
    }

    fn credit(&mut self, service: &Name) -> &mut i32 {
        if !self.credits.contains_key(service) {
            self.credits.insert(service.clone(), 0);
        }
        &mut self.credits[service]
    }
}
