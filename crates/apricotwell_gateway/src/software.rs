//! Keeps the store's record of the software versions that may have begun streams.
//!
//! Every instance adds the versions of listed servers that the record lacks; the lease holder marks
//! those that left the list and removes those whose streams can no longer be resumed. All appends are conditional on the end of the log
//! that the preceding read returned, so none of them undoes another.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use apricotwell_dispatch::prelude::*;
use apricotwell_dispatch::software;
use apricotwell_dispatch::software_record::{Departures, RecordedSoftware};
use apricotwell_messages::SoftwareRecord;
use apricotwell_types::{Offset, StoreEra, rendezvous_rank};
use prost::Message;
use tokio::sync::Mutex;

use crate::adapter::{KeyedLog, Platform, Store, StoreError};
use crate::events::Event;
use crate::gateway::Gateway;

/// Shortest interval at which the list of servers is compared with the record.
const MIN_OBSERVE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval per listed server, so that the comparison of a long list takes the same part of a core.
const OBSERVE_INTERVAL_PER_SERVER: Duration = Duration::from_micros(100);
/// Pause after a failed call of the store.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);
/// Longest time between two reads of the lease holder: versions that others recorded leave later by
/// this time.
const HOLDER_READ_INTERVAL: Duration = Duration::from_secs(5);
/// Time per instance over which the appends of a fleet are spread: at 410 instances the reads before
/// them stay below a third of what the store accepts.
const SPREAD_PER_INSTANCE: Duration = Duration::from_millis(2);
/// Shortest time between the starts of two reads for clients that resume streams: at 410 instances
/// that is 820 reads per second at most, out of 2,000.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which servers and instances that lost the store may go on with a version that left the
/// list.
const CONTACT_MARGIN: Duration = Duration::from_secs(5);

/// The record as the store returned it.
#[derive(Clone, Debug)]
pub struct StoredSoftware {
    /// Versions that it names.
    pub record: RecordedSoftware,
    /// Era of the store in which it was read.
    pub era: Option<StoreEra>,
    // Offset at which an append must be made to change nothing that was not read.
    end: Offset,
}

/// Last read of the record that clients' resumptions share.
#[derive(Debug, Default)]
pub struct SoftwareReads {
    last: Mutex<Option<(Instant, Result<StoredSoftware, StoreError>)>>,
    // Era of the store in which the start of this process was recorded.
    start_era: Cell<Option<StoreEra>>,
}

