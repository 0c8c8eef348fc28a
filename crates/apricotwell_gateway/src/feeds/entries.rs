//! Log lines about changed entries of the server list.

use std::time::Instant;

use apricotwell_dispatch::entry_order::KnownProcess;
use apricotwell_dispatch::prelude::*;
use apricotwell_types::{Offset, ServerId};

use crate::adapter::Platform;
use crate::events::Event;
use crate::gateway::Gateway;

fn same_models(one: &Inventory, other: &Inventory) -> bool {
    one.models.len() == other.models.len()
        && one
            .models
            .iter()
            .all(|(model, _)| other.adapters(model).is_some())
}

// Logs an entry that was written before what is known of its server.
pub(super) fn log_outdated(offset: Offset, entry: &BackendEntry, known: &KnownProcess) {
    Event::new("server_outdated")
        .with("server", &*entry.id)
        .with("born", entry.started_ms)
        .with("number", entry.number)
        .with("leaving", entry.draining)
        .with("known_born", known.started_ms)
        .with("known_number", known.number)
        .with("known_leaving", known.draining)
        .with("offset", offset)
        .log();
}

pub(super) fn log_entry(known: &BackendTable, now: Instant, offset: Offset, entry: &BackendEntry) {
    let before = known.get(&entry.id).map(|server| &server.entry);
    let changed = before.is_none_or(|before| {
        before.draining != entry.draining
            || before.started_ms != entry.started_ms
            || !same_models(&before.inventory, &entry.inventory)
    });
    let former_state = known.state_name(now, &entry.id);
    let changed = changed || former_state == "removed" || former_state == "kept";
    if changed {
        let models: Vec<&str> = entry
            .inventory
            .models
            .iter()
            .map(|(model, _)| &**model)
            .collect();
        Event::new("server")
            .with("server", &*entry.id)
            .with("service", &*entry.service)
            .with("leaving", entry.draining)
            .with("offset", offset)
            .with("born", entry.started_ms)
            .with("number", entry.number)
            .with("former_state", former_state)
            .with("former_born", before.map(|before| before.started_ms))
            .with("former_number", before.and_then(|before| before.number))
            .with("orders", entry.inventory.orders)
            .with("models", models)
            .with("on_disk", entry.inventory.on_disk.len())
            .log();
    }
}

// Logs that a server whose entry was just applied is held back from now on.
pub(super) fn log_held(known: &BackendTable, now: Instant, server: &ServerId, former_state: &str) {
    if former_state == "held" || known.state_name(now, server) != "held" {
        return;
    }
    Event::new("server_held")
        .with("server", &**server)
        .with("former_state", former_state)
        .log();
}

// Records up to when the list is complete; returns whether servers that came back are used from now on.
pub(super) fn confirm_list<P>(gateway: &Gateway<P>, confirmed_at: Instant) -> bool
where
    P: Platform,
{
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    let released = dispatcher.backends.confirm_list(confirmed_at);
    for server in &released {
        Event::new("server_released")
            .with("server", &**server)
            .log();
    }
    !released.is_empty()
}
