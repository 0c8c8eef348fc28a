//! Settings of a [`crate::Node`].

use std::time::Duration;

use apricotwell_membership::{Contact, Timing};
use apricotwell_state::Genesis;
use apricotwell_types::{Incarnation, InstanceId, ZoneId};

/// Settings of a node; each one is documented for operators in `docs/SETTINGS.md`.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Id of this instance.
    pub id: InstanceId,
    /// Availability zone of this instance.
    pub zone: ZoneId,
    /// Address for clients as `ip:port`.
    pub client_address: String,
    /// Address for peers as `ip:port`.
    pub peer_address: String,
    /// Incarnation of the process; a later process of the instance has a higher one.
    pub incarnation: Incarnation,
    /// Settings that must be identical on all instances.
    pub genesis: Genesis,
    /// Periods and timeouts of the membership protocol.
    pub timing: Timing,
    /// Seed of the node's random choices.
    pub seed: u64,
    /// How long evidence of contact with the log stays valid.
    pub evidence_window: Duration,
    /// How long API keys are accepted while the log is unreachable and not every member answers.
    pub key_grace: Duration,
    /// How long granted rate-limit tokens can be spent.
    pub token_term: Duration,
    /// Longest time that a request waits for rate-limit tokens.
    pub token_wait: Duration,
    /// Longest time that a request waits for the claim on its idempotency key.
    pub claim_wait: Duration,
    /// Largest number of requests that wait on this instance.
    pub max_waiting: usize,
    /// Largest number of attempts per request.
    pub max_attempts: u32,
    /// Largest answer that is stored for retries, in bytes.
    pub max_stored_answer: usize,
    /// How long claims are kept.
    pub claim_retention: Duration,
    /// Time between two polls of a server.
    pub report_period: Duration,
    /// Time without an answer after which a server is recorded as gone.
    pub server_timeout: Duration,
    /// Time after which a load without a known outcome is abandoned.
    pub load_timeout: Duration,
    /// Time between two demand messages.
    pub demand_period: Duration,
    /// How long the log keeps records.
    pub log_retention: Duration,
    /// Number of records between two checkpoints.
    pub checkpoint_records: u64,
}

impl NodeSettings {
    /// Returns settings with the defaults of `docs/SETTINGS.md` and loopback addresses.
    pub fn for_test(id: &str, zone: &str, incarnation: Incarnation) -> Self {
        Self {
            id: id.into(),
            zone: zone.into(),
            client_address: format!("{id}:80"),
            peer_address: format!("{id}:81"),
            incarnation,
            genesis: Genesis {
                root_key: String::new(),
                shards: 16,
            },
            timing: Timing::default(),
            seed: incarnation,
            evidence_window: Duration::from_secs(3),
            key_grace: Duration::from_secs(30),
            token_term: Duration::from_secs(2),
            token_wait: Duration::from_secs(5),
            claim_wait: Duration::from_secs(3),
            max_waiting: 2000,
            max_attempts: 2,
            max_stored_answer: 64 * 1024,
            claim_retention: Duration::from_secs(24 * 3600),
            report_period: Duration::from_secs(1),
            server_timeout: Duration::from_secs(10),
            load_timeout: Duration::from_secs(60),
            demand_period: Duration::from_millis(500),
            log_retention: Duration::from_secs(24 * 3600),
            checkpoint_records: 2000,
        }
    }

    /// Returns the contact under which peers reach this instance.
    pub fn contact(&self) -> Contact {
        Contact {
            id: self.id.clone(),
            address: self.peer_address.clone(),
            zone: self.zone.clone(),
        }
    }
}
