//! HTTP requests over plain sockets, so that tests see each byte of a response.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Maximum time without new bytes of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Response as received, without decoding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawResponse {
    /// HTTP status, 0 without a response.
    pub status: u16,
    /// Status line and headers.
    pub head: String,
    /// Body as received, including chunk sizes.
    pub body: String,
    /// Whether reading failed or timed out, or the connection was closed before the end of a
    /// chunked body.
    pub truncated: bool,
}

/// Sends a request and reads the response until the server closes the connection.
pub fn send_raw(address: &str, request: &[u8]) -> RawResponse {
    let mut response = Vec::new();
    let mut truncated = false;
    if let Ok(mut stream) = TcpStream::connect(address) {
        let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
        // A server may reject the request and close before it has read all of it.
        let _ = stream.write_all(request);
        let mut buffer = [0; 4096];
        loop {
            match stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(count) => response.extend_from_slice(&buffer[..count]),
                Err(_) => {
                    truncated = true;
                    break;
                }
            }
        }
    }
    let text = String::from_utf8_lossy(&response).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    let chunked = head.contains("transfer-encoding: chunked");
    RawResponse {
        status: status.unwrap_or(0),
        head: head.to_owned(),
        body: body.to_owned(),
        truncated: truncated || (chunked && !body.ends_with("0\r\n\r\n")),
    }
}

/// Returns a response as text without the parts that differ between runs.
pub fn normalise_response(response: &RawResponse) -> String {
    let mut lines = response.head.lines();
    let mut text = lines.next().unwrap_or("no answer").to_owned();
    text.push('\n');
    let mut headers: Vec<String> = lines
        .filter(|line| !line.starts_with("date:"))
        .map(normalise_header)
        .collect();
    headers.sort();
    text.push_str(&headers.join("\n"));
    text.push_str("\n\n");
    text.push_str(&response.body.replace("\r\n", "\n"));
    if response.truncated {
        text.push_str("\n(torn)");
    }
    text.push('\n');
    text
}

// Replaces the incarnation of the instance in an attempt id.
fn normalise_header(line: &str) -> String {
    let Some(attempt) = line.strip_prefix("x-attempt-id: ") else {
        return line.to_owned();
    };
    let parts: Vec<&str> = attempt.split('/').collect();
    match parts[..] {
        [instance, _, request, number] => {
            format!("x-attempt-id: {instance}/START/{request}/{number}")
        }
        _ => line.to_owned(),
    }
}
