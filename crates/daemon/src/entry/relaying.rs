//! Relays requests of this entry through others.

use std::sync::Arc;

use bytes::Bytes;
use http::{request, HeaderMap, Method, Response, Uri};
use pomelovale_protocol::http::IDEMPOTENCY_KEY;
use pomelovale_protocol::trace::{TraceContext, TRACEPARENT};
use pomelovale_state::ErrorKind;
use pomelovale_transport::body::CallerBody;
use tokio::time::Instant;

use super::Shared;
use crate::relay::{self, RelayEnd, RelayRequest};

/// A request as its caller sent it, with its key.
#[derive(Clone, Debug)]
pub struct OriginalRequest {
    method: Method,
    target: Uri,
    headers: HeaderMap,
}

impl OriginalRequest {
    /// Copies the head of a request.
    pub fn of(parts: &request::Parts) -> OriginalRequest {
        OriginalRequest {
            method: parts.method.clone(),
            target: parts.uri.clone(),
            headers: parts.headers.clone(),
        }
    }

    /// Removes the idempotency key, under which this instance has recorded an intent.
    pub fn remove_idempotency_key(&mut self) {
        self.headers.remove(IDEMPOTENCY_KEY);
    }
}

/// What a relay needs to know besides the request itself.
#[derive(Clone, Copy, Debug)]
pub struct RelayTerms {
    /// Time by which a response is due.
    pub deadline: Instant,
    /// Whether the request may be sent again after it was written.
    pub idempotent: bool,
    /// Backend servers that it may still be sent to.
    pub attempts: u32,
    /// Whether a server may have run it already.
    pub may_have_run: bool,
    /// Trace context of the request.
    pub trace: TraceContext,
}

/// Sends a request through another entry. `may_repeat` is asked before a request that was
/// written is sent again.
pub async fn relay(
    shared: &Arc<Shared>,
    original: &OriginalRequest,
    body: &Bytes,
    terms: RelayTerms,
    may_repeat: impl Fn() -> bool,
) -> RelayEnd {
    let mut headers = relay::end_to_end(original.headers.clone(), body.len());
    headers.insert(TRACEPARENT, terms.trace.child().header_value());
    let request = RelayRequest {
        method: &original.method,
        target: &original.target,
        headers,
        body,
        deadline: terms.deadline,
        homes: &[],
        idempotent: terms.idempotent,
        attempts: terms.attempts,
        version: 0,
        may_have_run: terms.may_have_run,
    };
    let document = shared.view.document();
    shared.relays.send(&document, request, may_repeat).await
}

/// The response of a relayed request, or the kind of its failure.
pub fn result(ended: RelayEnd) -> Result<Response<CallerBody>, ErrorKind> {
    match ended {
        RelayEnd::Answer(response) => Ok(response),
        RelayEnd::NotTaken => Err(ErrorKind::Unavailable),
        RelayEnd::Unknown(kind) => Err(kind),
    }
}
