//! Stalled engines, misdirected responses, slow clients and invalid input over real sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use apricotwell_local::{FleetOptions, LocalFleet, send_raw};
use socket2::{Domain, Socket, Type};

/// Receive buffer of a client that stops reading.
const RECEIVE_BUFFER_BYTES: usize = 4096;
/// Segment size, by which the system also limits the instance's send buffer.
const SEGMENT_BYTES: u32 = 536;
const CHAT: &str = r#"{"model":"menu-writer","max_tokens":2,"messages":[]}"#;

fn fleet(name: &str) -> LocalFleet {
    fleet_of_pace(name, 2)
}

fn fleet_of_pace(name: &str, token_ms: u64) -> LocalFleet {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_apricotwell-entry"));
    let mut options = FleetOptions::basic(program, name);
    options.instances = 1;
    options.token_ms = token_ms;
    options.settings = "[requests]\nfirst_byte_ms = 500\nprogress_ms = 500\n\
                        [callers]\nstalled_caller_ms = 700\nhead_timeout_ms = 500\n\
                        body_timeout_ms = 500\nmax_body_bytes = 100000\n"
        .to_owned();
    let fleet = LocalFleet::start(options);
    // The retry budget allows one retry per ten requests.
    for _ in 0..12 {
        assert_eq!(fleet.chat(0, "hadegisbru", CHAT).status, 200);
    }
    fleet
}

