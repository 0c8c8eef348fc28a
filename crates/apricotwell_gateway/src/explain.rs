//! Queries for where a request would go now, and why.
//!
//! A query is the head of the request as a client would send it, with [`PATH`] in front of its path.
//! The response is JSON. Nothing is sent to a server, charged or counted.

use std::time::{Duration, Instant};

use apricotwell_dispatch::dispatcher::explain::{Explanation, ServerExplanation, WeightsPlace};
use apricotwell_dispatch::prelude::*;
use apricotwell_types::Refusal;
use bytes::Bytes;
use http::{HeaderValue, Response, Uri, request};
use serde_json::{Value, json};

use crate::adapter::{ClientProtocol, Platform};

/// Path under which queries are served, followed by the path of the request.
pub const PATH: &str = "/explain";

/// Responds to a query, `None` if the request is none.
pub fn respond<P>(
    now: Instant,
    dispatcher: &Dispatcher,
    mut head: request::Parts,
) -> Option<Response<Bytes>>
where
    P: Platform,
{
    head.uri = request_uri(&head.uri)?;
    let explained = P::ClientProtocol::decode_request(&head)
        .and_then(|request| dispatcher.explain(now, &request));
    Some(match explained {
        Ok(explanation) => {
            let body = encode(&explanation).to_string();
            let mut response = Response::new(Bytes::from(body));
            let kind = HeaderValue::from_static("application/json");
            response
                .headers_mut()
                .insert(http::header::CONTENT_TYPE, kind);
            response
        }
        Err(refusal) => P::ClientProtocol::encode_refusal(&refusal),
    })
}

// Returns the path and query of the explained request, `None` if the path is not one of a query.
fn request_uri(uri: &Uri) -> Option<Uri> {
    let path = uri.path_and_query()?.as_str().strip_prefix(PATH)?;
    path.starts_with('/').then(|| path.parse().ok())?
}

/// Returns an explanation as JSON. Times are in milliseconds.
pub fn encode(explanation: &Explanation) -> Value {
    json!({
        "route": explanation.route,
        "service": &*explanation.service,
        "organisation": explanation.organisation.as_deref(),
        "priority": explanation.priority,
        "silence_ms": millis(explanation.silence_time),
        "decision": encode_decision(&explanation.decision),
        "servers": explanation.servers.iter().map(encode_server).collect::<Vec<_>>(),
        "config_version": explanation.config_version,
        "config_age_ms": explanation.config_age.map(millis),
        "reporting_instances": explanation.reporting_instances,
        "possible_instances": explanation.possible_instances,
    })
}

fn encode_decision(decision: &RoutingDecision) -> Value {
    match decision {
        RoutingDecision::Send(server, address) => {
            json!({"action": "send", "server": &**server, "address": address.to_string()})
        }
        RoutingDecision::Wait => json!({"action": "wait"}),
        RoutingDecision::AwaitPermit(server) => {
            json!({"action": "await_permit", "server": &**server})
        }
        RoutingDecision::Refuse(refusal) => encode_refusal(refusal),
    }
}

fn encode_refusal(refusal: &Refusal) -> Value {
    json!({
        "action": "refuse",
        "code": refusal.kind.code(),
        "message": refusal.message,
        "retry_after_ms": refusal.retry_after.map(millis),
    })
}

fn encode_server(server: &ServerExplanation) -> Value {
    let (weights, load_ends_ms) = match server.weights {
        None => (None, None),
        Some(WeightsPlace::Loaded) => (Some("loaded"), None),
        Some(WeightsPlace::Loading(left)) => (Some("loading"), Some(millis(left))),
        Some(WeightsPlace::Memory) => (Some("memory"), None),
        Some(WeightsPlace::Disk) => (Some("disk"), None),
        Some(WeightsPlace::Store) => (Some("store"), None),
    };
    json!({
        "id": &*server.id,
        "zone": &*server.zone,
        "excluded": server.excluded.map(|reason| reason.as_str()),
        "expected_delay_ms": (server.expected_delay_ms * 10.0).round() / 10.0,
        "in_flight": server.in_flight,
        "slots": server.slots,
        "weights": weights,
        "load_ends_ms": load_ends_ms,
        "inventory_age_ms": server.inventory_age.map(millis),
    })
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
