//! Configuration, keys and checkpoints under faults, in virtual time.

use std::time::Duration;

use apricotwell_fakes::{Call, CallOutcome, Simulation, SimulationOptions};
use apricotwell_types::{KeyDigest, RefusalKind};

const NONE: Vec<String> = Vec::new();
const KEY: &str = "/teams/org-a/keys/main";

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

fn accepts_key(sim: &Simulation, name: &str) -> bool {
    let digest = KeyDigest::of_secret("secret of org-a");
    sim.node(name).authenticate(sim.now(), &digest).is_ok()
}

#[test]
fn a_configuration_change_applies_everywhere_within_two_seconds() {
    for seed in 1..=10 {
        let mut sim = simulation(SimulationOptions {
            seed,
            instances: 9,
            ..SimulationOptions::default()
        });
        let version = sim.put_model("model-z", 10, 1);
        sim.run_for(seconds(2));
        for name in sim.instances() {
            assert!(
                sim.node(&name).next_offset() > version,
                "{name}, seed {seed}"
            );
            assert!(sim.node(&name).state().model("model-z").is_some());
        }
    }
}

type Fault = (&'static str, fn(&mut Simulation));

const FAULTS: [Fault; 7] = [
    ("nothing", |_| {}),
    ("cut off the log", |sim| {
        sim.set_log_partition("entry-1", true)
    }),
    ("cut off everything", |sim| {
        sim.set_log_partition("entry-1", true);
        for other in ["entry-2", "entry-3", "entry-4", "entry-5"] {
            sim.set_partition("entry-1", other, true);
        }
    }),
    ("minority cut off", |sim| {
        for one in ["entry-1", "entry-2"] {
            sim.set_log_partition(one, true);
            for other in ["entry-3", "entry-4", "entry-5"] {
                sim.set_partition(one, other, true);
            }
        }
    }),
    ("paused and resumed", |sim| {
        sim.pause("entry-1");
        sim.run_for(seconds(10));
        sim.resume("entry-1");
    }),
    ("killed and restarted", |sim| {
        sim.kill("entry-1");
        sim.run_for(seconds(1));
        sim.start_instance("entry-1");
    }),
    ("restored from an older checkpoint", |sim| {
        sim.kill("entry-1");
        let end = sim.log.streams.end("control");
        sim.log.streams.expire("control", end.saturating_sub(6));
        sim.start_instance("entry-1");
    }),
];

/// Bound for an instance that is cut off: slightly more than the evidence window.
const WINDOW: Duration = Duration::from_millis(3100);

#[test]
fn a_withdrawn_key_is_rejected_everywhere_within_the_evidence_window() {
    for (name, fault) in FAULTS {
        for seed in 1..=5 {
            let mut sim = simulation(SimulationOptions {
                seed,
                instances: 5,
                checkpoint_records: 3,
                ..SimulationOptions::default()
            });
            assert!(
                sim.instances()
                    .iter()
                    .all(|instance| accepts_key(&sim, instance))
            );
            fault(&mut sim);
            sim.delete(KEY);
            sim.run_for(WINDOW);
            for _ in 0..100 {
                for instance in sim.instances() {
                    assert!(
                        !accepts_key(&sim, &instance),
                        "{name}, seed {seed}: {instance}"
                    );
                }
                sim.run_for(Duration::from_millis(200));
            }
            assert_eq!(sim.violations(), NONE, "{name}, seed {seed}");
        }
    }
}

#[test]
fn keys_are_accepted_while_the_log_is_down_for_everyone() {
    for seed in 1..=5 {
        let mut sim = simulation(SimulationOptions {
            seed,
            instances: 5,
            ..SimulationOptions::default()
        });
        sim.log.down = true;
        for second in 0..120 {
            sim.run_for(seconds(1));
            for instance in sim.instances() {
                assert!(
                    accepts_key(&sim, &instance),
                    "seed {seed}: {instance} after {second} s"
                );
            }
        }
    }
}

#[test]
fn a_majority_without_the_log_accepts_keys_only_for_the_grace_period() {
    // Two instances still reach the log and see the withdrawal. To the other three this looks like
    // an outage of the log with two dead instances.
    let mut sim = simulation(SimulationOptions {
        instances: 5,
        ..SimulationOptions::default()
    });
    for one in ["entry-3", "entry-4", "entry-5"] {
        sim.set_log_partition(one, true);
        for other in ["entry-1", "entry-2"] {
            sim.set_partition(one, other, true);
        }
    }
    sim.delete(KEY);
    sim.run_for(seconds(20));
    assert!(accepts_key(&sim, "entry-3") && !accepts_key(&sim, "entry-1"));
    sim.run_for(seconds(20));
    for instance in sim.instances() {
        assert!(!accepts_key(&sim, &instance), "{instance}");
    }
}

#[test]
fn a_waiting_request_is_rejected_when_its_key_is_withdrawn() {
    let mut sim = simulation(SimulationOptions {
        load_time: seconds(5),
        ..SimulationOptions::default()
    });
    let call = sim.call("entry-1", Call::chat("org-a", "model-a"));
    sim.run_for(seconds(1));
    sim.delete(KEY);
    sim.run_for(seconds(6));
    let (_, CallOutcome::Refused(refusal)) = &sim.history.outcomes[&call] else {
        panic!("served under a withdrawn key");
    };
    assert_eq!(refusal.kind, RefusalKind::InvalidApiKey);
}

#[test]
fn racing_changes_have_one_winner_everywhere() {
    for seed in 1..=10 {
        let mut sim = simulation(SimulationOptions {
            seed,
            instances: 5,
            ..SimulationOptions::default()
        });
        let path = "/platform/models/model-a";
        let version = sim.replay_log().config().get(path).unwrap().version;
        let value =
            |memory: u64| format!("version = \"1\"\nmemory_mib = {memory}\npool = \"engines\"\n");
        let first = sim.put_at_version(path, Some(&value(1)), version);
        let second = sim.put_at_version(path, Some(&value(2)), version);
        sim.run_for(seconds(1));
        for name in sim.instances() {
            let state = sim.node(&name).state();
            assert_eq!(state.model("model-a").unwrap().memory_mib, 1);
            let lost = state
                .rejections()
                .any(|rejection| rejection.offset == second);
            assert!(lost && first < second);
        }
    }
}

#[test]
fn a_new_instance_restores_the_same_state_from_a_checkpoint_and_the_log() {
    let mut sim = simulation(SimulationOptions {
        instances: 3,
        checkpoint_records: 5,
        ..SimulationOptions::default()
    });
    for index in 0..30 {
        sim.put_model(&format!("model-{index}"), 10, 1);
        sim.run_for(Duration::from_millis(100));
    }
    let end = sim.log.streams.end("control");
    sim.log.streams.expire("control", end - 4);
    sim.start_instance("entry-4");
    sim.run_for(seconds(3));
    assert!(sim.node("entry-4").is_ready(sim.now()));
    assert_eq!(sim.node("entry-4").state(), sim.node("entry-1").state());
}

#[test]
fn a_new_instance_restores_its_state_from_a_peer_while_the_log_is_down() {
    let mut sim = simulation(SimulationOptions {
        instances: 5,
        ..SimulationOptions::default()
    });
    sim.log.down = true;
    sim.run_for(seconds(5));
    sim.kill("entry-5");
    sim.start_instance("entry-5");
    sim.run_for(seconds(10));
    assert!(sim.node("entry-5").is_ready(sim.now()));
    assert_eq!(sim.node("entry-5").state(), sim.node("entry-1").state());
    assert!(accepts_key(&sim, "entry-5"));
}

#[test]
fn a_new_instance_without_log_and_peers_is_not_ready() {
    let mut sim = simulation(SimulationOptions {
        instances: 5,
        ..SimulationOptions::default()
    });
    sim.kill("entry-5");
    sim.start_instance("entry-5");
    sim.set_log_partition("entry-5", true);
    for other in ["entry-1", "entry-2", "entry-3", "entry-4"] {
        sim.set_partition("entry-5", other, true);
    }
    sim.run_for(seconds(30));
    assert!(!sim.node("entry-5").is_ready(sim.now()));
    assert!(!accepts_key(&sim, "entry-5"));
}
