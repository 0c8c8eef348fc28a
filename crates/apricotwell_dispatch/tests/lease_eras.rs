//! The placement lease at a store that comes back from older copies and whose records expire, in virtual time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_dispatch::lease::{GroupView, Lease, LeaseAction, LeaseConfig};
use apricotwell_dispatch::lease_log::{
    ClaimContext, ClaimCopy, ClaimRecord, KnownClaim, LastClaim, LastCopies,
};
use apricotwell_types::{Fence, StoreEra};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const CONFIG: LeaseConfig = LeaseConfig {
    term: Duration::from_millis(1800),
    handover_pause: Duration::from_millis(3000),
    max_renewal_gap: Duration::from_millis(700),
    fenced: false,
};
const STEP: Duration = Duration::from_millis(10);
const RENEWAL_STEPS: u32 = 50;
const COPY_STEPS: usize = 20;
const RUN_STEPS: usize = 7000;
// Steps with faults; after the last one all members are well for as long as a lease may take to be claimed.
const FAULT_STEPS: usize = RUN_STEPS - 1500;
const MEMBERS: usize = 4;

#[derive(Clone, Default)]
struct History {
    claims: Vec<ClaimRecord>,
    // Number of claims whose records were deleted.
    expired: usize,
    // Newest copy of a claim of each era, and the end of the log of copies.
    copies: BTreeMap<Option<StoreEra>, ClaimCopy>,
    copy_end: u64,
    // Members and the step at which each expires.
    group: BTreeMap<usize, usize>,
    candidate: usize,
    // Rises with each change of the group.
    generation: u64,
}

impl History {
    fn append_copy(&mut self, at: u64, copy: ClaimCopy) {
        if self.copy_end == at {
            self.copies.insert(copy.claim.era, copy);
            self.copy_end += 1;
        }
    }
}

#[derive(Default)]
struct Store {
    history: History,
    copies: Vec<History>,
    // Copies of claims that are appended late, with the step and the offset at which they may be.
    late: Vec<(usize, u64, ClaimCopy)>,
    era: Option<StoreEra>,
    away_until: usize,
}

struct Member {
    lease: Lease,
    is_first: bool,
    first_era: Option<StoreEra>,
    // Generation of the group in which it last checked the log.
    checked: Option<u64>,
    era: Option<StoreEra>,
    // Steps from which on it renews again, and until which it does not reach the store.
    renewal_due: usize,
    cut_until: usize,
}

impl Member {
    fn new(is_first: bool, fenced: bool, step: usize) -> Self {
        Self {
            lease: Lease::new(LeaseConfig { fenced, ..CONFIG }),
            is_first,
            first_era: None,
            checked: None,
            era: None,
            renewal_due: step,
            cut_until: step,
        }
    }
}

// An order that a server would accept.
#[derive(Clone, Copy, Debug)]
struct Order {
    step: usize,
    member: usize,
    fence: Fence,
}

struct Fleet {
    start: Instant,
    step: usize,
    fenced: bool,
    restarts_in_pause: bool,
    // Whether records of claims are deleted.
    expires: bool,
    rng: SmallRng,
    store: Store,
    members: Vec<Member>,
    claims: Vec<Fence>,
    orders: Vec<Order>,
}

