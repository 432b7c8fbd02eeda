//! Bodies of requests, as both request paths read them.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderValue};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use pomelovale_state::ErrorKind;
use pomelovale_transport::body::CallerBody;
use tokio::time::timeout;

/// Limits on the bytes and the time, in milliseconds, that are spent on a body of no use.
const DISCARD_MAX_BYTES: usize = 1024 * 1024;
const DISCARD_MS: u64 = 300;

/// Reads a body of at most `max_bytes` within `limit`. `reserve` is told its length as it
/// grows, and returns whether there is room for it. Trailers are dropped, since they could
/// contain a key.
pub(crate) async fn read(
    body: &mut Incoming,
    max_bytes: usize,
    limit: Duration,
    mut reserve: impl FnMut(usize) -> bool,
) -> Result<Bytes, ErrorKind> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let all = async {
        let mut held = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| ErrorKind::BadRequest)?.into_data() else {
                continue;
            };
            let length = held.len() + data.len();
            if length > max_bytes {
                return Err(ErrorKind::TooLarge);
            }
            if !reserve(length) {
                return Err(ErrorKind::Overloaded);
            }
            held.extend_from_slice(&data);
        }
        Ok(held.freeze())
    };
    let collected = timeout(limit, all).await;
    collected.unwrap_or(Err(ErrorKind::RequestTimeout))
}

/// Announces in a response that its connection is closed.
pub(crate) fn close(mut response: Response<CallerBody>) -> Response<CallerBody> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// Reads the rest of the body of a refused request, so that its caller can go on to use
/// the connection, or announces its close. A connection that is closed without that loses
/// the requests behind the refused one.
pub(crate) async fn finish(
    response: Response<CallerBody>,
    body: &mut Incoming,
) -> Response<CallerBody> {
    match body.is_end_stream() || discard(body).await {
        true => response,
        false => close(response),
    }
}

async fn discard(body: &mut Incoming) -> bool {
    let rest = async {
        let mut left = DISCARD_MAX_BYTES;
        while let Some(frame) = body.frame().await {
            let length = match frame.map(|f| f.into_data()) {
                Ok(Ok(data)) => data.len(),
                Ok(Err(_)) => 0,
                Err(_) => return false,
            };
            match left.checked_sub(length) {
                Some(rest) => left = rest,
                None => return false,
            }
        }
        true
    };
    let limit = Duration::from_millis(DISCARD_MS);
    timeout(limit, rest).await.unwrap_or(false)
}
