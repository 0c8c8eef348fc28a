//! Simulated model engines in virtual time.
//!
//! They load from store, disk and memory, execute one order at a time and report with a lag; orders
//! can be late and their replies lost.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_dispatch::backends::{BackendEntry, BackendTable};
use apricotwell_dispatch::catalog::{EngineSpec, ModelSpec, Service};
use apricotwell_dispatch::inventory_updates::InventoryUpdates;
use apricotwell_dispatch::model::Inventory;
use apricotwell_dispatch::orders::{Operation, OrderReply, StatusReport};
use apricotwell_dispatch::placement::{Order, PlacementPlanner};
use apricotwell_messages::{ModelUse, ServerInventory};
use apricotwell_types::ServerId;

const TICK: Duration = Duration::from_millis(20);
const REPORT_LAG: Duration = Duration::from_millis(200);
const UNLOAD: Duration = Duration::from_millis(60);
const STORE_LOAD: Duration = Duration::from_millis(8700);
const DISK_LOAD: Duration = Duration::from_millis(2000);
const MEMORY_LOAD: Duration = Duration::from_millis(1150);
const ADAPTER_LOAD: Duration = Duration::from_millis(20);
const ADAPTER_SLOTS: usize = 8;
const WEIGHTS: f64 = 72_000.0;
/// Longest delay of a late order.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(4);
/// Models whose weights fit into a server's main memory in addition to those that it runs.
const MEMORY_COPIES: usize = 2;

/// Size of a deployment.
#[derive(Clone, Copy)]
pub(crate) struct Setup {
    pub(crate) servers: usize,
    pub(crate) models: usize,
    pub(crate) busy: usize,
    pub(crate) model_slots: usize,
    pub(crate) copies: usize,
}

struct Engine {
    started_ms: u64,
    orders: u64,
    models: Vec<(String, Vec<String>)>,
    disk: Vec<String>,
    memory: Vec<String>,
    running: Option<(Operation, Instant, bool)>,
    late: Vec<(Instant, Order)>,
    // Past states with their times, for reports that lag.
    history: Vec<(Instant, StatusReport)>,
}

pub(crate) struct Engines {
    now: Instant,
    setup: Setup,
    service: Service,
    engines: BTreeMap<String, Engine>,
    table: BackendTable,
    planner: PlacementPlanner,
    rates: BTreeMap<String, f64>,
    waiting: BTreeMap<(String, String), u32>,
    lost: f64,
    random: u64,
    pub(crate) orders: Vec<Operation>,
    /// Servers that received these orders.
    pub(crate) ordered: Vec<ServerId>,
    pub(crate) overcommits: usize,
    pub(crate) fetched: Vec<String>,
    pub(crate) max_fetches: usize,
}

impl Engines {
    pub(crate) fn new(setup: Setup, seed: u64) -> Self {
        let names: Vec<String> = (0..setup.models)
            .map(|index| match index < setup.busy {
                true => format!("busy-{index}"),
                false => format!("rare-{index}"),
            })
            .collect();
        let mut engines = Self {
            now: Instant::now(),
            setup,
            service: service(&names, setup),
            engines: BTreeMap::new(),
            table: BackendTable::default(),
            planner: PlacementPlanner::default(),
            rates: BTreeMap::new(),
            waiting: BTreeMap::new(),
            lost: 0.0,
            random: seed | 1,
            orders: Vec::new(),
            ordered: Vec::new(),
            overcommits: 0,
            fetched: Vec::new(),
            max_fetches: 0,
        };
        engines.place_models(&names);
        engines
    }

    // Places each busy model on an equal share of the servers and each rare one on a single server;
    // spreads further copies on disk at random.
    fn place_models(&mut self, names: &[String]) {
        let mut rare = names[self.setup.busy..].iter();
        for index in 0..self.setup.servers {
            let mut held = vec![names[index % self.setup.busy.max(1)].clone()];
            held.extend(rare.by_ref().take(self.setup.model_slots - 1).cloned());
            let mut disk = held.clone();
            while disk.len() < self.setup.copies {
                let other = names[self.draw(names.len())].clone();
                if !disk.contains(&other) {
                    disk.push(other);
                }
            }
            let engine = Engine {
                started_ms: 1,
                orders: 0,
                memory: held.iter().take(MEMORY_COPIES).cloned().collect(),
                models: held.into_iter().map(|name| (name, Vec::new())).collect(),
                disk,
                running: None,
                late: Vec::new(),
                history: Vec::new(),
            };
            self.engines.insert(format!("server-{index}"), engine);
        }
    }

