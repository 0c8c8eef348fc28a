//! Admission and routing of single requests: accepted, sent, queued or refused.

#[path = "support/config.rs"]
mod config;

use std::time::{Duration, Instant};

use apricotwell_dispatch::backends::BackendEntry;
use apricotwell_dispatch::demand::DemandTable;
use apricotwell_dispatch::prelude::*;
use apricotwell_messages::{HeldModel, InventoryUpdate, ServerInventory};
use apricotwell_permits::prelude::*;
use apricotwell_types::{KeyDigest, RefusalKind};
use config::{REVOCATION, config};

fn model(name: &str) -> ModelSpec {
    ModelSpec {
        name: name.into(),
        weights_mb: 70_000.0,
        store_load: Duration::from_secs(9),
        disk_load: Duration::from_secs(2),
        memory_load: Duration::from_secs(1),
        adapter_mb: 60.0,
        adapters: 4,
    }
}

fn catalog() -> Catalog {
    let mut catalog = Catalog::new(3, ClientLimits::default());
    let engine = EngineSpec {
        slots: 4,
        memory_mb: 210_000.0,
        adapter_slots: 8,
        loads_per_second: 2.0,
        kv_tokens: 100_000,
        models: ["held", "on-disk", "nowhere"]
            .map(|name| (name.into(), model(name)))
            .into(),
    };
    catalog.add_service(Service {
        name: "engines".into(),
        engine: Some(engine),
        max_connections: 100,
        warmup: None,
    });
    catalog.add_route(Route {
        name: "draft".into(),
        host: "h".to_owned(),
        prefix: "/draft/".to_owned(),
        kind: RouteKind::Stream,
        timeout: Duration::from_secs(15),
        target: Duration::from_secs(1),
        gap_target: Duration::from_millis(300),
        priority: 1,
        services: vec![("engines".into(), 1)],
        max_attempts: 1,
        anonymous: false,
    });
    let organisation = Organisation {
        name: "kitchens".into(),
        priority: None,
        rate: 10_000,
        burst: 10_000,
        default_tokens: 200,
    };
    catalog.add_organisation(organisation, [KeyDigest::of_secret("key")]);
    catalog
}

fn entry(id: &str, models: &[&str]) -> BackendEntry {
    BackendEntry {
        id: id.into(),
        service: "engines".into(),
        address: "10.0.1.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: 4,
        draining: false,
        remaining: None,
        cold_left: Duration::ZERO,
        software: None,
        started_ms: 1,
        number: None,
        inventory: Inventory {
            models: models
                .iter()
                .map(|name| ((*name).into(), Vec::new()))
                .collect(),
            on_disk: vec!["on-disk".into()],
            ..Inventory::default()
        },
    }
}

fn request(attempt: &str, model: &str) -> RequestHead {
    RequestHead {
        attempt: attempt.to_owned(),
        host: "h".to_owned(),
        path: "/draft/x".to_owned(),
        key: Some(KeyDigest::of_secret("key")),
        timeout: None,
        requested_model: Some(RequestedModel {
            model: model.into(),
            adapter: None,
        }),
        usage: Some(TokenUsage {
            prompt: 900,
            output_limit: 100,
        }),
        expected_output: None,
        prompt: vec![PromptSegment { id: 1, tokens: 900 }],
        resumes: None,
        last_event: None,
    }
}

fn dispatcher(now: Instant) -> Dispatcher {
    let mut dispatcher =
        Dispatcher::new(config("10.0.0.1:7600".into(), 1, "10.0.0.1:80".to_owned()));
    dispatcher.apply_catalog(catalog());
    dispatcher.freshness.record_read(now);
    for id in ["one", "two", "three"] {
        dispatcher.backends.apply_entry(now, entry(id, &["held"]));
    }
    dispatcher
}

fn select_server(
    dispatcher: &mut Dispatcher,
    now: Instant,
    attempt: &str,
    model: &str,
) -> RoutingDecision {
    let request = request(attempt, model);
    let admission = dispatcher.admit(now, &request).unwrap();
    dispatcher.select_server(now, &admission, &request, &[])
}

#[test]
fn an_older_catalog_never_replaces_a_newer_one() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    let older = Catalog::new(2, ClientLimits::default());
    assert!(!dispatcher.apply_catalog(older));
    assert_eq!(dispatcher.catalog.as_ref().unwrap().version, 3);
}

