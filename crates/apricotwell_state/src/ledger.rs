//! Ledger of backend servers, and of the replicas and memory on them.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};

use apricotwell_records::ServerUp;
use apricotwell_types::{Fence, Incarnation, Mebibytes, ModelId, ReplicaId, ServerId, ZoneId};

use crate::RejectReason;

/// Backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Incarnation of the server's process.
    pub incarnation: Incarnation,
    /// Pool whose settings determine the kind, memory and slots.
    pub pool: String,
    /// Address as `ip:port`.
    pub address: String,
    /// Availability zone.
    pub zone: ZoneId,
    /// Whether it accepts no new work.
    pub leaving: bool,
}

/// Phase in the lifecycle of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaPhase {
    /// The load is decided; its order may or may not have taken effect.
    Decided,
    /// The load is confirmed.
    Loaded,
    /// The unload is decided; the replica counts until the unload is confirmed.
    Retiring,
}

/// Replica of a model or an adapter on one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// Id of the model, or `model:adapter`.
    pub model: ModelId,
    /// Version of the weights.
    pub version: String,
    /// Server that the replica is assigned to.
    pub server: ServerId,
    /// Memory that the replica takes.
    pub memory: Mebibytes,
    /// Phase of the replica.
    pub phase: ReplicaPhase,
    /// Fence of the lease under which the load was decided; only its holder may order the load.
    pub fence: Fence,
    /// Whether the load order is known to have taken effect.
    pub confirmed: bool,
}

/// Ledger of servers and replicas.
///
/// # Invariants
///
/// Each replica belongs to the current incarnation of a known server. The memory of a server's
/// replicas never exceeds the pool's memory at the time of a decision. Memory is released only by
/// a confirmed unload, or when the server restarts or ends.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    servers: BTreeMap<ServerId, Server>,
    replicas: BTreeMap<ReplicaId, Replica>,
    // Derived from `replicas`. The sums per server make the cost of a decision independent of the
    // number of replicas.
    #[serde(skip)]
    used: BTreeMap<ServerId, Mebibytes>,
    #[serde(skip)]
    models: BTreeMap<ModelId, Vec<ReplicaId>>,
}