    fn draw(&mut self, limit: usize) -> usize {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) as usize % limit
    }

    pub(crate) fn lose_replies(&mut self, share: f64) {
        self.lost = share;
    }

    pub(crate) fn set_rate(&mut self, model: &str, rate: f64) {
        self.rates.insert(model.to_owned(), rate);
    }

    pub(crate) fn unheld_model(&self) -> String {
        let names = self.service.engine.as_ref().unwrap().models.keys();
        let mut unheld = names.filter(|name| self.holders(name) == 0);
        unheld.next().unwrap().to_string()
    }

    pub(crate) fn holders(&self, model: &str) -> usize {
        let holds = |engine: &&Engine| engine.models.iter().any(|(name, _)| name == model);
        self.engines.values().filter(holds).count()
    }

    /// Evacuates a zone, or ends its evacuation.
    pub(crate) fn evacuate(&mut self, zone: &str, is_evacuated: bool) {
        let evacuations = &mut self.table.evacuations;
        evacuations.apply(&zone.into(), is_evacuated);
    }

    /// Returns the servers outside of a zone that hold a model.
    pub(crate) fn holders_outside(&self, zone: &str, model: &str) -> usize {
        let holds = |engine: &Engine| engine.models.iter().any(|(name, _)| name == model);
        let outside = self.engines.iter().filter(|(id, _)| zone_of(id) != zone);
        outside.filter(|(_, engine)| holds(engine)).count()
    }

    pub(crate) fn restart(&mut self, server: &str) {
        let engine = self.engines.get_mut(server).unwrap();
        engine.started_ms += 1;
        engine.orders = 0;
        engine.models.clear();
        engine.memory.clear();
        engine.running = None;
        engine.late.clear();
        engine.history.clear();
    }

    /// Replaces a server by one with an empty disk.
    pub(crate) fn replace(&mut self, server: &str) {
        self.restart(server);
        let engine = self.engines.get_mut(server).unwrap();
        engine.disk.clear();
    }

    /// Returns a model that only this server has a copy of.
    pub(crate) fn sole_copy(&self, server: &str) -> String {
        let elsewhere = |name: &String| {
            let mut others = self.engines.iter().filter(|(id, _)| *id != server);
            others.any(|(_, engine)| engine.disk.contains(name))
        };
        let mut own = self.engines[server].disk.iter();
        own.find(|name| !elsewhere(name)).unwrap().clone()
    }

    /// Makes every server with a copy of a model start to load another one.
    pub(crate) fn occupy_copies(&mut self, model: &str) {
        let with_copy = |engine: &&Engine| engine.disk.iter().any(|name| name == model);
        let count = self.engines.values().filter(with_copy).count();
        let ids: Vec<String> = self.engines.keys().cloned().collect();
        let mut occupied = 0;
        for id in ids {
            if !self.engines[&id].disk.iter().any(|name| name == model) || occupied == count {
                continue;
            }
            let other = self.unheld_copy(&id, model);
            let start = self.now;
            let key = (other.clone(), String::new());
            self.waiting.insert(key.clone(), 1);
            while self.engines[&id].running.is_none()
                && self.now < start + Duration::from_millis(300)
            {
                self.tick();
            }
            self.waiting.remove(&key);
            occupied += 1;
        }
    }

    fn unheld_copy(&self, id: &str, except: &str) -> String {
        let disk = self.engines[id].disk.iter();
        let mut others = disk.filter(|name| *name != except && self.holders(name) == 0);
        others.next().cloned().unwrap_or_default()
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    pub(crate) fn wait_for(&mut self, model: &str) -> Duration {
        self.wait(model, "")
    }

    pub(crate) fn wait_for_adapter(&mut self, model: &str, adapter: &str) -> Duration {
        self.wait(model, adapter)
    }

    fn wait(&mut self, model: &str, adapter: &str) -> Duration {
        let start = self.now;
        let key = (model.to_owned(), adapter.to_owned());
        self.waiting.insert(key.clone(), 1);
        while !self.can_send(model, adapter) && self.now < start + Duration::from_secs(60) {
            self.tick();
        }
        self.waiting.remove(&key);
        self.now - start
    }

    /// Simulates requests for rare models, drawn uniformly; returns how long each waited for its model.
    pub(crate) fn simulate_rare(&mut self, time: Duration, rate: f64) -> Vec<Duration> {
        let end = self.now + time;
        let rare = self.setup.models - self.setup.busy;
        let (mut open, mut waits, mut due) = (Vec::new(), Vec::new(), 0.0);
        while self.now < end || (!open.is_empty() && self.now < end + Duration::from_secs(30)) {
            if self.now < end {
                due += rate * TICK.as_secs_f64();
            }
            while due >= 1.0 {
                due -= 1.0;
                let model = format!("rare-{}", self.setup.busy + self.draw(rare));
                *self
                    .waiting
                    .entry((model.clone(), String::new()))
                    .or_default() += 1;
                open.push((model, self.now));
            }
            self.tick();
            let now = self.now;
            open.retain(|(model, start)| {
                let served = self.can_send(model, "");
                if served {
                    waits.push(now - *start);
                    self.waiting.remove(&(model.clone(), String::new()));
                }
                !served
            });
        }
        waits
    }

    fn can_send(&self, model: &str, adapter: &str) -> bool {
        self.planner.servers().any(|(id, server)| {
            let inventory = server.servable(self.now).unwrap_or_default();
            let adapters = inventory.adapters(model);
            let servable = adapters.is_some_and(|adapters| {
                adapter.is_empty() || adapters.iter().any(|name| **name == *adapter)
            });
            let held = self.engines[&**id].models.iter();
            servable && held.into_iter().any(|(name, _)| name == model)
        })
    }

    fn tick(&mut self) {
        self.now += TICK;
        let ids: Vec<String> = self.engines.keys().cloned().collect();
        for id in &ids {
            self.advance(id);
            let entry = self.entry(id);
            self.table.apply_entry(self.now, entry);
        }
        self.planner
            .sync_servers(self.now, &self.table, &self.service);
        for id in self.planner.take_due_reports(self.now) {
            let report = self.report(&id);
            self.planner.apply_report(self.now, &id, report);
        }
        let uses = self.uses();
        let orders = self
            .planner
            .plan(self.now, &self.service, &self.table, &uses);
        for order in orders {
            self.orders.push(order.operation.clone());
            self.ordered.push(order.server.clone());
            let reply = self.send_order(&order);
            self.planner.apply_reply(self.now, &order.server, reply);
        }
        let fetching = |engine: &&Engine| matches!(engine.running, Some((_, _, true)));
        let fetches = self.engines.values().filter(fetching).count();
        self.max_fetches = self.max_fetches.max(fetches);
    }

    /// Returns the servers in the lease holder's next broadcast.
    pub(crate) fn next_broadcast(&self, updates: &mut InventoryUpdates) -> Vec<ServerInventory> {
        updates.take_batch(self.now, &self.planner, &self.table)
    }

    fn uses(&self) -> Vec<ModelUse> {
        let usage = |model: &str, adapter: &str, waiting, rate: f64| ModelUse {
            service: self.service.name.to_string(),
            model: model.to_owned(),
            adapter: adapter.to_owned(),
            waiting,
            rate: (rate * 1000.0) as u32,
            timeout_ms: 10_000,
            concurrent: None,
            runs: Vec::new(),
        };
        let waiting = self.waiting.iter();
        let rates = self.rates.iter();
        waiting
            .map(|((model, adapter), count)| usage(model, adapter, *count, 0.0))
            .chain(rates.map(|(model, rate)| usage(model, "", 0, *rate)))
            .collect()
    }

    fn entry(&self, id: &str) -> BackendEntry {
        let engine = &self.engines[id];
        BackendEntry {
            id: id.into(),
            service: self.service.name.clone(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: zone_of(id).into(),
            slots: 64,
            draining: false,
            remaining: None,
            cold_left: Duration::ZERO,
            software: None,
            started_ms: engine.started_ms,
            number: None,
            inventory: engine.inventory(0),
        }
    }

    fn report(&mut self, id: &str) -> Option<StatusReport> {
        let seen = self.now - REPORT_LAG;
        let engine = &self.engines[id];
        let old = engine
            .history
            .iter()
            .rev()
            .find(|(since, _)| *since <= seen);
        let first = engine.history.first();
        old.or(first).map(|(_, report)| report.clone())
    }

    fn advance(&mut self, id: &str) {
        let now = self.now;
        let engine = self.engines.get_mut(id).unwrap();
        if let Some((operation, ends, _)) = engine.running.clone()
            && ends <= now
        {
            engine.running = None;
            engine.apply(&operation);
        }
        let due: Vec<Order> = engine
            .late
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, order)| order.clone())
            .collect();
        engine.late.retain(|(at, _)| *at > now);
        for order in due {
            self.execute(&order);
        }
        let engine = self.engines.get_mut(id).unwrap();
        let report = StatusReport {
            busy: engine.running.is_some(),
            inventory: engine.inventory(engine.orders),
            incoming: Vec::new(),
        };
        engine.history.push((now, report));
    }

    fn send_order(&mut self, order: &Order) -> OrderReply {
        let lost = self.lost > 0.0 && (self.draw(1000) as f64) < self.lost * 1000.0;
        if !lost {
            return self.execute(order);
        }
        let late = self.now + MAX_ORDER_DELAY.mul_f64(self.draw(100) as f64 / 100.0);
        let engine = self.engines.get_mut(&*order.server).unwrap();
        engine.late.push((late, order.clone()));
        OrderReply::Unknown
    }

    fn execute(&mut self, order: &Order) -> OrderReply {
        let now = self.now;
        let model_slots = self.setup.model_slots;
        let engine = self.engines.get_mut(&*order.server).unwrap();
        if engine.running.is_some() || engine.orders != order.expected {
            return OrderReply::Conflict;
        }
        engine.orders += 1;
        let (duration, fetches) = engine.duration(&order.operation);
        match &order.operation {
            Operation::LoadModel(_) if engine.models.len() >= model_slots => self.overcommits += 1,
            Operation::LoadAdapter(..) if engine.adapters() >= ADAPTER_SLOTS => {
                self.overcommits += 1;
            }
            _ => {}
        }
        if fetches {
            self.fetched.push(order.operation.model().to_string());
        }
        match &order.operation {
            Operation::UnloadAdapter(..) => {
                engine.apply(&order.operation);
                OrderReply::Holds
            }
            Operation::LoadAdapter(..) => {
                engine.apply(&order.operation);
                OrderReply::Accepted
            }
            _ => {
                engine.running = Some((order.operation.clone(), now + duration, fetches));
                OrderReply::Accepted
            }
        }
    }
}

