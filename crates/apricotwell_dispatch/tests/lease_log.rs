//! Fencing tokens: beside builds and stores that know no eras, and with eras of any size.

use apricotwell_dispatch::lease::{ClaimStatus, FenceConflict, Lease, LeaseConfig, Standing};
use apricotwell_dispatch::lease_log::{
    ClaimContext, ClaimCopy, ClaimRecord, KnownClaim, LastClaim, LastCopies,
};
use std::time::{Duration, Instant};

/// Largest whole number that every reader of JSON takes exactly.
const MAX_JSON_NUMBER: u64 = (1 << 53) - 1;
const ALONE: ClaimContext = ClaimContext {
    has_reverted: false,
    others_know_eras: true,
    first_start: false,
};
const MIXED: ClaimContext = ClaimContext {
    others_know_eras: false,
    ..ALONE
};

fn log(end: u64, era: Option<u64>, claim: Option<ClaimRecord>) -> KnownClaim {
    copied(end, era, claim, None)
}

fn copied(
    end: u64,
    era: Option<u64>,
    claim: Option<ClaimRecord>,
    copy: Option<ClaimCopy>,
) -> KnownClaim {
    let copies = LastCopies {
        copies: copy.into_iter().collect(),
        end: 7,
        era,
    };
    KnownClaim::new(copies, LastClaim { end, claim, era }).unwrap()
}

// Claim of a build that knows no eras.
fn former_claim() -> ClaimRecord {
    ClaimRecord {
        holder: "former".to_owned(),
        era: None,
        fence: None,
        waits: false,
    }
}

fn fence(last: &KnownClaim, context: ClaimContext) -> u64 {
    let claim = last.next_claim("own", context, false);
    claim.fence_at(last.end())
}

#[test]
fn tokens_stay_comparable_while_a_build_without_eras_may_claim() {
    let beside = log(4, Some(9), Some(former_claim()));
    assert_eq!(fence(&beside, MIXED), 5);
    // That build claims next, at offset 5, and must have the higher token.
    assert!(former_claim().fence_at(5) > fence(&beside, MIXED));
    assert!(fence(&beside, ALONE) > MAX_JSON_NUMBER >> 21);
    // After a drill no other token would be unique.
    let reverted = ClaimContext {
        has_reverted: true,
        ..MIXED
    };
    assert!(fence(&beside, reverted) > MAX_JSON_NUMBER >> 21);
    // Once a token has an era, later ones do too.
    let begun = beside.next_claim("own", ALONE, false);
    let next = log(5, Some(9), Some(begun.clone()));
    assert!(fence(&next, MIXED) > begun.fence_at(4));
}

#[test]
fn tokens_of_a_store_without_eras_are_offsets() {
    let last = log(4, None, Some(former_claim()));
    assert_eq!(fence(&last, ALONE), 5);
    let record = last.next_claim("own", ALONE, false);
    assert_eq!((record.era, record.fence), (None, None));
}

#[test]
fn tokens_rise_with_the_era_and_are_exact_in_json() {
    for era in [0, 1, 77, (1 << 21) - 2, 1_700_000_000, u64::MAX - 1] {
        let before = fence(&log(1_000_000, Some(era), None), ALONE);
        assert!(before <= MAX_JSON_NUMBER, "era {era}");
        let is_wrapped = (era + 1).is_multiple_of(1 << 21);
        let after = fence(&log(0, Some(era + 1), None), ALONE);
        assert!(after > before || is_wrapped, "era {era}");
    }
    // An era that falls does not lower the token of the next claim in the log.
    let high = log(3, Some(8), None).next_claim("own", ALONE, false);
    let fallen = log(4, Some(2), Some(high.clone()));
    assert!(fence(&fallen, ALONE) > high.fence_at(3));
}

#[test]
fn equal_token_of_another_instance_ends_the_claim() {
    let now = Instant::now();
    let mut lease = Lease::new(LeaseConfig {
        term: Duration::from_millis(1800),
        handover_pause: Duration::from_millis(3000),
        max_renewal_gap: Duration::from_millis(700),
        fenced: true,
    });
    let standing = Standing {
        status: ClaimStatus::Unclaimed,
        last: None,
        is_current: true,
        waits: false,
    };
    for (heard, conflict) in [
        (6, FenceConflict::None),
        (7, FenceConflict::Shared),
        (8, FenceConflict::Superseded),
    ] {
        lease.begin_renewal(now);
        lease.complete_renewal(now, true, None);
        lease.apply_claim(now, 7, 6, standing);
        assert_eq!(lease.observe_fence(heard), conflict);
        assert_eq!(lease.fence(now).is_some(), conflict == FenceConflict::None);
    }
}

#[test]
fn claim_that_expired_lowers_no_token_of_a_member_that_has_not_heard_the_others() {
    let first = log(0, Some(1), None).next_claim("lost", ALONE, false);
    let known = copied(1, Some(1), None, Some(first.copied_at(0)));
    assert!(fence(&known, MIXED) > first.fence_at(0));
    // A claim after the copied one, whose holder ended before it wrote a copy, has expired too.
    let second = known.next_claim("ended", MIXED, false);
    let known = copied(2, Some(1), None, Some(first.copied_at(0)));
    assert!(fence(&known, MIXED) > second.fence_at(1));
    // Earlier builds write no copies.
    assert!(fence(&log(2, Some(1), None), MIXED) > second.fence_at(1));
}

#[test]
fn copy_of_an_earlier_claim_brings_back_no_former_holder() {
    let own = log(0, Some(1), None).next_claim("own", ALONE, false);
    let status = |end, claim: Option<ClaimRecord>| {
        let last = copied(end, Some(1), claim, Some(own.copied_at(0)));
        last.standing("own", ALONE, |_| true).status
    };
    assert_eq!(status(1, None), ClaimStatus::Own);
    assert_eq!(status(2, None), ClaimStatus::Dropped);
    assert_eq!(status(2, Some(former_claim())), ClaimStatus::Taken);
}

#[test]
fn copy_that_was_read_in_another_era_than_the_log_counts_for_nothing() {
    let copies = LastCopies {
        era: Some(1),
        ..LastCopies::default()
    };
    let log = LastClaim {
        end: 0,
        claim: None,
        era: Some(2),
    };
    assert_eq!(KnownClaim::new(copies, log), None);
}
