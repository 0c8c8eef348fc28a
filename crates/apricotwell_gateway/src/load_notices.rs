//! Task of the lease holder that tells instances with waiting requests which servers can run them.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use crate::adapter::Platform;
use crate::gateway::Gateway;
use crate::heartbeats::{encode_inventory, send};

/// Minimum interval between two rounds, in which the changes of several servers are combined.
const MIN_INTERVAL: Duration = Duration::from_millis(25);

/// Sends notices whenever the models that servers hold, or the requests that wait, may have changed.
pub async fn run<P>(gateway: Rc<Gateway<P>>, socket: Rc<UdpSocket>)
where
    P: Platform,
{
    loop {
        gateway.notices_due.notified().await;
        let now = gateway.now();
        let notices = gateway.dispatcher.borrow_mut().take_load_notices(now);
        gateway.metrics.count_load_notices(notices.len() as u64);
        for (recipient, update) in notices {
            send(&socket, &encode_inventory(update), &recipient).await;
        }
        gateway.servers_changed.notify_waiters();
        tokio::time::sleep(MIN_INTERVAL).await;
    }
}
