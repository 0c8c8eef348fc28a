//! A fleet before one model engine.

use std::time::Duration;

use apricotwell_fakes::{Simulation, SimulationOptions};

/// Name of the engine.
pub(crate) const ENGINE: &str = "engine-1";

/// Returns a fleet that has settled and whose engine has no model loaded yet.
pub(crate) fn settled_fleet(seed: u64, instances: usize) -> Simulation {
    let mut sim = Simulation::new(SimulationOptions {
        seed,
        instances,
        engines: 1,
        ..SimulationOptions::default()
    });
    sim.configure();
    sim.run_for(Duration::from_secs(8));
    assert!(sim.is_settled());
    sim
}
