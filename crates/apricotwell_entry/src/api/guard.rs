//! What every request is checked for first.

use std::time::{Duration, Instant};

use actix_web::HttpRequest;
use actix_web::web::{Bytes, Payload};
use tokio::time::timeout;

use apricotwell_state::KeyOwner;
use apricotwell_types::{BodyDigest, KeyDigest, Refusal, RefusalKind, WorkClass};

use crate::NodeDriver;

/// Longest Idempotency-Key.
const MAX_KEY_BYTES: usize = 256;

/// Caller that showed a key in force.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) holder: KeyOwner,
    pub(crate) digest: KeyDigest,
}

/// Deadline, class and idempotency key of a request.
#[derive(Clone, Debug)]
pub(crate) struct Terms {
    pub(crate) deadline: Instant,
    pub(crate) class: WorkClass,
    pub(crate) claim: Option<BodyDigest>,
}

/// Returns the caller, checking the key anew on each request of a connection.
pub(crate) fn authenticate(shell: &NodeDriver, request: &HttpRequest) -> Result<Caller, Refusal> {
    let secret = bearer(request).ok_or_else(|| {
        let message = "no API key: send it as `Authorization: Bearer KEY`";
        Refusal::not_run(RefusalKind::InvalidApiKey, message)
    })?;
    // A key in the URL would reach logs and backend servers.
    if request
        .uri()
        .path_and_query()
        .is_some_and(|path| path.as_str().contains(secret))
    {
        return Err(bad(
            "the API key stands in the URL: send it only as a header",
        ));
    }
    let digest = KeyDigest::of_secret(secret);
    let holder = shell.look(|node, now| node.authenticate(now, &digest))?;
    Ok(Caller { holder, digest })
}

/// Returns the body, within its limits of size and time and without the caller's key.
pub(crate) async fn read_body(
    shell: &NodeDriver,
    request: &HttpRequest,
    payload: Payload,
) -> Result<Bytes, Refusal> {
    let callers = &shell.settings().callers;
    let announced = header(request, "content-length").and_then(|text| text.parse::<u64>().ok());
    if announced.is_some_and(|length| length > callers.max_body_bytes as u64) {
        return Err(too_large(callers.max_body_bytes));
    }
    let limit = Duration::from_millis(callers.body_timeout_ms);
    let read = payload.to_bytes_limited(callers.max_body_bytes);
    let body = match timeout(limit, read).await {
        Ok(Ok(Ok(body))) => body,
        Ok(Ok(Err(_))) => return Err(bad("the body broke off before its end: send it again")),
        Ok(Err(_)) => return Err(too_large(callers.max_body_bytes)),
        Err(_) => {
            let message = "the body came too slowly: send it again";
            return Err(Refusal::not_run(RefusalKind::RequestTimeout, message));
        }
    };
    if let Some(secret) = bearer(request)
        && !secret.is_empty()
        && contains(&body, secret.as_bytes())
    {
        return Err(bad(
            "the API key stands in the body: send it only as a header",
        ));
    }
    Ok(body)
}

/// Returns deadline, class and idempotency key from the headers.
pub(crate) fn terms(
    shell: &NodeDriver,
    request: &HttpRequest,
    org: &str,
    class: WorkClass,
    default_deadline_ms: u64,
) -> Result<Terms, Refusal> {
    let most = shell.settings().requests.max_deadline_ms;
    let deadline_ms = match header(request, "x-deadline-ms") {
        None => default_deadline_ms,
        Some(text) => text
            .parse()
            .ok()
            .filter(|value| (1..=most).contains(value))
            .ok_or_else(|| bad(format!("x-deadline-ms is `{text}`: give 1 to {most}")))?,
    };
    let class = match header(request, "x-work-class") {
        None => class,
        Some(text) => WorkClass::from_header(text).ok_or_else(|| {
            bad(format!(
                "x-work-class is `{text}`: give non-idempotent, hard-deadline or soft-deadline"
            ))
        })?,
    };
    let key = header(request, "idempotency-key");
    if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
        return Err(bad(format!(
            "the Idempotency-Key needs 1 to {MAX_KEY_BYTES} bytes"
        )));
    }
    // Only what may not be repeated is claimed: for the rest a repeat is harmless.
    let claim = key
        .filter(|_| !class.is_repeatable())
        .map(|key| BodyDigest::of_body(org, key.as_bytes()));
    Ok(Terms {
        deadline: Instant::now() + Duration::from_millis(deadline_ms),
        class,
        claim,
    })
}

/// Returns a header as text.
pub(crate) fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn too_large(most: usize) -> Refusal {
    let message = format!("the body is larger than {most} bytes: send a smaller one");
    Refusal::not_run(RefusalKind::RequestTooLarge, message)
}

pub(crate) fn bad(message: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalKind::BadRequest, message)
}

fn bearer(request: &HttpRequest) -> Option<&str> {
    let value = header(request, "authorization")?;
    let (scheme, secret) = value.split_once(' ')?;
    let secret = secret.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !secret.is_empty()).then_some(secret)
}

fn contains(body: &[u8], secret: &[u8]) -> bool {
    body.windows(secret.len()).any(|window| window == secret)
}
