//! Load and unload orders, and memory limits, under faults in virtual time.

use std::time::Duration;

use apricotwell_fakes::{Call, CallOutcome, Simulation, SimulationOptions};
use apricotwell_state::ReplicaPhase;
use apricotwell_timeline::EventKind;
use apricotwell_types::{RefusalKind, RunOutcome};

const SEEDS: u64 = 8;
const NONE: Vec<String> = Vec::new();

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn simulation(options: SimulationOptions) -> Simulation {
    let mut sim = Simulation::new(options);
    sim.configure();
    sim.run_for(seconds(8));
    assert!(sim.is_settled());
    sim
}

fn holder_of(sim: &Simulation, model: &str) -> String {
    let shard = sim.replay_log().model_shard(model);
    sim.holders(shard).first().cloned().unwrap()
}

fn answered(sim: &Simulation, call: u64) -> bool {
    matches!(
        sim.history.outcomes.get(&call),
        Some((_, CallOutcome::Answered))
    )
}

#[test]
fn a_burst_of_first_requests_on_every_instance_loads_the_model_once() {
    for seed in 1..=SEEDS {
        let mut sim = simulation(SimulationOptions {
            seed,
            instances: 9,
            engines: 3,
            ..SimulationOptions::default()
        });
        let mut calls = Vec::new();
        for name in sim.instances() {
            for _ in 0..4 {
                calls.push(sim.call(&name, Call::chat("org-a", "model-a")));
            }
        }
        sim.run_for(seconds(9));
        let loads: u64 = (1..=3)
            .map(|index| sim.engine(&format!("engine-{index}")).stats().loads)
            .sum();
        assert_eq!(loads, 1, "seed {seed}");
        assert!(
            calls.iter().all(|call| answered(&sim, *call)),
            "seed {seed}"
        );
        assert_eq!(sim.violations(), NONE, "seed {seed}");
    }
}

