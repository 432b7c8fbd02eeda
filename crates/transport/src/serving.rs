//! Calls the handler for the requests of one connection.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use http::{header, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{service_fn, Service};

use crate::framing::Verdicts;
use crate::http_server::{Caller, ResponseFuture, Shared};
use crate::pipeline::{Answered, BodyEnd, PipelinedIo, RequestMark, TrackedBody};

/// A request in progress.
pub(crate) struct Serving {
    answer: ResponseFuture,
    body_end: BodyEnd,
    // `Some` for a pipelined request.
    answered: Option<Answered>,
}

impl Future for Serving {
    type Output = Result<Response<TrackedBody>, Infallible>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let answer = ready!(self.answer.as_mut().poll(cx));
        let closes = answer.headers().get(header::CONNECTION);
        match &self.answered {
            Some(answered) if closes.is_some_and(|v| v == "close") => answered.set_last(),
            Some(_) | None => {}
        }
        let body_end = self.body_end.clone();
        Poll::Ready(Ok(answer.map(|body| TrackedBody::new(body, body_end))))
    }
}

/// Serves the requests of one connection.
#[derive(Clone)]
pub(crate) struct Requests {
    pub(crate) shared: Arc<Shared>,
    pub(crate) address: SocketAddr,
}

impl Requests {
    pub(crate) fn builder(&self) -> http1::Builder {
        let limits = &self.shared.limits;
        let mut builder = http1::Builder::new();
        builder
            .max_buf_size(limits.head_bytes)
            .max_headers(limits.headers);
        builder
    }

    fn call(
        &self,
        request: Request<Incoming>,
        length_is_clear: bool,
        body_end: BodyEnd,
        answered: Option<Answered>,
    ) -> Serving {
        let caller = Caller {
            address: self.address,
            length_is_clear,
        };
        Serving {
            answer: (self.shared.handler)(request, caller),
            body_end,
            answered,
        }
    }

    /// Serves one pipelined request.
    pub(crate) fn serve_pipelined(
        &self,
        io: PipelinedIo,
        body_end: BodyEnd,
        answered: Answered,
    ) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        let service = self.clone();
        let call = service_fn(move |request| {
            // Requests with an ambiguous length are never pipelined.
            service.call(request, true, body_end.clone(), Some(answered.clone()))
        });
        let connection = self.builder().serve_connection(io, call);
        Box::pin(async move {
            if let Err(e) = connection.await {
                tracing::debug!(event = "pipelined", "pipelined request failed: {e}");
            }
        })
    }
}

/// Serves the requests that are not pipelined.
pub(crate) struct OwnRequests {
    pub(crate) requests: Requests,
    pub(crate) verdicts: Verdicts,
    pub(crate) body_end: BodyEnd,
    pub(crate) mark: RequestMark,
}

impl Service<Request<Incoming>> for OwnRequests {
    type Response = Response<TrackedBody>;
    type Error = Infallible;
    type Future = Serving;

    fn call(&self, request: Request<Incoming>) -> Serving {
        self.mark.start();
        let (clear, body_end) = (self.verdicts.next(), self.body_end.clone());
        self.requests.call(request, clear, body_end, None)
    }
}
