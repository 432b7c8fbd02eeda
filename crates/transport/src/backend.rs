//! HTTP/1 client connection to a backend server.
//!
//! The connection is polled by the task of the request that uses it, so that no
//! answer has to be passed between threads.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http::{header, response, HeaderName, Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

use crate::framing::{Direction, Framing, Verdicts, READ_BYTES};
use crate::socket::{self, Remote};

// Maximum size of a response head.
const HEAD_MAX_BYTES: usize = 64 * 1024;

/// Why an exchange with a backend server failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExchangeError {
    /// The connection could not be established.
    Connect,
    /// The connection was closed before the response was complete.
    Cut,
    /// The response carries the identifier of another request.
    Foreign,
    /// The response violates HTTP, or is delimited only by the end of the connection.
    Malformed,
    /// The response, or a part of its body, timed out.
    Silent,
}

/// A failed exchange.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Why it failed.
    pub fault: ExchangeError,
    /// Whether any byte of the request was written to the socket.
    pub written: bool,
}

/// State shared by a connection and its [`BackendIo`].
#[derive(Debug)]
struct IoMonitor {
    written: AtomicU64,
    // When the first byte of the current request was written.
    write_time: Mutex<Option<Instant>>,
    framing: Mutex<Framing>,
    verdicts: Verdicts,
}

impl IoMonitor {
    fn write_time(&self) -> MutexGuard<'_, Option<Instant>> {
        self.write_time
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn expect_head(&self) {
        *self.write_time() = None;
        let mut framing = self.framing.lock().unwrap_or_else(PoisonError::into_inner);
        framing.restart();
    }

    // Returns an error if the bytes continue an endless series of interim responses.
    fn inspect(&self, bytes: &[u8]) -> io::Result<()> {
        let mut framing = self.framing.lock().unwrap_or_else(PoisonError::into_inner);
        framing.feed(bytes);
        match framing.has_excess_interim() {
            true => Err(io::ErrorKind::InvalidData.into()),
            false => Ok(()),
        }
    }

    fn has_excess_interim(&self) -> bool {
        let framing = self.framing.lock().unwrap_or_else(PoisonError::into_inner);
        framing.has_excess_interim()
    }
}

struct BackendIo {
    io: TokioIo<TcpStream>,
    monitor: Arc<IoMonitor>,
    buffer: Box<[u8]>,
}

impl Read for BackendIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut out: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let want = out.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(&mut this.buffer[..want]);
        ready!(Pin::new(&mut this.io).poll_read(cx, part.unfilled()))?;
        this.monitor.inspect(part.filled())?;
        out.put_slice(part.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for BackendIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = ready!(Pin::new(&mut self.io).poll_write(cx, bytes));
        self.count(&result);
        Poll::Ready(result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = ready!(Pin::new(&mut self.io).poll_write_vectored(cx, parts));
        self.count(&result);
        Poll::Ready(result)
    }
}

impl BackendIo {
    fn count(&self, result: &io::Result<usize>) {
        let n = *result.as_ref().unwrap_or(&0) as u64;
        self.monitor.written.fetch_add(n, Ordering::Relaxed);
        if n > 0 {
            self.monitor.write_time().get_or_insert_with(Instant::now);
        }
    }
}

/// Tells when the request on a connection was written.
#[derive(Clone, Debug)]
pub struct WriteTime(Arc<IoMonitor>);

impl WriteTime {
    /// When the first byte of the request was written to the socket; `None` if none was yet.
    pub fn get(&self) -> Option<Instant> {
        *self.0.write_time()
    }
}

/// An open connection, which carries one request and its response at a time.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Pin<Box<http1::Connection<BackendIo, Full<Bytes>>>>,
    ended: bool,
    monitor: Arc<IoMonitor>,
    proven: Instant,
    fresh: bool,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection")
            .field("proven", &self.proven)
            .finish_non_exhaustive()
    }
}

