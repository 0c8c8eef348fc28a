//! Feed queries to other instances and their responses.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use apricotwell_dispatch::feeds::{Feed, FeedUpdate, decode_answer};
use apricotwell_messages::{Datagram, FeedQuery, FeedResponse};
use apricotwell_types::{InstanceId, Map, Offset};
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

/// Time limit for the response to one query; an instance that is not overloaded responds within it.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Queries sent before an instance counts as unresponsive; one datagram may be lost.
const MAX_ATTEMPTS: u32 = 2;

/// Size of the range of query numbers of one incarnation.
const QUERIES_PER_INCARNATION: u64 = 1 << 20;

/// Pending feed queries.
///
/// # Invariants
///
/// Query numbers are unique per address, even across restarts of the process. Otherwise a late
/// response to a query of an earlier process could be matched to a query of this one, and the view
/// would appear fresher than it is.
#[derive(Debug)]
pub struct FeedQueries {
    number: Cell<u64>,
    pending: RefCell<Map<u64, oneshot::Sender<FeedResponse>>>,
}

impl FeedQueries {
    /// Creates an empty set of queries for a process; `incarnation` is its start number, in
    /// milliseconds.
    pub fn new(incarnation: u64) -> Self {
        Self {
            number: Cell::new(incarnation.wrapping_mul(QUERIES_PER_INCARNATION)),
            pending: RefCell::default(),
        }
    }

    /// Queries another instance for the changes of a feed after an offset.
    ///
    /// `clock` must be the decision clock. Returns `None` if the instance does not respond, or if
    /// its response does not cover all changes since the offset.
    pub async fn query<C>(
        &self,
        socket: &UdpSocket,
        peer: &InstanceId,
        (feed, from): (Feed, Offset),
        clock: C,
    ) -> Option<FeedUpdate>
    where
        C: Fn() -> Instant,
    {
        for _ in 0..MAX_ATTEMPTS {
            let sent = clock();
            let (number, receiver) = self.register();
            let query = FeedQuery {
                number,
                servers: feed == Feed::Servers,
                from,
            };
            let datagram = Datagram {
                query: Some(query),
                ..Datagram::default()
            };
            if let Err(error) = socket.send_to(&datagram.encode_to_vec(), &**peer).await {
                log::debug!("failed to send a query to {peer}: {error}");
            }
            let response = tokio::time::timeout(RESPONSE_TIMEOUT, receiver).await;
            self.pending.borrow_mut().remove(&number);
            if let Ok(Ok(response)) = response {
                return decode_answer(sent, from, &response);
            }
        }
        None
    }

    // Registers a new query and returns its number.
    fn register(&self) -> (u64, oneshot::Receiver<FeedResponse>) {
        let number = self.number.get().wrapping_add(1);
        self.number.set(number);
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().insert(number, sender);
        (number, receiver)
    }

    /// Delivers a response to its query; drops it if the query is no longer pending.
    pub fn deliver(&self, response: FeedResponse) {
        if let Some(sender) = self.pending.borrow_mut().remove(&response.number) {
            // The querying task may have timed out or been dropped.
            let _ = sender.send(response);
        }
    }
}
