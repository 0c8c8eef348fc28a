//! Former routes: which services and which lifetime a stream may have that began on them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotwell_dispatch::former_routes::FormerRoutes;
use apricotwell_dispatch::prelude::*;

const MARGIN: Duration = Duration::from_secs(7);
const LONG: Duration = Duration::from_secs(35);

// A configuration with one route.
fn catalog(service: &str, timeout: Duration) -> Arc<Catalog> {
    let mut catalog = Catalog::new(3, ClientLimits::default());
    catalog.add_route(Route {
        name: "draft".into(),
        host: "h".to_owned(),
        prefix: "/draft/".to_owned(),
        kind: RouteKind::Stream,
        timeout,
        target: Duration::from_secs(1),
        gap_target: Duration::from_millis(300),
        priority: 1,
        services: vec![(service.into(), 1)],
        max_attempts: 1,
        anonymous: false,
    });
    Arc::new(catalog)
}

#[test]
fn shortened_timeout_retires_no_version_of_a_stream_that_may_still_run() {
    let start = Instant::now();
    let (long, short) = (catalog("a", LONG), catalog("a", LONG / 10));
    let mut routes = FormerRoutes::default();
    routes.observe(start, MARGIN, &long);
    // Also before the change was observed.
    assert_eq!(routes.stream_lifetime(MARGIN, &short), 2 * LONG + MARGIN);
    routes.observe(start, MARGIN, &short);
    let almost = start + 2 * LONG + MARGIN - Duration::from_millis(1);
    routes.observe(almost, MARGIN, &short);
    assert_eq!(routes.stream_lifetime(MARGIN, &short), 2 * LONG + MARGIN);
    routes.observe(start + 2 * LONG + MARGIN, MARGIN, &short);
    assert_eq!(routes.stream_lifetime(MARGIN, &short), LONG / 5 + MARGIN);
}

#[test]
fn former_service_of_a_route_is_forgotten_only_after_the_lifetime_of_its_streams() {
    let start = Instant::now();
    let (first, second) = (catalog("a", LONG), catalog("b", LONG));
    let mut routes = FormerRoutes::default();
    let lifetime = 2 * LONG + MARGIN;
    let services = |routes: &FormerRoutes, now: Instant| {
        let services = routes.services((now, lifetime), &second, "h", "/draft/x");
        services.map(|it| it.iter().map(ToString::to_string).collect::<Vec<_>>())
    };
    routes.observe(start, MARGIN, &first);
    let both = Some(vec!["a".to_owned(), "b".to_owned()]);
    assert_eq!(services(&routes, start), both);
    routes.observe(start, MARGIN, &second);
    assert_eq!(services(&routes, start), both);
    let end = start + lifetime;
    routes.observe(end, MARGIN, &second);
    assert_eq!(services(&routes, end), Some(vec!["b".to_owned()]));
    // More changes than are remembered leave the services unknown.
    for number in 0..100 {
        routes.observe(end, MARGIN, &catalog(&number.to_string(), LONG));
    }
    assert_eq!(services(&routes, end), None);
}

#[test]
fn longest_timeout_counts_though_more_configurations_followed_than_are_remembered() {
    let start = Instant::now();
    let mut routes = FormerRoutes::default();
    routes.observe(start, MARGIN, &catalog("a", LONG));
    let mut last = catalog("a", LONG / 10);
    for number in 0..100 {
        last = catalog("a", LONG / 10 + Duration::from_millis(number));
        routes.observe(start + Duration::from_millis(number), MARGIN, &last);
    }
    assert_eq!(routes.stream_lifetime(MARGIN, &last), 2 * LONG + MARGIN);
    routes.observe(start + 2 * LONG + MARGIN + LONG, MARGIN, &last);
    assert!(routes.stream_lifetime(MARGIN, &last) < LONG);
}

#[test]
fn services_are_unknown_after_configurations_that_were_not_read() {
    let start = Instant::now();
    let (first, third) = (catalog("a", LONG), catalog("c", LONG));
    let mut routes = FormerRoutes::default();
    let lifetime = 2 * LONG + MARGIN;
    let services = |routes: &FormerRoutes, now: Instant| {
        let services = routes.services((now, lifetime), &third, "h", "/draft/x");
        services.map(|it| it.len())
    };
    routes.observe(start, MARGIN, &first);
    // The second one may have had another service.
    routes.record_gap(start);
    routes.observe(start, MARGIN, &third);
    assert_eq!(services(&routes, start), None);
    let end = start + lifetime;
    routes.observe(end, MARGIN, &third);
    assert_eq!(services(&routes, end), Some(1));
}