impl Connection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Connection, ExchangeError> {
        let stream = match timeout(limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) | Err(_) => return Err(ExchangeError::Connect),
        };
        socket::configure(&stream, Remote::Server);
        let verdicts = Verdicts::default();
        let framing = Framing::new(Direction::Responses, verdicts.clone());
        let monitor = Arc::new(IoMonitor {
            written: AtomicU64::new(0),
            write_time: Mutex::default(),
            framing: Mutex::new(framing),
            verdicts,
        });
        let io = BackendIo {
            io: TokioIo::new(stream),
            monitor: monitor.clone(),
            buffer: vec![0; READ_BYTES].into(),
        };
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(HEAD_MAX_BYTES)
            .handshake(io)
            .await
            .map_err(|_| ExchangeError::Connect)?;
        Ok(Connection {
            sender,
            driver: Box::pin(driver),
            ended: false,
            monitor,
            proven: Instant::now(),
            fresh: true,
        })
    }

    /// When the last complete response was received, or else when the connection was
    /// opened.
    pub fn proven(&self) -> Instant {
        self.proven
    }

    /// Tells when the next request is written.
    pub fn write_time(&self) -> WriteTime {
        WriteTime(self.monitor.clone())
    }

    /// Whether no response was received on the connection yet.
    pub fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// Whether the connection is open and no earlier request or response is
    /// incomplete.
    pub fn is_usable(&mut self) -> bool {
        let _ = self.drive(&mut Context::from_waker(Waker::noop()));
        !self.ended && self.sender.is_ready()
    }

    fn drive(&mut self, cx: &mut Context<'_>) -> bool {
        if !self.ended {
            self.ended = self.driver.as_mut().poll(cx).is_ready();
        }
        self.ended
    }

    /// Sends a request and waits up to `limit` for the head of its response. `name`
    /// is the header that identifies a request, and `id` its value. A response with
    /// another value in this header is refused. On failure the connection is closed.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
        name: &HeaderName,
        id: &[u8],
        limit: Duration,
    ) -> Result<Reply, Failure> {
        let before = self.monitor.written.load(Ordering::Relaxed);
        self.monitor.expect_head();
        let result = match timeout(limit, self.exchange(request)).await {
            Err(_) => Err(ExchangeError::Silent),
            Ok(Err(_)) if self.monitor.has_excess_interim() => Err(ExchangeError::Malformed),
            Ok(Err(fault)) => Err(fault),
            Ok(Ok(_)) if !self.monitor.verdicts.next() => Err(ExchangeError::Malformed),
            Ok(Ok(response)) => check(response, name, id),
        };
        let written = self.monitor.written.load(Ordering::Relaxed) != before;
        let (parts, body) = result
            .map_err(|fault| Failure { fault, written })?
            .into_parts();
        Ok(Reply {
            parts,
            body: ReplyBody {
                body,
                connection: self,
            },
        })
    }

    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let mut call = pin!(self.sender.send_request(request));
        let (driver, ended) = (&mut self.driver, &mut self.ended);
        let answer = std::future::poll_fn(|cx| {
            if !*ended {
                *ended = driver.as_mut().poll(cx).is_ready();
            }
            call.as_mut().poll(cx)
        });
        answer.await.map_err(fault)
    }
}

fn fault(error: hyper::Error) -> ExchangeError {
    match error.is_parse() {
        true => ExchangeError::Malformed,
        false => ExchangeError::Cut,
    }
}

fn check(
    response: Response<Incoming>,
    name: &HeaderName,
    id: &[u8],
) -> Result<Response<Incoming>, ExchangeError> {
    let headers = response.headers();
    let foreign = headers.get_all(name).iter().any(|v| v.as_bytes() != id);
    let counted = headers.contains_key(header::CONTENT_LENGTH);
    let chunked = headers
        .get(header::TRANSFER_ENCODING)
        .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"chunked"));
    let ends = response.body().is_end_stream() || counted || chunked;
    match foreign {
        true => Err(ExchangeError::Foreign),
        // A body that is delimited by the end of the connection may be truncated.
        false if !ends => Err(ExchangeError::Malformed),
        // No other status is one of a final response; the parser lets 600 to 999 pass, too.
        false if !(200..=599).contains(&response.status().as_u16()) => {
            Err(ExchangeError::Malformed)
        }
        false => Ok(response),
    }
}

/// A response whose body has not been read yet.
#[derive(Debug)]
pub struct Reply {
    /// Status and headers.
    pub parts: response::Parts,
    /// Body, still to be read from the connection.
    pub body: ReplyBody,
}

/// The body of a response and the connection that it is read from.
#[derive(Debug)]
pub struct ReplyBody {
    body: Incoming,
    connection: Connection,
}

impl ReplyBody {
    /// Polls for the next part of the body; `None` once it is complete.
    pub fn poll_part(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, ExchangeError>>> {
        loop {
            let mut polled = Pin::new(&mut self.body).poll_frame(cx);
            if polled.is_pending() {
                self.connection.drive(cx);
                polled = Pin::new(&mut self.body).poll_frame(cx);
            }
            match ready!(polled) {
                None => return Poll::Ready(None),
                Some(Err(e)) => return Poll::Ready(Some(Err(fault(e)))),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => return Poll::Ready(Some(Ok(data))),
                    Err(_) => continue,
                },
            }
        }
    }

    /// Number of bytes left, if the response has a `Content-Length`.
    pub fn remaining_length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Returns the connection after the whole body was read. Whether it can be reused
    /// is checked when it is taken from the pool.
    pub fn finish(mut self) -> Connection {
        drop(self.body);
        self.connection.proven = Instant::now();
        self.connection.fresh = false;
        self.connection
    }
}
