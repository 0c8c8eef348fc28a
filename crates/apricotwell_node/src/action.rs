//! What a node asks its shell to do.

use std::time::{Duration, Instant};

use apricotwell_claims::Answer;
use apricotwell_membership::Contact;
use apricotwell_messages::Envelope;
use apricotwell_timeline::Event;
use apricotwell_types::{Incarnation, ModelId, Offset, Refusal, ReplicaId, RequestId, ServerId};

/// What a node asks its shell to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append records to a stream and report with [`crate::Node::on_appended`].
    Append {
        /// Stream.
        stream: String,
        /// Number to report with; 0 when no report is wanted.
        ticket: u64,
        /// Records.
        records: Vec<Vec<u8>>,
    },
    /// Read a stream once and report with [`crate::Node::on_claims_read`].
    ReadClaims {
        /// Stream.
        stream: String,
        /// First offset wanted.
        from: Offset,
    },
    /// Send a message to a peer; it may be lost.
    Send {
        /// Receiver.
        to: Contact,
        /// Message.
        envelope: Envelope,
    },
    /// Give an order to a backend server and report with [`crate::Node::on_order_ended`].
    Order {
        /// Number to report with.
        ticket: u64,
        /// Server.
        server: ServerId,
        /// Its address as `ip:port`.
        address: String,
        /// Order.
        order: EngineOrder,
        /// Time after which the order must not be sent.
        valid_until: Instant,
    },
    /// Ask a backend server for a report and pass it to [`crate::Node::on_report`].
    Poll {
        /// Server.
        server: ServerId,
        /// Its address as `ip:port`.
        address: String,
    },
    /// Give a request to a backend server and report with [`crate::Node::on_attempt_ended`].
    Dispatch(Dispatch),
    /// Answer a request with a refusal.
    Refuse {
        /// Request.
        request: RequestId,
        /// Refusal.
        refusal: Refusal,
    },
    /// Answer a request with a recorded answer.
    Replay {
        /// Request.
        request: RequestId,
        /// Recorded answer.
        answer: Answer,
    },
    /// Write an event to the timeline.
    Event(Event),
}

/// Request to give to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Request.
    pub request: RequestId,
    /// Attempt; the answer must name it.
    pub attempt: String,
    /// Server.
    pub server: ServerId,
    /// Its address as `ip:port`.
    pub address: String,
    /// Replica that shall run it; `None` for a plain service.
    pub replica: Option<ReplicaId>,
    /// Model, or the pool of a plain service.
    pub model: ModelId,
    /// Time left until the request's deadline.
    pub remaining: Duration,
}

/// Kinds of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OrderKind {
    /// Load a replica.
    Load,
    /// Unload a replica.
    Unload,
}

/// Order to a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Kind.
    pub kind: OrderKind,
    /// Replica; an order for one that is already so changes nothing.
    pub replica: ReplicaId,
    /// Model, or `model:adapter`.
    pub model: ModelId,
    /// Version of the weights.
    pub version: String,
    /// Memory in MiB that the replica takes.
    pub memory_mib: u64,
    /// Fencing number of the order; an engine that checks refuses a lower one than it has seen
    /// for the same model.
    pub fencing_token: u64,
    /// Start number of the server that the order is meant for.
    pub incarnation: Incarnation,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server confirmed it.
    Done,
    /// The server refused or failed it, or never got it.
    Failed,
    /// The server may have taken it, now or later.
    Unknown,
}
