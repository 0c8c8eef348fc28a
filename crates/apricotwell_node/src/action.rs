//! Side effects that a node requests from its driver.

use std::time::{Duration, Instant};

use apricotwell_claims::RecordedAnswer;
use apricotwell_membership::Contact;
use apricotwell_messages::Envelope;
use apricotwell_timeline::Event;
use apricotwell_types::{Incarnation, ModelId, Offset, Refusal, ReplicaId, RequestId, ServerId};

/// Side effect that a node requests from its driver, the code that performs its I/O.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append records to a stream and report the result to [`crate::Node::on_appended`].
    Append {
        /// Name of the stream.
        stream: String,
        /// Number that the result is reported with; 0 when no result is needed.
        ticket: u64,
        /// Encoded records, in order.
        records: Vec<Vec<u8>>,
    },
    /// Read a stream once and report the result to [`crate::Node::on_claims_read`].
    ReadClaims {
        /// Name of the stream.
        stream: String,
        /// First offset to read.
        from: Offset,
    },
    /// Send a message to a peer; delivery is not guaranteed.
    Send {
        /// Peer that receives the message.
        to: Contact,
        /// Message with its sender.
        envelope: Envelope,
    },
    /// Send an order to a backend server and report the result to [`crate::Node::on_order_ended`].
    Order {
        /// Number that the result is reported with.
        ticket: u64,
        /// Server that the order is for.
        server: ServerId,
        /// Address of the server as `ip:port`.
        address: String,
        /// Order to send.
        order: EngineOrder,
        /// Time after which the order must not be sent.
        valid_until: Instant,
    },
    /// Request a status report from a backend server and pass it to [`crate::Node::on_report`].
    Poll {
        /// Server to poll.
        server: ServerId,
        /// Address of the server as `ip:port`.
        address: String,
    },
    /// Send a request to a backend server and report the result to
    /// [`crate::Node::on_attempt_ended`].
    Dispatch(Dispatch),
    /// Reject a request.
    Refuse {
        /// Request to reject.
        request: RequestId,
        /// Error that the client gets.
        refusal: Refusal,
    },
    /// Answer a request with the recorded answer of an earlier attempt.
    Replay {
        /// Request to answer.
        request: RequestId,
        /// Recorded answer.
        answer: RecordedAnswer,
    },
    /// Write an event to the timeline.
    Event(Event),
}

/// One attempt to run a request on a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Request to run.
    pub request: RequestId,
    /// Id of the attempt, which the server must repeat in its answer.
    pub attempt: String,
    /// Server that runs the request.
    pub server: ServerId,
    /// Address of the server as `ip:port`.
    pub address: String,
    /// Replica that runs the request; `None` for a plain service.
    pub replica: Option<ReplicaId>,
    /// Model, or the queue name of a plain service.
    pub model: ModelId,
    /// Whether the server is known to have a limit, so that a response without one lifts it.
    pub is_limited: bool,
    /// Time left until the request's deadline.
    pub remaining: Duration,
}

/// Kind of an order to a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OrderKind {
    /// Load a replica.
    Load,
    /// Unload a replica.
    Unload,
}

/// Order that makes a model engine load or unload a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Whether to load or unload.
    pub kind: OrderKind,
    /// Replica to load or unload; orders are idempotent.
    pub replica: ReplicaId,
    /// Model, or `model:adapter`.
    pub model: ModelId,
    /// Version of the weights.
    pub version: String,
    /// Memory that the replica takes, in MiB.
    pub memory_mib: u64,
    /// Fencing token; an engine that supports fencing rejects a token lower than the highest one
    /// it has seen for the same model.
    pub fencing_token: u64,
    /// Incarnation (process start) of the server that the order is meant for.
    pub incarnation: Incarnation,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server confirmed the order.
    Done,
    /// The server rejected the order, failed to execute it, or never received it.
    Failed,
    /// The server may have executed the order or may still execute it.
    Unknown,
}
