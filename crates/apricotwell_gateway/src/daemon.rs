//! The instance as a process: listeners, tasks and signals.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use apricotwell_dispatch::prelude::*;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};

use crate::adapter::{ClientProtocol, Platform};
use crate::events::{Event, FLUSH_INTERVAL, LineWriter};
use crate::gateway::Gateway;
use crate::{feeds, fleet, front, heartbeats, placing, pool, spending};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 512;
/// Bytes of a request's head that are taken at most, if the configuration names no other bound.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Time in which an idle connection for questions is closed.
const QUESTION_IDLE: Duration = Duration::from_secs(10);
/// Part of the grace that is left for the process to end.
const END_MARGIN: Duration = Duration::from_millis(900);
/// Least time after a request to stop in which callers that just looked up may still connect.
const LEAST_LINGER: Duration = Duration::from_millis(3200);
/// Time that the last lines of the log get.
const LAST_LINES_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause between looks whether they are written.
const LAST_LINES_PAUSE: Duration = Duration::from_millis(5);
/// Batches of log lines between two lines that sum up the instance's state.
const FLUSHES_PER_STATUS: u32 = 40;
/// Pause after a failure to accept, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Runs an instance until `stop` ends, and then for as long as its requests need.
///
/// # Errors
///
/// Fails when an address can't be listened on.
pub async fn run<P, F>(gateway: Rc<Gateway<P>>, lines: LineWriter, stop: F) -> std::io::Result<()>
where
    P: Platform,
    F: Future<Output = std::io::Result<()>>,
{
    let listeners = gateway.listeners.clone();
    let socket = Rc::new(UdpSocket::bind(&listeners.peers).await?);
    let callers = listen(&listeners.clients)?;
    let readiness = listen(&listeners.readiness)?;
    let look_up = listen(&listeners.lookup)?;
    Event::new("started")
        .with("callers", listeners.clients.as_str())
        .with("peers", listeners.peers.as_str())
        .log();
    for feed in [Feed::Configuration, Feed::Servers] {
        let (gateway, socket) = (Rc::clone(&gateway), Rc::clone(&socket));
        actix::spawn(feeds::follow(gateway, socket, feed));
    }
    actix::spawn(fleet::renew_membership(Rc::clone(&gateway)));
    actix::spawn(heartbeats::tell(Rc::clone(&gateway), Rc::clone(&socket)));
    actix::spawn(heartbeats::listen(Rc::clone(&gateway), socket));
    actix::spawn(placing::place(Rc::clone(&gateway)));
    actix::spawn(spending::keep(Rc::clone(&gateway)));
    actix::spawn(accept(Rc::clone(&gateway), readiness, questions::<P>));
    actix::spawn(accept(Rc::clone(&gateway), look_up, questions::<P>));
    if let Some(address) = &listeners.metrics {
        let metrics = listen(address)?;
        actix::spawn(accept(Rc::clone(&gateway), metrics, questions::<P>));
    }
    actix::spawn(accept(Rc::clone(&gateway), callers, serve_callers::<P>));
    actix::spawn(keep_house(Rc::clone(&gateway), lines.clone()));
    stop.await?;
    finish(&gateway).await;
    lines.flush();
    let begun = Instant::now();
    while !lines.is_written() && begun.elapsed() < LAST_LINES_TIMEOUT {
        tokio::time::sleep(LAST_LINES_PAUSE).await;
    }
    Ok(())
}

