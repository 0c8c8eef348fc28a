//! Scanner for the end of a JSON value.

/// Finds whether a JSON value is whole, without decoding it.
///
/// Only objects and arrays have an end that can be told from a cut.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JsonScanner {
    // Objects and arrays that are open.
    depth: usize,
    in_string: bool,
    // Whether the last byte was a backslash that escapes the next one.
    escaped: bool,
    // Whether there was anything but white space.
    has_content: bool,
}

impl JsonScanner {
    /// Scans the next bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.take(*byte);
        }
    }

    /// Returns whether an object, an array or a string is open.
    pub fn is_open(&self) -> bool {
        self.depth > 0 || self.in_string
    }

    /// Returns whether there was anything but white space.
    pub fn has_content(&self) -> bool {
        self.has_content
    }

    fn take(&mut self, byte: u8) {
        self.has_content |= !byte.is_ascii_whitespace();
        if self.escaped {
            self.escaped = false;
            return;
        }
        match byte {
            b'\\' => self.escaped = self.in_string,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }
}
