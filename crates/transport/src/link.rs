//! State that the parts of one caller's connection share: hyper, which reads one
//! request at a time, and the pipelined requests behind that one.

use std::io::{self, ErrorKind, Read};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};

use bytes::{Buf, Bytes, BytesMut};
use http::header::{self, HeaderValue};
use http::{HeaderMap, Request, Version};
use hyper::body::Incoming;
use hyper::rt::ReadBufCursor;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::arrivals::Arrivals;
use crate::ending::Cause;
use crate::framing::{Direction, Framing, Verdicts, READ_BYTES};

/// Maximum number of pipelined requests of one connection that are served at a
/// time, in addition to the request that hyper serves.
const PIPELINED_MAX: u64 = 16;
/// Number of received and unprocessed bytes at which reading a connection pauses.
const PENDING_MAX: usize = 64 * 1024;
/// Safe methods. Requests with these methods have no lasting effect, so that the
/// order in which they are executed does not matter.
const METHODS: [&[u8]; 2] = [b"GET ", b"HEAD "];

/// Who serves a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Place {
    /// The connection that hyper reads from the socket.
    Own,
    /// An in-memory connection, for a pipelined request with this number.
    Pipelined(u64),
}

/// A complete request that was removed from the pending bytes.
#[derive(Debug)]
pub(crate) struct Pipelined {
    pub(crate) number: u64,
    pub(crate) input: Bytes,
    /// When its last byte was received.
    pub(crate) received: Instant,
}

#[derive(Debug)]
struct State {
    // Whether hyper has a part of a request, whether the end of that request is still
    // to be forwarded to hyper, and whether its handler was called and its response
    // is not completely written.
    busy: bool,
    forwarding: bool,
    serving: bool,
    // Whether requests may be started behind that request.
    safe: bool,
    // Why the connection can't be used any more.
    broken: Option<Cause>,
    // Bytes that were received and not forwarded yet.
    pending: BytesMut,
    // When they were received, and when the last forwarded byte was.
    arrivals: Arrivals,
    forwarded_received: Instant,
    // Parser of the requests that are forwarded to hyper.
    framing: Framing,
    // Parser of the first pending request, and how much of it was parsed.
    scan: Framing,
    scanned: usize,
    // Numbers of the first unanswered and of the next pipelined request.
    front: u64,
    next: u64,
    // Pipelined requests whose response is held until the responses before it are
    // written, as a set of bits.
    held: u64,
    // Number of started requests that may still announce the close in their response.
    undecided: u64,
    // Number of responses that are streams and not completely written, and whether
    // the one that is being written is a stream. No request is started behind them,
    // since a stream that breaks off ends the connection.
    streams: u64,
    streaming: bool,
    // Why no further requests are started, unless `reopened`.
    closing: Option<Cause>,
    // Whether a request is served after `closing` was set, since the response before
    // it could not announce the close any more.
    reopened: bool,
    // Whether a response has announced the close.
    announced: bool,
    // Number of requests that were completely received, started and answered.
    received: u64,
    started: u64,
    answered: u64,
}

/// What has happened on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Progress {
    received: u64,
    started: u64,
    /// Number of answered requests.
    pub(crate) answered: u64,
    /// Whether a request is in progress.
    pub(crate) is_serving: bool,
    /// Whether a part of a request head was received.
    pub(crate) in_head: bool,
}

impl Progress {
    /// Whether no part of a request was received yet.
    pub(crate) fn is_unused(&self) -> bool {
        self.received == 0 && !self.is_serving && !self.in_head
    }

    /// Whether another head has begun since `earlier`.
    pub(crate) fn has_new_head(&self, earlier: &Progress) -> bool {
        self.in_head && (!earlier.in_head || self.received != earlier.received)
    }
}

impl State {
    fn is_idle(&self) -> bool {
        !self.busy && self.front == self.next
    }

    fn may_pipeline(&self) -> bool {
        let behind = match self.busy {
            true => self.serving && !self.forwarding && self.safe,
            false => self.front != self.next && self.safe,
        };
        behind
            && self.next - self.front < PIPELINED_MAX
            && self.streams == 0
            && !self.announced
            && (self.closing.is_none() || self.reopened)
    }

    fn close(&mut self, cause: Cause) {
        self.closing.get_or_insert(cause);
        self.reopened = false;
    }

    fn restart_scan(&mut self) {
        self.scan.reset();
        self.scanned = 0;
    }
}

/// The bit of a pipelined request in a set. Less than 64 of them are in progress at a
/// time.
pub(crate) fn bit(number: u64) -> u64 {
    1 << (number % 64)
}

fn is_safe(request: &[u8]) -> bool {
    METHODS.iter().any(|m| request.starts_with(m))
}

fn has_option(headers: &HeaderMap, option: &[u8]) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .flat_map(|v| v.as_bytes().split(|b| *b == b','))
        .any(|o| o.trim_ascii().eq_ignore_ascii_case(option))
}