#[test]
fn an_outdated_catalog_reports_no_route_or_key_as_unknown() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    let mut other = request("a", "held");
    other.path = "/new/x".to_owned();
    let kind = |dispatcher: &mut Dispatcher, at, request: &RequestHead| {
        dispatcher.admit(at, request).unwrap_err().kind
    };
    assert_eq!(
        kind(&mut dispatcher, now, &other),
        RefusalKind::RouteNotFound
    );
    let later = now + Duration::from_millis(3500);
    assert_eq!(
        kind(&mut dispatcher, later, &other),
        RefusalKind::Unavailable
    );
    let mut unknown = request("b", "held");
    unknown.key = Some(KeyDigest::of_secret("other"));
    assert_eq!(
        kind(&mut dispatcher, now, &unknown),
        RefusalKind::InvalidApiKey
    );
    assert_eq!(
        kind(&mut dispatcher, later, &unknown),
        RefusalKind::Unavailable
    );
    let stale = now + REVOCATION;
    assert_eq!(
        kind(&mut dispatcher, stale, &request("c", "held")),
        RefusalKind::Unavailable
    );
}

#[test]
fn requests_are_spread_evenly_over_equal_servers() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    let mut counts = std::collections::BTreeMap::new();
    for number in 0..9 {
        let RoutingDecision::Send(server, _) =
            select_server(&mut dispatcher, now, &number.to_string(), "held")
        else {
            panic!("no server was selected");
        };
        dispatcher.backends.begin_request(now, &server, 900.0);
        *counts.entry(server).or_insert(0) += 1;
    }
    assert_eq!(counts.values().copied().collect::<Vec<u32>>(), [3, 3, 3]);
}

#[test]
fn a_failing_server_is_avoided_and_retried_later() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    let RoutingDecision::Send(first, _) = select_server(&mut dispatcher, now, "a", "held") else {
        panic!("no server was selected");
    };
    for _ in 0..4 {
        dispatcher.backends.record_outcome(now, &first, true);
    }
    let second = select_server(&mut dispatcher, now, "b", "held");
    assert!(matches!(second, RoutingDecision::Send(server, _) if server != first));
    let later = now + Duration::from_secs(40);
    dispatcher.freshness.record_read(later);
    let again = select_server(&mut dispatcher, later, "c", "held");
    assert!(matches!(again, RoutingDecision::Send(server, _) if server == first));
}

#[test]
fn requests_wait_while_all_servers_are_full() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    for id in ["one", "two", "three"] {
        for _ in 0..4 {
            dispatcher.backends.begin_request(now, id, 0.0);
        }
    }
    assert_eq!(
        select_server(&mut dispatcher, now, "a", "held"),
        RoutingDecision::Wait
    );
    dispatcher.backends.end_request("two");
    let decision = select_server(&mut dispatcher, now, "b", "held");
    assert!(matches!(decision, RoutingDecision::Send(server, _) if &*server == "two"));
}

#[test]
fn a_request_waits_for_a_model_only_if_the_load_ends_in_time() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    // Clients of this route time out after four times its target latency of one second.
    assert_eq!(
        select_server(&mut dispatcher, now, "a", "on-disk"),
        RoutingDecision::Wait
    );
    let RoutingDecision::Refuse(refusal) = select_server(&mut dispatcher, now, "b", "nowhere")
    else {
        panic!("a load of nine seconds doesn't end in time");
    };
    assert_eq!(refusal.kind, RefusalKind::Overloaded);
    assert!(refusal.retry_after.unwrap() >= Duration::from_secs(9));
    let RoutingDecision::Refuse(refusal) = select_server(&mut dispatcher, now, "c", "unknown")
    else {
        panic!("no server can run an unknown model");
    };
    assert_eq!(refusal.kind, RefusalKind::Overloaded);
}

#[test]
fn draining_and_removed_servers_get_no_requests() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    let draining = BackendEntry {
        draining: true,
        ..entry("one", &["held"])
    };
    dispatcher.backends.apply_entry(now, draining);
    dispatcher.backends.mark_removed(now, "two", None);
    for number in 0..4 {
        let decision = select_server(&mut dispatcher, now, &number.to_string(), "held");
        assert!(matches!(decision, RoutingDecision::Send(server, _) if &*server == "three"));
    }
    dispatcher
        .backends
        .mark_removed(now, "three", Some(Duration::from_secs(2)));
    let kept = select_server(&mut dispatcher, now, "kept", "held");
    assert!(
        matches!(kept, RoutingDecision::Send(..)),
        "its entry may come back after an outage"
    );
    let gone = now + Duration::from_secs(3);
    dispatcher.freshness.record_read(gone);
    let decision = select_server(&mut dispatcher, gone, "gone", "held");
    assert!(matches!(decision, RoutingDecision::Refuse(_)));
}

