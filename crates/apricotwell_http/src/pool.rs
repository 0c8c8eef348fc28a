//! HTTP connection pool for servers and the store.

use std::cell::RefCell;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use apricotwell_framing::{BodyFraming, BodyScanner};
use apricotwell_types::Map;
use bytes::Bytes;
use http::{HeaderMap, Request, response};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};

use crate::joined::is_joined;
use crate::socket::{Socket, SocketView};

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which a connection with unacknowledged data is closed (`TCP_USER_TIMEOUT`). It also ends
/// keepalive: an idle connection is closed at the first check after it and an unanswered probe, whatever
/// number of probes is set.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1800);
/// Idle time before the first keepalive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);
/// Interval between keepalive probes; a dead idle connection is closed after the first one.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Idle time after which a connection is closed, unless its server announces a shorter one.
const MAX_IDLE: Duration = Duration::from_secs(8);
/// Margin before a server's idle timeout in which a connection is no longer used, so that a request
/// is not sent on a connection that the server is just closing.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Time after which a new connection counts as accepted; a process that has ended may leave behind
/// something that accepts connections and closes them.
const ACCEPT_TIME: Duration = Duration::from_millis(50);
/// Limit on the idle connections to one address.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Size limit of the read buffer of one connection.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Statuses that end a request: others are interim (RFC 9110, section 15), of no class, or answer an upgrade, which
/// no request asks for.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Error text of a response with another status.
const NOT_FINAL: &str = "the status is none that ends a request";
/// Error text of a response whose head was received together with that of another one.
const JOINED: &str = "the head holds parts of two responses";

/// Idle connections that a request may be sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any idle connection.
    Any,
    /// Only connections used within this time, which the server is unlikely to be closing.
    Within(Duration),
    /// None: a request that was not sent is known to be from the failure to connect. Its connection
    /// is closed after the response.
    Never,
}

/// Error of a request without a response.
#[derive(Debug)]
pub enum SendError {
    /// No part of the request was sent.
    Unsent(String),
    /// The request was sent at least in part, but no response was received.
    Lost(String),
    /// The server sent bytes that are no response, or one whose status ends no request. It may have run the request.
    Invalid(String),
}

impl SendError {
    // Returns the error of a request that was sent.
    fn after_sending(error: &hyper::Error) -> Self {
        if error.is_parse() {
            Self::Invalid(error.to_string())
        } else {
            Self::Lost(error.to_string())
        }
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(text) => write!(f, "not sent: {text}; another server can be tried"),
            Self::Lost(text) => write!(f, "no response: {text}; the request may have run"),
            Self::Invalid(text) => write!(f, "invalid response: {text}; the request may have run"),
        }
    }
}

impl std::error::Error for SendError {}

/// Connection without its owner, the task that drives it.
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    socket: SocketView,
}

impl OpenConnection {
    // Sends a request and returns the head of its response.
    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.socket.set_awaiting_head(true);
        let response = self.sender.try_send_request(request).await;
        self.socket.set_awaiting_head(false);
        response
    }

    // A request sent after bytes that belong to no request would get them for its response.
    fn is_ready(&self) -> bool {
        self.sender.is_ready() && self.socket.is_silent()
    }
}

struct IdleConnection {
    open: OpenConnection,
    idle_since: Instant,
    expires: Instant,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant, reuse: Reuse) -> bool {
        let is_recent = match reuse {
            Reuse::Any => true,
            Reuse::Within(time) => now.saturating_duration_since(self.idle_since) < time,
            Reuse::Never => false,
        };
        is_recent && now < self.expires && self.open.is_ready()
    }
}

