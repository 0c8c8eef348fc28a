//! Responses of backend servers that are broken off, for each framing.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use apricotwell_local::{FleetOptions, LocalFleet, RawResponse, send_raw};

const CHAT: &str = r#"{"model":"menu-writer","max_tokens":2,"messages":[]}"#;
const STREAM: &str = r#"{"model":"menu-writer","stream":true,"max_tokens":2,"messages":[]}"#;
const DONE: &str = "data: [DONE]\n\n";
const FRAMINGS: [&str; 3] = ["length", "chunked", "close"];

fn fleet(name: &str) -> LocalFleet {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_apricotwell-entry"));
    let mut options = FleetOptions::basic(program, name);
    options.instances = 1;
    let fleet = LocalFleet::start(options);
    assert_eq!(fleet.chat(0, "hadegisbru", CHAT).status, 200);
    fleet
}

fn cut_next(fleet: &LocalFleet, server: &str, framing: &str, after: usize) {
    let cut = format!(r#"{{"cut":{{"framing":"{framing}","after":{after},"responses":1}}}}"#);
    fleet.set_faults(server, &cut);
}

// Returns the body of a response without chunk framing.
fn unframed(response: &RawResponse) -> String {
    if !response.head.contains("transfer-encoding: chunked") {
        return response.body.clone();
    }
    let mut body = String::new();
    let mut rest = response.body.as_str();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap();
        body.push_str(&after[..size]);
        rest = after[size..].trim_start_matches("\r\n");
    }
    body
}

// Whether a client would take the response for a complete success, though it is not.
fn deceives(response: &RawResponse, is_whole: impl Fn(&str) -> bool) -> bool {
    response.status == 200 && !response.truncated && !is_whole(&unframed(response))
}

fn is_json(body: &str) -> bool {
    serde_json::from_str::<serde_json::Value>(body).is_ok()
}

#[test]
fn completion_that_is_broken_off_never_looks_complete() {
    let fleet = fleet("cut-completion");
    let length = fleet.chat(0, "hadegisbru", CHAT).body.len();
    for framing in FRAMINGS {
        for after in [0, 1, 20, length / 2, length - 1] {
            cut_next(&fleet, fleet.engine(0), framing, after);
            let answer = fleet.chat(0, "hadegisbru", CHAT);
            assert!(!deceives(&answer, is_json), "{framing} {after}: {answer:?}");
        }
    }
}

#[test]
fn event_stream_that_is_broken_off_never_looks_complete() {
    let fleet = fleet("cut-stream");
    let body = unframed(&fleet.chat(0, "hadegisbru", STREAM));
    let length = body.len();
    assert!(body.ends_with(DONE), "{body}");
    let within_done = length - DONE.len()..length;
    for framing in ["chunked", "close"] {
        for after in [0, 1, 20, length / 2]
            .into_iter()
            .chain(within_done.clone())
        {
            cut_next(&fleet, fleet.engine(0), framing, after);
            let answer = fleet.chat(0, "hadegisbru", STREAM);
            let is_whole = |body: &str| body == &*unframed(&answer) && body.ends_with(DONE);
            assert!(
                !deceives(&answer, is_whole),
                "{framing} {after}: {answer:?}"
            );
        }
    }
}

#[test]
fn service_response_that_is_broken_off_is_neither_relayed_nor_replayed_as_a_success() {
    let fleet = fleet("cut-service");
    let key = LocalFleet::api_key("hadegisbru");
    let order = |id: &str| {
        let headers = [("idempotency-key", id)];
        fleet.post(0, "/orders/week", &key, &headers, r#"{"lettuce":3}"#)
    };
    let whole = order("whole");
    assert!(whole.status == 200 && is_json(&whole.body), "{whole:?}");
    for framing in FRAMINGS {
        for after in [0, 1, whole.body.len() - 1] {
            cut_next(&fleet, fleet.service(), framing, after);
            let id = format!("{framing} {after}");
            let (first, repeated) = (order(&id), order(&id));
            assert!(!deceives(&first, is_json), "{id}: {first:?}");
            assert!(!deceives(&repeated, is_json), "{id}: {repeated:?}");
        }
    }
}

#[test]
fn response_without_a_length_that_is_whole_is_relayed_as_a_success() {
    let fleet = fleet("uncut");
    for request in [CHAT, STREAM] {
        let framed = unframed(&fleet.chat(0, "hadegisbru", request));
        cut_next(&fleet, fleet.engine(0), "close", framed.len());
        let answer = fleet.chat(0, "hadegisbru", request);
        assert!(answer.status == 200 && !answer.truncated, "{answer:?}");
        assert_eq!(unframed(&answer), framed);
    }
}

#[test]
fn response_for_a_client_without_chunks_never_ends_with_its_connection() {
    let fleet = fleet("http-1-0");
    let key = LocalFleet::api_key("hadegisbru");
    for body in [CHAT, STREAM] {
        let length = unframed(&fleet.chat(0, "hadegisbru", body)).len();
        let request = format!(
            "POST /v1/chat/completions HTTP/1.0\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        for after in [length + 1, length - 1] {
            for framing in ["chunked", "close"] {
                cut_next(&fleet, fleet.engine(0), framing, after);
                let answer = send_raw(fleet.address(0), request.as_bytes());
                assert!(answer.head.contains("content-length: "), "{answer:?}");
                let is_success = answer.status == 200;
                assert!(is_success || after < length, "{answer:?}");
                assert!(!is_success || answer.body.len() == length, "{answer:?}");
            }
        }
    }
}

#[test]
fn completion_without_an_end_is_given_up() {
    let fleet = fleet("endless");
    for body in [CHAT, STREAM] {
        fleet.set_faults(fleet.engine(0), r#"{"endless":1}"#);
        let started = Instant::now();
        let answer = fleet.chat(0, "hadegisbru", body);
        assert!(!deceives(&answer, |_| false), "{body}: {}", answer.status);
        assert!(
            answer.body.len() < 20 << 20,
            "{body}: {} bytes",
            answer.body.len()
        );
        assert!(started.elapsed() < Duration::from_secs(10), "{body}");
    }
    assert_eq!(fleet.chat(0, "hadegisbru", CHAT).status, 200);
}
