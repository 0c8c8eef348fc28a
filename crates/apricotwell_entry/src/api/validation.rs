//! Checks that requests must pass first: API key, body and headers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_web::HttpRequest;
use actix_web::web::{Bytes, Payload};
use tokio::time::timeout;

use apricotwell_http::connections::Connection;
use apricotwell_state::KeyOwner;
use apricotwell_types::{BodyDigest, KeyDigest, Refusal, RefusalKind, WorkClass};

use crate::NodeDriver;

/// Maximum length of an `Idempotency-Key`.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Client that was authenticated by an active API key.
#[derive(Clone, Debug)]
pub(crate) struct AuthenticatedClient {
    pub(crate) owner: KeyOwner,
    pub(crate) digest: KeyDigest,
}

/// Deadline, work class and idempotency key of a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestOptions {
    pub(crate) deadline: Instant,
    pub(crate) class: WorkClass,
    pub(crate) idempotency_key: Option<BodyDigest>,
}

/// Authenticates the client; the key is checked on each request, also on an open connection.
pub(crate) fn authenticate(
    driver: &NodeDriver,
    request: &HttpRequest,
) -> Result<AuthenticatedClient, Refusal> {
    let secret = bearer_token(request).ok_or_else(|| {
        let message = "no API key: send it as `Authorization: Bearer KEY`";
        Refusal::not_run(RefusalKind::InvalidApiKey, message)
    })?;
    // A key in the URL would appear in logs and be forwarded to backend servers.
    if request
        .uri()
        .path_and_query()
        .is_some_and(|path| path.as_str().contains(secret))
    {
        return Err(bad_request(
            "the API key is in the URL: send it only as a header",
        ));
    }
    let digest = KeyDigest::of_secret(secret);
    let owner = driver.read(|node, now| node.authenticate(now, &digest))?;
    Ok(AuthenticatedClient { owner, digest })
}

/// Reads the body within the limits on size and time.
///
/// # Errors
///
/// Fails when the body is too large, too slow or incomplete, or contains the client's API key.
pub(crate) async fn read_body(
    driver: &NodeDriver,
    request: &HttpRequest,
    payload: Payload,
) -> Result<Bytes, Refusal> {
    let callers = &driver.settings().callers;
    let content_length =
        header(request, "content-length").and_then(|text| text.parse::<u64>().ok());
    if content_length.is_some_and(|length| length > callers.max_body_bytes as u64) {
        return Err(too_large(callers.max_body_bytes));
    }
    let limit = Duration::from_millis(callers.body_timeout_ms);
    let read = payload.to_bytes_limited(callers.max_body_bytes);
    let body = match timeout(limit, read).await {
        Ok(Ok(Ok(body))) => body,
        Ok(Ok(Err(_))) => return Err(bad_request("the body ended early: send it again")),
        Ok(Err(_)) => return Err(too_large(callers.max_body_bytes)),
        Err(_) => {
            let message = "the body was sent too slowly: send it again";
            return Err(Refusal::not_run(RefusalKind::RequestTimeout, message));
        }
    };
    if let Some(connection) = request.conn_data::<Rc<Connection>>() {
        connection.begin_serving();
    }
    if let Some(secret) = bearer_token(request)
        && !secret.is_empty()
        && contains(&body, secret.as_bytes())
    {
        return Err(bad_request(
            "the API key is in the body: send it only as a header",
        ));
    }
    Ok(body)
}

/// Returns the deadline, work class and idempotency key from the headers.
pub(crate) fn parse_options(
    driver: &NodeDriver,
    request: &HttpRequest,
    org: &str,
    class: WorkClass,
    default_deadline_ms: u64,
) -> Result<RequestOptions, Refusal> {
    let max = driver.settings().requests.max_deadline_ms;
    let deadline_ms = match header(request, "x-deadline-ms") {
        None => default_deadline_ms,
        Some(text) => text
            .parse()
            .ok()
            .filter(|value| (1..=max).contains(value))
            .ok_or_else(|| bad_request(format!("x-deadline-ms is `{text}`: use 1 to {max}")))?,
    };
    let class = match header(request, "x-work-class") {
        None => class,
        Some(text) => WorkClass::from_header(text).ok_or_else(|| {
            bad_request(format!(
                "x-work-class is `{text}`: use non-idempotent, hard-deadline or soft-deadline"
            ))
        })?,
    };
    let key = header(request, "idempotency-key");
    if key.is_some_and(|key| key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES) {
        return Err(bad_request(format!(
            "the Idempotency-Key needs 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes"
        )));
    }
    // Only requests that must not run twice need a claim; repeating the others is harmless.
    let idempotency_key = key
        .filter(|_| !class.is_repeatable())
        .map(|key| BodyDigest::of_body(org, key.as_bytes()));
    Ok(RequestOptions {
        deadline: Instant::now() + Duration::from_millis(deadline_ms),
        class,
        idempotency_key,
    })
}

/// Returns the value of a header, or `None` if it is missing or not visible ASCII.
pub(crate) fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn too_large(max: usize) -> Refusal {
    let message = format!("the body is larger than {max} bytes: send a smaller one");
    Refusal::not_run(RefusalKind::RequestTooLarge, message)
}

pub(crate) fn bad_request(message: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalKind::BadRequest, message)
}

fn bearer_token(request: &HttpRequest) -> Option<&str> {
    let value = header(request, "authorization")?;
    let (scheme, secret) = value.split_once(' ')?;
    let secret = secret.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !secret.is_empty()).then_some(secret)
}

fn contains(body: &[u8], secret: &[u8]) -> bool {
    body.windows(secret.len()).any(|window| window == secret)
}
