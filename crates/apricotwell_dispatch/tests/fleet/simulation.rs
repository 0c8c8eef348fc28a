//! Fleet of instances in virtual time that share servers with limits and tell each other of crashes.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::{Duration, Instant};

use apricotwell_dispatch::backends::BackendEntry;
use apricotwell_dispatch::lease::{ClaimStatus, Standing};
use apricotwell_dispatch::peers::heartbeat_interval;
use apricotwell_dispatch::prelude::*;
use apricotwell_messages::{Heartbeat, PermitRequest, PermitResponse};
use apricotwell_permits::prelude::LimitResponse;
use apricotwell_quarantine::prelude::{Crash, CrashedRequest, PartId};
use apricotwell_types::{InstanceId, ServerId};
use prost::Message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::config::config;

/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(50);
/// Time for which the fleet runs before servers name their limits.
const START: Duration = Duration::from_secs(6);
/// Interval at which the membership is renewed at the store.
const RENEWAL: Duration = Duration::from_millis(500);
/// Interval at which the member list is read again, at least and per instance.
const LIST_INTERVAL: (Duration, Duration) = (Duration::from_secs(3), Duration::from_millis(60));
/// Time between two questions whether an instance runs, with the wait for the response.
const QUESTION_INTERVAL: Duration = Duration::from_millis(200);
/// Bytes of the headers of a datagram, and of the message round the body.
const HEADER_BYTES: usize = 28 + 3;
/// Shortest time between two heartbeats of an instance, per instance of the fleet.
const URGENT_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(4);
/// Start of the fleet by the clocks of servers and instances, in milliseconds. Servers that are known
/// from the start have run for this time.
const START_MS: u64 = 3_600_000;
const SEED: u64 = 26;

/// What goes wrong.
#[derive(Clone, Debug, Default)]
pub(crate) struct Faults {
    /// Number of parts that the fleet falls into during `cut`.
    pub(crate) parts: usize,
    /// When the parts don't hear each other.
    pub(crate) cut: Option<Range<Duration>>,
    /// Interval at which instances restart, in turn.
    pub(crate) restart_interval: Option<Duration>,
    /// Interval at which all instances restart at once, each before it can list the later ones.
    pub(crate) restart_all: Option<Duration>,
    /// Interval at which instances freeze, in turn, and for how long.
    pub(crate) freeze: Option<(Duration, Duration)>,
    /// Interval at which instances join.
    pub(crate) join_interval: Option<Duration>,
    /// Share of the datagrams that are lost.
    pub(crate) loss: f64,
    /// Longest delay of datagrams.
    pub(crate) delay: Duration,
}

/// Servers that join the list at a time when the fleet runs, and are cold then.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdStart {
    /// Warm-up of their service.
    pub(crate) warmup: Warmup,
    /// Longest time after which an instance that reaches the store reads their entries.
    pub(crate) lag: Duration,
    /// For a server that is known and restarts: the time for which it is down. It is up again at the
    /// time at which servers join otherwise.
    pub(crate) down: Option<Duration>,
}

#[derive(Clone, Debug)]
enum Body {
    Heartbeat(Box<Heartbeat>),
    /// Question whether the receiver runs, with the time at which it was asked.
    Question(Instant),
    /// Response to it.
    Running(Instant),
    Request(PermitRequest),
    Response(PermitResponse),
}

#[derive(Clone, Debug)]
struct Datagram {
    from: usize,
    to: usize,
    body: Body,
}

struct Member {
    dispatcher: Dispatcher,
    heartbeat_due: Instant,
    renewal_due: Instant,
    list_due: Instant,
    frozen_until: Instant,
    question_due: Instant,
    // Number of its next heartbeats that reach nobody.
    lost_heartbeats: usize,
    // When the entries of servers that join are read.
    reads_at: Instant,
    has_read: bool,
}

