//! HTTP clients.

use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};

/// Idle time after which a pooled connection is discarded. Well below the idle timeouts of servers,
/// so that a request is not sent on a connection that the server is closing.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns whether an error proves that nothing of the request was sent.
///
/// `awc` also reports a connection that closes before the response's head as a connect error, so only
/// the kinds that occur before a connection is established count.
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

/// Returns a client for requests that may be repeated; it reuses connections.
pub fn pooled_client() -> Client {
    client(MAX_IDLE)
}

/// Returns a client for requests that must not be repeated.
///
/// Each request gets a new connection, so that a failure to connect proves that nothing was sent.
pub fn single_use_client() -> Client {
    client(Duration::ZERO)
}

/// Returns a client for requests to the platform and to the operators' interface.
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
