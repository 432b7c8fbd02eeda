//! Drives a caller's connection until it ends.

use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use hyper::server::conn::http1;
use pomelovale_state::clock::Millis;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::caller_io::CallerIo;
use crate::ending::{Cause, EndReport};
use crate::framing::Verdicts;
use crate::http_server::{Phase, Shared, Slot};
use crate::linger::{self, BuiltinResponse, LateBytes};
use crate::link::{Link, Progress};
use crate::pipeline::PipelinedRequests;
use crate::serving::{Calls, Requests};
use crate::timers::{Expired, Timers, Waiting};

/// Time after the opening of a connection for which its first request is waited for in a
/// stop, in milliseconds. It covers a round trip between regions.
const FIRST_REQUEST_MS: u64 = 500;

struct Connection<'a> {
    shared: &'a Shared,
    slot: &'a Slot,
    requests: Requests,
    link: &'a Link,
    http: http1::Connection<CallerIo, Calls>,
    // Whether hyper has closed the connection on its side.
    http_ended: bool,
    pipelined: PipelinedRequests,
    progress: Progress,
    timers: Timers,
    opened: Millis,
    head_since: Millis,
    // When the last response was written.
    answered: Option<Millis>,
    // Number of answered requests when hyper was last offered what waits behind them.
    offered: u64,
    // Whether the socket was read once more before the close.
    last_read: bool,
}

impl Connection<'_> {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Cause> {
        loop {
            if !self.http_ended {
                if let Poll::Ready(result) = Pin::new(&mut self.http).poll(cx) {
                    let cause = self.cause(result);
                    let fatal = matches!(cause, Cause::Caller | Cause::Incomplete | Cause::Io);
                    if fatal || self.pipelined.is_empty() {
                        return Poll::Ready(cause);
                    }
                    self.http_ended = true;
                    self.link.end_own(cause);
                }
            }
            match self.pipelined.poll(cx, &self.requests) {
                // hyper may be able to read the next request now.
                Ok(true) => continue,
                Ok(false) => {}
                Err(cause) => return Poll::Ready(cause),
            }
            self.update_timers();
            if self.progress.is_serving {
                return Poll::Pending;
            }
            if self.offered != self.progress.answered && self.link.has_more() {
                // These bytes may be a complete request, for which no timeout runs.
                self.offered = self.progress.answered;
                continue;
            }
            let ends = self.http_ended || self.last_read || self.link.is_announced();
            match self.link.closing() {
                Some(cause) if ends => return Poll::Ready(cause),
                Some(Cause::Stop) if self.progress.is_unused() && !self.is_late(cx) => {
                    return Poll::Pending;
                }
                Some(_) => {
                    // A request that has already arrived is served.
                    self.last_read = true;
                    self.link.receive_now();
                    if let Some(cause) = self.link.broken() {
                        return Poll::Ready(cause);
                    }
                }
                None => match ready!(self.timers.poll(cx)) {
                    Expired::Head => self.link.close(Cause::HeadTimeout),
                    // The head timeout holds for a head that has begun by now.
                    Expired::Idle if self.link.receive_now() => {}
                    Expired::Idle => self.link.close(Cause::Idle),
                },
            }
        }
    }

    // Whether the time for the first request is over.
    fn is_late(&mut self, cx: &mut Context<'_>) -> bool {
        let end = self.opened.plus(FIRST_REQUEST_MS);
        self.timers.poll_until(cx, end).is_ready()
    }

    // Why hyper has closed the connection on its side.
    fn cause(&self, result: hyper::Result<()>) -> Cause {
        match (result, self.link.broken()) {
            (_, Some(cause)) => cause,
            (Ok(()), None) => self.link.closing().unwrap_or(Cause::Unread),
            (Err(e), None) if e.is_parse() => Cause::Protocol,
            // The body of the response failed, or is shorter than announced.
            (Err(e), None) if e.is_user() => Cause::Incomplete,
            (Err(_), None) => Cause::Io,
        }
    }

    // Restarts the timeouts if a request was started or answered, or if a part of a
    // request has arrived.
    fn update_timers(&mut self) {
        let progress = self.link.progress();
        if progress == self.progress {
            return;
        }
        let now = self.shared.now();
        if progress.has_new_head(&self.progress) {
            self.head_since = now;
        }
        let (waiting, since) = match progress {
            Progress {
                is_serving: true, ..
            } => (Waiting::Answer, now),
            Progress { in_head: true, .. } => (Waiting::Head, self.head_since),
            _ => (Waiting::Request, now),
        };
        if progress.answered != self.progress.answered {
            self.answered = Some(now);
        }
        self.progress = progress;
        self.timers.wait_for(waiting, since);
        self.slot.set_idle((!progress.is_serving).then_some(now));
    }
}

