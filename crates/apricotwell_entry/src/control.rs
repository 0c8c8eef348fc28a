//! Background tasks: following the log, polling the instance list, ticking and executing actions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use log::{info, warn};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::sleep;

use apricotwell_adapters::{EngineControl, InstanceList, LogStore};
use apricotwell_node::{Action, OrderOutcome};
use apricotwell_peers::PeerLinks;
use apricotwell_records::{CHECKPOINT_STREAM, CONTROL_STREAM, ReadError};

use crate::NodeDriver;

/// Maximum wait of one read, and so the maximum time between two confirmations of the view.
const READ_WAIT: Duration = Duration::from_millis(1000);
/// Delay after a read that returned records, so that a busy log is read in batches.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval between ticks of the node.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Reads the control stream in an endless loop, starting from the latest checkpoint.
pub(crate) async fn follow_log<L>(driver: Arc<NodeDriver>, log: L)
where
    L: LogStore,
{
    read_checkpoint(&driver, &log).await;
    loop {
        let from = driver.read(|node, _| node.next_offset());
        let started = Instant::now();
        let result = log.read(CONTROL_STREAM, from, READ_WAIT).await;
        let delay = match &result {
            Ok(batch) if batch.records.is_empty() => Duration::ZERO,
            Ok(batch) => {
                let bytes = batch.records.iter().map(Vec::len).sum();
                let seconds = started.elapsed().as_secs_f64();
                driver.metrics().record_log_read(bytes, seconds);
                BATCH_DELAY
            }
            Err(_) => RETRY_DELAY,
        };
        let expired = driver.update(|node, now| node.on_control_read(now, started, result));
        if expired {
            read_checkpoint(&driver, &log).await;
        }
        sleep(delay).await;
    }
}

// Reads the whole checkpoint stream and restores the latest complete checkpoint.
async fn read_checkpoint<L>(driver: &NodeDriver, log: &L)
where
    L: LogStore,
{
    let mut from = 1;
    loop {
        match log.read(CHECKPOINT_STREAM, from, Duration::ZERO).await {
            Ok(batch) => {
                let reaches_end = batch.reaches_end();
                from = batch.first + batch.records.len() as u64;
                for bytes in &batch.records {
                    if driver.update(|node, now| node.on_checkpoint_chunk(now, bytes)) {
                        let offset = driver.read(|node, _| node.next_offset());
                        info!("restored the checkpoint up to offset {offset}");
                    }
                }
                if reaches_end {
                    return;
                }
            }
            Err(ReadError::Expired(first)) => from = first,
            Err(ReadError::Unreachable) => return,
        }
    }
}

/// Polls the platform's instance list in an endless loop.
pub(crate) async fn poll_instances<L>(driver: Arc<NodeDriver>, instances: L)
where
    L: InstanceList,
{
    let period = Duration::from_millis(driver.settings().platform.list_period_ms);
    loop {
        if let Some(listed) = instances.list().await {
            let ids = listed.entries.iter().map(|contact| contact.id.clone());
            driver.set_client_addresses(ids.zip(listed.client_addresses).collect());
            driver.update(|node, now| node.on_instances(now, &listed.entries));
            driver.update(|node, now| node.on_servers(now, listed.servers));
        }
        sleep(period).await;
    }
}

/// Ticks the node at a fixed interval.
pub(crate) async fn tick(driver: Arc<NodeDriver>) {
    loop {
        driver.update(|node, now| node.tick(now));
        sleep(TICK_INTERVAL).await;
    }
}

/// Executes actions in an endless loop; each one that waits for I/O runs in its own task.
pub(crate) async fn execute_actions<L, C>(
    driver: Arc<NodeDriver>,
    mut actions: UnboundedReceiver<Action>,
    mut links: PeerLinks,
    log: L,
    engine: C,
) where
    L: LogStore + Clone + 'static,
    C: EngineControl + Clone + 'static,
{
    while let Some(action) = actions.recv().await {
        match action {
            Action::Append {
                stream,
                ticket,
                records,
            } => {
                spawn_local(append(driver.clone(), log.clone(), stream, ticket, records));
            }
            Action::ReadClaims { stream, from } => {
                spawn_local(read_claims(driver.clone(), log.clone(), stream, from));
            }
            Action::Send { to, envelope } => {
                driver.metrics().count_control_sent(envelope.size());
                links.send(&to.address, envelope);
            }
            Action::Order {
                ticket,
                address,
                order,
                valid_until,
                ..
            } => {
                let (driver, engine) = (driver.clone(), engine.clone());
                spawn_local(async move {
                    // Checked immediately before sending: a process that was suspended after its
                    // decision must not send an order whose lease may have moved.
                    let outcome = if Instant::now() < valid_until {
                        engine.order(&address, &order).await
                    } else {
                        OrderOutcome::Failed
                    };
                    driver.update(|node, now| node.on_order_ended(now, ticket, outcome));
                });
            }
            Action::Poll { server, address } => {
                let (driver, engine) = (driver.clone(), engine.clone());
                spawn_local(async move {
                    let report = engine.report(&address).await;
                    driver.update(|node, now| node.on_report(now, &server, report));
                });
            }
            Action::Dispatch(_)
            | Action::Refuse { .. }
            | Action::Replay { .. }
            | Action::Event(_) => warn!("an action for a request reached the background tasks"),
        }
    }
}

async fn append<L>(
    driver: Arc<NodeDriver>,
    log: L,
    stream: String,
    ticket: u64,
    records: Vec<Vec<u8>>,
) where
    L: LogStore,
{
    let result = log.append(&stream, records).await;
    if let Err(error) = result {
        warn!("append to {stream} failed: {error}");
    }
    if ticket != 0 {
        driver.update(|node, now| node.on_appended(now, ticket, result));
    }
}

async fn read_claims<L>(driver: Arc<NodeDriver>, log: L, stream: String, from: u64)
where
    L: LogStore,
{
    let result = log.read(&stream, from, Duration::ZERO).await;
    driver.update(|node, now| node.on_claims_read(now, &stream, result));
}