#[test]
fn client_addresses_are_those_of_ready_and_reachable_instances() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    let mut other = Dispatcher::new(InstanceConfig {
        id: "10.0.0.2:7600".into(),
        address: "10.0.0.2:80".to_owned(),
        ..config("10.0.0.1:7600".into(), 1, "10.0.0.1:80".to_owned())
    });
    other.apply_catalog(catalog());
    other.freshness.record_read(now);
    let heartbeat = other.heartbeat(now);
    assert!(dispatcher.apply_heartbeat(now, &heartbeat).is_some());
    assert!(
        dispatcher.apply_heartbeat(now, &heartbeat).is_none(),
        "a repeated heartbeat is outdated"
    );
    assert_eq!(dispatcher.client_addresses(now).len(), 2);
    dispatcher.start_draining();
    assert_eq!(dispatcher.client_addresses(now), ["10.0.0.2:80"]);
    let unreachable = now + Duration::from_secs(2);
    assert!(dispatcher.client_addresses(unreachable).is_empty());
}

#[test]
fn one_ready_instance_of_a_zone_reads_the_store_for_the_others() {
    let now = Instant::now();
    let mut own = dispatcher(now);
    let receive_heartbeat = |receiver: &mut Dispatcher, id: &str, zone: &str, ready: bool| {
        let mut other = if ready {
            dispatcher(now)
        } else {
            Dispatcher::new(config("10.0.0.1:7600".into(), 1, "10.0.0.1:80".to_owned()))
        };
        other.config.id = id.into();
        other.config.zone = zone.into();
        let heartbeat = other.heartbeat(now);
        assert!(receiver.apply_heartbeat(now, &heartbeat).is_some());
    };
    assert_eq!(own.feed_source(now), FeedSource::Store);
    receive_heartbeat(&mut own, "10.0.0.0:7600", "b", true);
    receive_heartbeat(&mut own, "10.0.0.0:7601", "a", false);
    receive_heartbeat(&mut own, "10.0.0.2:7600", "a", true);
    // The reader must be in the same zone and ready, and have the lowest id.
    assert_eq!(own.feed_source(now), FeedSource::Store);
    receive_heartbeat(&mut own, "10.0.0.0:7602", "a", true);
    let first = FeedSource::Peer("10.0.0.0:7602".into());
    assert_eq!(own.feed_source(now), first);
    // The reader stopped sending heartbeats; this instance has lost the store meanwhile.
    let later = now + Duration::from_secs(4);
    own.expire(later);
    assert_eq!(own.feed_source(later), FeedSource::Store);
}

fn name_limit(dispatcher: &mut Dispatcher, now: Instant, server: &str, rate: Option<f64>) {
    let response = LimitResponse { sent_at: now, rate };
    let limits = &mut dispatcher.limited.limits;
    limits.record_response(now, &server.into(), response);
}

fn hold_permit(dispatcher: &mut Dispatcher, now: Instant, server: &str) {
    dispatcher.limited.permits.begin_wait(&server.into());
    let (number, _) = dispatcher.limited.permits.take_due(now)[0];
    dispatcher
        .limited
        .permits
        .apply(now, server, number, PermitAnswer::Granted);
    dispatcher.limited.permits.end_wait(server);
}

#[test]
fn a_limited_server_is_used_with_a_permit_only() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    for id in ["one", "two", "three"] {
        name_limit(&mut dispatcher, now, id, Some(1.0));
    }
    let decision = select_server(&mut dispatcher, now, "a", "held");
    assert!(matches!(decision, RoutingDecision::AwaitPermit(_)));
    hold_permit(&mut dispatcher, now, "two");
    let decision = select_server(&mut dispatcher, now, "b", "held");
    assert!(matches!(decision, RoutingDecision::Send(server, _) if &*server == "two"));
    dispatcher.limited.permits.take(now, "two");
    let decision = select_server(&mut dispatcher, now, "c", "held");
    assert!(matches!(decision, RoutingDecision::AwaitPermit(_)));
}

#[test]
fn servers_without_a_limit_take_what_a_limited_one_does_not() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    name_limit(&mut dispatcher, now, "one", Some(1.0));
    for number in 0..8 {
        let decision = select_server(&mut dispatcher, now, &number.to_string(), "held");
        let RoutingDecision::Send(server, _) = decision else {
            panic!("no server was selected");
        };
        assert_ne!(&*server, "one");
        dispatcher.backends.begin_request(now, &server, 900.0);
    }
}

