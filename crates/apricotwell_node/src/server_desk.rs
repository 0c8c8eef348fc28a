//! Backend servers: the platform's list, their reports, and the records on them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_placement::ServerView;
use apricotwell_records::{Body, ServerGone, ServerUp};
use apricotwell_state::{PoolKind, State};
use apricotwell_types::{BodyDigest, Incarnation, ModelId, ReplicaId, ServerId, ZoneId};

/// Time for which a server that could not be reached gets no requests from here.
const AVOID: Duration = Duration::from_secs(2);

/// Backend server on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// Server.
    pub id: ServerId,
    /// Address as `ip:port`.
    pub address: String,
    /// Availability zone.
    pub zone: ZoneId,
    /// Pool.
    pub pool: String,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Replica as its server reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedReplica {
    /// Replica.
    pub replica: ReplicaId,
    /// Whether it is loaded, not merely being loaded.
    pub loaded: bool,
}

/// Report of a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerReport {
    /// Start number.
    pub incarnation: Incarnation,
    /// Replicas.
    pub replicas: Vec<ReportedReplica>,
    /// Requests running and waiting.
    pub requests: u32,
    /// Age of `requests`.
    pub load_age: Duration,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Models whose weights it has in memory or on disk.
    pub cached: Vec<ModelId>,
}

#[derive(Debug)]
struct Seen {
    listed: Option<ListedServer>,
    report: Option<(Instant, ServerReport)>,
    // Since when no poll has been answered.
    silent: Option<Instant>,
    polled: Option<Instant>,
    avoid_until: Option<Instant>,
    // Bodies that were running when a connection broke, with the server's incarnation.
    suspects: Vec<(BodyDigest, Option<Incarnation>)>,
}

/// Backend servers as seen from here.
#[derive(Debug)]
pub(crate) struct ServerDesk {
    servers: BTreeMap<ServerId, Seen>,
    period: Duration,
    timeout: Duration,
}

impl ServerDesk {
    pub(crate) fn new(period: Duration, timeout: Duration) -> Self {
        Self {
            servers: BTreeMap::new(),
            period,
            timeout,
        }
    }

    /// Takes the platform's list.
    pub(crate) fn set_list(&mut self, list: Vec<ListedServer>) {
        for seen in self.servers.values_mut() {
            seen.listed = None;
        }
        for server in list {
            let seen = self
                .servers
                .entry(server.id.clone())
                .or_insert_with(Seen::new);
            seen.listed = Some(server);
        }
    }

    /// Returns the servers of a pool of plain services that take work.
    pub(crate) fn service_servers(&self, now: Instant, pool: &str) -> Vec<&ListedServer> {
        let listed = self.servers.values().filter(|seen| !seen.is_avoided(now));
        listed
            .filter_map(|seen| seen.listed.as_ref())
            .filter(|server| server.pool == pool && !server.leaving)
            .collect()
    }

    /// Returns whether requests and loads may go to an engine.
    pub(crate) fn is_usable(&self, now: Instant, state: &State, server: &str) -> bool {
        let Some(record) = state.ledger().server(server) else {
            return false;
        };
        let seen = self.servers.get(server);
        let away = seen.is_some_and(|seen| {
            seen.is_avoided(now) || seen.listed.as_ref().is_some_and(|listed| listed.leaving)
        });
        !record.leaving && !away
    }

    /// Returns the servers as placement needs them.
    pub(crate) fn views(&self, now: Instant, state: &State) -> BTreeMap<ServerId, ServerView> {
        let view = |id: &ServerId| {
            let report = self.servers.get(id).and_then(|seen| seen.report.as_ref());
            let cached = report.map(|(_, report)| report.cached.iter().cloned().collect());
            ServerView {
                usable: self.is_usable(now, state, id),
                cached: cached.unwrap_or_default(),
            }
        };
        let servers = state.ledger().servers();
        servers.map(|(id, _)| (id.clone(), view(id))).collect()
    }

    /// Returns the latest report of the server's present incarnation and when it came.
    pub(crate) fn report(&self, server: &str) -> Option<(Instant, &ServerReport)> {
        let (at, report) = self.servers.get(server)?.report.as_ref()?;
        Some((*at, report))
    }

    /// Returns the engines to poll; `wanted` tells which ones this instance has to watch.
    pub(crate) fn polls<F>(
        &mut self,
        now: Instant,
        state: &State,
        wanted: F,
    ) -> Vec<(ServerId, String)>
    where
        F: Fn(&ServerId) -> bool,
    {
        let mut polls = Vec::new();
        for (id, seen) in &mut self.servers {
            let Some(address) = seen.address(id, state) else {
                continue;
            };
            let urgent = !seen.suspects.is_empty();
            if !urgent && !wanted(id) {
                continue;
            }
            let due = seen.polled.is_none_or(|at| now >= at + self.period);
            if due {
                seen.polled = Some(now);
                polls.push((id.clone(), address));
            }
        }
        polls
    }