/// Fleet whose instances all have requests for limited servers.
pub(crate) struct Fleet {
    start: Instant,
    now: Instant,
    servers: Vec<(ServerId, f64)>,
    members: Vec<Member>,
    // Datagrams in transit, by time of arrival.
    transit: BTreeMap<Instant, Vec<Datagram>>,
    sent: Vec<Vec<Instant>>,
    // Bytes of permit requests and responses, by the instance that granted.
    permit_bytes: BTreeMap<usize, usize>,
    random: StdRng,
    faults: Faults,
    turn: usize,
    cold_start: Option<ColdStart>,
}

fn id(index: usize) -> InstanceId {
    format!("10.0.{}.{}:7100", index / 200, index % 200).into()
}

fn member_config(index: usize, incarnation: u64) -> InstanceConfig {
    let address = format!("10.0.{}.{}:80", index / 200, index % 200);
    config(id(index), incarnation, address)
}

fn renew_lease(dispatcher: &mut Dispatcher, now: Instant) {
    dispatcher.lease.begin_renewal(now);
    dispatcher.lease.complete_renewal(now, false, None);
}

/// Returns the largest number of `sent` times within any window.
pub(crate) fn most_within(sent: &[Instant], window: Duration) -> usize {
    let counts = sent.iter().enumerate().map(|(first, at)| {
        let within = sent[first..].iter().take_while(|it| **it < *at + window);
        within.count()
    });
    counts.max().unwrap_or(0)
}

fn warmup_catalog(warmup: Warmup) -> Catalog {
    let mut catalog = Catalog::new(1, ClientLimits::default());
    catalog.add_service(Service {
        name: "engines".into(),
        engine: None,
        max_connections: 100,
        warmup: Some(warmup),
    });
    catalog
}

fn entry(id: &ServerId) -> BackendEntry {
    BackendEntry {
        id: id.clone(),
        service: "engines".into(),
        address: "10.1.0.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: 8,
        draining: false,
        remaining: None,
        cold_left: Duration::ZERO,
        software: None,
        started_ms: 1,
        number: None,
        inventory: Inventory::default(),
    }
}

impl Fleet {
    pub(crate) fn new(instances: usize, rates: &[f64], faults: Faults) -> Self {
        Self::with_servers(instances, rates, faults, None)
    }

    /// Returns a fleet that one cold server joins.
    pub(crate) fn with_cold_start(instances: usize, start: ColdStart, faults: Faults) -> Self {
        Self::with_servers(instances, &[start.warmup.per_second], faults, Some(start))
    }

    fn with_servers(
        instances: usize,
        rates: &[f64],
        faults: Faults,
        cold_start: Option<ColdStart>,
    ) -> Self {
        let start = Instant::now() + Duration::from_secs(3600);
        let servers = rates
            .iter()
            .enumerate()
            .map(|(index, rate)| (format!("server-{index}").into(), *rate));
        let mut fleet = Self {
            start,
            now: start,
            servers: servers.collect(),
            members: Vec::new(),
            transit: BTreeMap::new(),
            sent: vec![Vec::new(); rates.len()],
            permit_bytes: BTreeMap::new(),
            random: StdRng::seed_from_u64(SEED),
            faults,
            turn: 0,
            cold_start,
        };
        for index in 0..instances {
            let member = fleet.start_member(index, index);
            fleet.members.push(member);
        }
        fleet
    }

    /// Runs the fleet until its servers have had limits for `length`.
    pub(crate) fn run(&mut self, length: Duration) {
        let end = self.start + START + length;
        let mut limited = false;
        while self.now < end {
            if !limited && self.cold_start.is_none() && self.now >= self.start + START {
                limited = true;
                self.name_limits();
            }
            self.advance();
        }
    }

    fn advance(&mut self) {
        self.now += STEP;
        self.inject_faults();
        self.deliver();
        for index in 0..self.members.len() {
            if self.members[index].frozen_until <= self.now {
                self.step(index);
            }
        }
    }

    /// Returns when requests were sent to a server.
    pub(crate) fn sent(&self, server: usize) -> &[Instant] {
        &self.sent[server]
    }

