//! Finds out whether this instance reaches the servers of its services.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use apricotwell_types::ServerId;
use futures_util::future::join_all;

use crate::adapter::Platform;
use crate::events::Event;
use crate::gateway::Gateway;

/// Time limit of a connection that only shows whether a server accepts any.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause between two rounds of probes.
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(300);
/// Pause between two rounds of probes per instance of the fleet, so that servers that come back are not
/// met by more connections than they accept. The longer of the two pauses applies.
const PAUSE_PER_INSTANCE: Duration = Duration::from_millis(4);

/// Asks servers for connections as long as some service may be unreachable.
pub async fn run<P>(gateway: Rc<Gateway<P>>)
where
    P: Platform,
{
    loop {
        let now = gateway.now();
        let targets = gateway.dispatcher.borrow_mut().probe_targets(now);
        if targets.is_empty() {
            gateway.reach_doubted.notified().await;
            continue;
        }
        let probes = targets.into_iter().map(|target| probe(&gateway, target));
        join_all(probes).await;
        let instances = gateway.dispatcher.borrow().peers.possible_count() as u32;
        tokio::time::sleep(MIN_PROBE_PAUSE.max(PAUSE_PER_INSTANCE * instances)).await;
    }
}

async fn probe<P>(gateway: &Gateway<P>, (server, address): (ServerId, SocketAddr))
where
    P: Platform,
{
    let is_accepted = gateway.pool.is_accepting(address, PROBE_TIMEOUT).await;
    record_connection(gateway, &server, is_accepted);
}

/// Records whether a server accepted a connection. Other instances hear at once if that shows that a
/// service is unreachable or reachable again.
pub fn record_connection<P>(gateway: &Gateway<P>, server: &str, is_accepted: bool)
where
    P: Platform,
{
    let now = gateway.now();
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    let is_changed = dispatcher.record_connection(now, server, is_accepted);
    let service = dispatcher.backends.get(server);
    let service = service.map(|backend| backend.entry.service.clone());
    drop(dispatcher);
    if !is_accepted {
        gateway.reach_doubted.notify_one();
    }
    let Some(service) = service.filter(|_| is_changed) else {
        return;
    };
    let name = if is_accepted {
        "service_reached"
    } else {
        "service_unreachable"
    };
    gateway.metrics.count_reach(name);
    Event::new(name)
        .with("service", &*service)
        .with("server", server)
        .log();
    gateway.heartbeat_due.notify_one();
    gateway.servers_changed.notify_waiters();
}
