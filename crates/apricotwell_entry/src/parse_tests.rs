use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::{CompletionLimits, parse_completion};

const LIMITS: CompletionLimits = CompletionLimits {
    default_max_tokens: 50,
    max_tokens: 1000,
};

fn error_message(body: &str) -> String {
    let result = parse_completion(&Bytes::copy_from_slice(body.as_bytes()), LIMITS);
    result.unwrap_err().message
}

#[test]
fn invalid_bodies_are_refused_with_a_reason() {
    let table = [
        ("", "not a valid JSON request"),
        ("[]", "not a valid JSON request"),
        ("{\"model\":\"m\"", "not a valid JSON request"),
        ("{}", "`model` is missing"),
        (r#"{"model":""}"#, "`model` is missing"),
        (r#"{"model":"m"}"#, "`messages` or `prompt` is missing"),
        (
            r#"{"model":"m","prompt":"x","max_tokens":0}"#,
            "use 1 to 1000",
        ),
        (
            r#"{"model":"m","prompt":"x","max_tokens":1001}"#,
            "use 1 to 1000",
        ),
        (
            r#"{"model":"m","prompt":"x","max_tokens":-1}"#,
            "not a valid JSON request",
        ),
        (
            r#"{"model":"m","prompt":"x","max_tokens":1e30}"#,
            "not a valid JSON request",
        ),
        (
            r#"{"model":"m","prompt":"x","max_tokens":18446744073709551615}"#,
            "use 1 to 1000",
        ),
        (r#"{"model":"m","prompt":"x","n":1000}"#, "use 1 to 128"),
    ];
    for (body, expected) in table {
        let found = error_message(body);
        assert!(found.contains(expected), "{body}: {found}");
    }
}

#[test]
fn an_output_limit_is_added_only_if_missing() {
    let body = Bytes::from_static(b" {\"model\":\"m\",\"prompt\":\"hello\",\"extra\":{\"a\":1}}");
    let parsed = parse_completion(&body, LIMITS).unwrap();
    let expected = b" {\"max_tokens\":50,\"model\":\"m\",\"prompt\":\"hello\",\"extra\":{\"a\":1}}";
    assert_eq!(parsed.body, &expected[..]);
    assert_eq!((parsed.prompt_tokens, parsed.max_output), (2, 50));

    let body =
        Bytes::from_static(b"{\"model\":\"m\",\"prompt\":\"hello\",\"max_tokens\":7,\"n\":3}");
    let parsed = parse_completion(&body, LIMITS).unwrap();
    assert_eq!(parsed.body, body);
    assert_eq!(parsed.max_output, 21);
}

#[test]
fn equal_messages_have_equal_parts_and_the_last_one_has_none() {
    let parts = |body: &str| {
        let parsed = parse_completion(&Bytes::from(body.to_owned()), LIMITS);
        parsed.unwrap().shared_parts
    };
    let one =
        parts(r#"{"model":"m","messages":[{"content":"a"},{"content":"b"},{"content":"c"}]}"#);
    let other =
        parts(r#"{"model":"m","messages":[{"content":"x"},{"content":"b"},{"content":"d"}]}"#);
    assert_eq!((one.len(), other.len()), (2, 2));
    assert_ne!(one[0], other[0]);
    assert_eq!(one[1], other[1]);
    assert!(parts(r#"{"model":"m","messages":[{"content":"a"}]}"#).is_empty());
    assert!(parts(r#"{"model":"m","messages":"a"}"#).is_empty());
    assert!(parts(r#"{"model":"m","prompt":"a"}"#).is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_do_not_panic(body in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = parse_completion(&Bytes::from(body), LIMITS).is_ok();
    }

    #[test]
    fn an_accepted_body_stays_valid_json(
        model in "[a-z\"\\\\ ]{1,8}",
        text in ".{0,40}",
        limit in proptest::option::of(1_u64..1000),
    ) {
        let mut value = serde_json::json!({"model": model, "messages": [{"content": text}]});
        if let Some(limit) = limit {
            value["max_tokens"] = limit.into();
        }
        let body = Bytes::from(value.to_string());
        let parsed = parse_completion(&body, LIMITS).unwrap();
        let sent: serde_json::Value = serde_json::from_slice(&parsed.body).unwrap();
        prop_assert_eq!(&sent["max_tokens"], &serde_json::json!(limit.unwrap_or(50)));
        prop_assert_eq!(parsed.model, model);
    }
}
