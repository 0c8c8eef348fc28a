//! Interface between the gateway and a platform.
//!
//! An adapter only translates the platform's names and formats. It makes no decisions, does not
//! retry and keeps no state between calls.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use apricotwell_dispatch::prelude::*;
use apricotwell_permits::prelude::RequestRate;
use apricotwell_types::{Fence, Offset, Refusal, ServerId, StoreEra, ZoneId};
use bytes::Bytes;
use http::{HeaderMap, Request, Response, request, response};
use tokio::sync::watch;

/// A platform that instances run on.
pub trait Platform: 'static {
    /// Encoding of client requests and responses.
    type ClientProtocol: ClientProtocol;
    /// Client of the platform's store.
    type Store: Store;
    /// Client of the model engines.
    type EngineClient: EngineClient;
}

/// One attempt to run a request on a server.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// Server that the attempt is sent to.
    pub server: &'a ServerId,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Organisation that the request's API key belongs to.
    pub organisation: Option<&'a str>,
    /// Priority among the server's requests, 0 being the highest; `None` leaves it to the server.
    pub priority: Option<u8>,
    /// Id of the event after which the stream resumes; overrides the client's value.
    pub last_event: Option<u64>,
}

/// Decoded head of a server's response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// Whether it belongs to the attempt that was sent.
    pub matches_attempt: bool,
    /// Attempt that it names, if it names one.
    pub attempt: Option<String>,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether another server now has the address or the requested model is not loaded there.
    pub misdirected: bool,
    /// Whether it carries the seal that marks responses produced by a server.
    pub is_sealed: bool,
    /// Requests per second that the server accepts from all instances together, if it names a limit.
    pub rate_limit: Option<RequestRate>,
    /// Whether the server states that it leaves.
    pub is_leaving: bool,
}

impl ResponseHead {
    /// Returns whether what the head says concerns the attempt that was sent.
    ///
    /// A server may write a response once more, where the next one on its connection is expected. A head
    /// that names no attempt is matched by its connection alone: only one request was sent on a new one.
    pub fn is_response(&self, is_first: bool) -> bool {
        self.matches_attempt || (self.attempt.is_none() && is_first)
    }
}

/// Translates client requests for servers, and responses for clients.
pub trait ClientProtocol: 'static {
    /// Decodes the head of a client request.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send to the client.
    fn decode_request(head: &request::Parts) -> Result<RequestHead, Refusal>;

    /// Encodes the request to send to a server.
    fn encode_attempt(
        head: &request::Parts,
        request: &RequestHead,
        attempt: &Attempt<'_>,
        body: Bytes,
    ) -> Request<http_body_util::Full<Bytes>>;

    /// Encodes the request to pass on to another instance, with the client's own headers; `last_event`
    /// overrides the client's value.
    fn encode_forward(
        head: &request::Parts,
        remaining: Duration,
        last_event: Option<u64>,
        body: Bytes,
    ) -> Request<http_body_util::Full<Bytes>>;

    /// Decodes the head of a server's response to `request`.
    fn decode_response(head: &response::Parts, request: &RequestHead) -> ResponseHead;

    /// Returns the headers of a server's response that are forwarded to the client.
    fn relay_headers(headers: &HeaderMap) -> HeaderMap;

    /// Encodes a refusal as the response to the client.
    fn encode_refusal(refusal: &Refusal) -> Response<Bytes>;

    /// Returns whether a request is a readiness check.
    fn is_readiness(head: &request::Parts) -> bool;

    /// Returns whether a request looks up the addresses that clients can connect to.
    fn is_lookup(head: &request::Parts) -> bool;

    /// Encodes the response to an address lookup; clients may cache it for `lifetime`.
    fn encode_lookup(addresses: &[String], lifetime: Duration) -> Response<Bytes>;
}

/// Error of a store call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The store did not run the call: it is down, overloaded or rejected the call.
    Refused(String),
    /// No valid response was received: the call may have run, or may still run later.
    Unknown(String),
    /// Records at the requested offset have been deleted.
    Truncated,
    /// Newer records replace the requested ones, which are so large that they were not received.
    Superseded,
    /// The end of the log is not at the offset that the append expected.
    Conflict,
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused(text) => {
                write!(f, "the store did not run the call: {text}; try again later")
            }
            Self::Unknown(text) => {
                write!(
                    f,
                    "no valid response from the store: {text}; read before writing"
                )
            }
            Self::Truncated => f.write_str("the records were deleted; start from the newest ones"),
            Self::Superseded => f.write_str("newer records replace them; read the newest ones"),
            Self::Conflict => f.write_str("the end of the log has moved; read it again"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Decoded record of a feed.
#[derive(Clone, Debug)]
pub enum FeedRecord {
    /// Configuration.
    Catalog(Box<Catalog>),
    /// Evacuation of a zone by an operator.
    Evacuation {
        /// Zone.
        zone: ZoneId,
        /// Whether the zone is evacuated from now on, or its evacuation ends.
        is_evacuated: bool,
    },
    /// Entry of a server in the server list.
    Entry(Box<BackendEntry>),
    /// Removal of a server from the server list.
    Removed(ServerId),
    /// Record that can't be decoded; it is logged and otherwise ignored.
    Unreadable {
        /// Key of the record.
        key: String,
        /// Reason of the failure.
        reason: String,
    },
}

/// Consecutive records of a feed.
#[derive(Clone, Debug)]
pub struct FeedPage {
    /// Records, oldest first.
    pub records: Vec<FeedRecord>,
    /// Offset from which to continue reading.
    pub next: Offset,
    /// Whether the page reaches the end of the feed.
    pub is_end: bool,
    /// How the page was received.
    pub transfer: Transfer,
}

/// Size and times of a transfer from the store, for log records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Transfer {
    /// Bytes of the response's body.
    pub bytes: usize,
    /// Time from the call to the head of the response.
    pub head_time: Duration,
    /// Time from the head of the response to the end of its body.
    pub body_time: Duration,
    /// Time for decoding the records.
    pub decode_time: Duration,
}

