//! Routes of earlier configurations, as long as streams that began on them may be resumed.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::catalog::{Catalog, RouteTable, ServiceId, find_route, longest_stream};

/// Largest number of remembered configurations; with more of them, no client's resumption is bound.
const MAX_TABLES: usize = 64;
/// Number of stream timeouts after which no stream of an absent version is resumed anymore: one for a
/// stream that begins as its server leaves, and one for the client that resumes it.
const LIFETIME_TIMEOUTS: u32 = 2;

/// Routes that were in effect, and the time for which their streams may be resumed.
///
/// # Invariants
///
/// `tables` has the routes of each configuration that was replaced by one with other routes within the
/// lifetime of its streams, unless `dropped` states that there were too many or that some were missed.
#[derive(Debug, Default)]
pub struct FormerRoutes {
    // With the times at which they were replaced, oldest first.
    tables: VecDeque<(RouteTable, Instant)>,
    last: Option<Arc<Catalog>>,
    // When a table was dropped or missed last, and the longest stream timeout of those that were.
    dropped: Option<(Instant, Duration)>,
}

impl FormerRoutes {
    /// Records the configuration in effect and forgets those whose streams can no longer be resumed;
    /// `margin` is the part of a stream's lifetime that depends on no timeout.
    pub fn observe(&mut self, now: Instant, margin: Duration, catalog: &Arc<Catalog>) {
        let is_over = |(table, at): &(RouteTable, Instant)| {
            now.saturating_duration_since(*at) >= lifetime(longest_stream(table), margin)
        };
        self.tables.retain(|table| !is_over(table));
        self.dropped.take_if(|(at, timeout)| {
            now.saturating_duration_since(*at) >= lifetime(*timeout, margin)
        });
        if self
            .last
            .as_ref()
            .is_some_and(|it| Arc::ptr_eq(it, catalog))
        {
            return;
        }
        let replaced = self.last.replace(Arc::clone(catalog));
        let Some(replaced) = replaced.filter(|it| it.routes() != catalog.routes()) else {
            return;
        };
        self.tables.push_back((replaced.routes().clone(), now));
        if self.tables.len() > MAX_TABLES
            && let Some((table, _)) = self.tables.pop_front()
        {
            let before = self.dropped.map_or(Duration::ZERO, |(_, timeout)| timeout);
            self.dropped = Some((now, longest_stream(&table).max(before)));
        }
    }

    /// Records that configurations were in effect whose routes this instance has not seen.
    pub fn record_gap(&mut self, now: Instant) {
        let tables = self.tables.iter().map(|(table, _)| table);
        let tables = tables.chain(self.last.iter().map(|last| last.routes()));
        let dropped = self.dropped.map(|(_, timeout)| timeout);
        let longest = tables.map(longest_stream).chain(dropped).max();
        self.dropped = Some((now, longest.unwrap_or_default()));
    }

    /// Returns how long after the last server of a version has left one of its streams may be resumed,
    /// by the longest timeout of the present and the remembered routes.
    pub fn stream_lifetime(&self, margin: Duration, catalog: &Catalog) -> Duration {
        let last = self.last.iter().map(|last| last.routes());
        let tables = self.tables.iter().map(|(table, _)| table).chain(last);
        let tables = tables.chain([catalog.routes()]).map(longest_stream);
        let dropped = self.dropped.map(|(_, timeout)| timeout);
        lifetime(tables.chain(dropped).max().unwrap_or_default(), margin)
    }

    /// Returns the services that may have begun a stream on a path, `None` if they are unknown.
    pub fn services(
        &self,
        (now, lifetime): (Instant, Duration),
        catalog: &Catalog,
        host: &str,
        path: &str,
    ) -> Option<BTreeSet<ServiceId>> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < lifetime;
        if self.dropped.is_some_and(|(at, _)| is_recent(at)) {
            return None;
        }
        let last = self.last.iter().map(|last| last.routes());
        let tables = self.tables.iter().map(|(table, _)| table).chain(last);
        let tables = tables.chain([catalog.routes()]);
        let routes = tables.filter_map(|table| find_route(table, host, path));
        let services = routes.flat_map(|route| route.services.iter().map(|(id, _)| id.clone()));
        Some(services.collect())
    }
}

fn lifetime(timeout: Duration, margin: Duration) -> Duration {
    let timeouts = timeout.saturating_mul(LIFETIME_TIMEOUTS);
    timeouts.saturating_add(margin)
}
