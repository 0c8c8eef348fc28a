//! Whether another instance responds right now.
//!
//! Heartbeats show this only as of their interval, and the system accepts connections for a process that
//! is suspended. So an instance is asked by datagram before a request is passed on to it.

use std::time::Duration;

use apricotwell_messages::{Datagram, Liveness};
use prost::Message;

use crate::adapter::Platform;
use crate::gateway::Gateway;

/// Time limit for the response to one question; an instance that is not overloaded responds within it.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which an instance is asked that a request was passed on to.
const WATCH_INTERVAL: Duration = Duration::from_millis(400);
/// Questions in a row without a response after which a watched instance counts as suspended; one
/// datagram may be lost.
const MAX_UNANSWERED: u32 = 2;

/// Asks another instance whether it responds.
///
/// Instances that don't know the question never respond.
pub async fn responds<P>(gateway: &Gateway<P>, instance: &str) -> bool
where
    P: Platform,
{
    let Some(socket) = gateway.peer_socket.get() else {
        return false;
    };
    let (question, response) = gateway.liveness.register();
    let number = question.number;
    let datagram = Datagram {
        liveness_query: Some(Liveness { number }),
        ..Datagram::default()
    };
    if let Err(error) = socket.send_to(&datagram.encode_to_vec(), instance).await {
        log::debug!("failed to ask {instance} whether it responds: {error}");
        return false;
    }
    matches!(
        tokio::time::timeout(RESPONSE_TIMEOUT, response).await,
        Ok(Ok(()))
    )
}

/// Returns once an instance no longer responds.
pub async fn until_silent<P>(gateway: &Gateway<P>, instance: &str)
where
    P: Platform,
{
    let mut unanswered = 0;
    while unanswered < MAX_UNANSWERED {
        tokio::time::sleep(WATCH_INTERVAL).await;
        unanswered = if responds(gateway, instance).await {
            0
        } else {
            unanswered + 1
        };
    }
}
