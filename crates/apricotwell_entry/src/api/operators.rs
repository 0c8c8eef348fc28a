//! Operator interface: health, metrics, status and configuration.

use actix_web::web::{Data, Query};
use actix_web::{HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};
use serde_json::json;

use apricotwell_records::OperatorToken;
use apricotwell_types::Refusal;

use super::validation;
use crate::{NodeDriver, responses};

/// Answers `GET /healthz` (liveness).
pub(super) async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// Answers `GET /readyz`: whether clients should be directed to this instance.
pub(super) async fn ready(driver: Data<NodeDriver>) -> HttpResponse {
    let (ready, view) = driver.read(|node, now| (node.is_ready(now), node.view(now).name()));
    if ready {
        HttpResponse::Ok().body(format!("{view}\n"))
    } else {
        HttpResponse::ServiceUnavailable().body(format!("not ready: {view}\n"))
    }
}

/// Answers `GET /metrics`.
pub(super) async fn metrics(driver: Data<NodeDriver>) -> HttpResponse {
    let (open, ready, age) = driver.read(|node, now| {
        let status = node.status(now).instance;
        (status.requests, status.ready, status.contact_ms)
    });
    let age = age.map(|age| age as f64 / 1000.0);
    driver.metrics().set_state(open, ready, age);
    HttpResponse::Ok()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(driver.metrics().encode())
}

/// Answers `GET /-/status`.
pub(super) async fn status(driver: Data<NodeDriver>, request: HttpRequest) -> HttpResponse {
    if let Err(refusal) = check_operator(&driver, &request) {
        return responses::refusal(&refusal);
    }
    HttpResponse::Ok().json(driver.read(|node, now| node.status(now)))
}

#[derive(Deserialize)]
pub(super) struct ExplainQuery {
    model: String,
}

/// Answers `GET /-/explain`: why a model is or is not loaded.
pub(super) async fn explain(
    driver: Data<NodeDriver>,
    request: HttpRequest,
    query: Query<ExplainQuery>,
) -> HttpResponse {
    if let Err(refusal) = check_operator(&driver, &request) {
        return responses::refusal(&refusal);
    }
    HttpResponse::Ok().json(driver.read(|node, now| node.explain(now, &query.model)))
}

#[derive(Deserialize)]
pub(super) struct ConfigQuery {
    #[serde(default)]
    path: String,
}

#[derive(Serialize)]
struct ConfigValue {
    path: String,
    version: u64,
    change: u64,
    author: String,
    value: Option<String>,
}

/// Answers `GET /-/config`: the values at or below a path.
pub(super) async fn config(
    driver: Data<NodeDriver>,
    request: HttpRequest,
    query: Query<ConfigQuery>,
) -> HttpResponse {
    if let Err(refusal) = check_operator(&driver, &request) {
        return responses::refusal(&refusal);
    }
    let reply = driver.read(|node, now| {
        let prefix = query.path.trim_end_matches('/');
        let is_below = |path: &str| {
            path.strip_prefix(prefix)
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        };
        let entries = node.state().config().all_entries();
        let values: Vec<ConfigValue> = entries
            .filter(|(path, _)| is_below(path))
            .map(|(path, entry)| ConfigValue {
                path: path.to_owned(),
                version: entry.version,
                change: entry.change,
                author: entry.author.clone(),
                value: entry.value.clone(),
            })
            .collect();
        let rejections: Vec<_> = node
            .state()
            .rejections()
            .filter(|rejection| rejection.change != 0)
            .map(|rejection| {
                json!({"change": rejection.change, "offset": rejection.offset,
                       "reason": rejection.reason.to_string()})
            })
            .collect();
        json!({"next_offset": node.next_offset(), "view": node.view(now).name(),
               "values": values, "rejections": rejections})
    });
    HttpResponse::Ok().json(reply)
}

// Any registered operator may read. Permission to change values is checked when the state applies a
// change.
fn check_operator(driver: &NodeDriver, request: &HttpRequest) -> Result<(), Refusal> {
    let token = validation::header(request, "x-operator").and_then(OperatorToken::from_text);
    let now_s = apricotwell_logging::wall_time().as_secs();
    let known = token.and_then(|token| {
        let key = driver.read(|node, _| node.state().operator_key(&token.name))?;
        token.verify(&key, now_s).ok()
    });
    known.ok_or_else(|| {
        let message = "no valid operator token: use apricotwell-control with your operator key";
        Refusal::not_run(apricotwell_types::RefusalKind::InvalidApiKey, message)
    })
}
