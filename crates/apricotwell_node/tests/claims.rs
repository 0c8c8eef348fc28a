//! At-most-once execution under faults, in virtual time.

use std::time::Duration;

use apricotwell_fakes::{Call, CallOutcome, Simulation, SimulationOptions};
use apricotwell_types::{RefusalKind, RunOutcome};

const NONE: Vec<String> = Vec::new();

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn simulation(seed: u64) -> Simulation {
    let mut sim = Simulation::new(SimulationOptions {
        seed,
        instances: 5,
        services: 2,
        ..SimulationOptions::default()
    });
    sim.configure();
    sim.run_for(seconds(8));
    assert!(sim.is_settled());
    sim
}

fn order(key: &str) -> Call {
    Call::order("org-a", "orders", key)
}

fn finish(sim: &Simulation, call: u64) -> CallOutcome {
    sim.history.outcomes[&call].1.clone()
}

#[test]
fn a_repeat_gets_the_recorded_answer_wherever_it_arrives() {
    let mut sim = simulation(1);
    let first = sim.call("entry-1", order("w1"));
    sim.run_for(seconds(1));
    assert_eq!(finish(&sim, first), CallOutcome::Answered);
    for name in sim.instances() {
        let repeat = sim.call(&name, order("w1"));
        sim.run_for(seconds(1));
        assert_eq!(finish(&sim, repeat), CallOutcome::Replayed, "{name}");
    }
    assert_eq!(sim.history.runs["w1"], 1);
    assert_eq!(sim.violations(), NONE);
}

#[test]
fn a_key_with_a_different_body_is_rejected() {
    let mut sim = simulation(1);
    sim.call("entry-1", order("w1"));
    sim.run_for(seconds(1));
    let mut other = order("w1");
    other.body = "another body".to_owned();
    let other = sim.call("entry-2", other);
    sim.run_for(seconds(1));
    let CallOutcome::Refused(refusal) = finish(&sim, other) else {
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
        let mut sim = simulation(seed);
        for round in 0..5 {
            let key = format!("w{round}");
            for name in sim.instances() {
                sim.call(&name, order(&key));
            }
            sim.run_for(seconds(1));
            assert_eq!(sim.history.runs.get(&key), Some(&1), "seed {seed}");
        }
        assert_eq!(sim.violations(), NONE, "seed {seed}");
    }
}

