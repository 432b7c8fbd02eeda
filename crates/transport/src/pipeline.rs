//! Serves pipelined requests of one connection at the same time.
//!
//! hyper reads the next request of a connection only after it has written the
//! response to the one before. A caller that pipelines short requests after a long
//! one would wait for the long one. Requests with safe methods are therefore removed
//! from the received bytes and each served on an in-memory connection. The responses
//! are written in the order of the requests.

use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::server::conn::http1;

use crate::ending::Cause;
use crate::link::{bit, Link, Place};
use crate::serving::{Calls, Requests};

/// In-memory connection with one request as input. The response is written to the
/// socket when the responses before it are complete.
#[derive(Debug)]
pub(crate) struct PipelinedIo {
    input: Bytes,
    link: Arc<Link>,
    place: Place,
}

impl PipelinedIo {
    pub(crate) fn new(input: Bytes, link: Arc<Link>, place: Place) -> PipelinedIo {
        PipelinedIo { input, link, place }
    }
}

impl Read for PipelinedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        mut out: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.input.is_empty() {
            // There are no further requests. At an end of input, hyper would
            // announce the close of the connection in the response.
            return Poll::Pending;
        }
        let n = out.remaining().min(self.input.len());
        out.put_slice(&self.input.split_to(n));
        Poll::Ready(Ok(()))
    }
}

impl Write for PipelinedIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.link.is_turn(self.place) {
            true => self.link.poll_send(cx, |s| s.try_write(bytes)),
            // Polled again after the response before this one.
            false => Poll::Pending,
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.link.flush(self.place);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// The connection of one pipelined request.
pub(crate) type Exchange = Box<http1::Connection<PipelinedIo, Calls>>;

struct PipelinedRequest {
    // None once it has ended.
    exchange: Option<Exchange>,
    // Whether hyper refuses the request; the handler is not called.
    refused: bool,
}

impl PipelinedRequest {
    fn poll(&mut self, cx: &mut Context<'_>) {
        let polled = self.exchange.as_mut().map(|e| Pin::new(e).poll(cx));
        if let Some(Poll::Ready(result)) = polled {
            self.exchange = None;
            if let Err(e) = result {
                tracing::debug!(event = "pipelined", "pipelined request failed: {e}");
            }
        }
    }
}

/// The pipelined requests of a connection, in order of arrival. Dropping them
/// cancels them.
pub(crate) struct PipelinedRequests {
    link: Arc<Link>,
    running: VecDeque<PipelinedRequest>,
    // Number of the first running request.
    first: u64,
}

impl PipelinedRequests {
    pub(crate) fn new(link: Arc<Link>) -> PipelinedRequests {
        PipelinedRequests {
            link,
            running: VecDeque::new(),
            first: 0,
        }
    }

    /// Whether no pipelined request is in progress.
    pub(crate) fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Polls all pipelined requests, starts new ones, and writes the responses that
    /// may be written. Returns whether any response was completed.
    ///
    /// # Errors
    /// The connection must be closed, since the response that is being written can't
    /// be completed, or refuses a malformed request.
    pub(crate) fn poll(
        &mut self,
        cx: &mut Context<'_>,
        requests: &Requests,
    ) -> Result<bool, Cause> {
        let held = self.link.held();
        for (number, request) in (self.first..).zip(&mut self.running) {
            // The first one is polled if it may be written now.
            if number == self.first || held & bit(number) == 0 {
                request.poll(cx);
            }
        }
        let mut completed = false;
        loop {
            self.start(cx, requests);
            match self.running.front_mut() {
                None => return Ok(completed),
                Some(_) if self.link.front() > self.first => {
                    self.running.pop_front();
                    self.first += 1;
                    completed = true;
                    if let Some(next) = self.running.front_mut() {
                        next.poll(cx);
                    }
                }
                Some(PipelinedRequest {
                    exchange: None,
                    refused,
                }) => {
                    return Err(match refused {
                        true => Cause::Protocol,
                        false => Cause::Incomplete,
                    });
                }
                Some(_) => return Ok(completed),
            }
        }
    }

    // Starts the pipelined requests that have arrived.
    fn start(&mut self, cx: &mut Context<'_>, requests: &Requests) {
        while let Some(pipelined) = self.link.next_pipelined() {
            let (before, _) = self.link.counts();
            let mut request = PipelinedRequest {
                exchange: Some(requests.serve_pipelined(&self.link, pipelined)),
                refused: false,
            };
            // Parses the head and calls the handler.
            request.poll(cx);
            if self.link.counts().0 == before {
                request.refused = true;
                self.link.close(Cause::Protocol);
            }
            self.running.push_back(request);
        }
    }
}