    /// Returns the most requests that were sent to a server in any window.
    pub(crate) fn most_sent(&self, server: usize, window: Duration) -> usize {
        most_within(&self.sent[server], window)
    }

    /// Returns the bytes of permit requests and responses at the instance with most of them.
    pub(crate) fn most_permit_bytes(&self) -> usize {
        self.permit_bytes.values().copied().max().unwrap_or(0)
    }

    // Starts an instance that can list the first `listed` others.
    fn start_member(&mut self, index: usize, listed: usize) -> Member {
        let elapsed = self.now.saturating_duration_since(self.start);
        let incarnation = START_MS + elapsed.as_millis() as u64;
        let mut dispatcher = Dispatcher::new(member_config(index, incarnation));
        if let Some(cold_start) = &self.cold_start {
            dispatcher.apply_catalog(warmup_catalog(cold_start.warmup));
            if cold_start.down.is_some() && self.now < self.start + START {
                for (server, _) in &self.servers {
                    dispatcher.apply_entry(self.now, entry(server));
                }
            }
        } else {
            for (server, _) in &self.servers {
                dispatcher.backends.apply_entry(self.now, entry(server));
            }
        }
        let instances = self.members.len().max(index + 1);
        let others = (0..listed).filter(|other| *other != index);
        dispatcher.peers.apply_members(self.now, others.map(id));
        let (shortest, per_instance) = LIST_INTERVAL;
        // The first instance holds the lease.
        if index == 0 {
            renew_lease(&mut dispatcher, self.now);
            let standing = Standing {
                status: ClaimStatus::Unclaimed,
                last: None,
                is_current: true,
                waits: false,
            };
            dispatcher.lease.apply_claim(self.now, 1, 0, standing);
        }
        // The first heartbeat is sent at once, the next ones at different times.
        Member {
            dispatcher,
            heartbeat_due: self.now,
            renewal_due: self.now,
            list_due: self.now + shortest.max(per_instance * instances as u32),
            frozen_until: self.now,
            question_due: self.now,
            lost_heartbeats: 0,
            reads_at: self.next_read(index),
            has_read: false,
        }
    }

    // Returns when an instance that starts now reads the entries of servers that join.
    fn next_read(&self, index: usize) -> Instant {
        let lag = self.cold_start.map_or(Duration::ZERO, |start| start.lag);
        self.now.max(self.start + START) + lag.mul_f64((index % 10) as f64 / 9.0)
    }

    // Returns whether an instance is cut off from the store, which is in the first part.
    fn is_cut_from_store(&self, index: usize) -> bool {
        self.is_cut(index, 0) && !index.is_multiple_of(self.faults.parts)
    }

    // Sends a request without a permit to each known server that the instance takes to be warm. While
    // the server is down, the request finds no connection.
    fn use_known(&mut self, index: usize, down: Duration) {
        let now = self.now;
        let up_at = self.start + START;
        let ids: Vec<ServerId> = self.servers.iter().map(|(id, _)| id.clone()).collect();
        for (server, id) in ids.iter().enumerate() {
            let dispatcher = &mut self.members[index].dispatcher;
            if dispatcher.backends.get(id).is_none() || dispatcher.limited.limits.rate(id).is_some()
            {
                continue;
            }
            if now >= up_at {
                self.sent[server].push(now);
            } else if now + down >= up_at {
                dispatcher.record_connection(now, id, false);
                dispatcher.limited.permits.begin_wait(id);
            }
        }
    }

    // Reads the entries of the servers that joined, unless the instance is cut off from the store.
    fn read_entries(&mut self, index: usize) {
        let now = self.now;
        if self.members[index].has_read
            || now < self.members[index].reads_at
            || self.is_cut_from_store(index)
        {
            return;
        }
        let started_ms = START_MS + START.as_millis() as u64;
        let servers: Vec<ServerId> = self.servers.iter().map(|(id, _)| id.clone()).collect();
        let member = &mut self.members[index];
        member.has_read = true;
        for id in &servers {
            let entry = BackendEntry {
                started_ms,
                number: None,
                ..entry(id)
            };
            member.dispatcher.apply_entry(now, entry);
            member.dispatcher.limited.permits.begin_wait(id);
        }
        member.dispatcher.update_warmups(now);
    }

