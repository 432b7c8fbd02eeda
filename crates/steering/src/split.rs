//! Deterministic split of a service's traffic during a move.
//!
//! Each service has a credit in per mille of a request. Every request adds the
//! share in force, and every request sent to the destination takes one whole
//! request away, so the number moved never exceeds the sum of the shares by
//! more than one in any prefix, whatever the shares were.

use indexmap::IndexMap;
use pomelovale_state::moves::FULL_SHARE;
use pomelovale_state::Name;

const REQUEST: i32 = FULL_SHARE as i32;

/// Splits the traffic of one entry.
#[derive(Clone, Debug, Default)]
pub struct Split {
    credits: IndexMap<Name, i32>,
}

impl Split {
    /// A split with no credit for any service.
    pub fn new() -> Split {
        Split::default()
    }

    /// Whether the next request of a service goes to the destination, at a
    /// share in per mille. Call exactly once for each request.
    pub fn pick(&mut self, service: &Name, share: u16) -> bool {
        let share = i32::from(share.min(FULL_SHARE));
        let credit = self.credit(service);
        *credit = (*credit + share).min(2 * REQUEST - 1);
        let moved = share > 0 && *credit >= REQUEST;
        if moved {
            *credit -= REQUEST;
        }
        moved
    }

    /// Whether a request that was not picked may spill to the destination of
    /// the move in force. Taken from the same credit, at most one in advance.
    pub fn try_spill(&mut self, service: &Name) -> bool {
        let credit = self.credit(service);
        let allowed = *credit >= 0;
        if allowed {
            *credit -= REQUEST;
        }
        allowed
    }

    /// Records that a picked request was not sent to the destination after
    /// all. At most one request of credit is kept, so that no burst follows.
    pub fn give_back(&mut self, service: &Name) {
        let credit = self.credit(service);
        *credit = (*credit + REQUEST).min(REQUEST - 1);
    }

    /// Forgets a service whose move has ended.
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
