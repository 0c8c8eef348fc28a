//! Saves the streams that this instance begins in the store's log, and reads those of all instances.
//!
//! Streams are saved only while several software versions may have begun them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use apricotwell_dispatch::saved_streams::encode_batch;
use apricotwell_messages::StreamBatch;
use apricotwell_types::{Offset, StoreEra};
use prost::Message;
use tokio::sync::Mutex;

use crate::adapter::{Platform, Store, StoreError};
use crate::gateway::Gateway;
use crate::software::{observe_era, stream_lifetime};

/// Shortest time between two appends of an instance. A stream that began since the last one is unknown
/// if its instance is killed.
const MIN_SAVE_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two appends of an instance, per instance of the fleet: the fleet appends at most 250 times
/// per second, of 400 that the store accepts.
const SAVE_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(4);

/// Time limit for saving streams at a stop, and how long an absent store can delay the exit.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(150);

/// Position up to which this instance has read the log.
#[derive(Debug, Default)]
pub struct StreamLogReads {
    position: Mutex<ReadPosition>,
    // Held during an append, so that a stop waits for one that has begun.
    saving: Mutex<()>,
}

#[derive(Debug, Default)]
struct ReadPosition {
    next: Offset,
    // Start of the last read that reached the end of the log.
    begun_at: Option<Instant>,
    // Era of the store whose log `next` is about.
    era: Option<StoreEra>,
}

impl ReadPosition {
    // Returns whether reading begins anew, as the store gives out offsets again in another era. What was read
    // before stays known.
    fn restart_in(&mut self, era: Option<StoreEra>) -> bool {
        if self.era == era {
            return false;
        }
        self.era = era;
        std::mem::take(&mut self.next) > 0
    }
}

/// Saves streams for as long as the instance runs.
pub async fn run<P>(gateway: Rc<Gateway<P>>)
where
    P: Platform,
{
    loop {
        tokio::time::sleep(save_interval(&gateway)).await;
        if let Err(error) = save(&gateway).await {
            log::info!("failed to save streams: {error}");
        }
    }
}

fn save_interval<P>(gateway: &Gateway<P>) -> Duration
where
    P: Platform,
{
    let instances = gateway.dispatcher.borrow().peers.possible_count();
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    SAVE_INTERVAL_PER_INSTANCE
        .saturating_mul(instances)
        .max(MIN_SAVE_INTERVAL)
}

/// Saves what has begun since the last append, before the instance exits.
pub async fn hand_over<P>(gateway: &Gateway<P>)
where
    P: Platform,
{
    match tokio::time::timeout(HAND_OVER_TIMEOUT, save(gateway)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::warn!("failed to save the last streams at a stop: {error}"),
        Err(_) => log::warn!("the store did not save the last streams of a stop in time"),
    }
}

async fn save<P>(gateway: &Gateway<P>) -> Result<(), StoreError>
where
    P: Platform,
{
    let _saving = gateway.stream_log_reads.saving.lock().await;
    observe_era(gateway);
    let lifetime = stream_lifetime(gateway);
    let streams = {
        let now = gateway.now();
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        if !dispatcher.software.is_mixed(now, lifetime) {
            return Ok(());
        }
        dispatcher.streams.take_unsaved()
    };
    if streams.is_empty() {
        return Ok(());
    }
    gateway.metrics.count_store_call("streams");
    let record = encode_batch(&streams).encode_to_vec();
    let appended = gateway.store.append_streams(&record).await;
    if appended.is_err() {
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        let now = gateway.now();
        dispatcher.streams.restore_unsaved(now, streams);
    }
    appended
}

/// Reads the streams that instances have saved up to the call of this function.
///
/// Calls at the same time share a read.
///
/// # Errors
///
/// Returns the error of the store.
pub async fn read<P>(gateway: &Gateway<P>) -> Result<(), StoreError>
where
    P: Platform,
{
    let called_at = gateway.now();
    let mut position = gateway.stream_log_reads.position.lock().await;
    if position.begun_at.is_some_and(|begun| begun >= called_at) {
        return Ok(());
    }
    let begun_at = gateway.now();
    expire(gateway);
    let era = gateway.store.era();
    position.restart_in(*era.borrow());
    loop {
        gateway.metrics.count_store_call("streams");
        let page = gateway.store.streams(position.next).await;
        if position.restart_in(*era.borrow()) {
            continue;
        }
        let page = page?;
        position.next = page.next;
        apply(gateway, &page.records);
        if page.is_end {
            break;
        }
    }
    position.begun_at = Some(begun_at);
    Ok(())
}

fn expire<P>(gateway: &Gateway<P>)
where
    P: Platform,
{
    let lifetime = stream_lifetime(gateway);
    let now = gateway.now();
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    dispatcher.saved_streams.expire(now, lifetime);
}

fn apply<P>(gateway: &Gateway<P>, records: &[Vec<u8>])
where
    P: Platform,
{
    let now = gateway.now();
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    for record in records {
        match StreamBatch::decode(&**record) {
            Ok(batch) => dispatcher.saved_streams.add(now, &batch),
            Err(error) => log::warn!("a record of saved streams can't be decoded: {error}"),
        }
    }
}
