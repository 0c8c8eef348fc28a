//! Notices of the lease holder to instances whose requests wait for a model or an adapter.
//!
//! The interval between two broadcasts of server inventories grows with the fleet, by 4 ms per instance.
//! In a fleet of a hundred it takes much of the target latency of many requests. An instance that
//! reports waiting requests is therefore told of the servers that can run them as soon as the lease
//! holder knows one.

use std::time::{Duration, Instant};

use apricotwell_messages::{ModelUse, ServerInventory};
use apricotwell_types::{InstanceId, Map, ServerId};

use crate::inventory_updates::encode_inventory;
use crate::model::RequestedModel;
use crate::orders::ServerOrders;
use crate::placement::PlacementPlanner;

/// Time after which a notice is repeated if the instance still reports waiting requests, as datagrams may
/// be lost.
const REPEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of servers that an instance is told of for one model. Its requests need one; the
/// others spread them until the next broadcast.
const MAX_SERVERS_PER_MODEL: usize = 4;

/// Key of a notice: recipient, server and requested model.
type NoticeKey = (InstanceId, ServerId, RequestedModel);

/// Server inventories for one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadNotice {
    /// Instance whose requests wait.
    pub recipient: InstanceId,
    /// Servers that can run them, with all that they hold.
    pub servers: Vec<ServerInventory>,
}

/// Notices sent to the instances that wait.
///
/// # Invariants
///
/// Holds only notices about requests that were waiting at the last call of [`Self::take`].
#[derive(Debug, Default)]
pub struct LoadNotices {
    sent: Map<NoticeKey, Instant>,
}

impl LoadNotices {
    /// Returns the notices to send now, at most one for each instance in `waiting`.
    pub fn take<'a, I>(
        &mut self,
        now: Instant,
        planner: &PlacementPlanner,
        waiting: I,
    ) -> Vec<LoadNotice>
    where
        I: IntoIterator<Item = (&'a InstanceId, &'a ModelUse)>,
    {
        let mut previous = std::mem::take(&mut self.sent);
        let holders = planner.holders();
        let mut notices: Map<InstanceId, Vec<(&ServerId, &ServerOrders)>> = Map::default();
        for (recipient, usage) in waiting {
            let requested = requested_model(usage);
            let holders = holders.get(&requested.model).into_iter().flatten();
            let usable = holders.filter(|(_, server)| server.can_serve(now, &requested));
            for (id, server) in usable.copied().take(MAX_SERVERS_PER_MODEL) {
                let key = (recipient.clone(), id.clone(), requested.clone());
                let last = previous.remove(&key);
                let is_recent =
                    last.is_some_and(|at| now.saturating_duration_since(at) < REPEAT_INTERVAL);
                self.sent
                    .insert(key, last.filter(|_| is_recent).unwrap_or(now));
                if is_recent {
                    continue;
                }
                let servers = notices.entry(recipient.clone()).or_default();
                if servers.iter().all(|(known, _)| *known != id) {
                    servers.push((id, server));
                }
            }
        }
        let encoded = notices.into_iter().map(|(recipient, servers)| LoadNotice {
            recipient,
            servers: servers
                .into_iter()
                .filter_map(|(id, server)| encode_inventory(now, id, server))
                .collect(),
        });
        encoded.collect()
    }
}

fn requested_model(usage: &ModelUse) -> RequestedModel {
    RequestedModel {
        model: usage.model.as_str().into(),
        adapter: (!usage.adapter.is_empty()).then(|| usage.adapter.as_str().into()),
    }
}
