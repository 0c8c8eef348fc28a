//! Events.

use serde::{Deserialize, Serialize};

/// Kinds of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// The process began.
    ProcessStarted,
    /// The process ends.
    ProcessStopped,
    /// An instance is ready for callers.
    InstanceReady,
    /// An instance drains.
    InstanceLeaving,
    /// The instance's view of the log changed.
    ViewChanged,
    /// A member's state changed.
    MemberChanged,
    /// A request was accepted.
    RequestAccepted,
    /// A request was given to a backend server.
    RequestDispatched,
    /// An attempt ended.
    AttemptEnded,
    /// A request is tried again.
    RequestRetried,
    /// A request got its whole answer.
    RequestAnswered,
    /// A request was refused.
    RequestRefused,
    /// A recorded answer was given again.
    AnswerReplayed,
    /// An idempotency key was granted to an attempt.
    ClaimGranted,
    /// A configuration change is in force here.
    ConfigApplied,
    /// A record had no effect.
    RecordRejected,
    /// A lease was recorded.
    LeaseTaken,
    /// A load was decided.
    ReplicaDecided,
    /// An order was sent to a backend server.
    OrderSent,
    /// An order's outcome came back.
    OrderEnded,
    /// A replica is recorded as loaded.
    ReplicaLoaded,
    /// A replica is recorded as retired.
    ReplicaRetired,
    /// A replica is recorded as gone.
    ReplicaGone,
    /// A backend server started.
    ServerStarted,
    /// A backend server ended.
    ServerEnded,
    /// A backend server crashed on a request.
    ServerCrashed,
    /// A backend server ran a request.
    ServerRan,
    /// Tokens were taken for a request.
    TokensTaken,
    /// A checkpoint was written.
    CheckpointWritten,
}

impl EventKind {
    /// Returns the name that stands in a line.
    pub fn name(self) -> String {
        let text = serde_json::to_string(&self).unwrap_or_default();
        text.trim_matches('"').to_owned()
    }
}

/// One event of one process.
///
/// # Invariants
///
/// Holds names and digests, never a key or a body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Microseconds since the Unix epoch by the process's clock.
    pub at_us: u64,
    /// Process.
    pub instance: String,
    /// Kind.
    pub kind: EventKind,
    /// Request, as `instance/incarnation/number`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Organisation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub org: Option<String>,
    /// Name of a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Model or route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server: Option<String>,
    /// Replica.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replica: Option<u64>,
    /// Offset on the control stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offset: Option<u64>,
    /// Anything else, in words.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

impl Event {
    /// Returns an event without time and process.
    pub fn new(kind: EventKind) -> Self {
        Self {
            at_us: 0,
            instance: String::new(),
            kind,
            request: None,
            org: None,
            key: None,
            model: None,
            server: None,
            replica: None,
            offset: None,
            detail: String::new(),
        }
    }

    /// Names the request.
    pub fn with_request(mut self, request: impl Into<String>) -> Self {
        self.request = Some(request.into());
        self
    }

    /// Names the organisation.
    pub fn with_org(mut self, org: impl Into<String>) -> Self {
        self.org = Some(org.into());
        self
    }

    /// Names the key.
    pub fn with_key(mut self, key: impl Into<String>) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Names the model or route.
    pub fn with_model(mut self, model: impl Into<String>) -> Self {
        self.model = Some(model.into());
        self
    }

    /// Names the backend server.
    pub fn with_server(mut self, server: impl Into<String>) -> Self {
        self.server = Some(server.into());
        self
    }

    /// Names the replica.
    pub fn with_replica(mut self, replica: u64) -> Self {
        self.replica = Some(replica);
        self
    }

    /// Names the offset.
    pub fn with_offset(mut self, offset: u64) -> Self {
        self.offset = Some(offset);
        self
    }

    /// Adds words.
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Adds process and time.
    pub fn stamped(mut self, instance: &str, at_us: u64) -> Self {
        self.instance = instance.to_owned();
        self.at_us = at_us;
        self
    }

    /// Returns the event as one JSON line without its end.
    pub fn to_line(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
