//! Configuration, keys and checkpoints under faults, in virtual time.

use std::time::Duration;

use apricotwell_fakes::{Call, Finish, World, WorldOptions};
use apricotwell_types::{KeyDigest, RefusalKind};

const NONE: Vec<String> = Vec::new();
const KEY: &str = "/teams/org-a/keys/main";

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

fn accepts_key(world: &World, name: &str) -> bool {
    let digest = KeyDigest::of_secret("secret of org-a");
    world.node(name).authenticate(world.now(), &digest).is_ok()
}

#[test]
fn a_configuration_change_applies_everywhere_within_two_seconds() {
    for seed in 1..=10 {
        let mut world = world(WorldOptions {
            seed,
            instances: 9,
            ..WorldOptions::default()
        });
        let version = world.put_model("model-z", 10, 1);
        world.run_for(seconds(2));
        for name in world.instances() {
            assert!(
                world.node(&name).next_offset() > version,
                "{name}, seed {seed}"
            );
            assert!(world.node(&name).state().model("model-z").is_some());
        }
    }
}

type Fault = (&'static str, fn(&mut World));

const FAULTS: [Fault; 7] = [
    ("nothing", |_| {}),
    ("cut off the log", |world| world.cut_log("entry-1", true)),
    ("cut off everything", |world| {
        world.cut_log("entry-1", true);
        for other in ["entry-2", "entry-3", "entry-4", "entry-5"] {
            world.cut("entry-1", other, true);
        }
    }),
    ("minority cut off", |world| {
        for one in ["entry-1", "entry-2"] {
            world.cut_log(one, true);
            for other in ["entry-3", "entry-4", "entry-5"] {
                world.cut(one, other, true);
            }
        }
    }),
    ("paused and resumed", |world| {
        world.pause("entry-1");
        world.run_for(seconds(10));
        world.resume("entry-1");
    }),
    ("killed and restarted", |world| {
        world.kill("entry-1");
        world.run_for(seconds(1));
        world.start_instance("entry-1");
    }),
    ("restored from an older checkpoint", |world| {
        world.kill("entry-1");
        let end = world.log.streams.end("control");
        world.log.streams.expire("control", end.saturating_sub(6));
        world.start_instance("entry-1");
    }),
];

/// Bound for an instance that is cut off: slightly more than the evidence window.
const WINDOW: Duration = Duration::from_millis(3100);

#[test]
fn a_withdrawn_key_is_rejected_everywhere_within_the_evidence_window() {
    for (name, fault) in FAULTS {
        for seed in 1..=5 {
            let mut world = world(WorldOptions {
                seed,
                instances: 5,
                checkpoint_records: 3,
                ..WorldOptions::default()
            });
            assert!(
                world
                    .instances()
                    .iter()
                    .all(|instance| accepts_key(&world, instance))
            );
            fault(&mut world);
            world.delete(KEY);
            world.run_for(WINDOW);
            for _ in 0..100 {
                for instance in world.instances() {
                    assert!(
                        !accepts_key(&world, &instance),
                        "{name}, seed {seed}: {instance}"
                    );
                }
                world.run_for(Duration::from_millis(200));
            }
            assert_eq!(world.broken(), NONE, "{name}, seed {seed}");
        }
    }
}

#[test]
fn keys_are_accepted_while_the_log_is_down_for_everyone() {
    for seed in 1..=5 {
        let mut world = world(WorldOptions {
            seed,
            instances: 5,
            ..WorldOptions::default()
        });
        world.log.down = true;
        for second in 0..120 {
            world.run_for(seconds(1));
            for instance in world.instances() {
                assert!(
                    accepts_key(&world, &instance),
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
    let mut world = world(WorldOptions {
        instances: 5,
        ..WorldOptions::default()
    });
    for one in ["entry-3", "entry-4", "entry-5"] {
        world.cut_log(one, true);
        for other in ["entry-1", "entry-2"] {
            world.cut(one, other, true);
        }
    }
    world.delete(KEY);
    world.run_for(seconds(20));
    assert!(accepts_key(&world, "entry-3") && !accepts_key(&world, "entry-1"));
    world.run_for(seconds(20));
    for instance in world.instances() {
        assert!(!accepts_key(&world, &instance), "{instance}");
    }
}

#[test]
fn a_waiting_request_is_rejected_when_its_key_is_withdrawn() {
    let mut world = world(WorldOptions {
        load: seconds(5),
        ..WorldOptions::default()
    });
    let call = world.call("entry-1", Call::chat("org-a", "model-a"));
    world.run_for(seconds(1));
    world.delete(KEY);
    world.run_for(seconds(6));
    let (_, Finish::Refused(refusal)) = &world.audit.ends[&call] else {
        panic!("served under a withdrawn key");
    };
    assert_eq!(refusal.kind, RefusalKind::InvalidApiKey);
}

#[test]
fn racing_changes_have_one_winner_everywhere() {
    for seed in 1..=10 {
        let mut world = world(WorldOptions {
            seed,
            instances: 5,
            ..WorldOptions::default()
        });
        let path = "/platform/models/model-a";
        let version = world.folded().config().get(path).unwrap().version;
        let value =
            |memory: u64| format!("version = \"1\"\nmemory_mib = {memory}\npool = \"engines\"\n");
        let first = world.put_at(path, Some(&value(1)), version);
        let second = world.put_at(path, Some(&value(2)), version);
        world.run_for(seconds(1));
        for name in world.instances() {
            let state = world.node(&name).state();
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
    let mut world = world(WorldOptions {
        instances: 3,
        checkpoint_records: 5,
        ..WorldOptions::default()
    });
    for index in 0..30 {
        world.put_model(&format!("model-{index}"), 10, 1);
        world.run_for(Duration::from_millis(100));
    }
    let end = world.log.streams.end("control");
    world.log.streams.expire("control", end - 4);
    world.start_instance("entry-4");
    world.run_for(seconds(3));
    assert!(world.node("entry-4").is_ready(world.now()));
    assert_eq!(world.node("entry-4").state(), world.node("entry-1").state());
}

#[test]
fn a_new_instance_restores_its_state_from_a_peer_while_the_log_is_down() {
    let mut world = world(WorldOptions {
        instances: 5,
        ..WorldOptions::default()
    });
    world.log.down = true;
    world.run_for(seconds(5));
    world.kill("entry-5");
    world.start_instance("entry-5");
    world.run_for(seconds(10));
    assert!(world.node("entry-5").is_ready(world.now()));
    assert_eq!(world.node("entry-5").state(), world.node("entry-1").state());
    assert!(accepts_key(&world, "entry-5"));
}

#[test]
fn a_new_instance_without_log_and_peers_is_not_ready() {
    let mut world = world(WorldOptions {
        instances: 5,
        ..WorldOptions::default()
    });
    world.kill("entry-5");
    world.start_instance("entry-5");
    world.cut_log("entry-5", true);
    for other in ["entry-1", "entry-2", "entry-3", "entry-4"] {
        world.cut("entry-5", other, true);
    }
    world.run_for(seconds(30));
    assert!(!world.node("entry-5").is_ready(world.now()));
    assert!(!accepts_key(&world, "entry-5"));
}
