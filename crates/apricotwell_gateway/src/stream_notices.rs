//! Notices of streams to another instance, where the store's log may lack them when their first events are delivered.
//!
//! If the instance is killed, the one that had notice of them still knows their versions. Notices are sent only in a
//! fleet so small that all instances are asked for a stream.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use apricotwell_dispatch::saved_streams::encode_batch;
use apricotwell_dispatch::stream_memory::BegunStream;
use apricotwell_messages::{Datagram, StreamBatch, StreamNotice, StreamReceipt};
use apricotwell_types::{InstanceId, Map};
use prost::Message;
use tokio::net::UdpSocket;

use crate::adapter::Platform;
use crate::gateway::Gateway;
use crate::pending::PendingQuestions;
use crate::stream_queries::MAX_ASKED;

/// Time limit for the receipt of one notice, which holds up the first events of a stream.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(40);
/// Instances that are tried for one stream.
const MAX_TRIED: usize = 2;
/// Time for which an instance that sent no receipt is not tried again.
const SILENCE_TIME: Duration = Duration::from_secs(2);

/// Notices of this instance without a receipt, and instances that sent none.
#[derive(Debug)]
pub struct StreamNotices {
    pending: PendingQuestions<()>,
    silent: RefCell<Map<InstanceId, Instant>>,
}

impl StreamNotices {
    /// Creates the notices of a process; `incarnation` is its start number, in milliseconds.
    pub fn new(incarnation: u64) -> Self {
        Self {
            pending: PendingQuestions::new(incarnation),
            silent: RefCell::default(),
        }
    }

    /// Delivers a receipt.
    pub fn deliver(&self, receipt: &StreamReceipt) {
        self.pending.deliver(receipt.number, ());
    }

    fn is_silent(&self, now: Instant, instance: &InstanceId) -> bool {
        let silent = self.silent.borrow();
        let since = silent.get(instance);
        since.is_some_and(|since| now.saturating_duration_since(*since) < SILENCE_TIME)
    }

    // Records whether an instance sent a receipt.
    fn record(&self, now: Instant, instance: &InstanceId, is_received: bool) {
        let mut silent = self.silent.borrow_mut();
        silent.retain(|_, since| now.saturating_duration_since(*since) < SILENCE_TIME);
        if !is_received {
            silent.insert(instance.clone(), now);
        }
    }
}

/// Tells another instance of streams; returns `false` if they would have to be known to one and none sent a
/// receipt.
pub async fn tell<P>(gateway: &Gateway<P>, streams: &[BegunStream]) -> bool
where
    P: Platform,
{
    let Some(targets) = targets(gateway) else {
        return true;
    };
    let streams = encode_batch(streams);
    for target in targets {
        let is_received = tell_one(gateway, &target, &streams).await;
        let now = gateway.now();
        gateway.stream_notices.record(now, &target, is_received);
        if is_received {
            gateway.metrics.count_stream_notice("received");
            return true;
        }
    }
    gateway.metrics.count_stream_notice("unknown");
    false
}

// Returns the instances to try, `None` if no notice is needed.
fn targets<P>(gateway: &Gateway<P>) -> Option<Vec<InstanceId>>
where
    P: Platform,
{
    let now = gateway.now();
    let dispatcher = gateway.dispatcher.borrow();
    if dispatcher.peers.heartbeat_targets().len() > MAX_ASKED {
        return None;
    }
    let targets = dispatcher.notice_targets(now).into_iter();
    let targets = targets.filter(|target| !gateway.stream_notices.is_silent(now, target));
    Some(targets.take(MAX_TRIED).collect())
}

async fn tell_one<P>(gateway: &Gateway<P>, target: &InstanceId, streams: &StreamBatch) -> bool
where
    P: Platform,
{
    let Some(socket) = gateway.peer_socket.get() else {
        return false;
    };
    let (question, receipt) = gateway.stream_notices.pending.register();
    let datagram = Datagram {
        stream_notice: Some(StreamNotice {
            number: question.number,
            streams: Some(streams.clone()),
        }),
        ..Datagram::default()
    };
    if let Err(error) = socket.send_to(&datagram.encode_to_vec(), &**target).await {
        log::debug!("failed to tell {target} of a stream: {error}");
        return false;
    }
    let received = tokio::time::timeout(RECEIPT_TIMEOUT, receipt).await;
    matches!(received, Ok(Ok(())))
}

/// Remembers the streams of another instance, and sends the receipt.
pub async fn receive<P>(
    gateway: &Gateway<P>,
    socket: &UdpSocket,
    sender: SocketAddr,
    notice: &StreamNotice,
) where
    P: Platform,
{
    let now = gateway.now();
    if let Some(streams) = &notice.streams {
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        dispatcher.streams.record_told(now, streams);
    }
    let datagram = Datagram {
        stream_receipt: Some(StreamReceipt {
            number: notice.number,
        }),
        ..Datagram::default()
    };
    if let Err(error) = socket.send_to(&datagram.encode_to_vec(), sender).await {
        log::debug!("failed to send a receipt to {sender}: {error}");
    }
}
