//! Startup, main loop and shutdown of the daemon.

use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{fmt, io};

use error_stack::{Report, ResultExt};
use log::{info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

use apricotwell_adapters::{HttpEngine, HttpInstances, HttpLog};
use apricotwell_logging::{EventFile, wall_time};
use apricotwell_node::Node;
use apricotwell_peers::{LinkSecret, PeerLinks, listen};
use apricotwell_timeline::{Event, EventKind};

use crate::clients::ClientServer;
use crate::driver::StopPhase;
use crate::{NodeDriver, Settings, control};

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

/// Handlers of the signals that stop the process.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers; a signal that arrives before the daemon runs is kept.
    ///
    /// # Errors
    ///
    /// Fails if the handlers can't be installed.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Runs the daemon until it has drained after a signal.
///
/// # Errors
///
/// Fails when logs, secret or addresses can't be set up, or when serving fails.
pub async fn run_daemon(
    settings: Settings,
    mut signals: StopSignals,
) -> Result<(), Report<DaemonError>> {
    let id = settings.instance.id.clone();
    apricotwell_logging::init(&id, &settings.logs.level).change_context(DaemonError::Logs)?;
    let events = EventFile::open(settings.logs.events.as_deref());
    let events = events.change_context(DaemonError::Logs)?;
    let secret = LinkSecret::new(&settings.fleet.link_secret);
    let secret = secret.change_context(DaemonError::Secret)?;
    let peers = TcpListener::bind(&settings.instance.peer_address).await;
    let peers = peers.change_context(DaemonError::Listen)?;

    let incarnation = wall_time().as_micros() as u64;
    let node = Node::new(Instant::now(), wall_time(), settings.node(incarnation));
    let (sender, actions) = mpsc::unbounded_channel();
    let driver = Arc::new(NodeDriver::new(node, settings.clone(), events, sender));
    driver.write_event(Event::new(EventKind::ProcessStarted));

    start_tasks(&driver, &settings, secret, peers, actions);
    let server = ClientServer::start(&driver, &settings).await;
    let (clients, server) = server.change_context(DaemonError::Listen)?;
    let serving = spawn_local(server);
    info!("{id} listens on {}", settings.client_address());

    signals.wait().await;
    let stopped = stop(&driver, clients, &mut signals).await;
    driver.write_event(Event::new(EventKind::ProcessStopped));
    if stopped.change_context(DaemonError::Serve)? == StopResult::Aborted {
        // The server waits for connections that are cut off by the exit.
        return Ok(());
    }
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

// How a stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopResult {
    // Every request has its response, and every connection is closed.
    Drained,
    // Requests were aborted, and connections may be open.
    Aborted,
}

// From now on the address lookup omits this instance. Requests are accepted until the lookup
// results that clients hold have expired; then the instance stops once it is drained. A second
// signal or the drain limit aborts the remaining requests with their known outcomes.
async fn stop(
    driver: &Arc<NodeDriver>,
    clients: ClientServer,
    signals: &mut StopSignals,
) -> io::Result<StopResult> {
    info!("draining: requests are accepted until lookup results have expired");
    driver.update(|node, now| node.start_draining(now));
    driver.set_stop_phase(StopPhase::Draining);
    let shutdown = &driver.settings().shutdown;
    let lifetime = Duration::from_millis(shutdown.lookup_lifetime_ms);
    let limit = Duration::from_millis(shutdown.drain_limit_ms);
    tokio::select! {
        drained = drain(driver, clients, lifetime) => {
            drained?;
            info!("drained");
            return Ok(StopResult::Drained);
        }
        () = sleep(limit.max(lifetime))
            => abort_requests(driver, "the drain limit has passed").await,
        () = signals.wait() => abort_requests(driver, "second signal").await,
    }
    Ok(StopResult::Aborted)
}

// Waits until the work is done and the client connections have ended. The node's count of requests
// covers neither those that are being read nor responses that are still being written.
async fn drain(
    driver: &Arc<NodeDriver>,
    clients: ClientServer,
    lifetime: Duration,
) -> io::Result<()> {
    sleep(lifetime).await;
    driver.set_stop_phase(StopPhase::Closing);
    clients.close().await?;
    while !driver.read(|node, _| node.is_drained()) {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    Ok(())
}

async fn abort_requests(driver: &Arc<NodeDriver>, reason: &str) {
    let open = driver.read(|node, _| node.open_requests());
    warn!("{reason}: aborting {open} open requests");
    driver.abort_requests();
    sleep(ABORT_GRACE).await;
}
