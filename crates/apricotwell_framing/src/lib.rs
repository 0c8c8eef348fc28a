//! How the end of a response is marked, and where a stream of events stands.
//!
//! The end of a connection is not by itself the end of a response. A body with a length or with
//! chunks says where it ends; one with neither ends with its connection, whether its sender has
//! finished or died. What tells the two apart, for server-sent events and for JSON, is where it ended.
//!
//! # Examples
//!
//! ```
//! use apricotwell_framing::prelude::*;
//!
//! let mut scanner = EventScanner::default();
//! assert_eq!(scanner.feed(b"id: 1\ndata: a\n\nid: 2\nda"), Some(15));
//! assert_eq!(scanner.events(), 1);
//! assert_eq!(
//!     scanner.check_end(BodyFraming::Close),
//!     Err(Truncation::WithinEvent)
//! );
//! ```

mod body;
mod events;
mod json;

pub use body::{BodyScanner, Truncation};
pub use events::EventScanner;
pub use json::JsonScanner;

/// Re-exports of the commonly used items.
pub mod prelude {
    pub use crate::{BodyFraming, BodyScanner, EventScanner, JsonScanner, Truncation};
}

/// How the end of a response's body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The head gives the length of the body.
    Length,
    /// The body ends with an empty chunk.
    Chunked,
    /// The body ends with its connection.
    Close,
}

impl BodyFraming {
    /// Returns the framing of a body from the values of the headers that determine it.
    pub fn from_headers(transfer_encoding: Option<&str>, content_length: Option<&str>) -> Self {
        match (transfer_encoding, content_length) {
            (Some(encoding), _) if encoding.to_ascii_lowercase().ends_with("chunked") => {
                Self::Chunked
            }
            (None, Some(_)) => Self::Length,
            _ => Self::Close,
        }
    }

    /// Returns the name of the framing in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}
