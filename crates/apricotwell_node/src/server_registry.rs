//! Backend servers: the platform's list, their reports, and the log records about them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_placement::ServerView;
use apricotwell_quarantine::prelude::PartId;
use apricotwell_records::{Body, ServerGone, ServerUp};
use apricotwell_state::{PoolKind, State};
use apricotwell_types::{BodyDigest, Incarnation, ModelId, ReplicaId, ServerId, ZoneId};

/// Time for which this instance sends no requests to an unreachable server.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// Backend server on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// Id of the server.
    pub id: ServerId,
    /// Address as `ip:port`.
    pub address: String,
    /// Availability zone.
    pub zone: ZoneId,
    /// Pool that the server belongs to.
    pub pool: String,
    /// Whether the server is being removed.
    pub leaving: bool,
}

/// Replica in a server's report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedReplica {
    /// Id of the replica.
    pub replica: ReplicaId,
    /// Whether the replica is fully loaded; `false` while it is being loaded.
    pub loaded: bool,
}

/// Status report of a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerReport {
    /// Incarnation of the engine's process.
    pub incarnation: Incarnation,
    /// Replicas that are loaded or being loaded.
    pub replicas: Vec<ReportedReplica>,
    /// Number of running and waiting requests.
    pub requests: u32,
    /// Time since `requests` was measured.
    pub load_age: Duration,
    /// Whether the server accepts no new work.
    pub leaving: bool,
    /// Models whose weights the server has in memory or on disk.
    pub cached: Vec<ModelId>,
}

#[derive(Debug)]
struct ServerInfo {
    listed: Option<ListedServer>,
    report: Option<(Instant, ServerReport)>,
    // Start of the period without an answered poll.
    silent_since: Option<Instant>,
    polled: Option<Instant>,
    avoid_until: Option<Instant>,
    // Requests that were running when a connection broke, with the incarnation recorded then.
    suspects: Vec<(Suspect, Option<Incarnation>)>,
}

/// Request that may have crashed its server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Suspect {
    /// Digest of its body.
    pub(crate) body: BodyDigest,
    /// Ids of the parts of its prompt that other requests may share.
    pub(crate) parts: Vec<PartId>,
    /// When it was sent to the server.
    pub(crate) sent_at: Instant,
    /// Whether it had been sent to another one before.
    pub(crate) is_retry: bool,
}

/// Backend servers as seen by this instance.
#[derive(Debug)]
pub(crate) struct ServerRegistry {
    servers: BTreeMap<ServerId, ServerInfo>,
    period: Duration,
    timeout: Duration,
}

impl ServerRegistry {
    pub(crate) fn new(period: Duration, timeout: Duration) -> Self {
        Self {
            servers: BTreeMap::new(),
            period,
            timeout,
        }
    }

    /// Replaces the platform's list.
    pub(crate) fn set_list(&mut self, list: Vec<ListedServer>) {
        for info in self.servers.values_mut() {
            info.listed = None;
        }
        for server in list {
            let info = self
                .servers
                .entry(server.id.clone())
                .or_insert_with(ServerInfo::new);
            info.listed = Some(server);
        }
    }

    /// Returns the servers of a plain service's pool that accept work.
    pub(crate) fn service_servers(&self, now: Instant, pool: &str) -> Vec<&ListedServer> {
        let listed = self.servers.values().filter(|info| !info.is_avoided(now));
        listed
            .filter_map(|info| info.listed.as_ref())
            .filter(|server| server.pool == pool && !server.leaving)
            .collect()
    }

    /// Returns whether an engine may get requests and loads.
    pub(crate) fn is_usable(&self, now: Instant, state: &State, server: &str) -> bool {
        let Some(record) = state.ledger().server(server) else {
            return false;
        };
        let info = self.servers.get(server);
        let is_excluded = info.is_some_and(|info| {
            info.is_avoided(now) || info.listed.as_ref().is_some_and(|listed| listed.leaving)
        });
        !record.leaving && !is_excluded
    }

