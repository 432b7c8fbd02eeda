//! Health probes of suspended backend servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{header, Request, StatusCode};
use http_body_util::Full;
use pomelovale_protocol::header_names::HeaderNames;
use pomelovale_state::Name;
use pomelovale_transport::backend::Connection;

use super::{availability, Shared};

/// Timeout of a probe, in milliseconds. On the server, probes wait for a slot
/// like other requests.
const PROBE_TIMEOUT_MS: u64 = 800;

/// Probes a server and records the result in the placement of its service.
pub(super) async fn run(
    shared: Arc<Shared>,
    service: Name,
    server: Name,
    address: SocketAddr,
    path: String,
) {
    let cold_ms = probe(&shared, &service, &server, address, &path).await;
    let (now, document) = (shared.clock.now(), shared.view.document());
    tracing::info!(event = "probe", service = %service, server = %server, ok = cold_ms.is_some(),
        cold_ms = cold_ms.unwrap_or(0));
    metrics::counter!("gateway_probes_total").increment(1);
    shared.services.with(now, &document, &service, |s| {
        s.placement.record_probe(now, &server, cold_ms);
    });
}

// Returns how long the server stays cold, in milliseconds, or `None` if it is
// unhealthy or another backend server has responded.
async fn probe(
    shared: &Shared,
    service: &Name,
    server: &Name,
    address: SocketAddr,
    path: &str,
) -> Option<u64> {
    let limit = Duration::from_millis(shared.config.connect_ms);
    let connection = Connection::open(address, limit).await.ok()?;
    let request = Request::get(path)
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let header_names = &shared.config.header_names;
    let limit = Duration::from_millis(PROBE_TIMEOUT_MS);
    let sent_at = shared.clock.now();
    let sent = connection
        .send(request, &header_names.request, b"", limit)
        .await;
    let reply = sent.ok()?;
    // A server that refuses a probe may ask for rest, too.
    availability::record_probe(shared, service, (server, address), sent_at, &reply.parts);
    let headers = &reply.parts.headers;
    let is_expected_server = headers
        .get(&header_names.instance)
        .is_some_and(|v| v.as_bytes() == server.as_bytes());
    let healthy = reply.parts.status == StatusCode::OK
        && is_expected_server
        && !header_names.says_leaving(headers);
    healthy.then(|| HeaderNames::parse_integer(headers, &header_names.cold).unwrap_or(0))
}