/// Serves a connection and closes it.
pub(crate) async fn serve(
    stream: TcpStream,
    address: SocketAddr,
    shared: &Arc<Shared>,
    slot: &Slot,
    mut phase: watch::Receiver<Phase>,
) {
    let verdicts = Verdicts::default();
    let link = Arc::new(Link::new(stream, verdicts.clone()));
    let requests = Requests {
        shared: shared.clone(),
        address,
    };
    let mut report = EndReport {
        shared: shared.clone(),
        link: Some(link.clone()),
        address,
        opened: shared.now(),
        cause: Cause::Aborted,
    };
    let opened = report.opened;
    let mut timeouts = shared.timeouts();
    let mut connection = Connection {
        shared,
        slot,
        link: &link,
        http: requests.serve_own(&link, verdicts),
        http_ended: false,
        requests,
        pipelined: PipelinedRequests::new(link.clone()),
        progress: link.progress(),
        timers: Timers::new(shared.start, shared.now(), *timeouts.borrow_and_update()),
        opened,
        head_since: Millis(0),
        answered: None,
        offered: 0,
        last_read: false,
    };
    let mut closing = pin!(async {
        tokio::select! {
            _ = phase.wait_for(|p| *p == Phase::Closing) => Cause::Stop,
            () = slot.close.notified() => Cause::Evicted,
        }
    });
    let mut is_closing = false;
    let cause = loop {
        tokio::select! {
            biased;
            cause = &mut closing, if !is_closing => {
                is_closing = true;
                link.close(cause);
            }
            Ok(()) = timeouts.changed() => {
                let changed = *timeouts.borrow_and_update();
                connection.timers.set(shared.now(), changed);
            }
            cause = poll_fn(|cx| connection.poll(cx)) => break cause,
        }
    };
    connection.update_timers();
    let answered = connection.answered;
    let refuses = link.progress().in_head && !link.is_announced();
    drop(connection);
    report.cause = cause;
    drop(report);
    let answer = match cause {
        // The rest of the head may have arrived in the last read.
        Cause::HeadTimeout if refuses => Some(BuiltinResponse::HeadTimeout),
        Cause::Evicted | Cause::Stop if refuses => Some(BuiltinResponse::Full),
        _ => None,
    };
    if link.broken().is_some() {
        return;
    }
    let was_idle = matches!(cause, Cause::Evicted | Cause::Idle | Cause::Stop) && answer.is_none();
    let late = match answer.is_some() || link.is_mid_request() {
        true => LateBytes::Read,
        false if was_idle && !link.is_announced() => LateBytes::Leave,
        false => LateBytes::Discard,
    };
    let since = match answer {
        Some(_) => Some(0),
        None => answered.map(|at| shared.now().since(at)),
    };
    let limit = match cause {
        // The connection makes room for a new one.
        Cause::Evicted => linger::limit(None),
        _ => linger::limit(since),
    };
    let close = async move { linger::close(&link.stream, answer, late, limit).await };
    let lingering = tokio::spawn(close);
    if !was_idle || linger::is_recent(since) {
        let _ = lingering.await;
    }
}
