//! Instances that reach no engine, while clients, the log and other instances reach them.

#[path = "support/single_engine.rs"]
mod single_engine;

use std::time::Duration;

use apricotwell_fakes::Simulation;
use apricotwell_fakes::{Call, CallOutcome};
use single_engine::{ENGINE, settled_fleet};

fn send(sim: &mut Simulation, name: &str, number: usize) -> CallOutcome {
    let call = Call {
        body: format!("hello {number}"),
        timeout: Duration::from_secs(4),
        ..Call::chat("org-a", "model-a")
    };
    let call = sim.call(name, call);
    sim.run_until(Duration::from_secs(6), |sim| {
        sim.history.outcomes.contains_key(&call)
    });
    sim.history.outcomes[&call].1.clone()
}

#[test]
fn instance_that_reaches_no_engine_serves_its_clients() {
    let mut sim = settled_fleet(1, 3);
    let names = sim.instances();
    for name in &names {
        assert_eq!(send(&mut sim, name, 0), CallOutcome::Answered, "{name}");
    }
    sim.set_engine_partition(&names[0], true);
    sim.run_for(Duration::from_secs(3));
    for number in 1..6 {
        let outcome = send(&mut sim, &names[1], number);
        assert_eq!(outcome, CallOutcome::Answered, "another instance");
        let outcome = send(&mut sim, &names[0], number);
        assert_eq!(outcome, CallOutcome::Answered, "request {number}");
    }
    assert!(sim.is_engine_alive(ENGINE));
}
