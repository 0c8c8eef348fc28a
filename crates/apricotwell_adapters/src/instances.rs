//! The platform's list of instances, which may be out of date.

use std::future::Future;
use std::time::Duration;

use awc::Client;
use serde::{Deserialize, Serialize};

use apricotwell_membership::Contact;
use apricotwell_node::ListedServer;

/// The platform's instance list, split into entry instances and backend servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListedInstances {
    /// Entry instances that are not draining, with their addresses for peers.
    pub entries: Vec<Contact>,
    /// Client addresses of the entry instances, in the order of `entries`.
    pub client_addresses: Vec<String>,
    /// Backend servers.
    pub servers: Vec<ListedServer>,
}

/// Reads the platform's list of live and draining instances.
pub trait InstanceList {
    /// Returns the list, or `None` if the platform does not respond.
    fn list(&self) -> impl Future<Output = Option<ListedInstances>>;
}

/// Wire format of an instance in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceBody {
    /// Id of the instance.
    pub id: String,
    /// `entry`, or the pool of a backend server.
    pub role: String,
    /// Address for clients as `ip:port`.
    pub address: String,
    /// Address for peers as `ip:port`; entry instances only.
    #[serde(default)]
    pub peer_address: String,
    /// Availability zone.
    pub zone: String,
    /// Whether the instance is draining.
    #[serde(default)]
    pub leaving: bool,
}

/// Reads the platform's instance list over HTTP.
#[derive(Clone)]
pub struct HttpInstances {
    client: Client,
    url: String,
    timeout: Duration,
}

impl HttpInstances {
    /// Returns an adapter for the platform at `address`.
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

/// Splits the platform's list into entry instances and backend servers; omits draining entry
/// instances.
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
