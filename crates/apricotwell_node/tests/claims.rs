//! At-most-once execution under faults, in virtual time.

use std::time::Duration;

use apricotwell_fakes::{Call, Finish, World, WorldOptions};
use apricotwell_types::{RefusalKind, RunOutcome};

const NONE: Vec<String> = Vec::new();

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn world(seed: u64) -> World {
    let mut world = World::new(WorldOptions {
        seed,
        instances: 5,
        services: 2,
        ..WorldOptions::default()
    });
    world.configure();
    world.run_for(seconds(8));
    assert!(world.is_settled());
    world
}

fn order(key: &str) -> Call {
    Call::order("org-a", "orders", key)
}

fn finish(world: &World, call: u64) -> Finish {
    world.audit.ends[&call].1.clone()
}

#[test]
fn a_repeat_gets_the_recorded_answer_wherever_it_arrives() {
    let mut world = world(1);
    let first = world.call("entry-1", order("w1"));
    world.run_for(seconds(1));
    assert_eq!(finish(&world, first), Finish::Answered);
    for name in world.instances() {
        let repeat = world.call(&name, order("w1"));
        world.run_for(seconds(1));
        assert_eq!(finish(&world, repeat), Finish::Replayed, "{name}");
    }
    assert_eq!(world.audit.runs["w1"], 1);
    assert_eq!(world.broken(), NONE);
}

#[test]
fn a_key_with_a_different_body_is_rejected() {
    let mut world = world(1);
    world.call("entry-1", order("w1"));
    world.run_for(seconds(1));
    let mut other = order("w1");
    other.body = "another body".to_owned();
    let other = world.call("entry-2", other);
    world.run_for(seconds(1));
    let Finish::Refused(refusal) = finish(&world, other) else {
        panic!("not refused");
    };
    assert_eq!(
        (refusal.kind, refusal.outcome),
        (RefusalKind::IdempotencyKeyReused, RunOutcome::NotRun)
    );
}

#[test]
fn repeats_at_the_same_moment_run_once() {
    for seed in 1..=8 {
        let mut world = world(seed);
        for round in 0..5 {
            let key = format!("w{round}");
            for name in world.instances() {
                world.call(&name, order(&key));
            }
            world.run_for(seconds(1));
            assert_eq!(world.audit.runs.get(&key), Some(&1), "seed {seed}");
        }
        assert_eq!(world.broken(), NONE, "seed {seed}");
    }
}

