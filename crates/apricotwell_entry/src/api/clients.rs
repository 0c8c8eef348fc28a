//! Client interface: models, completions and plain services.

use std::sync::Arc;

use actix_web::http::Version;
use actix_web::web::{Data, Path, Payload};
use actix_web::{HttpRequest, HttpResponse};
use serde_json::json;

use apricotwell_node::{Submission, Target};
use apricotwell_routing::prefix_key;
use apricotwell_state::RouteSettings;
use apricotwell_types::{BodyDigest, OrgId, Refusal, RefusalKind, WorkClass};

use super::validation::{self, AuthenticatedClient};
use crate::parse::{CompletionLimits, parse_completion};
use crate::relay::{OutgoingRequest, ServerConnections, serve};
use crate::{NodeDriver, responses};

/// Answers `GET /v1/models`.
pub(super) async fn models(driver: Data<NodeDriver>, request: HttpRequest) -> HttpResponse {
    let client = match validation::authenticate(&driver, &request) {
        Ok(client) => client,
        Err(refusal) => return refuse(&driver, &refusal),
    };
    let names = driver.read(|node, _| node.models_of(&client.owner.org));
    let data: Vec<_> = names.iter().map(|name| model_body(name)).collect();
    HttpResponse::Ok().json(json!({"object": "list", "data": data}))
}

/// Answers `GET /v1/models/{model}`.
pub(super) async fn model(
    driver: Data<NodeDriver>,
    request: HttpRequest,
    name: Path<String>,
) -> HttpResponse {
    let found = validation::authenticate(&driver, &request)
        .and_then(|client| driver.read(|node, _| node.resolve(&client.owner.org, &name)));
    match found {
        Ok(_) => HttpResponse::Ok().json(model_body(&name)),
        Err(refusal) => refuse(&driver, &refusal),
    }
}

/// Answers `POST /v1/chat/completions` and `POST /v1/completions`.
pub(super) async fn complete(
    driver: Data<NodeDriver>,
    connections: Data<ServerConnections>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    driver.metrics().count_request();
    let prepared = prepare_completion(&driver, &request, payload).await;
    run(&driver, &connections, prepared).await
}

/// Answers requests on all other paths, which may be routes of plain services.
pub(super) async fn call_service(
    driver: Data<NodeDriver>,
    connections: Data<ServerConnections>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    driver.metrics().count_request();
    let prepared = prepare_service(&driver, &request, payload).await;
    run(&driver, &connections, prepared).await
}

async fn run(
    driver: &Data<NodeDriver>,
    connections: &ServerConnections,
    prepared: Result<(Submission, OutgoingRequest), Refusal>,
) -> HttpResponse {
    let submitted = prepared.and_then(|(submission, outgoing)| {
        let (id, steps) = driver.submit(submission)?;
        Ok((id, steps, outgoing))
    });
    match submitted {
        Ok((id, steps, outgoing)) => {
            let driver: Arc<NodeDriver> = driver.clone().into_inner();
            serve(driver, connections, id, steps, outgoing).await
        }
        Err(refusal) => refuse(driver, &refusal),
    }
}

async fn prepare_completion(
    driver: &NodeDriver,
    request: &HttpRequest,
    payload: Payload,
) -> Result<(Submission, OutgoingRequest), Refusal> {
    let AuthenticatedClient { owner, digest } = validation::authenticate(driver, request)?;
    let body = validation::read_body(driver, request, payload).await?;
    let callers = &driver.settings().callers;
    let limits = CompletionLimits {
        default_max_tokens: callers.default_max_tokens,
        max_tokens: callers.max_tokens,
    };
    let completion = parse_completion(&body, limits)?;
    let model = driver.read(|node, _| node.resolve(&owner.org, &completion.model))?;
    let deadline = driver.settings().requests.default_deadline_ms;
    let class = WorkClass::SoftDeadline;
    let options = validation::parse_options(driver, request, &owner.org, class, deadline)?;
    let prefix = prefix_key(&model.model, &completion.prompt_prefix);
    let submission = Submission {
        body_digest: BodyDigest::of_body(&owner.org, &body),
        org: owner.org,
        api_key: Some(digest),
        target: Target::Model(model),
        class: options.class,
        deadline: options.deadline,
        prompt_tokens: completion.prompt_tokens,
        max_output: completion.max_output,
        parts: completion.shared_parts,
        prefix: Some(prefix),
        idempotency_key: options.idempotency_key,
    };
    let outgoing = OutgoingRequest {
        method: request.method().clone(),
        path: request.path().to_owned(),
        headers: request.headers().clone(),
        body: completion.body,
        prompt_tokens: completion.prompt_tokens,
        repeatable: options.class.is_repeatable(),
        pass_errors: false,
        needs_length: request.version() < Version::HTTP_11,
    };
    Ok((submission, outgoing))
}

async fn prepare_service(
    driver: &NodeDriver,
    request: &HttpRequest,
    payload: Payload,
) -> Result<(Submission, OutgoingRequest), Refusal> {
    let (name, route) = find_route(driver, request)?;
    let client = if route.open {
        None
    } else {
        Some(validation::authenticate(driver, request)?)
    };
    let body = validation::read_body(driver, request, payload).await?;
    let org: OrgId = client
        .as_ref()
        .map_or_else(|| "".into(), |client| client.owner.org.clone());
    let options = validation::parse_options(driver, request, &org, route.class, route.deadline_ms)?;
    // A client may choose a stricter class than its route's, never a looser one.
    let class = options.class.min(route.class);
    if class != options.class {
        return Err(validation::bad_request(
            "x-work-class is looser than the route allows: omit it",
        ));
    }
    let path = request.uri().path_and_query();
    let submission = Submission {
        body_digest: BodyDigest::of_body(&org, &body),
        org,
        api_key: client.map(|client| client.digest),
        target: Target::Service {
            route: name,
            pool: route.pool,
        },
        class,
        deadline: options.deadline,
        prompt_tokens: route.cost,
        max_output: 0,
        parts: Vec::new(),
        prefix: None,
        idempotency_key: options.idempotency_key,
    };
    let outgoing = OutgoingRequest {
        method: request.method().clone(),
        path: path.map_or_else(|| "/".to_owned(), ToString::to_string),
        headers: request.headers().clone(),
        body,
        prompt_tokens: 0,
        repeatable: class.is_repeatable(),
        pass_errors: true,
        needs_length: request.version() < Version::HTTP_11,
    };
    Ok((submission, outgoing))
}

fn find_route(
    driver: &NodeDriver,
    request: &HttpRequest,
) -> Result<(String, RouteSettings), Refusal> {
    let found = driver.read(|node, _| {
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

fn refuse(driver: &NodeDriver, refusal: &Refusal) -> HttpResponse {
    driver.metrics().count_refusal(refusal);
    responses::refusal(refusal)
}

fn model_body(name: &str) -> serde_json::Value {
    json!({"id": name, "object": "model", "created": 0, "owned_by": "apricotwell"})
}
