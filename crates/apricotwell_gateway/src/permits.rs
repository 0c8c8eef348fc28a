//! Permits for servers with a limit: requests to other instances, and their answers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use apricotwell_messages::{Datagram, PermitRequest, PermitResponse};
use apricotwell_permits::prelude::WarmupChange;
use prost::Message;
use tokio::net::UdpSocket;

use crate::adapter::Platform;
use crate::events::Event;
use crate::gateway::Gateway;

/// Interval at which permits are asked for again while requests wait for them.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Asks for permits whenever requests need them.
pub async fn run<P>(gateway: Rc<Gateway<P>>, socket: Rc<UdpSocket>)
where
    P: Platform,
{
    loop {
        send_requests(&gateway, &socket).await;
        let is_waiting = gateway.dispatcher.borrow().limited.permits.has_waiting();
        let due = gateway.permits_due.notified();
        if is_waiting {
            // Lost answers and refusals are repeated without a notification.
            let _ = tokio::time::timeout(POLL_INTERVAL, due).await;
        } else {
            due.await;
        }
    }
}

async fn send_requests<P>(gateway: &Gateway<P>, socket: &UdpSocket)
where
    P: Platform,
{
    let now = gateway.now();
    let (requests, has_granted) = gateway.dispatcher.borrow_mut().take_permit_requests(now);
    if has_granted {
        gateway.servers_changed.notify_waiters();
    }
    for (target, request) in requests {
        let datagram = Datagram {
            permit_request: Some(request),
            ..Datagram::default()
        };
        // A lost request is repeated.
        if let Err(error) = socket.send_to(&datagram.encode_to_vec(), &*target).await {
            log::debug!("failed to send a permit request to {target}: {error}");
        }
    }
}

/// Answers another instance's request for a permit.
pub async fn answer<P>(
    gateway: &Gateway<P>,
    socket: &UdpSocket,
    sender: SocketAddr,
    request: &PermitRequest,
) where
    P: Platform,
{
    let now = gateway.now();
    let response = gateway.dispatcher.borrow_mut().answer_permit(now, request);
    log_limit_changes(gateway);
    let Some(response) = response else {
        return;
    };
    gateway.metrics.count_permit(response.granted);
    let datagram = Datagram {
        permit_response: Some(response),
        ..Datagram::default()
    };
    if let Err(error) = socket.send_to(&datagram.encode_to_vec(), sender).await {
        log::debug!("failed to send a permit response to {sender}: {error}");
    }
}

/// Applies the answer to a request for a permit.
pub fn apply<P>(gateway: &Gateway<P>, response: &PermitResponse)
where
    P: Platform,
{
    let now = gateway.now();
    if gateway.dispatcher.borrow_mut().limited.apply(now, response) {
        gateway.servers_changed.notify_waiters();
    }
    log_limit_changes(gateway);
}

// Logs and counts a server that became cold or warm.
fn log_warmup<P>(gateway: &Gateway<P>, change: &WarmupChange)
where
    P: Platform,
{
    let server = &*change.server;
    if let Some((rate, left)) = change.cold {
        gateway.metrics.count_warmup("cold");
        Event::new("server_cold")
            .with("server", server)
            .with("rate", rate)
            .with_time("left_ms", left)
            .log();
    } else {
        gateway.metrics.count_warmup("warm");
        Event::new("server_warm").with("server", server).log();
    }
    gateway.servers_changed.notify_waiters();
}

/// Logs and counts the limits that changed since the last call, and has them reported to the other
/// instances.
pub fn log_limit_changes<P>(gateway: &Gateway<P>)
where
    P: Platform,
{
    let (changes, warmups) = {
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        let limits = &mut dispatcher.limited.limits;
        (limits.take_changes(), limits.cold.take_changes())
    };
    for change in warmups {
        log_warmup(gateway, &change);
    }
    for change in changes {
        let outcome = if change.rate.is_some() {
            "named"
        } else {
            "lifted"
        };
        gateway.metrics.count_limit(outcome);
        Event::new("server_limit")
            .with("server", &*change.server)
            .with("outcome", outcome)
            .with("rate", change.rate)
            .with("heard", change.is_heard)
            .log();
        if !change.is_heard {
            gateway.heartbeat_due.notify_one();
        }
        gateway.servers_changed.notify_waiters();
    }
}
