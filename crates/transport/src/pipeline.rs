//! Concurrent processing of pipelined requests.
//!
//! hyper serves the requests of a connection one after another, so that a short
//! request waits for the response to a long one. While hyper serves a request with
//! a safe method, further complete requests with safe methods are removed from the
//! received bytes and each served on an in-memory connection. The responses are
//! written in the order of the requests.

use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{ready, Context, Poll};

use bytes::{Buf, Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use tokio::net::TcpStream;

use crate::body::CallerBody;
use crate::framing::{Direction, Framing, Verdicts, READ_BYTES};

/// Maximum number of pipelined requests of one connection that are served at a
/// time, in addition to the request that hyper serves.
const PIPELINED_MAX: usize = 16;
/// Number of received and unprocessed bytes at which reading a connection pauses.
const PENDING_MAX: usize = 64 * 1024;
/// Number of buffered bytes at which a pipelined response pauses until earlier
/// responses are written.
const OUTPUT_MAX: usize = 256 * 1024;
/// Safe methods. Requests with these methods have no lasting effect, so that the
/// order in which they are executed does not matter.
const METHODS: [&[u8]; 2] = [b"GET ", b"HEAD "];

/// Flag that is set when hyper drops the body of a response, after its last part.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyEnd(Arc<AtomicBool>);

impl BodyEnd {
    fn take(&self) -> bool {
        self.0.swap(false, Ordering::Relaxed)
    }
}

/// A body that sets a [`BodyEnd`] when hyper drops it.
#[derive(Debug)]
pub(crate) struct TrackedBody {
    body: CallerBody,
    body_end: BodyEnd,
}

impl TrackedBody {
    pub(crate) fn new(body: CallerBody, body_end: BodyEnd) -> TrackedBody {
        TrackedBody { body, body_end }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.body_end.0.store(true, Ordering::Relaxed);
    }
}

impl Body for TrackedBody {
    type Data = <CallerBody as Body>::Data;
    type Error = <CallerBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

#[derive(Debug)]
struct State {
    // Whether hyper has a request whose response is not completely written, and
    // whether the end of that request is still to be forwarded to hyper.
    busy: bool,
    forwarding: bool,
    // Whether that request has a safe method.
    safe: bool,
    // Bytes that were received and not forwarded yet.
    pending: BytesMut,
    // Parser of the first pending request, and how much of it was parsed.
    scan: Framing,
    scanned: usize,
    // Parser of the requests that are forwarded to hyper.
    framing: Framing,
    // Pipelined requests that are not started yet, and the number of all pipelined
    // requests that are not answered.
    ready: VecDeque<Bytes>,
    pipelined: usize,
    // Number of requests that were completely received, started and answered.
    received: u64,
    started: u64,
    answered: u64,
}

/// What has happened on a connection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Progress {
    received: u64,
    started: u64,
    answered: u64,
    in_body: bool,
    /// Whether a part of a request head was received.
    pub(crate) in_head: bool,
}

impl Progress {
    /// Whether a request is in progress.
    pub(crate) fn is_serving(&self) -> bool {
        self.started != self.answered || self.in_body
    }

    /// Whether another head has begun since `earlier`.
    pub(crate) fn has_new_head(&self, earlier: &Progress) -> bool {
        self.in_head && (!earlier.in_head || self.received != earlier.received)
    }
}

/// Follows the requests of a connection.
#[derive(Clone, Debug)]
pub(crate) struct RequestMark(SharedState);

impl RequestMark {
    /// Records the start of a request that is not pipelined.
    pub(crate) fn start(&self) {
        lock(&self.0).started += 1;
    }

    pub(crate) fn progress(&self) -> Progress {
        let state = lock(&self.0);
        Progress {
            received: state.received,
            started: state.started,
            answered: state.answered,
            in_body: state.framing.in_body(),
            in_head: !state.pending.is_empty() || state.framing.in_head(),
        }
    }
}

impl State {
    fn is_idle(&self) -> bool {
        !self.busy && self.pipelined == 0
    }

    fn restart_scan(&mut self) {
        self.scan = Framing::new(Direction::Requests, Verdicts::default());
        self.scanned = 0;
    }

    // Moves complete requests with safe methods from the pending bytes to `ready`.
    fn split(&mut self) {
        while self.safe && self.pipelined < PIPELINED_MAX && is_safe(&self.pending) {
            let end = self.scan.feed_message(&self.pending[self.scanned..]);
            let Some(end) = end else {
                self.scanned = self.pending.len();
                return;
            };
            let request = self.pending.split_to(self.scanned + end);
            self.ready.push_back(request.freeze());
            self.pipelined += 1;
            self.received += 1;
            self.started += 1;
            self.restart_scan();
        }
    }
}

fn is_safe(request: &[u8]) -> bool {
    METHODS.iter().any(|m| request.starts_with(m))
}

type SharedState = Arc<Mutex<State>>;

fn lock(state: &SharedState) -> MutexGuard<'_, State> {
    state.lock().expect("no panic while held")
}

