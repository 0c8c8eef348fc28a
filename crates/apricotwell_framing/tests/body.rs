//! Tests of bodies that are cut, by content type and framing.

use apricotwell_framing::prelude::*;

const JSON: &str = r#"{"text":"a \" } ]","list":[1,{"x":null}],"end":"\\"}"#;

fn check(framing: BodyFraming, content_type: &str, body: &[u8]) -> Result<(), Truncation> {
    let mut scanner = BodyScanner::new(framing, content_type);
    for byte in body.chunks(1) {
        scanner.feed(byte);
    }
    scanner.check_end()
}

#[test]
fn json_that_is_closed_anywhere_within_is_truncated() {
    assert!(serde_json::from_str::<serde_json::Value>(JSON).is_ok());
    for cut in 1..JSON.len() {
        let body = &JSON.as_bytes()[..cut];
        let cut = check(BodyFraming::Close, "application/json; charset=utf-8", body);
        assert_eq!(cut, Err(Truncation::WithinJson), "{body:?}");
    }
    for (body, expected) in [
        (JSON, Ok(())),
        ("[1]\n", Ok(())),
        ("not JSON", Ok(())),
        (" \n", Err(Truncation::Empty)),
        ("", Err(Truncation::Empty)),
    ] {
        let checked = check(
            BodyFraming::Close,
            "application/problem+json",
            body.as_bytes(),
        );
        assert_eq!(checked, expected, "{body}");
    }
}

#[test]
fn only_events_are_checked_where_the_end_is_marked() {
    for framing in [BodyFraming::Length, BodyFraming::Chunked] {
        assert_eq!(check(framing, "application/json", b"{"), Ok(()));
        let cut = check(framing, "text/event-stream", b"data: a\n");
        assert_eq!(cut, Err(Truncation::WithinEvent));
    }
    assert_eq!(check(BodyFraming::Close, "text/plain", b""), Ok(()));
}

#[test]
fn framing_follows_the_headers() {
    let cases = [
        (Some("chunked"), None, BodyFraming::Chunked),
        (Some("gzip, Chunked"), Some("5"), BodyFraming::Chunked),
        (Some("gzip"), Some("5"), BodyFraming::Close),
        (None, Some("5"), BodyFraming::Length),
        (None, None, BodyFraming::Close),
    ];
    for (encoding, length, framing) in cases {
        assert_eq!(BodyFraming::from_headers(encoding, length), framing);
    }
}
