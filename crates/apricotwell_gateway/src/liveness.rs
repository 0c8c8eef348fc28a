//! Whether another instance responds right now.
//!
//! Heartbeats show this only as of their interval, and the system accepts connections for a process that
//! is suspended. So an instance is asked by datagram before a request is passed on to it.

use std::rc::Rc;
use std::time::Duration;

use apricotwell_messages::{Datagram, Liveness};
use apricotwell_types::InstanceId;
use futures_util::future::join_all;
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
/// Pause between two rounds of questions to instances whose heartbeat is overdue.
const OVERDUE_INTERVAL: Duration = Duration::from_millis(100);
/// Instances asked in one round; after a cut most of a fleet is overdue at once.
const MAX_OVERDUE: usize = 16;

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

/// Asks the instances whose heartbeat is overdue whether they run; never returns.
pub async fn ask_overdue<P>(gateway: Rc<Gateway<P>>)
where
    P: Platform,
{
    let mut turn = 0;
    loop {
        tokio::time::sleep(OVERDUE_INTERVAL).await;
        let now = gateway.now();
        let mut overdue: Vec<InstanceId> = {
            let dispatcher = gateway.dispatcher.borrow();
            dispatcher.peers.overdue(now).cloned().collect()
        };
        // Each round continues where the last one ended, so that instances that have ended hide no other.
        let start = usize::checked_rem(turn, overdue.len()).unwrap_or(0);
        overdue.rotate_left(start);
        overdue.truncate(MAX_OVERDUE);
        turn += overdue.len();
        let questions = overdue.iter().map(async |instance| {
            if responds(&gateway, instance).await {
                let peers = &mut gateway.dispatcher.borrow_mut().peers;
                peers.record_response(now, instance);
            }
        });
        join_all(questions).await;
    }
}
