//! Paces the bodies of large responses on a narrow link.
//!
//! The link of an instance is a queue: a body that is written at once delays every message and
//! small response behind it by the time that it takes to pass the link. Bodies are therefore
//! written in parts, no faster than the link takes them, and the parts of concurrent responses
//! take turns.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{sleep_until, Instant, Sleep};

use crate::body::CallerBody;

/// Size of a part, in bytes: what a message may have to wait for.
pub const PART_BYTES: usize = 4 * 1024;
/// Size of a body up to which it isn't paced, in bytes. Small responses pass at once.
pub const SMALL_BYTES: u64 = 8 * 1024;
/// Share of the link that bodies may use, in percent. The rest is for messages between
/// instances, requests to servers and headers, which are not counted.
const USED_PERCENT: u64 = 90;

/// Shares a link between the bodies of responses.
#[derive(Debug)]
pub struct Pacer {
    // Bytes per second.
    rate: u64,
    // When the link has taken all parts that were admitted.
    free_at: Mutex<Instant>,
    // Large responses in progress.
    streams: AtomicUsize,
}

impl Pacer {
    /// Paces bodies on a link that takes `link_rate` bytes per second.
    pub fn new(link_rate: u64) -> Pacer {
        Pacer {
            rate: (link_rate * USED_PERCENT / 100).max(1),
            free_at: Mutex::new(Instant::now()),
            streams: AtomicUsize::new(0),
        }
    }

    /// Reserves the link for a number of bytes after those that were admitted before. Returns
    /// when they may be written.
    pub fn admit(&self, now: Instant, bytes: usize) -> Instant {
        let took = Duration::from_micros(bytes as u64 * 1_000_000 / self.rate);
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let start = (*free_at).max(now);
        *free_at = start + took;
        start
    }

    /// Large responses in progress.
    pub fn streams(&self) -> usize {
        self.streams.load(Ordering::Relaxed)
    }

    /// Returns the response with its body paced, if that is large or of unknown length. A small
    /// one is only counted.
    pub fn pace(self: &Arc<Pacer>, body: CallerBody) -> CallerBody {
        match body.size_hint().exact() {
            Some(n) if n <= SMALL_BYTES => {
                self.admit(Instant::now(), n as usize);
                body
            }
            Some(_) | None => CallerBody::Paced(Box::new(Paced::new(body, self.clone()))),
        }
    }
}

/// A body that is written in parts as the link takes them.
pub struct Paced {
    body: CallerBody,
    pacer: Arc<Pacer>,
    // What was received of the body and isn't written yet.
    rest: Bytes,
    // Number of bytes of `rest` that may be written once `ready` has elapsed; none are admitted
    // if zero.
    admitted: usize,
    ready: Pin<Box<Sleep>>,
}

impl fmt::Debug for Paced {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Paced").finish_non_exhaustive()
    }
}

impl Paced {
    fn new(body: CallerBody, pacer: Arc<Pacer>) -> Paced {
        pacer.streams.fetch_add(1, Ordering::Relaxed);
        Paced {
            body,
            pacer,
            rest: Bytes::new(),
            admitted: 0,
            ready: Box::pin(sleep_until(Instant::now())),
        }
    }

    pub(crate) fn poll_part(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        while self.rest.is_empty() {
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => self.rest = data,
                    Err(frame) => return Poll::Ready(Some(Ok(frame))),
                },
                end => return Poll::Ready(end),
            }
        }
        if self.admitted == 0 {
            self.admitted = self.rest.len().min(PART_BYTES);
            let now = Instant::now();
            let start = self.pacer.admit(now, self.admitted);
            if start > now {
                self.ready.as_mut().reset(start);
            }
        }
        ready!(self.ready.as_mut().poll(cx));
        let part = self.rest.split_to(std::mem::take(&mut self.admitted));
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    pub(crate) fn size_hint(&self) -> SizeHint {
        let rest = self.rest.len() as u64;
        let hint = self.body.size_hint();
        hint.exact()
            .map_or_else(SizeHint::default, |n| SizeHint::with_exact(n + rest))
    }

    pub(crate) fn is_stream(&self) -> bool {
        self.body.is_stream()
    }

    pub(crate) fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }
}

impl Drop for Paced {
    fn drop(&mut self) {
        self.pacer.streams.fetch_sub(1, Ordering::Relaxed);
    }
}
