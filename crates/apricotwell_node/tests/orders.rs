//! Load and unload orders, and memory limits, under faults in virtual time.

use std::time::Duration;

use apricotwell_fakes::{Call, Finish, World, WorldOptions};
use apricotwell_state::ReplicaPhase;
use apricotwell_timeline::EventKind;
use apricotwell_types::{RefusalKind, RunOutcome};

const SEEDS: u64 = 8;
const NONE: Vec<String> = Vec::new();

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn world(options: WorldOptions) -> World {
    let mut world = World::new(options);
    world.configure();
    world.run_for(seconds(8));
    assert!(world.is_settled());
    world
}

fn holder_of(world: &World, model: &str) -> String {
    let shard = world.folded().model_shard(model);
    world.holders(shard).first().cloned().unwrap()
}

fn answered(world: &World, call: u64) -> bool {
    matches!(world.audit.ends.get(&call), Some((_, Finish::Answered)))
}

#[test]
fn a_burst_of_first_requests_on_every_instance_loads_the_model_once() {
    for seed in 1..=SEEDS {
        let mut world = world(WorldOptions {
            seed,
            instances: 9,
            engines: 3,
            ..WorldOptions::default()
        });
        let mut calls = Vec::new();
        for name in world.instances() {
            for _ in 0..4 {
                calls.push(world.call(&name, Call::chat("org-a", "model-a")));
            }
        }
        world.run_for(seconds(9));
        let loads: u64 = (1..=3)
            .map(|index| world.engine(&format!("engine-{index}")).audit().loads)
            .sum();
        assert_eq!(loads, 1, "seed {seed}");
        assert!(
            calls.iter().all(|call| answered(&world, *call)),
            "seed {seed}"
        );
        assert_eq!(world.broken(), NONE, "seed {seed}");
    }
}