impl Fleet {
    fn new(seed: u64, era: Option<StoreEra>, fenced: bool) -> Self {
        Self {
            start: Instant::now(),
            step: 0,
            fenced,
            restarts_in_pause: true,
            expires: false,
            rng: SmallRng::seed_from_u64(seed),
            store: Store {
                era,
                ..Store::default()
            },
            members: (0..MEMBERS).map(|_| Member::new(true, fenced, 0)).collect(),
            claims: Vec::new(),
            orders: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.start + STEP * self.step as u32
    }

    fn run(&mut self) {
        for _ in 0..RUN_STEPS {
            self.step += 1;
            self.store_step();
            for index in 0..MEMBERS {
                self.fault(index);
                self.member_step(index);
            }
        }
    }

    fn store_step(&mut self) {
        let step = self.step;
        if step < self.store.away_until {
            return;
        }
        let history = &mut self.store.history;
        let before = history.group.len();
        history.group.retain(|_, expiry| *expiry > step);
        history.generation += u64::from(history.group.len() < before);
        if !history.group.contains_key(&history.candidate) || self.rng.random_ratio(1, 400) {
            let members: Vec<usize> = history.group.keys().copied().collect();
            if !members.is_empty() {
                history.candidate = members[self.rng.random_range(0..members.len())];
                history.generation += 1;
            }
        }
        if self.expires && self.rng.random_ratio(1, 300) {
            history.expired = history.claims.len();
        }
        let is_due = |late: &mut (usize, u64, ClaimCopy)| late.0 <= step;
        for (_, at, copy) in self.store.late.extract_if(.., is_due) {
            history.append_copy(at, copy);
        }
        if step.is_multiple_of(COPY_STEPS) {
            self.store.copies.push(self.store.history.clone());
        }
        if self.step <= FAULT_STEPS && self.rng.random_ratio(1, 700) {
            self.drill();
        }
    }

    fn drill(&mut self) {
        let age = self.rng.random_range(1..40).min(self.store.copies.len());
        if age == 0 {
            return;
        }
        let kept = self.store.copies.len() - age;
        self.store.history = self.store.copies[kept].clone();
        self.store.copies.truncate(kept);
        self.store.away_until = self.step + self.rng.random_range(1..120);
        // Times pause while the store is away; the copy is as old as its age.
        let shift = age * COPY_STEPS + self.store.away_until - self.step;
        for expiry in self.store.history.group.values_mut() {
            *expiry += shift;
        }
        self.store.era = self.store.era.map(|era| era + 1);
    }

    fn fault(&mut self, index: usize) {
        if self.step > FAULT_STEPS {
            return;
        }
        let is_hit = self.rng.random_ratio(1, 1500);
        if is_hit && (self.restarts_in_pause || !self.is_in_pause(index)) {
            self.members[index] = Member::new(false, self.fenced, self.step + 60);
        }
        if self.rng.random_ratio(1, 1500) {
            self.members[index].cut_until = self.step + self.rng.random_range(20..400);
        }
    }

    // Returns whether a member has claimed the lease and may not send orders yet.
    fn is_in_pause(&self, index: usize) -> bool {
        let lease = &self.members[index].lease;
        lease.is_held(self.now()) && lease.fence(self.now()).is_none()
    }

    fn member_step(&mut self, index: usize) {
        let now = self.now();
        if self.step >= self.members[index].renewal_due {
            self.members[index].renewal_due = self.step + RENEWAL_STEPS as usize;
            self.members[index].lease.begin_renewal(now);
            let is_cut = self.step < self.members[index].cut_until;
            if !is_cut && self.step >= self.store.away_until {
                self.renew(index);
            }
        }
        if let Some(fence) = self.members[index].lease.fence(now) {
            self.order(index, fence);
        }
    }

    fn renew(&mut self, index: usize) {
        let now = self.now();
        let expiry = self.step + (CONFIG.term.as_millis() / STEP.as_millis()) as usize;
        let history = &mut self.store.history;
        let is_new = history.group.insert(index, expiry).is_none();
        history.generation += u64::from(is_new);
        let (generation, is_candidate) = (history.generation, history.candidate == index);
        let era = self.store.era;
        let is_heard = |member: &Member| member.lease.announced_fence(now).is_some();
        let is_led = self.members.iter().any(is_heard);
        let member = &mut self.members[index];
        member.first_era = member.first_era.or(era);
        if member.era != era {
            member.checked = None;
        }
        member.era = era;
        let view = GroupView {
            generation,
            checked: member.checked,
            is_candidate,
            is_led,
        };
        let changed = view.may_be_free();
        let action = member.lease.complete_renewal(now, changed, era);
        // Some reads of the log fail.
        if action == LeaseAction::Check
            && !self.rng.random_ratio(1, 10)
            && self.check(index, is_candidate)
        {
            self.members[index].checked = Some(generation);
        }
    }

    // Returns whether all calls of the store succeeded.
    fn check(&mut self, index: usize, is_candidate: bool) -> bool {
        let now = self.now();
        let history = &self.store.history;
        let retained = history.claims[history.expired..].last();
        let log = LastClaim {
            end: history.claims.len() as u64,
            claim: retained.cloned(),
            era: self.store.era,
        };
        let copies = LastCopies {
            copies: history.copies.values().cloned().collect(),
            end: history.copy_end,
            era: self.store.era,
        };
        let last = KnownClaim::new(copies, log).unwrap();
        let context = ClaimContext {
            has_reverted: self.members[index].first_era != self.store.era,
            others_know_eras: true,
            first_start: self.members[index].is_first,
        };
        let group = &self.store.history.group;
        let is_member = |holder: &str| group.contains_key(&holder.parse().unwrap());
        let own = index.to_string();
        let standing = last.standing(&own, context, is_member);
        let lease = &mut self.members[index].lease;
        if lease.apply_standing(now, standing, is_candidate) != LeaseAction::Claim {
            return true;
        }
        let waits = lease.first_order(now, standing) > now;
        let record = last.next_claim(&own, context, waits);
        let fence = record.fence_at(last.end());
        // Some appends fail, with or without an effect.
        let is_answered = !self.rng.random_ratio(1, 8);
        if is_answered || self.rng.random() {
            self.store.history.claims.push(record.clone());
            self.claims.push(fence);
        }
        let is_answered =
            is_answered && self.append_copy(last.copy_end(), record.copied_at(last.end()));
        let lease = &mut self.members[index].lease;
        match is_answered {
            true => lease.apply_claim(now, fence, last.end(), standing),
            false => lease.on_claim_lost(),
        }
        is_answered
    }

    // Returns whether the append was answered; if not, it may have succeeded or still succeed.
    fn append_copy(&mut self, at: u64, copy: ClaimCopy) -> bool {
        let is_answered = !self.rng.random_ratio(1, 8);
        let is_late = !is_answered && self.rng.random();
        if is_late {
            let step = self.step + self.rng.random_range(1..400);
            self.store.late.push((step, at, copy));
        } else if is_answered || self.rng.random() {
            self.store.history.append_copy(at, copy);
        }
        is_answered
    }

    fn order(&mut self, member: usize, fence: Fence) {
        let order = Order {
            step: self.step,
            member,
            fence,
        };
        self.orders.push(order);
    }

    fn check_fences(&self, seed: u64) {
        let mut sorted = self.claims.clone();
        sorted.sort_unstable();
        sorted.dedup();
        assert_eq!(
            sorted.len(),
            self.claims.len(),
            "seed {seed}: a token was used twice"
        );
        assert_eq!(
            sorted, self.claims,
            "seed {seed}: a later claim has a lower token"
        );
    }

    // Checks that servers get orders again once the faults are over.
    fn check_progress(&self, seed: u64) {
        let last = self.orders.last().map_or(0, |order| order.step);
        assert!(
            last + 20 > RUN_STEPS,
            "seed {seed}: the last order is at step {last}"
        );
    }

    // Checks that two holders never take turns within the handover pause.
    fn check_turns(&self, seed: u64) {
        let pause = (CONFIG.handover_pause.as_millis() / STEP.as_millis()) as usize;
        for turn in self.orders.windows(2) {
            let (before, after) = (turn[0], turn[1]);
            assert!(
                before.member == after.member || after.step - before.step >= pause,
                "seed {seed}: {before:?} {after:?}"
            );
            assert!(
                before.fence <= after.fence,
                "seed {seed}: {before:?} {after:?}"
            );
        }
    }
}

/// An offset that the store gave out again became the token of a second holder.
#[test]
fn no_order_of_drills_and_faults_gives_two_claims_one_token() {
    for seed in 0..600 {
        for fenced in [false, true] {
            let mut fleet = Fleet::new(seed, Some(seed % 7 * 1_000_003), fenced);
            fleet.run();
            assert!(fleet.orders.len() > RUN_STEPS / 10, "seed {seed}: {fenced}");
            fleet.check_fences(seed);
        }
    }
}

/// A claim that failed after a check, or a check that failed, left the lease to nobody.
#[test]
fn servers_get_orders_again_after_drills_and_faults() {
    for seed in 0..600 {
        for fenced in [false, true] {
            let mut fleet = Fleet::new(seed, Some(1), fenced);
            fleet.run();
            fleet.check_progress(seed);
        }
    }
}

/// A holder whose claim was lost ordered servers beside the one that claimed the lease after a drill.
#[test]
fn no_order_of_drills_and_faults_makes_holders_take_turns_within_the_pause() {
    for seed in 0..600 {
        let mut fleet = Fleet::new(seed, Some(1), false);
        fleet.restarts_in_pause = false;
        fleet.run();
        fleet.check_turns(seed);
    }
}

/// A process that restarts takes over the lease of the one before it, which may have been in its pause.
#[test]
fn claimant_that_restarts_in_its_pause_does_not_order_before_it_is_over() {
    for seed in 0..600 {
        let mut fleet = Fleet::new(seed, Some(1), false);
        fleet.run();
        fleet.check_turns(seed);
    }
}

/// A holder whose claim had expired lost the lease while it lived, and the token of its successor fell.
#[test]
fn no_order_of_expiries_and_faults_gives_the_lease_away_or_lowers_a_token() {
    for seed in 0..600 {
        let mut fleet = Fleet::new(seed, Some(1), false);
        fleet.restarts_in_pause = seed % 2 == 0;
        fleet.expires = true;
        fleet.run();
        fleet.check_fences(seed);
        fleet.check_turns(seed);
    }
}

/// A lease whose claim had expired without a copy was claimed by nobody, as the candidate had no reason to look.
#[test]
fn servers_get_orders_again_after_expiries_and_faults() {
    for seed in 0..600 {
        let mut fleet = Fleet::new(seed, Some(1), false);
        fleet.expires = true;
        fleet.run();
        fleet.check_progress(seed);
    }
}
