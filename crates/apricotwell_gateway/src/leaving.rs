//! Servers that say in their answers that they leave: requests, reports and orders tell of it.

use apricotwell_types::ServerId;

use crate::adapter::Platform;
use crate::events::Event;
use crate::gateway::Gateway;

/// Process of a server, as it is known when something is sent to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerProcess {
    server: ServerId,
    started_ms: u64,
}

impl ServerProcess {
    /// Returns the known process of a server, `None` if the server is not known.
    pub fn of<P>(gateway: &Gateway<P>, server: &ServerId) -> Option<Self>
    where
        P: Platform,
    {
        let dispatcher = gateway.dispatcher.borrow();
        let known = dispatcher.backends.get(server)?;
        Some(Self {
            server: server.clone(),
            started_ms: known.entry.started_ms,
        })
    }
}

/// Records that the process that an answer came from leaves, and tells the other instances.
pub fn record<P>(gateway: &Gateway<P>, process: &ServerProcess)
where
    P: Platform,
{
    let ServerProcess { server, started_ms } = process;
    let now = gateway.now();
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    let backends = &mut dispatcher.backends;
    if !backends.record_leaving(now, server, *started_ms, false) {
        return;
    }
    drop(dispatcher);
    Event::new("server_leaving")
        .with("server", &**server)
        .with("born", *started_ms)
        .log();
    gateway.heartbeat_due.notify_one();
    gateway.servers_changed.notify_waiters();
    gateway.replan.notify_one();
}