    /// Returns the servers in the form that placement needs.
    pub(crate) fn views(&self, now: Instant, state: &State) -> BTreeMap<ServerId, ServerView> {
        let view = |id: &ServerId| {
            let report = self.servers.get(id).and_then(|info| info.report.as_ref());
            let cached = report.map(|(_, report)| report.cached.iter().cloned().collect());
            ServerView {
                usable: self.is_usable(now, state, id),
                cached: cached.unwrap_or_default(),
            }
        };
        let servers = state.ledger().servers();
        servers.map(|(id, _)| (id.clone(), view(id))).collect()
    }

    /// Returns the latest report of a server and the time of its arrival.
    pub(crate) fn report(&self, server: &str) -> Option<(Instant, &ServerReport)> {
        let (at, report) = self.servers.get(server)?.report.as_ref()?;
        Some((*at, report))
    }

    /// Returns the engines to poll now, with their addresses.
    ///
    /// These are the engines for which `is_watched` holds and those that may have crashed.
    pub(crate) fn polls<F>(
        &mut self,
        now: Instant,
        state: &State,
        is_watched: F,
    ) -> Vec<(ServerId, String)>
    where
        F: Fn(&ServerId) -> bool,
    {
        let mut polls = Vec::new();
        for (id, info) in &mut self.servers {
            let Some(address) = info.address(id, state) else {
                continue;
            };
            let urgent = !info.suspects.is_empty();
            if !urgent && !is_watched(id) {
                continue;
            }
            let due = info.polled.is_none_or(|at| now >= at + self.period);
            if due {
                info.polled = Some(now);
                polls.push((id.clone(), address));
            }
        }
        polls
    }

    /// Handles a report, or `None` when the server could not be reached.
    ///
    /// Returns the requests that were running when the server crashed, if it did. A server counts as
    /// crashed if it can't be reached or has another incarnation than before.
    pub(crate) fn on_report(
        &mut self,
        now: Instant,
        server: &ServerId,
        report: Option<ServerReport>,
    ) -> Vec<Suspect> {
        let info = self
            .servers
            .entry(server.clone())
            .or_insert_with(ServerInfo::new);
        let found = report.as_ref().map(|report| report.incarnation);
        let crashed = info
            .suspects
            .drain(..)
            .filter(|(_, before)| found.is_none() || (before.is_some() && *before != found))
            .map(|(suspect, _)| suspect)
            .collect();
        match report {
            Some(report) => {
                info.silent_since = None;
                info.avoid_until = None;
                info.report = Some((now, report));
            }
            None => {
                info.silent_since = info.silent_since.or(Some(now));
                info.avoid_until = Some(now + AVOID_TIME);
            }
        }
        crashed
    }

    /// Marks a server as unreachable, so that it gets no requests for [`AVOID_TIME`].
    pub(crate) fn mark_unreachable(&mut self, now: Instant, server: &ServerId) {
        let info = self
            .servers
            .entry(server.clone())
            .or_insert_with(ServerInfo::new);
        info.avoid_until = Some(now + AVOID_TIME);
    }

    /// Records a request that was running when the connection to a server broke.
    ///
    /// The next poll shows whether the server crashed.
    pub(crate) fn suspect_crash(
        &mut self,
        server: &ServerId,
        suspect: Suspect,
        incarnation: Option<Incarnation>,
    ) {
        let info = self
            .servers
            .entry(server.clone())
            .or_insert_with(ServerInfo::new);
        info.suspects.push((suspect, incarnation));
        info.polled = None;
    }

    /// Returns the records about servers that this instance has to append.
    pub(crate) fn records<F>(&self, now: Instant, state: &State, is_held: F) -> Vec<Body>
    where
        F: Fn(&ServerId) -> bool,
    {
        let mut records = Vec::new();
        for (id, info) in &self.servers {
            if !is_held(id) {
                continue;
            }
            records.extend(info.up_record(id, state));
            records.extend(info.gone_record(now, id, state, self.timeout));
        }
        records
    }

