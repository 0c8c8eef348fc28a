//! Open client connections of a server: what each one is doing, and how they end when it stops.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};

use apricotwell_types::Map;
use hyper::body::{Body, Frame, SizeHint};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Sleep;

/// Time for which a connection stays open after it was accepted and after each response, so that the
/// next request of a client that did not yet learn of the stop is answered. Longer than responses let a
/// client use a connection again (`Keep-Alive`, 1 s), so that no request crosses the close.
const KEEP_OPEN: Duration = Duration::from_millis(1800);

/// Time after which a connection is closed whose client acknowledges nothing or accepts no more bytes
/// (`TCP_USER_TIMEOUT`). A client that only pauses reading has no other limit, so it is longer than
/// pauses within a response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which an instance that has closed its side waits for the client to close the connection.
/// Longer than slow readers take for what the buffers of the kernel hold.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// The same for a connection that has been idle for some time, whose last response has arrived.
const IDLE_LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Bytes that are discarded at a time after the instance has closed its side.
const DISCARDED_BYTES: usize = 4 << 10;

/// What a client connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// No request has begun since the connection opened or since its last response.
    Idle,
    /// Part of a request has been read.
    Reading,
    /// A request has been read, and its response has not begun.
    Serving,
    /// Part of a response is not yet written to the socket.
    Responding,
    /// The instance has closed its side.
    Closed,
}

/// Number of requests and connections that ended in each way since the instance began to stop.
#[derive(Clone, Copy, Debug, Default)]
struct StopCounts {
    refused: u64,
    closed_idle: u64,
    closed_after: u64,
    cut_reading: u64,
    broken_off: u64,
}

/// Open client connections of an instance.
#[derive(Debug, Default)]
pub struct Connections {
    open: RefCell<Map<u64, Rc<Connection>>>,
    next_id: Cell<u64>,
    // Whether idle connections are to be closed and no more are to be accepted.
    is_closing: watch::Sender<bool>,
    counts: Cell<StopCounts>,
}

impl Connections {
    /// Adds a connection that was just accepted.
    pub fn open(self: &Rc<Self>) -> OpenConnection {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let state = Rc::new(Connection {
            activity: Cell::new(Activity::Idle),
            idle_since: Cell::new(Instant::now()),
            body_pending: Cell::new(false),
            reads_ahead: Cell::new(false),
            announces_close: Cell::new(false),
            reader: RefCell::default(),
        });
        self.open.borrow_mut().insert(id, Rc::clone(&state));
        OpenConnection {
            connections: Rc::clone(self),
            id,
            state,
        }
    }

    /// Closes the connections that have been idle for some time; to be called until none is open.
    pub fn close_idle(&self) {
        self.is_closing.send_replace(true);
        for connection in self.open.borrow().values() {
            if connection.is_unused() {
                connection.wake();
            }
        }
    }

    /// Starts to count how requests and connections end.
    pub fn start_counting(&self) {
        self.counts.set(StopCounts::default());
    }

    /// Counts a request that was refused because the instance is stopping.
    pub fn count_refused(&self) {
        self.update(|counts| counts.refused += 1);
    }

    /// Returns how requests and connections ended since the count began, and what the connections
    /// that are still open are doing, each with its name in the log.
    pub fn counts(&self) -> [(&'static str, u64); 9] {
        let counts = self.counts.get();
        let cut_reading = counts.cut_reading + self.count(Activity::Reading);
        [
            ("refused", counts.refused),
            ("closed_idle", counts.closed_idle),
            ("closed_after", counts.closed_after),
            ("broken_off", counts.broken_off),
            ("open_idle", self.count(Activity::Idle)),
            ("cut_reading", cut_reading),
            ("cut_serving", self.count(Activity::Serving)),
            ("cut_responding", self.count(Activity::Responding)),
            ("cut_closed", self.count(Activity::Closed)),
        ]
    }

    /// Waits until no more connections are to be accepted.
    pub async fn closing(&self) {
        // Fails only if the sender is dropped, which `self` holds.
        let _ = self
            .is_closing
            .subscribe()
            .wait_for(|closing| *closing)
            .await;
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }

    fn count(&self, activity: Activity) -> u64 {
        let open = self.open.borrow();
        let matching = open.values().filter(|it| it.activity.get() == activity);
        matching.count() as u64
    }

    fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut StopCounts),
    {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    fn count_close(&self, connection: &Connection) {
        self.update(|counts| match connection.activity.get() {
            Activity::Reading => counts.cut_reading += 1,
            Activity::Idle if !connection.announces_close.get() => counts.closed_idle += 1,
            _ => counts.closed_after += 1,
        });
    }
}

/// Entry of an open connection; removed on drop.
#[derive(Debug)]
pub struct OpenConnection {
    connections: Rc<Connections>,
    id: u64,
    /// State of the connection.
    pub state: Rc<Connection>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.id);
        let activity = self.state.activity.get();
        if matches!(activity, Activity::Serving | Activity::Responding) {
            self.connections.update(|counts| counts.broken_off += 1);
        }
    }
}

