//! The placement lease: which instance may send orders, and when.

use std::time::{Duration, Instant};

use apricotwell_dispatch::lease::{ClaimStatus, Lease, LeaseAction, LeaseConfig, Standing};

const FENCED: LeaseConfig = LeaseConfig {
    term: Duration::from_millis(1800),
    handover_pause: Duration::from_millis(3000),
    max_renewal_gap: Duration::from_millis(700),
    fenced: true,
};
const UNFENCED: LeaseConfig = LeaseConfig {
    fenced: false,
    ..FENCED
};
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

// What the log says where the store names no era.
fn standing(status: ClaimStatus) -> Standing {
    Standing {
        status,
        last: (status != ClaimStatus::Unclaimed).then_some(0),
        is_current: true,
        waits: false,
    }
}

fn renew(lease: &mut Lease, now: Instant, changed: bool) -> LeaseAction {
    lease.begin_renewal(now);
    lease.complete_renewal(now, changed, None)
}

fn holder(config: LeaseConfig, now: Instant) -> Lease {
    let mut lease = Lease::new(config);
    assert_eq!(renew(&mut lease, now, true), LeaseAction::Check);
    assert_eq!(
        lease.apply_standing(Instant::now(), standing(ClaimStatus::Unclaimed), true),
        LeaseAction::Claim
    );
    lease.apply_claim(now, 1, 0, standing(ClaimStatus::Unclaimed));
    assert_eq!(lease.fence(now), Some(1));
    lease
}

#[test]
fn only_the_candidate_claims_a_free_lease() {
    for status in [ClaimStatus::Unclaimed, ClaimStatus::Dropped] {
        let mut lease = Lease::new(FENCED);
        assert_eq!(
            lease.apply_standing(Instant::now(), standing(status), false),
            LeaseAction::Keep
        );
        assert_eq!(
            lease.apply_standing(Instant::now(), standing(status), true),
            LeaseAction::Claim
        );
    }
    let mut lease = Lease::new(FENCED);
    assert_eq!(
        lease.apply_standing(Instant::now(), standing(ClaimStatus::Taken), true),
        LeaseAction::Keep
    );
}

#[test]
fn a_restarted_holder_reclaims_its_lease_immediately() {
    let now = Instant::now();
    let mut lease = Lease::new(FENCED);
    assert_eq!(
        lease.apply_standing(Instant::now(), standing(ClaimStatus::Own), false),
        LeaseAction::Claim
    );
    lease.complete_renewal(now, true, None);
    lease.apply_claim(now, 5, 4, standing(ClaimStatus::Own));
    assert_eq!(lease.fence(now), Some(5));
}

#[test]
fn a_successor_waits_for_the_handover_pause() {
    let now = Instant::now();
    for (config, status, min_delay) in [
        (UNFENCED, ClaimStatus::Dropped, FENCED.handover_pause),
        // The group removes a member after the term; its last order came at most one renewal gap
        // after its last renewal.
        (
            FENCED,
            ClaimStatus::Dropped,
            FENCED.handover_pause + FENCED.max_renewal_gap - FENCED.term,
        ),
    ] {
        let mut lease = Lease::new(config);
        lease.complete_renewal(now, true, None);
        lease.apply_claim(now, 2, 1, standing(status));
        let early = now + min_delay - Duration::from_millis(1);
        keep_alive(&mut lease, now, early);
        assert_eq!(lease.fence(early), None, "{status:?}");
        keep_alive(&mut lease, early, now + min_delay);
        assert_eq!(lease.fence(now + min_delay), Some(2), "{status:?}");
    }
}