    // Sends a request without a permit to each server that the instance takes to be warm.
    fn use_warm(&mut self, index: usize) {
        let limits = &self.members[index].dispatcher.limited.limits;
        for (server, (id, _)) in self.servers.iter().enumerate() {
            if limits.rate(id).is_none() {
                self.sent[server].push(self.now);
            }
        }
    }

    /// Returns the requests that were sent to a server in the time from `START`.
    pub(crate) fn sent_within(&self, server: usize, time: Duration) -> Vec<Instant> {
        let end = self.start + START + time;
        let sent = self.sent[server].iter();
        sent.filter(|at| **at < end).copied().collect()
    }

    fn name_limits(&mut self) {
        for member in &mut self.members {
            for (server, rate) in &self.servers {
                let response = LimitResponse {
                    sent_at: self.now,
                    rate: Some(*rate),
                };
                let limits = &mut member.dispatcher.limited.limits;
                limits.record_response(self.now, server, response);
                member.dispatcher.limited.permits.begin_wait(server);
            }
        }
    }

    fn inject_faults(&mut self) {
        let is_due = |interval: Option<Duration>| {
            let elapsed = self.now.saturating_duration_since(self.start);
            interval.is_some_and(|it| elapsed.as_millis() % it.as_millis() < STEP.as_millis())
        };
        let restarts = is_due(self.faults.restart_interval);
        let freezes = is_due(self.faults.freeze.map(|(interval, _)| interval));
        let restarts_all = is_due(self.faults.restart_all);
        let joins = is_due(self.faults.join_interval);
        if self.now < self.start + START {
            return;
        }
        self.turn += usize::from(restarts || freezes);
        let next = self.turn % self.members.len();
        if restarts {
            let mut member = self.start_member(next, self.members.len());
            self.wait_for_permits(&mut member);
            self.members[next] = member;
        }
        if restarts_all {
            for index in 0..self.members.len() {
                let mut member = self.start_member(index, index);
                self.wait_for_permits(&mut member);
                self.members[index] = member;
            }
        }
        if freezes && let Some((_, time)) = self.faults.freeze {
            self.members[next].frozen_until = self.now + time;
        }
        if joins {
            let mut member = self.start_member(self.members.len(), self.members.len());
            self.wait_for_permits(&mut member);
            self.members.push(member);
        }
    }

    // An instance that starts learns the limits from the first responses, its requests wait at once.
    fn wait_for_permits(&self, member: &mut Member) {
        if self.cold_start.is_some() {
            return;
        }
        for (server, rate) in &self.servers {
            let response = LimitResponse {
                sent_at: self.now,
                rate: Some(*rate),
            };
            let dispatcher = &mut member.dispatcher;
            dispatcher
                .limited
                .limits
                .record_response(self.now, server, response);
            dispatcher.limited.permits.begin_wait(server);
        }
    }

    /// Ends a server that was beginning to answer a request of an instance, which tells the others
    /// as soon as its heartbeats allow.
    pub(crate) fn crash(&mut self, index: usize, server: &str, parts: &[PartId]) {
        let now = self.now;
        let pause = URGENT_INTERVAL_PER_INSTANCE * self.members.len() as u32;
        let member = &mut self.members[index];
        member.dispatcher.crashes.record_own(Crash {
            server: server.into(),
            started_ms: 1,
            at: now,
            requests: vec![CrashedRequest {
                parts: parts.to_vec(),
                sent_at: now,
                is_retry: false,
            }],
        });
        member.heartbeat_due = member.heartbeat_due.min(now + pause);
    }

