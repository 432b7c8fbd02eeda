//! Timeouts of callers' connections, as the routing table in force sets them.

use pomelovale_state::routing::CallerLimits;
use pomelovale_transport::http_server::Timeouts;

/// Longest time that a request may be under way, in milliseconds. Callers keep to the
/// timeouts when they send; a request that meets the close of its connection is lost.
const TRANSIT_MS: u64 = 1_000;

/// The timeouts that a server needs for the limits of a routing table.
pub(super) fn of(limits: &CallerLimits) -> Timeouts {
    Timeouts {
        head_ms: limits.head_ms.saturating_add(TRANSIT_MS),
        idle_ms: limits.idle_ms.saturating_add(TRANSIT_MS),
    }
}
