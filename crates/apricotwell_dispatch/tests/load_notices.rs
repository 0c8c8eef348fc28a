//! Notices of the lease holder to instances whose requests wait.

use std::time::{Duration, Instant};

use apricotwell_dispatch::backends::BackendTable;
use apricotwell_dispatch::load_notices::{LoadNotice, LoadNotices};
use apricotwell_dispatch::placement::PlacementPlanner;
use apricotwell_dispatch::prelude::*;
use apricotwell_messages::ModelUse;
use apricotwell_types::InstanceId;

const SERVICE: &str = "engines";
const MODEL: &str = "m";
const SERVER: &str = "server";
/// Step of the virtual clock.
const STEP: Duration = Duration::from_millis(10);
/// Time that a request with a target of 600 ms can lose between the load of its adapter and the notice,
/// if the order and the prompt take the rest.
const MAX_NOTICE_DELAY: Duration = Duration::from_millis(150);

struct Holder {
    now: Instant,
    service: Service,
    backends: BackendTable,
    planner: PlacementPlanner,
    notices: LoadNotices,
}

impl Holder {
    fn new() -> Self {
        let now = Instant::now();
        let inventory = Inventory {
            models: vec![(MODEL.into(), Vec::new())],
            ..Inventory::default()
        };
        let mut backends = BackendTable::default();
        backends.apply_entry(now, entry(inventory.clone()));
        let mut holder = Self {
            now,
            service: service(),
            backends,
            planner: PlacementPlanner::default(),
            notices: LoadNotices::default(),
        };
        holder
            .planner
            .sync_servers(now, &holder.backends, &holder.service);
        let report = StatusReport {
            inventory,
            ..StatusReport::default()
        };
        holder.planner.take_due_reports(now);
        holder.planner.apply_report(now, SERVER, Some(report));
        holder
    }

    // Plans for `waiting`, lets the server accept all orders, and returns the notices.
    fn step(&mut self, waiting: &[(InstanceId, ModelUse)]) -> Vec<LoadNotice> {
        self.now += STEP;
        let uses = waiting.iter().map(|(_, usage)| usage);
        let orders = self
            .planner
            .plan(self.now, &self.service, &self.backends, uses);
        for order in orders {
            let accepted = OrderReply::Accepted;
            self.planner.apply_reply(self.now, &order.server, accepted);
        }
        let waiting = waiting.iter().map(|(id, usage)| (id, usage));
        self.notices.take(self.now, &self.planner, waiting)
    }
}

// Guards against requests that wait for the next broadcast after their adapter was loaded.
#[test]
fn instance_that_waits_for_an_adapter_is_told_within_its_requests_targets() {
    let mut holder = Holder::new();
    let waiting = [(InstanceId::from("waiter"), usage("a1"))];
    let start = holder.now;
    let notice = loop {
        let notices = holder.step(&waiting);
        if let [notice] = &notices[..] {
            break notice.clone();
        }
        assert!(holder.now - start < MAX_NOTICE_DELAY, "no notice in time");
    };
    assert_eq!(&*notice.recipient, "waiter");
    assert_eq!(notice.servers[0].server, SERVER);
    assert_eq!(notice.servers[0].models[0].adapters, ["a1"]);
}

// Guards against a notice that is due only with the next report of the server.
#[test]
fn timer_of_an_accepted_adapter_is_due_when_requests_can_use_it() {
    let mut holder = Holder::new();
    let waiting = [(InstanceId::from("waiter"), usage("a1"))];
    assert!(holder.step(&waiting).is_empty(), "the load takes a moment");
    let due = holder.planner.next_due(holder.now).unwrap();
    assert!(due < MAX_NOTICE_DELAY, "next plan only in {due:?}");
}

// Guards against a lost notice that is never repeated, and against notices at each step.
#[test]
fn lost_notice_is_repeated_while_requests_wait_and_not_sent_in_between() {
    let mut holder = Holder::new();
    let waiting = [(InstanceId::from("waiter"), usage(""))];
    let sent: usize = (0..100).map(|_| holder.step(&waiting).len()).sum();
    assert!((2..=4).contains(&sent), "{sent} notices in a second");
}

// Guards against notices about requests that no longer wait, and against a new wait that gets none.
#[test]
fn instance_that_no_longer_waits_gets_no_notice() {
    let mut holder = Holder::new();
    let waiting = [(InstanceId::from("waiter"), usage(""))];
    assert_eq!(holder.step(&waiting).len(), 1);
    for _ in 0..100 {
        assert!(holder.step(&[]).is_empty());
    }
    assert_eq!(holder.step(&waiting).len(), 1, "it waits again");
}

fn usage(adapter: &str) -> ModelUse {
    ModelUse {
        service: SERVICE.to_owned(),
        model: MODEL.to_owned(),
        adapter: adapter.to_owned(),
        waiting: 1,
        rate: 1000,
        timeout_ms: 2000,
        concurrent: None,
        runs: Vec::new(),
    }
}

fn entry(inventory: Inventory) -> BackendEntry {
    BackendEntry {
        id: SERVER.into(),
        service: SERVICE.into(),
        address: "10.1.0.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: 12,
        draining: false,
        cold_left: Duration::ZERO,
        software: None,
        remaining: None,
        started_ms: 1,
        number: None,
        inventory,
    }
}

fn service() -> Service {
    let model = ModelSpec {
        name: MODEL.into(),
        weights_mb: 70_000.0,
        store_load: Duration::from_secs(10),
        disk_load: Duration::from_secs(1),
        memory_load: Duration::from_millis(600),
        adapter_mb: 60.0,
        adapters: 4,
    };
    Service {
        name: SERVICE.into(),
        max_connections: 100,
        warmup: None,
        engine: Some(EngineSpec {
            slots: 12,
            memory_mb: 200_000.0,
            adapter_slots: 8,
            loads_per_second: 40.0,
            kv_tokens: 57_784,
            models: [(model.name.clone(), model)].into_iter().collect(),
        }),
    }
}
