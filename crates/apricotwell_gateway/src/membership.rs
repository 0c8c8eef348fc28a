//! Membership in the fleet's group at the store, and the placement lease.

use std::rc::Rc;
use std::time::{Duration, Instant};

use apricotwell_dispatch::lease_log::ClaimContext;
use apricotwell_dispatch::prelude::*;
use apricotwell_types::{InstanceId, StoreEra};
use tokio::sync::watch;

use crate::adapter::{KeyedLog, Platform, Store, StoreError};
use crate::claim_copies;
use crate::events::Event;
use crate::gateway::Gateway;

/// Interval between renewals of the membership.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval between two reads of the member list.
const MIN_LIST_INTERVAL: Duration = Duration::from_millis(3000);
/// Minimum interval between two reads of the member list, per instance of the fleet. The longer of
/// the two minimums applies.
const LIST_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(60);
/// Time after its start in which an instance may not know most of the others, which started with it.
const START_TIME: Duration = Duration::from_secs(5);
/// Minimum interval between two reads of the member list in that time.
const START_LIST_INTERVAL: Duration = Duration::from_millis(900);
/// Time without a reachable engine after which an instance leaves the group, and the lease to others.
const STEP_ASIDE_TIME: Duration = Duration::from_millis(900);
/// Attempts to claim the lease between two renewals.
const MAX_CLAIM_ATTEMPTS: u32 = 3;

/// Renews the membership periodically and claims the placement lease when it is free.
pub async fn run<P>(gateway: Rc<Gateway<P>>)
where
    P: Platform,
{
    let term = gateway.dispatcher.borrow().config.lease.term;
    let mut renewer = Renewer {
        member: gateway.listeners.peers.clone(),
        term,
        generation: 0,
        era: gateway.store.era(),
        started: gateway.now(),
        listed: None,
        listed_at: None,
        checked: None,
        cut_since: None,
        has_left: false,
        joined_era: None,
        has_reverted: false,
        gateway,
    };
    while renewer.may_renew() {
        let start = renewer.gateway.now();
        let result = if renewer.must_step_aside() {
            renewer.step_aside().await
        } else {
            renewer.renew().await
        };
        if let Err(error) = result {
            renewer.gateway.metrics.count_store_call("failed");
            renewer.gateway.record_store_failure(start);
            log::info!("failed to renew the membership: {error}");
        }
        renewer.pause().await;
    }
}

struct Renewer<P>
where
    P: Platform,
{
    gateway: Rc<Gateway<P>>,
    member: String,
    term: Duration,
    // Generation of the group in the last response.
    generation: u64,
    era: watch::Receiver<Option<StoreEra>>,
    started: Instant,
    // Generation whose members were last listed.
    listed: Option<u64>,
    // Time of the last read of the member list.
    listed_at: Option<Instant>,
    // Generation in which the lease was last checked.
    checked: Option<u64>,
    // Since when this instance reaches no engine of some service that others reach.
    cut_since: Option<Instant>,
    // Whether it left the group because of that.
    has_left: bool,
    // Era of the store in the last response.
    joined_era: Option<StoreEra>,
    // Whether the era has changed since the start.
    has_reverted: bool,
}