fn listen(address: &str) -> std::io::Result<TcpListener> {
    let address: SocketAddr = address
        .parse()
        .map_err(|error| std::io::Error::new(std::io::ErrorKind::InvalidInput, error))?;
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn accept<P, F, R>(gateway: Rc<Gateway<P>>, listener: TcpListener, serve: F)
where
    P: Platform,
    F: Fn(Rc<Gateway<P>>, TcpStream) -> R + 'static,
    R: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = pool::watch(&stream) {
                    log::debug!("connection not watched: {error}");
                }
                actix::spawn(serve(Rc::clone(&gateway), stream));
            }
            Err(error) => {
                log::warn!("connection not accepted: {error}; raise the descriptor limit");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_callers<P>(gateway: Rc<Gateway<P>>, stream: TcpStream)
where
    P: Platform,
{
    let Some(_connection) = gateway.connections.take(1) else {
        // The caller is told by the close and connects elsewhere.
        log::warn!("connection of a caller closed: too many; add instances");
        return;
    };
    let limits = {
        let dispatcher = gateway.dispatcher.borrow();
        dispatcher
            .catalog
            .as_ref()
            .map(|catalog| catalog.limits)
            .unwrap_or_default()
    };
    let shared = Rc::clone(&gateway);
    let service = service_fn(move |request| front::serve(Rc::clone(&shared), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.clamp(8 << 10, MAX_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    drive(&gateway, connection).await;
}

// Drives a connection; when the instance stops, lets the answer under way end and then closes it.
async fn drive<P, H, B>(gateway: &Gateway<P>, connection: http1::Connection<TokioIo<TcpStream>, H>)
where
    P: Platform,
    H: hyper::service::HttpService<Incoming, ResBody = B>,
    H::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connection = pin!(connection);
    let stopping = pin!(gateway.stopping.notified());
    let ended = futures_util::future::select(connection.as_mut(), stopping).await;
    if let futures_util::future::Either::Right(_) = ended {
        connection.as_mut().graceful_shutdown();
        if let Err(error) = connection.await {
            log::debug!("caller's connection ended: {error}");
        }
    }
}

async fn questions<P>(gateway: Rc<Gateway<P>>, stream: TcpStream)
where
    P: Platform,
{
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = question(&gateway, request);
        async move { Ok::<_, std::convert::Infallible>(answer) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(QUESTION_IDLE)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("connection for questions ended: {error}");
    }
}

fn question<P>(gateway: &Gateway<P>, request: Request<Incoming>) -> Response<Full<Bytes>>
where
    P: Platform,
{
    let (head, _) = request.into_parts();
    let now = gateway.now();
    let dispatcher = gateway.dispatcher.borrow();
    let empty = |status| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = status;
        response
    };
    if P::ClientProtocol::is_readiness(&head) {
        return empty(if dispatcher.is_ready(now) {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        });
    }
    if P::ClientProtocol::is_lookup(&head) {
        let addresses = dispatcher.client_addresses(now);
        if addresses.is_empty() {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        return P::ClientProtocol::encode_lookup(&addresses, gateway.times.lookup_ttl)
            .map(Full::new);
    }
    if head.uri.path() == "/metrics" {
        return match gateway.metrics.to_text() {
            Ok(text) => Response::new(Full::from(text)),
            Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
        };
    }
    empty(StatusCode::NOT_FOUND)
}

async fn keep_house<P>(gateway: Rc<Gateway<P>>, lines: LineWriter)
where
    P: Platform,
{
    let mut flushes = 0;
    loop {
        tokio::time::sleep(FLUSH_INTERVAL).await;
        flushes += 1;
        if flushes % FLUSHES_PER_STATUS == 0 {
            log_status(&gateway);
        }
        gateway.pool.expire();
        gateway.metrics.note_dropped_lines(lines.dropped());
        lines.flush();
    }
}

fn log_status<P>(gateway: &Gateway<P>)
where
    P: Platform,
{
    let now = gateway.now();
    let dispatcher = gateway.dispatcher.borrow();
    let mut event = Event::new("status")
        .with("ready", dispatcher.is_ready(now))
        .with("active", gateway.active.get())
        .with("heard", dispatcher.peers.reporting_count(now))
        .with("possible", dispatcher.peers.possible_count())
        .with("fence", dispatcher.lease.fence(now));
    for (kind, calls) in gateway.metrics.store_calls() {
        event = event.with(&format!("store_{kind}"), calls);
    }
    event.log();
}

/// Ends when the process is told to stop; a hangup is only noted, since the settings that may change
/// concern the next start.
///
/// # Errors
///
/// Fails when signals can't be received.
pub async fn stop_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = reload.recv() => Event::new("reload").log(),
        }
    }
}

async fn finish<P>(gateway: &Rc<Gateway<P>>)
where
    P: Platform,
{
    gateway.stopped.set(Some(gateway.now()));
    Event::new("stopping")
        .with("active", gateway.active.get())
        .log();
    gateway.dispatcher.borrow_mut().start_draining();
    gateway.gossip.notify_one();
    let begun = Instant::now();
    let leaving = Rc::clone(gateway);
    actix::spawn(async move { fleet::leave(&leaving).await });
    let end = gateway.times.grace.saturating_sub(END_MARGIN);
    tokio::time::sleep(LEAST_LINGER.min(end)).await;
    gateway.stopping.notify_waiters();
    while begun.elapsed() < end && gateway.active.get() > 0 {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Event::new("stopped")
        .with("cut", gateway.active.get())
        .log();
}
