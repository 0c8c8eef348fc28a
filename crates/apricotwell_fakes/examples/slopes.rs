//! Measures how the cost of operations grows with the size of the fleet, for `docs/CAPACITY.md`.
//!
//! Prints one line per measurement. Run it with `cargo run --release --example slopes`.

use std::hint::black_box;
use std::time::{Duration, Instant};

use apricotwell_admission::{FairQueue, QueuedRequest};
use apricotwell_claims::{BodyDigest, ClaimTable};
use apricotwell_fakes::{Simulation, SimulationOptions};
use apricotwell_limits::{Bucket, Escrow, Rate};
use apricotwell_placement::{DemandTable, ModelUsage, PlacementPlanner, PlacementView, ServerView};
use apricotwell_records::{
    AcquireLeases, Body, ClaimBody, ClaimRecord, DecideLoad, KeyClaimed, OperatorKey, PutConfig,
    Record, ServerUp, SettleOutcome, SettleReplica,
};
use apricotwell_routing::{Candidate, Router};
use apricotwell_state::{Genesis, State, chunk_checkpoint, restore_checkpoint};
use apricotwell_types::{ServerId, Set, WorkClass};

fn main() {
    if std::env::args().nth(1).is_none_or(|only| only == "members") {
        members();
    }
    state();
    plan();
    route();
    queue();
    tokens();
    claims();
}

// Measures bytes, messages and CPU time of a settled fleet, per daemon and second, and the time of
// a failover.
fn members() {
    for instances in [9, 30, 90, 180] {
        let mut sim = Simulation::new(SimulationOptions {
            instances,
            shards: 64,
            ..SimulationOptions::default()
        });
        let settle = Duration::from_secs(if instances > 100 { 20 } else { 12 });
        sim.run_for(settle);
        let (bytes, messages) = (sim.bytes_sent, sim.messages);
        let appends = sim.log.appends;
        let virtual_seconds = 5;
        let began = Instant::now();
        sim.run_for(Duration::from_secs(virtual_seconds));
        let cpu = began.elapsed();
        let per = |value: u64| value as f64 / (instances as u64 * virtual_seconds) as f64;
        println!(
            "members {instances}: {:.0} bytes/s {:.1} messages/s {:.3} appends/s {:.2} ms cpu/s per daemon",
            per(sim.bytes_sent - bytes),
            per(sim.messages - messages),
            per(sim.log.appends - appends),
            cpu.as_secs_f64() * 1000.0 / (instances as u64 * virtual_seconds) as f64,
        );
    }
    for instances in [9, 30, 90] {
        let mut sim = Simulation::new(SimulationOptions {
            instances,
            shards: 64,
            ..SimulationOptions::default()
        });
        sim.run_for(Duration::from_secs(12));
        let killed = sim.elapsed();
        sim.kill("entry-2");
        let settled = sim.run_until(Duration::from_secs(30), Simulation::is_settled);
        let took = (sim.elapsed() - killed).as_secs_f64();
        println!("failover {instances}: all shards held again {settled} after {took:.2} s");
    }
}

// State of a fleet, with the number and size of the records that it was built from.
struct FleetState {
    state: State,
    record_bytes: u64,
    records: u64,
}

// Builds the state of a fleet with servers, models and loaded adapters.
fn build(servers: usize, models: usize, adapters: usize, loaded: usize) -> FleetState {
    let root = OperatorKey::from_seed([1; 32]);
    let mut fleet = FleetState {
        state: State::new(Genesis {
            root_key: root.public_hex(),
            shards: 1024,
        }),
        record_bytes: 0,
        records: 0,
    };
    let mut sequence = 0;
    put(
        &mut fleet,
        &root,
        "/platform/pools/p",
        "kind = \"engine\"\nmemory_mib = 1000000\nslots = 8\n",
    );
    for index in 0..models {
        let text = "version = \"1\"\nmemory_mib = 1000\npool = \"p\"\nmax_replicas = 8\n";
        put(
            &mut fleet,
            &root,
            &format!("/platform/models/m{index}"),
            text,
        );
    }
    for index in 0..adapters {
        let text = format!(
            "base = \"m{}\"\nversion = \"1\"\nmemory_mib = 10\n",
            index % models
        );
        put(
            &mut fleet,
            &root,
            &format!("/teams/o{}/adapters/a{index}", index % 200),
            &text,
        );
    }
    let mut write = |fleet: &mut FleetState, body| {
        sequence += 1;
        let record = Record::new("entry-1", 1_796_337_954_803_960, sequence, body);
        apply(fleet, &record)
    };
    let acquire = AcquireLeases {
        shards: (0..1024).collect(),
        fences: vec![0; 1024],
        holder: "entry-1".to_owned(),
        incarnation: 1_796_337_954_803_960,
    };
    let fence = write(&mut fleet, Body::AcquireLeases(acquire));
    for index in 0..servers {
        write(
            &mut fleet,
            Body::ServerUp(ServerUp {
                server: format!("s{index}"),
                incarnation: 1_796_337_954_803,
                pool: "p".to_owned(),
                address: "10.20.30.40:8080".to_owned(),
                zone: "zone-a".to_owned(),
                leaving: false,
            }),
        );
    }
    for index in 0..models.min(servers) {
        load(
            &mut fleet,
            &mut write,
            format!("m{index}"),
            index % servers,
            fence,
        );
    }
    for index in (0..adapters)
        .filter(|index| index % models < servers)
        .take(loaded)
    {
        let base = index % models;
        let model = format!("m{base}:o{}/a{index}", index % 200);
        load(&mut fleet, &mut write, model, base, fence);
    }
    fleet
}