/// The socket of a connection and the state of its requests.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) stream: TcpStream,
    state: Mutex<State>,
    // Set when hyper drops the body of a response, after its last part. Only one
    // response is written at a time.
    body_end: AtomicBool,
}

impl Link {
    /// Wraps a connection. `verdicts` receives a verdict on each request forwarded to
    /// hyper.
    pub(crate) fn new(stream: TcpStream, verdicts: Verdicts) -> Link {
        let state = State {
            busy: false,
            forwarding: false,
            serving: false,
            safe: true,
            broken: None,
            pending: BytesMut::new(),
            arrivals: Arrivals::default(),
            forwarded_received: Instant::now(),
            framing: Framing::new(Direction::Requests, verdicts),
            scan: Framing::new(Direction::Requests, Verdicts::default()),
            scanned: 0,
            front: 0,
            next: 0,
            held: 0,
            undecided: 0,
            streams: 0,
            streaming: false,
            closing: None,
            reopened: false,
            announced: false,
            received: 0,
            started: 0,
            answered: 0,
        };
        Link {
            stream,
            state: Mutex::new(state),
            body_end: AtomicBool::new(false),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // As in all locks of the request paths: a request that panics must not make all later
        // ones panic, nor the drop of its parts, which would end the process.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds received bytes; none mean that the caller has closed the connection.
    pub(crate) fn receive(&self, bytes: &[u8]) {
        match bytes {
            [] => drop(self.lock().broken.get_or_insert(Cause::Caller)),
            _ => {
                let mut state = self.lock();
                state.pending.extend_from_slice(bytes);
                state.arrivals.push(bytes.len(), Instant::now());
            }
        }
    }

    /// Records that reading or writing failed. hyper does not report this for an idle
    /// connection.
    pub(crate) fn fail(&self, error: io::Error) -> io::Error {
        let cause = match error.kind() {
            ErrorKind::BrokenPipe | ErrorKind::ConnectionReset => Cause::Caller,
            _ => Cause::Io,
        };
        self.lock().broken.get_or_insert(cause);
        error
    }

    /// Reads what has already arrived, without waiting. Unlike the reads of tokio, this
    /// does not depend on whether its event was handled yet. Returns whether there was
    /// anything.
    pub(crate) fn receive_now(&self) -> bool {
        let mut buffer = [0; READ_BYTES];
        let socket = SockRef::from(&self.stream);
        match (&*socket).read(&mut buffer) {
            Ok(n) => {
                self.receive(&buffer[..n]);
                n > 0
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => false,
            Err(e) => {
                self.fail(e);
                false
            }
        }
    }

    /// Writes to the socket once it is writable.
    pub(crate) fn poll_send(
        &self,
        cx: &mut Context<'_>,
        send: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match send(&self.stream) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result.map_err(|e| self.fail(e))),
            }
        }
    }

    /// Whether reading pauses. It goes on once a response is written.
    pub(crate) fn is_full(&self) -> bool {
        self.lock().pending.len() >= PENDING_MAX
    }

    /// Forwards pending bytes to hyper, up to the end of a request. Returns false if
    /// there are none to forward now.
    pub(crate) fn forward(&self, out: &mut ReadBufCursor<'_>) -> bool {
        let mut guard = self.lock();
        let state = &mut *guard;
        if state.pending.is_empty() || (!state.forwarding && state.announced) {
            return false;
        }
        if !state.forwarding {
            if !state.is_idle() {
                return false;
            }
            (state.forwarding, state.busy) = (true, true);
            state.reopened = state.closing.is_some();
            state.safe = is_safe(&state.pending);
            state.restart_scan();
        }
        let n = out.remaining().min(state.pending.len());
        let end = state.framing.feed_message(&state.pending[..n]);
        let n = end.unwrap_or(n);
        out.put_slice(&state.pending[..n]);
        state.pending.advance(n);
        state.forwarded_received = state.arrivals.take(n);
        if end.is_some() {
            state.forwarding = false;
            // If the handler leaves the body unread, hyper closes the connection
            // after the response.
            state.safe &= !state.framing.has_body();
            state.received += 1;
        }
        true
    }

    /// When the last byte that was forwarded to hyper was received.
    pub(crate) fn forwarded_received(&self) -> Instant {
        self.lock().forwarded_received
    }

    /// Removes the next pipelined request from the pending bytes, if it may be started
    /// now.
    pub(crate) fn next_pipelined(&self) -> Option<Pipelined> {
        let mut guard = self.lock();
        let state = &mut *guard;
        if !state.may_pipeline() || !is_safe(&state.pending) {
            return None;
        }
        let Some(end) = state.scan.feed_message(&state.pending[state.scanned..]) else {
            state.scanned = state.pending.len();
            return None;
        };
        let end = state.scanned + end;
        state.restart_scan();
        if state.scan.has_body() {
            // Served once hyper has no other request, as unsafe ones are.
            state.safe = false;
            return None;
        }
        let number = state.next;
        state.next += 1;
        state.undecided += 1;
        state.received += 1;
        Some(Pipelined {
            number,
            input: state.pending.split_to(end).freeze(),
            received: state.arrivals.take(end),
        })
    }

