//! What operators see of an instance.

use std::time::Instant;

use serde::Serialize;

use apricotwell_leases::Standing;
use apricotwell_state::ReplicaPhase;

use crate::Node;

/// Status of an instance as it sees itself and the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// The instance itself.
    pub instance: InstanceStatus,
    /// Leases by shard.
    pub leases: Vec<LeaseStatus>,
    /// Replicas, decided and loaded.
    pub replicas: Vec<ReplicaStatus>,
    /// Backend servers.
    pub servers: Vec<ServerStatus>,
    /// Bodies that crashed servers, as digests, with the number of crashes.
    pub suspects: Vec<(String, u32)>,
    /// Latest records without effect, oldest first.
    pub rejections: Vec<String>,
}

/// The instance itself.
#[derive(Clone, Debug, Serialize)]
pub struct InstanceStatus {
    /// Instance.
    pub id: String,
    /// Start number.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// Whether callers may be sent here.
    pub ready: bool,
    /// Whether it drains.
    pub leaving: bool,
    /// `fresh`, `outage` or `cut_off`.
    pub view: String,
    /// Milliseconds since the log last confirmed the view.
    pub contact_ms: Option<u64>,
    /// First offset of the control stream that is not applied.
    pub next_offset: u64,
    /// Open requests.
    pub requests: usize,
    /// Claims in held shards.
    pub claims: usize,
    /// Members with their states.
    pub members: Vec<(String, String)>,
}

/// Lease on a shard.
#[derive(Clone, Debug, Serialize)]
pub struct LeaseStatus {
    /// Shard.
    pub shard: u32,
    /// Holder.
    pub holder: String,
    /// Fencing number.
    pub fence: u64,
    /// Standing of this instance: `held`, `waiting` or `not_held`.
    pub standing: &'static str,
}

/// Replica.
#[derive(Clone, Debug, Serialize)]
pub struct ReplicaStatus {
    /// Replica.
    pub replica: u64,
    /// Model or adapter.
    pub model: String,
    /// Version.
    pub version: String,
    /// Server.
    pub server: String,
    /// `decided`, `loaded` or `retiring`.
    pub phase: &'static str,
    /// Memory in MiB.
    pub memory_mib: u64,
}

/// Backend server.
#[derive(Clone, Debug, Serialize)]
pub struct ServerStatus {
    /// Server.
    pub server: String,
    /// Pool.
    pub pool: String,
    /// Start number.
    pub incarnation: u64,
    /// Memory in MiB that replicas take, undetermined ones included.
    pub used_mib: u64,
    /// Memory in MiB that replicas may take.
    pub memory_mib: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// Why a model is or is not loaded.
#[derive(Clone, Debug, Serialize)]
pub struct ModelStatus {
    /// Model or adapter.
    pub model: String,
    /// Version in force; `None` when the model has no settings.
    pub version: Option<String>,
    /// Instance that decides on it.
    pub holder: Option<String>,
    /// Its replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// Requests waiting and running as told to the holder; only the holder knows.
    pub waiting: u32,
    /// Requests running.
    pub running: u32,
    /// What keeps it from being loaded, or why it need not be.
    pub reason: String,
}

impl Node {
    /// Returns the status.
    pub fn status(&self, now: Instant) -> Status {
        let state = self.state();
        let lease = |(shard, lease): (u32, &apricotwell_state::Lease)| LeaseStatus {
            shard,
            holder: lease.holder.to_string(),
            fence: lease.fence,
            standing: match self.lease_state(now, shard) {
                Standing::Held { .. } => "held",
                Standing::Waiting => "waiting",
                Standing::NotHeld => "not_held",
            },
        };
        let server = |(id, server): (&apricotwell_types::ServerId, &apricotwell_state::Server)| {
            let pool = state.pool(&server.pool);
            ServerStatus {
                server: id.to_string(),
                pool: server.pool.clone(),
                incarnation: server.incarnation,
                used_mib: state.ledger().used(id),
                memory_mib: pool.map_or(0, |pool| pool.memory_mib),
                leaving: server.leaving,
            }
        };
        Status {
            instance: self.instance_status(now),
            leases: state.leases().iter().map(lease).collect(),
            replicas: state.ledger().replicas().map(replica_status).collect(),
            servers: state.ledger().servers().map(server).collect(),
            suspects: state
                .suspects()
                .map(|(digest, crashes)| (digest.to_hex(), crashes))
                .collect(),
            rejections: state
                .rejections()
                .map(|rejection| {
                    let (offset, writer) = (rejection.offset, &rejection.writer);
                    format!("offset {offset} by {writer}: {}", rejection.reason)
                })
                .collect(),
        }
    }

    /// Returns why a model is or is not loaded.
    pub fn explain(&self, now: Instant, model: &str) -> ModelStatus {
        let state = self.state();
        let replicas: Vec<ReplicaStatus> = state
            .ledger()
            .replicas_of(model)
            .map(replica_status)
            .collect();
        let lease = state.lease(state.model_shard(model));
        let terms = state.load_terms(model);
        let (waiting, running) = self.model_demand(now, model);
        let reason = if terms.is_none() {
            "it has no settings under /platform/models or /teams/ORG/adapters".to_owned()
        } else if let Some(reason) = self.placement_reason(model) {
            reason.to_owned()
        } else if replicas.iter().any(|replica| replica.phase == "loaded") {
            "it is loaded".to_owned()
        } else if replicas.iter().any(|replica| replica.phase == "decided") {
            "its load is decided and not yet confirmed".to_owned()
        } else if lease.is_none() {
            "no instance holds its shard yet".to_owned()
        } else if waiting == 0 {
            "no request waits for it".to_owned()
        } else {
            "its holder is about to decide".to_owned()
        };
        ModelStatus {
            model: model.to_owned(),
            version: terms.map(|(version, _, _)| version),
            holder: lease.map(|lease| lease.holder.to_string()),
            replicas,
            waiting,
            running,
            reason,
        }
    }
}

fn replica_status((id, replica): (u64, &apricotwell_state::Replica)) -> ReplicaStatus {
    ReplicaStatus {
        replica: id,
        model: replica.model.to_string(),
        version: replica.version.clone(),
        server: replica.server.to_string(),
        phase: match replica.phase {
            ReplicaPhase::Decided => "decided",
            ReplicaPhase::Loaded => "loaded",
            ReplicaPhase::Retiring => "retiring",
        },
        memory_mib: replica.memory,
    }
}
