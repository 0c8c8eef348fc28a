//! The platform's list of instances, which may be out of date.

use std::future::Future;
use std::time::Duration;

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use apricotwell_membership::Contact;
use apricotwell_node::ListedServer;

use crate::http::{HttpCaller, request};

/// Maximum size of the list.
const MAX_LIST_BYTES: usize = 16 << 20;

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
    caller: HttpCaller,
    address: String,
    timeout: Duration,
}

impl HttpInstances {
    /// Returns an adapter for the platform at `address`.
    pub fn new(address: &str, timeout: Duration) -> Self {
        Self {
            caller: HttpCaller::pooled(),
            address: address.to_owned(),
            timeout,
        }
    }
}

impl InstanceList for HttpInstances {
    async fn list(&self) -> Option<ListedInstances> {
        let fetch = async {
            let target = (&*self.address, "/instances");
            let request = request(Method::GET, target, "application/json", Vec::new()).ok()?;
            let reply = self
                .caller
                .call(&self.address, request, MAX_LIST_BYTES)
                .await;
            let (status, body) = reply.ok()?;
            if status != StatusCode::OK {
                return None;
            }
            let bodies: Vec<InstanceBody> = serde_json::from_slice(&body).ok()?;
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
