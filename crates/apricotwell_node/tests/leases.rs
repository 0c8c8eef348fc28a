//! Leases under faults, in virtual time.

use std::time::Duration;

use apricotwell_fakes::{World, WorldOptions};
use apricotwell_records::{Body, Record};

const SEEDS: u64 = 12;

fn world(seed: u64, instances: usize) -> World {
    let options = WorldOptions {
        seed,
        instances,
        ..WorldOptions::default()
    };
    let mut world = World::new(options);
    world.run_for(Duration::from_secs(8));
    assert!(world.is_settled(), "seed {seed}: not settled at the start");
    world
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Name and action of a fault, and whether all shards must be held again within 15 s of it.
type Fault = (&'static str, fn(&mut World), bool);

const FAULTS: [Fault; 10] = [
    ("kill", |world| world.kill("entry-1"), true),
    (
        "kill and unlist",
        |world| {
            world.kill("entry-1");
            world.unlist("entry-1");
        },
        true,
    ),
    (
        "kill and restart",
        |world| {
            world.kill("entry-1");
            world.run_for(Duration::from_millis(700));
            world.start_instance("entry-1");
        },
        true,
    ),
    ("leave", |world| world.leave("entry-1"), true),
    (
        "pause past the term",
        |world| {
            world.pause("entry-1");
            world.run_for(Duration::from_secs(12));
            world.resume("entry-1");
        },
        true,
    ),
    (
        "short pause",
        |world| {
            world.pause("entry-1");
            world.run_for(Duration::from_millis(2500));
            world.resume("entry-1");
        },
        true,
    ),
    (
        "cut off the log",
        |world| world.cut_log("entry-1", true),
        true,
    ),
    (
        "cut off from everything",
        |world| {
            for other in ["entry-2", "entry-3", "entry-4", "entry-5"] {
                world.cut("entry-1", other, true);
            }
            world.cut_log("entry-1", true);
        },
        true,
    ),
    (
        "lost replies",
        |world| {
            world.log.lose_replies = 6;
            world.leave("entry-2");
        },
        true,
    ),
    (
        "log down and a kill",
        |world| {
            world.log.down = true;
            world.kill("entry-1");
            world.run_for(Duration::from_secs(10));
            world.log.down = false;
        },
        true,
    ),
];

#[test]
fn no_shard_has_two_holders_and_every_shard_gets_a_holder_again() {
    for (name, fault, settles) in FAULTS {
        for seed in 1..=SEEDS {
            let mut world = world(seed, 5);
            fault(&mut world);
            let settled = world.run_until(seconds(15), World::is_settled);
            assert_eq!(world.broken(), Vec::<String>::new(), "{name}, seed {seed}");
            assert_eq!(settled, settles, "{name}, seed {seed}");
        }
    }
}

#[test]
fn holders_keep_their_shards_while_the_log_is_down_for_everyone() {
    for seed in 1..=SEEDS {
        let mut world = world(seed, 5);
        world.log.down = true;
        for second in 0..60 {
            world.run_for(seconds(1));
            assert!(
                world.is_settled(),
                "seed {seed}: a holder stopped after {second} s"
            );
        }
        world.log.down = false;
        world.run_for(seconds(5));
        assert!(world.is_settled(), "seed {seed}");
        assert_eq!(world.broken(), Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn a_minority_cut_off_with_the_log_up_stops_within_the_evidence_window() {
    for seed in 1..=SEEDS {
        let mut world = world(seed, 5);
        for one in ["entry-1", "entry-2"] {
            world.cut_log(one, true);
            for other in ["entry-3", "entry-4", "entry-5"] {
                world.cut(one, other, true);
            }
        }
        world.run_for(Duration::from_millis(3100));
        for shard in 0..8 {
            let holders = world.holders(shard);
            let stale = holders
                .iter()
                .any(|holder| holder == "entry-1" || holder == "entry-2");
            assert!(!stale, "seed {seed}: shard {shard} held by {holders:?}");
        }
        assert!(
            world.run_until(seconds(20), World::is_settled),
            "seed {seed}"
        );
        assert_eq!(world.broken(), Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn a_minority_with_the_log_takes_no_shard_from_a_majority_without_it() {
    for seed in 1..=SEEDS {
        let mut world = world(seed, 5);
        for one in ["entry-3", "entry-4", "entry-5"] {
            world.cut_log(one, true);
            for other in ["entry-1", "entry-2"] {
                world.cut(one, other, true);
            }
        }
        world.run_for(seconds(60));
        assert_eq!(world.broken(), Vec::<String>::new(), "seed {seed}");
        for one in ["entry-3", "entry-4", "entry-5"] {
            world.cut_log(one, false);
            for other in ["entry-1", "entry-2"] {
                world.cut(one, other, false);
            }
        }
        assert!(
            world.run_until(seconds(30), World::is_settled),
            "seed {seed}"
        );
        assert_eq!(world.broken(), Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn a_new_holder_waits_until_a_recently_cut_off_holder_has_stopped() {
    // The holder loses its peers first. They declare it dead at about the time when it also loses
    // the log, so its view stays valid for nearly a whole window after its lease is taken over.
    for step in 0..16 {
        let mut world = world(step + 1, 5);
        for other in ["entry-2", "entry-3", "entry-4", "entry-5"] {
            world.cut("entry-1", other, true);
        }
        world.run_for(Duration::from_millis(2000 + 200 * step));
        world.cut_log("entry-1", true);
        let settled = world.run_until(seconds(20), World::is_settled);
        assert_eq!(world.broken(), Vec::<String>::new(), "step {step}");
        assert!(settled, "step {step}");
    }
}

#[test]
fn a_settled_fleet_appends_nothing() {
    let mut world = world(1, 9);
    world.run_for(seconds(5));
    let before = world.log.appends;
    world.run_for(seconds(60));
    assert_eq!(world.log.appends, before);
}

#[test]
fn a_leaving_instance_hands_each_shard_over_once() {
    for seed in 1..=SEEDS {
        let mut world = world(seed, 5);
        let held = (0..8)
            .filter(|shard| world.holders(*shard) == ["entry-1"])
            .count();
        let before = world.log.streams.end("control");
        world.leave("entry-1");
        world.run_for(seconds(10));
        let batch = world.log.streams.read("control", before).unwrap();
        let records = batch
            .records
            .iter()
            .filter_map(|bytes| Record::from_bytes(bytes));
        let moved: Vec<Body> = records.filter_map(|record| record.body).collect();
        let is_move = |body: &&Body| matches!(body, Body::AcquireLeases(_));
        let count = moved.iter().filter(is_move).count();
        assert!(count <= held, "seed {seed}: {held} shards: {moved:?}");
        assert!(world.is_settled(), "seed {seed}");
    }
}

#[test]
fn a_larger_fleet_settles_and_recovers_from_a_kill() {
    // Each member probes only a fortieth of the fleet per period, so evidence must be relayed.
    let options = WorldOptions {
        instances: 40,
        shards: 64,
        ..WorldOptions::default()
    };
    let mut world = World::new(options);
    world.run_for(seconds(12));
    assert!(world.is_settled());
    let before = world.log.appends;
    world.run_for(seconds(10));
    assert_eq!(world.log.appends, before);
    world.kill("entry-2");
    assert!(world.run_until(seconds(15), World::is_settled));
    assert_eq!(world.broken(), Vec::<String>::new());
}

#[test]
fn a_joining_instance_takes_only_its_share_of_shards() {
    let options = WorldOptions {
        instances: 8,
        shards: 64,
        ..WorldOptions::default()
    };
    let mut world = World::new(options);
    world.run_for(seconds(10));
    let before: Vec<_> = (0..64).map(|shard| world.holders(shard)).collect();
    world.start_instance("entry-9");
    assert!(world.run_until(seconds(20), World::is_settled));
    world.run_for(seconds(10));
    let moved: Vec<_> = (0..64_u32)
        .filter(|shard| world.holders(*shard) != before[*shard as usize])
        .collect();
    let joined = moved
        .iter()
        .all(|shard| world.holders(*shard) == ["entry-9"]);
    assert!(joined, "moved {moved:?}");
    assert!((1..=16).contains(&moved.len()), "moved {}", moved.len());
}
