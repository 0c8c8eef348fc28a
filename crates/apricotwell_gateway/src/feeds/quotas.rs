//! Log lines about changed quotas of organisations.

use apricotwell_dispatch::prelude::*;

use crate::events::Event;

/// Logs the organisations whose rate or burst differs from a former configuration.
pub(super) fn log_quota_changes(dispatcher: &Dispatcher, former: &Catalog) {
    let Some(catalog) = &dispatcher.catalog else {
        return;
    };
    for organisation in catalog.organisations() {
        let Some(before) = former.organisation(&organisation.name) else {
            continue;
        };
        if (before.rate, before.burst) == (organisation.rate, organisation.burst) {
            continue;
        }
        Event::new("quota_changed")
            .with("organisation", &*organisation.name)
            .with("version", catalog.version)
            .with("former_version", former.version)
            .with("rate", organisation.rate)
            .with("burst", organisation.burst)
            .with("former_rate", before.rate)
            .with("former_burst", before.burst)
            .with("fleet_spent", dispatcher.fleet_spending(&organisation.name))
            .log();
    }
}