    /// Takes a report, `None` when the server could not be reached.
    ///
    /// Returns the bodies that turn out to have been running when the server crashed.
    pub(crate) fn on_report(
        &mut self,
        now: Instant,
        server: &ServerId,
        report: Option<ServerReport>,
    ) -> Vec<BodyDigest> {
        let seen = self.servers.entry(server.clone()).or_insert_with(Seen::new);
        let found = report.as_ref().map(|report| report.incarnation);
        let crashed = seen
            .suspects
            .drain(..)
            .filter(|(_, before)| found.is_none() || (before.is_some() && *before != found))
            .map(|(digest, _)| digest)
            .collect();
        match report {
            Some(report) => {
                seen.silent = None;
                seen.avoid_until = None;
                seen.report = Some((now, report));
            }
            None => {
                seen.silent = seen.silent.or(Some(now));
                seen.avoid_until = Some(now + AVOID);
            }
        }
        crashed
    }

    /// Notes that a server could not be reached, so that other servers are preferred for a while.
    pub(crate) fn avoid(&mut self, now: Instant, server: &ServerId) {
        let seen = self.servers.entry(server.clone()).or_insert_with(Seen::new);
        seen.avoid_until = Some(now + AVOID);
    }

    /// Notes a body that was running when the connection to a server broke; a poll will tell
    /// whether the server crashed.
    pub(crate) fn suspect(
        &mut self,
        server: &ServerId,
        digest: BodyDigest,
        incarnation: Option<Incarnation>,
    ) {
        let seen = self.servers.entry(server.clone()).or_insert_with(Seen::new);
        seen.suspects.push((digest, incarnation));
        seen.polled = None;
    }

    /// Returns the records on servers that this instance has to write.
    pub(crate) fn records<F>(&self, now: Instant, state: &State, is_held: F) -> Vec<Body>
    where
        F: Fn(&ServerId) -> bool,
    {
        let mut records = Vec::new();
        for (id, seen) in &self.servers {
            if !is_held(id) {
                continue;
            }
            records.extend(seen.up_record(id, state));
            records.extend(seen.gone_record(now, id, state, self.timeout));
        }
        records
    }

    /// Returns replicas on servers that are about to be recorded and that the ledger lacks.
    ///
    /// They stem from before the server was recorded as gone and must be unloaded first.
    pub(crate) fn orphans<F>(&self, state: &State, is_held: F) -> Vec<(ServerId, String, ReplicaId)>
    where
        F: Fn(&ServerId) -> bool,
    {
        let mut orphans = Vec::new();
        for (id, seen) in &self.servers {
            let (Some(listed), Some((_, report))) = (&seen.listed, &seen.report) else {
                continue;
            };
            if !is_held(id) || seen.silent.is_some() {
                continue;
            }
            // A replica is named by the offset that decided it: one decided beyond what this
            // instance has applied is merely news.
            let orphan = |replica: &&ReportedReplica| {
                let record = state.ledger().replica(replica.replica);
                replica.replica < state.next() && record.is_none_or(|record| record.server != *id)
            };
            for replica in report.replicas.iter().filter(orphan) {
                orphans.push((id.clone(), listed.address.clone(), replica.replica));
            }
        }
        orphans
    }

    /// Forgets servers that neither the list nor the ledger holds.
    pub(crate) fn retain(&mut self, state: &State) {
        self.servers
            .retain(|id, seen| seen.listed.is_some() || state.ledger().server(id).is_some());
    }
}

impl Seen {
    fn new() -> Self {
        Self {
            listed: None,
            report: None,
            silent: None,
            polled: None,
            avoid_until: None,
            suspects: Vec::new(),
        }
    }

    fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    // Plain services have no reports.
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
        if self.silent.is_some() {
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
        // A server comes back into the ledger only empty: see `orphans`.
        let unrecorded = known.is_none_or(|known| known.incarnation < up.incarnation);
        let has_orphans = report
            .replicas
            .iter()
            .any(|replica| state.ledger().replica(replica.replica).is_none());
        if same || older || (unrecorded && has_orphans) {
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
        let silent = self.silent?;
        if now < silent + timeout {
            return None;
        }
        Some(Body::ServerGone(ServerGone {
            server: id.to_string(),
            incarnation: known.incarnation,
        }))
    }
}
