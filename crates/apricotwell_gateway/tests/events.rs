//! Logging never blocks the process.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use apricotwell_gateway::events::LineWriter;

/// Output that blocks each write until the test permits it.
struct BlockedOutput {
    permits: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // Both channels are closed once the test has ended.
        let _ = self.permits.recv();
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn stalled_reader_drops_lines_without_blocking() {
    let (permit, permits) = channel();
    let (written, batches) = channel();
    let writer = LineWriter::start(BlockedOutput { permits, written });
    let line = "x".repeat(1000);
    let start = Instant::now();
    for _ in 0..5_000 {
        writer.push(&line);
        writer.flush();
    }
    assert!(start.elapsed() < Duration::from_secs(2));
    assert!(writer.dropped() > 4_000, "{} dropped", writer.dropped());
    assert!(!writer.is_written());
    for _ in 0..8 {
        permit.send(()).unwrap();
    }
    let first = batches.recv_timeout(Duration::from_secs(5)).unwrap();
    assert_eq!(first.len(), line.len() + 1);
}

#[test]
fn lines_are_written_whole_and_in_order() {
    let (permit, permits) = channel();
    let (written, batches) = channel();
    let writer = LineWriter::start(BlockedOutput { permits, written });
    for number in 0..3 {
        writer.push(&format!("line {number}"));
    }
    writer.flush();
    permit.send(()).unwrap();
    let batch = batches.recv_timeout(Duration::from_secs(5)).unwrap();
    assert_eq!(batch, b"line 0\nline 1\nline 2\n");
    assert_eq!(writer.dropped(), 0);
}
