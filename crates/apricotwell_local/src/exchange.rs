//! HTTP exchanges over plain sockets, so that every byte is seen.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Longest exchange.
const TIMEOUT: Duration = Duration::from_secs(30);

/// What came back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// Status, 0 when no answer came.
    pub status: u16,
    /// Status line and headers.
    pub head: String,
    /// Body as it came, chunk sizes included.
    pub body: String,
    /// Whether the connection was closed before the answer's end.
    pub torn: bool,
}

/// Sends bytes and reads until the other end closes the connection.
pub fn exchange(address: &str, request: &[u8]) -> Exchange {
    let mut answer = Vec::new();
    let mut torn = false;
    if let Ok(mut stream) = TcpStream::connect(address) {
        let _ = stream.set_read_timeout(Some(TIMEOUT));
        // A server may refuse before it has read everything.
        let _ = stream.write_all(request);
        let mut buffer = [0; 4096];
        loop {
            match stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(count) => answer.extend_from_slice(&buffer[..count]),
                Err(_) => {
                    torn = true;
                    break;
                }
            }
        }
    }
    let text = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    let chunked = head.contains("transfer-encoding: chunked");
    Exchange {
        status: status.unwrap_or(0),
        head: head.to_owned(),
        body: body.to_owned(),
        torn: torn || (chunked && !body.ends_with("0\r\n\r\n")),
    }
}

/// Returns an exchange as text in which nothing differs from run to run.
pub fn normalise(exchange: &Exchange) -> String {
    let mut lines = exchange.head.lines();
    let mut text = lines.next().unwrap_or("no answer").to_owned();
    text.push('\n');
    let mut headers: Vec<String> = lines
        .filter(|line| !line.starts_with("date:"))
        .map(normalise_header)
        .collect();
    headers.sort();
    text.push_str(&headers.join("\n"));
    text.push_str("\n\n");
    text.push_str(&exchange.body.replace("\r\n", "\n"));
    if exchange.torn {
        text.push_str("\n(torn)");
    }
    text.push('\n');
    text
}

// Attempts hold the start number of a process.
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
