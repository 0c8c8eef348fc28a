//! Why a record had no effect.

use std::fmt;

use apricotwell_types::Offset;

/// Why a record had no effect; every reader comes to the same one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The writer's record was applied before.
    Duplicate,
    /// The bytes or the kind are unknown to this version.
    Unreadable,
    /// The writer is not an operator known to the configuration.
    UnknownOperator,
    /// The signature does not fit the operator's registered key.
    InvalidSignature,
    /// The path lies outside of the operator's subtree.
    OutsideSubtree,
    /// Another change came first; the field holds its version.
    VersionConflict(Offset),
    /// The value or the path is malformed.
    Malformed(String),
    /// The lease or fence that the record was decided at has passed.
    StaleFence,
    /// The record's server or replica is unknown or of another incarnation.
    UnknownTarget,
    /// The model has all replicas that its settings allow.
    ReplicaLimit,
    /// The server has too little memory left.
    MemoryLimit,
    /// The step does not follow from the replica's phase.
    WrongPhase,
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RejectReason::Duplicate => f.write_str("the record was applied before; nothing to do"),
            RejectReason::Unreadable => {
                f.write_str("the record is of an unknown kind; upgrade this instance")
            }
            RejectReason::UnknownOperator => {
                f.write_str("the operator is not registered under /platform/operators")
            }
            RejectReason::InvalidSignature => {
                f.write_str("the signature does not fit the operator's registered key")
            }
            RejectReason::OutsideSubtree => {
                f.write_str("the path lies outside of the operator's subtree; ask its owner")
            }
            RejectReason::VersionConflict(version) => write!(
                f,
                "another change won with version {version}; read it and publish again on top of it"
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
            RejectReason::WrongPhase => f.write_str("the replica is past this step; nothing to do"),
        }
    }
}

impl std::error::Error for RejectReason {}

/// Record that had no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Where the record stands.
    pub offset: Offset,
    /// Who wrote it.
    pub writer: String,
    /// Change number for configuration, otherwise 0.
    pub change: u64,
    /// Reason.
    pub reason: RejectReason,
}
