//! Startup, main loop and shutdown of the daemon.

use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::web::Data;
use actix_web::{App, HttpServer};
use error_stack::{Report, ResultExt};
use log::{info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep};

use apricotwell_adapters::{HttpEngine, HttpInstances, HttpLog};
use apricotwell_http::pool::ConnectionPool;
use apricotwell_logging::{EventFile, wall_time};
use apricotwell_node::Node;
use apricotwell_peers::{LinkSecret, PeerLinks, listen};
use apricotwell_timeline::{Event, EventKind};

use crate::relay::ServerConnections;
use crate::streams;
use crate::{NodeDriver, Settings, api, control};

/// Time for sending the responses of aborted requests at a forced shutdown.
const ABORT_GRACE: Duration = Duration::from_millis(1500);
/// Timeout of a request for an engine's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Interval at which draining is checked for completion.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Reason why the daemon could not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DaemonError {
    /// Logging or the event file could not be set up.
    Logs,
    /// An address could not be bound.
    Listen,
    /// The link secret can't be used.
    Secret,
    /// Serving clients failed.
    Serve,
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DaemonError::Logs => "logs can't be set up: check [logs]",
            DaemonError::Listen => {
                "an address can't be bound: check [instance] and whether it is in use"
            }
            DaemonError::Secret => "the link secret can't be used: check [fleet]",
            DaemonError::Serve => "serving clients failed: see the log",
        })
    }
}

impl std::error::Error for DaemonError {}

/// Runs the daemon until it has drained after a signal.
///
/// # Errors
///
/// Fails when logs, secret, addresses or signal handlers can't be set up, or when serving fails.
pub async fn run_daemon(settings: Settings) -> Result<(), Report<DaemonError>> {
    let id = settings.instance.id.clone();
    apricotwell_logging::init(&id, &settings.logs.level).change_context(DaemonError::Logs)?;
    let events = EventFile::open(settings.logs.events.as_deref());
    let events = events.change_context(DaemonError::Logs)?;
    let secret = LinkSecret::new(&settings.fleet.link_secret);
    let secret = secret.change_context(DaemonError::Secret)?;
    let peers = TcpListener::bind(&settings.instance.peer_address).await;
    let peers = peers.change_context(DaemonError::Listen)?;
    let mut terminate = signal(SignalKind::terminate()).change_context(DaemonError::Serve)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(DaemonError::Serve)?;

    let incarnation = wall_time().as_micros() as u64;
    let node = Node::new(Instant::now(), wall_time(), settings.node(incarnation));
    let (sender, actions) = mpsc::unbounded_channel();
    let driver = Arc::new(NodeDriver::new(node, settings.clone(), events, sender));
    driver.write_event(Event::new(EventKind::ProcessStarted));

    start_tasks(&driver, &settings, secret, peers, actions);
    let server = start_server(&driver, &settings)?;
    let handle = server.handle();
    let serving = spawn_local(server);
    info!("{id} listens on {}", settings.client_address());

    wait_for_signal(&mut terminate, &mut interrupt).await;
    drain(&driver, &settings, &mut terminate, &mut interrupt).await;
    handle.stop(false).await;
    driver.write_event(Event::new(EventKind::ProcessStopped));
    match serving.await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(Report::new(error).change_context(DaemonError::Serve)),
        Err(error) => Err(Report::new(error).change_context(DaemonError::Serve)),
    }
}

fn start_tasks(
    driver: &Arc<NodeDriver>,
    settings: &Settings,
    secret: LinkSecret,
    peers: TcpListener,
    actions: mpsc::UnboundedReceiver<apricotwell_node::Action>,
) {
    let timeout = Duration::from_millis(settings.platform.timeout_ms);
    let log = HttpLog::new(&settings.platform.address, timeout);
    let instances = HttpInstances::new(&settings.platform.address, timeout);
    let order_timeout = Duration::from_millis(settings.coordination.order_timeout_ms);
    let engine = HttpEngine::new(order_timeout, REPORT_TIMEOUT);
    let links = PeerLinks::new(secret.clone());
    let peer_driver = driver.clone();
    let deliver = move |envelope| peer_driver.update(|node, now| node.on_message(now, envelope));
    spawn_local(listen(peers, secret, deliver));
    spawn_local(control::poll_instances(driver.clone(), instances));
    spawn_local(control::follow_log(driver.clone(), log.clone()));
    spawn_local(control::execute_actions(
        driver.clone(),
        actions,
        links,
        log,
        engine,
    ));
    spawn_local(control::tick(driver.clone()));
}

fn start_server(
    driver: &Arc<NodeDriver>,
    settings: &Settings,
) -> Result<actix_web::dev::Server, Report<DaemonError>> {
    let data = Data::from(driver.clone());
    let progress_timeout = Duration::from_millis(settings.requests.progress_ms);
    let client_timeout = Duration::from_millis(settings.callers.stalled_caller_ms);
    let sweep_driver = driver.clone();
    let app = move || {
        let sweep_driver = sweep_driver.clone();
        let pool = ConnectionPool::new();
        let connections = ServerConnections(Rc::clone(&pool));
        spawn_local(async move {
            let mut period = interval(streams::SWEEP_PERIOD);
            loop {
                period.tick().await;
                if sweep_driver.is_aborting() {
                    streams::abort_all();
                }
                streams::sweep(Instant::now(), progress_timeout, client_timeout);
                pool.expire();
            }
        });
        App::new()
            .app_data(data.clone())
            .app_data(Data::new(connections))
            .configure(api::configure)
    };
    let server = HttpServer::new(app)
        .workers(settings.instance.workers)
        .max_connections(settings.callers.max_connections)
        .client_request_timeout(Duration::from_millis(settings.callers.head_timeout_ms))
        .keep_alive(Duration::from_secs(75))
        .disable_signals()
        .bind(settings.client_address())
        .change_context(DaemonError::Listen)?;
    Ok(server.run())
}

async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

// From now on the address lookup omits this instance. Requests are accepted until the lookup
// results that clients hold have expired; then the instance stops once it is drained. A second
// signal or the drain limit aborts the remaining requests with their known outcomes.
async fn drain(
    driver: &Arc<NodeDriver>,
    settings: &Settings,
    terminate: &mut Signal,
    interrupt: &mut Signal,
) {
    info!("draining: requests are accepted until lookup results have expired");
    driver.update(|node, now| node.start_draining(now));
    let lifetime = Duration::from_millis(settings.shutdown.lookup_lifetime_ms);
    let limit = Duration::from_millis(settings.shutdown.drain_limit_ms);
    let drained = async {
        sleep(lifetime).await;
        while !driver.read(|node, _| node.is_drained()) {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        () = drained => info!("drained"),
        () = sleep(limit.max(lifetime))
            => abort_requests(driver, "the drain limit has passed").await,
        () = wait_for_signal(terminate, interrupt) => abort_requests(driver, "second signal").await,
    }
}

async fn abort_requests(driver: &Arc<NodeDriver>, reason: &str) {
    let open = driver.read(|node, _| node.open_requests());
    warn!("{reason}: aborting {open} open requests");
    driver.abort_requests();
    sleep(ABORT_GRACE).await;
}
