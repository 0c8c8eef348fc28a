//! Callers' and operators' interfaces.

mod callers;
mod guard;
mod look_up;
mod operators;

use actix_web::web::{self, ServiceConfig};

/// Sets up every route; whatever no route knows may be a plain service.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config
        .route("/healthz", web::get().to(operators::health))
        .route("/readyz", web::get().to(operators::ready))
        .route("/metrics", web::get().to(operators::metrics))
        .route("/v1/addresses", web::get().to(look_up::addresses))
        .route("/v1/models", web::get().to(callers::models))
        .route("/v1/models/{model}", web::get().to(callers::model))
        .route("/v1/chat/completions", web::post().to(callers::complete))
        .route("/v1/completions", web::post().to(callers::complete))
        .route("/-/status", web::get().to(operators::status))
        .route("/-/explain", web::get().to(operators::explain))
        .route("/-/config", web::get().to(operators::config))
        .default_service(web::to(callers::call_service));
}
