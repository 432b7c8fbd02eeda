//! Relays requests of this gateway through others.

use std::sync::Arc;

use http::{header, Response};
use pomelovale_transport::body::CallerBody;
use tokio::time::Instant;

use super::attempt::{self, RoutedRequest};
use super::request_log::RequestLog;
use super::Shared;
use crate::entry::refusal::Refusal;
use crate::relay::{self, RelayEnd, RelayRequest};

/// Relays a request that no server has been sent.
pub(super) async fn relay(
    shared: &Arc<Shared>,
    routed: &RoutedRequest,
    request_log: &mut RequestLog,
) -> RelayEnd {
    attempt::add_retry_credit(shared, routed);
    relay_rest(shared, routed, 0, false, request_log).await
}

/// Relays a request that `sent` servers have been sent, and that one of them may have run.
pub(super) async fn relay_rest(
    shared: &Arc<Shared>,
    routed: &RoutedRequest,
    sent: u32,
    may_have_run: bool,
    request_log: &mut RequestLog,
) -> RelayEnd {
    let mut headers = routed.headers.clone();
    headers.remove(&shared.config.header_names.workspace);
    if let Some(key) = &routed.authorization {
        headers.insert(header::AUTHORIZATION, key.clone());
    }
    let request = RelayRequest {
        method: &routed.method,
        target: &routed.target,
        headers,
        body: &routed.body,
        deadline: routed.deadline,
        homes: &routed.homes,
        idempotent: routed.is_idempotent(),
        attempts: routed.route.attempts.saturating_sub(sent),
        version: routed.version,
        may_have_run,
    };
    let since = Instant::now();
    let document = shared.view.document();
    let may_repeat = || attempt::spend_retry(shared, routed);
    routed.sent.set(true);
    let ended = shared.relays.send(&document, request, may_repeat).await;
    routed
        .sent
        .set(may_have_run || matches!(ended, RelayEnd::Unknown(_)));
    request_log.add_relay(&ended, since);
    ended
}

/// The response of a relayed request, or its refusal.
pub(super) fn result(ended: RelayEnd) -> Result<Response<CallerBody>, Refusal> {
    match ended {
        RelayEnd::Answer(response) => Ok(response),
        RelayEnd::NotTaken => Err(relay::not_taken()),
        RelayEnd::Unknown(kind) => Err(kind.into()),
    }
}
