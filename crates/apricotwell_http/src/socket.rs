//! Socket that can be examined while its connection is idle.

use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that a server may send before the head of its response is complete, informational responses
/// included. What comes after the head in the same reads is far less.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// Socket of a connection, which owns it.
pub(crate) struct Socket(Rc<SocketState>);

/// View of a socket; does not keep it open.
pub(crate) struct SocketView(Weak<SocketState>);

struct SocketState {
    stream: TcpStream,
    // Bytes that may still be received before the head of a response; `None` while none is awaited.
    head_left: Cell<Option<usize>>,
}

impl SocketState {
    // Counts bytes that were received; fails if they are too many before a head.
    fn count(&self, bytes: usize) -> io::Result<()> {
        let Some(left) = self.head_left.get() else {
            return Ok(());
        };
        let left = left.checked_sub(bytes);
        self.head_left.set(Some(left.unwrap_or(0)));
        let too_many = || io::Error::other("too many bytes before the head of the response");
        left.map(|_| ()).ok_or_else(too_many)
    }
}

impl Socket {
    /// Wraps a connected socket.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(Rc::new(SocketState {
            stream,
            head_left: Cell::new(None),
        }))
    }

    /// Returns a view of the socket.
    pub(crate) fn view(&self) -> SocketView {
        SocketView(Rc::downgrade(&self.0))
    }
}

impl SocketView {
    /// Returns whether the peer has neither closed the connection nor sent bytes that are unread.
    ///
    /// Asks the system, which knows of them before the event loop has run.
    pub(crate) fn is_silent(&self) -> bool {
        let Some(stream) = self.0.upgrade() else {
            return false;
        };
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&stream.stream).peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Records whether a request is sent now whose response has not begun, so that what comes is limited.
    pub(crate) fn set_awaiting_head(&self, is_awaited: bool) {
        if let Some(state) = self.0.upgrade() {
            state.head_left.set(is_awaited.then_some(MAX_HEAD_BYTES));
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.stream.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.and_then(|bytes| self.0.count(bytes))),
            }
        }
    }
}

impl Socket {
    // Repeats a write until the socket takes bytes or is not ready.
    fn poll_with<F>(&self, cx: &mut Context<'_>, write: F) -> Poll<io::Result<usize>>
    where
        F: Fn(&TcpStream) -> io::Result<usize>,
    {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match write(&self.0.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_with(cx, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_with(cx, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}