    /// Completes an answer of an instance that began just before.
    pub(crate) fn answer(&mut self, index: usize, parts: &[PartId]) {
        let quarantine = &mut self.members[index].dispatcher.crashes.quarantine;
        quarantine.record_sound(self.now, parts);
    }

    /// Returns whether an instance refuses requests with these parts.
    pub(crate) fn refuses(&mut self, index: usize, parts: &[PartId]) -> bool {
        let dispatcher = &mut self.members[index].dispatcher;
        match dispatcher.check_quarantine(self.now, parts) {
            Ok(None) => false,
            Ok(Some(part)) => !dispatcher.start_trial(self.now, part),
            Err(_) => true,
        }
    }

    /// Returns the number of instances.
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// Restarts an instance, which forgets everything.
    pub(crate) fn restart(&mut self, index: usize) {
        self.members[index] = self.start_member(index, self.members.len());
    }

    /// Ends an instance without notice to the others.
    pub(crate) fn end(&mut self, index: usize) {
        self.members[index].frozen_until = self.now + Duration::from_secs(3600);
    }

    /// Removes a server from the lists of all instances, and enters it again after a while. Each instance that
    /// then knows no limit of it sends a request, whose response names the limit.
    pub(crate) fn relist(&mut self, server: usize, missing: Duration) {
        let (id, rate) = self.servers[server].clone();
        for member in &mut self.members {
            let dispatcher = &mut member.dispatcher;
            dispatcher.backends.mark_removed(self.now, &id, None);
            dispatcher.expire(self.now);
        }
        self.pass(missing);
        let now = self.now;
        let response = LimitResponse {
            sent_at: now,
            rate: Some(rate),
        };
        for member in &mut self.members {
            let dispatcher = &mut member.dispatcher;
            dispatcher.backends.apply_entry(now, entry(&id));
            let limited = &mut dispatcher.limited;
            if limited.limits.rate(&id).is_none() {
                self.sent[server].push(now);
            }
            limited.limits.record_response(now, &id, response);
            limited.permits.begin_wait(&id);
        }
    }

    /// Lets the next heartbeats of an instance reach nobody.
    pub(crate) fn lose_heartbeats(&mut self, index: usize, count: usize) {
        self.members[index].lost_heartbeats = count;
    }

    /// Returns the instances whose look-ups name another one.
    pub(crate) fn naming(&self, index: usize) -> Vec<usize> {
        let address = member_config(index, 0).address;
        let running = (0..self.members.len()).filter(|other| *other != index);
        running
            .filter(|other| {
                let dispatcher = &self.members[*other].dispatcher;
                dispatcher.client_addresses(self.now).contains(&address)
            })
            .collect()
    }