type Fault = (&'static str, fn(&mut World, &str));

/// Faults during the first load of a model; they get the name of the model's lease holder.
const LOAD_FAULTS: [Fault; 8] = [
    ("holder killed", |world, holder| world.kill(holder)),
    ("holder paused past its term", |world, holder| {
        world.pause(holder);
        world.run_for(seconds(12));
        world.resume(holder);
    }),
    ("holder cut off the log", |world, holder| {
        world.cut_log(holder, true)
    }),
    ("log down for 5 s", |world, _| {
        world.log.down = true;
        world.run_for(seconds(5));
        world.log.down = false;
    }),
    ("append replies lost", |world, _| world.log.lose_replies = 4),
    ("order replies lost", |world, _| {
        for engine in ["engine-1", "engine-2"] {
            world.lose_order_replies(engine, 2);
        }
    }),
    ("engines killed and restarted", |world, _| {
        for engine in ["engine-1", "engine-2"] {
            world.kill_engine(engine);
        }
        world.run_for(seconds(1));
        for engine in ["engine-1", "engine-2"] {
            world.start_engine(engine);
        }
    }),
    ("order delayed and holder killed", |world, holder| {
        world.order_delay = seconds(8);
        world.run_for(Duration::from_millis(100));
        world.kill(holder);
        world.order_delay = Duration::ZERO;
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
                    let mut world = world(WorldOptions {
                        seed,
                        instances: 5,
                        fencing,
                        ..WorldOptions::default()
                    });
                    let holder = holder_of(&world, "model-a");
                    let entry = world
                        .instances()
                        .into_iter()
                        .find(|name| *name != holder)
                        .unwrap();
                    let first = world.call(&entry, Call::chat("org-a", "model-a"));
                    world.run_for(Duration::from_millis(moment));
                    fault(&mut world, &holder);
                    world.run_for(seconds(30));
                    let case = format!("{name} after {moment} ms, fencing {fencing}, seed {seed}");
                    assert_eq!(world.broken(), NONE, "{case}");
                    let end = world.audit.ends.get(&first);
                    assert!(end.is_some(), "{case}: the first request has no outcome");
                    let mut second_call = Call::chat("org-a", "model-a");
                    second_call.patience = seconds(30);
                    let second = world.call(&entry, second_call);
                    world.run_until(seconds(31), |world| world.audit.ends.contains_key(&second));
                    let end = world.audit.ends.get(&second);
                    assert!(answered(&world, second), "{case}: served again? {end:?}");
                    assert_eq!(world.broken(), NONE, "{case}");
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
        let mut world = world(WorldOptions {
            seed,
            instances: 5,
            engines: 1,
            fencing: false,
            ..WorldOptions::default()
        });
        world.put_model("model-b", 700, 1);
        let holder = holder_of(&world, "model-a");
        let entry = world
            .instances()
            .into_iter()
            .find(|name| *name != holder)
            .unwrap();
        world.order_delay = seconds(40);
        world.call(&entry, Call::chat("org-a", "model-a"));
        world.run_for(Duration::from_millis(100));
        world.kill(&holder);
        world.order_delay = Duration::ZERO;
        world.run_for(seconds(12));
        let other = world.call(&entry, Call::chat("org-a", "model-b"));
        world.run_for(seconds(30));
        assert_eq!(world.broken(), NONE, "seed {seed}");
        assert!(
            !answered(&world, other),
            "seed {seed}: 400 + 700 MiB do not fit into 1000 MiB"
        );
        assert!(
            world.engine("engine-1").audit().loads >= 1,
            "seed {seed}: the late order did not arrive"
        );
    }
}

#[test]
fn a_late_decision_of_a_former_holder_has_no_effect() {
    for seed in 1..=SEEDS {
        let mut world = world(WorldOptions {
            seed,
            instances: 5,
            ..WorldOptions::default()
        });
        let holder = holder_of(&world, "model-a");
        let entry = world
            .instances()
            .into_iter()
            .find(|name| *name != holder)
            .unwrap();
        world.log.delay = seconds(14);
        world.call(&entry, Call::chat("org-a", "model-a"));
        world.run_for(Duration::from_millis(50));
        world.log.delay = Duration::ZERO;
        world.kill(&holder);
        world.run_for(seconds(10));
        let call = world.call(&entry, Call::chat("org-a", "model-a"));
        world.run_for(seconds(10));
        assert!(answered(&world, call), "seed {seed}");
        let decided = world.folded().ledger().replicas().count();
        assert_eq!(decided, 1, "seed {seed}");
        let stale = world.events().iter().any(|event| {
            event.kind == EventKind::RecordRejected && event.detail.contains("lease has moved")
        });
        assert!(stale, "seed {seed}: the late decision did not arrive");
        assert_eq!(world.broken(), NONE, "seed {seed}");
    }
}

#[test]
fn a_returning_server_unloads_its_replicas_before_it_is_used() {
    let mut world = world(WorldOptions {
        engines: 1,
        ..WorldOptions::default()
    });
    let entry = world.instances()[0].clone();
    let first = world.call(&entry, Call::chat("org-a", "model-a"));
    world.run_for(seconds(2));
    assert!(answered(&world, first));
    let lost = world
        .folded()
        .ledger()
        .replicas()
        .map(|(id, _)| id)
        .next()
        .unwrap();
    world.silence_engine("engine-1", true);
    world.run_for(seconds(15));
    assert!(world.folded().ledger().server("engine-1").is_none());
    world.silence_engine("engine-1", false);
    world.run_for(seconds(5));
    assert!(world.folded().ledger().server("engine-1").is_some());
    assert!(!world.engine("engine-1").is_loaded(lost));
    let second = world.call(&entry, Call::chat("org-a", "model-a"));
    world.run_for(seconds(2));
    assert!(answered(&world, second));
    assert_eq!(world.broken(), NONE);
}

#[test]
fn a_replica_decided_during_an_outage_is_not_unloaded_as_unknown() {
    // The log goes down when only the holder of the model's shard has read the decision. The holder
    // of the server's shard sees the replica in a report before it can read the decision.
    for seed in 1..=SEEDS {
        let mut world = world(WorldOptions {
            seed,
            instances: 5,
            fencing: false,
            ..WorldOptions::default()
        });
        let holder = holder_of(&world, "model-a");
        let entry = world
            .instances()
            .into_iter()
            .find(|name| *name != holder)
            .unwrap();
        world.call(&entry, Call::chat("org-a", "model-a"));
        // Short steps, because the other instances read the decision a few milliseconds later.
        while world.node(&holder).state().ledger().replicas().count() == 0 {
            world.run_for(Duration::from_micros(100));
        }
        world.log.down = true;
        world.run_for(seconds(5));
        let loaded: u64 = ["engine-1", "engine-2"]
            .iter()
            .map(|engine| world.engine(engine).used())
            .sum();
        let loads: u64 = ["engine-1", "engine-2"]
            .iter()
            .map(|engine| world.engine(engine).audit().loads)
            .sum();
        assert_eq!(
            loaded,
            loads * 400,
            "seed {seed}: a loaded replica was unloaded"
        );
        world.log.down = false;
        world.run_for(seconds(5));
        assert_eq!(world.broken(), NONE, "seed {seed}");
    }
}

#[test]
fn a_replica_that_its_engine_dropped_is_loaded_again() {
    let mut world = world(WorldOptions::default());
    let entry = world.instances()[0].clone();
    world.call(&entry, Call::chat("org-a", "model-a"));
    world.run_for(seconds(3));
    world.drop_replicas("engine-1");
    world.drop_replicas("engine-2");
    let call = world.call(&entry, Call::chat("org-a", "model-a"));
    world.run_for(seconds(11));
    assert!(answered(&world, call), "{:?}", world.audit.ends.get(&call));
    assert_eq!(world.broken(), NONE);
}

#[test]
fn an_idle_model_is_unloaded_for_a_requested_one() {
    for fencing in [true, false] {
        let mut world = world(WorldOptions {
            engines: 1,
            fencing,
            ..WorldOptions::default()
        });
        world.put_model("model-b", 700, 1);
        world.run_for(seconds(1));
        let entry = world.instances()[0].clone();
        let first = world.call(&entry, Call::chat("org-a", "model-a"));
        world.run_for(seconds(12));
        let second = world.call(&entry, Call::chat("org-a", "model-b"));
        world.run_for(seconds(9));
        assert!(answered(&world, first) && answered(&world, second));
        assert_eq!(world.broken(), NONE);
    }
}

#[test]
fn a_new_version_is_loaded_before_the_old_one_is_unloaded() {
    let mut world = world(WorldOptions {
        engines: 2,
        ..WorldOptions::default()
    });
    world.put_model("model-a", 400, 2);
    let entry = world.instances()[0].clone();
    let mut calls = vec![world.call(&entry, Call::chat("org-a", "model-a"))];
    world.run_for(seconds(3));
    world.put(
        "/platform/models/model-a",
        "version = \"2\"\nmemory_mib = 400\npool = \"engines\"\nmax_replicas = 2\nkeep_warm_s = 3600\n",
    );
    for _ in 0..40 {
        let mut call = Call::chat("org-a", "model-a");
        call.patience = Duration::from_millis(200);
        calls.push(world.call(&entry, call));
        world.run_for(Duration::from_millis(100));
    }
    world.run_for(seconds(2));
    assert!(calls.iter().all(|call| answered(&world, *call)));
    let state = world.folded();
    let versions: Vec<_> = state
        .ledger()
        .replicas()
        .map(|(_, replica)| replica.version.clone())
        .collect();
    assert_eq!(versions, ["2"]);
    assert_eq!(world.broken(), NONE);
}

#[test]
fn a_leaving_server_gets_no_new_work_after_two_seconds() {
    for seed in 1..=SEEDS {
        let mut world = world(WorldOptions {
            seed,
            engines: 2,
            ..WorldOptions::default()
        });
        let entry = world.instances()[0].clone();
        world.call(&entry, Call::chat("org-a", "model-a"));
        world.run_for(seconds(2));
        let used = ["engine-1", "engine-2"]
            .into_iter()
            .find(|engine| world.engine(engine).used() > 0)
            .unwrap();
        world.retire_engine(used);
        world.run_for(seconds(2));
        let before = world.engine(used).audit().requests;
        let mut calls = Vec::new();
        for name in world.instances() {
            calls.push(world.call(&name, Call::chat("org-a", "model-a")));
        }
        world.run_for(seconds(9));
        assert_eq!(world.engine(used).audit().requests, before, "seed {seed}");
        assert_eq!(world.broken(), NONE, "seed {seed}");
    }
}

#[test]
fn a_lost_server_is_replaced() {
    for seed in 1..=SEEDS {
        let mut world = world(WorldOptions {
            seed,
            engines: 2,
            ..WorldOptions::default()
        });
        world.put_model("model-a", 400, 2);
        let entry = world.instances()[0].clone();
        world.call(&entry, Call::chat("org-a", "model-a"));
        world.run_for(seconds(2));
        let used = ["engine-1", "engine-2"]
            .into_iter()
            .find(|engine| world.engine(engine).used() > 0)
            .unwrap();
        world.kill_engine(used);
        let call = world.call(&entry, Call::chat("org-a", "model-a"));
        world.run_for(seconds(9));
        assert!(answered(&world, call), "seed {seed}");
        assert_eq!(world.broken(), NONE, "seed {seed}");
    }
}

#[test]
fn a_body_crashes_servers_at_most_twice() {
    for seed in 1..=SEEDS {
        let mut world = world(WorldOptions {
            seed,
            engines: 4,
            ..WorldOptions::default()
        });
        world.put_model("model-a", 400, 4);
        world.put("/platform/models/model-a", "version = \"1\"\nmemory_mib = 400\npool = \"engines\"\nmin_replicas = 4\nmax_replicas = 4\n");
        world.run_for(seconds(5));
        let mut calls = Vec::new();
        for name in world.instances() {
            let mut call = Call::chat("org-a", "model-a");
            call.body = "crash me".to_owned();
            calls.push(world.call(&name, call));
            world.run_for(seconds(4));
        }
        let runs: u32 = calls
            .iter()
            .map(|call| world.audit.call_runs.get(call).copied().unwrap_or(0))
            .sum();
        assert!(runs <= 2, "seed {seed}: ran {runs} times");
        let last = world.audit.ends.get(calls.last().unwrap());
        let refused = matches!(last, Some((_, Finish::Refused(refusal)))
            if refusal.kind == RefusalKind::Quarantined && refusal.outcome == RunOutcome::NotRun);
        assert!(refused, "seed {seed}: {last:?}");
        assert_eq!(world.broken(), NONE, "seed {seed}");
    }
}

#[test]
fn loaded_models_are_served_while_a_zone_and_the_log_are_down() {
    for seed in 1..=SEEDS {
        let mut world = world(WorldOptions {
            seed,
            instances: 9,
            ..WorldOptions::default()
        });
        let entry = "entry-1";
        world.call(entry, Call::chat("org-a", "model-a"));
        world.run_for(seconds(3));
        world.log.down = true;
        for name in ["entry-2", "entry-5", "entry-8"] {
            world.kill(name);
        }
        world.run_for(seconds(6));
        let call = world.call(entry, Call::chat("org-a", "model-a"));
        world.run_for(seconds(3));
        let end = world.audit.ends.get(&call);
        assert!(answered(&world, call), "seed {seed}: {end:?}");
        assert_eq!(world.broken(), NONE, "seed {seed}");
    }
}

#[test]
fn memory_is_reserved_from_the_decision_on() {
    let mut world = world(WorldOptions {
        engines: 1,
        ..WorldOptions::default()
    });
    world.order_delay = seconds(3);
    let entry = world.instances()[0].clone();
    world.call(&entry, Call::chat("org-a", "model-a"));
    world.run_for(Duration::from_millis(500));
    let state = world.folded();
    let phases: Vec<_> = state
        .ledger()
        .replicas()
        .map(|(_, replica)| replica.phase)
        .collect();
    assert_eq!(phases, [ReplicaPhase::Decided]);
    assert_eq!(state.ledger().used_memory("engine-1"), 400);
    assert_eq!(world.engine("engine-1").used(), 0);
}
