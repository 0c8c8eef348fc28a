//! Which servers are cold, and until when.

#[path = "support/config.rs"]
mod config;

use std::time::{Duration, Instant};

use apricotwell_dispatch::backends::BackendEntry;
use apricotwell_dispatch::prelude::*;
use apricotwell_permits::prelude::LimitResponse;
use config::config;

const WARMUP: Duration = Duration::from_secs(20);
/// Start of the instance, in milliseconds since the Unix epoch.
const INSTANCE_START: u64 = 1_800_000_000_000;

struct Fixture {
    now: Instant,
    dispatcher: Dispatcher,
}

impl Fixture {
    fn new() -> Self {
        let id = "10.0.0.1:7600".into();
        let config = config(id, INSTANCE_START, "10.0.0.1:80".to_owned());
        let mut dispatcher = Dispatcher::new(config);
        dispatcher.apply_catalog(catalog(1, Some(5.0)));
        Self {
            now: Instant::now(),
            dispatcher,
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.dispatcher.update_warmups(self.now);
    }

    // Lists a server whose process started some time before the instance.
    fn list(&mut self, age: Duration, cold_left: Duration) {
        let entry = BackendEntry {
            id: "one".into(),
            service: "plain".into(),
            address: "10.1.0.1:80".parse().unwrap(),
            zone: "a".into(),
            slots: 8,
            draining: false,
            remaining: None,
            cold_left,
            software: None,
            started_ms: INSTANCE_START - age.as_millis() as u64,
            number: None,
            inventory: Inventory::default(),
        };
        self.dispatcher.apply_entry(self.now, entry);
        self.dispatcher.update_warmups(self.now);
    }

    fn is_cold(&self) -> bool {
        self.dispatcher.limited.limits.cold.rate("one").is_some()
    }
}

fn catalog(version: u64, per_second: Option<f64>) -> Catalog {
    let mut catalog = Catalog::new(version, ClientLimits::default());
    catalog.add_service(Service {
        name: "plain".into(),
        engine: None,
        max_connections: 100,
        warmup: per_second.map(|per_second| Warmup {
            duration: WARMUP,
            per_second,
        }),
    });
    catalog
}

const HOUR: Duration = Duration::from_secs(3600);

// Guards against a server that counts as warm too early, or stays cold.
#[test]
fn server_is_cold_after_it_starts() {
    let mut fixture = Fixture::new();
    fixture.list(Duration::ZERO, Duration::ZERO);
    assert!(fixture.is_cold());
    fixture.pass(WARMUP - Duration::from_millis(1));
    assert!(fixture.is_cold());
    fixture.pass(Duration::from_millis(1));
    assert!(!fixture.is_cold());
}

// Guards against an instance that takes all servers to be cold when it starts itself.
#[test]
fn server_that_runs_for_long_is_warm_when_an_instance_starts() {
    let mut fixture = Fixture::new();
    fixture.list(HOUR, Duration::ZERO);
    assert!(!fixture.is_cold());
}

// The clocks of the two may differ, so the age that they yield doesn't count.
#[test]
fn server_that_restarts_is_cold_whatever_the_clocks_say() {
    let mut fixture = Fixture::new();
    fixture.list(2 * HOUR, Duration::ZERO);
    assert!(!fixture.is_cold());
    fixture.list(HOUR, Duration::ZERO);
    fixture.pass(WARMUP - Duration::from_millis(1));
    assert!(fixture.is_cold());
    fixture.pass(Duration::from_millis(1));
    assert!(!fixture.is_cold());
}

// Guards against a stated time that is ignored, or restarted by each entry.
#[test]
fn server_is_cold_while_its_entry_says_so() {
    let mut fixture = Fixture::new();
    fixture.list(HOUR, Duration::ZERO);
    fixture.pass(Duration::from_secs(5));
    fixture.list(HOUR, Duration::from_secs(3));
    fixture.pass(Duration::from_millis(2999));
    assert!(fixture.is_cold());
    fixture.list(HOUR, Duration::from_secs(1));
    fixture.pass(Duration::from_secs(1));
    assert!(!fixture.is_cold());
}

// Guards against full load on a zone at the end of its evacuation, however the end is learned.
#[test]
fn servers_of_a_zone_are_cold_after_its_evacuation() {
    for is_listed in [true, false] {
        let mut fixture = Fixture::new();
        fixture.list(HOUR, Duration::ZERO);
        let now = fixture.now;
        fixture.dispatcher.apply_evacuation(now, &"a".into(), true);
        fixture.pass(HOUR);
        assert!(!fixture.is_cold());
        let now = fixture.now;
        if is_listed {
            fixture.dispatcher.apply_evacuation(now, &"a".into(), false);
        } else {
            fixture.dispatcher.retain_evacuations(now, &[]);
        }
        fixture.pass(WARMUP - Duration::from_millis(1));
        assert!(fixture.is_cold());
        fixture.pass(Duration::from_millis(1));
        assert!(!fixture.is_cold());
    }
}

// Guards against a cold rate that raises the limit which the server named, or the reverse.
#[test]
fn lower_one_of_a_named_limit_and_the_cold_rate_counts() {
    let mut fixture = Fixture::new();
    fixture.list(Duration::ZERO, Duration::ZERO);
    let now = fixture.now;
    let limits = &mut fixture.dispatcher.limited.limits;
    let cold = limits.rate("one").unwrap();
    assert!((4.0..=5.0).contains(&cold), "{cold}");
    for (named, expected) in [(2.0, 2.0), (30.0, cold)] {
        let response = LimitResponse {
            sent_at: now,
            rate: Some(named),
        };
        limits.record_response(
            now + Duration::from_millis(named as u64),
            &"one".into(),
            response,
        );
        assert_eq!(limits.rate("one"), Some(expected));
    }
    fixture.pass(WARMUP);
    assert_eq!(fixture.dispatcher.limited.limits.rate("one"), Some(30.0));
}

// Guards against servers that stay cold after the configuration has dropped the warm-up.
#[test]
fn service_without_a_cold_rate_has_no_cold_servers() {
    let mut fixture = Fixture::new();
    fixture.list(Duration::ZERO, Duration::from_secs(9));
    assert!(fixture.is_cold());
    fixture.dispatcher.apply_catalog(catalog(2, None));
    fixture.pass(Duration::from_millis(1));
    assert!(!fixture.is_cold());
}

// Fails if the bounds leave more permits than requests: whatever the rate, 1.3125 times the granted
// rate over 1.5 s, and two permits of each granter, stay within the bounds.
#[test]
fn granted_rate_follows_from_the_bounds() {
    for (excess, slack) in [(1.5, 5.0), (1.0, 5.0), (2.0, 10.0)] {
        let bounds = WarmupBounds { excess, slack };
        for rate in [1.0, 4.0, 10.0, 100.0] {
            let granted = bounds.granted_rate(rate);
            assert!(
                granted <= rate && granted >= rate * 0.1,
                "{granted} of {rate}"
            );
            if granted > rate * 0.1 {
                let most = (granted * 1.5 + 2.0) * 1.3125;
                assert!(most <= rate * excess + slack + 1e-9, "{most} at {rate}");
            }
        }
    }
}
