//! Check of a body at its end, by its content type and framing.

use std::fmt;

use crate::{BodyFraming, EventScanner, JsonScanner};

/// How a body that ended is known to be incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Truncation {
    /// The last event of a stream is not whole.
    WithinEvent,
    /// The connection closed within a JSON value.
    WithinJson,
    /// The connection closed before any content.
    Empty,
}

impl fmt::Display for Truncation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::WithinEvent => "the stream ended within an event",
            Self::WithinJson => "the connection closed within a JSON value",
            Self::Empty => "the connection closed before any content",
        })
    }
}

impl std::error::Error for Truncation {}

#[derive(Clone, Debug)]
enum Content {
    Events(EventScanner),
    Json(JsonScanner),
    Other,
}

/// Checks whether a body that ended is known to be incomplete.
///
/// A body whose end is marked is left to the HTTP library, but for a stream, which may also be ended
/// in order within an event. A body that ends with its connection is checked as far as its content
/// type says where it may end.
#[derive(Clone, Debug)]
pub struct BodyScanner {
    framing: BodyFraming,
    content: Content,
}

impl BodyScanner {
    /// Returns a scanner for a body with a content type.
    pub fn new(framing: BodyFraming, content_type: &str) -> Self {
        let media_type = content_type.split(';').next().unwrap_or_default().trim();
        let content = if media_type.eq_ignore_ascii_case("text/event-stream") {
            Content::Events(EventScanner::default())
        } else if framing == BodyFraming::Close && is_json(media_type) {
            Content::Json(JsonScanner::default())
        } else {
            Content::Other
        };
        Self { framing, content }
    }

    /// Scans the next bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        match &mut self.content {
            Content::Events(events) => {
                events.feed(bytes);
            }
            Content::Json(json) => json.feed(bytes),
            Content::Other => {}
        }
    }

    /// Returns whether an event of a stream is so large that it has to be taken for one without an
    /// end.
    pub fn is_oversized(&self) -> bool {
        match &self.content {
            Content::Events(events) => events.is_oversized(),
            Content::Json(_) | Content::Other => false,
        }
    }

    /// Returns the number of whole events; 0 if the body is no stream of events.
    pub fn events(&self) -> u64 {
        match &self.content {
            Content::Events(events) => events.events(),
            Content::Json(_) | Content::Other => 0,
        }
    }

    /// Checks that a body that ends here is not known to be incomplete.
    ///
    /// # Errors
    ///
    /// Returns how the body is cut.
    pub fn check_end(&self) -> Result<(), Truncation> {
        match &self.content {
            Content::Events(events) => events.check_end(self.framing),
            Content::Json(json) if json.is_open() => Err(Truncation::WithinJson),
            Content::Json(json) if !json.has_content() => Err(Truncation::Empty),
            Content::Json(_) | Content::Other => Ok(()),
        }
    }
}

fn is_json(media_type: &str) -> bool {
    let media_type = media_type.to_ascii_lowercase();
    media_type == "application/json" || media_type.ends_with("+json")
}
