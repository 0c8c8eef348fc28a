//! Checks whether a server that broke off responses has ended.
//!
//! A response may be broken off by a server that lives on. A server has ended if it accepts no
//! connection shortly after.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use apricotwell_quarantine::prelude::{Crash, CrashedRequest, PartId};
use apricotwell_types::{Map, ServerId};
use tokio::sync::Notify;

use crate::adapter::Platform;
use crate::events::Event;
use crate::gateway::Gateway;
use crate::reach;

/// Time in which the other responses of a server that has ended break off as well.
const GATHER_TIME: Duration = Duration::from_millis(60);
/// Time limit of the connection that shows whether a server has ended.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest time for which a request waits for the check of a server that it was lost with.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// Requests of one server that are checked together.
const MAX_REQUESTS: usize = 64;
/// Requests of one server that are logged.
const MAX_LOGGED: usize = 16;

/// Servers that are being checked.
#[derive(Debug, Default)]
pub struct CrashChecks {
    servers: RefCell<Map<ServerId, PendingCheck>>,
    // Notified at the end of each check.
    ended: Notify,
}

#[derive(Debug)]
struct PendingCheck {
    // When the server first broke off a response.
    at: Instant,
    // Requests that it was beginning to answer then.
    requests: Vec<CrashedRequest>,
}

/// Server at the time when it broke off a response.
struct CheckedServer {
    id: ServerId,
    address: SocketAddr,
    started_ms: u64,
    at: Instant,
}

/// Checks a server that broke off a response to a request that it was beginning to answer.
pub fn begin<P>(gateway: &Rc<Gateway<P>>, server: &ServerId, request: CrashedRequest)
where
    P: Platform,
{
    let dispatcher = gateway.dispatcher.borrow();
    let Some(backend) = dispatcher.backends.get(server) else {
        return;
    };
    let checked = CheckedServer {
        id: server.clone(),
        address: backend.entry.address,
        started_ms: backend.entry.started_ms,
        at: gateway.now(),
    };
    let quarantine = &dispatcher.crashes.quarantine;
    if quarantine.is_aftermath(server, checked.started_ms, request.sent_at) {
        return;
    }
    let mut servers = gateway.crash_checks.servers.borrow_mut();
    if let Some(check) = servers.get_mut(server) {
        // A request that was sent after the first break can't have caused it.
        if request.sent_at < check.at && check.requests.len() < MAX_REQUESTS {
            check.requests.push(request);
        }
        return;
    }
    let check = PendingCheck {
        at: checked.at,
        requests: vec![request],
    };
    servers.insert(server.clone(), check);
    let gateway = Rc::clone(gateway);
    actix::spawn(async move { check_server(&gateway, checked).await });
}

/// Waits for the end of the check of a server, if there is one, for a limited time.
pub async fn wait_for<P>(gateway: &Gateway<P>, server: &ServerId)
where
    P: Platform,
{
    let checks = &gateway.crash_checks;
    let ended = async {
        loop {
            let ended = checks.ended.notified();
            if !checks.servers.borrow().contains_key(server) {
                return;
            }
            ended.await;
        }
    };
    if tokio::time::timeout(MAX_WAIT, ended).await.is_err() {
        log::debug!("the check of {server} takes too long to wait for");
    }
}

async fn check_server<P>(gateway: &Rc<Gateway<P>>, server: CheckedServer)
where
    P: Platform,
{
    tokio::time::sleep(GATHER_TIME).await;
    let is_accepting = gateway
        .pool
        .is_accepting(server.address, CONNECT_TIMEOUT)
        .await;
    reach::record_connection(gateway, &server.id, is_accepting);
    let has_ended = !is_accepting;
    let check = gateway.crash_checks.servers.borrow_mut().remove(&server.id);
    gateway.metrics.count_crash_check(has_ended);
    if has_ended {
        record_crash(gateway, server, check);
    }
    gateway.crash_checks.ended.notify_waiters();
}

fn record_crash<P>(gateway: &Rc<Gateway<P>>, server: CheckedServer, check: Option<PendingCheck>)
where
    P: Platform,
{
    let requests = check.map(|check| check.requests).unwrap_or_default();
    log_crash(&server, &requests);
    gateway.dispatcher.borrow_mut().crashes.record_own(Crash {
        server: server.id,
        started_ms: server.started_ms,
        at: server.at,
        requests,
    });
    gateway.heartbeat_due.notify_one();
    log_quarantine(gateway);
}

/// Logs and counts the parts that were quarantined or released since the last call.
pub fn log_quarantine<P>(gateway: &Gateway<P>)
where
    P: Platform,
{
    let changes = gateway
        .dispatcher
        .borrow_mut()
        .crashes
        .quarantine
        .take_changes();
    for change in changes {
        let name = if change.is_blocked {
            "part_quarantined"
        } else {
            "part_released"
        };
        gateway.metrics.count_quarantine(name);
        Event::new(name)
            .with("part", format!("{:x}", change.part))
            .with("ends", change.ends)
            .with("counted", change.counted)
            .log();
        gateway.servers_changed.notify_waiters();
    }
}

/// Logs and counts a request with a quarantined part that is let through as a trial.
pub fn log_trial<P>(gateway: &Gateway<P>, attempt: &str, part: PartId)
where
    P: Platform,
{
    gateway.metrics.count_quarantine("part_tried");
    Event::new("part_tried")
        .with("part", format!("{part:x}"))
        .with("request", attempt)
        .log();
}

fn log_crash(server: &CheckedServer, requests: &[CrashedRequest]) {
    let logged = || requests.iter().take(MAX_LOGGED);
    let hex = |request: &CrashedRequest| {
        let ids: Vec<String> = request.parts.iter().map(|id| format!("{id:x}")).collect();
        ids.join(",")
    };
    let sent_ms = |request: &CrashedRequest| {
        let time = server.at.saturating_duration_since(request.sent_at);
        time.as_millis() as u64
    };
    Event::new("server_crashed")
        .with("server", &*server.id)
        .with("requests", requests.len())
        .with("parts", logged().map(hex).collect::<Vec<String>>())
        .with("sent_ms", logged().map(sent_ms).collect::<Vec<u64>>())
        .log();
}
