//! Fleet-wide rate limits under faults, in virtual time.

use std::time::Duration;

use apricotwell_fakes::{Call, Finish, World, WorldOptions};
use apricotwell_types::RefusalKind;

const NONE: Vec<String> = Vec::new();
const RATE: u64 = 1000;
const BURST: u64 = 3000;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn world(seed: u64) -> World {
    let mut world = World::new(WorldOptions {
        seed,
        instances: 5,
        engines: 3,
        run: Duration::from_millis(400),
        ..WorldOptions::default()
    });
    world.configure();
    world.put(
        "/platform/organisations/org-a",
        &format!("rate = {RATE}\nburst = {BURST}\nmodels = [\"*\"]\nmax_waiting = 5000\n"),
    );
    world.put(
        "/platform/pools/orders",
        "kind = \"service\"\nslots = 1000\n",
    );
    world.run_for(seconds(8));
    assert!(world.is_settled());
    world
}

fn call(reserved: u64, used: u64) -> Call {
    let mut call = Call::chat("org-a", "service orders");
    call.reserved = reserved;
    call.used = used;
    call.patience = seconds(3);
    call
}

// Sends `factor` times the rate for `time`, spread evenly over the instances.
fn flood(world: &mut World, time: Duration, factor: u64, reserved: u64, used: u64) -> Vec<u64> {
    let gap = Duration::from_micros(1_000_000 * used / (RATE * factor));
    let mut calls = Vec::new();
    let end = world.elapsed() + time;
    let mut turn = 0;
    while world.elapsed() < end {
        let names = world.instances();
        let name = names[turn % names.len()].clone();
        calls.push(world.call(&name, call(reserved, used)));
        turn += 1;
        world.run_for(gap);
    }
    calls
}

fn exceeded(world: &World) -> f64 {
    world.audit.exceeded("org-a", RATE, BURST)
}

type Fault = (&'static str, fn(&mut World));

const FAULTS: [Fault; 9] = [
    ("nothing", |_| {}),
    ("holder killed", |world| {
        let shard = world.org_shard("org-a");
        let holder = world.holders(shard)[0].clone();
        world.kill(&holder);
    }),
    ("holder leaves", |world| {
        let shard = world.org_shard("org-a");
        let holder = world.holders(shard)[0].clone();
        world.leave(&holder);
    }),
    ("holder paused past its term", |world| {
        let shard = world.org_shard("org-a");
        let holder = world.holders(shard)[0].clone();
        world.pause(&holder);
        world.run_for(seconds(9));
        world.resume(&holder);
    }),
    ("split from the log and from the rest", |world| {
        for one in ["entry-1", "entry-2"] {
            world.cut_log(one, true);
            for other in ["entry-3", "entry-4", "entry-5"] {
                world.cut(one, other, true);
            }
        }
    }),
    ("log down", |world| world.log.down = true),
    ("log down and an instance killed", |world| {
        world.log.down = true;
        world.kill("entry-3");
    }),
    ("an instance joins", |world| world.start_instance("entry-6")),
    ("rate lowered and raised", |world| {
        world.put(
            "/platform/organisations/org-a",
            "rate = 200\nburst = 500\nmodels = [\"*\"]\nmax_waiting = 5000\n",
        );
        world.run_for(seconds(1));
        world.put(
            "/platform/organisations/org-a",
            &format!("rate = {RATE}\nburst = {BURST}\nmodels = [\"*\"]\nmax_waiting = 5000\n"),
        );
    }),
];

#[test]
fn no_fault_lets_an_organisation_exceed_rate_and_burst() {
    for (name, fault) in FAULTS {
        for seed in 1..=4 {
            let mut world = world(seed);
            flood(&mut world, seconds(6), 5, 100, 60);
            fault(&mut world);
            flood(&mut world, seconds(15), 5, 100, 60);
            let over = exceeded(&world);
            assert!(
                over <= 0.0,
                "{name}, seed {seed}: {over} tokens beyond rate and burst"
            );
            assert_eq!(world.broken(), NONE, "{name}, seed {seed}");
        }
    }
}

#[test]
fn steady_use_within_the_rate_is_not_rejected() {
    for seed in 1..=4 {
        let mut world = world(seed);
        let mut refused = 0;
        let calls = {
            let gap = Duration::from_millis(75);
            let mut calls = Vec::new();
            for turn in 0..400 {
                let names = world.instances();
                calls.push(world.call(&names[turn % names.len()], call(100, 60)));
                world.run_for(gap);
            }
            calls
        };
        world.run_for(seconds(4));
        for call in &calls {
            if matches!(world.audit.ends[call].1, Finish::Refused(_)) {
                refused += 1;
            }
        }
        assert_eq!(refused, 0, "seed {seed}: of {}", calls.len());
    }
}

#[test]
fn requests_over_the_rate_are_rejected_with_a_retry_delay() {
    let mut world = world(1);
    let calls = flood(&mut world, seconds(10), 10, 100, 100);
    world.run_for(seconds(6));
    let mut over_rate = 0;
    for call in calls {
        if let (_, Finish::Refused(refusal)) = &world.audit.ends[&call] {
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
        let mut world = world(seed);
        flood(&mut world, seconds(5), 5, 100, 60);
        let before: u64 = world.audit.spent.iter().map(|spent| spent.tokens).sum();
        flood(&mut world, seconds(20), 5, 100, 60);
        let after: u64 = world.audit.spent.iter().map(|spent| spent.tokens).sum();
        let share = (after - before) as f64 / (20 * RATE) as f64;
        assert!(share > 0.90, "seed {seed}: {share:.3} of the rate was used");
    }
}
