//! Operators' interface.

use actix_web::web::{Data, Query};
use actix_web::{HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};
use serde_json::json;

use apricotwell_records::OperatorToken;
use apricotwell_types::Refusal;

use super::guard;
use crate::{NodeDriver, answer};

/// Answers `GET /healthz`: the process runs.
pub(super) async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// Answers `GET /readyz`: callers may be sent here.
pub(super) async fn ready(shell: Data<NodeDriver>) -> HttpResponse {
    let (ready, view) = shell.look(|node, now| (node.is_ready(now), node.view(now).name()));
    if ready {
        HttpResponse::Ok().body(format!("{view}\n"))
    } else {
        HttpResponse::ServiceUnavailable().body(format!("not ready: {view}\n"))
    }
}

/// Answers `GET /metrics`.
pub(super) async fn metrics(shell: Data<NodeDriver>) -> HttpResponse {
    let (open, ready, age) = shell.look(|node, now| {
        let status = node.status(now).instance;
        (status.requests, status.ready, status.contact_ms)
    });
    let age = age.map(|age| age as f64 / 1000.0);
    shell.metrics().note_state(open, ready, age);
    HttpResponse::Ok()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(shell.metrics().encode())
}

/// Answers `GET /-/status`.
pub(super) async fn status(shell: Data<NodeDriver>, request: HttpRequest) -> HttpResponse {
    if let Err(refusal) = check_operator(&shell, &request) {
        return answer::refuse(&refusal);
    }
    HttpResponse::Ok().json(shell.look(|node, now| node.status(now)))
}

#[derive(Deserialize)]
pub(super) struct ExplainQuery {
    model: String,
}

/// Answers `GET /-/explain`.
pub(super) async fn explain(
    shell: Data<NodeDriver>,
    request: HttpRequest,
    query: Query<ExplainQuery>,
) -> HttpResponse {
    if let Err(refusal) = check_operator(&shell, &request) {
        return answer::refuse(&refusal);
    }
    HttpResponse::Ok().json(shell.look(|node, now| node.explain(now, &query.model)))
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
    shell: Data<NodeDriver>,
    request: HttpRequest,
    query: Query<ConfigQuery>,
) -> HttpResponse {
    if let Err(refusal) = check_operator(&shell, &request) {
        return answer::refuse(&refusal);
    }
    let reply = shell.look(|node, now| {
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

// Any registered operator may look; what one may change is decided by the fold.
fn check_operator(shell: &NodeDriver, request: &HttpRequest) -> Result<(), Refusal> {
    let token = guard::header(request, "x-operator").and_then(OperatorToken::from_text);
    let now_s = apricotwell_logging::wall_time().as_secs();
    let known = token.and_then(|token| {
        let key = shell.look(|node, _| node.state().operator_key(&token.name))?;
        token.verify(&key, now_s).ok()
    });
    known.ok_or_else(|| {
        let message = "no valid operator token: use apricotwell-control with your operator key";
        Refusal::not_run(apricotwell_types::RefusalKind::InvalidApiKey, message)
    })
}