impl Ledger {
    /// Returns a server.
    pub fn server(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns the servers, ordered by id.
    pub fn servers(&self) -> impl Iterator<Item = (&ServerId, &Server)> {
        self.servers.iter()
    }

    /// Returns a replica.
    pub fn replica(&self, id: ReplicaId) -> Option<&Replica> {
        self.replicas.get(&id)
    }

    /// Returns the replicas, ordered by id.
    pub fn replicas(&self) -> impl Iterator<Item = (ReplicaId, &Replica)> {
        self.replicas.iter().map(|(id, replica)| (*id, replica))
    }

    /// Returns the replicas of a model, ordered by id.
    pub fn replicas_of(&self, model: &str) -> impl Iterator<Item = (ReplicaId, &Replica)> {
        let ids = self.models.get(model).map_or(&[][..], Vec::as_slice);
        ids.iter()
            .filter_map(|id| self.replicas.get(id).map(|replica| (*id, replica)))
    }

    /// Returns how many replicas of a model count towards its limit under `fence`.
    ///
    /// An unconfirmed load that an earlier lease holder decided does not count. It may never take
    /// effect, and the model must not be blocked by it forever. Its memory stays reserved. If it
    /// does take effect, the surplus replica is unloaded again.
    pub fn count_towards_limit(&self, model: &str, fence: Fence) -> usize {
        let counts =
            |replica: &Replica| replica.phase != ReplicaPhase::Decided || replica.fence >= fence;
        let replicas = self.replicas_of(model);
        replicas.filter(|(_, replica)| counts(replica)).count()
    }

    /// Returns the memory that a server's replicas take, including those with unconfirmed loads.
    pub fn used_memory(&self, server: &str) -> Mebibytes {
        self.used.get(server).copied().unwrap_or(0)
    }

    /// Returns the numbers of loads that are not confirmed yet, as `(models, adapters)`.
    pub fn loads_in_flight(&self) -> (usize, usize) {
        let unconfirmed = self
            .replicas
            .values()
            .filter(|replica| replica.phase == ReplicaPhase::Decided);
        unconfirmed.fold((0, 0), |(models, adapters), replica| {
            if replica.model.contains(':') {
                (models, adapters + 1)
            } else {
                (models + 1, adapters)
            }
        })
    }

    pub(crate) fn rebuild(&mut self) {
        self.used.clear();
        self.models.clear();
        for (id, replica) in &self.replicas {
            *self.used.entry(replica.server.clone()).or_default() += replica.memory;
            let ids = self.models.entry(replica.model.clone()).or_default();
            ids.push(*id);
        }
    }

    pub(crate) fn server_up(&mut self, up: &ServerUp) -> Result<(), RejectReason> {
        let id: ServerId = up.server.as_str().into();
        let server = Server {
            incarnation: up.incarnation,
            pool: up.pool.clone(),
            address: up.address.clone(),
            zone: up.zone.as_str().into(),
            leaving: up.leaving,
        };
        match self.servers.get(&id) {
            Some(existing) if existing.incarnation > up.incarnation => {
                return Err(RejectReason::UnknownTarget);
            }
            Some(existing) if *existing == server => return Err(RejectReason::Duplicate),
            Some(existing) if existing.incarnation < up.incarnation => self.drop_replicas(&id),
            _ => {}
        }
        self.servers.insert(id, server);
        Ok(())
    }

    pub(crate) fn server_gone(
        &mut self,
        id: &str,
        incarnation: Incarnation,
    ) -> Result<(), RejectReason> {
        let server = self.servers.get(id).ok_or(RejectReason::UnknownTarget)?;
        if server.incarnation != incarnation {
            return Err(RejectReason::UnknownTarget);
        }
        self.drop_replicas(id);
        self.servers.remove(id);
        Ok(())
    }

    pub(crate) fn decide(
        &mut self,
        id: ReplicaId,
        replica: Replica,
        capacity: Mebibytes,
        max_replicas: u32,
    ) -> Result<(), RejectReason> {
        if self.count_towards_limit(&replica.model, replica.fence) >= max_replicas as usize {
            return Err(RejectReason::ReplicaLimit);
        }
        let is_duplicate = self
            .replicas_of(&replica.model)
            .any(|(_, other)| other.server == replica.server && other.version == replica.version);
        if is_duplicate {
            return Err(RejectReason::ReplicaLimit);
        }
        if let Some((base, _)) = replica.model.split_once(':') {
            let has_base = self.replicas_of(base).any(|(_, other)| {
                other.server == replica.server && other.phase == ReplicaPhase::Loaded
            });
            if !has_base {
                return Err(RejectReason::UnknownTarget);
            }
        }
        if self.used_memory(&replica.server) + replica.memory > capacity {
            return Err(RejectReason::MemoryLimit);
        }
        *self.used.entry(replica.server.clone()).or_default() += replica.memory;
        let ids = self.models.entry(replica.model.clone()).or_default();
        ids.push(id);
        self.replicas.insert(id, replica);
        Ok(())
    }

    pub(crate) fn retire(&mut self, id: ReplicaId) -> Result<(), RejectReason> {
        let replica = self.replicas.get(&id).ok_or(RejectReason::UnknownTarget)?;
        if replica.phase == ReplicaPhase::Retiring {
            return Err(RejectReason::WrongPhase);
        }
        if self.has_adapters(replica) {
            return Err(RejectReason::WrongPhase);
        }
        if let Some(replica) = self.replicas.get_mut(&id) {
            replica.phase = ReplicaPhase::Retiring;
        }
        Ok(())
    }

    pub(crate) fn confirm_loaded(&mut self, id: ReplicaId) -> Result<(), RejectReason> {
        let replica = self
            .replicas
            .get_mut(&id)
            .ok_or(RejectReason::UnknownTarget)?;
        if replica.confirmed {
            return Err(RejectReason::WrongPhase);
        }
        replica.confirmed = true;
        if replica.phase == ReplicaPhase::Decided {
            replica.phase = ReplicaPhase::Loaded;
        }
        Ok(())
    }

    pub(crate) fn confirm_absent(&mut self, id: ReplicaId) -> Result<(), RejectReason> {
        let replica = self.replicas.get(&id).ok_or(RejectReason::UnknownTarget)?;
        if replica.phase == ReplicaPhase::Loaded {
            return Err(RejectReason::WrongPhase);
        }
        self.remove(id);
        Ok(())
    }

    fn has_adapters(&self, base: &Replica) -> bool {
        let prefix = format!("{}:", base.model);
        self.models
            .range::<str, _>((Bound::Included(prefix.as_str()), Bound::Unbounded))
            .take_while(|(model, _)| model.starts_with(&prefix))
            .flat_map(|(_, ids)| ids)
            .filter_map(|id| self.replicas.get(id))
            .any(|adapter| adapter.server == base.server)
    }

    fn drop_replicas(&mut self, server: &str) {
        let ids: Vec<ReplicaId> = self
            .replicas()
            .filter(|(_, replica)| &*replica.server == server)
            .map(|(id, _)| id)
            .collect();
        for id in ids {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: ReplicaId) {
        let Some(replica) = self.replicas.remove(&id) else {
            return;
        };
        if let Some(used) = self.used.get_mut(&replica.server) {
            *used -= replica.memory;
        }
        if let Some(ids) = self.models.get_mut(&replica.model) {
            ids.retain(|other| *other != id);
            if ids.is_empty() {
                self.models.remove(&replica.model);
            }
        }
    }
}
