//! Leases under faults, in virtual time.

use std::time::Duration;

use apricotwell_fakes::{Simulation, SimulationOptions};
use apricotwell_records::{Body, Record};

const SEEDS: u64 = 12;

fn simulation(seed: u64, instances: usize) -> Simulation {
    let options = SimulationOptions {
        seed,
        instances,
        ..SimulationOptions::default()
    };
    let mut sim = Simulation::new(options);
    sim.run_for(Duration::from_secs(8));
    assert!(sim.is_settled(), "seed {seed}: not settled at the start");
    sim
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Name and action of a fault, and whether all shards must be held again within 15 s of it.
type Fault = (&'static str, fn(&mut Simulation), bool);

const FAULTS: [Fault; 10] = [
    ("kill", |sim| sim.kill("entry-1"), true),
    (
        "kill and unlist",
        |sim| {
            sim.kill("entry-1");
            sim.unlist("entry-1");
        },
        true,
    ),
    (
        "kill and restart",
        |sim| {
            sim.kill("entry-1");
            sim.run_for(Duration::from_millis(700));
            sim.start_instance("entry-1");
        },
        true,
    ),
    ("leave", |sim| sim.drain("entry-1"), true),
    (
        "pause past the term",
        |sim| {
            sim.pause("entry-1");
            sim.run_for(Duration::from_secs(12));
            sim.resume("entry-1");
        },
        true,
    ),
    (
        "short pause",
        |sim| {
            sim.pause("entry-1");
            sim.run_for(Duration::from_millis(2500));
            sim.resume("entry-1");
        },
        true,
    ),
    (
        "cut off the log",
        |sim| sim.set_log_partition("entry-1", true),
        true,
    ),
    (
        "cut off from everything",
        |sim| {
            for other in ["entry-2", "entry-3", "entry-4", "entry-5"] {
                sim.set_partition("entry-1", other, true);
            }
            sim.set_log_partition("entry-1", true);
        },
        true,
    ),
    (
        "lost replies",
        |sim| {
            sim.log.lose_replies = 6;
            sim.drain("entry-2");
        },
        true,
    ),
    (
        "log down and a kill",
        |sim| {
            sim.log.down = true;
            sim.kill("entry-1");
            sim.run_for(Duration::from_secs(10));
            sim.log.down = false;
        },
        true,
    ),
];

#[test]
fn no_shard_has_two_holders_and_every_shard_gets_a_holder_again() {
    for (name, fault, settles) in FAULTS {
        for seed in 1..=SEEDS {
            let mut sim = simulation(seed, 5);
            fault(&mut sim);
            let settled = sim.run_until(seconds(15), Simulation::is_settled);
            assert_eq!(
                sim.violations(),
                Vec::<String>::new(),
                "{name}, seed {seed}"
            );
            assert_eq!(settled, settles, "{name}, seed {seed}");
        }
    }
}

#[test]
fn holders_keep_their_shards_while_the_log_is_down_for_everyone() {
    for seed in 1..=SEEDS {
        let mut sim = simulation(seed, 5);
        sim.log.down = true;
        for second in 0..60 {
            sim.run_for(seconds(1));
            assert!(
                sim.is_settled(),
                "seed {seed}: a holder stopped after {second} s"
            );
        }
        sim.log.down = false;
        sim.run_for(seconds(5));
        assert!(sim.is_settled(), "seed {seed}");
        assert_eq!(sim.violations(), Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn a_minority_cut_off_with_the_log_up_stops_within_the_evidence_window() {
    for seed in 1..=SEEDS {
        let mut sim = simulation(seed, 5);
        for one in ["entry-1", "entry-2"] {
            sim.set_log_partition(one, true);
            for other in ["entry-3", "entry-4", "entry-5"] {
                sim.set_partition(one, other, true);
            }
        }
        sim.run_for(Duration::from_millis(3100));
        for shard in 0..8 {
            let holders = sim.holders(shard);
            let stale = holders
                .iter()
                .any(|holder| holder == "entry-1" || holder == "entry-2");
            assert!(!stale, "seed {seed}: shard {shard} held by {holders:?}");
        }
        assert!(
            sim.run_until(seconds(20), Simulation::is_settled),
            "seed {seed}"
        );
        assert_eq!(sim.violations(), Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn a_minority_with_the_log_takes_no_shard_from_a_majority_without_it() {
    for seed in 1..=SEEDS {
        let mut sim = simulation(seed, 5);
        for one in ["entry-3", "entry-4", "entry-5"] {
            sim.set_log_partition(one, true);
            for other in ["entry-1", "entry-2"] {
                sim.set_partition(one, other, true);
            }
        }
        sim.run_for(seconds(60));
        assert_eq!(sim.violations(), Vec::<String>::new(), "seed {seed}");
        for one in ["entry-3", "entry-4", "entry-5"] {
            sim.set_log_partition(one, false);
            for other in ["entry-1", "entry-2"] {
                sim.set_partition(one, other, false);
            }
        }
        assert!(
            sim.run_until(seconds(30), Simulation::is_settled),
            "seed {seed}"
        );
        assert_eq!(sim.violations(), Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn a_new_holder_waits_until_a_recently_cut_off_holder_has_stopped() {
    // The holder loses its peers first. They declare it dead at about the time when it also loses
    // the log, so its view stays valid for nearly a whole window after its lease is taken over.
    for step in 0..16 {
        let mut sim = simulation(step + 1, 5);
        for other in ["entry-2", "entry-3", "entry-4", "entry-5"] {
            sim.set_partition("entry-1", other, true);
        }
        sim.run_for(Duration::from_millis(2000 + 200 * step));
        sim.set_log_partition("entry-1", true);
        let settled = sim.run_until(seconds(20), Simulation::is_settled);
        assert_eq!(sim.violations(), Vec::<String>::new(), "step {step}");
        assert!(settled, "step {step}");
    }
}

#[test]
fn a_settled_fleet_appends_nothing() {
    let mut sim = simulation(1, 9);
    sim.run_for(seconds(5));
    let before = sim.log.appends;
    sim.run_for(seconds(60));
    assert_eq!(sim.log.appends, before);
}

#[test]
fn a_leaving_instance_hands_each_shard_over_once() {
    for seed in 1..=SEEDS {
        let mut sim = simulation(seed, 5);
        let held = (0..8)
            .filter(|shard| sim.holders(*shard) == ["entry-1"])
            .count();
        let before = sim.log.streams.end("control");
        sim.drain("entry-1");
        sim.run_for(seconds(10));
        let batch = sim.log.streams.read("control", before).unwrap();
        let records = batch
            .records
            .iter()
            .filter_map(|bytes| Record::from_bytes(bytes));
        let moved: Vec<Body> = records.filter_map(|record| record.body).collect();
        let is_move = |body: &&Body| matches!(body, Body::AcquireLeases(_));
        let count = moved.iter().filter(is_move).count();
        assert!(count <= held, "seed {seed}: {held} shards: {moved:?}");
        assert!(sim.is_settled(), "seed {seed}");
    }
}

#[test]
fn a_larger_fleet_settles_and_recovers_from_a_kill() {
    // Each member probes only a fortieth of the fleet per period, so evidence must be relayed.
    let options = SimulationOptions {
        instances: 40,
        shards: 64,
        ..SimulationOptions::default()
    };
    let mut sim = Simulation::new(options);
    sim.run_for(seconds(12));
    assert!(sim.is_settled());
    let before = sim.log.appends;
    sim.run_for(seconds(10));
    assert_eq!(sim.log.appends, before);
    sim.kill("entry-2");
    assert!(sim.run_until(seconds(15), Simulation::is_settled));
    assert_eq!(sim.violations(), Vec::<String>::new());
}

#[test]
fn a_joining_instance_takes_only_its_share_of_shards() {
    let options = SimulationOptions {
        instances: 8,
        shards: 64,
        ..SimulationOptions::default()
    };
    let mut sim = Simulation::new(options);
    sim.run_for(seconds(10));
    let before: Vec<_> = (0..64).map(|shard| sim.holders(shard)).collect();
    sim.start_instance("entry-9");
    assert!(sim.run_until(seconds(20), Simulation::is_settled));
    sim.run_for(seconds(10));
    let moved: Vec<_> = (0..64_u32)
        .filter(|shard| sim.holders(*shard) != before[*shard as usize])
        .collect();
    let joined = moved.iter().all(|shard| sim.holders(*shard) == ["entry-9"]);
    assert!(joined, "moved {moved:?}");
    assert!((1..=16).contains(&moved.len()), "moved {}", moved.len());
}
