//! Bodies of responses to callers.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{sleep, Instant, Sleep};

use crate::backend::{Connection, ExchangeError, ReplyBody};
use crate::pacing::Paced;
use crate::response::catch;

/// Callback for the end of a response body, with the reusable connection or the
/// cause of the failure.
pub type OnEnd = Box<dyn FnOnce(Result<Connection, ExchangeError>) + Send>;

/// The body of a response to a caller.
#[derive(Debug)]
pub enum CallerBody {
    /// A body that is completely in memory.
    Full(Bytes),
    /// A body that is written no faster than a narrow link takes it.
    Paced(Box<Paced>),
    /// A body that is forwarded while it is received.
    Stream(Box<Passing>),
}

/// A body that is forwarded from a backend server. On an error, hyper closes the
/// caller's connection before the end of the body, so that the caller detects that
/// it is incomplete.
pub struct Passing {
    prefix: Bytes,
    rest: Option<ReplyBody>,
    on_end: Option<OnEnd>,
    idle_timeout: Duration,
    deadline: Instant,
    // Ends the wait for the next part. Set when the wait begins, so that the time for
    // which the caller takes no part does not count.
    silent: Pin<Box<Sleep>>,
    waiting: bool,
    drain_on_drop: bool,
}

impl fmt::Debug for Passing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Passing").finish_non_exhaustive()
    }
}

impl Passing {
    /// Forwards `prefix` and then `rest`. Fails if no part of `rest` is received for
    /// `idle_timeout`, but not before `deadline`, that of the request. With
    /// `drain_on_drop`, the rest is read even if the caller disconnects, so that the
    /// backend server is not interrupted.
    pub fn new(
        prefix: Bytes,
        rest: ReplyBody,
        idle_timeout: Duration,
        deadline: Instant,
        drain_on_drop: bool,
        on_end: OnEnd,
    ) -> Passing {
        Passing {
            prefix,
            rest: Some(rest),
            on_end: Some(on_end),
            idle_timeout,
            deadline,
            silent: Box::pin(sleep(idle_timeout)),
            waiting: false,
            drain_on_drop,
        }
    }

    fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, ExchangeError>>> {
        if !self.prefix.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.prefix))));
        }
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(None);
        };
        let part = match rest.poll_part(cx) {
            Poll::Ready(part) => part,
            Poll::Pending => {
                if !std::mem::replace(&mut self.waiting, true) {
                    let end = (Instant::now() + self.idle_timeout).max(self.deadline);
                    self.silent.as_mut().reset(end);
                }
                ready!(self.silent.as_mut().poll(cx));
                Some(Err(ExchangeError::Silent))
            }
        };
        match &part {
            // hyper doesn't poll a body of known length after its last byte.
            Some(Ok(_)) if rest.remaining_length() == Some(0) => self.complete(),
            Some(Ok(_)) => self.waiting = false,
            Some(Err(fault)) => self.end(Err(*fault)),
            None => self.complete(),
        }
        Poll::Ready(part)
    }

    fn complete(&mut self) {
        if let Some(rest) = self.rest.take() {
            self.end(Ok(rest.finish()));
        }
    }

    fn end(&mut self, result: Result<Connection, ExchangeError>) {
        self.rest = None;
        if let Some(on_end) = self.on_end.take() {
            catch(|| on_end(result));
        }
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        match (self.rest.take(), self.on_end.take()) {
            (Some(rest), Some(on_end)) if self.drain_on_drop => {
                let (idle_timeout, deadline) = (self.idle_timeout, self.deadline);
                let rest = Passing::new(Bytes::new(), rest, idle_timeout, deadline, false, on_end);
                tokio::spawn(drain(rest));
            }
            (rest, Some(on_end)) => {
                drop(rest);
                catch(|| on_end(Err(ExchangeError::Cut)));
            }
            (_, None) => {}
        }
    }
}

async fn drain(mut rest: Passing) {
    let mut part = Some(Ok(Bytes::new()));
    while let Some(Ok(_)) = part {
        part = std::future::poll_fn(|cx| rest.poll_part(cx)).await;
    }
}

impl CallerBody {
    /// Whether the body is still received from a backend server, so that it may break off.
    pub(crate) fn is_stream(&self) -> bool {
        match self {
            CallerBody::Full(_) => false,
            CallerBody::Paced(paced) => paced.is_stream(),
            CallerBody::Stream(_) => true,
        }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match &mut *self {
            CallerBody::Full(bytes) if bytes.is_empty() => Poll::Ready(None),
            CallerBody::Full(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            CallerBody::Paced(paced) => paced.poll_part(cx),
            CallerBody::Stream(passing) => {
                let part = ready!(passing.poll_part(cx));
                let cut = |fault: ExchangeError| std::io::Error::other(format!("{fault:?}"));
                Poll::Ready(part.map(|p| p.map(Frame::data).map_err(cut)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            CallerBody::Full(bytes) => bytes.is_empty(),
            CallerBody::Paced(paced) => paced.is_end_stream(),
            CallerBody::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            CallerBody::Full(bytes) => SizeHint::with_exact(bytes.len() as u64),
            CallerBody::Paced(paced) => paced.size_hint(),
            CallerBody::Stream(passing) => {
                let rest = passing.rest.as_ref().and_then(ReplyBody::remaining_length);
                rest.map_or_else(SizeHint::default, |n| {
                    SizeHint::with_exact(n + passing.prefix.len() as u64)
                })
            }
        }
    }
}
