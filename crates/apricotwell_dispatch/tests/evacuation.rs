//! Evacuation of zones: what a selection leaves out, and when the known state changes.

#[path = "support/config.rs"]
mod config;

use std::time::{Duration, Instant};

use apricotwell_dispatch::backends::BackendEntry;
use apricotwell_dispatch::prelude::*;
use apricotwell_types::{RefusalKind, RunOutcome, ZoneId};
use config::config;

const ZONES: [&str; 2] = ["a", "b"];

fn dispatcher(now: Instant) -> Dispatcher {
    let id = "10.0.0.1:7600".into();
    let mut dispatcher = Dispatcher::new(config(id, 1, "10.0.0.1:80".to_owned()));
    let mut catalog = Catalog::new(1, ClientLimits::default());
    catalog.add_service(Service {
        name: "plain".into(),
        engine: None,
        max_connections: 100,
        warmup: None,
    });
    catalog.add_route(Route {
        name: "status".into(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(10),
        target: Duration::from_secs(1),
        gap_target: Duration::ZERO,
        priority: 0,
        services: vec![("plain".into(), 1)],
        max_attempts: 1,
        anonymous: true,
    });
    dispatcher.apply_catalog(catalog);
    dispatcher.freshness.record_read(now);
    for (index, zone) in ZONES.into_iter().enumerate() {
        let entry = BackendEntry {
            id: format!("server-{index}").into(),
            service: "plain".into(),
            address: "10.1.0.1:80".parse().unwrap(),
            zone: zone.into(),
            slots: 8,
            draining: false,
            remaining: None,
            cold_left: Duration::ZERO,
            software: None,
            started_ms: 1,
            number: None,
            inventory: Inventory::default(),
        };
        dispatcher.backends.apply_entry(now, entry);
    }
    dispatcher
}

fn select(dispatcher: &mut Dispatcher, now: Instant) -> RoutingDecision {
    let request = RequestHead {
        attempt: "a".to_owned(),
        host: "h".to_owned(),
        path: "/x".to_owned(),
        key: None,
        timeout: None,
        requested_model: None,
        usage: None,
        expected_output: None,
        prompt: Vec::new(),
        resumes: None,
        last_event: None,
    };
    let admission = dispatcher.admit(now, &request).unwrap();
    dispatcher.select_server(now, &admission, &request, &[])
}

// Returns the server that a request is sent to.
fn selected(dispatcher: &mut Dispatcher, now: Instant) -> String {
    match select(dispatcher, now) {
        RoutingDecision::Send(server, _) => server.to_string(),
        other => panic!("{other:?}"),
    }
}

// Guards against requests to an evacuated zone, and against changes that are reported twice.
#[test]
fn servers_of_an_evacuated_zone_are_not_selected() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    assert_eq!(selected(&mut dispatcher, now), "server-0");
    let zone: ZoneId = "a".into();
    let change = dispatcher.apply_evacuation(now, &zone, true);
    assert_eq!(change, Some(EvacuationChange::Evacuated(zone.clone())));
    assert_eq!(selected(&mut dispatcher, now), "server-1");
    // An unknown zone changes nothing, and a repeated record is no change, so it is logged once.
    let unknown: ZoneId = "z".into();
    let change = dispatcher.apply_evacuation(now, &unknown, true);
    assert_eq!(change, Some(EvacuationChange::Evacuated(unknown.clone())));
    assert_eq!(dispatcher.apply_evacuation(now, &unknown, true), None);
    assert_eq!(selected(&mut dispatcher, now), "server-1");
    let change = dispatcher.apply_evacuation(now, &zone, false);
    assert_eq!(change, Some(EvacuationChange::Restored(zone)));
    assert_eq!(selected(&mut dispatcher, now), "server-0");
}

// Guards against requests that wait for a service all of whose servers are in evacuated zones.
#[test]
fn service_without_other_servers_refuses_as_not_run() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    for zone in ZONES {
        dispatcher.apply_evacuation(now, &zone.into(), true);
    }
    let RoutingDecision::Refuse(refusal) = select(&mut dispatcher, now) else {
        panic!("no server may be selected");
    };
    assert_eq!(refusal.kind, RefusalKind::Unavailable);
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert!(refusal.retry_after.is_some());
    // A server that joins an evacuated zone is left out too.
    let entry = BackendEntry {
        id: "server-9".into(),
        ..dispatcher.backends.get("server-0").unwrap().entry.clone()
    };
    dispatcher.backends.apply_entry(now, entry);
    assert!(matches!(
        select(&mut dispatcher, now),
        RoutingDecision::Refuse(_)
    ));
}

// Guards against a zone that stays evacuated after the record that ended its evacuation was
// deleted.
#[test]
fn evacuations_that_the_store_no_longer_lists_end() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    for zone in ZONES {
        dispatcher.apply_evacuation(now, &zone.into(), true);
    }
    let changes = dispatcher.retain_evacuations(now, &["b".into()]);
    assert_eq!(changes, [EvacuationChange::Restored("a".into())]);
    assert_eq!(selected(&mut dispatcher, now), "server-0");
}