    /// Records that the handler is called for a request.
    pub(crate) fn start(&self, request: &Request<Incoming>, place: Place) {
        let old = request.version() < Version::HTTP_11;
        let keeps = has_option(request.headers(), b"keep-alive");
        let closes = has_option(request.headers(), b"close") || (old && !keeps);
        let mut state = self.lock();
        state.started += 1;
        match place {
            Place::Own => {
                state.serving = true;
                state.undecided += 1;
                state.safe &= !old;
            }
            Place::Pipelined(_) => {}
        }
        if closes || (old && place != Place::Own) {
            state.close(Cause::Request);
        }
    }

    /// Numbers of requests for which the handler was called, and of those that were
    /// answered.
    pub(crate) fn counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.started, state.answered)
    }

    /// Whether the response of a request may be written.
    pub(crate) fn is_turn(&self, place: Place) -> bool {
        let state = self.lock();
        match place {
            Place::Own => state.serving,
            Place::Pipelined(number) => !state.busy && state.front == number,
        }
    }

    /// Records that the response to a request is ready, and whether it is a stream.
    pub(crate) fn hold(&self, place: Place, streams: bool) {
        let mut state = self.lock();
        state.streams += u64::from(streams);
        if let Place::Pipelined(number) = place {
            state.held |= bit(number);
        }
    }

    /// Pipelined requests whose response is held, as a set of bits.
    pub(crate) fn held(&self) -> u64 {
        self.lock().held
    }

    /// Decides whether a response that is to be written next announces the close:
    /// only that of the last started request may.
    pub(crate) fn prepare(&self, headers: &mut HeaderMap, streams: bool) {
        let mut state = self.lock();
        state.undecided -= 1;
        state.reopened = false;
        state.streaming = streams;
        let asks = has_option(headers, b"close");
        if asks {
            state.close(Cause::Response);
        }
        if state.forwarding {
            // hyper closes the connection after this response, since the handler has
            // left the body unread.
            state.close(Cause::Unread);
        }
        match state.closing {
            Some(_) if state.undecided == 0 => {
                headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
                state.announced = true;
            }
            Some(_) | None if asks => drop(headers.remove(header::CONNECTION)),
            Some(_) | None => {}
        }
    }

    /// Records that hyper has dropped the body of the response that is being written.
    pub(crate) fn end_body(&self) {
        self.body_end.store(true, Ordering::Relaxed);
    }

    /// Records that hyper has written all that it has so far. Returns whether that is
    /// the end of the response.
    pub(crate) fn flush(&self, place: Place) -> bool {
        if !self.is_turn(place) || !self.body_end.swap(false, Ordering::Relaxed) {
            return false;
        }
        let mut state = self.lock();
        state.answered += 1;
        state.streams -= u64::from(state.streaming);
        state.streaming = false;
        match place {
            Place::Own => (state.busy, state.serving) = (false, false),
            Place::Pipelined(number) => {
                state.front += 1;
                state.held &= !bit(number);
            }
        }
        true
    }

    /// Whether hyper should be polled for the next request.
    pub(crate) fn has_more(&self) -> bool {
        let state = self.lock();
        state.front != state.next || !state.pending.is_empty()
    }

    /// Number of the first unanswered pipelined request.
    pub(crate) fn front(&self) -> u64 {
        self.lock().front
    }

    /// Starts no further requests. The last response announces the close.
    pub(crate) fn close(&self, cause: Cause) {
        self.lock().close(cause);
    }

    /// Ends hyper's part after it has closed the connection on its side.
    pub(crate) fn end_own(&self, cause: Cause) {
        let mut state = self.lock();
        (state.busy, state.serving) = (false, false);
        state.close(cause);
    }

    /// Why no further requests are started.
    pub(crate) fn closing(&self) -> Option<Cause> {
        self.lock().closing
    }

    /// Whether a response has announced the close.
    pub(crate) fn is_announced(&self) -> bool {
        self.lock().announced
    }

    /// Why the connection can't be used any more.
    pub(crate) fn broken(&self) -> Option<Cause> {
        self.lock().broken
    }

    /// Whether the caller may still be sending a request that was answered or refused.
    pub(crate) fn is_mid_request(&self) -> bool {
        let state = self.lock();
        state.forwarding || (state.busy && !state.serving)
    }

    /// What has happened so far.
    pub(crate) fn progress(&self) -> Progress {
        let state = self.lock();
        Progress {
            received: state.received,
            started: state.started,
            answered: state.answered,
            is_serving: state.serving || state.front != state.next || state.framing.in_body(),
            in_head: !state.pending.is_empty() || state.framing.in_head(),
        }
    }
}