    /// Returns the reported replicas that the ledger does not have on their server.
    ///
    /// They were loaded before the server was recorded as gone, and must be unloaded before the
    /// server is recorded again.
    pub(crate) fn unknown_replicas<F>(
        &self,
        state: &State,
        is_held: F,
    ) -> Vec<(ServerId, String, ReplicaId)>
    where
        F: Fn(&ServerId) -> bool,
    {
        let mut unknown_replicas = Vec::new();
        for (id, info) in &self.servers {
            let (Some(listed), Some((_, report))) = (&info.listed, &info.report) else {
                continue;
            };
            if !is_held(id) || info.silent_since.is_some() {
                continue;
            }
            // The id of a replica is the offset of its decision. A decision that this instance has
            // not applied yet does not make the replica unknown.
            let is_unknown = |replica: &&ReportedReplica| {
                let record = state.ledger().replica(replica.replica);
                replica.replica < state.next() && record.is_none_or(|record| record.server != *id)
            };
            for replica in report.replicas.iter().filter(is_unknown) {
                unknown_replicas.push((id.clone(), listed.address.clone(), replica.replica));
            }
        }
        unknown_replicas
    }

    /// Returns whether a server is on the list or in the ledger.
    pub(crate) fn is_known(&self, server: &str, state: &State) -> bool {
        let info = self.servers.get(server);
        info.is_some_and(|info| info.listed.is_some()) || state.ledger().server(server).is_some()
    }

    /// Drops the servers that are neither on the list nor in the ledger.
    pub(crate) fn retain(&mut self, state: &State) {
        self.servers
            .retain(|id, info| info.listed.is_some() || state.ledger().server(id).is_some());
    }
}

impl ServerInfo {
    fn new() -> Self {
        Self {
            listed: None,
            report: None,
            silent_since: None,
            polled: None,
            avoid_until: None,
            suspects: Vec::new(),
        }
    }

    fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    // Returns the address to poll; `None` for plain services, which have no reports.
    fn address(&self, id: &str, state: &State) -> Option<String> {
        let is_engine = |pool: &str| {
            let pool = state.pool(pool);
            pool.is_some_and(|pool| pool.kind == PoolKind::Engine)
        };
        if let Some(listed) = &self.listed {
            return is_engine(&listed.pool).then(|| listed.address.clone());
        }
        let record = state.ledger().server(id)?;
        Some(record.address.clone())
    }

    fn up_record(&self, id: &ServerId, state: &State) -> Option<Body> {
        let listed = self.listed.as_ref()?;
        let (_, report) = self.report.as_ref()?;
        if self.silent_since.is_some() {
            return None;
        }
        let up = ServerUp {
            server: id.to_string(),
            incarnation: report.incarnation,
            pool: listed.pool.clone(),
            address: listed.address.clone(),
            zone: listed.zone.to_string(),
            leaving: listed.leaving || report.leaving,
        };
        let known = state.ledger().server(id);
        let same = known.is_some_and(|known| {
            known.incarnation == up.incarnation
                && known.pool == up.pool
                && known.address == up.address
                && *known.zone == *up.zone
                && known.leaving == up.leaving
        });
        let older = known.is_some_and(|known| known.incarnation > up.incarnation);
        // A server is recorded again only after it has unloaded its unknown replicas.
        let unrecorded = known.is_none_or(|known| known.incarnation < up.incarnation);
        let has_unknown = report
            .replicas
            .iter()
            .any(|replica| state.ledger().replica(replica.replica).is_none());
        if same || older || (unrecorded && has_unknown) {
            return None;
        }
        Some(Body::ServerUp(up))
    }

    fn gone_record(
        &self,
        now: Instant,
        id: &ServerId,
        state: &State,
        timeout: Duration,
    ) -> Option<Body> {
        let known = state.ledger().server(id)?;
        let silent_since = self.silent_since?;
        if now < silent_since + timeout {
            return None;
        }
        Some(Body::ServerGone(ServerGone {
            server: id.to_string(),
            incarnation: known.incarnation,
        }))
    }
}
