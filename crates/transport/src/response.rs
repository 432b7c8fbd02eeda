//! Responses of handlers as they are passed on to hyper.

use std::collections::VecDeque;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use hyper::body::{Body, Frame, SizeHint};
use pomelovale_protocol::http::OUTCOME;
use pomelovale_state::ErrorKind;

use crate::body::CallerBody;
use crate::link::Link;

/// Number of bytes of a stream that are read before its response is begun.
const AHEAD_MAX_BYTES: usize = 64 * 1024;

/// Runs code of a handler. A panic in it ends neither the connection nor the other
/// requests on it.
pub(crate) fn catch<T>(run: impl FnOnce() -> T) -> Option<T> {
    let result = catch_unwind(AssertUnwindSafe(run));
    if let Err(panic) = &result {
        let text = panic.downcast_ref::<&str>().copied();
        let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
        metrics::counter!("caller_handler_panics_total").increment(1);
        tracing::error!(
            event = "handler-panicked",
            "the handler of a request panicked: {}",
            text.unwrap_or("no message")
        );
    }
    result.ok()
}

/// The response to a request whose handler failed.
pub(crate) fn error_response(kind: ErrorKind) -> Response<CallerBody> {
    let answer = kind.answer();
    let body = format!("{{\"code\":\"{}\"}}", answer.code);
    let mut response = Response::new(CallerBody::Full(Bytes::from(body)));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(answer.outcome.as_str()));
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    let no_store = HeaderValue::from_static("no-store");
    headers.insert(header::CACHE_CONTROL, no_store);
    response
}

/// A body that reports its end to the connection when hyper drops it.
#[derive(Debug)]
pub(crate) struct TrackedBody {
    body: CallerBody,
    // Parts of a stream that were received before the response was begun.
    ahead: VecDeque<Frame<Bytes>>,
    size: SizeHint,
    link: Arc<Link>,
}

impl TrackedBody {
    /// Prepares a response that is to be written next. Reads what has arrived of a
    /// stream: if that has broken off already, as it may while it waits for other
    /// responses, the response is an error instead and the connection goes on.
    pub(crate) fn track(
        response: Response<CallerBody>,
        link: &Arc<Link>,
        cx: &mut Context<'_>,
    ) -> Response<TrackedBody> {
        let (parts, body) = response.into_parts();
        let mut tracked = TrackedBody {
            size: body.size_hint(),
            body,
            ahead: VecDeque::new(),
            link: link.clone(),
        };
        if let Err(kind) = tracked.read_ahead(cx) {
            let (parts, body) = error_response(kind).into_parts();
            tracked.size = body.size_hint();
            let broken = std::mem::replace(&mut tracked.body, body);
            catch(|| drop(broken));
            tracked.ahead.clear();
            return Response::from_parts(parts, tracked);
        }
        Response::from_parts(parts, tracked)
    }

    fn is_stream(&self) -> bool {
        self.body.is_stream()
    }

    fn read_ahead(&mut self, cx: &mut Context<'_>) -> Result<(), ErrorKind> {
        let mut size = 0;
        while self.is_stream() && size < AHEAD_MAX_BYTES {
            match catch(|| Pin::new(&mut self.body).poll_frame(cx)) {
                None => return Err(ErrorKind::Internal),
                Some(Poll::Ready(Some(Err(_)))) => return Err(ErrorKind::UnknownOutcome),
                Some(Poll::Ready(Some(Ok(frame)))) => {
                    size += frame.data_ref().map_or(0, Bytes::len);
                    self.ahead.push_back(frame);
                }
                Some(Poll::Pending | Poll::Ready(None)) => break,
            }
        }
        Ok(())
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        let body = std::mem::replace(&mut self.body, CallerBody::Full(Bytes::new()));
        catch(|| drop(body));
        self.link.end_body();
    }
}

impl Body for TrackedBody {
    type Data = <CallerBody as Body>::Data;
    type Error = <CallerBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        if let Some(frame) = self.ahead.pop_front() {
            return Poll::Ready(Some(Ok(frame)));
        }
        let failed = || Poll::Ready(Some(Err(io::Error::other("the body panicked"))));
        catch(|| Pin::new(&mut self.body).poll_frame(cx)).unwrap_or_else(failed)
    }

    fn is_end_stream(&self) -> bool {
        self.ahead.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.size
    }
}
