//! Events and their JSON form.

use serde::{Deserialize, Serialize};

/// Kinds of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// The process started.
    ProcessStarted,
    /// The process stops.
    ProcessStopped,
    /// An instance is ready to serve clients.
    InstanceReady,
    /// An instance started to drain.
    InstanceLeaving,
    /// The instance's view of the log changed.
    ViewChanged,
    /// The membership state of an instance changed.
    MemberChanged,
    /// A request was accepted.
    RequestAccepted,
    /// A request was dispatched to a backend server.
    RequestDispatched,
    /// An attempt finished.
    AttemptEnded,
    /// A request is retried.
    RequestRetried,
    /// A request got its complete answer.
    RequestAnswered,
    /// A request was refused.
    RequestRefused,
    /// A recorded answer was returned again.
    AnswerReplayed,
    /// An idempotency key was granted to an attempt.
    ClaimGranted,
    /// A configuration change was applied at this instance.
    ConfigApplied,
    /// A record was rejected and had no effect.
    RecordRejected,
    /// The acquisition of leases was recorded.
    LeaseTaken,
    /// The decision to load a replica was recorded.
    ReplicaDecided,
    /// An order was sent to a backend server.
    OrderSent,
    /// The outcome of an order was received.
    OrderEnded,
    /// A replica was recorded as loaded.
    ReplicaLoaded,
    /// The decision to unload a replica was recorded.
    ReplicaRetired,
    /// A replica was recorded as not loaded.
    ReplicaGone,
    /// A backend server started.
    ServerStarted,
    /// A backend server ended.
    ServerEnded,
    /// A backend server crashed while it ran a request.
    ServerCrashed,
    /// A part of prompts that crashed backend servers was quarantined or released.
    PartQuarantined,
    /// A backend server named a limit on the requests of all instances together, or lifted it.
    ServerLimited,
    /// A backend server ran a request.
    ServerRan,
    /// Tokens were taken for a request.
    TokensTaken,
    /// A checkpoint was written.
    CheckpointWritten,
}

impl EventKind {
    /// Returns the kind's name in JSON.
    pub fn name(self) -> String {
        let text = serde_json::to_string(&self).unwrap_or_default();
        text.trim_matches('"').to_owned()
    }
}

/// One event of one process.
///
/// # Invariants
///
/// Contains names and digests, never a key or a body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Microseconds since the Unix epoch by the process's clock.
    pub at_us: u64,
    /// Instance or other process.
    pub instance: String,
    /// Kind.
    pub kind: EventKind,
    /// Request id, as `instance/incarnation/number`.
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
    /// Further details as text.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

impl Event {
    /// Returns an event without a time and a process.
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

    /// Sets the request.
    pub fn with_request(mut self, request: impl Into<String>) -> Self {
        self.request = Some(request.into());
        self
    }

    /// Sets the organisation.
    pub fn with_org(mut self, org: impl Into<String>) -> Self {
        self.org = Some(org.into());
        self
    }

    /// Sets the name of the key.
    pub fn with_key(mut self, key: impl Into<String>) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Sets the model or route.
    pub fn with_model(mut self, model: impl Into<String>) -> Self {
        self.model = Some(model.into());
        self
    }

    /// Sets the backend server.
    pub fn with_server(mut self, server: impl Into<String>) -> Self {
        self.server = Some(server.into());
        self
    }

    /// Sets the replica.
    pub fn with_replica(mut self, replica: u64) -> Self {
        self.replica = Some(replica);
        self
    }

    /// Sets the offset on the control stream.
    pub fn with_offset(mut self, offset: u64) -> Self {
        self.offset = Some(offset);
        self
    }

    /// Sets the detail text.
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Sets the process and the time.
    pub fn stamped(mut self, instance: &str, at_us: u64) -> Self {
        self.instance = instance.to_owned();
        self.at_us = at_us;
        self
    }

    /// Returns the event as a JSON line without a line end.
    pub fn to_line(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
