//! Simulated fleet in virtual time: instances that select servers for streams by the inventories they
//! were sent, a lease holder that plans by their heartbeats, and servers that run the streams.
//!
//! A server executes one order at a time, and an unload ends only after the streams of its model.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_dispatch::backends::BackendEntry;
use apricotwell_dispatch::peers::heartbeat_interval;
use apricotwell_dispatch::placement::Order;
use apricotwell_dispatch::prelude::*;
use apricotwell_messages::{Heartbeat, InventoryUpdate};
use apricotwell_types::ServerId;

use crate::config::config;

const TICK: Duration = Duration::from_millis(10);
const LATENCY: Duration = Duration::from_millis(10);
/// Age of the state that a server reports.
const REPORT_LAG: Duration = Duration::from_millis(200);
const UNLOAD: Duration = Duration::from_millis(60);
const STORE_LOAD: Duration = Duration::from_millis(10_200);
const STREAM: Duration = Duration::from_millis(1500);
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(25);
const MIN_DEMAND_INTERVAL: Duration = Duration::from_millis(30);
const BROADCAST_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(4);
/// Interval between two changes of the busy models.
const CHANGE_INTERVAL: Duration = Duration::from_millis(7500);
const LIST_INTERVAL: Duration = Duration::from_secs(1);
const MODEL_SLOTS: usize = 2;

/// Size and traffic of a deployment.
#[derive(Clone, Copy)]
pub(crate) struct Deployment {
    pub(crate) instances: usize,
    pub(crate) servers: usize,
    pub(crate) busy: usize,
    /// Busy models that are requested at a time.
    pub(crate) active: usize,
    /// Number of these that are replaced at each change.
    pub(crate) changed: usize,
    pub(crate) rare: usize,
    /// Models on the disk of each server.
    pub(crate) copies: usize,
    pub(crate) slots: usize,
    pub(crate) disk_load: Duration,
    pub(crate) memory_load: Duration,
    pub(crate) busy_rate: f64,
    pub(crate) rare_rate: f64,
    pub(crate) load_aware: bool,
}

/// Waits of the requests of one kind, and the number of refused ones.
#[derive(Default)]
pub(crate) struct Waits {
    pub(crate) times: Vec<Duration>,
    pub(crate) refused: usize,
}

impl Waits {
    /// Returns the share of requests that started within a time.
    pub(crate) fn share_within(&self, limit: Duration) -> f64 {
        let total = self.times.len() + self.refused;
        let timely = self.times.iter().filter(|time| **time <= limit).count();
        timely as f64 / total.max(1) as f64
    }

    pub(crate) fn percentile(&mut self, share: f64) -> Duration {
        self.times.sort();
        let index = (self.times.len() as f64 * share) as usize;
        self.times.get(index).copied().unwrap_or(Duration::MAX)
    }
}

struct Stream {
    instance: usize,
    request: RequestHead,
    model: ModelName,
    ends: Instant,
}

struct Server {
    orders: u64,
    models: Vec<ModelName>,
    disk: Vec<ModelName>,
    memory: Vec<ModelName>,
    running: Option<(Operation, Instant)>,
    streams: Vec<Stream>,
    // Past states, oldest first.
    history: Vec<(Instant, StatusReport)>,
}

struct Waiting {
    request: RequestHead,
    admission: Admission,
    wait: Option<u64>,
}

struct Instance {
    dispatcher: Dispatcher,
    waiting: Vec<Waiting>,
    next_heartbeat: Instant,
    demand_changed: bool,
    next_demand: Instant,
}

enum Message {
    Heartbeat(Option<usize>, Box<Heartbeat>),
    Inventory(InventoryUpdate),
}

