//! The daemon as a whole.

use std::fmt;
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
use apricotwell_logging::{EventFile, wall_time};
use apricotwell_node::Node;
use apricotwell_peers::{LinkSecret, PeerLinks, listen};
use apricotwell_timeline::{Event, EventKind};

use crate::relay::Clients;
use crate::streams;
use crate::{NodeDriver, Settings, api, control};

/// Time in which refused requests get their answers at a forced end.
const FAREWELL: Duration = Duration::from_millis(1500);
/// Time in which an engine must answer a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time between two looks at whether the instance is drained.
const DRAIN_CHECK: Duration = Duration::from_millis(100);

/// Why the daemon could not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DaemonError {
    /// Logging or the event file could not be set up.
    Logs,
    /// An address could not be bound.
    Listen,
    /// The link secret can't be used.
    Secret,
    /// Serving callers failed.
    Serve,
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DaemonError::Logs => "logs can't be set up: check [logs]",
            DaemonError::Listen => "an address can't be bound: check [instance] and who uses it",
            DaemonError::Secret => "the link secret can't be used: check [fleet]",
            DaemonError::Serve => "serving callers failed: see the log",
        })
    }
}

impl std::error::Error for DaemonError {}

/// Runs the daemon until it has drained after a signal.
///
/// # Errors
///
/// Fails when a part can't be set up.
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
    let (io, actions) = mpsc::unbounded_channel();
    let shell = Arc::new(NodeDriver::new(node, settings.clone(), events, io));
    shell.write_event(Event::new(EventKind::ProcessStarted));

    start_tasks(&shell, &settings, secret, peers, actions);
    let server = start_server(&shell, &settings)?;
    let handle = server.handle();
    let serving = spawn_local(server);
    info!("{id} listens on {}", settings.caller_address());

    wait_for_signal(&mut terminate, &mut interrupt).await;
    drain(&shell, &settings, &mut terminate, &mut interrupt).await;
    handle.stop(false).await;
    shell.write_event(Event::new(EventKind::ProcessStopped));
    match serving.await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(Report::new(error).change_context(DaemonError::Serve)),
        Err(error) => Err(Report::new(error).change_context(DaemonError::Serve)),
    }
}

fn start_tasks(
    shell: &Arc<NodeDriver>,
    settings: &Settings,
    secret: LinkSecret,
    peers: TcpListener,
    actions: mpsc::UnboundedReceiver<apricotwell_node::Action>,
) {
    let timeout = Duration::from_millis(settings.platform.timeout_ms);
    let log = HttpLog::new(&settings.platform.address, timeout);
    let list = HttpInstances::new(&settings.platform.address, timeout);
    let order_timeout = Duration::from_millis(settings.coordination.order_timeout_ms);
    let engine = HttpEngine::new(order_timeout, REPORT_TIMEOUT);
    let links = PeerLinks::new(secret.clone());
    let receiver = shell.clone();
    let deliver = move |envelope| receiver.tell(|node, now| node.on_message(now, envelope));
    spawn_local(listen(peers, secret, deliver));
    spawn_local(control::follow_list(shell.clone(), list));
    spawn_local(control::follow_log(shell.clone(), log.clone()));
    spawn_local(control::carry_out(
        shell.clone(),
        actions,
        links,
        log,
        engine,
    ));
    spawn_local(control::tick(shell.clone()));
}

fn start_server(
    shell: &Arc<NodeDriver>,
    settings: &Settings,
) -> Result<actix_web::dev::Server, Report<DaemonError>> {
    let data = Data::from(shell.clone());
    let progress = Duration::from_millis(settings.requests.progress_ms);
    let stalled = Duration::from_millis(settings.callers.stalled_caller_ms);
    let watched = shell.clone();
    let app = move || {
        let watched = watched.clone();
        spawn_local(async move {
            let mut period = interval(streams::SWEEP_PERIOD);
            loop {
                period.tick().await;
                if watched.is_ending() {
                    streams::end_all();
                }
                streams::sweep(Instant::now(), progress, stalled);
            }
        });
        App::new()
            .app_data(data.clone())
            .app_data(Data::new(Clients::new()))
            .configure(api::configure)
    };
    let server = HttpServer::new(app)
        .workers(settings.instance.workers)
        .max_connections(settings.callers.max_connections)
        .client_request_timeout(Duration::from_millis(settings.callers.head_timeout_ms))
        .keep_alive(Duration::from_secs(75))
        .disable_signals()
        .bind(settings.caller_address())
        .change_context(DaemonError::Listen)?;
    Ok(server.run())
}

async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

// First the look-up leaves this instance out; it accepts until callers' answers have lapsed and
// ends once it is drained. A second signal or the limit ends it with what is known.
async fn drain(
    shell: &Arc<NodeDriver>,
    settings: &Settings,
    terminate: &mut Signal,
    interrupt: &mut Signal,
) {
    info!("leaving: requests are accepted until look-ups have lapsed");
    shell.tell(|node, now| node.leave(now));
    let lifetime = Duration::from_millis(settings.shutdown.lookup_lifetime_ms);
    let limit = Duration::from_millis(settings.shutdown.drain_limit_ms);
    let drained = async {
        sleep(lifetime).await;
        while !shell.look(|node, _| node.is_drained()) {
            sleep(DRAIN_CHECK).await;
        }
    };
    tokio::select! {
        () = drained => info!("drained"),
        () = sleep(limit.max(lifetime)) => end_requests(shell, "the drain limit has passed").await,
        () = wait_for_signal(terminate, interrupt) => end_requests(shell, "second signal").await,
    }
}

async fn end_requests(shell: &Arc<NodeDriver>, reason: &str) {
    let open = shell.look(|node, _| node.open_requests());
    warn!("{reason}: {open} open requests are ended");
    shell.end_all();
    sleep(FAREWELL).await;
}