/// Pool of idle connections, by address.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<Map<SocketAddr, Vec<IdleConnection>>>,
    // Address that connections come from; the system's choice if `None`.
    source: Option<IpAddr>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Creates an empty pool whose connections come from `source`, if it is given.
    pub fn from_source(source: Option<IpAddr>) -> Rc<Self> {
        Rc::new(Self {
            source,
            ..Self::default()
        })
    }

    /// Sends a request and returns once the head of the response is received.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Unsent`] only if the server can't have received the request.
    pub async fn send(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<StreamingResponse, SendError> {
        self.send_within(address, request, reuse, CONNECT_TIMEOUT)
            .await
    }

    /// Sends a request, as [`Self::send`] does, with a time limit for a new connection.
    ///
    /// # Errors
    ///
    /// As [`Self::send`].
    pub async fn send_within(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
        connect_timeout: Duration,
    ) -> Result<StreamingResponse, SendError> {
        self.send_while(address, request, reuse, connect_timeout, || true)
            .await
    }

    /// Sends a request, as [`Self::send_within`] does, if `may_send` still holds just before: setting up a
    /// connection takes time, in which the server may have been withdrawn.
    ///
    /// # Errors
    ///
    /// As [`Self::send`].
    pub async fn send_while<C>(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
        connect_timeout: Duration,
        may_send: C,
    ) -> Result<StreamingResponse, SendError>
    where
        C: Fn() -> bool,
    {
        let withdrawn = || SendError::Unsent("the server was withdrawn".to_owned());
        let mut request = request;
        while let Some(mut open) = self.take_idle(address, reuse) {
            if !may_send() {
                return Err(withdrawn());
            }
            match open.exchange(request).await {
                Ok(response) => {
                    return self.streaming_response(address, open, response, reuse);
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::after_sending(&error.into_error())),
                },
            }
        }
        let time_limit = connect_timeout.min(CONNECT_TIMEOUT);
        let mut open = self.connect(address, time_limit).await?;
        if !may_send() {
            return Err(withdrawn());
        }
        match open.exchange(request).await {
            Ok(response) => {
                let response = self.streaming_response(address, open, response, reuse)?;
                Ok(StreamingResponse {
                    is_first: true,
                    ..response
                })
            }
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let error = error.into_error();
                Err(if unsent {
                    SendError::Unsent(error.to_string())
                } else {
                    SendError::after_sending(&error)
                })
            }
        }
    }

    /// Sends a request and reads the whole response, whose body may have `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Unsent`] only if the server can't have received the request.
    pub async fn call(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
        limit: usize,
    ) -> Result<(response::Parts, Bytes), SendError> {
        let response = self.send(address, request, reuse).await?;
        response.collect(limit).await.map_err(SendError::Lost)
    }

    /// Returns whether a server accepts a connection in time; it is kept for later requests.
    pub async fn is_accepting(
        self: &Rc<Self>,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> bool {
        let Ok(open) = self.connect(address, connect_timeout).await else {
            return false;
        };
        tokio::time::sleep(ACCEPT_TIME).await;
        let is_open = !open.sender.is_closed();
        if is_open {
            self.put(address, open, MAX_IDLE);
        }
        is_open
    }

    /// Returns whether there is an idle connection to an address that a request may be sent on.
    pub fn has_idle(&self, address: SocketAddr, reuse: Reuse) -> bool {
        let now = Instant::now();
        let connections = self.idle.borrow();
        let mut idle = connections.get(&address).into_iter().flatten();
        idle.any(|idle| idle.is_usable(now, reuse))
    }

    /// Closes all idle connections to an address.
    ///
    /// To be called after a timeout on one connection, since its cause may affect the others too.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes idle connections that have expired or that the server has closed.
    pub fn expire(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| now < idle.expires && !idle.open.sender.is_closed());
            !connections.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr, reuse: Reuse) -> Option<OpenConnection> {
        if reuse == Reuse::Never {
            return None;
        }
        let now = Instant::now();
        let mut connections = self.idle.borrow_mut();
        let idle_connections = connections.get_mut(&address)?;
        while let Some(idle) = idle_connections.pop() {
            if idle.is_usable(now, reuse) {
                return Some(idle.open);
            }
        }
        None
    }

    fn put(&self, address: SocketAddr, open: OpenConnection, keep_alive: Duration) {
        let now = Instant::now();
        let mut connections = self.idle.borrow_mut();
        let idle_connections = connections.entry(address).or_default();
        if idle_connections.len() < MAX_IDLE_CONNECTIONS {
            idle_connections.push(IdleConnection {
                open,
                idle_since: now,
                expires: now + keep_alive,
            });
        }
    }

    async fn connect(
        &self,
        address: SocketAddr,
        time_limit: Duration,
    ) -> Result<OpenConnection, SendError> {
        let stream = tokio::time::timeout(time_limit, open_stream(self.source, address))
            .await
            .map_err(|_| SendError::Unsent("connection timed out".to_owned()))?
            .map_err(unsent)?;
        configure_socket(&stream).map_err(unsent)?;
        let stream = Socket::new(stream);
        let socket = stream.view();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(unsent)?;
        actix::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(OpenConnection { sender, socket })
    }

    fn streaming_response(
        self: &Rc<Self>,
        address: SocketAddr,
        open: OpenConnection,
        response: http::Response<Incoming>,
        reuse: Reuse,
    ) -> Result<StreamingResponse, SendError> {
        let (head, body) = response.into_parts();
        if !FINAL_STATUSES.contains(&head.status.as_u16()) {
            return Err(SendError::Invalid(NOT_FINAL.to_owned()));
        }
        if is_joined(&head) {
            return Err(SendError::Lost(JOINED.to_owned()));
        }
        let keep_alive = keep_alive_time(&head.headers).filter(|_| reuse != Reuse::Never);
        Ok(StreamingResponse {
            is_first: false,
            framing: framing(&head.headers, &body),
            head,
            body,
            connection: keep_alive.map(|keep_alive| Connection {
                pool: Rc::clone(self),
                address,
                open,
                keep_alive,
            }),
        })
    }
}

