//! Checks whether a response may be joined to a stream that has begun.

use std::fmt;

use apricotwell_framing::BodyFraming;
use http::{HeaderMap, response};

/// Media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";
/// Names of the fields of an event.
const FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];
/// Beginning of the status line of a response.
const STATUS_LINE: &[u8] = b"HTTP/1.";
/// Headers of which each response with a body has one.
const BODY_HEADERS: [&[u8]; 3] = [b"content-length", b"content-type", b"transfer-encoding"];

/// Why bytes are not joined to a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// The status differs from that of the begun stream.
    Status(u16),
    /// The content type is not that of an event stream.
    ContentType,
    /// The body has a content encoding.
    Encoded,
    /// The body has a length, unlike that of the begun stream: it was not written event by event.
    Length,
    /// The bytes hold the head of another response.
    ResponseHead,
    /// The bytes are no well-formed event text.
    NoEvents,
    /// An event has an id that is no number.
    NoNumber,
    /// An event without an id comes before the one that is due: the text of an error, for example.
    NoId,
    /// An event does not follow the one that was relayed last.
    OutOfOrder {
        /// Id of the event that was relayed last.
        last: u64,
        /// Id that was received.
        received: u64,
    },
}

impl fmt::Display for Mismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status(status) => write!(f, "status {status}"),
            Self::ContentType => f.write_str("the response is no event stream"),
            Self::Length => f.write_str("the body has a length"),
            Self::Encoded => f.write_str("the response has a content encoding"),
            Self::ResponseHead => f.write_str("the head of another response among the events"),
            Self::NoEvents => f.write_str("the bytes are no event text"),
            Self::NoNumber => f.write_str("the id of an event is no number"),
            Self::NoId => f.write_str("an event without an id comes before the one that is due"),
            Self::OutOfOrder { last, received } => {
                write!(f, "event {received} does not follow event {last}")
            }
        }
    }
}

impl std::error::Error for Mismatch {}

/// Returns whether the body is an event stream without a content encoding.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    check_content(headers).is_ok()
}

/// Head of a stream's response, as far as a response that continues it must have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamHead {
    /// Status code.
    pub status: u16,
    /// How the end of the body is marked.
    pub framing: BodyFraming,
}

/// Checks the head of a response with this framing that is to continue a stream.
///
/// # Errors
///
/// Returns why the response can't be joined to the stream.
pub fn check_head(
    head: &response::Parts,
    framing: BodyFraming,
    begun: StreamHead,
) -> Result<(), Mismatch> {
    let status = head.status.as_u16();
    if status != begun.status {
        return Err(Mismatch::Status(status));
    }
    if framing == BodyFraming::Length && begun.framing != BodyFraming::Length {
        return Err(Mismatch::Length);
    }
    check_content(&head.headers)
}

fn check_content(headers: &HeaderMap) -> Result<(), Mismatch> {
    if headers.contains_key(http::header::CONTENT_ENCODING) {
        return Err(Mismatch::Encoded);
    }
    let mut types = headers.get_all(http::header::CONTENT_TYPE).iter();
    let (Some(value), None) = (types.next(), types.next()) else {
        return Err(Mismatch::ContentType);
    };
    let value = value.to_str().unwrap_or_default();
    let media_type = value.split(';').next().unwrap_or_default().trim();
    if media_type.eq_ignore_ascii_case(EVENT_STREAM) {
        Ok(())
    } else {
        Err(Mismatch::ContentType)
    }
}

/// Checks bytes of an event stream that are relayed as they come, before they are.
///
/// # Errors
///
/// Returns [`Mismatch::ResponseHead`] if a line that begins in `bytes` belongs to the head of another
/// response; `is_line_start` tells whether the first one does.
pub fn check_bytes(bytes: &[u8], is_line_start: bool) -> Result<(), Mismatch> {
    let skipped = usize::from(!is_line_start);
    if lines(bytes).skip(skipped).any(is_head_line) {
        return Err(Mismatch::ResponseHead);
    }
    Ok(())
}

