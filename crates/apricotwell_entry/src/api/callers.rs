//! Callers' interface: models, completions and plain services.

use std::sync::Arc;

use actix_web::web::{Data, Path, Payload};
use actix_web::{HttpRequest, HttpResponse};
use serde_json::json;

use apricotwell_node::{Submission, Target};
use apricotwell_routing::prefix_key;
use apricotwell_state::RouteSettings;
use apricotwell_types::{BodyDigest, OrgId, Refusal, RefusalKind, WorkClass};

use super::guard::{self, Caller};
use crate::parse::{CompletionLimits, parse_completion};
use crate::relay::{Clients, Outgoing, serve};
use crate::{NodeDriver, answer};

/// Answers `GET /v1/models`.
pub(super) async fn models(shell: Data<NodeDriver>, request: HttpRequest) -> HttpResponse {
    let caller = match guard::authenticate(&shell, &request) {
        Ok(caller) => caller,
        Err(refusal) => return refuse(&shell, &refusal),
    };
    let names = shell.look(|node, _| node.models_of(&caller.holder.org));
    let data: Vec<_> = names.iter().map(|name| model_body(name)).collect();
    HttpResponse::Ok().json(json!({"object": "list", "data": data}))
}

/// Answers `GET /v1/models/{model}`.
pub(super) async fn model(
    shell: Data<NodeDriver>,
    request: HttpRequest,
    name: Path<String>,
) -> HttpResponse {
    let found = guard::authenticate(&shell, &request)
        .and_then(|caller| shell.look(|node, _| node.resolve(&caller.holder.org, &name)));
    match found {
        Ok(_) => HttpResponse::Ok().json(model_body(&name)),
        Err(refusal) => refuse(&shell, &refusal),
    }
}

/// Answers chat and plain completions.
pub(super) async fn complete(
    shell: Data<NodeDriver>,
    clients: Data<Clients>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    shell.metrics().note_request();
    let prepared = prepare_completion(&shell, &request, payload).await;
    run(&shell, &clients, prepared).await
}

/// Answers whatever else may be a plain service.
pub(super) async fn call_service(
    shell: Data<NodeDriver>,
    clients: Data<Clients>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    shell.metrics().note_request();
    let prepared = prepare_service(&shell, &request, payload).await;
    run(&shell, &clients, prepared).await
}

async fn run(
    shell: &Data<NodeDriver>,
    clients: &Clients,
    prepared: Result<(Submission, Outgoing), Refusal>,
) -> HttpResponse {
    let submitted = prepared.and_then(|(submission, outgoing)| {
        let (id, turns) = shell.submit(submission)?;
        Ok((id, turns, outgoing))
    });
    match submitted {
        Ok((id, turns, outgoing)) => {
            let shell: Arc<NodeDriver> = shell.clone().into_inner();
            serve(shell, clients, id, turns, outgoing).await
        }
        Err(refusal) => refuse(shell, &refusal),
    }
}

async fn prepare_completion(
    shell: &NodeDriver,
    request: &HttpRequest,
    payload: Payload,
) -> Result<(Submission, Outgoing), Refusal> {
    let Caller { holder, digest } = guard::authenticate(shell, request)?;
    let body = guard::read_body(shell, request, payload).await?;
    let callers = &shell.settings().callers;
    let limits = CompletionLimits {
        default_max_tokens: callers.default_max_tokens,
        max_tokens: callers.max_tokens,
    };
    let completion = parse_completion(&body, limits)?;
    let callable = shell.look(|node, _| node.resolve(&holder.org, &completion.model))?;
    let deadline = shell.settings().requests.default_deadline_ms;
    let class = WorkClass::SoftDeadline;
    let terms = guard::terms(shell, request, &holder.org, class, deadline)?;
    let prefix = prefix_key(&callable.model, &completion.prompt_head);
    let submission = Submission {
        body_digest: BodyDigest::of_body(&holder.org, &body),
        org: holder.org,
        api_key: Some(digest),
        target: Target::Model(callable),
        class: terms.class,
        deadline: terms.deadline,
        prompt_tokens: completion.prompt,
        max_output: completion.max_output,
        prefix: Some(prefix),
        idempotency_key: terms.claim,
    };
    let outgoing = Outgoing {
        method: request.method().clone(),
        path: request.path().to_owned(),
        headers: request.headers().clone(),
        body: completion.body,
        prompt: completion.prompt,
        repeatable: terms.class.is_repeatable(),
        pass_errors: false,
    };
    Ok((submission, outgoing))
}

async fn prepare_service(
    shell: &NodeDriver,
    request: &HttpRequest,
    payload: Payload,
) -> Result<(Submission, Outgoing), Refusal> {
    let (name, route) = find_route(shell, request)?;
    let caller = if route.open {
        None
    } else {
        Some(guard::authenticate(shell, request)?)
    };
    let body = guard::read_body(shell, request, payload).await?;
    let org: OrgId = caller
        .as_ref()
        .map_or_else(|| "".into(), |caller| caller.holder.org.clone());
    let terms = guard::terms(shell, request, &org, route.class, route.deadline_ms)?;
    // A caller may make a call stricter than its route, never looser.
    let class = terms.class.min(route.class);
    if class != terms.class {
        return Err(guard::bad(
            "x-work-class is looser than the route allows: leave it out",
        ));
    }
    let path = request.uri().path_and_query();
    let submission = Submission {
        body_digest: BodyDigest::of_body(&org, &body),
        org,
        api_key: caller.map(|caller| caller.digest),
        target: Target::Service {
            route: name,
            pool: route.pool,
        },
        class,
        deadline: terms.deadline,
        prompt_tokens: route.cost,
        max_output: 0,
        prefix: None,
        idempotency_key: terms.claim,
    };
    let outgoing = Outgoing {
        method: request.method().clone(),
        path: path.map_or_else(|| "/".to_owned(), ToString::to_string),
        headers: request.headers().clone(),
        body,
        prompt: 0,
        repeatable: class.is_repeatable(),
        pass_errors: true,
    };
    Ok((submission, outgoing))
}

fn find_route(
    shell: &NodeDriver,
    request: &HttpRequest,
) -> Result<(String, RouteSettings), Refusal> {
    let found = shell.look(|node, _| {
        let route = node
            .state()
            .route(request.method().as_str(), request.path());
        route.map(|(name, route)| (name.to_owned(), route.clone()))
    });
    found.ok_or_else(|| {
        let message = "no route has this path and method: check both, or ask your operator";
        Refusal::not_run(RefusalKind::RouteNotFound, message)
    })
}

fn refuse(shell: &NodeDriver, refusal: &Refusal) -> HttpResponse {
    shell.metrics().note_refusal(refusal);
    answer::refuse(refusal)
}

fn model_body(name: &str) -> serde_json::Value {
    json!({"id": name, "object": "model", "created": 0, "owned_by": "apricotwell"})
}