/// State of one connection.
#[derive(Debug)]
pub struct Connection {
    activity: Cell<Activity>,
    // When the connection was accepted or the last response ended.
    idle_since: Cell<Instant>,
    // Whether the body of the response has not been handed over in full.
    body_pending: Cell<bool>,
    // Whether bytes were read after the request that is being served.
    reads_ahead: Cell<bool>,
    // Whether the last response told the client that the connection closes.
    announces_close: Cell<bool>,
    // Task that waits for input, to be woken when the connection may be closed.
    reader: RefCell<Option<Waker>>,
}

impl Connection {
    /// Records that the head of a request was read.
    pub fn begin_request(&self) {
        self.activity.set(Activity::Reading);
        self.reads_ahead.set(false);
    }

    /// Records that a request was read in full.
    pub fn begin_serving(&self) {
        self.activity.set(Activity::Serving);
    }

    /// Records the head of a response; the returned guard is held until its body is handed over.
    pub fn begin_response(self: &Rc<Self>, announces_close: bool) -> ResponseGuard {
        self.activity.set(Activity::Responding);
        self.announces_close.set(announces_close);
        self.body_pending.set(true);
        ResponseGuard {
            connection: Rc::clone(self),
        }
    }

    fn is_unused(&self) -> bool {
        self.activity.get() == Activity::Idle && self.idle_since.get().elapsed() >= KEEP_OPEN
    }

    fn wake(&self) {
        if let Some(reader) = self.reader.borrow_mut().take() {
            reader.wake();
        }
    }

    fn keep_reader(&self, reader: &Waker) {
        let mut kept = self.reader.borrow_mut();
        if !kept.as_ref().is_some_and(|it| it.will_wake(reader)) {
            *kept = Some(reader.clone());
        }
    }

    fn record_read(&self) {
        match self.activity.get() {
            Activity::Idle => self.activity.set(Activity::Reading),
            Activity::Serving | Activity::Responding => self.reads_ahead.set(true),
            Activity::Reading | Activity::Closed => {}
        }
    }

    // To be called when everything that was handed over is written to the socket.
    fn record_flush(&self) {
        if self.activity.get() != Activity::Responding || self.body_pending.get() {
            return;
        }
        let next = if self.reads_ahead.take() {
            Activity::Reading
        } else {
            Activity::Idle
        };
        self.activity.set(next);
        self.idle_since.set(Instant::now());
    }
}

/// Marks the body of a response as pending until the guard is dropped.
#[derive(Debug)]
pub struct ResponseGuard {
    connection: Rc<Connection>,
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.connection.body_pending.set(false);
    }
}

pin_project_lite::pin_project! {
    /// Body of a response, with the guard that marks it as pending.
    pub struct TrackedBody<B> {
        #[pin]
        body: B,
        guard: ResponseGuard,
    }
}

impl<B> TrackedBody<B> {
    /// Adds the guard to the body.
    pub fn new(body: B, guard: ResponseGuard) -> Self {
        Self { body, guard }
    }
}

impl<B> Body for TrackedBody<B>
where
    B: Body,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        self.project().body.poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Lets the client of a connection pause reading for longer than a server may.
///
/// # Errors
///
/// Fails if the socket does not support the option.
pub fn allow_pauses(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(CLIENT_TIMEOUT))
}

/// Socket of a client connection that records what is read and written.
#[derive(Debug)]
pub struct TrackedStream {
    stream: TcpStream,
    open: OpenConnection,
    // End of the wait for the client to close the connection; `None` while this side is open.
    linger: Option<Pin<Box<Sleep>>>,
}

impl TrackedStream {
    /// Wraps the socket of the connection `open`, which ends when the socket is dropped.
    pub fn new(stream: TcpStream, open: OpenConnection) -> Self {
        Self {
            stream,
            open,
            linger: None,
        }
    }

    /// Returns the state of the connection.
    pub fn state(&self) -> &Rc<Connection> {
        &self.open.state
    }

    // Completes when the client has closed the connection.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; DISCARDED_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(());
            }
        }
    }

    fn must_close(&self) -> bool {
        *self.open.connections.is_closing.borrow()
            && self.open.state.is_unused()
            && !self.has_input()
    }

    // Asks the kernel, since bytes may have arrived that the event loop does not yet know of.
    fn has_input(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        peeked.is_ok_and(|length| length > 0)
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() {
            if self.must_close() {
                // An end of input makes the HTTP library close the connection.
                return Poll::Ready(Ok(()));
            }
            self.open.state.keep_reader(context.waker());
        }
        ready!(read)?;
        if buffer.filled().len() > before {
            self.open.state.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    // Called whenever no bytes are left to be written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.open.state.record_flush();
        Poll::Ready(Ok(()))
    }

    // Closes this side of the connection, then discards input until the client closes the other one. A
    // socket that is closed with unread bytes is reset, and the end of the response may be lost.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            self.open.connections.count_close(&self.open.state);
            let timeout = if self.open.state.is_unused() {
                IDLE_LINGER_TIMEOUT
            } else {
                LINGER_TIMEOUT
            };
            self.open.state.activity.set(Activity::Closed);
            self.linger = Some(Box::pin(tokio::time::sleep(timeout)));
        }
        if self.poll_discard(context).is_ready() {
            return Poll::Ready(Ok(()));
        }
        let timeout = self.linger.as_mut();
        timeout.map_or(Poll::Ready(Ok(())), |it| it.as_mut().poll(context).map(Ok))
    }
}
