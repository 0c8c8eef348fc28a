//! Address look-up: which instances a caller should use.

use actix_web::HttpResponse;
use actix_web::web::{Data, Query};
use serde::{Deserialize, Serialize};

use crate::NodeDriver;

#[derive(Deserialize)]
pub(super) struct LookUpQuery {
    #[serde(default)]
    zone: String,
    #[serde(default)]
    organisation: String,
    #[serde(default)]
    model: String,
}

#[derive(Serialize)]
struct LookUpReply {
    addresses: Vec<String>,
    lifetime_ms: u64,
}

/// Answers `GET /v1/addresses`; needs no key, since a caller has no better place to ask.
pub(super) async fn addresses(shell: Data<NodeDriver>, query: Query<LookUpQuery>) -> HttpResponse {
    let affinity = format!("{}/{}", query.organisation, query.model);
    let zone = if query.zone.is_empty() {
        shell.settings().instance.zone.clone()
    } else {
        query.zone.clone()
    };
    let ids = shell.look(|node, now| node.ranked_instances(now, &zone, &affinity));
    let addresses = ids.iter().filter_map(|id| shell.caller_address(id));
    HttpResponse::Ok().json(LookUpReply {
        addresses: addresses.collect(),
        lifetime_ms: shell.settings().shutdown.lookup_lifetime_ms,
    })
}