impl Engine {
    fn adapters(&self) -> usize {
        self.models.iter().map(|(_, adapters)| adapters.len()).sum()
    }

    fn duration(&self, operation: &Operation) -> (Duration, bool) {
        let model = operation.model().to_string();
        match operation {
            Operation::LoadModel(_) if self.memory.contains(&model) => (MEMORY_LOAD, false),
            Operation::LoadModel(_) if self.disk.contains(&model) => (DISK_LOAD, false),
            Operation::LoadModel(_) => (STORE_LOAD, true),
            Operation::UnloadModel(_) => (UNLOAD, false),
            _ => (ADAPTER_LOAD, false),
        }
    }

    fn apply(&mut self, operation: &Operation) {
        let model = operation.model().to_string();
        match operation {
            Operation::LoadModel(_) => {
                self.memory.retain(|name| *name != model);
                self.memory.push(model.clone());
                if self.memory.len() > MEMORY_COPIES {
                    self.memory.remove(0);
                }
                if !self.disk.contains(&model) {
                    self.disk.push(model.clone());
                }
                self.models.push((model, Vec::new()));
            }
            Operation::UnloadModel(_) => self.models.retain(|(name, _)| *name != model),
            Operation::LoadAdapter(_, adapter) => {
                for (name, adapters) in &mut self.models {
                    if *name == model {
                        adapters.push(adapter.to_string());
                    }
                }
            }
            Operation::UnloadAdapter(_, adapter) => {
                for (_, adapters) in &mut self.models {
                    adapters.retain(|name| **name != **adapter);
                }
            }
        }
    }