/// Order of the events of a stream, across the responses that they come from.
#[derive(Clone, Copy, Debug)]
pub struct EventOrder {
    last: Option<u64>,
    // Whether all events with data have ids that are numbers, so that the stream can be resumed.
    has_ids: bool,
    // Whether the current response continues another one.
    is_resumed: bool,
    // Whether the event that was due has come in it.
    has_continued: bool,
}

/// Fields of an event that matter to its order.
#[derive(Default)]
struct EventFields {
    has_data: bool,
    // The id, `None` within if it is no number.
    id: Option<Option<u64>>,
}

impl EventOrder {
    /// Creates the order of a stream that begins after an event, if one is given.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            last,
            has_ids: true,
            is_resumed: false,
            has_continued: false,
        }
    }

    /// Returns the id of the last event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether the last event is known, so that a server can resume after it.
    pub fn can_resume(&self) -> bool {
        self.has_ids
    }

    /// Expects the next events from another response.
    pub fn resume(&mut self) {
        self.is_resumed = true;
        self.has_continued = false;
    }

    /// Takes whole events before they are relayed.
    ///
    /// # Errors
    ///
    /// Returns why they must not be relayed; none of them is then taken.
    pub fn take(&mut self, events: &[u8]) -> Result<(), Mismatch> {
        if self.is_resumed && std::str::from_utf8(events).is_err() {
            return Err(Mismatch::NoEvents);
        }
        let mut order = *self;
        let mut fields = EventFields::default();
        for line in lines(events) {
            if line.is_empty() {
                order.take_event(&std::mem::take(&mut fields))?;
            } else {
                order.check_line(line)?;
                fields.take_line(line);
            }
        }
        *self = order;
        Ok(())
    }

    // The text of the first response is the server's own, but for the head of another response.
    fn check_line(&self, line: &[u8]) -> Result<(), Mismatch> {
        if is_head_line(line) {
            return Err(Mismatch::ResponseHead);
        }
        if self.is_resumed && !is_event_line(line) {
            return Err(Mismatch::NoEvents);
        }
        Ok(())
    }

    fn take_event(&mut self, event: &EventFields) -> Result<(), Mismatch> {
        match (event.id, self.last) {
            (Some(Some(received)), Some(last))
                if self.is_resumed && last.checked_add(1) != Some(received) =>
            {
                return Err(Mismatch::OutOfOrder { last, received });
            }
            (Some(Some(received)), _) => {
                self.last = Some(received);
                self.has_continued = true;
            }
            (None, Some(_)) if self.is_resumed && !self.has_continued && event.has_data => {
                return Err(Mismatch::NoId);
            }
            (Some(None), _) if self.is_resumed => return Err(Mismatch::NoNumber),
            (Some(None), _) => self.has_ids = false,
            (None, _) => self.has_ids &= !event.has_data,
        }
        Ok(())
    }
}

impl EventFields {
    fn take_line(&mut self, line: &[u8]) {
        match field_name(line) {
            b"data" => self.has_data = true,
            b"id" => self.id = Some(decode_id(line)),
            _ => {}
        }
    }
}

fn decode_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

// Returns the lines, which end with LF, CR LF or CR, without their ends.
fn lines(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = text;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let is_end = |byte: &u8| matches!(byte, b'\n' | b'\r');
        let length = rest.iter().position(is_end).unwrap_or(rest.len());
        let (line, end) = rest.split_at(length);
        let is_pair = end.starts_with(b"\r\n");
        rest = end.get(1 + usize::from(is_pair)..).unwrap_or_default();
        Some(line)
    })
}

fn field_name(line: &[u8]) -> &[u8] {
    line.split(|byte| *byte == b':').next().unwrap_or_default()
}

// A comment has an empty name.
fn is_event_line(line: &[u8]) -> bool {
    let name = field_name(line);
    name.is_empty() || FIELDS.contains(&name)
}

// Returns whether a line that is no part of an event is a status line, also one after the beginning of
// a line that was cut, or a header that tells of a body.
fn is_head_line(line: &[u8]) -> bool {
    if is_event_line(line) {
        return false;
    }
    let name = field_name(line);
    let is_header = |header: &&[u8]| name.eq_ignore_ascii_case(header);
    BODY_HEADERS.iter().any(is_header)
        || line
            .windows(STATUS_LINE.len())
            .any(|text| text == STATUS_LINE)
}
