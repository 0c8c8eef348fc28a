//! Escrow against an ideal bucket that knows at admission what each request will use.

use std::time::{Duration, Instant};

use apricotwell_limits::{Bucket, Escrow, Grant, Rate};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RATE: Rate = Rate {
    per_second: 100,
    burst: 400,
};
const TERM: Duration = Duration::from_secs(2);
const INSTANCES: usize = 2;

#[derive(Clone, Copy, Debug)]
enum Op {
    /// Time passes.
    Pass(u64),
    /// An instance asks for tokens; the answer may be lost.
    Ask(usize, u64, bool),
    /// An instance takes tokens for a request that will use part of them.
    Take(usize, u64, u64),
    /// The oldest running request of an instance ends.
    Finish(usize),
    /// An instance reports; the report may be lost or come twice.
    Report(usize, u8),
    /// The holder is replaced by one that knows nothing.
    TakeOver,
    /// The bucket is handed over.
    HandOver,
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let instance = 0..INSTANCES;
    // Large asks and takes that use all or nothing come nearest to the bounds.
    let share = prop_oneof![Just(0_u64), Just(100)];
    let op = prop_oneof![
        3 => (1_u64..2500).prop_map(Op::Pass),
        4 => (instance.clone(), 50_u64..400, prop::bool::weighted(0.1))
            .prop_map(|(i, n, lost)| Op::Ask(i, n, lost)),
        6 => (instance.clone(), 20_u64..400, share).prop_map(|(i, n, s)| Op::Take(i, n, s)),
        3 => instance.clone().prop_map(Op::Finish),
        3 => (instance, 0_u8..3).prop_map(|(i, copies)| Op::Report(i, copies)),
        1 => Just(Op::TakeOver),
        1 => Just(Op::HandOver),
    ];
    proptest::collection::vec(op, 1..120)
}

struct Ideal {
    level: f64,
    at: Instant,
}

impl Ideal {
    fn spend(&mut self, now: Instant, tokens: u64) -> bool {
        let elapsed = (now - self.at).as_secs_f64();
        self.at = now;
        let refilled = self.level + elapsed * RATE.per_second as f64;
        self.level = refilled.min(RATE.burst as f64) - tokens as f64;
        self.level >= -1e-6
    }
}

struct Instance {
    current: Escrow,
    earlier: Option<Escrow>,
    running: Vec<(u64, u64, u64)>,
}

