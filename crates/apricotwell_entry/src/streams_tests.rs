use super::EventScanner;

fn scan(chunks: &[&str]) -> EventScanner {
    let mut scanner = EventScanner::default();
    for chunk in chunks {
        scanner.feed(chunk.as_bytes());
    }
    scanner
}

#[test]
fn events_are_counted_across_chunks() {
    let whole = "data: a\n\ndata: b\r\n\r\ndata: [DONE]\n\n";
    assert_eq!(scan(&[whole]).events, 3);
    for cut in 0..whole.len() {
        let (first, second) = whole.split_at(cut);
        let scanner = scan(&[first, second]);
        assert_eq!(scanner.events, 3, "cut at {cut}");
        assert!(scanner.is_done());
    }
}

#[test]
fn a_stream_without_the_done_marker_is_not_done() {
    assert!(!scan(&["data: a\n\n"]).is_done());
    assert!(!scan(&["data: [DON"]).is_done());
}

#[test]
fn reported_usage_takes_precedence_over_counted_events() {
    let usage = "data: {\"usage\":{\"total_tokens\":42}}\n\ndata: [DONE]\n\n";
    assert_eq!(scan(&["data: a\n\n", usage]).tokens(5), 42);
    assert_eq!(scan(&["data: a\n\n", "data: b\n\n"]).tokens(5), 7);
}
