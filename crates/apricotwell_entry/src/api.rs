//! HTTP interfaces for clients and operators.

mod clients;
mod lookup;
mod operators;
mod validation;

use actix_web::web::{self, ServiceConfig};

/// Registers all routes; any other path may belong to a plain service.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config
        .route("/healthz", web::get().to(operators::health))
        .route("/readyz", web::get().to(operators::ready))
        .route("/metrics", web::get().to(operators::metrics))
        .route("/v1/addresses", web::get().to(lookup::addresses))
        .route("/v1/models", web::get().to(clients::models))
        .route("/v1/models/{model}", web::get().to(clients::model))
        .route("/v1/chat/completions", web::post().to(clients::complete))
        .route("/v1/completions", web::post().to(clients::complete))
        .route("/-/status", web::get().to(operators::status))
        .route("/-/explain", web::get().to(operators::explain))
        .route("/-/config", web::get().to(operators::config))
        .default_service(web::to(clients::call_service));
}
