//! Connections to servers and to the store.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use apricotwell_types::Map;
use bytes::Bytes;
use http::{HeaderMap, Request, response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time in which a connection must come about.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which bytes that the other end has not acknowledged end a connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1800);
/// Silence after which the other end is asked whether it is still there.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);
/// Pause between such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered questions that end a connection.
const KEEPALIVE_RETRIES: u32 = 2;
/// Idle time after which a connection is closed unless its server names a shorter one.
const MAX_IDLE: Duration = Duration::from_secs(8);
/// Part of a server's idle timeout that is left unused, so that a request does not meet a connection
/// that the server has just closed.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections kept to one address.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Bytes read ahead on one connection.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Which connections a request may go out on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// On any idle one.
    Any,
    /// On one that was in use within this time, so that it is hardly about to be closed.
    Within(Duration),
}

/// Why a request has no answer.
#[derive(Debug)]
pub enum SendError {
    /// Nothing of it was sent.
    Unsent(String),
    /// It was sent, in part at least.
    Lost(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(text) => write!(f, "not sent: {text}; another server can be tried"),
            Self::Lost(text) => write!(f, "no answer: {text}; the request may have run"),
        }
    }
}

impl std::error::Error for SendError {}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
    until: Instant,
}

/// Pool of connections that are not in use.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<Map<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Returns an empty pool.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Sends a request and returns the answer's head with its body to come.
    ///
    /// # Errors
    ///
    /// Says whether the request may have reached the other end.
    pub async fn send(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<StreamingResponse, SendError> {
        let mut request = request;
        while let Some(mut sender) = self.take(address, reuse) {
            match sender.try_send_request(request).await {
                Ok(answer) => return Ok(self.answer(address, sender, answer)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::Lost(error.into_error().to_string())),
                },
            }
        }
        let mut sender = connect(address).await?;
        match sender.try_send_request(request).await {
            Ok(answer) => Ok(self.answer(address, sender, answer)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let text = error.into_error().to_string();
                Err(if unsent {
                    SendError::Unsent(text)
                } else {
                    SendError::Lost(text)
                })
            }
        }
    }

    /// Closes all idle connections to an address: one has fallen silent, and whatever silenced it may
    /// have silenced the others too.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that have been idle for too long.
    pub fn expire(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| now < idle.until && !idle.sender.is_closed());
            !connections.is_empty()
        });
    }

    fn take(&self, address: SocketAddr, reuse: Reuse) -> Option<SendRequest<Full<Bytes>>> {
        let now = Instant::now();
        let mut connections = self.idle.borrow_mut();
        let stack = connections.get_mut(&address)?;
        while let Some(idle) = stack.pop() {
            let recent = match reuse {
                Reuse::Any => true,
                Reuse::Within(time) => now.saturating_duration_since(idle.since) < time,
            };
            if recent && now < idle.until && idle.sender.is_ready() {
                return Some(idle.sender);
            }
        }
        None
    }

    fn put(&self, address: SocketAddr, sender: SendRequest<Full<Bytes>>, keep: Duration) {
        let now = Instant::now();
        let mut connections = self.idle.borrow_mut();
        let stack = connections.entry(address).or_default();
        if stack.len() < MAX_IDLE_CONNECTIONS {
            stack.push(IdleConnection {
                sender,
                since: now,
                until: now + keep,
            });
        }
    }

    fn answer(
        self: &Rc<Self>,
        address: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        answer: http::Response<Incoming>,
    ) -> StreamingResponse {
        let (head, body) = answer.into_parts();
        let keep = keep_alive_time(&head.headers);
        StreamingResponse {
            head,
            body,
            connection: keep.map(|keep| Connection {
                pool: Rc::clone(self),
                address,
                sender,
                keep,
            }),
        }
    }
}

struct Connection {
    pool: Rc<ConnectionPool>,
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    keep: Duration,
}

/// Answer whose body is still to come; dropping it before its end closes the connection.
pub struct StreamingResponse {
    /// Head.
    pub head: response::Parts,
    body: Incoming,
    // Taken when the body has ended; a connection that is to be closed has none.
    connection: Option<Connection>,
}

impl StreamingResponse {
    /// Returns the next bytes of the body, `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails when the body breaks off.
    pub async fn next(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = Frame::into_data(frame) {
                        if self.body.is_end_stream() {
                            self.release();
                        }
                        return Some(Ok(data));
                    }
                }
                Some(Err(error)) => {
                    self.connection = None;
                    return Some(Err(error));
                }
                None => {
                    self.release();
                    return None;
                }
            }
        }
    }

    /// Reads the whole body, of `limit` bytes at most.
    ///
    /// # Errors
    ///
    /// Says why the body is not whole.
    pub async fn collect(mut self, limit: usize) -> Result<(response::Parts, Bytes), String> {
        let mut whole = Vec::new();
        while let Some(part) = self.next().await {
            let part = part.map_err(|error| error.to_string())?;
            if whole.len() + part.len() > limit {
                return Err(format!("the body is larger than {limit} bytes"));
            }
            whole.extend_from_slice(&part);
        }
        Ok((self.head, whole.into()))
    }

    fn release(&mut self) {
        if let Some(connection) = self.connection.take() {
            let Connection {
                pool,
                address,
                sender,
                keep,
            } = connection;
            pool.put(address, sender, keep);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, SendError> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| SendError::Unsent("no connection in time".to_owned()))?
        .map_err(unsent)?;
    configure_socket(&stream).map_err(unsent)?;
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
    Ok(sender)
}

fn unsent<E>(error: E) -> SendError
where
    E: fmt::Display,
{
    SendError::Unsent(error.to_string())
}

/// Lets a connection end when its other end has silently gone.
///
/// # Errors
///
/// Fails when the socket takes no such options.
pub fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

// How long a connection may be kept after this answer, `None` if it must not be.
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
    let seconds = value.to_str().ok()?.split(',').find_map(|part| {
        let (name, value) = part.split_once('=')?;
        name.trim()
            .eq_ignore_ascii_case("timeout")
            .then(|| value.trim().parse::<u64>().ok())?
    });
    let limit = Duration::from_secs(seconds?).min(MAX_IDLE);
    let usable = limit.checked_sub(IDLE_MARGIN)?;
    (!usable.is_zero()).then_some(usable)
}
