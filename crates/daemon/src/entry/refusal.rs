//! Error responses that do not come from a backend server.

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use pomelovale_protocol::http::OUTCOME;
use pomelovale_state::ErrorKind;
use pomelovale_transport::body::CallerBody;

/// Default time after which to retry, in milliseconds.
const DEFAULT_RETRY_MS: u64 = 1_000;
/// Time after which to retry a quarantined request if nothing more exact is known, in
/// milliseconds.
const QUARANTINE_RETRY_MS: u64 = 3_000;

/// Reason why a request gets no response of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Time after which to retry, in milliseconds.
    pub retry_ms: u64,
}

impl From<ErrorKind> for Refusal {
    fn from(kind: ErrorKind) -> Refusal {
        let retry_ms = match kind {
            ErrorKind::Quarantined => QUARANTINE_RETRY_MS,
            _ => DEFAULT_RETRY_MS,
        };
        Refusal { kind, retry_ms }
    }
}

impl Refusal {
    /// Returns the response with fractions of a second in `Retry-After`.
    pub fn fractional_response(self) -> Response<CallerBody> {
        let mut response = self.response();
        if let Some(seconds) = response.headers_mut().get_mut(header::RETRY_AFTER) {
            let text = format!("{:.3}", self.retry_ms as f64 / 1_000.0);
            *seconds = HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"));
        }
        response
    }

    /// Returns the response to the caller.
    pub fn response(self) -> Response<CallerBody> {
        let answer = self.kind.answer();
        metrics::counter!("entry_refusals_total", "code" => answer.code).increment(1);
        let body = format!("{{\"code\":\"{}\"}}", answer.code);
        let mut response = Response::new(CallerBody::Full(Bytes::from(body)));
        *response.status_mut() =
            StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(OUTCOME, HeaderValue::from_static(answer.outcome.as_str()));
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        // Clients cache some statuses by default.
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        match self.kind {
            _ if answer.retry => {
                let seconds = self.retry_ms.div_ceil(1_000).max(1);
                headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
            }
            ErrorKind::KeyRefused => {
                headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
            }
            _ => {}
        }
        response
    }
}