/// Adds and removes versions for as long as the instance runs.
pub async fn run<P>(gateway: Rc<Gateway<P>>)
where
    P: Platform,
{
    let mut read_at = None;
    loop {
        tokio::time::sleep(observe_interval(&gateway)).await;
        let listed = observe(&gateway);
        observe_era(&gateway);
        let lifetime = stream_lifetime(&gateway);
        let now = gateway.now();
        let needs_vouching = {
            let mut dispatcher = gateway.dispatcher.borrow_mut();
            dispatcher.streams.expire(now, lifetime);
            dispatcher.software.expire(now, lifetime);
            dispatcher.software.needs_vouching()
        };
        let (missing, departures, is_holder) = {
            let dispatcher = gateway.dispatcher.borrow();
            let is_holder = dispatcher.lease.fence(now).is_some();
            let departures = match is_holder {
                true => dispatcher.software.departures(now, lifetime),
                false => Departures::default(),
            };
            let missing = dispatcher.software.unconfirmed(&listed);
            (missing, departures, is_holder)
        };
        let is_recent = |at: Instant| now.saturating_duration_since(at) < HOLDER_READ_INTERVAL;
        let may_be_behind = is_holder && !read_at.is_some_and(is_recent);
        if missing.is_empty() && departures.is_empty() && !may_be_behind && !needs_vouching {
            continue;
        }
        read_at = Some(now);
        if let Err(error) = update(&gateway, &listed, &departures).await {
            log::info!("failed to update the record of software versions: {error}");
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
    }
}

fn observe_interval<P>(gateway: &Gateway<P>) -> Duration
where
    P: Platform,
{
    let servers = gateway.dispatcher.borrow().backends.iter().count();
    let servers = u32::try_from(servers).unwrap_or(u32::MAX);
    OBSERVE_INTERVAL_PER_SERVER
        .saturating_mul(servers)
        .max(MIN_OBSERVE_INTERVAL)
}

/// Takes the era of the store into account: after a change, what was recorded before may be lost.
pub fn observe_era<P>(gateway: &Gateway<P>)
where
    P: Platform,
{
    let era = *gateway.store.era().borrow();
    let lifetime = stream_lifetime(gateway);
    let now = gateway.now();
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    if !dispatcher.software.observe_era(now, lifetime, era) {
        return;
    }
    dispatcher.streams.on_reversion(now);
    let owed = dispatcher.software.owed();
    Event::new("software_owed")
        .with("era", era)
        .with("is_complete", dispatcher.software.is_complete())
        .with("versions", owed.values().flatten().flatten().count())
        .log();
}

/// Returns the versions that may have begun streams, `None` if the store has lost some that this instance does
/// not know either.
pub fn possible_versions<P>(gateway: &Gateway<P>, stored: &StoredSoftware) -> Option<ListedSoftware>
where
    P: Platform,
{
    let lifetime = stream_lifetime(gateway);
    let now = gateway.now();
    let dispatcher = gateway.dispatcher.borrow();
    let software = &dispatcher.software;
    software.possible_versions(now, lifetime, &stored.record, stored.era)
}

// Records which versions are listed now, and returns them.
fn observe<P>(gateway: &Gateway<P>) -> ListedSoftware
where
    P: Platform,
{
    let now = gateway.now();
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    let servers = dispatcher.backends.iter();
    let listed = software::listed_software(servers.map(|server| &server.entry));
    let age = dispatcher.feeds.age(now, Feed::Servers);
    let is_current = age.is_some_and(|age| age < dispatcher.config.change_bounds.servers);
    dispatcher.software.observe(now, is_current, &listed);
    let catalog = dispatcher.catalog.clone();
    if let Some(catalog) = catalog {
        let margin = lifetime_margin(&dispatcher);
        dispatcher.former_routes.observe(now, margin, &catalog);
    }
    let others = dispatcher.peers.heartbeat_targets();
    dispatcher.streams.observe(now, others);
    listed
}

/// Returns how long after the last server of a version has left one of its streams may be resumed.
pub fn stream_lifetime<P>(gateway: &Gateway<P>) -> Duration
where
    P: Platform,
{
    let dispatcher = gateway.dispatcher.borrow();
    let catalog = dispatcher.catalog.as_ref();
    let margin = lifetime_margin(&dispatcher);
    catalog.map_or(Duration::MAX, |catalog| {
        dispatcher.former_routes.stream_lifetime(margin, catalog)
    })
}

fn lifetime_margin(dispatcher: &Dispatcher) -> Duration {
    let bound = dispatcher.config.change_bounds.servers;
    bound.saturating_add(CONTACT_MARGIN)
}

// Adds listed versions to the record, marks absent ones and removes retired ones, if it is not as it
// should be.
async fn update<P>(
    gateway: &Gateway<P>,
    listed: &ListedSoftware,
    departures: &Departures,
) -> Result<(), StoreError>
where
    P: Platform,
{
    let mut stored = read(gateway).await?;
    set_baseline(gateway, &stored).await?;
    let none = Departures::default();
    if stored.record != wanted_record(gateway, &stored, listed, &none) {
        // Others add the same versions, most of them before this instance's turn.
        tokio::time::sleep(spread(gateway)).await;
        stored = read(gateway).await?;
    }
    let wanted = wanted_record(gateway, &stored, &observe(gateway), departures);
    let mut refused = None;
    for service in stored.record.changed_services(&wanted) {
        let changed = wanted.encode(&service);
        let record = changed.encode_to_vec();
        gateway.metrics.count_store_call("software");
        let appended = gateway
            .store
            .append_keyed(KeyedLog::Software, stored.end, &service, &record)
            .await;
        match appended {
            Ok(_) => {}
            // A record that the store does not accept holds up no other service.
            Err(StoreError::Refused(reason)) => {
                log::warn!("the versions of service {service} can't be recorded: {reason}");
                refused = Some(StoreError::Refused(reason));
                continue;
            }
            Err(error) => return Err(error),
        }
        log_change(&service, &changed);
        stored.end += 1;
        stored.record.insert(service, &changed);
    }
    let now = gateway.now();
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    dispatcher
        .software
        .apply_record(now, &stored.record, listed);
    drop(dispatcher);
    gateway.servers_changed.notify_waiters();
    refused.map_or(Ok(()), Err)
}

fn record_read<P>(gateway: &Gateway<P>, record: &RecordedSoftware)
where
    P: Platform,
{
    observe_era(gateway);
    let now = gateway.now();
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    let is_first = dispatcher.config.first_start;
    dispatcher.software.record_read(now, record, is_first);
}

// Returns the record as it should be, with the versions that it has lost.
fn wanted_record<P>(
    gateway: &Gateway<P>,
    stored: &StoredSoftware,
    listed: &ListedSoftware,
    departures: &Departures,
) -> RecordedSoftware
where
    P: Platform,
{
    let dispatcher = gateway.dispatcher.borrow();
    let software = &dispatcher.software;
    let mut named = software.owed().clone();
    for (service, versions) in listed {
        let named = named.entry(service.clone()).or_default();
        named.extend(versions.iter().cloned());
    }
    let mut wanted = stored.record.updated(&named, departures, stored.end);
    wanted.vouch(&stored.record, stored.era, software.may_vouch());
    wanted
}

// Records what was there before this process, and that it has started. Until then it begins no streams.
async fn set_baseline<P>(gateway: &Gateway<P>, stored: &StoredSoftware) -> Result<(), StoreError>
where
    P: Platform,
{
    let (own_id, has_baseline) = {
        let dispatcher = gateway.dispatcher.borrow();
        (
            dispatcher.config.id.clone(),
            dispatcher.streams.has_baseline(),
        )
    };
    let start_era = &gateway.software_reads.start_era;
    if has_baseline && start_era.get() == stored.era {
        return Ok(());
    }
    gateway.metrics.count_store_call("software");
    let before = gateway.store.started_instances().await?;
    // The store may have lost that this process has started.
    if !has_baseline || before.iter().all(|id| **id != *own_id) {
        gateway.metrics.count_store_call("software");
        gateway.store.record_start(&own_id).await?;
    }
    start_era.set(stored.era);
    let before = before.iter().map(|id| id.as_str().into()).collect();
    let now = gateway.now();
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    let is_complete = dispatcher.software.is_complete();
    dispatcher
        .streams
        .set_baseline(now, &stored.record.versions, before, is_complete);
    Ok(())
}

fn log_change(service: &ServiceId, record: &SoftwareRecord) {
    let leaving = record.leaving.iter();
    let leaving = leaving.map(|it| it.version.as_deref().unwrap_or("?"));
    Event::new("software_recorded")
        .with("service", &**service)
        .with("versions", record.versions.join(" "))
        .with("has_unknown", record.has_unknown)
        .with("leaving", leaving.collect::<Vec<_>>().join(" "))
        .log();
}

// Returns how long this instance leaves an append to others.
fn spread<P>(gateway: &Gateway<P>) -> Duration
where
    P: Platform,
{
    let dispatcher = gateway.dispatcher.borrow();
    let others = dispatcher.peers.possible_count().saturating_sub(1);
    let others = u32::try_from(others).unwrap_or(u32::MAX);
    let rank = rendezvous_rank(0, &dispatcher.config.id);
    let part = rank as f64 / u64::MAX as f64;
    SPREAD_PER_INSTANCE.saturating_mul(others).mul_f64(part)
}

async fn read<P>(gateway: &Gateway<P>) -> Result<StoredSoftware, StoreError>
where
    P: Platform,
{
    gateway.metrics.count_store_call("software");
    let page = gateway.store.keyed(KeyedLog::Software).await?;
    let mut stored = RecordedSoftware::default();
    for (service, bytes) in page.records {
        let record = SoftwareRecord::decode(&*bytes).unwrap_or_else(|error| {
            log::warn!("the versions of service {service} can't be decoded: {error}");
            // Servers of any version may have begun streams.
            SoftwareRecord {
                has_unknown: true,
                ..SoftwareRecord::default()
            }
        });
        stored.insert(service.as_str().into(), &record);
    }
    record_read(gateway, &stored);
    Ok(StoredSoftware {
        record: stored,
        era: page.era,
        end: page.end,
    })
}

/// Returns the record as it was after the call of this function.
///
/// Calls at the same time share a read.
///
/// # Errors
///
/// Returns the error of the store.
pub async fn read_shared<P>(gateway: &Gateway<P>) -> Result<StoredSoftware, StoreError>
where
    P: Platform,
{
    let called_at = gateway.now();
    let mut last = gateway.software_reads.last.lock().await;
    if let Some((begun_at, result)) = &*last {
        if *begun_at >= called_at {
            return result.clone();
        }
        let age = gateway.now().saturating_duration_since(*begun_at);
        tokio::time::sleep(MIN_READ_INTERVAL.saturating_sub(age)).await;
    }
    let begun_at = gateway.now();
    let result = read(gateway).await;
    *last = Some((begun_at, result.clone()));
    result
}
