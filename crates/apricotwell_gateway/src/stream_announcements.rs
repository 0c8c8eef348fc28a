//! What makes a stream known outside of its instance before a client has its first events.
//!
//! A client that takes a stream up again names it, and the version that began it must then be known although the
//! instance was killed. The store's log outlives a kill of all instances. If it is slow or away, another instance
//! has notice of the stream, which outlives a kill of this one.

use std::pin::pin;
use std::time::Duration;

use apricotwell_dispatch::stream_memory::BegunStream;
use futures_util::future::{Either, select};
use tokio::sync::oneshot;

use crate::adapter::Platform;
use crate::gateway::Gateway;
use crate::software::stream_lifetime;
use crate::{stream_log, stream_notices};

/// Longest time for which first events wait for the log: half of what an event may take on its way to the client.
const MAX_SAVE_TIME: Duration = Duration::from_millis(60);
/// Time for which only the log is waited for, in which a sound store answers. Within it an append to a slow one has
/// left, whose answer comes too late.
const LOG_LEAD: Duration = Duration::from_millis(20);

/// Makes streams known, while several software versions may have begun them; returns `false` if neither the log nor
/// another instance is known to have them.
pub async fn announce<P>(gateway: &Gateway<P>, streams: &[BegunStream]) -> bool
where
    P: Platform,
{
    if !is_mixed(gateway) {
        return true;
    }
    let Some(mut saved) = stream_log::request_save(gateway, MAX_SAVE_TIME) else {
        return stream_notices::tell(gateway, streams).await;
    };
    if is_saved(LOG_LEAD, &mut saved).await {
        gateway.metrics.count_stream_notice("saved");
        return true;
    }
    let rest = match stream_log::is_slow(gateway, MAX_SAVE_TIME) {
        true => Duration::ZERO,
        false => MAX_SAVE_TIME - LOG_LEAD,
    };
    let late = pin!(is_saved(rest, &mut saved));
    let told = pin!(stream_notices::tell(gateway, streams));
    let (is_saved, is_told) = match select(late, told).await {
        Either::Left((true, _)) => (true, false),
        Either::Left((false, told)) => (false, told.await),
        Either::Right((is_told, late)) => (late.await, is_told),
    };
    if is_saved {
        gateway.metrics.count_stream_notice("saved");
    }
    is_saved || is_told
}

async fn is_saved(limit: Duration, saved: &mut oneshot::Receiver<()>) -> bool {
    matches!(tokio::time::timeout(limit, saved).await, Ok(Ok(())))
}

fn is_mixed<P>(gateway: &Gateway<P>) -> bool
where
    P: Platform,
{
    let lifetime = stream_lifetime(gateway);
    let now = gateway.now();
    let dispatcher = gateway.dispatcher.borrow();
    dispatcher.software.is_mixed(now, lifetime)
}
