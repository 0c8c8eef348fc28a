//! Keeps what organisations spent through a restart of the whole fleet.
//!
//! Instances know from each other's heartbeats what was spent in the last window. When all of them
//! are killed that knowledge is gone, and a flood could spend its rate twice; so the lease holder
//! keeps it in the store, and every instance that starts takes it over.

use std::rc::Rc;
use std::time::Duration;

use apricotwell_messages::FleetSpending;
use prost::Message;

use crate::adapter::{Platform, Store};
use crate::events::Event;
use crate::gateway::Gateway;

/// Pause between two writes while some organisation is close to its limit.
const TIGHT_PAUSE: Duration = Duration::from_millis(500);
/// Such pauses between two writes otherwise.
const CALM_PAUSES: u32 = 5;
/// Pause between attempts to take over what was kept.
const RESTORE_PAUSE: Duration = Duration::from_millis(300);

/// Takes over what was kept, then keeps the store current while this instance holds the lease.
pub async fn keep<P>(gateway: Rc<Gateway<P>>)
where
    P: Platform,
{
    if !gateway.dispatcher.borrow().config.first_start {
        restore(&gateway).await;
    }
    let mut pauses = 0;
    loop {
        tokio::time::sleep(TIGHT_PAUSE).await;
        pauses += 1;
        if pauses < CALM_PAUSES && !gateway.dispatcher.borrow().is_any_near_limit() {
            continue;
        }
        pauses = 0;
        let now = gateway.now();
        let spending = {
            let mut dispatcher = gateway.dispatcher.borrow_mut();
            let holds = dispatcher.lease.fence(now).is_some();
            holds.then(|| dispatcher.fleet_spending(now))
        };
        let Some(spending) = spending else {
            continue;
        };
        gateway.metrics.note_store_call("keep");
        if let Err(error) = gateway.store.save_usage(&spending.encode_to_vec()).await {
            log::info!("spending not kept: {error}");
        }
    }
}

async fn restore<P>(gateway: &Gateway<P>)
where
    P: Platform,
{
    loop {
        let kept = gateway.store.load_usage().await;
        gateway.metrics.note_store_call("kept");
        let error = match kept.map(|kept| kept.as_deref().map(FleetSpending::decode)) {
            Ok(None) => return,
            Ok(Some(Ok(spending))) => {
                let now = gateway.now();
                let mut dispatcher = gateway.dispatcher.borrow_mut();
                dispatcher.restore_spending(now, &spending);
                Event::new("spending_restored")
                    .with("organisations", spending.organisations.len())
                    .log();
                return;
            }
            Ok(Some(Err(error))) => error.to_string(),
            Err(error) => error.to_string(),
        };
        log::info!("spending not restored: {error}");
        tokio::time::sleep(RESTORE_PAUSE).await;
    }
}
