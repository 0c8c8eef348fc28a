//! The placement lease: who may order, and from when.

use std::time::{Duration, Instant};

use apricotwell_dispatch::lease::{ClaimStatus, Lease, LeaseAction, LeaseConfig};

const TERMS: LeaseConfig = LeaseConfig {
    term: Duration::from_millis(1800),
    handover_pause: Duration::from_millis(3000),
    max_renewal_gap: Duration::from_millis(700),
    fenced: true,
};
const UNFENCED: LeaseConfig = LeaseConfig {
    fenced: false,
    ..TERMS
};
const RENEWAL: Duration = Duration::from_millis(500);

fn renew(lease: &mut Lease, now: Instant, changed: bool) -> LeaseAction {
    lease.begin_renewal(now);
    lease.complete_renewal(now, changed)
}

fn holder(terms: LeaseConfig, now: Instant) -> Lease {
    let mut lease = Lease::new(terms);
    assert_eq!(renew(&mut lease, now, true), LeaseAction::Check);
    assert_eq!(
        lease.apply_status(ClaimStatus::Unclaimed, true),
        LeaseAction::Claim
    );
    lease.apply_claim(now, 1, ClaimStatus::Unclaimed);
    assert_eq!(lease.fence(now), Some(1));
    lease
}

#[test]
fn only_the_candidate_claims_a_free_lease() {
    for standing in [ClaimStatus::Unclaimed, ClaimStatus::Dropped] {
        let mut lease = Lease::new(TERMS);
        assert_eq!(lease.apply_status(standing, false), LeaseAction::Keep);
        assert_eq!(lease.apply_status(standing, true), LeaseAction::Claim);
    }
    let mut lease = Lease::new(TERMS);
    assert_eq!(
        lease.apply_status(ClaimStatus::Taken, true),
        LeaseAction::Keep
    );
}

#[test]
fn a_restarted_holder_takes_its_lease_back_at_once() {
    let now = Instant::now();
    let mut lease = Lease::new(TERMS);
    assert_eq!(
        lease.apply_status(ClaimStatus::Own, false),
        LeaseAction::Claim
    );
    lease.complete_renewal(now, true);
    lease.apply_claim(now, 5, ClaimStatus::Own);
    assert_eq!(lease.fence(now), Some(5));
}

#[test]
fn a_successor_waits_for_the_pause_between_two_holders() {
    let now = Instant::now();
    for (terms, standing, least) in [
        (UNFENCED, ClaimStatus::Dropped, TERMS.handover_pause),
        // The group drops a member after the term; its last order came at most one renewal later.
        (
            TERMS,
            ClaimStatus::Dropped,
            TERMS.handover_pause + TERMS.max_renewal_gap - TERMS.term,
        ),
    ] {
        let mut lease = Lease::new(terms);
        lease.complete_renewal(now, true);
        lease.apply_claim(now, 2, standing);
        let early = now + least - Duration::from_millis(1);
        keep_alive(&mut lease, now, early);
        assert_eq!(lease.fence(early), None, "{standing:?}");
        keep_alive(&mut lease, early, now + least);
        assert_eq!(lease.fence(now + least), Some(2), "{standing:?}");
    }
}

fn keep_alive(lease: &mut Lease, from: Instant, until: Instant) {
    let mut now = from;
    while now <= until {
        assert_eq!(renew(lease, now, false), LeaseAction::Keep);
        now += RENEWAL;
    }
}

#[test]
fn an_unfenced_holder_stops_within_its_term() {
    let now = Instant::now();
    let lease = holder(UNFENCED, now);
    assert_eq!(lease.fence(now + Duration::from_millis(1400)), Some(1));
    assert_eq!(lease.fence(now + UNFENCED.term), None);
}