fn keep_alive(lease: &mut Lease, from: Instant, until: Instant) {
    let mut now = from;
    while now <= until {
        assert_eq!(renew(lease, now, false), LeaseAction::Keep);
        now += RENEWAL_INTERVAL;
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
fn a_fenced_holder_continues_while_the_store_does_not_answer() {
    let now = Instant::now();
    let mut lease = holder(FENCED, now);
    let mut attempt = now;
    while attempt < now + Duration::from_secs(9) {
        attempt += RENEWAL_INTERVAL;
        lease.begin_renewal(attempt);
    }
    assert_eq!(lease.fence(attempt), Some(1));
    assert_eq!(lease.fence(now + Duration::from_secs(13)), None);
    lease.observe_fence(2);
    assert_eq!(lease.fence(attempt), None, "a successor sends orders");
}

#[test]
fn a_suspended_holder_sends_no_orders_when_it_resumes() {
    let now = Instant::now();
    let mut lease = holder(FENCED, now);
    let resumed = now + Duration::from_secs(4);
    assert_eq!(lease.fence(resumed), None, "before it has tried to renew");
    lease.begin_renewal(resumed);
    assert_eq!(
        lease.fence(resumed),
        None,
        "before the store has confirmed the renewal"
    );
    assert_eq!(
        lease.complete_renewal(resumed, true, None),
        LeaseAction::Check
    );
    assert_eq!(
        lease.apply_standing(Instant::now(), standing(ClaimStatus::Taken), true),
        LeaseAction::Keep
    );
    assert_eq!(lease.fence(resumed), None);
}

#[test]
fn a_holder_that_released_its_claim_checks_whether_it_may_reclaim() {
    let now = Instant::now();
    let mut lease = holder(FENCED, now);
    // Stalled for longer than two renewal gaps, but not so long that the group removed it.
    let resumed = now + Duration::from_millis(1750);
    lease.begin_renewal(resumed);
    assert_eq!(lease.fence(resumed), None);
    assert_eq!(
        lease.complete_renewal(resumed, false, None),
        LeaseAction::Check
    );
    assert_eq!(
        lease.apply_standing(Instant::now(), standing(ClaimStatus::Own), false),
        LeaseAction::Claim
    );
    lease.apply_claim(resumed, 2, 1, standing(ClaimStatus::Own));
    assert_eq!(lease.fence(resumed), Some(2));
    let next = resumed + RENEWAL_INTERVAL;
    assert_eq!(renew(&mut lease, next, false), LeaseAction::Keep);
}

#[test]
fn a_holder_checks_the_log_after_a_gap_in_its_renewals() {
    let now = Instant::now();
    let mut lease = holder(FENCED, now);
    let mut attempt = now;
    for _ in 0..5 {
        attempt += RENEWAL_INTERVAL;
        lease.begin_renewal(attempt);
    }
    assert_eq!(
        lease.complete_renewal(attempt, false, None),
        LeaseAction::Check
    );
    let mut replaced = lease;
    assert_eq!(
        replaced.apply_standing(Instant::now(), standing(ClaimStatus::Taken), true),
        LeaseAction::Stop
    );
    assert_eq!(replaced.fence(attempt), None);
}

#[test]
fn a_rejected_fencing_token_ends_the_claim() {
    let now = Instant::now();
    let mut lease = holder(FENCED, now);
    lease.on_fenced();
    assert_eq!(lease.fence(now), None);
    assert!(!lease.is_held(now));
}

#[test]
fn a_previous_holder_stops_before_its_successor_sends_orders() {
    let now = Instant::now();
    let mut previous = holder(FENCED, now);
    let mut next = Lease::new(FENCED);
    let claimed = now + Duration::from_secs(2);
    next.complete_renewal(claimed, true, None);
    next.apply_claim(claimed, 2, 1, standing(ClaimStatus::Dropped));
    let mut announcement = None;
    let mut at = now;
    while at < claimed {
        previous.begin_renewal(at);
        at += Duration::from_millis(500);
    }
    while next.fence(at).is_none() {
        keep_alive(&mut next, at, at);
        // The store does not answer the previous holder, whose orders servers still accept.
        previous.begin_renewal(at);
        if let Some(fence) = next.announced_fence(at) {
            // The announcement takes a third of a second; until it arrives, the previous holder
            // continues.
            announcement.get_or_insert((at + Duration::from_millis(330), fence));
        }
        if let Some((arrival, fence)) = announcement
            && arrival <= at
        {
            previous.observe_fence(fence);
        }
        at += Duration::from_millis(20);
    }
    assert_eq!(previous.fence(at), None);
    assert!(at >= claimed + Duration::from_millis(1500));
}