    fn inventory(&self, orders: u64) -> Inventory {
        let names = |names: &[String]| names.iter().map(|name| name.as_str().into()).collect();
        Inventory {
            orders,
            models: self
                .models
                .iter()
                .map(|(name, adapters)| {
                    let adapters = adapters.iter().map(|name| name.as_str().into());
                    (name.as_str().into(), adapters.collect())
                })
                .collect(),
            in_memory: names(&self.memory),
            on_disk: names(&self.disk),
        }
    }
}

fn service(names: &[String], setup: Setup) -> Service {
    let spec = |name: &String| ModelSpec {
        name: name.as_str().into(),
        weights_mb: WEIGHTS,
        store_load: STORE_LOAD,
        disk_load: DISK_LOAD,
        memory_load: MEMORY_LOAD,
        adapter_mb: 66.0,
        adapters: 60,
    };
    Service {
        name: "engines".into(),
        max_connections: 370,
        warmup: None,
        engine: Some(EngineSpec {
            slots: 64,
            memory_mb: WEIGHTS * setup.model_slots as f64 + 2_000.0,
            adapter_slots: ADAPTER_SLOTS,
            loads_per_second: 2.1,
            kv_tokens: 130_000,
            models: names
                .iter()
                .map(|name| (name.as_str().into(), spec(name)))
                .collect(),
        }),
    }
}

/// Returns the zone of a server.
pub(crate) fn zone_of(id: &str) -> &'static str {
    let last = id.bytes().last().unwrap_or_default();
    ["zone-0", "zone-1", "zone-2"][usize::from(last % 3)]
}
