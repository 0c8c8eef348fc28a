//! Saves the streams that this instance begins in the store's log, and reads those of all instances.
//!
//! Streams are saved only while several software versions may have begun them. The first event of a stream waits
//! for its save if that is soon; an append takes all streams that wait.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use apricotwell_dispatch::saved_streams::encode_batch;
use apricotwell_dispatch::stream_memory::BegunStream;
use apricotwell_messages::StreamBatch;
use apricotwell_types::{Offset, StoreEra};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use prost::Message;
use tokio::sync::{Mutex, Notify, Semaphore, oneshot};

use crate::adapter::{Platform, Store, StoreError};
use crate::gateway::Gateway;
use crate::software::{observe_era, stream_lifetime};

/// Shortest time between two appends of an instance, per instance of the fleet: the fleet appends at most 250
/// times per second, of 400 that the store accepts.
const APPEND_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(4);
/// Time between two appends for streams that no client waits for.
const IDLE_SAVE_INTERVAL: Duration = Duration::from_millis(200);
/// Appends that may be under way at once, so that a slow store doesn't hold up the streams that begin meanwhile.
const MAX_APPENDS: usize = 4;

/// Time limit for saving streams at a stop, and how long an absent store can delay the exit.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(150);

/// The log from the point of view of this instance.
#[derive(Debug)]
pub struct StreamLog {
    position: Mutex<ReadPosition>,
    // Streams since the last append whose first events wait for the next one.
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
    // Notified when an append should begin as soon as it may.
    append_due: Notify,
    // A permit for each append under way, and one for the last one before the exit.
    appends: Semaphore,
    // Start of the last append.
    appended_at: Cell<Option<Instant>>,
    // Time that the append which ended last took; `None` if it failed.
    append_time: Cell<Option<Duration>>,
}

impl Default for StreamLog {
    fn default() -> Self {
        Self {
            position: Mutex::default(),
            waiting: RefCell::default(),
            append_due: Notify::new(),
            appends: Semaphore::new(MAX_APPENDS + 1),
            appended_at: Cell::default(),
            append_time: Cell::new(Some(Duration::ZERO)),
        }
    }
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
    // An append that has begun is never abandoned: the streams that it took would be lost.
    let mut appends = FuturesUnordered::new();
    loop {
        tokio::select! {
            () = append_due(&gateway), if appends.len() < MAX_APPENDS => appends.push(save(&gateway)),
            Some(appended) = appends.next() => {
                if let Err(error) = appended {
                    log::info!("failed to save streams: {error}");
                }
            }
        }
    }
}

// Returns when the next append is due.
async fn append_due<P>(gateway: &Gateway<P>)
where
    P: Platform,
{
    tokio::time::sleep(time_to_append(gateway)).await;
    tokio::select! {
        () = gateway.stream_log.append_due.notified() => {}
        () = tokio::time::sleep(IDLE_SAVE_INTERVAL) => {}
    }
}

// Returns the time until this instance may append again.
fn time_to_append<P>(gateway: &Gateway<P>) -> Duration
where
    P: Platform,
{
    let instances = gateway.dispatcher.borrow().peers.possible_count();
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    let interval = APPEND_INTERVAL_PER_INSTANCE.saturating_mul(instances);
    let appended_at = gateway.stream_log.appended_at.get();
    appended_at.map_or(Duration::ZERO, |at| {
        interval.saturating_sub(gateway.now().saturating_duration_since(at))
    })
}

/// Asks for an append of the streams that began up to now, for a client that can wait for `limit`. The result is
/// ready once they are saved; it is an error if they are not.
///
/// Returns `None` if the append may only begin later or the last one failed; they are then saved all the same.
pub fn request_save<P>(gateway: &Gateway<P>, limit: Duration) -> Option<oneshot::Receiver<()>>
where
    P: Platform,
{
    let log = &gateway.stream_log;
    log.append_time.get()?;
    log.append_due.notify_one();
    if time_to_append(gateway) >= limit {
        return None;
    }
    let (sender, saved) = oneshot::channel();
    log.waiting.borrow_mut().push(sender);
    Some(saved)
}

/// Returns whether the last append took at least `limit`.
pub fn is_slow<P>(gateway: &Gateway<P>, limit: Duration) -> bool
where
    P: Platform,
{
    let time = gateway.stream_log.append_time.get();
    time.is_some_and(|time| time >= limit)
}

/// Saves what has begun since the last append, before the instance exits.
pub async fn hand_over<P>(gateway: &Gateway<P>)
where
    P: Platform,
{
    let save = async {
        let saved = save(gateway).await;
        // Appends that began before hold other streams.
        let all = gateway
            .stream_log
            .appends
            .acquire_many(MAX_APPENDS as u32 + 1);
        drop(all.await);
        saved
    };
    match tokio::time::timeout(HAND_OVER_TIMEOUT, save).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::warn!("failed to save the last streams at a stop: {error}"),
        Err(_) => log::warn!("the store did not save the last streams of a stop in time"),
    }
}

async fn save<P>(gateway: &Gateway<P>) -> Result<(), StoreError>
where
    P: Platform,
{
    let log = &gateway.stream_log;
    let _permit = log.appends.acquire().await;
    observe_era(gateway);
    let waiting = log.waiting.take();
    let streams = take_unsaved(gateway);
    if streams.is_empty() {
        return Ok(());
    }
    let begun_at = gateway.now();
    log.appended_at.set(Some(begun_at));
    gateway.metrics.count_store_call("streams");
    let record = encode_batch(&streams).encode_to_vec();
    let appended = gateway.store.append_streams(&record).await;
    let time = gateway.now().saturating_duration_since(begun_at);
    log.append_time.set(appended.is_ok().then_some(time));
    if appended.is_ok() {
        for client in waiting {
            // A client that has left or stopped waiting needs no answer.
            let _ = client.send(());
        }
    } else {
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        let now = gateway.now();
        dispatcher.streams.restore_unsaved(now, streams);
    }
    appended
}

fn take_unsaved<P>(gateway: &Gateway<P>) -> Vec<BegunStream>
where
    P: Platform,
{
    let lifetime = stream_lifetime(gateway);
    let now = gateway.now();
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    if !dispatcher.software.is_mixed(now, lifetime) {
        return Vec::new();
    }
    dispatcher.streams.take_unsaved()
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
    let mut position = gateway.stream_log.position.lock().await;
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
