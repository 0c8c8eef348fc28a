//! What a model engine holds: replicas, memory and fencing numbers.

use std::collections::BTreeMap;

use apricotwell_node::{EngineOrder, ReportedReplica};
use apricotwell_types::{ModelId, ReplicaId};

/// Why an engine refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The fencing number is lower than one seen for the model.
    OldNumber,
    /// The order is for another start of the engine.
    OtherIncarnation,
    /// Requests still run on the replica.
    Busy,
}

impl Refused {
    /// Returns the reason on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Refused::OldNumber => "old fencing number",
            Refused::OtherIncarnation => "another incarnation",
            Refused::Busy => "requests still run",
        }
    }
}

/// What an engine did, for tests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineAudit {
    /// Requests run.
    pub requests: u64,
    /// Requests that came with a key, a cookie or an authorisation header.
    pub secrets_seen: u64,
    /// Most memory that replicas took at once.
    pub most_mib: u64,
    /// Loads that went beyond the memory.
    pub overcommits: u64,
    /// Loads begun.
    pub loads: u64,
    /// Most requests run at once.
    pub most_requests: u32,
}

#[derive(Clone, Debug)]
struct Held {
    model: ModelId,
    memory: u64,
    loaded: bool,
    running: u32,
}

/// Replicas, memory and fencing numbers of an engine.
#[derive(Debug)]
pub struct EngineState {
    incarnation: u64,
    memory: u64,
    fencing: bool,
    replicas: BTreeMap<ReplicaId, Held>,
    highest: BTreeMap<ModelId, u64>,
    audit: EngineAudit,
}

impl EngineState {
    /// Returns an engine without replicas.
    pub fn new(incarnation: u64, memory: u64, fencing: bool) -> Self {
        Self {
            incarnation,
            memory,
            fencing,
            replicas: BTreeMap::new(),
            highest: BTreeMap::new(),
            audit: EngineAudit::default(),
        }
    }

    /// Returns the start number.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns what the engine did.
    pub fn audit(&self) -> &EngineAudit {
        &self.audit
    }

    /// Notes a request with a secret in its headers.
    pub fn note_secret(&mut self) {
        self.audit.secrets_seen += 1;
    }

    /// Returns the memory that replicas take.
    pub fn used(&self) -> u64 {
        self.replicas.values().map(|held| held.memory).sum()
    }

    /// Returns the requests running.
    pub fn running(&self) -> u32 {
        self.replicas.values().map(|held| held.running).sum()
    }

    /// Begins a load; returns whether weights must be fetched.
    ///
    /// # Errors
    ///
    /// Fails when the engine checks fencing numbers and the order's is old. An engine that does
    /// not check takes whatever comes, whichever start of it was meant.
    pub fn begin_load(&mut self, order: &EngineOrder) -> Result<bool, Refused> {
        self.check(order, &order.model)?;
        if self.replicas.contains_key(&order.replica) {
            return Ok(false);
        }
        let held = Held {
            model: order.model.clone(),
            memory: order.memory_mib,
            loaded: false,
            running: 0,
        };
        self.replicas.insert(order.replica, held);
        self.audit.loads += 1;
        let used = self.used();
        self.audit.most_mib = self.audit.most_mib.max(used);
        if used > self.memory {
            self.audit.overcommits += 1;
        }
        Ok(true)
    }

    /// Ends a load.
    pub fn end_load(&mut self, replica: u64) {
        if let Some(held) = self.replicas.get_mut(&replica) {
            held.loaded = true;
        }
    }

    /// Returns whether a replica is loaded.
    pub fn is_loaded(&self, replica: u64) -> bool {
        self.replicas.get(&replica).is_some_and(|held| held.loaded)
    }

    /// Unloads a replica.
    ///
    /// # Errors
    ///
    /// Fails like a load, or when requests still run on the replica.
    pub fn unload(&mut self, order: &EngineOrder) -> Result<(), Refused> {
        let model = self.model_of(order.replica).cloned();
        self.check(order, &model.unwrap_or_else(|| "".into()))?;
        if self
            .replicas
            .get(&order.replica)
            .is_some_and(|held| held.running > 0)
        {
            return Err(Refused::Busy);
        }
        self.replicas.remove(&order.replica);
        Ok(())
    }

    /// Returns the replica that shall run a request, `None` when it is not loaded.
    pub fn find(&self, replica: Option<u64>, model: &str) -> Option<u64> {
        let fits = |(id, held): &(&u64, &Held)| {
            held.loaded && replica.map_or(*held.model == *model, |wanted| **id == wanted)
        };
        self.replicas.iter().find(fits).map(|(id, _)| *id)
    }

    /// Forgets what is loaded, as an engine does that drops replicas by itself.
    pub fn drop_replicas(&mut self) {
        self.replicas.clear();
    }

    /// Begins a request.
    pub fn begin_request(&mut self, replica: u64) {
        if let Some(held) = self.replicas.get_mut(&replica) {
            held.running += 1;
        }
        self.audit.requests += 1;
        let running = self.running();
        self.audit.most_requests = self.audit.most_requests.max(running);
    }

    /// Ends a request.
    pub fn end_request(&mut self, replica: u64) {
        if let Some(held) = self.replicas.get_mut(&replica) {
            held.running -= 1;
        }
    }

    /// Returns the replicas as they are reported.
    pub fn replicas(&self) -> Vec<ReportedReplica> {
        let reported = |(id, held): (&ReplicaId, &Held)| ReportedReplica {
            replica: *id,
            loaded: held.loaded,
        };
        self.replicas.iter().map(reported).collect()
    }

    /// Returns the model of a replica.
    pub fn model_of(&self, replica: ReplicaId) -> Option<&ModelId> {
        self.replicas.get(&replica).map(|held| &held.model)
    }

    fn check(&mut self, order: &EngineOrder, model: &ModelId) -> Result<(), Refused> {
        if !self.fencing {
            return Ok(());
        }
        if order.incarnation != self.incarnation {
            return Err(Refused::OtherIncarnation);
        }
        let highest = self.highest.entry(model.clone()).or_default();
        if order.fencing_token < *highest {
            return Err(Refused::OldNumber);
        }
        *highest = order.fencing_token;
        Ok(())
    }
}
