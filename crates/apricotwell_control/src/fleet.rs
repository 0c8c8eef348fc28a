//! Client of the entry instances' operator interface.

use std::time::Duration;

use awc::Client;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use apricotwell_adapters::{HttpInstances, InstanceList};

use crate::Session;

/// Timeout of a request to an instance.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a response.
const MAX_BODY: usize = 64 << 20;

/// Configuration that one instance has applied.
#[derive(Clone, Debug, Deserialize)]
pub struct ConfigReply {
    /// First offset that the instance has not applied.
    pub next_offset: u64,
    /// State of the instance's view of the log.
    pub view: String,
    /// Values at or below the requested path.
    pub values: Vec<ConfigValue>,
    /// Recently rejected changes.
    pub rejections: Vec<RejectedChange>,
}

/// Value at a path.
#[derive(Clone, Debug, Deserialize)]
pub struct ConfigValue {
    /// Path.
    pub path: String,
    /// Offset of the change that set it.
    pub version: u64,
    /// Number of that change.
    pub change: u64,
    /// Operator that made the change.
    pub author: String,
    /// TOML text, or `None` if the value is deleted.
    pub value: Option<String>,
}

/// Rejected change.
#[derive(Clone, Debug, Deserialize)]
pub struct RejectedChange {
    /// Number of the change.
    pub change: u64,
    /// Offset of the change in the log.
    pub offset: u64,
    /// Why the change was rejected.
    pub reason: String,
}

/// Queries the entry instances on the platform's list.
pub struct FleetClient<'a> {
    session: &'a Session,
    client: Client,
}

impl<'a> FleetClient<'a> {
    /// Returns a client for the instances of the session's platform.
    pub fn new(session: &'a Session) -> Self {
        Self {
            session,
            client: apricotwell_adapters::control_client(),
        }
    }

    /// Returns the client addresses of the entry instances on the list.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub async fn addresses(&self) -> Result<Vec<String>, String> {
        let list = HttpInstances::new(&self.session.platform, TIMEOUT);
        let listed = list.list().await.ok_or_else(|| {
            format!(
                "the platform at {} does not answer; check `platform` in the settings",
                self.session.platform
            )
        })?;
        Ok(listed.client_addresses)
    }

    /// Queries one instance.
    ///
    /// # Errors
    ///
    /// Fails when the instance does not respond or returns an error.
    pub async fn query<T>(&self, address: &str, path: &str) -> Result<T, String>
    where
        T: DeserializeOwned,
    {
        let url = format!("http://{address}{path}");
        let fetch = async {
            let request = self
                .client
                .get(url)
                .insert_header(("x-operator", self.session.token()));
            let mut response = request.send().await.map_err(|error| error.to_string())?;
            if !response.status().is_success() {
                let body = response.body().await.unwrap_or_default();
                return Err(String::from_utf8_lossy(&body).into_owned());
            }
            let json = response.json::<T>().limit(MAX_BODY).await;
            json.map_err(|error| error.to_string())
        };
        match tokio::time::timeout(TIMEOUT, fetch).await {
            Ok(result) => result.map_err(|error| format!("{address}: {error}")),
            Err(_) => Err(format!("{address} does not answer")),
        }
    }

    /// Queries the instances one after the other until one responds.
    ///
    /// # Errors
    ///
    /// Fails with the last error if none responds.
    pub async fn query_any<T>(&self, path: &str) -> Result<T, String>
    where
        T: DeserializeOwned,
    {
        let mut last_error = "the platform's list contains no entry instance".to_owned();
        for address in self.addresses().await? {
            match self.query(&address, path).await {
                Ok(reply) => return Ok(reply),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }
}
