//! Feed queries to other instances and their responses.

use std::time::{Duration, Instant};

use apricotwell_dispatch::feeds::{Feed, FeedUpdate, decode_answer};
use apricotwell_messages::{Datagram, FeedQuery, FeedResponse};
use apricotwell_types::{InstanceId, Offset};
use prost::Message;
use tokio::net::UdpSocket;

use crate::pending::PendingQuestions;

/// Time limit for the response to one query; an instance that is not overloaded responds within it.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Queries sent before an instance counts as unresponsive; one datagram may be lost.
const MAX_ATTEMPTS: u32 = 2;

/// Pending feed queries.
///
/// A late response to a query of an earlier process must not be matched to a query of this one: the view
/// would appear fresher than it is. [`PendingQuestions`] rules that out.
#[derive(Debug)]
pub struct FeedQueries {
    pending: PendingQuestions<FeedResponse>,
}

impl FeedQueries {
    /// Creates an empty set of queries for a process; `incarnation` is its start number, in
    /// milliseconds.
    pub fn new(incarnation: u64) -> Self {
        Self {
            pending: PendingQuestions::new(incarnation),
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
            let (question, receiver) = self.pending.register();
            let query = FeedQuery {
                number: question.number,
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
            if let Ok(Ok(response)) = response {
                return decode_answer(sent, from, &response);
            }
        }
        None
    }

    /// Delivers a response to its query; drops it if the query is no longer pending.
    pub fn deliver(&self, response: FeedResponse) {
        self.pending.deliver(response.number, response);
    }
}
