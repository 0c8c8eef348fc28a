//! Parts of prompts that crash engines, in virtual time.

#[path = "support/single_engine.rs"]
mod single_engine;

use std::time::Duration;

use apricotwell_fakes::{Call, CallOutcome, Simulation};
use apricotwell_types::RefusalKind;
use single_engine::{ENGINE, settled_fleet};

/// Engines that may end under one part, those included that ended before the others were known.
const MAX_ENDED: usize = 5;
const GENERAL: u64 = 1;
const SOUND: u64 = 2;
const BAD: u64 = 66;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

// Sends a request that no other equals; with the bad part it crashes the engine. Returns its outcome.
fn send(sim: &mut Simulation, name: &str, part: u64, number: usize) -> CallOutcome {
    let body = if part == BAD { "crash" } else { "hello" };
    let call = Call {
        body: format!("{body} {number}"),
        parts: vec![GENERAL, part],
        timeout: seconds(4),
        ..Call::chat("org-a", "model-a")
    };
    let number = sim.call(name, call);
    sim.run_until(seconds(6), |sim| sim.history.outcomes.contains_key(&number));
    sim.history.outcomes[&number].1.clone()
}

// Sends requests with the bad part to all instances in turn, with a sound one after each. Returns how
// often the engine ended.
fn play(sim: &mut Simulation, rounds: usize) -> usize {
    let mut ended = 0;
    for number in 0..rounds {
        let names = sim.instances();
        let name = names[number % names.len()].clone();
        send(sim, &name, BAD, number);
        if !sim.is_engine_alive(ENGINE) {
            ended += 1;
            sim.start_engine(ENGINE);
        }
        sim.run_for(seconds(3));
        let other = names[(number + 1) % names.len()].clone();
        let outcome = send(sim, &other, SOUND, number);
        assert_eq!(outcome, CallOutcome::Answered, "round {number}");
    }
    ended
}

#[test]
fn prompts_with_a_part_that_crashes_engines_are_stopped_and_the_others_answered() {
    for (seed, instances) in [(1, 3), (2, 9)] {
        let mut sim = settled_fleet(seed, instances);
        let ended = play(&mut sim, 12);
        assert!(ended <= MAX_ENDED, "{instances} instances: {ended} ended");
        for name in sim.instances() {
            let outcome = send(&mut sim, &name, BAD, 100);
            let CallOutcome::Refused(refusal) = outcome else {
                panic!("{name}: {outcome:?}");
            };
            assert_eq!(refusal.kind, RefusalKind::Quarantined, "{name}");
        }
        assert_eq!(sim.violations(), Vec::<String>::new());
    }
}

#[test]
fn instance_that_restarts_learns_the_parts_that_crash_engines() {
    let mut sim = settled_fleet(3, 3);
    play(&mut sim, 8);
    let name = sim.instances()[0].clone();
    sim.kill(&name);
    sim.run_for(seconds(4));
    sim.start_instance(&name);
    sim.run_for(seconds(8));
    let outcome = send(&mut sim, &name, BAD, 200);
    assert!(matches!(outcome, CallOutcome::Refused(_)), "{outcome:?}");
    assert!(sim.is_engine_alive(ENGINE));
}
