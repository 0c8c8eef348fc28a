//! HTTP clients.

use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};

/// Idle time after which a connection is not used again; well below what servers allow, so that a
/// request does not meet a connection that the server has just closed.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// Time in which a connection must come about.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns whether an error proves that nothing of the request was sent.
///
/// The client reports a connection that closes before the answer's head as a connect error too, so
/// only those kinds count that arise before a connection stands.
pub fn is_unsent(error: &SendRequestError) -> bool {
    let SendRequestError::Connect(error) = error else {
        return false;
    };
    matches!(
        error,
        ConnectError::Io(_)
            | ConnectError::NoRecords
            | ConnectError::Resolver(_)
            | ConnectError::Timeout
            | ConnectError::Unresolved
    )
}

/// Returns the client for requests that may be repeated.
pub fn pooled_client() -> Client {
    client(MAX_IDLE)
}

/// Returns the client for requests that must not be repeated: each gets a fresh connection, so
/// that a failure to connect proves that nothing was sent.
pub fn single_use_client() -> Client {
    client(Duration::ZERO)
}

/// Returns the client for the platform and for orders.
pub fn control_client() -> Client {
    client(MAX_IDLE)
}

fn client(max_idle: Duration) -> Client {
    let connector = Connector::new()
        .limit(0)
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(max_idle);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}
