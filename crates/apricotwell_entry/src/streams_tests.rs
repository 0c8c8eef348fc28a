use super::StreamTail;

fn scan(chunks: &[&str]) -> StreamTail {
    let mut tail = StreamTail::default();
    for chunk in chunks {
        tail.feed(chunk.as_bytes());
    }
    tail
}

#[test]
fn the_done_marker_is_found_however_the_stream_is_cut() {
    let whole = "data: a\n\ndata: b\r\n\r\ndata: [DONE]\n\n: closing\n\n";
    for cut in 0..whole.len() {
        let (first, second) = whole.split_at(cut);
        assert!(scan(&[first, second]).is_done(), "cut at {cut}");
    }
}

#[test]
fn a_stream_without_the_done_marker_is_not_done() {
    assert!(!scan(&["data: a\n\n"]).is_done());
    assert!(!scan(&["data: [DON"]).is_done());
}

#[test]
fn a_done_marker_within_generated_text_does_not_end_a_stream() {
    assert!(!scan(&["data: {\"text\":\"data: [DONE]\"}\n\n"]).is_done());
    assert!(!scan(&["data: [DONE]\n\ndata: more\n\n"]).is_done());
}

#[test]
fn reported_usage_takes_precedence_over_counted_events() {
    let usage = "data: {\"usage\":{\"total_tokens\":42}}\n\ndata: [DONE]\n\n";
    assert_eq!(scan(&["data: a\n\n", usage]).tokens(5, 3), 42);
    assert_eq!(scan(&["data: a\n\n", "data: b\n\n"]).tokens(5, 2), 7);
}