    /// Lets time pass.
    pub(crate) fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.advance();
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let elapsed = self.now.saturating_duration_since(self.start + START);
        let is_now = self
            .faults
            .cut
            .as_ref()
            .is_some_and(|cut| cut.contains(&elapsed));
        is_now && from % self.faults.parts != to % self.faults.parts
    }

    fn send(&mut self, from: usize, to: usize, body: Body) {
        if self.is_cut(from, to) || self.random.random_bool(self.faults.loss) {
            return;
        }
        let delay = self
            .faults
            .delay
            .mul_f64(self.random.random_range(0.0..1.0));
        let arrival = self.now + delay;
        let datagram = Datagram { from, to, body };
        self.transit.entry(arrival).or_default().push(datagram);
    }

    // Delivers what has arrived, and the answers that need no time.
    fn deliver(&mut self) {
        while let Some(first) = self.transit.first_entry() {
            if *first.key() > self.now {
                return;
            }
            for datagram in first.remove() {
                self.receive(datagram);
            }
        }
    }

    fn receive(&mut self, datagram: Datagram) {
        let Datagram { from, to, body } = datagram.clone();
        if self.members[to].frozen_until > self.now {
            let thawed = self.members[to].frozen_until;
            self.transit.entry(thawed).or_default().push(datagram);
            return;
        }
        let now = self.now;
        let dispatcher = &mut self.members[to].dispatcher;
        match body {
            Body::Heartbeat(heartbeat) => {
                dispatcher.apply_heartbeat(now, &heartbeat);
            }
            Body::Question(asked) => self.send(to, from, Body::Running(asked)),
            Body::Running(asked) => dispatcher.peers.record_response(asked, &id(from)),
            Body::Request(request) => {
                let mut bytes = request.encoded_len() + HEADER_BYTES;
                let response = dispatcher.answer_permit(now, &request);
                if let Some(response) = &response {
                    bytes += response.encoded_len() + HEADER_BYTES;
                }
                *self.permit_bytes.entry(to).or_default() += bytes;
                if let Some(response) = response {
                    self.send(to, from, Body::Response(response));
                }
            }
            Body::Response(response) => {
                dispatcher.limited.apply(now, &response);
                self.use_permits(to);
            }
        }
    }

    fn use_permits(&mut self, index: usize) {
        let dispatcher = &mut self.members[index].dispatcher;
        for (server, (id, _)) in self.servers.iter().enumerate() {
            while dispatcher.limited.permits.is_held(self.now, id) {
                dispatcher.limited.permits.take(self.now, id);
                self.sent[server].push(self.now);
            }
        }
    }

    // Asks the instances whose heartbeat is overdue whether they run.
    fn ask_overdue(&mut self, index: usize) {
        let now = self.now;
        if now < self.members[index].question_due {
            return;
        }
        self.members[index].question_due = now + QUESTION_INTERVAL;
        let peers = &self.members[index].dispatcher.peers;
        let overdue: Vec<InstanceId> = peers.overdue(now).cloned().collect();
        let asked = (0..self.members.len()).filter(|other| overdue.contains(&id(*other)));
        for to in asked.collect::<Vec<_>>() {
            self.send(index, to, Body::Question(now));
        }
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let instances = self.members.len();
        let member = &mut self.members[index];
        if member.renewal_due <= now {
            member.renewal_due = now + RENEWAL;
            member.dispatcher.peers.refresh_members(now);
            renew_lease(&mut member.dispatcher, now);
        }
        if member.list_due <= now {
            let (shortest, per_instance) = LIST_INTERVAL;
            member.list_due = now + shortest.max(per_instance * instances as u32);
            let others = (0..instances).filter(|other| *other != index);
            member.dispatcher.peers.apply_members(now, others.map(id));
        }
        if member.heartbeat_due <= now {
            let interval = heartbeat_interval(instances as u32);
            // Instances start at different times.
            let first = interval.mul_f64((index % 16) as f64 / 16.0);
            let is_first = now <= self.start + STEP;
            member.heartbeat_due = now + if is_first { first } else { interval };
            member.dispatcher.expire(now);
            let heartbeat = Box::new(member.dispatcher.heartbeat(now));
            let is_lost = member.lost_heartbeats > 0;
            member.lost_heartbeats = member.lost_heartbeats.saturating_sub(1);
            for to in (0..instances).filter(|to| *to != index && !is_lost) {
                self.send(index, to, Body::Heartbeat(heartbeat.clone()));
            }
        }
        if self.cold_start.is_some() {
            let freshness = &mut self.members[index].dispatcher.freshness;
            freshness.record_read(now);
            if !self.is_cut_from_store(index) {
                let feeds = &mut self.members[index].dispatcher.feeds;
                feeds.record_position(Feed::Servers, 1, now);
            }
            self.read_entries(index);
            match self.cold_start.and_then(|start| start.down) {
                Some(down) => self.use_known(index, down),
                None if self.members[index].has_read => self.use_warm(index),
                None => {}
            }
        }
        self.ask_overdue(index);
        let (requests, _) = self.members[index].dispatcher.take_permit_requests(now);
        for (target, request) in requests {
            let to = (0..instances).find(|other| id(*other) == target);
            if let Some(to) = to {
                self.send(index, to, Body::Request(request));
            }
        }
        self.use_permits(index);
    }
}
