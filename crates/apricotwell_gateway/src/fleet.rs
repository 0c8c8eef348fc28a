//! Membership of the store's group and the placement lease.

use std::rc::Rc;
use std::time::{Duration, Instant};

use apricotwell_dispatch::prelude::*;
use apricotwell_types::{InstanceId, Offset};

use crate::adapter::{ClaimRecord, Platform, Store, StoreError};
use crate::events::Event;
use crate::gateway::Gateway;

/// Pause between renewals of the membership.
pub const RENEWAL_PAUSE: Duration = Duration::from_millis(500);
/// Least pause between two lists of the members.
const LIST_PAUSE: Duration = Duration::from_millis(3000);
/// Part of that pause that each instance of the fleet adds.
const LIST_PAUSE_PER_INSTANCE: Duration = Duration::from_millis(60);
/// Attempts to claim the lease before the next renewal.
const CLAIM_ATTEMPTS: u32 = 3;

/// Renews the membership and claims the placement lease when it is free.
pub async fn renew_membership<P>(gateway: Rc<Gateway<P>>)
where
    P: Platform,
{
    let term = gateway.dispatcher.borrow().config.lease.term;
    let mut renewer = Renewer {
        member: gateway.listeners.peers.clone(),
        term,
        generation: 0,
        listed: None,
        listed_at: None,
        checked: None,
        gateway,
    };
    while renewer.may_renew() {
        if let Err(error) = renewer.renew().await {
            renewer.gateway.metrics.note_store_call("failed");
            log::info!("membership not renewed: {error}");
        }
        tokio::time::sleep(RENEWAL_PAUSE).await;
    }
}

struct Renewer<P>
where
    P: Platform,
{
    gateway: Rc<Gateway<P>>,
    member: String,
    term: Duration,
    // Generation of the group in the last answer.
    generation: u64,
    // Generation of which the members are known.
    listed: Option<u64>,
    // When they were listed.
    listed_at: Option<Instant>,
    // Generation in which the lease was looked at.
    checked: Option<u64>,
}

impl<P> Renewer<P>
where
    P: Platform,
{
    // An instance that stops stays in the group only for the lease: it orders to its end, and the
    // process that follows it on this machine takes the lease back without a pause.
    fn may_renew(&self) -> bool {
        let now = self.gateway.now();
        self.gateway.stopped.get().is_none() || self.gateway.dispatcher.borrow().lease.is_held(now)
    }

    async fn renew(&mut self) -> Result<(), StoreError> {
        let gateway = Rc::clone(&self.gateway);
        let start = gateway.now();
        gateway.dispatcher.borrow_mut().lease.begin_renewal(start);
        let joined = gateway
            .store
            .join(&self.member, self.generation, self.term)
            .await?;
        gateway.metrics.note_store_call("join");
        self.generation = joined.generation;
        let now = gateway.now();
        // A free lease falls to one member only: the others need not look.
        let changed = self.checked.is_none()
            || (joined.is_candidate && self.checked != Some(joined.generation));
        let step = {
            let mut dispatcher = gateway.dispatcher.borrow_mut();
            dispatcher.peers.refresh_members(now);
            dispatcher.lease.complete_renewal(start, changed)
        };
        if self.listed != Some(joined.generation) && self.may_list(now) {
            list_members(&gateway).await?;
            self.listed = Some(joined.generation);
            self.listed_at = Some(now);
        }
        if step == LeaseAction::Check {
            self.check(joined.is_candidate).await?;
            self.checked = Some(joined.generation);
        }
        Ok(())
    }

    // Members announce themselves by heartbeats; the list only makes good what was lost.
    fn may_list(&self, now: Instant) -> bool {
        let members = self.gateway.dispatcher.borrow().peers.possible_count() as u32;
        let pause = LIST_PAUSE.max(LIST_PAUSE_PER_INSTANCE * members);
        self.listed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= pause)
    }

    async fn check(&self, candidate: bool) -> Result<(), StoreError> {
        for _ in 0..CLAIM_ATTEMPTS {
            let last = self.gateway.store.last_claim().await?;
            let standing = match &last.claim {
                Some(claim) if claim.holder != self.member => {
                    let members = self.gateway.store.members().await?;
                    if members.contains(&claim.holder) {
                        ClaimStatus::Taken
                    } else {
                        ClaimStatus::Dropped
                    }
                }
                Some(_) => ClaimStatus::Own,
                None if last.end == 0 => ClaimStatus::Unclaimed,
                // The record has expired: its writer may be any member.
                None => ClaimStatus::Dropped,
            };
            let step = {
                let mut dispatcher = self.gateway.dispatcher.borrow_mut();
                dispatcher.lease.apply_status(standing, candidate)
            };
            match step {
                LeaseAction::Claim => match self.claim(last.end, standing).await {
                    Err(StoreError::Conflict) => {}
                    done => return done,
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

    async fn claim(&self, at: Offset, standing: ClaimStatus) -> Result<(), StoreError> {
        let gateway = &self.gateway;
        let record = ClaimRecord {
            holder: self.member.clone(),
        };
        let fence = gateway.store.append_claim(at, &record).await?;
        let now = gateway.now();
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        dispatcher.lease.apply_claim(now, fence, standing);
        Event::new("lease_claimed")
            .with("fence", fence)
            .with("standing", format!("{standing:?}"))
            .log();
        Ok(())
    }
}

async fn list_members<P>(gateway: &Gateway<P>) -> Result<(), StoreError>
where
    P: Platform,
{
    let members = gateway.store.members().await?;
    gateway.metrics.note_store_call("members");
    Event::new("members").with("members", members.clone()).log();
    let now = gateway.now();
    let own = gateway.listeners.peers.as_str();
    let others = members
        .iter()
        .filter(|member| *member != own)
        .map(|member| InstanceId::from(member.as_str()));
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    dispatcher.peers.apply_members(now, others);
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
        log::info!("group not left: {error}");
    }
}
