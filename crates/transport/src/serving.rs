//! Calls the handler for the requests of one connection.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::rt::{Read, Write};
use hyper::server::conn::http1;
use hyper::service::Service;
use pomelovale_state::ErrorKind;
use tokio::time::Instant;

use crate::body::CallerBody;
use crate::caller_io::CallerIo;
use crate::framing::Verdicts;
use crate::http_server::{Caller, ResponseFuture, Shared};
use crate::link::{Link, Pipelined, Place};
use crate::pipeline::{Exchange, PipelinedIo};
use crate::response::{catch, error_response, TrackedBody};

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

impl Drop for Serving {
    fn drop(&mut self) {
        let answer = std::mem::replace(&mut self.answer, Answer::Held(None));
        catch(|| drop(answer));
    }
}

impl Future for Serving {
    type Output = Result<Response<TrackedBody>, Infallible>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let this = &mut *self;
        if let Answer::Running(future) = &mut this.answer {
            let polled = catch(|| future.as_mut().poll(cx));
            let panicked = || Poll::Ready(error_response(ErrorKind::Internal));
            let response = ready!(polled.unwrap_or_else(panicked));
            let streams = response.body().is_stream();
            this.link.hold(this.place, streams);
            catch(|| this.answer = Answer::Held(Some(response)));
        }
        let held = match &mut this.answer {
            Answer::Held(held) if this.link.is_turn(this.place) => held.take(),
            Answer::Held(_) | Answer::Running(_) => None,
        };
        let Some(response) = held else {
            return Poll::Pending;
        };
        let streams = response.body().is_stream();
        let mut response = TrackedBody::track(response, &this.link, cx);
        this.link.prepare(response.headers_mut(), streams);
        Poll::Ready(Ok(response))
    }
}

/// Calls the handler for each request that hyper reads.
pub(crate) struct Calls {
    requests: Requests,
    link: Arc<Link>,
    place: Place,
    // When a pipelined request was received.
    received: Option<Instant>,
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
            received: self
                .received
                .unwrap_or_else(|| self.link.forwarded_received()),
        };
        let future = catch(|| (self.requests.shared.handler)(request, caller));
        Serving {
            answer: match future {
                Some(future) => Answer::Running(future),
                None => Answer::Held(Some(error_response(ErrorKind::Internal))),
            },
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
            received: None,
            verdicts: Some(verdicts),
        };
        self.serve(CallerIo::new(link.clone()), calls)
    }

    /// Serves a pipelined request.
    pub(crate) fn serve_pipelined(&self, link: &Arc<Link>, request: Pipelined) -> Exchange {
        let place = Place::Pipelined(request.number);
        let calls = Calls {
            requests: self.clone(),
            link: link.clone(),
            place,
            received: Some(request.received),
            verdicts: None,
        };
        Box::new(self.serve(PipelinedIo::new(request.input, link.clone(), place), calls))
    }
}
