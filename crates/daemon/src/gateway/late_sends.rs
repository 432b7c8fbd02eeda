//! Requests that were written to a server after the document had taken it out.
//!
//! The document is checked right before a request is written. A change that arrives between
//! the check and the write is too late for it.

use pomelovale_state::Name;
use tokio::time::Instant;

use super::Shared;

/// Records when a request was written that was last checked at `checked`.
pub(super) fn record(shared: &Shared, server: &Name, checked: Instant, written: Option<Instant>) {
    let Some(written) = written else {
        return;
    };
    let spent = written.saturating_duration_since(checked);
    metrics::histogram!("gateway_send_seconds").record(spent);
    let Some(departure) = shared.services.departure(server) else {
        return;
    };
    let late = written.into_std().checked_duration_since(departure.at);
    let Some(late) = late.filter(|late| !late.is_zero()) else {
        return;
    };
    metrics::histogram!("gateway_late_send_seconds").record(late);
    let (version, late_ms) = (departure.version, late.as_millis() as u64);
    let send_ms = spent.as_millis() as u64;
    tracing::info!(event = "late-send", version, %server, late_ms, send_ms);
}