type Fault = (&'static str, fn(&mut Simulation));

const FAULTS: [Fault; 9] = [
    ("serving instance killed", |sim| {
        sim.kill("entry-1");
    }),
    ("serving instance killed and restarted", |sim| {
        sim.kill("entry-1");
        sim.run_for(Duration::from_millis(300));
        sim.start_instance("entry-1");
    }),
    ("another instance killed", |sim| sim.kill("entry-3")),
    ("two instances killed", |sim| {
        sim.kill("entry-2");
        sim.kill("entry-4");
    }),
    ("all others paused past their terms", |sim| {
        for name in ["entry-2", "entry-3", "entry-4", "entry-5"] {
            sim.pause(name);
        }
        sim.run_for(seconds(9));
        for name in ["entry-2", "entry-3", "entry-4", "entry-5"] {
            sim.resume(name);
        }
    }),
    ("log down for 6 s", |sim| {
        sim.log.down = true;
        sim.run_for(seconds(6));
        sim.log.down = false;
    }),
    ("append replies lost", |sim| sim.log.lose_replies = 3),
    ("serving instance cut off from its peers", |sim| {
        for other in ["entry-2", "entry-3", "entry-4", "entry-5"] {
            sim.set_partition("entry-1", other, true);
        }
        sim.run_for(seconds(6));
        for other in ["entry-2", "entry-3", "entry-4", "entry-5"] {
            sim.set_partition("entry-1", other, false);
        }
    }),
    ("an instance leaves", |sim| sim.drain("entry-2")),
];

#[test]
fn no_key_runs_twice_under_any_fault_at_any_moment() {
    for (name, fault) in FAULTS {
        for moment_us in [0, 700, 1500, 3000, 5000, 20_000, 60_000] {
            for seed in 1..=2 {
                let case = format!("{name} after {moment_us} us, seed {seed}");
                let mut sim = simulation(seed);
                let keys = ["w1", "w2", "w3", "w4"];
                let mut calls = Vec::new();
                for key in keys {
                    calls.push(sim.call("entry-1", order(key)));
                }
                sim.run_for(Duration::from_micros(moment_us));
                fault(&mut sim);
                // Clients retry four times on the last instance that is still running.
                for _ in 0..4 {
                    for key in keys {
                        let target = sim.instances().into_iter().next_back().unwrap();
                        calls.push(sim.call(&target, order(key)));
                    }
                    sim.run_for(seconds(6));
                }
                assert_eq!(sim.violations(), NONE, "{case}");
                for key in keys {
                    let runs = sim.history.runs.get(key).copied().unwrap_or(0);
                    assert!(runs <= 1, "{case}: {key} ran {runs} times");
                }
                // After recovery, each key was answered, or its instance died and the outcome is
                // unknown.
                for (index, key) in keys.iter().enumerate() {
                    let last = calls[calls.len() - keys.len() + index];
                    let settled = match finish(&sim, last) {
                        CallOutcome::Answered | CallOutcome::Replayed => true,
                        CallOutcome::Refused(refusal) => refusal.outcome == RunOutcome::Unknown,
                    };
                    assert!(settled, "{case}: {key} ended {:?}", finish(&sim, last));
                }
            }
        }
    }
}

#[test]
fn with_the_log_down_an_order_is_rejected_in_time_and_does_not_run_later() {
    for seed in 1..=5 {
        let mut sim = simulation(seed);
        sim.log.down = true;
        sim.run_for(seconds(5));
        let call = sim.call("entry-1", order("w1"));
        sim.run_for(Duration::from_millis(3500));
        let CallOutcome::Refused(refusal) = finish(&sim, call) else {
            panic!("seed {seed}: not refused");
        };
        assert_eq!(
            (refusal.kind, refusal.outcome),
            (RefusalKind::ClaimUnavailable, RunOutcome::NotRun)
        );
        assert!(refusal.retry_after.is_some());
        sim.log.down = false;
        sim.run_for(seconds(20));
        assert_eq!(sim.history.runs.get("w1"), None, "seed {seed}");
        let again = sim.call("entry-2", order("w1"));
        sim.run_for(seconds(3));
        assert_eq!(finish(&sim, again), CallOutcome::Answered, "seed {seed}");
        assert_eq!(sim.violations(), NONE, "seed {seed}");
    }
}

#[test]
fn a_lost_answer_is_reported_as_unknown_to_the_client_and_to_every_repeat() {
    let mut sim = simulation(1);
    let mut call = order("w1");
    call.body = "lost answer".to_owned();
    let first = sim.call("entry-1", call.clone());
    sim.run_for(seconds(1));
    let repeat = sim.call("entry-4", call);
    sim.run_for(seconds(1));
    for call in [first, repeat] {
        let CallOutcome::Refused(refusal) = finish(&sim, call) else {
            panic!("not refused");
        };
        assert_eq!(refusal.outcome, RunOutcome::Unknown);
    }
    assert_eq!(sim.history.runs["w1"], 1);
}

#[test]
fn claims_survive_restarts_and_the_retention_of_the_log() {
    let mut sim = Simulation::new(SimulationOptions {
        instances: 3,
        retention: seconds(40),
        ..SimulationOptions::default()
    });
    sim.configure();
    sim.run_for(seconds(8));
    let call = sim.call("entry-1", order("w1"));
    sim.run_for(seconds(1));
    assert_eq!(finish(&sim, call), CallOutcome::Answered);
    for round in 0..6 {
        sim.run_for(seconds(20));
        let name = format!("entry-{}", round % 3 + 1);
        sim.kill(&name);
        sim.run_for(seconds(8));
        sim.start_instance(&name);
        sim.run_for(seconds(8));
    }
    let repeat = sim.call("entry-2", order("w1"));
    sim.run_for(seconds(2));
    assert_eq!(finish(&sim, repeat), CallOutcome::Replayed);
    assert_eq!(sim.violations(), NONE);
}
