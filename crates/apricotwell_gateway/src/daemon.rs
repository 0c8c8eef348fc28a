//! The instance process: listeners, background tasks, signals and shutdown.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use apricotwell_dispatch::prelude::*;
use apricotwell_dispatch::standstills::BEAT_INTERVAL;
use apricotwell_http::backlog::accept_waiting;
use apricotwell_http::connections::{self, TrackedStream};
use apricotwell_http::pool;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};

use crate::adapter::{ClientProtocol, Platform};
use crate::events::{Event, FLUSH_INTERVAL, LineWriter};
use crate::gateway::Gateway;
use crate::requests::Origin;
use crate::{
    explain, feeds, heartbeats, liveness, load_notices, membership, permits, placement, reach,
    requests, signals, software, stream_log, usage,
};

/// Backlog of connections that wait to be accepted.
const BACKLOG: u32 = 512;
/// Upper bound on the size of a request head; the configuration can only set a lower limit.
const MAX_HEADER_BYTES: usize = 64 << 10;
/// Time after which an idle connection to an auxiliary endpoint is closed.
const AUXILIARY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum time between a request to stop and the closing of client connections, so that clients
/// that looked up this instance's address shortly before can still connect.
const MIN_SHUTDOWN_DELAY: Duration = Duration::from_millis(3200);
/// The same as a share of the grace period, for grace periods shorter than 8 s.
const SHUTDOWN_DELAY_SHARE: f64 = 0.4;
/// Minimum time for writing responses that are complete, however late a stop is noticed.
const MIN_CLOSE_TIME: Duration = Duration::from_millis(300);
/// Interval at which a stop closes connections that have become idle.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for writing the last log lines.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which the writing of the last log lines is checked.
const LOG_FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Log flushes between two `status` events.
const FLUSHES_PER_STATUS: u32 = 40;
/// Delay of a timer from which on the event loop counts as stalled.
const STALL_TIME: Duration = Duration::from_millis(200);
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Runs an instance until `stop` completes, then shuts it down gracefully.
///
/// # Errors
///
/// Fails if an address can't be listened on or if `stop` fails.
pub async fn run<P, F>(gateway: Rc<Gateway<P>>, lines: LineWriter, stop: F) -> std::io::Result<()>
where
    P: Platform,
    F: Future<Output = std::io::Result<()>>,
{
    let listeners = gateway.listeners.clone();
    let socket = Rc::new(UdpSocket::bind(&listeners.peers).await?);
    let socket = Rc::clone(gateway.peer_socket.get_or_init(|| socket));
    let clients = listen(&listeners.clients)?;
    let instances = listen(&listeners.peers)?;
    let readiness = listen(&listeners.readiness)?;
    let lookup = listen(&listeners.lookup)?;
    Event::new("started")
        .with("callers", listeners.clients.as_str())
        .with("peers", listeners.peers.as_str())
        .log();
    for feed in [Feed::Configuration, Feed::Servers] {
        let (gateway, socket) = (Rc::clone(&gateway), Rc::clone(&socket));
        actix::spawn(feeds::follow(gateway, socket, feed));
    }
    actix::spawn(membership::run(Rc::clone(&gateway)));
    actix::spawn(heartbeats::broadcast(
        Rc::clone(&gateway),
        Rc::clone(&socket),
    ));
    actix::spawn(heartbeats::report_demand(
        Rc::clone(&gateway),
        Rc::clone(&socket),
    ));
    actix::spawn(liveness::ask_overdue(Rc::clone(&gateway)));
    actix::spawn(load_notices::run(Rc::clone(&gateway), Rc::clone(&socket)));
    actix::spawn(permits::run(Rc::clone(&gateway), Rc::clone(&socket)));
    actix::spawn(heartbeats::receive(Rc::clone(&gateway), socket));
    actix::spawn(placement::run(Rc::clone(&gateway)));
    actix::spawn(usage::run(Rc::clone(&gateway)));
    actix::spawn(software::run(Rc::clone(&gateway)));
    actix::spawn(stream_log::run(Rc::clone(&gateway)));
    let shared = Rc::clone(&gateway);
    actix::spawn(async move { accept(&shared, &readiness, &serve_auxiliary::<P>).await });
    let shared = Rc::clone(&gateway);
    actix::spawn(async move { accept(&shared, &lookup, &serve_auxiliary::<P>).await });
    if let Some(address) = &listeners.metrics {
        let metrics = listen(address)?;
        let shared = Rc::clone(&gateway);
        actix::spawn(async move { accept(&shared, &metrics, &serve_operator::<P>).await });
    }
    actix::spawn(reach::run(Rc::clone(&gateway)));
    actix::spawn(accept_requests(
        Rc::clone(&gateway),
        clients,
        serve_client::<P>,
    ));
    actix::spawn(accept_requests(
        Rc::clone(&gateway),
        instances,
        serve_instance::<P>,
    ));
    actix::spawn(run_beats(Rc::clone(&gateway)));
    actix::spawn(run_maintenance(Rc::clone(&gateway), lines.clone()));
    let requested = signals::wait_for_stop(stop).await?;
    shut_down(&gateway, requested).await;
    lines.flush();
    let start = Instant::now();
    while !lines.is_written() && start.elapsed() < LOG_FLUSH_TIMEOUT {
        tokio::time::sleep(LOG_FLUSH_POLL_INTERVAL).await;
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

// Accepts connections until a stop closes them, then those that wait, and closes the listener.
async fn accept_requests<P, F, R>(gateway: Rc<Gateway<P>>, listener: TcpListener, serve: F)
where
    P: Platform,
    F: Fn(Rc<Gateway<P>>, TcpStream) -> R,
    R: Future<Output = ()> + 'static,
{
    tokio::select! {
        () = accept(&gateway, &listener, &serve) => {}
        () = gateway.connections.closing() => {}
    }
    // A connection in the backlog of a listener that closes is reset.
    let Ok(listener) = listener.into_std() else {
        return;
    };
    for stream in accept_waiting(&listener) {
        start(&gateway, stream, &serve);
    }
}

fn start<P, F, R>(gateway: &Rc<Gateway<P>>, stream: TcpStream, serve: &F)
where
    P: Platform,
    F: Fn(Rc<Gateway<P>>, TcpStream) -> R,
    R: Future<Output = ()> + 'static,
{
    if let Err(error) = pool::configure_socket(&stream) {
        log::debug!("failed to set socket options: {error}");
    }
    actix::spawn(serve(Rc::clone(gateway), stream));
}

async fn accept<P, F, R>(gateway: &Rc<Gateway<P>>, listener: &TcpListener, serve: &F)
where
    P: Platform,
    F: Fn(Rc<Gateway<P>>, TcpStream) -> R,
    R: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => start(gateway, stream, serve),
            Err(error) => {
                log::warn!(
                    "failed to accept a connection: {error}; raise the file descriptor limit"
                );
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_client<P>(gateway: Rc<Gateway<P>>, stream: TcpStream)
where
    P: Platform,
{
    serve_requests(gateway, stream, Origin::Client).await;
}

// Serves requests that another instance passes on.
async fn serve_instance<P>(gateway: Rc<Gateway<P>>, stream: TcpStream)
where
    P: Platform,
{
    serve_requests(gateway, stream, Origin::Instance).await;
}

async fn serve_requests<P>(gateway: Rc<Gateway<P>>, stream: TcpStream, origin: Origin)
where
    P: Platform,
{
    let Some(_reservation) = gateway.connection_budget.try_reserve(1) else {
        // The client sees the connection close and connects to another instance.
        log::warn!("client connection closed: too many connections; add instances");
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
    if let Err(error) = connections::allow_pauses(&stream) {
        log::debug!("failed to set socket options: {error}");
    }
    let stream = TrackedStream::new(stream, gateway.connections.open());
    let (shared, state) = (Rc::clone(&gateway), Rc::clone(stream.state()));
    let service = service_fn(move |request| {
        requests::serve(Rc::clone(&shared), Rc::clone(&state), request, origin)
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.clamp(8 << 10, MAX_HEADER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("client connection ended: {error}");
    }
}

// Serves readiness checks, address lookups and metrics.
async fn serve_auxiliary<P>(gateway: Rc<Gateway<P>>, stream: TcpStream)
where
    P: Platform,
{
    serve_small(stream, |request| auxiliary_response(&gateway, request)).await;
}

// Serves what `serve_auxiliary` does, and explanations: these name servers, which clients must not see.
async fn serve_operator<P>(gateway: Rc<Gateway<P>>, stream: TcpStream)
where
    P: Platform,
{
    serve_small(stream, |request| {
        if request.uri().path().starts_with(explain::PATH) {
            let (head, _) = request.into_parts();
            let dispatcher = gateway.dispatcher.borrow();
            let response = explain::respond::<P>(gateway.now(), &dispatcher, head);
            return response.map_or_else(
                || status_response(StatusCode::NOT_FOUND),
                |it| it.map(Full::new),
            );
        }
        auxiliary_response(&gateway, request)
    })
    .await;
}

async fn serve_small<F>(stream: TcpStream, respond: F)
where
    F: Fn(Request<Incoming>) -> Response<Full<Bytes>>,
{
    let service = service_fn(|request: Request<Incoming>| {
        let response = respond(request);
        async move { Ok::<_, std::convert::Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(AUXILIARY_IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("connection to an auxiliary endpoint ended: {error}");
    }
}

fn status_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn auxiliary_response<P>(gateway: &Gateway<P>, request: Request<Incoming>) -> Response<Full<Bytes>>
where
    P: Platform,
{
    let (head, _) = request.into_parts();
    let now = gateway.now();
    let dispatcher = gateway.dispatcher.borrow();
    if P::ClientProtocol::is_readiness(&head) {
        return status_response(if dispatcher.is_ready(now) {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        });
    }
    if P::ClientProtocol::is_lookup(&head) {
        let addresses = dispatcher.client_addresses(now);
        if addresses.is_empty() {
            return status_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        return P::ClientProtocol::encode_lookup(&addresses, gateway.timings.lookup_ttl)
            .map(Full::new);
    }
    if head.uri.path() == "/metrics" {
        return match gateway.metrics.to_text() {
            Ok(text) => Response::new(Full::from(text)),
            Err(_) => status_response(StatusCode::INTERNAL_SERVER_ERROR),
        };
    }
    status_response(StatusCode::NOT_FOUND)
}

// Records at short intervals that the process is scheduled.
async fn run_beats<P>(gateway: Rc<Gateway<P>>)
where
    P: Platform,
{
    loop {
        record_beat(&gateway);
        tokio::time::sleep(BEAT_INTERVAL).await;
    }
}

fn record_beat<P>(gateway: &Gateway<P>)
where
    P: Platform,
{
    let now = gateway.now();
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    dispatcher.feeds.standstills.record_beat(now);
}

// Flushes the log, closes expired connections and logs the status at intervals.
async fn run_maintenance<P>(gateway: Rc<Gateway<P>>, lines: LineWriter)
where
    P: Platform,
{
    let mut flushes = 0;
    loop {
        let due = gateway.now() + FLUSH_INTERVAL;
        tokio::time::sleep(FLUSH_INTERVAL).await;
        log_stall(gateway.now().saturating_duration_since(due));
        flushes += 1;
        if flushes % FLUSHES_PER_STATUS == 0 {
            log_status(&gateway);
        }
        gateway.pool.expire();
        gateway.metrics.set_dropped_lines(lines.dropped());
        lines.flush();
    }
}

// Logs that all tasks were held up, by a long task or for lack of processor time.
fn log_stall(late: Duration) {
    if late >= STALL_TIME {
        Event::new("stalled").with_time("late_ms", late).log();
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
        .with(
            "config",
            dispatcher.catalog.as_ref().map(|catalog| catalog.version),
        )
        .with_optional_time("config_age_ms", dispatcher.freshness.age(now))
        .with_optional_time("list_age_ms", dispatcher.feeds.age(now, Feed::Servers))
        .with("active", gateway.active_requests.get())
        .with("heard", dispatcher.peers.reporting_count(now))
        .with("possible", dispatcher.peers.possible_count())
        .with("fence", dispatcher.lease.fence(now));
    for (kind, calls) in gateway.metrics.store_calls() {
        event = event.with(&format!("store_{kind}"), calls);
    }
    event.log();
}

// Leaves the fleet, then closes the client connections after their responses, for the grace period at
// most.
async fn shut_down<P>(gateway: &Rc<Gateway<P>>, requested: Instant)
where
    P: Platform,
{
    let late = requested.elapsed();
    let now = gateway.now();
    gateway
        .stop_requested
        .set(Some(now.checked_sub(late).unwrap_or(now)));
    Event::new("stopping")
        .with("active", gateway.active_requests.get())
        .with_time("late_ms", late)
        .log();
    gateway.connections.start_counting();
    gateway.dispatcher.borrow_mut().start_draining();
    gateway.heartbeat_due.notify_one();
    let shared = Rc::clone(gateway);
    actix::spawn(async move { membership::leave(&shared).await });
    let end = gateway.stop_time();
    let delay = gateway.timings.grace.mul_f64(SHUTDOWN_DELAY_SHARE);
    let delay = delay.min(MIN_SHUTDOWN_DELAY);
    tokio::time::sleep(delay.saturating_sub(requested.elapsed())).await;
    let end = end.max(late + MIN_CLOSE_TIME);
    loop {
        gateway.connections.close_idle();
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
        if gateway.connections.is_empty() || requested.elapsed() >= end {
            break;
        }
    }
    stream_log::hand_over(gateway).await;
    let mut stopped = Event::new("stopped")
        .with("cut", gateway.active_requests.get())
        .with_time("ms", requested.elapsed());
    for (name, count) in gateway.connections.counts() {
        stopped = stopped.with(name, count);
    }
    stopped.log();
}
