//! Timeouts of callers' connections, as the routing table in force sets them.

use pomelovale_state::routing::CallerLimits;
use pomelovale_state::Millis;
use pomelovale_transport::http_server::{Timeouts, TimeoutsHandle};

/// Longest time that a request may be under way, in milliseconds. Callers keep to the
/// timeouts when they send; a request that meets the close of its connection is lost.
const TRANSIT_MS: u64 = 1_000;

/// Follows the timeouts of the routing table.
#[derive(Debug)]
pub(super) struct CallerTimeouts {
    handle: TimeoutsHandle,
    // `None` until there is a routing table.
    idle_ms: Option<u64>,
    // Idle timeouts that were replaced, and when. A caller whose connection became idle
    // before may still rely on them.
    replaced: Vec<(u64, Millis)>,
}

impl CallerTimeouts {
    /// Sets the default timeouts, which apply until there is a routing table.
    pub(super) fn new(handle: TimeoutsHandle) -> CallerTimeouts {
        let timeouts = CallerTimeouts {
            handle,
            idle_ms: None,
            replaced: Vec::new(),
        };
        let limits = CallerLimits::default();
        timeouts.set(limits.head_ms, limits.idle_ms);
        timeouts
    }

    /// Applies the limits of a routing table. A longer idle timeout applies at once, a
    /// shorter one when the time of the longer one has passed.
    pub(super) fn follow(&mut self, now: Millis, limits: &CallerLimits) {
        let before = self.idle_ms.replace(limits.idle_ms);
        if let Some(idle_ms) = before.filter(|ms| *ms != limits.idle_ms) {
            self.replaced.push((idle_ms, now));
        }
        self.replaced
            .retain(|(idle_ms, at)| now.since(*at) < *idle_ms);
        let replaced = self.replaced.iter().map(|(idle_ms, _)| *idle_ms);
        self.set(limits.head_ms, replaced.fold(limits.idle_ms, u64::max));
    }

    fn set(&self, head_ms: u64, idle_ms: u64) {
        self.handle.set(Timeouts {
            head_ms: head_ms.saturating_add(TRANSIT_MS),
            idle_ms: idle_ms.saturating_add(TRANSIT_MS),
        });
    }
}
