//! State of a simulated model engine.

use std::collections::BTreeMap;

use apricotwell_node::{EngineOrder, ReportedReplica};
use apricotwell_types::{ModelId, ReplicaId};

/// Reason why an engine rejects an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// The fencing token is lower than the highest one seen for the model.
    StaleFencingToken,
    /// The order was sent to an earlier incarnation of the engine, before a restart.
    IncarnationMismatch,
    /// Requests are still running on the replica.
    Busy,
}

impl OrderError {
    /// Returns the reason as sent on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            OrderError::StaleFencingToken => "old fencing number",
            OrderError::IncarnationMismatch => "another incarnation",
            OrderError::Busy => "requests still run",
        }
    }
}

/// Counters of an engine's work, for tests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineStats {
    /// Number of requests started.
    pub requests: u64,
    /// Number of requests that arrived with an API key, a cookie or an authorisation header.
    pub secrets_seen: u64,
    /// Peak memory use of all replicas together, in MiB.
    pub peak_mib: u64,
    /// Number of loads that exceeded the engine's memory.
    pub overcommits: u64,
    /// Number of loads started.
    pub loads: u64,
    /// Peak number of concurrent requests.
    pub peak_requests: u32,
}

#[derive(Clone, Debug)]
struct Replica {
    model: ModelId,
    memory_mib: u64,
    loaded: bool,
    running: u32,
}

/// Replicas, memory use and fencing tokens of an engine.
#[derive(Debug)]
pub struct EngineState {
    incarnation: u64,
    memory_mib: u64,
    fencing: bool,
    replicas: BTreeMap<ReplicaId, Replica>,
    // Highest fencing token seen, by model.
    highest_tokens: BTreeMap<ModelId, u64>,
    stats: EngineStats,
}

impl EngineState {
    /// Creates an engine without replicas. With `fencing`, it rejects stale orders.
    pub fn new(incarnation: u64, memory_mib: u64, fencing: bool) -> Self {
        Self {
            incarnation,
            memory_mib,
            fencing,
            replicas: BTreeMap::new(),
            highest_tokens: BTreeMap::new(),
            stats: EngineStats::default(),
        }
    }

    /// Returns the incarnation, which changes with each restart of the engine.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the counters of the engine's work.
    pub fn stats(&self) -> &EngineStats {
        &self.stats
    }

    /// Counts a request that has a secret in its headers.
    pub fn count_secret(&mut self) {
        self.stats.secrets_seen += 1;
    }

    /// Returns the memory use of all replicas, in MiB.
    pub fn used_mib(&self) -> u64 {
        self.replicas
            .values()
            .map(|replica| replica.memory_mib)
            .sum()
    }

    /// Returns the number of running requests.
    pub fn running_requests(&self) -> u32 {
        self.replicas.values().map(|replica| replica.running).sum()
    }

    /// Starts a load. Returns `false` if the replica exists already, so that no weights need to be
    /// fetched.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine checks fencing tokens and the order's token or incarnation
    /// is out of date. An engine that doesn't check them accepts every order, including one for
    /// another incarnation.
    pub fn begin_load(&mut self, order: &EngineOrder) -> Result<bool, OrderError> {
        self.check_order(order, &order.model)?;
        if self.replicas.contains_key(&order.replica) {
            return Ok(false);
        }
        let replica = Replica {
            model: order.model.clone(),
            memory_mib: order.memory_mib,
            loaded: false,
            running: 0,
        };
        self.replicas.insert(order.replica, replica);
        self.stats.loads += 1;
        let used = self.used_mib();
        self.stats.peak_mib = self.stats.peak_mib.max(used);
        if used > self.memory_mib {
            self.stats.overcommits += 1;
        }
        Ok(true)
    }

    /// Marks a replica as loaded.
    pub fn end_load(&mut self, replica: u64) {
        if let Some(replica) = self.replicas.get_mut(&replica) {
            replica.loaded = true;
        }
    }

    /// Returns whether a replica is loaded.
    pub fn is_loaded(&self, replica: u64) -> bool {
        self.replicas
            .get(&replica)
            .is_some_and(|replica| replica.loaded)
    }

    /// Unloads a replica.
    ///
    /// # Errors
    ///
    /// Returns an error under the same conditions as for a load, or if requests are still running
    /// on the replica.
    pub fn unload(&mut self, order: &EngineOrder) -> Result<(), OrderError> {
        let model = self.model_of(order.replica).cloned();
        self.check_order(order, &model.unwrap_or_else(|| "".into()))?;
        if self
            .replicas
            .get(&order.replica)
            .is_some_and(|replica| replica.running > 0)
        {
            return Err(OrderError::Busy);
        }
        self.replicas.remove(&order.replica);
        Ok(())
    }

    /// Returns the replica on which a request runs: the given one or, without one, the first loaded
    /// replica of the model. Returns `None` if the given replica isn't loaded or the model has no
    /// loaded replica.
    pub fn find_replica(&self, replica: Option<u64>, model: &str) -> Option<u64> {
        let matches = |(id, candidate): &(&u64, &Replica)| {
            candidate.loaded
                && replica.map_or(*candidate.model == *model, |requested| **id == requested)
        };
        self.replicas.iter().find(matches).map(|(id, _)| *id)
    }

    /// Drops all replicas, like an engine that evicts them without an order.
    pub fn drop_replicas(&mut self) {
        self.replicas.clear();
    }

    /// Starts a request on a replica.
    pub fn begin_request(&mut self, replica: u64) {
        if let Some(replica) = self.replicas.get_mut(&replica) {
            replica.running += 1;
        }
        self.stats.requests += 1;
        let running = self.running_requests();
        self.stats.peak_requests = self.stats.peak_requests.max(running);
    }

    /// Ends a request on a replica.
    pub fn end_request(&mut self, replica: u64) {
        if let Some(replica) = self.replicas.get_mut(&replica) {
            replica.running -= 1;
        }
    }

    /// Returns the replicas for a report.
    pub fn replicas(&self) -> Vec<ReportedReplica> {
        let reported = |(id, replica): (&ReplicaId, &Replica)| ReportedReplica {
            replica: *id,
            loaded: replica.loaded,
        };
        self.replicas.iter().map(reported).collect()
    }

    /// Returns the model of a replica.
    pub fn model_of(&self, replica: ReplicaId) -> Option<&ModelId> {
        self.replicas.get(&replica).map(|replica| &replica.model)
    }

    fn check_order(&mut self, order: &EngineOrder, model: &ModelId) -> Result<(), OrderError> {
        if !self.fencing {
            return Ok(());
        }
        if order.incarnation != self.incarnation {
            return Err(OrderError::IncarnationMismatch);
        }
        let highest = self.highest_tokens.entry(model.clone()).or_default();
        if order.fencing_token < *highest {
            return Err(OrderError::StaleFencingToken);
        }
        *highest = order.fencing_token;
        Ok(())
    }
}
