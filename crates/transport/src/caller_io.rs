//! The socket of a caller's connection, from which hyper reads one request at a time.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};

use crate::framing::READ_BYTES;
use crate::link::{Link, Place};

/// The connection as hyper sees it.
#[derive(Debug)]
pub(crate) struct CallerIo {
    link: Arc<Link>,
    // Reused, since zeroing a buffer for each read costs more than the read.
    buffer: Box<[u8]>,
}

impl CallerIo {
    pub(crate) fn new(link: Arc<Link>) -> CallerIo {
        CallerIo {
            link,
            buffer: vec![0; READ_BYTES].into(),
        }
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
            if this.link.forward(&mut out) {
                return Poll::Ready(Ok(()));
            }
            if this.link.is_full() {
                return Poll::Pending;
            }
            ready!(this.link.stream.poll_read_ready(cx))?;
            match this.link.stream.try_read(&mut this.buffer) {
                Ok(n) => this.link.receive(&this.buffer[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                Err(e) => return Poll::Ready(Err(this.link.fail(e))),
            }
            if this.link.broken().is_some() {
                return Poll::Ready(Ok(()));
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
        self.link.poll_send(cx, |s| s.try_write(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.link.flush(Place::Own) && self.link.has_more() {
            cx.waker().wake_by_ref();
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
        self.link.poll_send(cx, |s| s.try_write_vectored(parts))
    }
}
