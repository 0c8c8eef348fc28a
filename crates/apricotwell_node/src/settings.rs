//! Settings of a node.

use std::time::Duration;

use apricotwell_membership::{Contact, Timing};
use apricotwell_state::Genesis;
use apricotwell_types::{Incarnation, InstanceId, ZoneId};

/// Settings of a node; each one is documented for operators in `docs/SETTINGS.md`.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address for callers as `ip:port`.
    pub client_address: String,
    /// Address for peers as `ip:port`.
    pub peer_address: String,
    /// Start number of the process.
    pub incarnation: Incarnation,
    /// What all instances must be set to alike.
    pub genesis: Genesis,
    /// Periods of membership.
    pub timing: Timing,
    /// Seed of the node's random choices.
    pub seed: u64,
    /// How long evidence on the log counts.
    pub evidence_window: Duration,
    /// How long keys are honoured while the log is out and not every member can be asked.
    pub key_grace: Duration,
    /// Term of token grants.
    pub token_term: Duration,
    /// Longest wait for tokens.
    pub token_wait: Duration,
    /// Longest wait for a claim.
    pub claim_wait: Duration,
    /// Requests that may wait on this instance.
    pub max_waiting: usize,
    /// Attempts per request.
    pub max_attempts: u32,
    /// Largest answer that is kept for repeats, in bytes.
    pub max_stored_answer: usize,
    /// How long claims are kept.
    pub claim_retention: Duration,
    /// Time between two reports from a server.
    pub report_period: Duration,
    /// Time without an answer after which a server counts as gone.
    pub server_timeout: Duration,
    /// Time after which an undetermined load is no longer counted on.
    pub load_timeout: Duration,
    /// Time between two messages of demand.
    pub demand_period: Duration,
    /// How long the log keeps records.
    pub log_retention: Duration,
    /// Records after which a checkpoint is written.
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

    /// Returns this instance as its peers reach it.
    pub fn contact(&self) -> Contact {
        Contact {
            id: self.id.clone(),
            address: self.peer_address.clone(),
            zone: self.zone.clone(),
        }
    }
}
