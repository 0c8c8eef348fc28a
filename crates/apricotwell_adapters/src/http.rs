//! HTTP clients.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use apricotwell_http::pool::{ConnectionPool, Reuse, SendError};
use awc::{Client, Connector};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;

/// Idle time after which a pooled connection is discarded. Well below the idle timeouts of servers,
/// so that a request is not sent on a connection that the server is closing.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Caller of one interface of the platform or of a backend server.
#[derive(Clone)]
pub(crate) struct HttpCaller {
    pool: Rc<ConnectionPool>,
    reuse: Reuse,
}

impl HttpCaller {
    /// Returns a caller that reuses connections.
    pub(crate) fn pooled() -> Self {
        Self {
            pool: ConnectionPool::new(),
            reuse: Reuse::Any,
        }
    }

    /// Returns a caller for requests that must not be repeated.
    ///
    /// Each request gets a new connection, so that a failure to connect proves that nothing was sent.
    pub(crate) fn single_use() -> Self {
        Self {
            pool: ConnectionPool::new(),
            reuse: Reuse::Never,
        }
    }

    /// Sends a request to `address`, as ip:port, and reads the whole response.
    ///
    /// # Errors
    ///
    /// Tells whether the request may have been received.
    pub(crate) async fn call(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        limit: usize,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let address: SocketAddr = address.parse().map_err(|error| {
            SendError::Unsent(format!("{address} is not of the form ip:port: {error}"))
        })?;
        let (head, body) = self.pool.call(address, request, self.reuse, limit).await?;
        Ok((head.status, body))
    }
}

/// Returns a request with a body of a content type.
pub(crate) fn request(
    method: Method,
    (address, path): (&str, &str),
    content_type: &str,
    body: Vec<u8>,
) -> Result<Request<Full<Bytes>>, SendError> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address)
        .header(http::header::CONTENT_TYPE, content_type)
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| SendError::Unsent(error.to_string()))
}

/// Returns a client for requests to entry instances and to stand-ins; it reuses connections.
pub fn control_client() -> Client {
    let connector = Connector::new()
        .limit(0)
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(MAX_IDLE);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}
