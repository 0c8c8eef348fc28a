//! Explanations of decisions: the same as for a real request, and without any effect.

#[path = "support/config.rs"]
mod config;

use std::time::{Duration, Instant};

use apricotwell_dispatch::dispatcher::explain::{Exclusion, WeightsPlace};
use apricotwell_dispatch::prelude::*;
use apricotwell_types::{KeyDigest, RefusalKind};
use config::config;

fn model(name: &str) -> (ModelName, ModelSpec) {
    let spec = ModelSpec {
        name: name.into(),
        weights_mb: 70_000.0,
        store_load: Duration::from_secs(9),
        disk_load: Duration::from_secs(2),
        memory_load: Duration::from_secs(1),
        adapter_mb: 60.0,
        adapters: 4,
    };
    (name.into(), spec)
}

fn catalog() -> Catalog {
    let mut catalog = Catalog::new(3, ClientLimits::default());
    let engine = EngineSpec {
        slots: 4,
        memory_mb: 210_000.0,
        adapter_slots: 8,
        loads_per_second: 2.0,
        kv_tokens: 100_000,
        models: ["held", "on-disk"].map(model).into(),
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
        cold_left: Duration::ZERO,
        software: None,
        remaining: None,
        started_ms: 1,
        number: None,
        inventory: Inventory {
            models: models.iter().map(|it| ((*it).into(), vec![])).collect(),
            on_disk: vec!["on-disk".into()],
            ..Inventory::default()
        },
    }
}

fn request(path: &str, key: &str, model: &str) -> RequestHead {
    RequestHead {
        attempt: "a".to_owned(),
        host: "h".to_owned(),
        path: path.to_owned(),
        key: Some(KeyDigest::of_secret(key)),
        timeout: None,
        requested_model: Some(RequestedModel {
            model: model.into(),
            adapter: None,
        }),
        usage: None,
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
    for id in ["one", "two", "full"] {
        dispatcher.backends.apply_entry(now, entry(id, &["held"]));
    }
    dispatcher.backends.apply_entry(now, entry("empty", &[]));
    let mut draining = entry("draining", &["held"]);
    draining.draining = true;
    dispatcher.backends.apply_entry(now, draining);
    for _ in 0..4 {
        dispatcher.backends.begin_request(now, "full", 0.0);
    }
    dispatcher
}

// Guards against an explanation that differs from the decision for a real request.
#[test]
fn known_request_is_explained_as_it_would_be_decided() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    let request = request("/draft/x", "key", "held");
    let explanation = dispatcher.explain(now, &request).unwrap();
    let admission = dispatcher.admit(now, &request).unwrap();
    let decision = dispatcher.select_server(now, &admission, &request, &[]);
    assert_eq!(explanation.decision, decision);
    let first = &explanation.servers[0];
    assert!(matches!(&decision, RoutingDecision::Send(id, _) if *id == first.id));
    assert!(explanation.servers[1].expected_delay_ms >= first.expected_delay_ms);
    let excluded = |id: &str| {
        let mut servers = explanation.servers.iter();
        servers.find(|it| *it.id == *id).unwrap().excluded
    };
    assert_eq!([excluded("one"), excluded("two")], [None, None]);
    assert_eq!(excluded("full"), Some(Exclusion::Full));
    assert_eq!(excluded("empty"), Some(Exclusion::ModelNotLoaded));
    assert_eq!(excluded("draining"), Some(Exclusion::Draining));
    assert_eq!(explanation.organisation.as_deref(), Some("kitchens"));
    assert_eq!(explanation.config_age, Some(Duration::ZERO));
}

// Guards against explanations that hide why a request waits.
#[test]
fn request_for_a_model_on_a_disk_waits_and_shows_where_the_weights_are() {
    let now = Instant::now();
    let dispatcher = dispatcher(now);
    let request = request("/draft/x", "key", "on-disk");
    let explanation = dispatcher.explain(now, &request).unwrap();
    assert_eq!(explanation.decision, RoutingDecision::Wait);
    let mut servers = explanation.servers.iter();
    assert!(servers.all(|it| it.weights == Some(WeightsPlace::Disk)));
}

// Guards against explanations of requests that no server could ever run.
#[test]
fn unknown_route_key_and_model_are_named() {
    let now = Instant::now();
    let dispatcher = dispatcher(now);
    for (path, key, model, kind) in [
        ("/other/x", "key", "held", RefusalKind::RouteNotFound),
        ("/draft/x", "other", "held", RefusalKind::InvalidApiKey),
        ("/draft/x", "key", "other", RefusalKind::ModelNotFound),
    ] {
        let refusal = dispatcher.explain(now, &request(path, key, model));
        assert_eq!(refusal.unwrap_err().kind, kind);
    }
}

// Guards against explanations that charge tokens, count demand or occupy servers.
#[test]
fn explanations_change_nothing() {
    let now = Instant::now();
    let dispatcher = dispatcher(now);
    let before = format!("{dispatcher:?}");
    for path in ["/draft/x", "/other/x"] {
        for model in ["held", "on-disk", "other"] {
            let _ = dispatcher.explain(now, &request(path, "key", model));
        }
    }
    assert_eq!(format!("{dispatcher:?}"), before);
}