fn load<F>(fleet: &mut FleetState, write: &mut F, model: String, server: usize, fence: u64)
where
    F: FnMut(&mut FleetState, Body) -> u64,
{
    let decide = DecideLoad {
        model,
        version: "1".to_owned(),
        server: format!("s{server}"),
        incarnation: 1_796_337_954_803,
        fence,
    };
    let replica = write(fleet, Body::DecideLoad(decide));
    let outcome = SettleOutcome::Loaded as i32;
    write(
        fleet,
        Body::SettleReplica(SettleReplica {
            replica,
            fence,
            outcome,
        }),
    );
}

fn put(fleet: &mut FleetState, root: &OperatorKey, path: &str, text: &str) {
    let mut put = PutConfig {
        path: path.to_owned(),
        expected: 0,
        value: Some(text.to_owned()),
        change: 1,
        signature: Vec::new(),
    };
    root.sign("root", &mut put);
    apply(fleet, &Record::new("root", 0, 0, Body::PutConfig(put)));
}

fn apply(fleet: &mut FleetState, record: &Record) -> u64 {
    let offset = fleet.state.next();
    let bytes = record.to_bytes();
    fleet.records += 1;
    fleet.record_bytes += bytes.len() as u64;
    if let Err(reason) = fleet.state.apply_bytes(offset, &bytes) {
        println!("unexpected rejection: {reason} of {record:?}");
    }
    offset
}

fn resident_mib() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0.0);
    pages * 4096.0 / (1 << 20) as f64
}

fn state() {
    for (servers, models, adapters, loaded) in [
        (27, 100, 110, 100),
        (500, 200, 5_000, 1_000),
        (5_100, 990, 52_000, 13_500),
    ] {
        let before = resident_mib();
        let began = Instant::now();
        let fleet = build(servers, models, adapters, loaded);
        let fold = began.elapsed();
        let memory = resident_mib() - before;
        let began = Instant::now();
        let chunks = chunk_checkpoint(&fleet.state, "entry-1", 1);
        let write = began.elapsed();
        let bytes: Vec<u8> = chunks.into_iter().flat_map(|chunk| chunk.bytes).collect();
        let began = Instant::now();
        let restored = restore_checkpoint(&bytes, fleet.state.genesis()).is_ok();
        println!(
            "state {servers} servers {models} models {adapters} adapters {loaded} loaded: {memory:.0} MiB, \
             {} records {:.0} bytes each, fold {:.1} us each, checkpoint {} bytes written in {:.0} ms \
             restored {restored} in {:.0} ms",
            fleet.records,
            fleet.record_bytes as f64 / fleet.records as f64,
            fold.as_secs_f64() * 1e6 / fleet.records as f64,
            bytes.len(),
            write.as_secs_f64() * 1000.0,
            began.elapsed().as_secs_f64() * 1000.0,
        );
    }
}

// Measures one plan with four models that need loads, by the number of servers and replicas.
fn plan() {
    for (servers, models, adapters, loaded) in [
        (27, 100, 110, 100),
        (500, 200, 5_000, 1_000),
        (5_100, 990, 52_000, 13_500),
    ] {
        let fleet = build(servers, models, adapters, loaded);
        let now = Instant::now();
        let mut demand = DemandTable::new(Duration::from_secs(60));
        for index in 0..4 {
            let usage = ModelUsage {
                waiting: 1,
                running: 0,
                deadline: now + Duration::from_secs(5),
            };
            demand.record_usage(now, &format!("m{}", models - 1 - index), "entry-1", usage);
        }
        let views = fleet.state.ledger().servers();
        let servers = views
            .map(|(id, _)| {
                (
                    id.clone(),
                    ServerView {
                        usable: true,
                        cached: Set::default(),
                    },
                )
            })
            .collect();
        let stuck = Set::default();
        let view = PlacementView {
            state: &fleet.state,
            demand: &demand,
            servers: &servers,
            stuck: &stuck,
        };
        // Returns a fencing token for the shards that one of 410 daemons holds.
        let fence_of = |model: &str| {
            fleet
                .state
                .model_shard(model)
                .is_multiple_of(410)
                .then_some(1)
        };
        let mut planner = PlacementPlanner::default();
        let rounds = 20;
        let began = Instant::now();
        for _ in 0..rounds {
            black_box(planner.plan(now, &view, fence_of));
        }
        println!(
            "plan {models} models {adapters} adapters {loaded} loaded: {:.0} us",
            began.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
        );
    }
}

