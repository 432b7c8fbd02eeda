//! Health probes of backend servers that are held back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{header, Request, StatusCode};
use http_body_util::Full;
use pomelovale_protocol::header_names::HeaderNames;
use pomelovale_state::Name;
use pomelovale_transport::backend::Connection;

use super::Shared;

/// Longest time for a probe. Probes wait for a slot like other requests.
const PROBE_MS: u64 = 800;

/// Probes a server and tells its service what came of it.
pub(super) async fn run(
    shared: Arc<Shared>,
    service: Name,
    server: Name,
    address: SocketAddr,
    path: String,
) {
    let cold_ms = probe(&shared, &server, address, &path).await;
    let (now, document) = (shared.clock.now(), shared.view.document());
    tracing::info!(event = "probe", service = %service, server = %server, ok = cold_ms.is_some(),
        cold_ms = cold_ms.unwrap_or(0));
    metrics::counter!("gateway_probes_total").increment(1);
    shared.services.with(now, &document, &service, |s| {
        s.placement.record_probe(now, &server, cold_ms);
    });
}

// How long the server stays cold; nothing unless it is sound and the right one.
async fn probe(shared: &Shared, server: &Name, address: SocketAddr, path: &str) -> Option<u64> {
    let limit = Duration::from_millis(shared.config.connect_ms);
    let connection = Connection::open(address, limit).await.ok()?;
    let request = Request::get(path)
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let dialect = &shared.config.dialect;
    let limit = Duration::from_millis(PROBE_MS);
    let sent = connection.send(request, &dialect.request, b"", limit).await;
    let reply = sent.ok()?;
    let headers = &reply.parts.headers;
    let right = headers
        .get(&dialect.instance)
        .is_some_and(|v| v.as_bytes() == server.as_bytes());
    let sound = reply.parts.status == StatusCode::OK && right;
    sound.then(|| HeaderNames::parse_integer(headers, &dialect.cold).unwrap_or(0))
}
