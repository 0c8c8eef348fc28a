//! Fleet-wide rate limits under faults, in virtual time.

use std::time::Duration;

use apricotwell_fakes::{Call, CallOutcome, Simulation, SimulationOptions};
use apricotwell_types::RefusalKind;

const NONE: Vec<String> = Vec::new();
const RATE: u64 = 1000;
const BURST: u64 = 3000;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn simulation(seed: u64) -> Simulation {
    let mut sim = Simulation::new(SimulationOptions {
        seed,
        instances: 5,
        engines: 3,
        request_time: Duration::from_millis(400),
        ..SimulationOptions::default()
    });
    sim.configure();
    sim.put(
        "/platform/organisations/org-a",
        &format!("rate = {RATE}\nburst = {BURST}\nmodels = [\"*\"]\nmax_waiting = 5000\n"),
    );
    sim.put(
        "/platform/pools/orders",
        "kind = \"service\"\nslots = 1000\n",
    );
    sim.run_for(seconds(8));
    assert!(sim.is_settled());
    sim
}

fn call(reserved: u64, used: u64) -> Call {
    let mut call = Call::chat("org-a", "service orders");
    call.reserved = reserved;
    call.used = used;
    call.timeout = seconds(3);
    call
}

// Sends `factor` times the rate for `time`, spread evenly over the instances.
fn flood(sim: &mut Simulation, time: Duration, factor: u64, reserved: u64, used: u64) -> Vec<u64> {
    let gap = Duration::from_micros(1_000_000 * used / (RATE * factor));
    let mut calls = Vec::new();
    let end = sim.elapsed() + time;
    let mut turn = 0;
    while sim.elapsed() < end {
        let names = sim.instances();
        let name = names[turn % names.len()].clone();
        calls.push(sim.call(&name, call(reserved, used)));
        turn += 1;
        sim.run_for(gap);
    }
    calls
}

fn exceeded(sim: &Simulation) -> f64 {
    sim.history.max_excess("org-a", RATE, BURST)
}

type Fault = (&'static str, fn(&mut Simulation));

const FAULTS: [Fault; 9] = [
    ("nothing", |_| {}),
    ("holder killed", |sim| {
        let shard = sim.org_shard("org-a");
        let holder = sim.holders(shard)[0].clone();
        sim.kill(&holder);
    }),
    ("holder leaves", |sim| {
        let shard = sim.org_shard("org-a");
        let holder = sim.holders(shard)[0].clone();
        sim.drain(&holder);
    }),
    ("holder paused past its term", |sim| {
        let shard = sim.org_shard("org-a");
        let holder = sim.holders(shard)[0].clone();
        sim.pause(&holder);
        sim.run_for(seconds(9));
        sim.resume(&holder);
    }),
    ("split from the log and from the rest", |sim| {
        for one in ["entry-1", "entry-2"] {
            sim.set_log_partition(one, true);
            for other in ["entry-3", "entry-4", "entry-5"] {
                sim.set_partition(one, other, true);
            }
        }
    }),
    ("log down", |sim| sim.log.down = true),
    ("log down and an instance killed", |sim| {
        sim.log.down = true;
        sim.kill("entry-3");
    }),
    ("an instance joins", |sim| sim.start_instance("entry-6")),
    ("rate lowered and raised", |sim| {
        sim.put(
            "/platform/organisations/org-a",
            "rate = 200\nburst = 500\nmodels = [\"*\"]\nmax_waiting = 5000\n",
        );
        sim.run_for(seconds(1));
        sim.put(
            "/platform/organisations/org-a",
            &format!("rate = {RATE}\nburst = {BURST}\nmodels = [\"*\"]\nmax_waiting = 5000\n"),
        );
    }),
];

#[test]
fn no_fault_lets_an_organisation_exceed_rate_and_burst() {
    for (name, fault) in FAULTS {
        for seed in 1..=4 {
            let mut sim = simulation(seed);
            flood(&mut sim, seconds(6), 5, 100, 60);
            fault(&mut sim);
            flood(&mut sim, seconds(15), 5, 100, 60);
            let over = exceeded(&sim);
            assert!(
                over <= 0.0,
                "{name}, seed {seed}: {over} tokens beyond rate and burst"
            );
            assert_eq!(sim.violations(), NONE, "{name}, seed {seed}");
        }
    }
}

#[test]
fn steady_use_within_the_rate_is_not_rejected() {
    for seed in 1..=4 {
        let mut sim = simulation(seed);
        let mut refused = 0;
        let calls = {
            let gap = Duration::from_millis(75);
            let mut calls = Vec::new();
            for turn in 0..400 {
                let names = sim.instances();
                calls.push(sim.call(&names[turn % names.len()], call(100, 60)));
                sim.run_for(gap);
            }
            calls
        };
        sim.run_for(seconds(4));
        for call in &calls {
            if matches!(sim.history.outcomes[call].1, CallOutcome::Refused(_)) {
                refused += 1;
            }
        }
        assert_eq!(refused, 0, "seed {seed}: of {}", calls.len());
    }
}

#[test]
fn requests_over_the_rate_are_rejected_with_a_retry_delay() {
    let mut sim = simulation(1);
    let calls = flood(&mut sim, seconds(10), 10, 100, 100);
    sim.run_for(seconds(6));
    let mut over_rate = 0;
    for call in calls {
        if let (_, CallOutcome::Refused(refusal)) = &sim.history.outcomes[&call] {
            assert!(
                matches!(
                    refusal.kind,
                    RefusalKind::RateLimited | RefusalKind::DeadlineExceeded
                ),
                "{refusal:?}"
            );
            if refusal.kind == RefusalKind::RateLimited {
                over_rate += 1;
                assert!(refusal.retry_after.is_some());
            }
        }
    }
    assert!(over_rate > 100, "{over_rate}");
}

#[test]
fn nearly_all_of_the_rate_is_used_under_a_flood() {
    for seed in 1..=4 {
        let mut sim = simulation(seed);
        flood(&mut sim, seconds(5), 5, 100, 60);
        let before: u64 = sim
            .history
            .token_uses
            .iter()
            .map(|spent| spent.tokens)
            .sum();
        flood(&mut sim, seconds(20), 5, 100, 60);
        let after: u64 = sim
            .history
            .token_uses
            .iter()
            .map(|spent| spent.tokens)
            .sum();
        let share = (after - before) as f64 / (20 * RATE) as f64;
        assert!(share > 0.90, "seed {seed}: {share:.3} of the rate was used");
    }
}
