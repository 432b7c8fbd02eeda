//! Calls the handler for the requests of one connection.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Request, Response, StatusCode};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::rt::{Read, Write};
use hyper::server::conn::http1;
use hyper::service::Service;
use pomelovale_protocol::http::OUTCOME;
use pomelovale_state::ErrorKind;

use crate::body::CallerBody;
use crate::caller_io::CallerIo;
use crate::framing::Verdicts;
use crate::http_server::{Caller, ResponseFuture, Shared};
use crate::link::{Link, Place};
use crate::pipeline::{Exchange, PipelinedIo};

/// A body that reports its end to the connection when hyper drops it.
#[derive(Debug)]
pub(crate) struct TrackedBody {
    body: CallerBody,
    link: Arc<Link>,
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
        let failed = || Poll::Ready(Some(Err(io::Error::other("the body panicked"))));
        catch(|| Pin::new(&mut self.body).poll_frame(cx)).unwrap_or_else(failed)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

// Runs code of a handler. A panic in it ends neither the connection nor the other
// requests on it.
fn catch<T>(run: impl FnOnce() -> T) -> Option<T> {
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

// The response to a request whose handler has panicked.
fn panicked() -> Response<CallerBody> {
    let answer = ErrorKind::Internal.answer();
    let body = format!("{{\"code\":\"{}\"}}", answer.code);
    let mut response = Response::new(CallerBody::Full(Bytes::from(body)));
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(answer.outcome.as_str()));
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    let no_store = HeaderValue::from_static("no-store");
    headers.insert(header::CACHE_CONTROL, no_store);
    response
}

enum Answer {
    Running(ResponseFuture),
    // Held until the responses before it are written.
    Held(Option<Response<CallerBody>>),
}

/// A request in progress.
pub(crate) struct Serving {
    answer: Answer,
    link: Arc<Link>,
    place: Place,
}

impl Future for Serving {
    type Output = Result<Response<TrackedBody>, Infallible>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let this = &mut *self;
        if let Answer::Running(future) = &mut this.answer {
            let polled = catch(|| future.as_mut().poll(cx));
            let response = ready!(polled.unwrap_or_else(|| Poll::Ready(panicked())));
            catch(|| this.answer = Answer::Held(Some(response)));
        }
        let held = match &mut this.answer {
            Answer::Held(held) if this.link.is_turn(this.place) => held.take(),
            Answer::Held(_) | Answer::Running(_) => None,
        };
        let Some(mut response) = held else {
            return Poll::Pending;
        };
        this.link.prepare(&mut response);
        let link = this.link.clone();
        Poll::Ready(Ok(response.map(|body| TrackedBody { body, link })))
    }
}

/// Calls the handler for each request that hyper reads.
pub(crate) struct Calls {
    requests: Requests,
    link: Arc<Link>,
    place: Place,
    // Requests with an ambiguous length are never pipelined.
    verdicts: Option<Verdicts>,
}

impl Service<Request<Incoming>> for Calls {
    type Response = Response<TrackedBody>;
    type Error = Infallible;
    type Future = Serving;

    fn call(&self, request: Request<Incoming>) -> Serving {
        self.link.start(&request, self.place);
        let caller = Caller {
            address: self.requests.address,
            length_is_clear: self.verdicts.as_ref().is_none_or(Verdicts::next),
        };
        let future = catch(|| (self.requests.shared.handler)(request, caller));
        Serving {
            answer: future.map_or_else(|| Answer::Held(Some(panicked())), Answer::Running),
            link: self.link.clone(),
            place: self.place,
        }
    }
}

/// What the requests of one connection have in common.
#[derive(Clone)]
pub(crate) struct Requests {
    pub(crate) shared: Arc<Shared>,
    pub(crate) address: SocketAddr,
}

impl Requests {
    fn serve<I>(&self, io: I, calls: Calls) -> http1::Connection<I, Calls>
    where
        I: Read + Unpin + Write,
    {
        let limits = &self.shared.limits;
        http1::Builder::new()
            .max_buf_size(limits.head_bytes)
            .max_headers(limits.headers)
            .serve_connection(io, calls)
    }

    /// Serves the requests that hyper reads from the socket. `verdicts` tells for each
    /// of them whether its length is unambiguous.
    pub(crate) fn serve_own(
        &self,
        link: &Arc<Link>,
        verdicts: Verdicts,
    ) -> http1::Connection<CallerIo, Calls> {
        let calls = Calls {
            requests: self.clone(),
            link: link.clone(),
            place: Place::Own,
            verdicts: Some(verdicts),
        };
        self.serve(CallerIo::new(link.clone()), calls)
    }

    /// Serves a pipelined request.
    pub(crate) fn serve_pipelined(&self, link: &Arc<Link>, number: u64, input: Bytes) -> Exchange {
        let place = Place::Pipelined(number);
        let calls = Calls {
            requests: self.clone(),
            link: link.clone(),
            place,
            verdicts: None,
        };
        Box::new(self.serve(PipelinedIo::new(input, link.clone(), place), calls))
    }
}
