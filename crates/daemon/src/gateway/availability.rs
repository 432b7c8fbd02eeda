//! What backend servers tell this gateway about sending them requests.

use std::net::SocketAddr;
use std::time::SystemTime;

use http::{header, response, HeaderMap, StatusCode};
use pomelovale_protocol::header_names::HeaderNames;
use pomelovale_state::{Millis, Name};
use pomelovale_steering::placement::{LoadReport, ServerReport};
use pomelovale_steering::server_limit::LimitNotice;

use super::Shared;

/// Whether a server wants requests of this gateway, as far as is known.
pub(super) fn is_open(shared: &Shared, service: &Name, server: &Name) -> bool {
    let (now, document) = (shared.clock.now(), shared.view.document());
    let open = shared.services.with(now, &document, service, |s| {
        s.placement.is_open(now, server)
    });
    open.unwrap_or(true)
}

/// Whether the server closes the connection behind an answer. One that leaves does, others do
/// so as well at times.
pub(super) fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut options = values.flat_map(|v| v.as_bytes().split(|b| *b == b','));
    options.any(|o| o.trim_ascii().eq_ignore_ascii_case(b"close"))
}

/// Records what the answer to a probe that was sent at `sent` says.
pub(super) fn record_probe(
    shared: &Shared,
    service: &Name,
    (server, address): (&Name, SocketAddr),
    sent: Millis,
    parts: &response::Parts,
) {
    record(shared, service, (server, address), parts);
    let report = report(&shared.config.header_names, parts);
    let pace = report.load.and_then(|load| load.pace);
    // A server need not name its limit to probes.
    let limit = match report.limit {
        limit @ LimitNotice::Limited(_) => Some(limit),
        LimitNotice::Unknown | LimitNotice::Unlimited => None,
    };
    let (now, document) = (shared.clock.now(), shared.view.document());
    let changed = shared.services.with(now, &document, service, |s| {
        if let Some(percent) = pace {
            s.placement.record_pace(now, server, percent);
        }
        if let Some(limit) = limit {
            s.placement.record_limit(now, sent, server, limit);
        }
        s.placement.take_limit_change()
    });
    super::report_changed_limit(shared, service, changed.flatten());
}

/// Records what an answer says. Returns whether its server asks for rest.
pub(super) fn record(
    shared: &Shared,
    service: &Name,
    (server, address): (&Name, SocketAddr),
    parts: &response::Parts,
) -> bool {
    let (now, document) = (shared.clock.now(), shared.view.document());
    // Another server may answer in its place.
    let is_own = parts.status != StatusCode::MISDIRECTED_REQUEST;
    let leaves = is_own && shared.config.header_names.says_leaving(&parts.headers);
    let is_refusal = parts.status == StatusCode::SERVICE_UNAVAILABLE;
    let is_doubtful = !is_own || is_refusal || closes(&parts.headers);
    let is_new = shared.services.with(now, &document, service, |s| {
        if is_doubtful {
            s.placement.record_doubt(server);
        }
        leaves && s.placement.record_leaving(now, server)
    });
    if is_new == Some(true) {
        metrics::counter!("servers_leaving_total").increment(1);
        tracing::info!(event = "server-leaving", %service, %server);
    }
    let Some(rest_ms) = HeaderNames::rest_ms(parts, SystemTime::now()) else {
        return false;
    };
    shared.reach.record_rest(address, rest_ms);
    let began = shared.services.with(now, &document, service, |s| {
        s.placement.record_rest(now, server, rest_ms)
    });
    if began == Some(true) {
        metrics::counter!("server_rests_total").increment(1);
        tracing::info!(event = "server-rest", %service, %server, rest_ms);
    }
    true
}

/// Reads what an answer says about its server. Only an answer that proves to be the
/// server's own shows that a limit has ended; an answer of another server in its place says
/// nothing.
pub(super) fn report(names: &HeaderNames, parts: &response::Parts) -> ServerReport {
    // Another server may answer in its place.
    let is_expected = parts.status != StatusCode::MISDIRECTED_REQUEST;
    let load = names.load(&parts.headers).map(|load| LoadReport {
        pace: load.pace.filter(|_| is_expected),
        ..load
    });
    let is_own = parts.headers.contains_key(&names.proof);
    let limit = match names.limit(&parts.headers) {
        _ if parts.status == StatusCode::MISDIRECTED_REQUEST => LimitNotice::Unknown,
        LimitNotice::Unlimited if !is_own => LimitNotice::Unknown,
        limit => limit,
    };
    ServerReport { load, limit }
}
