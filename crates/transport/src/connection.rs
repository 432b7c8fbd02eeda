//! Drives a caller's connection until it ends.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::server::conn::http1;
use pomelovale_state::clock::Millis;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::framing::Verdicts;
use crate::http_server::{Phase, Shared, Slot};
use crate::pipeline::{CallerIo, PipelinedRequests, Progress, RequestMark};
use crate::serving::{OwnRequests, Requests};
use crate::timers::{Expired, Timers, Waiting};

// Limits on the time and the bytes for which a connection is read after its last
// response. Closing a socket with unread data resets the connection, and the caller
// may lose the response.
const LINGER_MS: u64 = 500;
const LINGER_MAX_BYTES: usize = 1024 * 1024;

/// Complete responses that the server sends without calling the handler.
#[derive(Clone, Copy, Debug)]
pub(crate) enum BuiltinResponse {
    Full,
    HeadTimeout,
}

impl BuiltinResponse {
    fn bytes(self) -> &'static [u8] {
        match self {
            BuiltinResponse::Full => {
                b"HTTP/1.1 503 Service Unavailable\r\npomelovale-outcome: not-run\r\n\
                retry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
            }
            BuiltinResponse::HeadTimeout => {
                b"HTTP/1.1 408 Request Timeout\r\npomelovale-outcome: not-run\r\n\
                connection: close\r\ncontent-length: 0\r\n\r\n"
            }
        }
    }
}

/// Why a connection ends.
enum End {
    Http(hyper::Result<()>),
    // A pipelined response was the last one, or is incomplete.
    Pipelined(io::Error),
    Timeout(Expired),
}

struct Connection<'a> {
    shared: &'a Shared,
    slot: &'a Slot,
    requests: Requests,
    http: http1::Connection<CallerIo, OwnRequests>,
    pipelined: PipelinedRequests,
    mark: RequestMark,
    progress: Progress,
    timers: Timers,
    head_since: Millis,
    // Whether the shutdown began while hyper had no request of its own in progress.
    // It then ends the connection without announcing this in a response, and the
    // pipelined requests are finished afterwards.
    finish_pipelined: bool,
}

impl Connection<'_> {
    fn shut_down(&mut self) {
        self.finish_pipelined = self.pipelined.may_write();
        Pin::new(&mut self.http).graceful_shutdown();
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<End> {
        let requests = &self.requests;
        let serve = |io, body_end, answered| requests.serve_pipelined(io, body_end, answered);
        loop {
            if let Poll::Ready(result) = self.http.poll_without_shutdown(cx) {
                return Poll::Ready(End::Http(result));
            }
            match self.pipelined.poll(cx, serve) {
                // hyper may be able to read the next request now.
                Ok(true) => continue,
                Ok(false) => break,
                Err(e) => return Poll::Ready(End::Pipelined(e)),
            }
        }
        self.update_timers();
        self.timers.poll(cx).map(End::Timeout)
    }

    fn poll_pipelined(&mut self, cx: &mut Context<'_>) -> Poll<End> {
        let requests = &self.requests;
        let serve = |io, body_end, answered| requests.serve_pipelined(io, body_end, answered);
        match self.pipelined.poll(cx, serve) {
            Ok(_) if !self.pipelined.is_empty() => Poll::Pending,
            Ok(_) => Poll::Ready(End::Http(Ok(()))),
            Err(e) => Poll::Ready(End::Pipelined(e)),
        }
    }

    // Restarts the timeouts if a request was started or answered, or if a part of a
    // request has arrived.
    fn update_timers(&mut self) {
        let progress = self.mark.progress();
        if progress == self.progress {
            return;
        }
        let now = self.shared.now();
        if progress.has_new_head(&self.progress) {
            self.head_since = now;
        }
        let (waiting, since) = match progress {
            _ if progress.is_serving() => (Waiting::Answer, now),
            Progress { in_head: true, .. } => (Waiting::Head, self.head_since),
            _ => (Waiting::Request, now),
        };
        self.progress = progress;
        self.timers.wait_for(waiting, since);
        self.slot
            .set_idle((waiting != Waiting::Answer).then_some(now));
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
    let io = CallerIo::new(stream, verdicts.clone());
    let (pipelined, mark) = (io.pipelined(), io.mark());
    let requests = Requests {
        shared: shared.clone(),
        address,
    };
    let own = OwnRequests {
        requests: requests.clone(),
        verdicts,
        body_end: io.body_end(),
        mark: mark.clone(),
    };
    let mut timeouts = shared.timeouts();
    let mut connection = Connection {
        shared,
        slot,
        http: requests.builder().serve_connection(io, own),
        requests,
        pipelined,
        progress: mark.progress(),
        mark,
        timers: Timers::new(shared.start, shared.now(), *timeouts.borrow_and_update()),
        head_since: Millis(0),
        finish_pipelined: false,
    };
    let mut closing = pin!(async {
        tokio::select! {
            _ = phase.wait_for(|p| *p == Phase::Closing) => {}
            () = slot.close.notified() => {}
        }
    });
    let mut is_closing = false;
    let end = loop {
        tokio::select! {
            biased;
            () = &mut closing, if !is_closing => {
                is_closing = true;
                connection.shut_down();
            }
            Ok(()) = timeouts.changed() => {
                let changed = *timeouts.borrow_and_update();
                connection.timers.set(shared.now(), changed);
            }
            end = poll_fn(|cx| connection.poll(cx)) => break end,
        }
    };
    let end = match end {
        End::Http(Ok(())) if connection.finish_pipelined => {
            poll_fn(|cx| connection.poll_pipelined(cx)).await
        }
        end => end,
    };
    if let End::Pipelined(e) = &end {
        tracing::debug!(
            event = "pipelined",
            "connection closed after a pipelined response: {e}"
        );
    }
    let answer = matches!(end, End::Timeout(Expired::Head)).then_some(BuiltinResponse::HeadTimeout);
    let Connection {
        http, pipelined, ..
    } = connection;
    drop(pipelined);
    if let Some(stream) = http.into_parts().io.into_stream() {
        close(stream, answer).await;
    }
}

/// Writes a last response, if any, and closes the connection.
pub(crate) async fn close(mut stream: TcpStream, answer: Option<BuiltinResponse>) {
    let lingering = async {
        if let Some(answer) = answer {
            stream.write_all(answer.bytes()).await?;
        }
        stream.shutdown().await?;
        let (mut buffer, mut left) = ([0; 4096], LINGER_MAX_BYTES);
        while left > 0 {
            match stream.read(&mut buffer).await? {
                0 => break,
                n => left = left.saturating_sub(n),
            }
        }
        Ok::<_, io::Error>(())
    };
    let _ = timeout(Duration::from_millis(LINGER_MS), lingering).await;
}
