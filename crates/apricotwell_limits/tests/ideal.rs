//! Compares buckets and escrows with an ideal bucket, which knows at admission how many tokens each
//! request will use.

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
    /// The clock advances by some milliseconds.
    Advance(u64),
    /// An instance requests tokens; the grant may be lost.
    Request(usize, u64, bool),
    /// An instance takes tokens for a request that will use a percentage of them.
    Take(usize, u64, u64),
    /// The oldest running request of an instance finishes.
    Finish(usize),
    /// An instance sends a report, which arrives as often as given: never, once or twice.
    Report(usize, u8),
    /// A new holder takes over without a snapshot of the bucket.
    TakeOver,
    /// The holder hands the bucket over with a snapshot.
    HandOver,
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let instance = 0..INSTANCES;
    // Large token requests, and requests that use all or none of their tokens, come closest to the
    // limits.
    let percent = prop_oneof![Just(0_u64), Just(100)];
    let op = prop_oneof![
        3 => (1_u64..2500).prop_map(Op::Advance),
        4 => (instance.clone(), 50_u64..400, prop::bool::weighted(0.1))
            .prop_map(|(i, n, lost)| Op::Request(i, n, lost)),
        6 => (instance.clone(), 20_u64..400, percent).prop_map(|(i, n, s)| Op::Take(i, n, s)),
        3 => instance.clone().prop_map(Op::Finish),
        3 => (instance, 0_u8..3).prop_map(|(i, copies)| Op::Report(i, copies)),
        1 => Just(Op::TakeOver),
        1 => Just(Op::HandOver),
    ];
    proptest::collection::vec(op, 1..120)
}

struct IdealBucket {
    level: f64,
    at: Instant,
}

impl IdealBucket {
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
    fn switch_session(&mut self, session: u64) {
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
        let mut ideal = IdealBucket { level: RATE.burst as f64, at: now };
        let new = || Instance { current: Escrow::new(1), earlier: None, running: Vec::new() };
        let mut instances: Vec<Instance> = (0..INSTANCES).map(|_| new()).collect();
        for op in ops {
            match op {
                Op::Advance(ms) => now += Duration::from_millis(ms),
                Op::Request(index, want, lost) => {
                    let instance = &mut instances[index];
                    instance.switch_session(session);
                    let name = format!("entry-{index}");
                    let grant: Option<Grant> = bucket.grant(now, &name, want);
                    if let (Some(grant), false) = (grant, lost) {
                        instance.current.add(now, grant);
                    }
                }
                Op::Take(index, cost, percent) => {
                    let used = cost * percent / 100;
                    let instance = &mut instances[index];
                    let earlier = instance.earlier.as_mut();
                    let escrows = earlier.into_iter().chain([&mut instance.current]);
                    let taken_from = escrows.into_iter().find_map(|escrow| {
                        escrow.take(now, cost).then(|| escrow.session())
                    });
                    if let Some(taken_from) = taken_from {
                        instance.running.push((taken_from, cost, used));
                        prop_assert!(ideal.spend(now, used), "exceeds the ideal bucket");
                    }
                }
                Op::Finish(index) => {
                    let instance = &mut instances[index];
                    if !instance.running.is_empty() {
                        let (taken_from, cost, used) = instance.running.remove(0);
                        if instance.current.session() == taken_from {
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
    let before_expiry = start + Duration::from_millis(1900);
    assert_eq!(escrow.available(before_expiry), 400);
    assert_eq!(second.grant(before_expiry, "entry-1", 100), None);
    let after_expiry = start + Duration::from_millis(2200);
    assert_eq!(escrow.available(after_expiry), 0);
    assert_eq!(
        second
            .grant(after_expiry, "entry-1", 400)
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
    let before_expiry = start + Duration::from_millis(1750);
    let snapshot = second.snapshot(before_expiry);
    let mut third = Bucket::from_snapshot(before_expiry, RATE, TERM, snapshot);
    assert_eq!(escrow.available(before_expiry), 277);
    assert_eq!(third.grant(before_expiry, "entry-1", 175), None);
}

#[test]
fn an_idle_bucket_does_not_refill_granted_tokens() {
    let start = Instant::now();
    let mut bucket = Bucket::full(start, RATE, TERM);
    assert_eq!(
        bucket
            .grant(start, "entry-1", 332)
            .map(|grant| grant.amount),
        Some(332)
    );
    // No call reaches the bucket until the grant has expired. It may have been spent just before.
    let after_expiry = start + Duration::from_millis(2101);
    assert_eq!(bucket.level(after_expiry), 68);
}

#[test]
fn a_refund_excludes_tokens_that_an_ideal_bucket_would_discard() {
    // 300 tokens are reserved and none of them is used. The ideal bucket stays full meanwhile, so
    // the refill during those two seconds and the refund must not both be credited.
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
    // Repeating the report credits nothing.
    bucket.apply_report(later, "entry-1", &escrow.report(later));
    assert_eq!(bucket.level(later), 0);
}