pub(crate) struct Fleet {
    pub(crate) now: Instant,
    start: Instant,
    deployment: Deployment,
    servers: BTreeMap<ServerId, Server>,
    instances: Vec<Instance>,
    // `None` while no instance holds the lease.
    holder: Option<usize>,
    fence: u64,
    updates: InventoryUpdates,
    next_list: Instant,
    next_plan: Instant,
    next_broadcast: Instant,
    messages: Vec<(Instant, Message)>,
    random: u64,
    number: u64,
    /// Share of the orders whose reply is lost.
    pub(crate) lost_replies: f64,
    pub(crate) busy: Waits,
    pub(crate) rare: Waits,
    pub(crate) orders: usize,
    pub(crate) conflicts: usize,
    pub(crate) loads: usize,
    pub(crate) fetches: usize,
    /// Loads on servers whose places were all taken.
    pub(crate) overcommits: usize,
    /// Orders that arrived during a load.
    pub(crate) overlaps: usize,
    /// Requests that reached a server without their model.
    pub(crate) rejections: usize,
    /// Unloads of models with running requests.
    pub(crate) unload_pending: usize,
    pub(crate) plan_times: Vec<Duration>,
}

impl Fleet {
    pub(crate) fn new(deployment: Deployment, seed: u64) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            now,
            start: now,
            deployment,
            servers: BTreeMap::new(),
            instances: Vec::new(),
            holder: Some(0),
            fence: 1,
            updates: InventoryUpdates::default(),
            next_list: now,
            next_plan: now,
            next_broadcast: now,
            messages: Vec::new(),
            random: seed | 1,
            number: 0,
            lost_replies: 0.0,
            busy: Waits::default(),
            rare: Waits::default(),
            orders: 0,
            conflicts: 0,
            loads: 0,
            fetches: 0,
            overcommits: 0,
            overlaps: 0,
            rejections: 0,
            unload_pending: 0,
            plan_times: Vec::new(),
        };
        fleet.place_models();
        let catalog = catalog(&fleet.model_names(), deployment);
        for index in 0..deployment.instances {
            let id = format!("10.0.0.{index}:7600");
            let mut dispatcher = Dispatcher::new(config(id.as_str().into(), 1, id.clone()));
            dispatcher.apply_catalog(catalog.clone());
            dispatcher.set_load_aware(deployment.load_aware);
            fleet.instances.push(Instance {
                dispatcher,
                waiting: Vec::new(),
                next_heartbeat: now + TICK * index as u32,
                demand_changed: false,
                next_demand: now,
            });
        }
        fleet
    }

    fn model_names(&self) -> Vec<ModelName> {
        let busy = (0..self.deployment.busy).map(|index| format!("busy-{index}"));
        let rare = (0..self.deployment.rare).map(|index| format!("rare-{index}"));
        busy.chain(rare).map(|name| name.as_str().into()).collect()
    }

    // Holds every busy model twice and rare models in the other places; copies each model to as many
    // disks.
    fn place_models(&mut self) {
        let names = self.model_names();
        let Deployment {
            servers,
            busy,
            copies,
            ..
        } = self.deployment;
        let mut disks: Vec<Vec<ModelName>> = vec![Vec::new(); servers];
        for round in 0..copies * servers / names.len() + 1 {
            for name in &names {
                let open: Vec<usize> = (0..servers)
                    .filter(|index| disks[*index].len() < copies && !disks[*index].contains(name))
                    .collect();
                if open.is_empty() || (round > 0 && open.len() * 4 < servers / 10) {
                    continue;
                }
                let index = open[self.draw(open.len())];
                disks[index].push(name.clone());
            }
        }
        let mut held: BTreeMap<ModelName, usize> = BTreeMap::new();
        for (index, disk) in disks.into_iter().enumerate() {
            let mut order: Vec<&ModelName> = disk.iter().collect();
            order.sort_by_key(|name| {
                let count = held.get(*name).copied().unwrap_or_default();
                let wanted = if names[..busy].contains(name) { 2 } else { 1 };
                (count >= wanted, count)
            });
            let models: Vec<ModelName> = order.into_iter().take(MODEL_SLOTS).cloned().collect();
            for name in &models {
                *held.entry(name.clone()).or_default() += 1;
            }
            let server = Server {
                orders: 0,
                memory: models.clone(),
                models,
                disk,
                running: None,
                streams: Vec::new(),
                history: Vec::new(),
            };
            self.servers
                .insert(format!("server-{index:03}").as_str().into(), server);
        }
    }

    fn draw(&mut self, limit: usize) -> usize {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) as usize % limit
    }

    /// Ends the lease holder's leadership; another instance holds the lease after `gap`.
    pub(crate) fn replace_holder(&mut self, gap: Duration) {
        let old = self.holder.take().unwrap_or_default();
        self.instances[old].dispatcher.planner.reset();
        self.run(gap);
        self.holder = Some(old + 1);
        self.fence += 1;
        self.updates = InventoryUpdates::default();
    }

    /// Returns whether some server has unloaded a model and not yet loaded another one.
    pub(crate) fn is_mid_swap(&self) -> bool {
        let servers = self.servers.values();
        let mut open = servers.filter(|server| server.models.len() < MODEL_SLOTS);
        open.any(|server| server.running.is_none())
    }

    /// Discards the figures so far.
    pub(crate) fn clear_figures(&mut self) {
        self.busy = Waits::default();
        self.rare = Waits::default();
        (self.orders, self.conflicts, self.loads, self.fetches) = (0, 0, 0, 0);
        self.rejections = 0;
        self.unload_pending = 0;
        self.plan_times.clear();
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        if self.next_list <= self.now {
            self.next_list = self.now + LIST_INTERVAL;
            self.apply_list();
        }
        self.advance_servers();
        self.deliver();
        self.arrive();
        for index in 0..self.instances.len() {
            self.serve_waiting(index);
            self.send_heartbeats(index);
        }
        self.plan();
        self.broadcast();
    }

    fn advance_servers(&mut self) {
        let now = self.now;
        for (id, server) in &mut self.servers {
            let ended = server.streams.extract_if(.., |stream| stream.ends <= now);
            for stream in ended {
                let instance = &mut self.instances[stream.instance];
                end_stream(&mut instance.dispatcher, now, id, &stream);
            }
            server.advance(now);
            let report = StatusReport {
                busy: server.running.is_some(),
                inventory: server.inventory(),
                incoming: Vec::new(),
            };
            let newest = server.history.last();
            if newest.is_none_or(|(_, last)| *last != report) {
                server.history.push((now, report));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.messages.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, message) in due {
            match message {
                Message::Heartbeat(Some(target), heartbeat) => {
                    let dispatcher = &mut self.instances[target].dispatcher;
                    dispatcher.apply_heartbeat(now, &heartbeat);
                }
                Message::Heartbeat(None, heartbeat) => {
                    let holder = self.holder;
                    let plain = Heartbeat {
                        models: Vec::new(),
                        ..(*heartbeat).clone()
                    };
                    for (index, instance) in self.instances.iter_mut().enumerate() {
                        let sent = if Some(index) == holder {
                            &heartbeat
                        } else {
                            &plain
                        };
                        instance.dispatcher.apply_heartbeat(now, sent);
                    }
                }
                Message::Inventory(update) => {
                    for instance in &mut self.instances {
                        instance.dispatcher.apply_inventory(now, &update);
                    }
                }
            }
        }
    }

    // Creates the requests of one tick: Poisson arrivals approximated by draws.
    fn arrive(&mut self) {
        let Deployment {
            busy,
            active,
            changed,
            rare,
            busy_rate,
            rare_rate,
            ..
        } = self.deployment;
        let changes = (self.now - self.start).as_millis() / CHANGE_INTERVAL.as_millis();
        let first = changes as usize * changed;
        for (kind, models, drawn, rate) in [
            ("busy", busy, active, busy_rate),
            ("rare", rare, rare, rare_rate),
        ] {
            // Four draws per tick allow for several arrivals in it.
            for _ in 0..4 {
                let chance = rate * TICK.as_secs_f64() / 4.0;
                if self.draw(1_000_000) as f64 >= chance * 1e6 {
                    continue;
                }
                let index = self.draw(self.instances.len());
                let offset = if kind == "busy" { first } else { 0 };
                let model = format!("{kind}-{}", (offset + self.draw(drawn)) % models);
                self.number += 1;
                let request = request(self.number, kind, &model);
                let dispatcher = &mut self.instances[index].dispatcher;
                let admission = dispatcher.admit(self.now, &request).unwrap();
                self.instances[index].waiting.push(Waiting {
                    request,
                    admission,
                    wait: None,
                });
            }
        }
    }

    fn serve_waiting(&mut self, index: usize) {
        let now = self.now;
        for mut waiting in std::mem::take(&mut self.instances[index].waiting) {
            let dispatcher = &self.instances[index].dispatcher;
            let choice = dispatcher.select_server(now, &waiting.admission, &waiting.request, &[]);
            match choice {
                RoutingDecision::Send(id, _) if self.send(index, &id, &waiting) => {
                    self.end_wait(index, &waiting);
                    continue;
                }
                RoutingDecision::Refuse(_) => {
                    self.end_wait(index, &waiting);
                    self.waits(&waiting.request).refused += 1;
                    continue;
                }
                _ => {}
            }
            let instance = &mut self.instances[index];
            if waiting.wait.is_none() {
                let demand = &mut instance.dispatcher.demand;
                let admission = &waiting.admission;
                let requested = admission.requested_model.as_ref().unwrap();
                let deadline = admission.silence_deadline;
                waiting.wait =
                    Some(demand.begin_wait(now, &admission.service, requested, deadline));
                instance.demand_changed = true;
            }
            instance.waiting.push(waiting);
        }
    }

    fn end_wait(&mut self, index: usize, waiting: &Waiting) {
        let Some(wait) = waiting.wait else {
            return;
        };
        let admission = &waiting.admission;
        let requested = admission.requested_model.as_ref().unwrap();
        let demand = &mut self.instances[index].dispatcher.demand;
        demand.end_wait(&admission.service, requested, wait);
    }

    fn waits(&mut self, request: &RequestHead) -> &mut Waits {
        if request.path.starts_with("/busy") {
            &mut self.busy
        } else {
            &mut self.rare
        }
    }

    // Sends a request to a server; returns `false` if the server doesn't run its model.
    fn send(&mut self, index: usize, id: &ServerId, waiting: &Waiting) -> bool {
        let now = self.now;
        let duration = STREAM / 2 + STREAM * self.draw(1000) as u32 / 1000;
        let requested = waiting.admission.requested_model.as_ref().unwrap();
        let server = self.servers.get_mut(id).unwrap();
        let dispatcher = &mut self.instances[index].dispatcher;
        let model = &requested.model;
        let is_unloading = matches!(
            &server.running, Some((Operation::UnloadModel(dropped), _)) if dropped == model
        );
        if is_unloading || !server.models.contains(model) {
            dispatcher.backends.record_rejection(now, id, requested);
            self.rejections += 1;
            return false;
        }
        // Beyond its slots, a server queues requests until another one ends.
        let mut ends: Vec<Instant> = server.streams.iter().map(|stream| stream.ends).collect();
        ends.sort();
        let queued = ends
            .len()
            .checked_sub(self.deployment.slots)
            .map(|place| ends[place]);
        let starts = queued.unwrap_or(now).max(now);
        server.streams.push(Stream {
            instance: index,
            request: waiting.request.clone(),
            model: model.clone(),
            ends: starts + duration,
        });
        begin_stream(dispatcher, now, id, &waiting.request);
        let waited = starts - waiting.admission.arrived;
        self.waits(&waiting.request).times.push(waited);
        true
    }

    fn send_heartbeats(&mut self, index: usize) {
        let now = self.now;
        let instances = self.instances.len() as u32;
        let holder = self.holder;
        let instance = &mut self.instances[index];
        let to_all = instance.next_heartbeat <= now;
        let to_holder = instance.demand_changed && instance.next_demand <= now;
        if !to_all && !to_holder {
            return;
        }
        instance.demand_changed = false;
        instance.next_demand = now + MIN_DEMAND_INTERVAL;
        if to_all {
            instance.next_heartbeat = now + heartbeat_interval(instances);
            instance.dispatcher.expire(now);
        }
        let mut heartbeat = instance.dispatcher.heartbeat(now);
        heartbeat.models = instance.dispatcher.demand.model_uses(now);
        if to_all {
            let message = Message::Heartbeat(None, Box::new(heartbeat));
            self.messages.push((now + LATENCY, message));
        } else if holder.is_some() {
            let message = Message::Heartbeat(holder, Box::new(heartbeat));
            self.messages.push((now + LATENCY, message));
        }
    }

    fn plan(&mut self) {
        let now = self.now;
        let Some(holder) = self.holder else {
            return;
        };
        if now < self.next_plan {
            return;
        }
        self.next_plan = now + MIN_PLAN_INTERVAL;
        let started = Instant::now();
        let (orders, reports) = self.instances[holder].dispatcher.plan(now);
        self.plan_times.push(started.elapsed());
        for id in reports {
            let report = self.servers[&id].report(now);
            let planner = &mut self.instances[holder].dispatcher.planner;
            planner.apply_report(now, &id, Some(report));
        }
        for order in orders {
            let lost = (self.draw(1000) as f64) < self.lost_replies * 1000.0;
            let reply = self.execute(&order);
            let reply = if lost { OrderReply::Unknown } else { reply };
            let planner = &mut self.instances[holder].dispatcher.planner;
            planner.apply_reply(now, &order.server, reply);
        }
    }

    fn execute(&mut self, order: &Order) -> OrderReply {
        let now = self.now;
        self.orders += 1;
        let server = self.servers.get_mut(&order.server).unwrap();
        let is_loading = matches!(&server.running, Some((Operation::LoadModel(_), _)));
        self.overlaps += usize::from(is_loading);
        if server.running.is_some() || server.orders != order.expected {
            self.conflicts += 1;
            return OrderReply::Conflict;
        }
        server.orders += 1;
        let model = order.operation.model().clone();
        let duration = match &order.operation {
            Operation::LoadModel(_) => {
                self.loads += 1;
                self.overcommits += usize::from(server.models.len() >= MODEL_SLOTS);
                let cached = server.disk.contains(&model);
                self.fetches += usize::from(!cached);
                match (server.memory.contains(&model), cached) {
                    (true, _) => self.deployment.memory_load,
                    (_, true) => self.deployment.disk_load,
                    _ => STORE_LOAD,
                }
            }
            _ => {
                let mut streams = server.streams.iter();
                let pending = streams.any(|stream| stream.model == model);
                self.unload_pending += usize::from(pending);
                UNLOAD
            }
        };
        server.running = Some((order.operation.clone(), now + duration));
        OrderReply::Accepted
    }

    fn broadcast(&mut self) {
        let now = self.now;
        let Some(holder) = self.holder else {
            return;
        };
        let dispatcher = &self.instances[holder].dispatcher;
        let (planner, list) = (&dispatcher.planner, &dispatcher.backends);
        if now < self.next_broadcast || !self.updates.has_change(now, planner, list) {
            return;
        }
        let interval = BROADCAST_INTERVAL_PER_INSTANCE * self.instances.len() as u32;
        self.next_broadcast = now + interval;
        let update = InventoryUpdate {
            fence: self.fence,
            relay: false,
            servers: self.updates.take_batch(now, planner, list),
        };
        let holder = &mut self.instances[holder].dispatcher;
        holder.apply_inventory(now, &update);
        self.messages
            .push((now + LATENCY, Message::Inventory(update)));
    }

    // Applies the platform's server list at all instances.
    fn apply_list(&mut self) {
        for (id, server) in &self.servers {
            let entry = BackendEntry {
                id: id.clone(),
                service: "engines".into(),
                address: "127.0.0.1:1".parse().unwrap(),
                zone: "a".into(),
                slots: self.deployment.slots as u32,
                draining: false,
                cold_left: Duration::ZERO,
                software: None,
                remaining: None,
                started_ms: 1,
                number: None,
                inventory: server.inventory(),
            };
            for instance in &mut self.instances {
                let backends = &mut instance.dispatcher.backends;
                backends.apply_entry(self.now, entry.clone());
            }
        }
        for instance in &mut self.instances {
            instance.dispatcher.freshness.record_read(self.now);
        }
    }
}

