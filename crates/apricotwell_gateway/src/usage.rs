//! Persists what must survive a restart of the whole fleet: the quota usage of organisations, and
//! the parts of requests that crash servers.
//!
//! Instances learn from each other's heartbeats how much each organisation used in the last window.
//! If all of them are killed, that state is lost and a flood of requests could use its rate limit
//! twice. The lease holder therefore saves the usage in the store, and each instance loads it at
//! start.

use std::rc::Rc;
use std::time::Duration;

use apricotwell_dispatch::prelude::Dispatcher;
use apricotwell_messages::FleetState;
use apricotwell_quarantine::prelude::PartId;
use prost::Message;

use crate::adapter::{Platform, Store};
use crate::events::Event;
use crate::gateway::Gateway;

/// Interval between two saves while any organisation is close to its limit or spends fast, or after a
/// change of the quarantined parts.
const MIN_SAVE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of these intervals between two saves otherwise.
const INTERVALS_PER_SAVE: u32 = 10;
/// Delay before another attempt to load the saved usage.
const RESTORE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Loads the saved usage, then saves it periodically while this instance holds the lease.
///
/// At the first start of a fleet there is nothing to load.
pub async fn run<P>(gateway: Rc<Gateway<P>>)
where
    P: Platform,
{
    if !gateway.dispatcher.borrow().config.first_start {
        restore(&gateway).await;
    }
    let mut intervals = 0;
    let mut saved_parts = Vec::new();
    let mut saved_era = None;
    loop {
        tokio::time::sleep(MIN_SAVE_INTERVAL).await;
        intervals += 1;
        let (parts, is_urgent) = {
            let dispatcher = gateway.dispatcher.borrow();
            (
                quarantined_parts(&dispatcher),
                dispatcher.is_any_near_limit() || dispatcher.needs_save(),
            )
        };
        // A store that came back from an older copy has lost what was saved last.
        let era = *gateway.store.era().borrow();
        let is_saved = parts == saved_parts && era == saved_era;
        if intervals < INTERVALS_PER_SAVE && !is_urgent && is_saved {
            continue;
        }
        intervals = 0;
        let now = gateway.now();
        let usage = {
            let mut dispatcher = gateway.dispatcher.borrow_mut();
            let is_holder = dispatcher.lease.fence(now).is_some();
            is_holder.then(|| dispatcher.fleet_state(now))
        };
        let Some(usage) = usage else {
            continue;
        };
        gateway.metrics.count_store_call("keep");
        match gateway.store.save_usage(&usage.encode_to_vec()).await {
            Ok(()) => (saved_parts, saved_era) = (parts, era),
            Err(error) => log::info!("failed to save the quota usage: {error}"),
        }
    }
}

// Returns the quarantined parts and the number of their trials, sorted.
fn quarantined_parts(dispatcher: &Dispatcher) -> Vec<(PartId, u32)> {
    let blocked = dispatcher.crashes.quarantine.blocked();
    let mut parts: Vec<(PartId, u32)> = blocked.map(|it| (it.part, it.trials)).collect();
    parts.sort_unstable();
    parts
}

async fn restore<P>(gateway: &Gateway<P>)
where
    P: Platform,
{
    loop {
        let saved = gateway.store.load_usage().await;
        gateway.metrics.count_store_call("kept");
        let error = match saved.map(|saved| saved.as_deref().map(FleetState::decode)) {
            Ok(None) => return,
            Ok(Some(Ok(usage))) => {
                let now = gateway.now();
                let mut dispatcher = gateway.dispatcher.borrow_mut();
                Event::new("spending_restored")
                    .with("organisations", usage.organisations.len())
                    .with("quarantined", usage.blocked.len())
                    .log();
                dispatcher.restore_fleet_state(now, usage);
                return;
            }
            Ok(Some(Err(error))) => error.to_string(),
            Err(error) => error.to_string(),
        };
        log::info!("failed to restore the quota usage: {error}");
        tokio::time::sleep(RESTORE_RETRY_DELAY).await;
    }
}