impl Instance {
    fn follow(&mut self, session: u64) {
        if self.current.session() != session {
            let earlier = std::mem::replace(&mut self.current, Escrow::new(session));
            self.earlier = Some(earlier);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4000, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn no_schedule_exceeds_the_ideal_bucket(ops in ops()) {
        let start = Instant::now();
        let mut now = start;
        let mut session = 1;
        let mut bucket = Bucket::full(now, RATE, TERM);
        let mut ideal = Ideal { level: RATE.burst as f64, at: now };
        let new = || Instance { current: Escrow::new(1), earlier: None, running: Vec::new() };
        let mut instances: Vec<Instance> = (0..INSTANCES).map(|_| new()).collect();
        for op in ops {
            match op {
                Op::Pass(ms) => now += Duration::from_millis(ms),
                Op::Ask(index, want, lost) => {
                    let instance = &mut instances[index];
                    instance.follow(session);
                    let name = format!("entry-{index}");
                    let grant: Option<Grant> = bucket.grant(now, &name, want);
                    if let (Some(grant), false) = (grant, lost) {
                        instance.current.add(now, grant);
                    }
                }
                Op::Take(index, cost, share) => {
                    let used = cost * share / 100;
                    let instance = &mut instances[index];
                    let earlier = instance.earlier.as_mut();
                    let from = earlier.into_iter().chain([&mut instance.current]);
                    let taken = from.into_iter().find_map(|escrow| {
                        escrow.take(now, cost).then(|| escrow.session())
                    });
                    if let Some(taken) = taken {
                        instance.running.push((taken, cost, used));
                        prop_assert!(ideal.spend(now, used), "beyond the ideal bucket");
                    }
                }
                Op::Finish(index) => {
                    let instance = &mut instances[index];
                    if !instance.running.is_empty() {
                        let (taken, cost, used) = instance.running.remove(0);
                        if instance.current.session() == taken {
                            instance.current.settle(cost, used);
                        }
                    }
                }
                Op::Report(index, copies) => {
                    let instance = &mut instances[index];
                    if instance.current.session() == session {
                        let report = instance.current.report(now);
                        for _ in 0..copies {
                            bucket.apply_report(now, &format!("entry-{index}"), &report);
                        }
                    }
                }
                Op::TakeOver => {
                    session += 1;
                    bucket = Bucket::after_takeover(now, RATE, TERM);
                }
                Op::HandOver => {
                    session += 1;
                    let snapshot = bucket.snapshot(now);
                    bucket = Bucket::from_snapshot(now, RATE, TERM, snapshot);
                }
            }
        }
    }
}

#[test]
fn a_takeover_grants_nothing_while_earlier_grants_can_be_spent() {
    let start = Instant::now();
    let mut first = Bucket::full(start, RATE, TERM);
    let mut escrow = Escrow::new(1);
    let grant = first.grant(start, "entry-1", 400).unwrap();
    escrow.add(start, grant);
    let mut second = Bucket::after_takeover(start, RATE, TERM);
    let late = start + Duration::from_millis(1900);
    assert_eq!(escrow.available(late), 400);
    assert_eq!(second.grant(late, "entry-1", 100), None);
    let lapsed = start + Duration::from_millis(2200);
    assert_eq!(escrow.available(lapsed), 0);
    assert_eq!(
        second
            .grant(lapsed, "entry-1", 400)
            .map(|grant| grant.amount),
        Some(10)
    );
}

#[test]
fn a_bucket_handed_over_while_closed_stays_closed() {
    let start = Instant::now();
    let mut first = Bucket::full(start, RATE, TERM);
    let mut escrow = Escrow::new(1);
    let grant = first.grant(start, "entry-1", 277).unwrap();
    escrow.add(start, grant);
    let mut second = Bucket::after_takeover(start, RATE, TERM);
    let late = start + Duration::from_millis(1750);
    let snapshot = second.snapshot(late);
    let mut third = Bucket::from_snapshot(late, RATE, TERM, snapshot);
    assert_eq!(escrow.available(late), 277);
    assert_eq!(third.grant(late, "entry-1", 175), None);
}

#[test]
fn a_quiet_bucket_does_not_refill_what_is_lent() {
    let start = Instant::now();
    let mut bucket = Bucket::full(start, RATE, TERM);
    assert_eq!(
        bucket
            .grant(start, "entry-1", 332)
            .map(|grant| grant.amount),
        Some(332)
    );
    // Nobody asks until the grant has lapsed; it may have been spent a moment before.
    let lapsed = start + Duration::from_millis(2101);
    assert_eq!(bucket.level(lapsed), 68);
}

#[test]
fn a_refund_does_not_refill_what_an_ideal_bucket_had_no_room_for() {
    // 300 tokens are reserved and none used. The ideal bucket stays full meanwhile, so that the
    // refill of those seconds and the refund can't both count.
    let start = Instant::now();
    let mut bucket = Bucket::full(start, RATE, TERM);
    let mut escrow = Escrow::new(1);
    let grant = bucket.grant(start, "entry-1", 300).unwrap();
    escrow.add(start, grant);
    assert!(escrow.take(start, 300));
    bucket.apply_report(start, "entry-1", &escrow.report(start));
    let later = start + Duration::from_secs(2);
    assert_eq!(bucket.level(later), 300);
    escrow.settle(300, 0);
    bucket.apply_report(later, "entry-1", &escrow.report(later));
    assert_eq!(bucket.level(later), 400);
    let spent = bucket
        .grant(later, "entry-1", 400)
        .map(|grant| grant.amount);
    assert_eq!(spent, Some(400));
    // The same report again makes nothing.
    bucket.apply_report(later, "entry-1", &escrow.report(later));
    assert_eq!(bucket.level(later), 0);
}