impl Server {
    fn advance(&mut self, now: Instant) {
        let Some((operation, ends)) = &self.running else {
            return;
        };
        let model = operation.model().clone();
        if now < *ends {
            return;
        }
        match operation {
            Operation::LoadModel(_) => {
                self.memory.retain(|name| *name != model);
                self.memory.push(model.clone());
                if self.memory.len() > MODEL_SLOTS {
                    self.memory.remove(0);
                }
                if !self.disk.contains(&model) {
                    self.disk.push(model.clone());
                }
                self.models.push(model);
            }
            _ if self.streams.iter().any(|stream| stream.model == model) => return,
            _ => self.models.retain(|name| *name != model),
        }
        self.running = None;
    }

    fn inventory(&self) -> Inventory {
        let models = self.models.iter();
        Inventory {
            orders: self.orders,
            models: models.map(|name| (name.clone(), Vec::new())).collect(),
            in_memory: self.memory.clone(),
            on_disk: self.disk.clone(),
        }
    }

    fn report(&self, now: Instant) -> StatusReport {
        let mut past = self.history.iter().rev();
        let old = past.find(|(since, _)| *since + REPORT_LAG <= now);
        let (_, report) = old.unwrap_or(&self.history[0]);
        report.clone()
    }
}

fn begin_stream(dispatcher: &mut Dispatcher, now: Instant, id: &ServerId, request: &RequestHead) {
    let requested = request.requested_model.as_ref().unwrap();
    dispatcher.backends.begin_request(now, id, 500.0);
    dispatcher
        .demand
        .begin_run(now, &"engines".into(), requested, id);
}