type Fault = (&'static str, fn(&mut Simulation, &str));

/// Faults during the first load of a model; they get the name of the model's lease holder.
const LOAD_FAULTS: [Fault; 8] = [
    ("holder killed", |sim, holder| sim.kill(holder)),
    ("holder paused past its term", |sim, holder| {
        sim.pause(holder);
        sim.run_for(seconds(12));
        sim.resume(holder);
    }),
    ("holder cut off the log", |sim, holder| {
        sim.set_log_partition(holder, true)
    }),
    ("log down for 5 s", |sim, _| {
        sim.log.down = true;
        sim.run_for(seconds(5));
        sim.log.down = false;
    }),
    ("append replies lost", |sim, _| sim.log.lose_replies = 4),
    ("order replies lost", |sim, _| {
        for engine in ["engine-1", "engine-2"] {
            sim.lose_order_replies(engine, 2);
        }
    }),
    ("engines killed and restarted", |sim, _| {
        for engine in ["engine-1", "engine-2"] {
            sim.kill_engine(engine);
        }
        sim.run_for(seconds(1));
        for engine in ["engine-1", "engine-2"] {
            sim.start_engine(engine);
        }
    }),
    ("order delayed and holder killed", |sim, holder| {
        sim.order_delay = seconds(8);
        sim.run_for(Duration::from_millis(100));
        sim.kill(holder);
        sim.order_delay = Duration::ZERO;
    }),
];

// Times of the fault after the first request: before the decision, between decision and order,
// during the load, and around its end.
const FAULT_TIMES_MS: [u64; 5] = [0, 4, 8, 150, 320];

#[test]
fn faults_during_a_load_break_nothing_and_the_model_is_served_again() {
    for fencing in [true, false] {
        for (name, fault) in LOAD_FAULTS {
            for moment in FAULT_TIMES_MS {
                for seed in 1..=2 {
                    let mut sim = simulation(SimulationOptions {
                        seed,
                        instances: 5,
                        fencing,
                        ..SimulationOptions::default()
                    });
                    let holder = holder_of(&sim, "model-a");
                    let entry = sim
                        .instances()
                        .into_iter()
                        .find(|name| *name != holder)
                        .unwrap();
                    let first = sim.call(&entry, Call::chat("org-a", "model-a"));
                    sim.run_for(Duration::from_millis(moment));
                    fault(&mut sim, &holder);
                    sim.run_for(seconds(30));
                    let case = format!("{name} after {moment} ms, fencing {fencing}, seed {seed}");
                    assert_eq!(sim.violations(), NONE, "{case}");
                    let end = sim.history.outcomes.get(&first);
                    assert!(end.is_some(), "{case}: the first request has no outcome");
                    let mut second_call = Call::chat("org-a", "model-a");
                    second_call.timeout = seconds(30);
                    let second = sim.call(&entry, second_call);
                    sim.run_until(seconds(31), |sim| {
                        sim.history.outcomes.contains_key(&second)
                    });
                    let end = sim.history.outcomes.get(&second);
                    assert!(answered(&sim, second), "{case}: served again? {end:?}");
                    assert_eq!(sim.violations(), NONE, "{case}");
                }
            }
        }
    }
}

#[test]
fn the_memory_of_a_late_order_from_a_dead_holder_stays_reserved() {
    // The engine ignores fencing tokens. The order arrives 40 s late, long after the lease moved
    // and another model needed the memory.
    for seed in 1..=SEEDS {
        let mut sim = simulation(SimulationOptions {
            seed,
            instances: 5,
            engines: 1,
            fencing: false,
            ..SimulationOptions::default()
        });
        sim.put_model("model-b", 700, 1);
        let holder = holder_of(&sim, "model-a");
        let entry = sim
            .instances()
            .into_iter()
            .find(|name| *name != holder)
            .unwrap();
        sim.order_delay = seconds(40);
        sim.call(&entry, Call::chat("org-a", "model-a"));
        sim.run_for(Duration::from_millis(100));
        sim.kill(&holder);
        sim.order_delay = Duration::ZERO;
        sim.run_for(seconds(12));
        let other = sim.call(&entry, Call::chat("org-a", "model-b"));
        sim.run_for(seconds(30));
        assert_eq!(sim.violations(), NONE, "seed {seed}");
        assert!(
            !answered(&sim, other),
            "seed {seed}: 400 + 700 MiB do not fit into 1000 MiB"
        );
        assert!(
            sim.engine("engine-1").stats().loads >= 1,
            "seed {seed}: the late order did not arrive"
        );
    }
}

#[test]
fn a_late_decision_of_a_former_holder_has_no_effect() {
    for seed in 1..=SEEDS {
        let mut sim = simulation(SimulationOptions {
            seed,
            instances: 5,
            ..SimulationOptions::default()
        });
        let holder = holder_of(&sim, "model-a");
        let entry = sim
            .instances()
            .into_iter()
            .find(|name| *name != holder)
            .unwrap();
        sim.log.append_delay = seconds(14);
        sim.call(&entry, Call::chat("org-a", "model-a"));
        sim.run_for(Duration::from_millis(50));
        sim.log.append_delay = Duration::ZERO;
        sim.kill(&holder);
        sim.run_for(seconds(10));
        let call = sim.call(&entry, Call::chat("org-a", "model-a"));
        sim.run_for(seconds(10));
        assert!(answered(&sim, call), "seed {seed}");
        let decided = sim.replay_log().ledger().replicas().count();
        assert_eq!(decided, 1, "seed {seed}");
        let stale = sim.events().iter().any(|event| {
            event.kind == EventKind::RecordRejected && event.detail.contains("lease has moved")
        });
        assert!(stale, "seed {seed}: the late decision did not arrive");
        assert_eq!(sim.violations(), NONE, "seed {seed}");
    }
}

#[test]
fn a_returning_server_unloads_its_replicas_before_it_is_used() {
    let mut sim = simulation(SimulationOptions {
        engines: 1,
        ..SimulationOptions::default()
    });
    let entry = sim.instances()[0].clone();
    let first = sim.call(&entry, Call::chat("org-a", "model-a"));
    sim.run_for(seconds(2));
    assert!(answered(&sim, first));
    let lost = sim
        .replay_log()
        .ledger()
        .replicas()
        .map(|(id, _)| id)
        .next()
        .unwrap();
    sim.set_engine_unreachable("engine-1", true);
    sim.run_for(seconds(15));
    assert!(sim.replay_log().ledger().server("engine-1").is_none());
    sim.set_engine_unreachable("engine-1", false);
    sim.run_for(seconds(5));
    assert!(sim.replay_log().ledger().server("engine-1").is_some());
    assert!(!sim.engine("engine-1").is_loaded(lost));
    let second = sim.call(&entry, Call::chat("org-a", "model-a"));
    sim.run_for(seconds(2));
    assert!(answered(&sim, second));
    assert_eq!(sim.violations(), NONE);
}

#[test]
fn a_replica_decided_during_an_outage_is_not_unloaded_as_unknown() {
    // The log goes down when only the holder of the model's shard has read the decision. The holder
    // of the server's shard sees the replica in a report before it can read the decision.
    for seed in 1..=SEEDS {
        let mut sim = simulation(SimulationOptions {
            seed,
            instances: 5,
            fencing: false,
            ..SimulationOptions::default()
        });
        let holder = holder_of(&sim, "model-a");
        let entry = sim
            .instances()
            .into_iter()
            .find(|name| *name != holder)
            .unwrap();
        sim.call(&entry, Call::chat("org-a", "model-a"));
        // Short steps, because the other instances read the decision a few milliseconds later.
        while sim.node(&holder).state().ledger().replicas().count() == 0 {
            sim.run_for(Duration::from_micros(100));
        }
        sim.log.down = true;
        sim.run_for(seconds(5));
        let loaded: u64 = ["engine-1", "engine-2"]
            .iter()
            .map(|engine| sim.engine(engine).used_mib())
            .sum();
        let loads: u64 = ["engine-1", "engine-2"]
            .iter()
            .map(|engine| sim.engine(engine).stats().loads)
            .sum();
        assert_eq!(
            loaded,
            loads * 400,
            "seed {seed}: a loaded replica was unloaded"
        );
        sim.log.down = false;
        sim.run_for(seconds(5));
        assert_eq!(sim.violations(), NONE, "seed {seed}");
    }
}

#[test]
fn a_replica_that_its_engine_dropped_is_loaded_again() {
    let mut sim = simulation(SimulationOptions::default());
    let entry = sim.instances()[0].clone();
    sim.call(&entry, Call::chat("org-a", "model-a"));
    sim.run_for(seconds(3));
    sim.drop_replicas("engine-1");
    sim.drop_replicas("engine-2");
    let call = sim.call(&entry, Call::chat("org-a", "model-a"));
    sim.run_for(seconds(11));
    assert!(
        answered(&sim, call),
        "{:?}",
        sim.history.outcomes.get(&call)
    );
    assert_eq!(sim.violations(), NONE);
}

#[test]
fn an_idle_model_is_unloaded_for_a_requested_one() {
    for fencing in [true, false] {
        let mut sim = simulation(SimulationOptions {
            engines: 1,
            fencing,
            ..SimulationOptions::default()
        });
        sim.put_model("model-b", 700, 1);
        sim.run_for(seconds(1));
        let entry = sim.instances()[0].clone();
        let first = sim.call(&entry, Call::chat("org-a", "model-a"));
        sim.run_for(seconds(12));
        let second = sim.call(&entry, Call::chat("org-a", "model-b"));
        sim.run_for(seconds(9));
        assert!(answered(&sim, first) && answered(&sim, second));
        assert_eq!(sim.violations(), NONE);
    }
}

#[test]
fn a_new_version_is_loaded_before_the_old_one_is_unloaded() {
    let mut sim = simulation(SimulationOptions {
        engines: 2,
        ..SimulationOptions::default()
    });
    sim.put_model("model-a", 400, 2);
    let entry = sim.instances()[0].clone();
    let mut calls = vec![sim.call(&entry, Call::chat("org-a", "model-a"))];
    sim.run_for(seconds(3));
    sim.put(
        "/platform/models/model-a",
        "version = \"2\"\nmemory_mib = 400\npool = \"engines\"\nmax_replicas = 2\nkeep_warm_s = 3600\n",
    );
    for _ in 0..40 {
        let mut call = Call::chat("org-a", "model-a");
        call.timeout = Duration::from_millis(200);
        calls.push(sim.call(&entry, call));
        sim.run_for(Duration::from_millis(100));
    }
    sim.run_for(seconds(2));
    assert!(calls.iter().all(|call| answered(&sim, *call)));
    let state = sim.replay_log();
    let versions: Vec<_> = state
        .ledger()
        .replicas()
        .map(|(_, replica)| replica.version.clone())
        .collect();
    assert_eq!(versions, ["2"]);
    assert_eq!(sim.violations(), NONE);
}

#[test]
fn a_leaving_server_gets_no_new_work_after_two_seconds() {
    for seed in 1..=SEEDS {
        let mut sim = simulation(SimulationOptions {
            seed,
            engines: 2,
            ..SimulationOptions::default()
        });
        let entry = sim.instances()[0].clone();
        sim.call(&entry, Call::chat("org-a", "model-a"));
        sim.run_for(seconds(2));
        let used = ["engine-1", "engine-2"]
            .into_iter()
            .find(|engine| sim.engine(engine).used_mib() > 0)
            .unwrap();
        sim.retire_engine(used);
        sim.run_for(seconds(2));
        let before = sim.engine(used).stats().requests;
        let mut calls = Vec::new();
        for name in sim.instances() {
            calls.push(sim.call(&name, Call::chat("org-a", "model-a")));
        }
        sim.run_for(seconds(9));
        assert_eq!(sim.engine(used).stats().requests, before, "seed {seed}");
        assert_eq!(sim.violations(), NONE, "seed {seed}");
    }
}

#[test]
fn a_lost_server_is_replaced() {
    for seed in 1..=SEEDS {
        let mut sim = simulation(SimulationOptions {
            seed,
            engines: 2,
            ..SimulationOptions::default()
        });
        sim.put_model("model-a", 400, 2);
        let entry = sim.instances()[0].clone();
        sim.call(&entry, Call::chat("org-a", "model-a"));
        sim.run_for(seconds(2));
        let used = ["engine-1", "engine-2"]
            .into_iter()
            .find(|engine| sim.engine(engine).used_mib() > 0)
            .unwrap();
        sim.kill_engine(used);
        let call = sim.call(&entry, Call::chat("org-a", "model-a"));
        sim.run_for(seconds(9));
        assert!(answered(&sim, call), "seed {seed}");
        assert_eq!(sim.violations(), NONE, "seed {seed}");
    }
}

#[test]
fn a_body_crashes_servers_at_most_twice() {
    for seed in 1..=SEEDS {
        let mut sim = simulation(SimulationOptions {
            seed,
            engines: 4,
            ..SimulationOptions::default()
        });
        sim.put_model("model-a", 400, 4);
        sim.put("/platform/models/model-a", "version = \"1\"\nmemory_mib = 400\npool = \"engines\"\nmin_replicas = 4\nmax_replicas = 4\n");
        sim.run_for(seconds(5));
        let mut calls = Vec::new();
        for name in sim.instances() {
            let mut call = Call::chat("org-a", "model-a");
            call.body = "crash me".to_owned();
            calls.push(sim.call(&name, call));
            sim.run_for(seconds(4));
        }
        let runs: u32 = calls
            .iter()
            .map(|call| sim.history.call_runs.get(call).copied().unwrap_or(0))
            .sum();
        assert!(runs <= 2, "seed {seed}: ran {runs} times");
        let last = sim.history.outcomes.get(calls.last().unwrap());
        let refused = matches!(last, Some((_, CallOutcome::Refused(refusal)))
            if refusal.kind == RefusalKind::Quarantined && refusal.outcome == RunOutcome::NotRun);
        assert!(refused, "seed {seed}: {last:?}");
        assert_eq!(sim.violations(), NONE, "seed {seed}");
    }
}

#[test]
fn loaded_models_are_served_while_a_zone_and_the_log_are_down() {
    for seed in 1..=SEEDS {
        let mut sim = simulation(SimulationOptions {
            seed,
            instances: 9,
            ..SimulationOptions::default()
        });
        let entry = "entry-1";
        sim.call(entry, Call::chat("org-a", "model-a"));
        sim.run_for(seconds(3));
        sim.log.down = true;
        for name in ["entry-2", "entry-5", "entry-8"] {
            sim.kill(name);
        }
        sim.run_for(seconds(6));
        let call = sim.call(entry, Call::chat("org-a", "model-a"));
        sim.run_for(seconds(3));
        let end = sim.history.outcomes.get(&call);
        assert!(answered(&sim, call), "seed {seed}: {end:?}");
        assert_eq!(sim.violations(), NONE, "seed {seed}");
    }
}

#[test]
fn memory_is_reserved_from_the_decision_on() {
    let mut sim = simulation(SimulationOptions {
        engines: 1,
        ..SimulationOptions::default()
    });
    sim.order_delay = seconds(3);
    let entry = sim.instances()[0].clone();
    sim.call(&entry, Call::chat("org-a", "model-a"));
    sim.run_for(Duration::from_millis(500));
    let state = sim.replay_log();
    let phases: Vec<_> = state
        .ledger()
        .replicas()
        .map(|(_, replica)| replica.phase)
        .collect();
    assert_eq!(phases, [ReplicaPhase::Decided]);
    assert_eq!(state.ledger().used_memory("engine-1"), 400);
    assert_eq!(sim.engine("engine-1").used_mib(), 0);
}
