//! Tasks around the node: the log, the list, peers and orders.

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

/// Longest wait of one read; also the longest time between two confirmations of the view.
const READ_WAIT: Duration = Duration::from_millis(1000);
/// Pause after records came, so that a busy log is read in batches.
const READ_PAUSE: Duration = Duration::from_millis(20);
/// Pause after a failed read.
const FAIL_PAUSE: Duration = Duration::from_millis(200);
/// Time between two ticks of the node.
const TICK: Duration = Duration::from_millis(25);

/// Follows the control stream for ever.
pub(crate) async fn follow_log<L>(shell: Arc<NodeDriver>, log: L)
where
    L: LogStore,
{
    read_checkpoint(&shell, &log).await;
    loop {
        let from = shell.look(|node, _| node.next_offset());
        let began = Instant::now();
        let result = log.read(CONTROL_STREAM, from, READ_WAIT).await;
        let pause = match &result {
            Ok(batch) if batch.records.is_empty() => Duration::ZERO,
            Ok(batch) => {
                let bytes = batch.records.iter().map(Vec::len).sum();
                let seconds = began.elapsed().as_secs_f64();
                shell.metrics().note_log_read(bytes, seconds);
                READ_PAUSE
            }
            Err(_) => FAIL_PAUSE,
        };
        let expired = shell.tell(|node, now| node.on_control_read(now, began, result));
        if expired {
            read_checkpoint(&shell, &log).await;
        }
        sleep(pause).await;
    }
}

// Reads the whole checkpoint stream; the latest whole checkpoint wins.
async fn read_checkpoint<L>(shell: &NodeDriver, log: &L)
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
                    if shell.tell(|node, now| node.on_checkpoint_chunk(now, bytes)) {
                        let offset = shell.look(|node, _| node.next_offset());
                        info!("checkpoint up to offset {offset} restored");
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

/// Looks at the platform's list for ever.
pub(crate) async fn follow_list<L>(shell: Arc<NodeDriver>, list: L)
where
    L: InstanceList,
{
    let period = Duration::from_millis(shell.settings().platform.list_period_ms);
    loop {
        if let Some(listed) = list.list().await {
            let ids = listed.entries.iter().map(|contact| contact.id.clone());
            shell.set_callers(ids.zip(listed.client_addresses).collect());
            shell.tell(|node, now| node.on_instances(now, &listed.entries));
            shell.tell(|node, now| node.on_servers(now, listed.servers));
        }
        sleep(period).await;
    }
}

/// Lets the node's time pass.
pub(crate) async fn tick(shell: Arc<NodeDriver>) {
    loop {
        shell.tell(|node, now| node.tick(now));
        sleep(TICK).await;
    }
}

/// Carries out actions for ever; each one that waits runs as a task of its own.
pub(crate) async fn carry_out<L, C>(
    shell: Arc<NodeDriver>,
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
                spawn_local(append(shell.clone(), log.clone(), stream, ticket, records));
            }
            Action::ReadClaims { stream, from } => {
                spawn_local(read_claims(shell.clone(), log.clone(), stream, from));
            }
            Action::Send { to, envelope } => {
                shell.metrics().note_control_sent(envelope.size());
                links.send(&to.address, envelope);
            }
            Action::Order {
                ticket,
                address,
                order,
                valid_until,
                ..
            } => {
                let (shell, engine) = (shell.clone(), engine.clone());
                spawn_local(async move {
                    // The last check before the effect: a process that was paused after it
                    // decided must not send an order whose lease may have moved.
                    let outcome = if Instant::now() < valid_until {
                        engine.order(&address, &order).await
                    } else {
                        OrderOutcome::Failed
                    };
                    shell.tell(|node, now| node.on_order_ended(now, ticket, outcome));
                });
            }
            Action::Poll { server, address } => {
                let (shell, engine) = (shell.clone(), engine.clone());
                spawn_local(async move {
                    let report = engine.report(&address).await;
                    shell.tell(|node, now| node.on_report(now, &server, report));
                });
            }
            Action::Dispatch(_)
            | Action::Refuse { .. }
            | Action::Replay { .. }
            | Action::Event(_) => warn!("an action for a request reached the control tasks"),
        }
    }
}

async fn append<L>(
    shell: Arc<NodeDriver>,
    log: L,
    stream: String,
    ticket: u64,
    records: Vec<Vec<u8>>,
) where
    L: LogStore,
{
    let result = log.append(&stream, records).await;
    if let Err(error) = result {
        warn!("append to {stream}: {error}");
    }
    if ticket != 0 {
        shell.tell(|node, now| node.on_appended(now, ticket, result));
    }
}

async fn read_claims<L>(shell: Arc<NodeDriver>, log: L, stream: String, from: u64)
where
    L: LogStore,
{
    let result = log.read(&stream, from, Duration::ZERO).await;
    shell.tell(|node, now| node.on_claims_read(now, &stream, result));
}
