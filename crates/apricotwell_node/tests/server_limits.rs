//! Limits that servers name for all instances together, in virtual time.

#[path = "support/single_engine.rs"]
mod single_engine;

use std::time::Duration;

use apricotwell_fakes::{Call, CallOutcome, Simulation};
use single_engine::{ENGINE, settled_fleet};

/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn loaded_simulation(seed: u64, instances: usize) -> Simulation {
    let mut sim = settled_fleet(seed, instances);
    let first = sim.instances()[0].clone();
    sim.call(&first, Call::chat("org-a", "model-a"));
    sim.run_for(seconds(2));
    sim
}

// Lets all instances receive requests for `time`; returns the calls.
fn send_calls(sim: &mut Simulation, time: Duration) -> Vec<u64> {
    let mut calls = Vec::new();
    let end = sim.now() + time;
    while sim.now() < end {
        for name in sim.instances() {
            let call = Call {
                timeout: seconds(3),
                ..Call::chat("org-a", "model-a")
            };
            calls.push(sim.call(&name, call));
        }
        sim.run_for(Duration::from_millis(250));
    }
    calls
}

// Returns the most requests that reached the engine in any window from `after` on.
fn most_arrivals(sim: &Simulation, after: Duration) -> usize {
    let start = sim.now() - sim.elapsed() + after;
    let arrivals: Vec<_> = sim.history.arrivals.iter().map(|(_, at)| *at).collect();
    let counted: Vec<_> = arrivals.into_iter().filter(|at| *at >= start).collect();
    let counts = counted.iter().enumerate().map(|(first, at)| {
        let within = counted[first..].iter().take_while(|it| **it < *at + WINDOW);
        within.count()
    });
    counts.max().unwrap_or(0)
}

#[test]
fn engine_that_names_a_limit_gets_no_more_from_all_instances_together() {
    for (seed, instances, limit) in [(1, 9, 1.0), (2, 9, 6.0), (3, 3, 2.0)] {
        let mut sim = loaded_simulation(seed, instances);
        sim.set_engine_limit(ENGINE, Some(limit));
        let named = sim.elapsed();
        let calls = send_calls(&mut sim, seconds(20));
        let most = most_arrivals(&sim, named + seconds(4));
        let allowed = (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize;
        assert!(
            most <= allowed,
            "limit {limit}: {most} requests, allowed {allowed}"
        );
        let answered = calls
            .iter()
            .filter(|call| {
                matches!(
                    sim.history.outcomes.get(call),
                    Some((_, CallOutcome::Answered))
                )
            })
            .count();
        assert!(
            answered as f64 >= 0.5 * limit * 20.0,
            "limit {limit}: {answered} answered"
        );
        assert_eq!(sim.violations(), Vec::<String>::new());
    }
}

#[test]
fn engine_that_no_longer_names_a_limit_is_used_as_before() {
    let mut sim = loaded_simulation(4, 5);
    sim.set_engine_limit(ENGINE, Some(1.0));
    send_calls(&mut sim, seconds(6));
    sim.set_engine_limit(ENGINE, None);
    send_calls(&mut sim, seconds(10));
    let calls = send_calls(&mut sim, seconds(3));
    sim.run_for(seconds(2));
    for call in calls {
        let outcome = sim.history.outcomes.get(&call);
        assert!(
            matches!(outcome, Some((_, CallOutcome::Answered))),
            "{outcome:?}"
        );
    }
}
