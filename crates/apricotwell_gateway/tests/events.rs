//! Log lines never block the process that writes them.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use apricotwell_gateway::events::LineWriter;

/// Output whose reader takes a batch only when told to.
struct Stuck {
    go: Receiver<()>,
    seen: Sender<Vec<u8>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // The test may be over.
        let _ = self.go.recv();
        let _ = self.seen.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stops_costs_lines_and_no_time() {
    let (go, gate) = channel();
    let (seen, lines_seen) = channel();
    let writer = LineWriter::start(Stuck { go: gate, seen });
    let line = "x".repeat(1000);
    let begun = Instant::now();
    for _ in 0..5_000 {
        writer.push(&line);
        writer.flush();
    }
    assert!(begun.elapsed() < Duration::from_secs(2));
    assert!(writer.dropped() > 4_000, "{} dropped", writer.dropped());
    assert!(!writer.is_written());
    for _ in 0..8 {
        go.send(()).unwrap();
    }
    let first = lines_seen.recv_timeout(Duration::from_secs(5)).unwrap();
    assert_eq!(first.len(), line.len() + 1);
}

#[test]
fn lines_come_out_whole_and_in_order() {
    let (go, gate) = channel();
    let (seen, lines_seen) = channel();
    let writer = LineWriter::start(Stuck { go: gate, seen });
    for number in 0..3 {
        writer.push(&format!("line {number}"));
    }
    writer.flush();
    go.send(()).unwrap();
    let batch = lines_seen.recv_timeout(Duration::from_secs(5)).unwrap();
    assert_eq!(batch, b"line 0\nline 1\nline 2\n");
    assert_eq!(writer.dropped(), 0);
}
