//! Address lookup: which instances a client should use.

use actix_web::HttpResponse;
use actix_web::web::{Data, Query};
use serde::{Deserialize, Serialize};

use crate::NodeDriver;

#[derive(Deserialize)]
pub(super) struct LookupQuery {
    #[serde(default)]
    zone: String,
    #[serde(default)]
    organisation: String,
    #[serde(default)]
    model: String,
}

#[derive(Serialize)]
struct LookupReply {
    addresses: Vec<String>,
    lifetime_ms: u64,
}

/// Answers `GET /v1/addresses`.
///
/// Needs no API key, since a client has no other way to find instances.
pub(super) async fn addresses(driver: Data<NodeDriver>, query: Query<LookupQuery>) -> HttpResponse {
    let affinity = format!("{}/{}", query.organisation, query.model);
    let zone = if query.zone.is_empty() {
        driver.settings().instance.zone.clone()
    } else {
        query.zone.clone()
    };
    let ids = driver.read(|node, now| node.ranked_instances(now, &zone, &affinity));
    let addresses = ids.iter().filter_map(|id| driver.client_address(id));
    HttpResponse::Ok().json(LookupReply {
        addresses: addresses.collect(),
        lifetime_ms: driver.settings().shutdown.lookup_lifetime_ms,
    })
}