type Fault = (&'static str, fn(&mut World));

const FAULTS: [Fault; 9] = [
    ("serving instance killed", |world| {
        world.kill("entry-1");
    }),
    ("serving instance killed and restarted", |world| {
        world.kill("entry-1");
        world.run_for(Duration::from_millis(300));
        world.start_instance("entry-1");
    }),
    ("another instance killed", |world| world.kill("entry-3")),
    ("two instances killed", |world| {
        world.kill("entry-2");
        world.kill("entry-4");
    }),
    ("all others paused past their terms", |world| {
        for name in ["entry-2", "entry-3", "entry-4", "entry-5"] {
            world.pause(name);
        }
        world.run_for(seconds(9));
        for name in ["entry-2", "entry-3", "entry-4", "entry-5"] {
            world.resume(name);
        }
    }),
    ("log down for 6 s", |world| {
        world.log.down = true;
        world.run_for(seconds(6));
        world.log.down = false;
    }),
    ("append replies lost", |world| world.log.lose_replies = 3),
    ("serving instance cut off from its peers", |world| {
        for other in ["entry-2", "entry-3", "entry-4", "entry-5"] {
            world.cut("entry-1", other, true);
        }
        world.run_for(seconds(6));
        for other in ["entry-2", "entry-3", "entry-4", "entry-5"] {
            world.cut("entry-1", other, false);
        }
    }),
    ("an instance leaves", |world| world.leave("entry-2")),
];

#[test]
fn no_key_runs_twice_under_any_fault_at_any_moment() {
    for (name, fault) in FAULTS {
        for moment_us in [0, 700, 1500, 3000, 5000, 20_000, 60_000] {
            for seed in 1..=2 {
                let case = format!("{name} after {moment_us} us, seed {seed}");
                let mut world = world(seed);
                let keys = ["w1", "w2", "w3", "w4"];
                let mut calls = Vec::new();
                for key in keys {
                    calls.push(world.call("entry-1", order(key)));
                }
                world.run_for(Duration::from_micros(moment_us));
                fault(&mut world);
                // Clients retry four times on the last instance that is still running.
                for _ in 0..4 {
                    for key in keys {
                        let target = world.instances().into_iter().next_back().unwrap();
                        calls.push(world.call(&target, order(key)));
                    }
                    world.run_for(seconds(6));
                }
                assert_eq!(world.broken(), NONE, "{case}");
                for key in keys {
                    let runs = world.audit.runs.get(key).copied().unwrap_or(0);
                    assert!(runs <= 1, "{case}: {key} ran {runs} times");
                }
                // After recovery, each key was answered, or its instance died and the outcome is
                // unknown.
                for (index, key) in keys.iter().enumerate() {
                    let last = calls[calls.len() - keys.len() + index];
                    let settled = match finish(&world, last) {
                        Finish::Answered | Finish::Replayed => true,
                        Finish::Refused(refusal) => refusal.outcome == RunOutcome::Unknown,
                    };
                    assert!(settled, "{case}: {key} ended {:?}", finish(&world, last));
                }
            }
        }
    }
}

#[test]
fn with_the_log_down_an_order_is_rejected_in_time_and_does_not_run_later() {
    for seed in 1..=5 {
        let mut world = world(seed);
        world.log.down = true;
        world.run_for(seconds(5));
        let call = world.call("entry-1", order("w1"));
        world.run_for(Duration::from_millis(3500));
        let Finish::Refused(refusal) = finish(&world, call) else {
            panic!("seed {seed}: not refused");
        };
        assert_eq!(
            (refusal.kind, refusal.outcome),
            (RefusalKind::ClaimUnavailable, RunOutcome::NotRun)
        );
        assert!(refusal.retry_after.is_some());
        world.log.down = false;
        world.run_for(seconds(20));
        assert_eq!(world.audit.runs.get("w1"), None, "seed {seed}");
        let again = world.call("entry-2", order("w1"));
        world.run_for(seconds(3));
        assert_eq!(finish(&world, again), Finish::Answered, "seed {seed}");
        assert_eq!(world.broken(), NONE, "seed {seed}");
    }
}

#[test]
fn a_lost_answer_is_reported_as_unknown_to_the_client_and_to_every_repeat() {
    let mut world = world(1);
    let mut call = order("w1");
    call.body = "lost answer".to_owned();
    let first = world.call("entry-1", call.clone());
    world.run_for(seconds(1));
    let repeat = world.call("entry-4", call);
    world.run_for(seconds(1));
    for call in [first, repeat] {
        let Finish::Refused(refusal) = finish(&world, call) else {
            panic!("not refused");
        };
        assert_eq!(refusal.outcome, RunOutcome::Unknown);
    }
    assert_eq!(world.audit.runs["w1"], 1);
}

#[test]
fn claims_survive_restarts_and_the_retention_of_the_log() {
    let mut world = World::new(WorldOptions {
        instances: 3,
        retention: seconds(40),
        ..WorldOptions::default()
    });
    world.configure();
    world.run_for(seconds(8));
    let call = world.call("entry-1", order("w1"));
    world.run_for(seconds(1));
    assert_eq!(finish(&world, call), Finish::Answered);
    for round in 0..6 {
        world.run_for(seconds(20));
        let name = format!("entry-{}", round % 3 + 1);
        world.kill(&name);
        world.run_for(seconds(8));
        world.start_instance(&name);
        world.run_for(seconds(8));
    }
    let repeat = world.call("entry-2", order("w1"));
    world.run_for(seconds(2));
    assert_eq!(finish(&world, repeat), Finish::Replayed);
    assert_eq!(world.broken(), NONE);
}
