//! Tests of event boundaries in streams that arrive in pieces.

use apricotwell_framing::prelude::*;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: ping\r\rdata: c\n\n";

fn scan(pieces: &[&[u8]]) -> EventScanner {
    let mut scanner = EventScanner::default();
    for piece in pieces {
        scanner.feed(piece);
    }
    scanner
}

#[test]
fn events_are_counted_however_the_stream_is_cut() {
    for cut in 0..=STREAM.len() {
        let (first, second) = STREAM.as_bytes().split_at(cut);
        let scanner = scan(&[first, second]);
        assert_eq!(
            (scanner.events(), scanner.partial_bytes()),
            (4, 0),
            "cut at {cut}"
        );
    }
}

#[test]
fn only_the_ends_of_events_are_between_two_events() {
    let bytes = STREAM.as_bytes();
    // The CR of an empty line ends its event; the LF that may follow changes nothing.
    let ends = [0, 15, 32, 33, 41, 50];
    for end in 0..=bytes.len() {
        let scanner = scan(&[&bytes[..end]]);
        assert_eq!(
            scanner.check_end(BodyFraming::Chunked).is_ok(),
            ends.contains(&end),
            "{:?}",
            &STREAM[..end]
        );
    }
}

#[test]
fn the_end_of_the_last_event_is_returned() {
    let mut scanner = EventScanner::default();
    assert_eq!(scanner.feed(b"data: a"), None);
    assert_eq!(scanner.feed(b"\n"), None);
    assert_eq!(scanner.feed(b"\ndata: b\n\ndata"), Some(10));
    assert_eq!(scanner.feed(b": c\r\n\r"), Some(6));
    assert_eq!(scanner.feed(b"\n"), Some(1));
    assert_eq!(scanner.events(), 3);
}

#[test]
fn empty_lines_between_events_are_no_events() {
    let scanner = scan(&[b"\n\ndata: a\n\n\n\r\n", b"\n"]);
    assert_eq!((scanner.events(), scanner.partial_bytes()), (1, 0));
}

#[test]
fn only_a_marked_end_may_come_before_the_first_event() {
    for framing in [BodyFraming::Length, BodyFraming::Chunked] {
        assert_eq!(scan(&[]).check_end(framing), Ok(()));
    }
    let close = BodyFraming::Close;
    assert_eq!(scan(&[]).check_end(close), Err(Truncation::Empty));
    assert_eq!(scan(&[b"\n"]).check_end(close), Err(Truncation::Empty));
    assert_eq!(scan(&[b"data: a\n\n"]).check_end(close), Ok(()));
}
