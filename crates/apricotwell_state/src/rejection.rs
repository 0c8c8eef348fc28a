//! Reasons why records are rejected.

use std::fmt;

use apricotwell_types::Offset;

/// Why a record was rejected; the same on every instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The record or a later one of the same writer was already applied, or the record changes
    /// nothing.
    Duplicate,
    /// The bytes can't be decoded, or this version does not know the kind of record.
    Unreadable,
    /// The writer is not an operator registered in the configuration.
    UnknownOperator,
    /// The signature does not match the operator's registered key.
    InvalidSignature,
    /// The path is outside the operator's subtree.
    OutsideSubtree,
    /// Another change was applied first; contains the current version.
    VersionConflict(Offset),
    /// The value or the path is malformed; contains the reason.
    Malformed(String),
    /// The record was decided under a lease or fence that is no longer current.
    StaleFence,
    /// The record's model, server or replica is unknown, the server has another incarnation, or the
    /// base model of an adapter is not loaded on the server.
    UnknownTarget,
    /// The model has all replicas that its settings allow, or one of this version on the server.
    ReplicaLimit,
    /// The server has too little memory left.
    MemoryLimit,
    /// The replica's phase, or an adapter on the same server, does not allow the change.
    WrongPhase,
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RejectReason::Duplicate => {
                f.write_str("the record has already been applied; nothing to do")
            }
            RejectReason::Unreadable => {
                f.write_str("the record is of an unknown kind; upgrade this instance")
            }
            RejectReason::UnknownOperator => {
                f.write_str("the operator is not registered under /platform/operators")
            }
            RejectReason::InvalidSignature => {
                f.write_str("the signature does not match the operator's registered key")
            }
            RejectReason::OutsideSubtree => {
                f.write_str("the path is outside the operator's subtree; ask the owner of the path")
            }
            RejectReason::VersionConflict(version) => write!(
                f,
                "another change set version {version} first; read it and publish again on top"
            ),
            RejectReason::Malformed(reason) => f.write_str(reason),
            RejectReason::StaleFence => f.write_str("the lease has moved; its new holder decides"),
            RejectReason::UnknownTarget => {
                f.write_str("the server or replica is unknown or has restarted; decide again")
            }
            RejectReason::ReplicaLimit => {
                f.write_str("the model has max_replicas replicas; raise it or retire one")
            }
            RejectReason::MemoryLimit => {
                f.write_str("the server has too little memory; retire a replica on it first")
            }
            RejectReason::WrongPhase => {
                f.write_str("the replica's phase does not allow the change; nothing to do")
            }
        }
    }
}

impl std::error::Error for RejectReason {}

/// Record that was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Offset of the record.
    pub offset: Offset,
    /// Instance or operator that wrote the record.
    pub writer: String,
    /// Number of the configuration change; 0 for other records.
    pub change: u64,
    /// Why it was rejected.
    pub reason: RejectReason,
}