/// A caller's connection, from which hyper reads one request at a time.
#[derive(Debug)]
pub(crate) struct CallerIo {
    stream: Arc<TcpStream>,
    // Reused, since zeroing a buffer for each read costs more than the read.
    buffer: Box<[u8]>,
    state: SharedState,
    body_end: BodyEnd,
}

impl CallerIo {
    /// Wraps a connection. `verdicts` receives a verdict on each request forwarded to
    /// hyper.
    pub(crate) fn new(stream: TcpStream, verdicts: Verdicts) -> CallerIo {
        let state = State {
            busy: false,
            forwarding: false,
            safe: true,
            pending: BytesMut::new(),
            scan: Framing::new(Direction::Requests, Verdicts::default()),
            scanned: 0,
            framing: Framing::new(Direction::Requests, verdicts),
            ready: VecDeque::new(),
            pipelined: 0,
            received: 0,
            started: 0,
            answered: 0,
        };
        CallerIo {
            stream: Arc::new(stream),
            buffer: vec![0; READ_BYTES].into(),
            state: Arc::new(Mutex::new(state)),
            body_end: BodyEnd::default(),
        }
    }

    /// The flag that marks the end of a response on this connection.
    pub(crate) fn body_end(&self) -> BodyEnd {
        self.body_end.clone()
    }

    /// The pipelined requests of this connection.
    pub(crate) fn pipelined(&self) -> PipelinedRequests {
        PipelinedRequests {
            stream: self.stream.clone(),
            state: self.state.clone(),
            running: VecDeque::new(),
        }
    }

    /// The requests of this connection, for its timeouts.
    pub(crate) fn mark(&self) -> RequestMark {
        RequestMark(self.state.clone())
    }

    /// Returns the socket if its [`PipelinedRequests`] are dropped.
    pub(crate) fn into_stream(self) -> Option<TcpStream> {
        Arc::into_inner(self.stream)
    }

    // Forwards pending bytes to hyper, up to the end of a request. Returns false if
    // there are none to forward now.
    fn forward_pending(&mut self, out: &mut ReadBufCursor<'_>) -> bool {
        let mut state = lock(&self.state);
        let state = &mut *state;
        if state.pending.is_empty() {
            return false;
        }
        if !state.forwarding {
            if !state.is_idle() {
                state.split();
                return false;
            }
            (state.forwarding, state.busy) = (true, true);
            state.safe = is_safe(&state.pending);
            state.restart_scan();
        }
        let n = out.remaining().min(state.pending.len());
        let end = state.framing.feed_message(&state.pending[..n]);
        let n = end.unwrap_or(n);
        out.put_slice(&state.pending[..n]);
        state.pending.advance(n);
        state.forwarding = end.is_none();
        state.received += u64::from(end.is_some());
        true
    }
}

