//! Response heads that a cut response and the next one form together.

use http::response;
use hyper::ext::ReasonPhrase;

/// Beginning of a status line; the minor version, a space and the status follow.
const VERSION: &[u8] = b"HTTP/1.";
/// Length of a status line up to its status.
const STATUS_LINE: usize = "HTTP/1.1 200".len();

/// Returns whether a status line begins within the reason or a header value of a head.
///
/// A server that cuts a response on a kept connection and goes on with the next one sends the status of
/// the first and the headers of the second as one well-formed head.
pub(crate) fn is_joined(head: &response::Parts) -> bool {
    let reason = head.extensions.get::<ReasonPhrase>();
    reason.is_some_and(|reason| has_status_line(reason.as_bytes()))
        || head
            .headers
            .values()
            .any(|it| has_status_line(it.as_bytes()))
}

fn has_status_line(text: &[u8]) -> bool {
    text.windows(STATUS_LINE).any(is_status_line)
}

fn is_status_line(text: &[u8]) -> bool {
    let Some([minor, b' ', status @ ..]) = text.strip_prefix(VERSION) else {
        return false;
    };
    minor.is_ascii_digit() && status.iter().all(u8::is_ascii_digit)
}
