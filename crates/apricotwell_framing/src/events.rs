//! Scanner for the boundaries of server-sent events.

use crate::{BodyFraming, Truncation};

/// Size limit of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Finds where the events of a stream end, however the stream is cut into pieces.
///
/// A line ends with LF, CR LF or CR, and an event ends with an empty line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventScanner {
    events: u64,
    // Bytes received after the last whole event; 0 between two events.
    partial_bytes: usize,
    // Whether the current line has bytes.
    in_line: bool,
    // Whether the last byte was a CR, whose line an LF would still belong to.
    after_cr: bool,
}

impl EventScanner {
    /// Scans the next bytes; returns the end of the last event that they complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut last_end = None;
        let mut scanned = 0;
        for line_end in memchr::memchr2_iter(b'\n', b'\r', bytes) {
            self.take_text(line_end - scanned);
            if self.take_line_end(bytes[line_end]) {
                last_end = Some(line_end + 1);
            }
            scanned = line_end + 1;
        }
        self.take_text(bytes.len() - scanned);
        last_end
    }

    /// Returns the number of whole events.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the number of bytes after the last whole event; 0 between two events.
    pub fn partial_bytes(&self) -> usize {
        self.partial_bytes
    }

    /// Returns whether the current event is so large that it has to be taken for one without an end.
    pub fn is_oversized(&self) -> bool {
        self.partial_bytes > MAX_EVENT_BYTES
    }

    /// Checks that a stream that ends here is not known to be incomplete.
    ///
    /// A stream that ends with its connection has no other mark of its end than a whole event.
    ///
    /// # Errors
    ///
    /// Returns how the stream is cut.
    pub fn check_end(&self, framing: BodyFraming) -> Result<(), Truncation> {
        if self.partial_bytes > 0 {
            return Err(Truncation::WithinEvent);
        }
        if framing == BodyFraming::Close && self.events == 0 {
            return Err(Truncation::Empty);
        }
        Ok(())
    }

    fn take_text(&mut self, length: usize) {
        if length > 0 {
            self.partial_bytes += length;
            self.in_line = true;
            self.after_cr = false;
        }
    }

    // Returns whether an event or an empty line between two events ends here.
    fn take_line_end(&mut self, byte: u8) -> bool {
        let completes_cr = byte == b'\n' && self.after_cr;
        self.after_cr = byte == b'\r';
        if completes_cr {
            // The line ended with the CR; the LF belongs to whatever that line belongs to.
            if self.partial_bytes > 0 {
                self.partial_bytes += 1;
            }
            return self.partial_bytes == 0;
        }
        if self.in_line {
            self.in_line = false;
            self.partial_bytes += 1;
            return false;
        }
        self.events += u64::from(self.partial_bytes > 0);
        self.partial_bytes = 0;
        true
    }
}
