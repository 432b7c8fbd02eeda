//! What is done while nothing is heard of servers that leave.
//!
//! A gateway that knows the list only as of too long ago can't know whether a server has left.
//! It asks each server by a health probe, on the connection of a request, and uses it for a
//! while if that shows that it stays. Answers to requests don't: a server that leaves may go on
//! to answer them as before.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{header, Request, StatusCode};
use http_body_util::Full;
use pomelovale_coordination::server_list::LIST_AGE_MAX_MS;
use pomelovale_state::Name;
use pomelovale_steering::placement::Chosen;
use pomelovale_transport::backend::Connection;
use tokio::time::Instant;

use super::attempt::RoutedRequest;
use super::services::Service;
use super::{availability, Shared};
use crate::entry::forward::{buffer_body, BufferedBody};

/// Timeout for the answer of a server that is asked whether it stays, in milliseconds. On the
/// server, probes wait for a slot like other requests.
const CHECK_MS: u64 = 400;
/// Largest body of such an answer, in bytes.
const CHECK_BYTES: usize = 16 * 1024;

/// What the answer to a probe shows about its server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Shown {
    Leaves,
    Nothing,
    Stays,
}

/// Whether this instance knows which servers leave, up to the time that a request takes to its
/// server. Without an external list, the document alone shows it.
fn knows_leaving(shared: &Shared) -> bool {
    let now = shared.clock.now();
    let age_ms = match shared.config.has_list {
        true => shared.view.list().age_ms(now),
        false => Some(shared.view.age(now)),
    };
    age_ms.is_some_and(|age_ms| age_ms <= LIST_AGE_MAX_MS)
}

/// Returns the connection if the request may be sent on it: this instance knows which servers
/// leave, or the server has shown that it stays.
pub(super) async fn confirm_staying(
    shared: &Arc<Shared>,
    routed: &RoutedRequest,
    chosen: &Chosen,
    connection: Connection,
) -> Option<Connection> {
    if knows_leaving(shared) {
        return Some(connection);
    }
    let now = shared.clock.now();
    let document = shared.view.document();
    let state = shared.services.with(now, &document, &routed.service, |s| {
        let stays = s.placement.is_staying(now, &chosen.server);
        (stays, stays || s.placement.take_check(now, &chosen.server))
    });
    let (stays, may_check) = state?;
    if stays {
        return Some(connection);
    }
    let checked = match may_check {
        true => {
            let limit = Duration::from_millis(CHECK_MS).min(routed.left());
            check(shared, routed, chosen, connection, limit).await
        }
        false => {
            shared.connections.pool.put(chosen.address, connection);
            None
        }
    };
    if may_check && checked.is_none() {
        let now = shared.clock.now();
        shared.services.with(now, &document, &routed.service, |s| {
            s.placement.record_unconfirmed(now, &chosen.server)
        });
    }
    let result = match checked {
        Some(_) => "stays",
        None if may_check => "unknown",
        None => "not-asked",
    };
    metrics::counter!("departure_checks_total", "result" => result).increment(1);
    checked
}

async fn check(
    shared: &Arc<Shared>,
    routed: &RoutedRequest,
    chosen: &Chosen,
    connection: Connection,
    limit: Duration,
) -> Option<Connection> {
    let end = Instant::now() + limit;
    let path: &Name = &routed.probe;
    let request = Request::get(path.as_str())
        .header(header::HOST, chosen.address.to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let header_names = &shared.config.header_names;
    let sent_at = shared.clock.now();
    let sent = connection.send(request, &header_names.request, b"", limit);
    let mut reply = sent.await.ok()?;
    let server = (&chosen.server, chosen.address);
    availability::record_probe(shared, &routed.service, server, sent_at, &reply.parts);
    let headers = &reply.parts.headers;
    let named = headers.get(&header_names.instance);
    let is_expected_server = named.is_some_and(|v| v.as_bytes() == chosen.server.as_bytes());
    let is_shed = headers.contains_key(&header_names.refused);
    let shown = match reply.parts.status {
        _ if !is_expected_server => Shown::Nothing,
        StatusCode::OK if header_names.says_leaving(headers) => Shown::Nothing,
        StatusCode::OK if availability::closes(headers) => Shown::Nothing,
        StatusCode::OK => Shown::Stays,
        StatusCode::SERVICE_UNAVAILABLE if !is_shed => Shown::Leaves,
        _ => Shown::Nothing,
    };
    let (now, document) = (shared.clock.now(), shared.view.document());
    let record = |s: &mut Service| match shown {
        Shown::Leaves => {
            s.placement.record_leaving(now, &chosen.server);
        }
        Shown::Nothing => {}
        Shown::Stays => s.placement.record_staying(now, &chosen.server),
    };
    shared
        .services
        .with(now, &document, &routed.service, record);
    let body = buffer_body(&mut reply.body, CHECK_BYTES, end).await.ok()?;
    let is_usable = shown == Shown::Stays && matches!(body, BufferedBody::All(_));
    is_usable.then(|| reply.body.finish())
}