fn end_stream(dispatcher: &mut Dispatcher, now: Instant, id: &ServerId, stream: &Stream) {
    let requested = stream.request.requested_model.as_ref().unwrap();
    dispatcher.backends.end_request(id);
    dispatcher
        .demand
        .end_run(now, &"engines".into(), requested, id);
}

fn request(number: u64, kind: &str, model: &str) -> RequestHead {
    RequestHead {
        attempt: number.to_string(),
        host: "h".to_owned(),
        path: format!("/{kind}/x"),
        key: None,
        timeout: None,
        requested_model: Some(RequestedModel {
            model: model.into(),
            adapter: None,
        }),
        usage: None,
        expected_output: None,
        prompt: Vec::new(),
        resumes: None,
        last_event: None,
    }
}

fn catalog(names: &[ModelName], deployment: Deployment) -> Catalog {
    let mut catalog = Catalog::new(1, ClientLimits::default());
    let spec = |name: &ModelName| ModelSpec {
        name: name.clone(),
        weights_mb: 72_000.0,
        store_load: STORE_LOAD,
        disk_load: deployment.disk_load,
        memory_load: deployment.memory_load,
        adapter_mb: 66.0,
        adapters: 4,
    };
    catalog.add_service(Service {
        name: "engines".into(),
        max_connections: 100,
        warmup: None,
        engine: Some(EngineSpec {
            slots: deployment.slots as u32,
            memory_mb: 200_000.0,
            adapter_slots: 8,
            loads_per_second: 35.0,
            kv_tokens: 79_584,
            models: names
                .iter()
                .map(|name| (name.clone(), spec(name)))
                .collect(),
        }),
    });
    for (kind, target_ms, timeout) in [("busy", 800, 12), ("rare", 5000, 20)] {
        catalog.add_route(Route {
            name: kind.into(),
            host: "h".to_owned(),
            prefix: format!("/{kind}/"),
            kind: RouteKind::Stream,
            timeout: Duration::from_secs(timeout),
            target: Duration::from_millis(target_ms),
            gap_target: Duration::from_millis(300),
            priority: 0,
            services: vec![("engines".into(), 1)],
            max_attempts: 1,
            anonymous: true,
        });
    }
    catalog
}
