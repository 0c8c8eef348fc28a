//! When an instance takes a service for unreachable, and which instance serves its requests then.

#[path = "support/config.rs"]
mod config;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_dispatch::peers::heartbeat_interval;
use apricotwell_dispatch::prelude::*;
use apricotwell_messages::Heartbeat;
use apricotwell_types::ServerId;
use prost::Message;

const SERVICE: &str = "engines";
const ZONES: usize = 16;
const INSTANCES: usize = 410;

struct Fixture {
    start: Instant,
    dispatcher: Dispatcher,
}

fn id(index: usize) -> String {
    format!("10.{}.{}.{}:7100", index % ZONES, index / 200, index % 200)
}

fn zone(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

impl Fixture {
    fn new(servers: usize) -> Self {
        let start = Instant::now();
        let config = InstanceConfig {
            zone: zone(0).as_str().into(),
            ..config::config(id(0).as_str().into(), 1, "10.0.0.0:80".to_owned())
        };
        let mut fixture = Self {
            start,
            dispatcher: Dispatcher::new(config),
        };
        for index in 0..servers {
            fixture.list(index, 1);
        }
        fixture
    }

    fn list(&mut self, index: usize, started_ms: u64) {
        let entry = BackendEntry {
            id: format!("server-{index}").into(),
            service: SERVICE.into(),
            address: "10.1.0.1:80".parse().unwrap(),
            zone: "zone-0".into(),
            slots: 8,
            draining: false,
            remaining: None,
            cold_left: Duration::ZERO,
            software: None,
            started_ms,
            number: None,
            inventory: Inventory::default(),
        };
        self.dispatcher.backends.apply_entry(self.start, entry);
    }

    fn connect(&mut self, ms: u64, server: usize, is_accepted: bool) {
        let now = self.start + Duration::from_millis(ms);
        let server = format!("server-{server}");
        self.dispatcher.record_connection(now, &server, is_accepted);
    }

    fn is_unreachable(&self) -> bool {
        self.dispatcher.is_unreachable(self.start, SERVICE)
    }

    // Hears of another instance, which does not reach the given services.
    fn hear(&mut self, index: usize, unreachable: &[&str]) {
        let heartbeat = Heartbeat {
            instance: id(index),
            incarnation: 1,
            number: 1 + self.dispatcher.peers.possible_count() as u64,
            address: format!("{}:80", id(index)),
            ready: true,
            zone: zone(index),
            unreachable: unreachable.iter().map(|it| (*it).to_owned()).collect(),
            ..Heartbeat::default()
        };
        self.dispatcher.apply_heartbeat(self.start, &heartbeat);
    }

    fn detour(&self, attempt: &str, tried: &[ServerId]) -> Option<String> {
        let instance = self
            .dispatcher
            .detour(self.start, SERVICE, attempt, tried)?;
        Some(instance.to_string())
    }
}

#[test]
fn service_is_unreachable_once_three_servers_in_a_row_accept_no_connection() {
    let mut fixture = Fixture::new(5100);
    for server in [1, 1, 1, 2] {
        fixture.connect(0, server, false);
        assert!(!fixture.is_unreachable());
    }
    fixture.connect(0, 3, false);
    assert!(fixture.is_unreachable());
    fixture.connect(0, 4, true);
    assert!(!fixture.is_unreachable());
}

#[test]
fn dead_servers_between_living_ones_leave_a_service_reachable() {
    let mut fixture = Fixture::new(9);
    for round in 0..20 {
        fixture.connect(round * 100, 1, false);
        fixture.connect(round * 100 + 10, 2, false);
        fixture.connect(round * 100 + 20, 3, true);
        assert!(!fixture.is_unreachable(), "round {round}");
    }
}

#[test]
fn servers_that_start_anew_end_the_state_of_a_small_service() {
    let mut fixture = Fixture::new(2);
    fixture.connect(0, 0, false);
    assert!(!fixture.is_unreachable());
    fixture.connect(0, 1, false);
    assert!(fixture.is_unreachable());
    fixture.list(1, 2);
    assert!(!fixture.is_unreachable());
}

#[test]
fn failures_without_another_one_are_forgotten() {
    let mut fixture = Fixture::new(9);
    for server in 0..3 {
        fixture.connect(0, server, false);
    }
    let now = fixture.start + Duration::from_secs(4);
    fixture.dispatcher.expire(now);
    assert!(fixture.is_unreachable());
    fixture.dispatcher.expire(now + Duration::from_secs(1));
    assert!(!fixture.is_unreachable());
}

#[test]
fn first_failure_asks_two_other_servers_and_a_cut_one_at_a_time() {
    let mut fixture = Fixture::new(9);
    let now = fixture.start;
    assert_eq!(fixture.dispatcher.probe_targets(now), []);
    fixture.connect(0, 4, false);
    let targets = fixture.dispatcher.probe_targets(now);
    assert_eq!(targets.len(), 2);
    assert!(targets.iter().all(|(server, _)| **server != *"server-4"));
    for server in 0..3 {
        fixture.connect(0, server, false);
    }
    let asked: Vec<_> = (0..9)
        .flat_map(|_| fixture.dispatcher.probe_targets(now))
        .collect();
    assert_eq!(asked.len(), 9);
    let servers: std::collections::BTreeSet<_> = asked.iter().map(|(server, _)| server).collect();
    assert_eq!(servers.len(), 9);
}

#[test]
fn service_is_reached_at_the_next_probe_though_a_quarter_of_its_servers_crashed_together() {
    const SERVERS: usize = 140;
    let mut fixture = Fixture::new(SERVERS);
    let now = fixture.start;
    let has_crashed = |server: &str| {
        let number: usize = server["server-".len()..].parse().unwrap();
        number.is_multiple_of(4)
    };
    for server in [0, 4, 8] {
        fixture.connect(0, server, false);
    }
    let rounds = 100;
    let reached = (0..rounds).filter(|_| {
        let targets = fixture.dispatcher.probe_targets(now);
        assert!(targets.len() <= 3);
        targets.iter().any(|(server, _)| !has_crashed(server))
    });
    let reached = reached.count();
    assert!(reached >= 95, "{reached} of {rounds}");
}

#[test]
fn request_is_passed_on_within_the_zone_while_half_of_it_reaches_the_service() {
    let mut fixture = Fixture::new(9);
    // Instances 16, 32 and so on are of this zone, which has six with this one.
    for index in 1..6 {
        fixture.hear(index * ZONES, &[]);
        fixture.hear(index, &[]);
    }
    for attempt in 0..100 {
        let chosen = fixture.detour(&format!("a{attempt}"), &[]).unwrap();
        assert!(chosen.starts_with("10.0."), "{chosen}");
    }
    for index in 1..5 {
        fixture.hear(index * ZONES, &[SERVICE]);
    }
    let chosen: std::collections::BTreeSet<String> = (0..100)
        .filter_map(|attempt| fixture.detour(&format!("a{attempt}"), &[]))
        .collect();
    assert_eq!(chosen.len(), 6, "{chosen:?}");
}

#[test]
fn instances_that_reach_no_server_either_are_not_asked() {
    let mut fixture = Fixture::new(9);
    fixture.hear(1, &[SERVICE]);
    fixture.hear(2, &["another-service"]);
    assert_eq!(fixture.detour("a", &[]), Some(id(2)));
    assert_eq!(fixture.detour("a", &[id(2).as_str().into()]), None);
    fixture.hear(2, &[SERVICE]);
    assert_eq!(fixture.detour("a", &[]), None);
}

#[test]
fn lookups_leave_out_instances_that_are_cut_off_unless_all_are() {
    let mut fixture = Fixture::new(9);
    fixture.hear(1, &[SERVICE]);
    fixture.hear(2, &[]);
    let now = fixture.start;
    let named = fixture.dispatcher.client_addresses(now);
    assert_eq!(named, [format!("{}:80", id(2))]);
    fixture.hear(2, &[SERVICE]);
    let named = fixture.dispatcher.client_addresses(now);
    assert_eq!(named.len(), 2);
}

#[test]
fn load_of_a_cut_zone_spreads_over_the_fleet_at_the_target_size() {
    let mut shares: BTreeMap<String, usize> = BTreeMap::new();
    let cut: Vec<usize> = (0..INSTANCES).filter(|index| index % ZONES == 0).collect();
    // All instances of a zone but the last one are cut off; each receives 120 requests a second.
    let in_touch = cut[cut.len() - 1];
    let mut fixture = Fixture::new(0);
    for index in 1..INSTANCES {
        let is_cut = index % ZONES == 0 && index != in_touch;
        fixture.hear(index, if is_cut { &[SERVICE] } else { &[] });
    }
    for number in 0..(cut.len() - 1) * 120 {
        let chosen = fixture.detour(&format!("attempt-{number}"), &[]).unwrap();
        *shares.entry(chosen).or_default() += 1;
    }
    let most = shares.values().max().copied().unwrap_or(0);
    // 3,000 requests over 385 instances are 7.8 each, and 120 of its own.
    assert!(shares.len() > 380, "{} instances", shares.len());
    assert!(most <= 24, "{most} requests a second");
}

#[test]
fn what_a_cut_instance_tells_fits_into_its_share_at_the_target_size() {
    let mut fixture = Fixture::new(9);
    let plain = fixture.dispatcher.heartbeat(fixture.start).encoded_len();
    for server in 0..3 {
        fixture.connect(0, server, false);
    }
    let cut = fixture.dispatcher.heartbeat(fixture.start).encoded_len();
    let interval = heartbeat_interval(INSTANCES as u32).as_secs_f64();
    let per_second = (cut - plain) as f64 * INSTANCES as f64 / interval;
    // Even if all instances but one are cut off, that one hears under 1 KB a second more.
    assert!(per_second < 1000.0, "{per_second:.0} bytes a second");
}