/// Result of joining the group or renewing the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Generation of the group; increases with each change of its members.
    pub generation: u64,
    /// Whether this member is the one that may claim the placement lease when it is free.
    pub is_candidate: bool,
    /// Era of the store, `None` if it names none.
    pub era: Option<StoreEra>,
}

/// Log of which the store retains the newest record of each key permanently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyedLog {
    /// Software versions that may have begun streams, by service.
    Software,
    /// Copies of claims of the placement lease, by era of the store.
    ClaimCopies,
}

/// Newest record of each key of a log, with undecoded values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedPage {
    /// Keys and their records.
    pub records: Vec<(String, Vec<u8>)>,
    /// End of the log: the offset of the next record.
    pub end: Offset,
    /// Era of the store.
    pub era: Option<StoreEra>,
}

/// Records of the streams that instances began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPage {
    /// Records, undecoded.
    pub records: Vec<Vec<u8>>,
    /// Offset after the last of them.
    pub next: Offset,
    /// Whether there are no more.
    pub is_end: bool,
}

/// Client of the platform's store.
///
/// No call returns an answer of an era before the one that [`Self::era`] shows.
pub trait Store: 'static {
    /// Returns the era of the store's history, `None` if it names none; it changes when the store comes back
    /// from an older copy.
    fn era(&self) -> watch::Receiver<Option<StoreEra>>;

    /// Reads the latest record of each key of a feed.
    fn newest(&self, feed: Feed) -> impl Future<Output = Result<FeedPage, StoreError>>;

    /// Reads the records of a feed from an offset; waits for new ones for `wait` at most.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Truncated`] or [`StoreError::Superseded`] if the newest records are to be read
    /// instead.
    fn read(
        &self,
        feed: Feed,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<FeedPage, StoreError>>;

    /// Joins the fleet's group, or renews the membership; it expires after `term`.
    fn join(
        &self,
        member: &str,
        generation: u64,
        term: Duration,
    ) -> impl Future<Output = Result<Membership, StoreError>>;

    /// Saves the fleet's quota usage; replaces the usage saved before.
    fn save_usage(&self, usage: &[u8]) -> impl Future<Output = Result<(), StoreError>>;

    /// Loads the usage saved last; returns `None` if none was saved.
    fn load_usage(&self) -> impl Future<Output = Result<Option<Vec<u8>>, StoreError>>;

    /// Reads the newest record of each key of a log.
    fn keyed(&self, log: KeyedLog) -> impl Future<Output = Result<KeyedPage, StoreError>>;

    /// Replaces the record of a key; an empty one deletes it.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] if the log does not end at `at`.
    fn append_keyed(
        &self,
        log: KeyedLog,
        at: Offset,
        key: &str,
        record: &[u8],
    ) -> impl Future<Output = Result<AppendReceipt, StoreError>>;

    /// Returns the ids of all instances that have ever started.
    fn started_instances(&self) -> impl Future<Output = Result<Vec<String>, StoreError>>;

    /// Records that an instance has started.
    fn record_start(&self, instance: &str) -> impl Future<Output = Result<(), StoreError>>;

    /// Appends a record of streams.
    fn append_streams(&self, record: &[u8]) -> impl Future<Output = Result<(), StoreError>>;

    /// Reads the records of streams from an offset on; those that are no longer retained are left out.
    fn streams(&self, from: Offset) -> impl Future<Output = Result<StreamPage, StoreError>>;

    /// Leaves the fleet's group.
    fn leave(&self, member: &str) -> impl Future<Output = Result<(), StoreError>>;

    /// Returns the members of the group.
    fn members(&self) -> impl Future<Output = Result<Vec<String>, StoreError>>;

    /// Returns the last claim of the placement lease.
    fn last_claim(&self) -> impl Future<Output = Result<LastClaim, StoreError>>;

    /// Appends a claim of the placement lease at offset `at`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] if the log does not end at `at`.
    fn append_claim(
        &self,
        at: Offset,
        record: &ClaimRecord,
    ) -> impl Future<Output = Result<AppendReceipt, StoreError>>;
}

/// What a server answered to a call that is no client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineAnswer<T> {
    /// The answer.
    pub value: T,
    /// Whether the server states in it that it leaves.
    pub is_leaving: bool,
}

/// Client of the model engines on servers.
pub trait EngineClient: 'static {
    /// Requests a server's report; its value is `None` if there is no valid response.
    fn report(
        &self,
        address: SocketAddr,
        server: &ServerId,
    ) -> impl Future<Output = EngineAnswer<Option<StatusReport>>>;

    /// Sends an order to a server, with the lease holder and its fencing token.
    fn order(
        &self,
        address: SocketAddr,
        order: &apricotwell_dispatch::placement::Order,
        holder: &str,
        fence: Fence,
    ) -> impl Future<Output = EngineAnswer<OrderReply>>;
}