struct Connection {
    pool: Rc<ConnectionPool>,
    address: SocketAddr,
    open: OpenConnection,
    keep_alive: Duration,
}

/// Response whose body is still being received; dropping it before its end closes the connection.
pub struct StreamingResponse {
    /// Status and headers.
    pub head: response::Parts,
    /// Whether it is the first one on its connection, so that the server accepted that just now.
    pub is_first: bool,
    framing: BodyFraming,
    body: Incoming,
    // Returned to the pool at the end of the body; `None` if the connection must not be reused.
    connection: Option<Connection>,
}

impl StreamingResponse {
    /// Returns how the end of the body is marked.
    pub fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// Returns the value of the `Content-Type` header, or an empty text.
    pub fn content_type(&self) -> &str {
        let value = self.head.headers.get(http::header::CONTENT_TYPE);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns a scanner that tells at the end of the body whether it is known to be cut.
    pub fn scanner(&self) -> BodyScanner {
        BodyScanner::new(self.framing(), self.content_type())
    }

    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// The end of a body that ends with its connection may be a cut; see [`Self::scanner`].
    ///
    /// # Errors
    ///
    /// Fails if the connection ends within the body.
    pub async fn next(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Polls for the next chunk of the body; see [`Self::next`].
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, hyper::Error>>> {
        loop {
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Ok(frame)) => {
                    if let Ok(data) = Frame::into_data(frame) {
                        if self.body.is_end_stream() {
                            self.release();
                        }
                        return Poll::Ready(Some(Ok(data)));
                    }
                }
                Some(Err(error)) => {
                    self.connection = None;
                    return Poll::Ready(Some(Err(error)));
                }
                None => {
                    self.release();
                    return Poll::Ready(None);
                }
            }
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Returns a description of the failure if the connection ends within the body, if the body
    /// is larger than `limit` bytes, or if it is known to be cut.
    pub async fn collect(self, limit: usize) -> Result<(response::Parts, Bytes), String> {
        self.collect_while(limit, |_| true).await
    }

    /// Reads the whole body as long as `accepts` agrees to each chunk.
    ///
    /// # Errors
    ///
    /// As [`Self::collect`], and if `accepts` does not agree.
    pub async fn collect_while<F>(
        mut self,
        limit: usize,
        mut accepts: F,
    ) -> Result<(response::Parts, Bytes), String>
    where
        F: FnMut(&[u8]) -> bool,
    {
        let mut body = Vec::new();
        let mut scanner = self.scanner();
        while let Some(chunk) = self.next().await {
            let chunk = chunk.map_err(|error| error.to_string())?;
            scanner.feed(&chunk);
            if body.len() + chunk.len() > limit {
                return Err(format!("the body is larger than {limit} bytes"));
            }
            if !accepts(&chunk) {
                return Err("the body was not accepted".to_owned());
            }
            body.extend_from_slice(&chunk);
        }
        scanner
            .check_end()
            .map_err(|truncation| truncation.to_string())?;
        Ok((self.head, body.into()))
    }

    fn release(&mut self) {
        if let Some(connection) = self.connection.take() {
            let Connection {
                pool,
                address,
                open,
                keep_alive,
            } = connection;
            pool.put(address, open, keep_alive);
        }
    }
}

async fn open_stream(source: Option<IpAddr>, address: SocketAddr) -> std::io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = if source.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

fn unsent<E>(error: E) -> SendError
where
    E: fmt::Display,
{
    SendError::Unsent(error.to_string())
}

/// Sets the TCP options that close a connection whose peer disappeared, and disables Nagle's
/// algorithm.
///
/// # Errors
///
/// Fails if the socket does not support the options.
pub fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

fn framing(headers: &HeaderMap, body: &Incoming) -> BodyFraming {
    // The response to a HEAD request and some statuses have no body, whatever the headers say.
    if body.is_end_stream() {
        return BodyFraming::Length;
    }
    let value = |name| headers.get(name)?.to_str().ok();
    BodyFraming::from_headers(
        value(http::header::TRANSFER_ENCODING),
        value(http::header::CONTENT_LENGTH),
    )
}

// Returns how long a connection may stay idle after this response, or `None` if it must not be
// reused.
fn keep_alive_time(headers: &HeaderMap) -> Option<Duration> {
    let closes = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .any(|value| {
            value
                .to_str()
                .is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
        });
    if closes {
        return None;
    }
    let Some(value) = headers.get("keep-alive") else {
        return Some(MAX_IDLE);
    };
    let seconds = value.to_str().ok()?.split(',').find_map(|parameter| {
        let (name, value) = parameter.split_once('=')?;
        name.trim()
            .eq_ignore_ascii_case("timeout")
            .then(|| value.trim().parse::<u64>().ok())?
    });
    let limit = Duration::from_secs(seconds?).min(MAX_IDLE);
    let usable = limit.checked_sub(IDLE_MARGIN)?;
    (!usable.is_zero()).then_some(usable)
}
