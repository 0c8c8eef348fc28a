//! Status of an instance for operators.

use std::time::Instant;

use serde::Serialize;

use apricotwell_leases::LeaseState;
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
    /// Latest rejected records, oldest first.
    pub rejections: Vec<String>,
}

/// Status of the instance itself.
#[derive(Clone, Debug, Serialize)]
pub struct InstanceStatus {
    /// Id of the instance.
    pub id: String,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// Whether it accepts requests from clients.
    pub ready: bool,
    /// Whether it is draining.
    pub leaving: bool,
    /// `fresh`, `outage` or `cut_off`.
    pub view: String,
    /// Milliseconds since the log last confirmed the view.
    pub contact_ms: Option<u64>,
    /// First offset of the control stream that is not applied yet.
    pub next_offset: u64,
    /// Number of accepted requests without an outcome.
    pub requests: usize,
    /// Number of claims in held shards.
    pub claims: usize,
    /// Ids of the members with their states.
    pub members: Vec<(String, String)>,
}

/// Status of the lease on a shard.
#[derive(Clone, Debug, Serialize)]
pub struct LeaseStatus {
    /// Number of the shard.
    pub shard: u32,
    /// Instance that holds the lease.
    pub holder: String,
    /// Fencing token of the lease.
    pub fence: u64,
    /// State of the lease for this instance: `held`, `waiting` or `not_held`.
    #[serde(rename = "standing")]
    pub state: &'static str,
}

/// Status of a replica.
#[derive(Clone, Debug, Serialize)]
pub struct ReplicaStatus {
    /// Id of the replica.
    pub replica: u64,
    /// Model or adapter.
    pub model: String,
    /// Version of the weights.
    pub version: String,
    /// Server that the replica is assigned to.
    pub server: String,
    /// `decided`, `loaded` or `retiring`.
    pub phase: &'static str,
    /// Memory that the replica takes, in MiB.
    pub memory_mib: u64,
}

/// Status of a backend server.
#[derive(Clone, Debug, Serialize)]
pub struct ServerStatus {
    /// Id of the server.
    pub server: String,
    /// Pool that the server belongs to.
    pub pool: String,
    /// Incarnation of the server's process.
    pub incarnation: u64,
    /// Memory that replicas take, in MiB, including replicas whose load is not confirmed.
    pub used_mib: u64,
    /// Memory that replicas may take, in MiB.
    pub memory_mib: u64,
    /// Whether it accepts no new work.
    pub leaving: bool,
}

/// Status of a model, with the reason why it is or is not loaded.
#[derive(Clone, Debug, Serialize)]
pub struct ModelStatus {
    /// Model or adapter.
    pub model: String,
    /// Current version; `None` when the model has no settings.
    pub version: Option<String>,
    /// Instance that holds the lease and decides on loads.
    pub holder: Option<String>,
    /// Replicas of the model.
    pub replicas: Vec<ReplicaStatus>,
    /// Number of waiting requests, known only to the lease holder.
    pub waiting: u32,
    /// Number of running requests, known only to the lease holder.
    pub running: u32,
    /// Why the model is loaded, can't be loaded or need not be.
    pub reason: String,
}

impl Node {
    /// Returns the status of the instance and of the fleet as the instance sees it.
    pub fn status(&self, now: Instant) -> Status {
        let state = self.state();
        let lease = |(shard, lease): (u32, &apricotwell_state::Lease)| LeaseStatus {
            shard,
            holder: lease.holder.to_string(),
            fence: lease.fence,
            state: match self.lease_state(now, shard) {
                LeaseState::Held { .. } => "held",
                LeaseState::Waiting => "waiting",
                LeaseState::NotHeld => "not_held",
            },
        };
        let server = |(id, server): (&apricotwell_types::ServerId, &apricotwell_state::Server)| {
            let pool = state.pool(&server.pool);
            ServerStatus {
                server: id.to_string(),
                pool: server.pool.clone(),
                incarnation: server.incarnation,
                used_mib: state.ledger().used_memory(id),
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

    /// Returns the status of a model, with the reason why it is or is not loaded.
    pub fn explain(&self, now: Instant, model: &str) -> ModelStatus {
        let state = self.state();
        let replicas: Vec<ReplicaStatus> = state
            .ledger()
            .replicas_of(model)
            .map(replica_status)
            .collect();
        let lease = state.lease(state.model_shard(model));
        let spec = state.load_spec(model);
        let (waiting, running) = self.model_demand(now, model);
        let reason = if spec.is_none() {
            "it has no settings under /platform/models or /teams/ORG/adapters".to_owned()
        } else if let Some(reason) = self.placement_reason(model) {
            reason.to_owned()
        } else if replicas.iter().any(|replica| replica.phase == "loaded") {
            "it is loaded".to_owned()
        } else if replicas.iter().any(|replica| replica.phase == "decided") {
            "its load is decided and not yet confirmed".to_owned()
        } else if lease.is_none() {
            "no instance holds the lease on its shard yet".to_owned()
        } else if waiting == 0 {
            "no request waits for it".to_owned()
        } else {
            "its lease holder has not decided yet".to_owned()
        };
        ModelStatus {
            model: model.to_owned(),
            version: spec.map(|(version, _, _)| version),
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