impl Read for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut out: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        loop {
            if this.forward_pending(&mut out) {
                return Poll::Ready(Ok(()));
            }
            if lock(&this.state).pending.len() >= PENDING_MAX {
                // Polled again once a response is written.
                return Poll::Pending;
            }
            ready!(this.stream.poll_read_ready(cx))?;
            match this.stream.try_read(&mut this.buffer) {
                Ok(0) => return Poll::Ready(Ok(())),
                Ok(n) => lock(&this.state)
                    .pending
                    .extend_from_slice(&this.buffer[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl Write for CallerIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        poll_send(&self.stream, cx, |s| s.try_write(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes after it has written the whole response.
        if self.body_end.take() {
            let mut state = lock(&self.state);
            state.busy = false;
            state.answered += 1;
            if state.pipelined > 0 || !state.pending.is_empty() {
                cx.waker().wake_by_ref();
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The server shuts down the socket itself.
        Poll::Ready(Ok(()))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_send(&self.stream, cx, |s| s.try_write_vectored(parts))
    }
}

fn poll_send(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    send: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match send(stream) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}

#[derive(Debug, Default)]
struct Output {
    bytes: BytesMut,
    done: bool,
}

/// The response to a pipelined request, buffered until it may be written.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answered {
    output: Arc<Mutex<Output>>,
    // Whether the connection is closed after this response.
    last: Arc<AtomicBool>,
}

impl Answered {
    fn lock(&self) -> MutexGuard<'_, Output> {
        self.output.lock().expect("no panic while held")
    }

    /// Closes the connection after this response.
    pub(crate) fn set_last(&self) {
        self.last.store(true, Ordering::Relaxed);
    }
}

/// In-memory connection with one request as input and its response as output.
#[derive(Debug)]
pub(crate) struct PipelinedIo {
    input: Bytes,
    answered: Answered,
    body_end: BodyEnd,
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
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut output = self.answered.lock();
        if output.bytes.len() >= OUTPUT_MAX {
            // Polled again once a part of the output is written.
            return Poll::Pending;
        }
        output.bytes.extend_from_slice(bytes);
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.body_end.take() {
            self.answered.lock().done = true;
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

type Serving = Pin<Box<dyn Future<Output = ()> + Send>>;

struct PipelinedRequest {
    // None once it is finished.
    serving: Option<Serving>,
    answered: Answered,
}

/// The pipelined requests of a connection, in order of arrival. Dropping them
/// cancels them.
pub(crate) struct PipelinedRequests {
    stream: Arc<TcpStream>,
    state: SharedState,
    running: VecDeque<PipelinedRequest>,
}

impl PipelinedRequests {
    /// Whether their responses may be written, since hyper has no request in progress.
    pub(crate) fn may_write(&self) -> bool {
        !lock(&self.state).busy
    }

    /// Whether no pipelined request is in progress.
    pub(crate) fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Starts new pipelined requests, polls all of them and writes the responses that
    /// may be written. Returns whether any response was completed.
    ///
    /// # Errors
    /// The connection must be closed: it failed, a response is incomplete, or a
    /// response announced the close.
    pub(crate) fn poll(
        &mut self,
        cx: &mut Context<'_>,
        serve: impl Fn(PipelinedIo, BodyEnd, Answered) -> Serving,
    ) -> io::Result<bool> {
        let mut completed = false;
        loop {
            let ready = std::mem::take(&mut lock(&self.state).ready);
            for input in ready {
                let (answered, body_end) = (Answered::default(), BodyEnd::default());
                let io = PipelinedIo {
                    input,
                    answered: answered.clone(),
                    body_end: body_end.clone(),
                };
                let serving = Some(serve(io, body_end, answered.clone()));
                self.running
                    .push_back(PipelinedRequest { serving, answered });
            }
            for request in &mut self.running {
                let ended = request.serving.as_mut().map(|s| s.as_mut().poll(cx));
                if ended.is_some_and(|p| p.is_ready()) || request.answered.lock().done {
                    request.serving = None;
                }
            }
            if !self.write(cx)? {
                return Ok(completed);
            }
            completed = true;
        }
    }

    // Writes the available part of the first response if hyper has no request in
    // progress. Returns whether the response is complete.
    fn write(&mut self, cx: &mut Context<'_>) -> io::Result<bool> {
        let Some(request) = self.running.front() else {
            return Ok(false);
        };
        if lock(&self.state).busy {
            return Ok(false);
        }
        let mut output = request.answered.lock();
        while !output.bytes.is_empty() {
            match poll_send(&self.stream, cx, |s| s.try_write(&output.bytes)) {
                Poll::Pending => return Ok(false),
                Poll::Ready(sent) => output.bytes.advance(sent?),
            }
        }
        match (output.done, &request.serving) {
            (true, _) if request.answered.last.load(Ordering::Relaxed) => {
                Err(io::ErrorKind::ConnectionAborted.into())
            }
            (true, _) => {
                drop(output);
                self.running.pop_front();
                let mut state = lock(&self.state);
                state.pipelined -= 1;
                state.answered += 1;
                Ok(true)
            }
            (false, None) => Err(io::ErrorKind::UnexpectedEof.into()),
            (false, Some(_)) => Ok(false),
        }
    }
}