#[test]
fn a_fenced_holder_goes_on_while_the_store_is_silent() {
    let now = Instant::now();
    let mut lease = holder(TERMS, now);
    let mut tried = now;
    while tried < now + Duration::from_secs(9) {
        tried += RENEWAL;
        lease.begin_renewal(tried);
    }
    assert_eq!(lease.fence(tried), Some(1));
    assert_eq!(lease.fence(now + Duration::from_secs(13)), None);
    lease.observe_fence(2);
    assert_eq!(lease.fence(tried), None, "a successor orders");
}

#[test]
fn a_paused_holder_does_not_order_when_it_wakes() {
    let now = Instant::now();
    let mut lease = holder(TERMS, now);
    let awake = now + Duration::from_secs(4);
    assert_eq!(lease.fence(awake), None, "before it has tried to renew");
    lease.begin_renewal(awake);
    assert_eq!(lease.fence(awake), None, "before the store has answered");
    assert_eq!(lease.complete_renewal(awake, true), LeaseAction::Check);
    assert_eq!(
        lease.apply_status(ClaimStatus::Taken, true),
        LeaseAction::Keep
    );
    assert_eq!(lease.fence(awake), None);
}

#[test]
fn a_holder_that_dropped_its_claim_looks_whether_it_may_claim_anew() {
    let now = Instant::now();
    let mut lease = holder(TERMS, now);
    // Held up for longer than a renewal, but not so long that the group dropped it.
    let awake = now + Duration::from_millis(1750);
    lease.begin_renewal(awake);
    assert_eq!(lease.fence(awake), None);
    assert_eq!(lease.complete_renewal(awake, false), LeaseAction::Check);
    assert_eq!(
        lease.apply_status(ClaimStatus::Own, false),
        LeaseAction::Claim
    );
    lease.apply_claim(awake, 2, ClaimStatus::Own);
    assert_eq!(lease.fence(awake), Some(2));
    let next = awake + RENEWAL;
    assert_eq!(renew(&mut lease, next, false), LeaseAction::Keep);
}

#[test]
fn a_holder_looks_at_the_log_after_a_gap_in_its_renewals() {
    let now = Instant::now();
    let mut lease = holder(TERMS, now);
    let mut tried = now;
    for _ in 0..5 {
        tried += RENEWAL;
        lease.begin_renewal(tried);
    }
    assert_eq!(lease.complete_renewal(tried, false), LeaseAction::Check);
    let mut replaced = lease;
    assert_eq!(
        replaced.apply_status(ClaimStatus::Taken, true),
        LeaseAction::Stop
    );
    assert_eq!(replaced.fence(tried), None);
}

#[test]
fn a_refused_fence_ends_the_claim() {
    let now = Instant::now();
    let mut lease = holder(TERMS, now);
    lease.on_fenced();
    assert_eq!(lease.fence(now), None);
    assert!(!lease.is_held(now));
}

#[test]
fn a_previous_holder_has_stopped_before_its_successor_orders() {
    let now = Instant::now();
    let mut previous = holder(TERMS, now);
    let mut next = Lease::new(TERMS);
    let claimed = now + Duration::from_secs(2);
    next.complete_renewal(claimed, true);
    next.apply_claim(claimed, 2, ClaimStatus::Dropped);
    let mut heard = None;
    let mut at = now;
    while at < claimed {
        previous.begin_renewal(at);
        at += Duration::from_millis(500);
    }
    while next.fence(at).is_none() {
        keep_alive(&mut next, at, at);
        // The store does not answer the previous holder, which servers would still obey.
        previous.begin_renewal(at);
        if let Some(fence) = next.announced_fence(at) {
            // The news takes a third of a second; the previous holder, cut off, goes on till then.
            heard.get_or_insert((at + Duration::from_millis(330), fence));
        }
        if let Some((when, fence)) = heard
            && when <= at
        {
            previous.observe_fence(fence);
        }
        at += Duration::from_millis(20);
    }
    assert_eq!(previous.fence(at), None);
    assert!(at >= claimed + Duration::from_millis(1500));
}
