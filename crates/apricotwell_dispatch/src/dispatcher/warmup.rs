//! Warm-up of servers.

use std::time::Instant;

use apricotwell_types::ServerId;

use super::Dispatcher;
use crate::backends::BackendEntry;
use crate::feeds::Feed;

impl Dispatcher {
    /// Applies an entry of the server list unless it is outdated.
    pub fn apply_entry(&mut self, now: Instant, entry: BackendEntry) {
        if self.backends.outdated_by(now, &entry).is_some() {
            return;
        }
        self.warmups.record_entry(now, &entry);
        self.backends.apply_entry(now, entry);
    }

    /// Records that a server accepted no connection or has ended.
    ///
    /// It may have been restarted, and an instance that is cut off from the store doesn't learn that
    /// from the list. Until the list has been read later, the server counts as cold.
    pub fn suspect_restart(&mut self, now: Instant, server: &ServerId) {
        self.warmups.record_failure(now, server);
        self.update_warmups(now);
    }

    /// Updates which servers are cold.
    ///
    /// To be called after changes of the server list, the catalog and the evacuated zones, and
    /// regularly, as the states end with time.
    pub fn update_warmups(&mut self, now: Instant) {
        let Some(catalog) = &self.catalog else {
            return;
        };
        let cold = &mut self.limited.limits.cold;
        let read_at = self
            .feeds
            .age(now, Feed::Servers)
            .and_then(|age| now.checked_sub(age));
        for server in read_at.map_or_else(Vec::new, |at| self.warmups.clear_failures(at)) {
            cold.end(&server);
        }
        for server in self.backends.iter() {
            let entry = &server.entry;
            let service = catalog.service(&entry.service);
            let Some(warmup) = service.and_then(|service| service.warmup.as_ref()) else {
                cold.end(&entry.id);
                continue;
            };
            let until = self.warmups.cold_until(&entry.id, &entry.zone, warmup);
            if let Some(until) = until.filter(|until| now < *until) {
                let rate = self.config.warmup.granted_rate(warmup.per_second);
                cold.record(now, &entry.id, rate, until);
            }
        }
        cold.expire(now);
    }
}