#[test]
fn a_request_to_a_stalled_engine_is_retried() {
    let fleet = fleet("silent");
    fleet.set_faults(fleet.engine(0), r#"{"silent":1}"#);
    let started = Instant::now();
    let answer = fleet.chat(0, "hadegisbru", CHAT);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(started.elapsed() >= Duration::from_millis(500));
    assert!(started.elapsed() < Duration::from_secs(5));
}

#[test]
fn a_steady_answer_that_lasts_longer_than_a_pause_may_is_cut_off_for_a_client_without_chunks() {
    let fleet = fleet_of_pace("steady", 100);
    let key = LocalFleet::api_key("hadegisbru");
    let body = r#"{"model":"menu-writer","stream":true,"max_tokens":12,"messages":[]}"#;
    let request = format!(
        "POST /v1/chat/completions HTTP/1.0\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let started = Instant::now();
    let answer = send_raw(fleet.address(0), request.as_bytes());
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.body.ends_with("data: [DONE]\n\n"), "{answer:?}");
    assert!(started.elapsed() > Duration::from_secs(1));
}

#[test]
fn a_response_to_another_attempt_reaches_no_client() {
    let fleet = fleet("crossed");
    fleet.set_faults(fleet.engine(0), r#"{"cross":1}"#);
    let answer = fleet.chat(0, "hadegisbru", CHAT);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(!answer.head.contains("of another"), "{answer:?}");
    fleet.set_faults(fleet.engine(0), r#"{"cross":9}"#);
    let answer = fleet.chat(0, "hadegisbru", CHAT);
    assert_eq!(answer.status, 502, "{answer:?}");
    assert!(answer.body.contains("outcome_unknown"), "{answer:?}");
}

#[test]
fn a_client_that_stops_reading_does_not_occupy_its_server() {
    let fleet = fleet("stalled");
    let answers = metric(&fleet, "answers_total");
    let attempts = metric(&fleet, "attempts_total");
    let body = r#"{"model":"menu-writer","stream":true,"max_tokens":4096,"messages":[]}"#;
    let streams: Vec<TcpStream> = (0..3).map(|_| start_stream(&fleet, body)).collect();
    // The small buffers fill up long before the end of the streams, as nothing is read from here on.
    fleet.wait_until("streams are closed", |fleet| {
        metric(fleet, "open_requests") == 0 && fleet.running_requests(fleet.engine(0)) == Some(0)
    });
    assert_eq!(metric(&fleet, "answers_total"), answers, "streams ended");
    assert_eq!(metric(&fleet, "attempts_total"), attempts + 3);
    drop(streams);
    assert_eq!(fleet.chat(0, "hadegisbru", CHAT).status, 200);
}

// Starts a stream over a connection with small buffers in both directions.
fn start_stream(fleet: &LocalFleet, body: &str) -> TcpStream {
    let address: SocketAddr = fleet.address(0).parse().unwrap();
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.set_tcp_mss(SEGMENT_BYTES).unwrap();
    socket.connect(&address.into()).unwrap();
    let mut stream = TcpStream::from(socket);
    let key = LocalFleet::api_key("hadegisbru");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut first = [0; 64];
    let length = stream.read(&mut first).unwrap();
    let first = String::from_utf8_lossy(&first[..length]).into_owned();
    assert!(first.starts_with("HTTP/1.1 200 "), "{first}");
    stream
}

fn metric(fleet: &LocalFleet, name: &str) -> u32 {
    let metrics = fleet.get(0, "/metrics").body;
    let prefix = format!("apricotwell_{name} ");
    let mut lines = metrics.lines();
    let line = lines.find_map(|line| line.strip_prefix(&prefix));
    let value = line.and_then(|value| value.trim().parse().ok());
    value.unwrap_or_else(|| panic!("no metric {name}: {metrics}"))
}

fn resident_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

#[test]
fn invalid_input_is_refused_and_leaks_no_memory() {
    let fleet = fleet("bad-input");
    let key = LocalFleet::api_key("hadegisbru");
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n";
    let auth = format!("{head}authorization: Bearer {key}\r\n");
    let flood: String = (0..400)
        .map(|index| format!("x-{index}: {}\r\n", "a".repeat(300)))
        .collect();
    let large = "a".repeat(200_000);
    let with_body = |body: &[u8]| {
        let mut request = format!("{auth}content-length: {}\r\n\r\n", body.len()).into_bytes();
        request.extend_from_slice(body);
        request
    };
    let table: Vec<(&str, Vec<u8>, &[u16])> = vec![
        ("oversize body", with_body(large.as_bytes()), &[413]),
        ("oversize body, declared only", format!("{auth}content-length: 999999999\r\n\r\n").into_bytes(), &[413]),
        ("truncated body", format!("{auth}content-length: 50\r\n\r\n{{").into_bytes(), &[408]),
        ("invalid UTF-8", with_body(b"{\"model\":\"\xff\xfe\",\"prompt\":\"x\"}"), &[400]),
        ("invalid JSON", with_body(b"{\"model\":"), &[400]),
        ("deep nesting", with_body("[".repeat(50_000).as_bytes()), &[400]),
        ("absurd token count", with_body(br#"{"model":"menu-writer","prompt":"x","max_tokens":99999999999}"#), &[400]),
        ("negative token count", with_body(br#"{"model":"menu-writer","prompt":"x","max_tokens":-5}"#), &[400]),
        ("header flood", format!("{auth}{flood}\r\n").into_bytes(), &[400, 431]),
        ("conflicting lengths", format!("{auth}content-length: 3\r\ncontent-length: 5\r\n\r\nabcde").into_bytes(), &[400]),
        ("length and chunks", format!("{auth}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n").into_bytes(), &[400]),
        ("bad chunk size", format!("{auth}transfer-encoding: chunked\r\n\r\nzz\r\n").into_bytes(), &[400]),
        ("slow head", format!("{auth}x-slow:").into_bytes(), &[408]),
        ("no request", b"\x16\x03\x01\x02\x00\x01\x00".to_vec(), &[400]),
        ("no key", format!("{head}content-length: 2\r\n\r\n{{}}").into_bytes(), &[401]),
        ("key in the URL", format!("POST /v1/chat/completions?key={key} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {key}\r\ncontent-length: 2\r\n\r\n{{}}").into_bytes(), &[400]),
    ];
    let mut wrong = Vec::new();
    for (name, request, expected) in &table {
        let answer = apricotwell_local::send_raw(fleet.address(0), request);
        if !expected.contains(&answer.status) {
            wrong.push(format!("{name}: {answer:?}"));
        }
    }
    assert_eq!(wrong, Vec::<String>::new());
    let before = resident_kib(fleet.pid(0));
    for _ in 0..4 {
        for (name, request, _) in &table {
            if !name.starts_with("slow") && !name.starts_with("truncated") {
                apricotwell_local::send_raw(fleet.address(0), request);
            }
        }
    }
    let after = resident_kib(fleet.pid(0));
    assert!(after < before + 16 * 1024, "from {before} to {after} KiB");
    assert_eq!(fleet.chat(0, "hadegisbru", CHAT).status, 200);
}

#[test]
fn an_engine_that_names_a_limit_gets_requests_at_that_rate() {
    let fleet = fleet("limited");
    fleet.set_faults(fleet.engine(0), r#"{"request_limit":1}"#);
    assert_eq!(fleet.chat(0, "hadegisbru", CHAT).status, 200);
    let started = Instant::now();
    for _ in 0..3 {
        assert_eq!(fleet.chat(0, "hadegisbru", CHAT).status, 200);
    }
    assert!(started.elapsed() >= Duration::from_secs(2));
    fleet.set_faults(fleet.engine(0), r#"{"request_limit":0}"#);
    assert_eq!(fleet.chat(0, "hadegisbru", CHAT).status, 200);
    let started = Instant::now();
    for _ in 0..3 {
        assert_eq!(fleet.chat(0, "hadegisbru", CHAT).status, 200);
    }
    assert!(started.elapsed() < Duration::from_secs(1));
}
