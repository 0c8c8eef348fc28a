//! What an adapter to some platform translates.
//!
//! An adapter knows the platform's names and formats and nothing else: it decides nothing, repeats
//! nothing and keeps nothing between calls.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use apricotwell_dispatch::prelude::*;
use apricotwell_types::{Fence, Offset, Refusal, ServerId};
use bytes::Bytes;
use http::{HeaderMap, Request, Response, request, response};

/// Platform that instances run on.
pub trait Platform: 'static {
    /// Requests of callers.
    type ClientProtocol: ClientProtocol;
    /// Store.
    type Store: Store;
    /// Model engines.
    type EngineClient: EngineClient;
}

/// Attempt of a request at one server.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// Server.
    pub server: &'a ServerId,
    /// Time that the server may take.
    pub remaining: Duration,
    /// Organisation whose key came with the request.
    pub organisation: Option<&'a str>,
    /// Rank among the server's requests, 0 first; `None` leaves it to the server.
    pub priority: Option<u8>,
    /// Event after which a stream goes on, in place of what the caller said.
    pub last_event: Option<u64>,
}

/// What the head of a server's answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Whether it answers the attempt that was sent.
    pub matches_attempt: bool,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether another server has the address or the wanted model isn't there.
    pub misdirected: bool,
    /// Whether it bears the mark of an answer that a server made.
    pub is_sealed: bool,
}

/// Requests of callers and their forms at servers.
pub trait ClientProtocol: 'static {
    /// Decodes the head of a request.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
    fn decode_call(head: &request::Parts) -> Result<Call, Refusal>;

    /// Returns the head and body for a server.
    fn encode_attempt(
        head: &request::Parts,
        call: &Call,
        attempt: &Attempt<'_>,
        body: Bytes,
    ) -> Request<http_body_util::Full<Bytes>>;

    /// Reads the head of a server's answer to `call`.
    fn decode_response(head: &response::Parts, call: &Call) -> ResponseHead;

    /// Returns the headers of a server's answer that go on to the caller.
    fn relay_headers(headers: &HeaderMap) -> HeaderMap;

    /// Returns the answer that tells a refusal.
    fn encode_refusal(refusal: &Refusal) -> Response<Bytes>;

    /// Returns whether a request asks for the instance's readiness.
    fn is_readiness(head: &request::Parts) -> bool;

    /// Returns whether a request asks which addresses to use.
    fn is_lookup(head: &request::Parts) -> bool;

    /// Returns the answer that tells callers where to connect.
    fn encode_lookup(addresses: &[String], lifetime: Duration) -> Response<Bytes>;
}

/// Why a call to the store gave nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The store did nothing: it is down, busy or turns this instance away.
    Refused(String),
    /// No answer came: what was asked may have been done, or may be done later.
    Unknown(String),
    /// Records before this offset are gone.
    Truncated,
    /// The log ends elsewhere than the append expected.
    Conflict,
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused(text) => write!(f, "the store did nothing: {text}; try again later"),
            Self::Unknown(text) => {
                write!(f, "no answer from the store: {text}; read before writing")
            }
            Self::Truncated => f.write_str("records were dropped; start from the newest ones"),
            Self::Conflict => f.write_str("the log has grown; read its end again"),
        }
    }
}

impl std::error::Error for StoreError {}

/// News of a feed.
#[derive(Clone, Debug)]
pub enum FeedRecord {
    /// Configuration.
    Catalog(Box<Catalog>),
    /// Entry of the list of servers.
    Entry(Entry),
    /// A server left the list.
    Removed(ServerId),
    /// A record that can't be read; it means nothing.
    Unreadable {
        /// Key of the record.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// Part of a feed.
#[derive(Clone, Debug)]
pub struct FeedPage {
    /// News, oldest first.
    pub records: Vec<FeedRecord>,
    /// Offset from which to read on.
    pub next: Offset,
    /// Whether it reaches the end of the feed.
    pub is_end: bool,
}

/// Answer to a renewal of membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Number that grows with each change of the group.
    pub generation: u64,
    /// Whether the placement lease falls to this member.
    pub is_candidate: bool,
}

/// Last claim of the placement lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastClaim {
    /// Offset at which the next record goes.
    pub end: Offset,
    /// Claimant; `None` if the record is gone.
    pub claim: Option<ClaimRecord>,
}

/// Record of the placement lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRecord {
    /// Member of the group.
    pub holder: String,
}

/// The platform's store.
pub trait Store: 'static {
    /// Returns the newest records of a feed.
    fn newest(&self, feed: Feed) -> impl Future<Output = Result<FeedPage, StoreError>>;

    /// Returns the records of a feed from an offset, after `wait` at most.
    fn read(
        &self,
        feed: Feed,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<FeedPage, StoreError>>;

    /// Joins the fleet's group or stays in it.
    fn join(
        &self,
        member: &str,
        generation: u64,
        term: Duration,
    ) -> impl Future<Output = Result<Membership, StoreError>>;

    /// Keeps what the fleet spent, in place of what was kept before.
    fn save_usage(&self, spending: &[u8]) -> impl Future<Output = Result<(), StoreError>>;

    /// Returns what was kept last, `None` if nothing was.
    fn load_usage(&self) -> impl Future<Output = Result<Option<Vec<u8>>, StoreError>>;

    /// Leaves the group.
    fn leave(&self, member: &str) -> impl Future<Output = Result<(), StoreError>>;

    /// Returns the members of the group.
    fn members(&self) -> impl Future<Output = Result<Vec<String>, StoreError>>;

    /// Returns the last claim of the placement lease.
    fn last_claim(&self) -> impl Future<Output = Result<LastClaim, StoreError>>;

    /// Appends a claim at an offset and returns the fence that it gives.
    fn append_claim(
        &self,
        at: Offset,
        record: &ClaimRecord,
    ) -> impl Future<Output = Result<Fence, StoreError>>;
}

/// Orders to model engines.
pub trait EngineClient: 'static {
    /// Returns a server's report, `None` if it gave none.
    fn report(
        &self,
        address: SocketAddr,
        server: &ServerId,
    ) -> impl Future<Output = Option<StatusReport>>;

    /// Gives an order.
    fn order(
        &self,
        address: SocketAddr,
        order: &apricotwell_dispatch::placement::Order,
        holder: &str,
        fence: Fence,
    ) -> impl Future<Output = OrderReply>;
}
