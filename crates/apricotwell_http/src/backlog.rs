//! Connections that wait at a listener which is about to be closed.

use std::io::ErrorKind;
use std::net::TcpListener;

use tokio::net::TcpStream;

/// Failures after which the remaining connections are given up: without free descriptors, for example, every
/// attempt fails.
const MAX_FAILURES: usize = 16;

/// Returns the connections that wait to be accepted at a non-blocking listener.
///
/// The system resets those that are left when the listener is dropped. A connection that its client has reset
/// meanwhile doesn't keep the others from being accepted.
pub fn accept_waiting(listener: &TcpListener) -> impl Iterator<Item = TcpStream> {
    let mut failures = 0;
    std::iter::from_fn(move || {
        while failures < MAX_FAILURES {
            let accepted = listener.accept().and_then(|(stream, _)| {
                stream.set_nonblocking(true)?;
                TcpStream::from_std(stream)
            });
            match accepted {
                Ok(stream) => return Some(stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
                Err(error) => {
                    failures += 1;
                    log::warn!("failed to accept a connection of a closing listener: {error}");
                }
            }
        }
        None
    })
}
