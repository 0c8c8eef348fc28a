//! Evacuation records of the configuration feed, with their log lines and metrics.

use apricotwell_dispatch::prelude::*;
use apricotwell_types::ZoneId;

use crate::adapter::{FeedPage, FeedRecord, Platform};
use crate::events::Event;
use crate::gateway::Gateway;

/// Applies an operator's record of a zone's evacuation.
pub fn apply<P>(gateway: &Gateway<P>, zone: &ZoneId, is_evacuated: bool)
where
    P: Platform,
{
    let now = gateway.now();
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    let change = dispatcher.apply_evacuation(now, zone, is_evacuated);
    drop(dispatcher);
    if let Some(change) = change {
        log_change(gateway, &change);
    }
}

/// Ends the evacuations that are missing from a page of the newest records.
pub fn end_missing<P>(gateway: &Gateway<P>, page: &FeedPage)
where
    P: Platform,
{
    let listed: Vec<ZoneId> = page
        .records
        .iter()
        .filter_map(|record| match record {
            FeedRecord::Evacuation {
                zone,
                is_evacuated: true,
            } => Some(zone.clone()),
            _ => None,
        })
        .collect();
    let now = gateway.now();
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    let changes = dispatcher.retain_evacuations(now, &listed);
    drop(dispatcher);
    for change in changes {
        log_change(gateway, &change);
    }
}

fn log_change<P>(gateway: &Gateway<P>, change: &EvacuationChange)
where
    P: Platform,
{
    let (name, metric, zone) = match change {
        EvacuationChange::Evacuated(zone) => ("zone_evacuated", "evacuated", zone),
        EvacuationChange::Restored(zone) => ("zone_restored", "restored", zone),
    };
    gateway.metrics.count_evacuation(metric);
    let now = gateway.now();
    let dispatcher = gateway.dispatcher.borrow();
    let servers = dispatcher.backends.count_in_zone(zone);
    // Before the server list has been read, every zone is without servers.
    let is_listed = dispatcher.feeds.age(now, Feed::Servers).is_some();
    Event::new(name)
        .with("zone", &**zone)
        .with("servers", servers)
        .with("unknown_zone", is_listed && servers == 0)
        .log();
}
