//! Nine instances as processes: killed, suspended and restarted during loads and key changes.

use std::path::PathBuf;
use std::time::Duration;

use apricotwell_local::{FleetOptions, LocalFleet};
use apricotwell_timeline::{EventKind, merge};

const CHAT: &str = r#"{"model":"menu-writer","max_tokens":2,"messages":[]}"#;
const NOTES: &str = r#"{"model":"proof-notes","max_tokens":2,"messages":[]}"#;
const EXTRA_DOCUMENT: &str = r#"
["/platform/pools/plain-engines"]
kind = "engine"
memory_mib = 48000
slots = 8
fencing = false
["/platform/models/proof-notes"]
version = "1"
memory_mib = 24000
pool = "plain-engines"
["/platform/organisations/haneul"]
rate = 100000
burst = 300000
models = ["*"]
"#;

#[test]
fn the_fleet_survives_kills_suspensions_and_key_changes() {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_apricotwell-entry"));
    let mut options = FleetOptions::basic(program, "processes");
    options.instances = 9;
    options.fencing_engines = 2;
    options.plain_engines = 2;
    options.load_ms = 300;
    options.document.push_str(EXTRA_DOCUMENT);
    options.organisations.push("haneul".to_owned());
    let mut fleet = LocalFleet::start(options);

    // A model is loaded for the first time while two instances are suspended; then two more are
    // killed.
    std::thread::scope(|scope| {
        let shared = &fleet;
        let requests: Vec<_> = [2, 3, 4]
            .into_iter()
            .map(|index| scope.spawn(move || shared.chat(index, "haneul", NOTES).status))
            .collect();
        for index in [7, 8] {
            shared.signal(index, "STOP");
        }
        for request in requests {
            let status = request.join().expect("a response");
            assert!([200, 503, 504].contains(&status), "{status}");
        }
    });
    fleet.kill(0);
    fleet.kill(1);
    let served = |fleet: &LocalFleet, body: &str| fleet.chat(4, "haneul", body).status == 200;
    fleet.wait_until("both models are served", |fleet| {
        served(fleet, CHAT) && served(fleet, NOTES)
    });

    // An order succeeds with most of the fleet, and its repeats get the recorded answer.
    let key = LocalFleet::api_key("hadegisbru");
    let headers = [("idempotency-key", "week 1")];
    let order = |fleet: &LocalFleet, index: usize| {
        fleet
            .post(index, "/orders/x", &key, &headers, "{\"lettuce\":1}")
            .status
    };
    fleet.wait_until("the order is answered", |fleet| order(fleet, 5) == 200);
    fleet.start_instance(0);
    for index in [7, 8] {
        fleet.signal(index, "CONT");
    }
    fleet.wait_until("all are ready again", |fleet| {
        [0, 2, 3, 4, 5, 6, 7, 8]
            .iter()
            .all(|index| fleet.get(*index, "/readyz").status == 200)
    });
    for index in [0, 7, 8] {
        assert_eq!(order(&fleet, index), 200, "repeat at {index}");
    }
    fleet.start_instance(1);
    fleet.wait_until("the last instance is ready", |fleet| {
        fleet.get(1, "/readyz").status == 200
    });

    // A withdrawn key is refused by all instances, including those that were suspended.
    let took = fleet.publish("/teams/hadegisbru/keys/main", None);
    assert!(took < Duration::from_secs(2), "{took:?}");
    for index in 0..9 {
        assert_eq!(
            fleet.chat(index, "hadegisbru", CHAT).status,
            401,
            "entry-{}",
            index + 1
        );
    }
    check_outcome(&fleet);
}

fn check_outcome(fleet: &LocalFleet) {
    let runs = &fleet.audit(fleet.service())["runs"]["{\"lettuce\":1}"];
    assert_eq!(runs, 1, "runs of the order");
    for index in 0..4 {
        let audit = fleet.audit(fleet.engine(index));
        assert_eq!(audit["overcommits"], 0, "engine {index}: {audit}");
        assert_eq!(audit["secrets_seen"], 0, "engine {index}: {audit}");
    }
    let events = merge(&fleet.events()).expect("event files");
    let mut decided = Vec::new();
    for event in &events {
        match event.kind {
            EventKind::ReplicaDecided => decided.push(event.replica),
            EventKind::OrderSent if event.detail.starts_with("Load") => {
                assert!(
                    decided.contains(&event.replica),
                    "undecided order: {event:?}"
                );
            }
            _ => {}
        }
    }
    assert!(!decided.is_empty());
    for (name, text) in fleet.outputs() {
        for organisation in ["hadegisbru", "haneul"] {
            let key = LocalFleet::api_key(organisation);
            assert!(!text.contains(&key), "{name} contains a key");
        }
    }
}