#[test]
fn a_request_is_refused_at_once_if_its_turn_for_a_permit_is_too_late() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    for id in ["one", "two", "three"] {
        name_limit(&mut dispatcher, now, id, Some(1.0));
        dispatcher.limited.permits.begin_wait(&id.into());
        let (number, _) = dispatcher.limited.permits.take_due(now)[0];
        let answer = PermitAnswer::Refused(Duration::from_secs(20));
        dispatcher.limited.permits.apply(now, id, number, answer);
    }
    let decision = select_server(&mut dispatcher, now, "a", "held");
    let RoutingDecision::Refuse(refusal) = decision else {
        panic!("the request was not refused");
    };
    assert_eq!(refusal.retry_after, Some(Duration::from_secs(20)));
}

#[test]
fn a_limit_is_lifted_only_by_the_answer_to_a_later_request() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    let later = now + Duration::from_millis(50);
    name_limit(&mut dispatcher, later, "one", Some(1.0));
    let limits = &mut dispatcher.limited.limits;
    let earlier = LimitResponse {
        sent_at: now,
        rate: None,
    };
    limits.record_response(later, &"one".into(), earlier);
    assert_eq!(limits.rate("one"), Some(1.0));
    let after = LimitResponse {
        sent_at: later + Duration::from_millis(1),
        rate: None,
    };
    limits.record_response(later + Duration::from_millis(9), &"one".into(), after);
    assert_eq!(limits.rate("one"), None);
}

#[test]
fn an_instance_learns_a_limit_and_its_end_from_heartbeats() {
    let now = Instant::now();
    let mut told = dispatcher(now);
    let mut other = dispatcher(now);
    other.config.id = "10.0.0.2:7600".into();
    name_limit(&mut told, now, "one", Some(1.4));
    let heartbeat = told.heartbeat(now);
    other.apply_heartbeat(now, &heartbeat);
    assert_eq!(other.limited.limits.rate("one"), Some(1.4));
    let later = now + Duration::from_secs(1);
    name_limit(&mut told, later, "one", None);
    let heartbeat = told.heartbeat(later);
    other.apply_heartbeat(later, &heartbeat);
    assert_eq!(other.limited.limits.rate("one"), None);
}

// Guards against requests that keep a replica in use which is to be unloaded, and against refusals when
// only that replica is left.
#[test]
fn a_replica_that_is_to_be_unloaded_is_used_only_if_the_others_are_full() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    dispatcher.set_load_aware(true);
    let inventory = |id: &str| ServerInventory {
        server: id.to_owned(),
        started_ms: 1,
        models: vec![HeldModel {
            model: "held".to_owned(),
            adapters: Vec::new(),
        }],
        leaving: "held".to_owned(),
        ..ServerInventory::default()
    };
    let update = InventoryUpdate {
        fence: 1,
        relay: false,
        servers: vec![inventory("one"), inventory("three")],
    };
    dispatcher.apply_inventory(now, &update);
    for sent in 0..6 {
        let decision = select_server(&mut dispatcher, now, &format!("a{sent}"), "held");
        let RoutingDecision::Send(id, _) = decision else {
            panic!("{decision:?}");
        };
        assert_eq!(&*id == "two", sent < 4, "request {sent} to {id}");
        dispatcher.backends.begin_request(now, &id, 0.0);
    }
}

// Guards against running requests that are reported after they have ended, and against reports by
// instances that are not load-aware.
#[test]
fn running_requests_are_reported_by_server_where_load_aware() {
    let now = Instant::now();
    let later = now + Duration::from_secs(60);
    let requested = RequestedModel {
        model: "held".into(),
        adapter: None,
    };
    for load_aware in [false, true] {
        let mut demand = DemandTable::new(load_aware);
        let service = "engines".into();
        demand.record_request(later, &service, &requested);
        for server in ["one", "one", "two"] {
            demand.begin_run(now, &service, &requested, &server.into());
        }
        demand.end_run(later, &service, &requested, &"two".into());
        let uses = demand.model_uses(later);
        let runs: Vec<(&str, u32)> = uses[0]
            .runs
            .iter()
            .map(|run| (run.server.as_str(), run.requests))
            .collect();
        if load_aware {
            assert_eq!(runs, [("one", 2)]);
            // 3 ran for a minute.
            assert!(
                uses[0]
                    .concurrent
                    .is_some_and(|it| (2990..=3000).contains(&it))
            );
        } else {
            assert_eq!((runs.len(), uses[0].concurrent), (0, None));
        }
    }
}
