//! The platform's lagging list of instances.

use std::future::Future;
use std::time::Duration;

use awc::Client;
use serde::{Deserialize, Serialize};

use apricotwell_membership::Contact;
use apricotwell_node::ListedServer;

/// The platform's list, split into what the core asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListedInstances {
    /// Entry instances by their addresses for peers.
    pub entries: Vec<Contact>,
    /// Addresses for callers of the entry instances, in the same order.
    pub client_addresses: Vec<String>,
    /// Backend servers.
    pub servers: Vec<ListedServer>,
}

/// The platform's list of live and leaving instances.
pub trait InstanceList {
    /// Returns the list, `None` when the platform does not answer.
    fn list(&self) -> impl Future<Output = Option<ListedInstances>>;
}

/// One instance on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceBody {
    /// Instance.
    pub id: String,
    /// `entry`, or the pool of a backend server.
    pub role: String,
    /// Address for callers as `ip:port`.
    pub address: String,
    /// Address for peers as `ip:port`; entry instances only.
    #[serde(default)]
    pub peer_address: String,
    /// Availability zone.
    pub zone: String,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// The platform's list over HTTP.
#[derive(Clone)]
pub struct HttpInstances {
    client: Client,
    url: String,
    timeout: Duration,
}

impl HttpInstances {
    /// Returns the list at `address`.
    pub fn new(address: &str, timeout: Duration) -> Self {
        Self {
            client: crate::control_client(),
            url: format!("http://{address}/instances"),
            timeout,
        }
    }
}

impl InstanceList for HttpInstances {
    async fn list(&self) -> Option<ListedInstances> {
        let fetch = async {
            let mut response = self.client.get(&self.url).send().await.ok()?;
            let bodies = response.json::<Vec<InstanceBody>>().await.ok()?;
            Some(split_instances(bodies))
        };
        tokio::time::timeout(self.timeout, fetch).await.ok()?
    }
}

/// Splits the platform's list.
pub fn split_instances(bodies: Vec<InstanceBody>) -> ListedInstances {
    let mut listed = ListedInstances::default();
    for body in bodies {
        if body.role != "entry" {
            listed.servers.push(ListedServer {
                id: body.id.into(),
                address: body.address,
                zone: body.zone.into(),
                pool: body.role,
                leaving: body.leaving,
            });
        } else if !body.leaving {
            listed.client_addresses.push(body.address);
            listed.entries.push(Contact {
                id: body.id.into(),
                address: body.peer_address,
                zone: body.zone.into(),
            });
        }
    }
    listed
}