fn measure(name: &str, count: u32, mut run: impl FnMut(u32)) {
    let began = Instant::now();
    for index in 0..count {
        run(index);
    }
    let nanos = began.elapsed().as_secs_f64() * 1e9 / f64::from(count);
    println!("{name}: {nanos:.0} ns");
}

fn route() {
    for servers in [4, 16, 64, 256] {
        let now = Instant::now();
        let mut router = Router::new("zone-a".into());
        let candidates: Vec<Candidate> = (0..servers)
            .map(|index| Candidate {
                server: format!("s{index}").into(),
                zone: if index % 4 == 0 { "zone-a" } else { "zone-b" }.into(),
                slots: 1_000_000,
                ready_at: now,
            })
            .collect();
        measure(&format!("route among {servers} servers"), 20_000, |index| {
            if let Some(server) =
                router.select_server(now, &candidates, Some(u64::from(index % 100)))
            {
                let server: ServerId = server;
                router.begin_request(&server, Some(u64::from(index % 100)));
            }
        });
    }
}

fn queue() {
    for (orgs, waiting) in [(5, 100), (5, 2_000), (200, 2_000), (200, 20_000)] {
        let now = Instant::now();
        let mut queue = FairQueue::new(1_000_000);
        let entry = |request: u64| QueuedRequest {
            request,
            org: format!("o{}", request % orgs).into(),
            model: format!("m{}", request % 7).into(),
            class: WorkClass::SoftDeadline,
            deadline: now + Duration::from_millis(request % 10_000),
            cost: 100 + request % 50,
        };
        for request in 0..waiting {
            let _ = queue.push(entry(request), 1, usize::MAX);
        }
        measure(
            &format!("queue push and pop, {orgs} organisations {waiting} waiting"),
            20_000,
            |index| {
                let _ = queue.push(entry(waiting + u64::from(index)), 1, usize::MAX);
                black_box(queue.pop(|_| true));
            },
        );
    }
}

fn tokens() {
    let now = Instant::now();
    let rate = Rate {
        per_second: 1_000_000_000,
        burst: 1_000_000_000_000,
    };
    let mut bucket = Bucket::full(now, rate, Duration::from_secs(2));
    let mut escrow = Escrow::new(1);
    if let Some(grant) = bucket.grant(now, "entry-1", 500_000_000_000) {
        escrow.add(now, grant);
    }
    measure("tokens taken from escrow", 200_000, |_| {
        black_box(escrow.take(now, 100));
        escrow.settle(100, 40);
    });
    for instances in [9, 410] {
        let mut bucket = Bucket::full(now, rate, Duration::from_secs(2));
        let names: Vec<String> = (0..instances)
            .map(|index| format!("entry-{index}"))
            .collect();
        measure(
            &format!("bucket asked by {instances} instances"),
            20_000,
            |index| {
                let at = now + Duration::from_millis(u64::from(index));
                let name = &names[index as usize % names.len()];
                black_box(bucket.grant(at, name, 100));
            },
        );
    }
}

fn claims() {
    for claims in [1_000_u32, 10_000, 100_000] {
        let mut table = ClaimTable::default();
        let before = resident_mib();
        let mut bytes = 0;
        let key = |index: u32| {
            let mut key = [0; 16];
            key[..4].copy_from_slice(&index.to_le_bytes());
            key
        };
        measure(&format!("claim applied up to {claims}"), claims, |index| {
            let claimed = KeyClaimed {
                key: key(index).to_vec(),
                body: vec![1; 16],
                attempt: "entry-1/1796337954803960/123456/1".to_owned(),
            };
            let record = ClaimRecord {
                fence: 1,
                written_ms: 1,
                body: Some(ClaimBody::KeyClaimed(claimed)),
            };
            bytes += record.to_bytes().len();
            table.apply(u64::from(index) + 1, &record);
        });
        measure(&format!("claim verdict among {claims}"), 20_000, |index| {
            black_box(table.verdict(BodyDigest(key(index % claims)), BodyDigest([1; 16]), "x"));
        });
        println!(
            "claims {claims}: {:.0} bytes a record, {:.1} MiB",
            bytes as f64 / f64::from(claims),
            resident_mib() - before
        );
    }
}