impl<P> Renewer<P>
where
    P: Platform,
{
    // Pauses until the next renewal, which is due at once when the era of the store changes.
    async fn pause(&mut self) {
        let renewal = tokio::time::sleep(RENEWAL_INTERVAL);
        tokio::select! {
            () = renewal => {}
            Ok(()) = self.era.changed() => {}
        }
    }

    // A stopping instance stays in the group only while it holds the lease. It keeps sending orders
    // until it exits, and the next process on this machine can take the lease over without a pause.
    fn may_renew(&self) -> bool {
        let now = self.gateway.now();
        self.gateway.stop_requested.get().is_none()
            || self.gateway.dispatcher.borrow().lease.is_held(now)
    }

    // A member that reaches no engine can't order any, so another one must be able to hold the lease.
    fn must_step_aside(&mut self) -> bool {
        let now = self.gateway.now();
        let is_cut = self.gateway.dispatcher.borrow().is_cut_from_engines(now);
        if !is_cut {
            self.cut_since = None;
            return false;
        }
        let since = *self.cut_since.get_or_insert(now);
        now.saturating_duration_since(since) >= STEP_ASIDE_TIME
    }

    // Leaves the group and gives up the lease, until this instance reaches engines again.
    async fn step_aside(&mut self) -> Result<(), StoreError> {
        if self.has_left {
            return Ok(());
        }
        let gateway = &self.gateway;
        let was_held = gateway.dispatcher.borrow().lease.is_held(gateway.now());
        gateway.dispatcher.borrow_mut().lease.give_up();
        gateway.store.leave(&self.member).await?;
        gateway.metrics.count_store_call("leave");
        Event::new("stepped_aside")
            .with("held_lease", was_held)
            .log();
        self.has_left = true;
        Ok(())
    }

    async fn renew(&mut self) -> Result<(), StoreError> {
        let gateway = Rc::clone(&self.gateway);
        let start = gateway.now();
        gateway.dispatcher.borrow_mut().lease.begin_renewal(start);
        let joined = gateway
            .store
            .join(&self.member, self.generation, self.term)
            .await?;
        gateway.metrics.count_store_call("join");
        gateway.record_store_answer();
        self.observe_era(joined.era);
        self.generation = joined.generation;
        self.has_left = false;
        let now = gateway.now();
        let action = {
            let mut dispatcher = gateway.dispatcher.borrow_mut();
            dispatcher.peers.refresh_members(now);
            let has_holder = dispatcher.peers.lease_holder(now).is_some();
            let view = GroupView {
                generation: joined.generation,
                checked: self.checked,
                is_candidate: joined.is_candidate,
                is_led: has_holder || dispatcher.lease.is_held(now),
            };
            let lease = &mut dispatcher.lease;
            lease.complete_renewal(start, view.may_be_free(), joined.era)
        };
        if self.listed != Some(joined.generation) && self.may_list(now) {
            list_members(&gateway).await?;
            self.listed = Some(joined.generation);
            self.listed_at = Some(now);
        }
        if action == LeaseAction::Check {
            self.check(joined.is_candidate).await?;
            self.checked = Some(joined.generation);
        }
        Ok(())
    }

    // In another era of the store, the generations that it gave out before are given out again.
    fn observe_era(&mut self, era: Option<StoreEra>) {
        if era == self.joined_era {
            return;
        }
        if let Some(from) = self.joined_era {
            self.gateway.metrics.count_store_reversion();
            Event::new("store_reverted")
                .with("from_era", from)
                .with("era", era)
                .with("generation", self.generation)
                .log();
            self.has_reverted = true;
            self.checked = None;
            self.listed = None;
        }
        self.joined_era = era;
    }

    // Members announce themselves by heartbeats; the list only recovers lost ones, but for those that
    // started with this one.
    fn may_list(&self, now: Instant) -> bool {
        let members = self.gateway.dispatcher.borrow().peers.possible_count() as u32;
        let is_starting = now.saturating_duration_since(self.started) < START_TIME;
        let interval = if is_starting {
            START_LIST_INTERVAL
        } else {
            MIN_LIST_INTERVAL.max(LIST_INTERVAL_PER_INSTANCE * members)
        };
        self.listed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= interval)
    }

    // Checks who holds the lease, and claims it if it is free and this member is the candidate.
    async fn check(&self, is_candidate: bool) -> Result<(), StoreError> {
        for _ in 0..MAX_CLAIM_ATTEMPTS {
            let last = self.read_claims().await?;
            let members = match last.holder() {
                Some(holder) if holder != self.member => self.gateway.store.members().await?,
                _ => Vec::new(),
            };
            let is_member = |holder: &str| members.iter().any(|member| member == holder);
            let standing = last.standing(&self.member, self.claim_context(), is_member);
            let action = {
                let now = self.gateway.now();
                let mut dispatcher = self.gateway.dispatcher.borrow_mut();
                dispatcher.lease.apply_standing(now, standing, is_candidate)
            };
            match action {
                LeaseAction::Claim => match self.claim(&last, standing).await {
                    Err(StoreError::Conflict) => {}
                    result => return result,
                },
                LeaseAction::Stop => {
                    Event::new("lease_lost").log();
                    return Ok(());
                }
                LeaseAction::Keep | LeaseAction::Check => return Ok(()),
            }
        }
        Err(StoreError::Conflict)
    }

    fn claim_context(&self) -> ClaimContext {
        let dispatcher = self.gateway.dispatcher.borrow();
        ClaimContext {
            has_reverted: self.has_reverted,
            others_know_eras: dispatcher.peers.know_eras(),
            first_start: dispatcher.config.first_start,
        }
    }

    // Reads the copies first: one that is read after the log may be of a claim that the log did not have yet.
    async fn read_claims(&self) -> Result<KnownClaim, StoreError> {
        let copies = self.gateway.store.keyed(KeyedLog::ClaimCopies).await?;
        let copies = claim_copies::decode(&copies);
        let log = self.gateway.store.last_claim().await?;
        KnownClaim::new(copies, log).ok_or(StoreError::Conflict)
    }

    // Appends a claim and then its copy. Without a copy it is not in force: once it has expired, nobody would know its
    // holder and its token.
    async fn append(
        &self,
        last: &KnownClaim,
        record: &ClaimRecord,
    ) -> Result<AppendReceipt, StoreError> {
        let store = &self.gateway.store;
        let receipt = store.append_claim(last.end(), record).await;
        let receipt = self.rely_on(last, receipt)?;
        let (key, copy) = claim_copies::encode(&record.copied_at(receipt.offset));
        let log = KeyedLog::ClaimCopies;
        let copied = store.append_keyed(log, last.copy_end(), &key, &copy).await;
        let copied = copied.inspect_err(|_| self.on_claim_lost());
        self.rely_on(last, copied)?;
        Ok(receipt)
    }

    // Returns the receipt of an append to the log that was checked.
    fn rely_on(
        &self,
        last: &KnownClaim,
        receipt: Result<AppendReceipt, StoreError>,
    ) -> Result<AppendReceipt, StoreError> {
        if matches!(receipt, Err(StoreError::Unknown(_))) {
            self.on_claim_lost();
        }
        let receipt = receipt?;
        if receipt.era != last.era() {
            // The log is not the one that was checked, so the claim is not relied on.
            self.on_claim_lost();
            return Err(StoreError::Conflict);
        }
        Ok(receipt)
    }

    fn on_claim_lost(&self) {
        self.gateway.dispatcher.borrow_mut().lease.on_claim_lost();
    }

    async fn claim(&self, last: &KnownClaim, standing: Standing) -> Result<(), StoreError> {
        let gateway = &self.gateway;
        let now = gateway.now();
        let first_order = gateway.dispatcher.borrow().lease.first_order(now, standing);
        let context = self.claim_context();
        let record = last.next_claim(&self.member, context, first_order > now);
        let receipt = self.append(last, &record).await?;
        let fence = record.fence_at(receipt.offset);
        let now = gateway.now();
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        dispatcher
            .lease
            .apply_claim(now, fence, receipt.offset, standing);
        Event::new("lease_claimed")
            .with("fence", fence)
            .with("era", receipt.era)
            .with("standing", format!("{:?}", standing.status))
            .with("is_current", standing.is_current)
            .log();
        Ok(())
    }
}

async fn list_members<P>(gateway: &Gateway<P>) -> Result<(), StoreError>
where
    P: Platform,
{
    let members = gateway.store.members().await?;
    gateway.metrics.count_store_call("members");
    Event::new("members").with("members", members.clone()).log();
    let now = gateway.now();
    let own = gateway.listeners.peers.as_str();
    let others = members
        .iter()
        .filter(|member| *member != own)
        .map(|member| InstanceId::from(member.as_str()));
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    let known = dispatcher.peers.possible_count();
    dispatcher.peers.apply_members(now, others);
    if dispatcher.peers.possible_count() > known {
        // The new ones learn of this instance at once, and use its view of the feeds.
        gateway.heartbeat_due.notify_one();
    }
    Ok(())
}

/// Leaves the group, unless this instance holds the placement lease.
pub async fn leave<P>(gateway: &Gateway<P>)
where
    P: Platform,
{
    let now = gateway.now();
    if gateway.dispatcher.borrow().lease.is_held(now) {
        return;
    }
    if let Err(error) = gateway.store.leave(&gateway.listeners.peers).await {
        log::info!("failed to leave the group: {error}");
    }
}
