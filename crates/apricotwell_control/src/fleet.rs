//! Entry instances as operators query them.

use std::time::Duration;

use awc::Client;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use apricotwell_adapters::{HttpInstances, InstanceList};

use crate::Session;

/// Time in which an instance must answer.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Largest answer.
const MAX_BODY: usize = 64 << 20;

/// Configuration as one instance has it.
#[derive(Clone, Debug, Deserialize)]
pub struct ConfigReply {
    /// First offset that the instance has not applied.
    pub next_offset: u64,
    /// How far its view can be trusted.
    pub view: String,
    /// Values at or below the path asked for.
    pub values: Vec<ConfigValue>,
    /// Latest changes without effect.
    pub rejections: Vec<RejectedChange>,
}

/// Value of a path.
#[derive(Clone, Debug, Deserialize)]
pub struct ConfigValue {
    /// Path.
    pub path: String,
    /// Offset of the change that set it.
    pub version: u64,
    /// Number of that change.
    pub change: u64,
    /// Operator that made it.
    pub author: String,
    /// TOML text; `None` once deleted.
    pub value: Option<String>,
}

/// Change without effect.
#[derive(Clone, Debug, Deserialize)]
pub struct RejectedChange {
    /// Number of the change.
    pub change: u64,
    /// Where it stands.
    pub offset: u64,
    /// Why it had no effect.
    pub reason: String,
}

/// Entry instances on the platform's list.
pub struct FleetClient<'a> {
    session: &'a Session,
    client: Client,
}

impl<'a> FleetClient<'a> {
    /// Returns the fleet of a session's platform.
    pub fn new(session: &'a Session) -> Self {
        Self {
            session,
            client: apricotwell_adapters::control_client(),
        }
    }

    /// Returns the callers' addresses of the entry instances on the list.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
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

    /// Asks one instance.
    ///
    /// # Errors
    ///
    /// Fails when it does not answer or refuses.
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

    /// Asks instances in turn until one answers.
    ///
    /// # Errors
    ///
    /// Fails with the last fault when none answers.
    pub async fn query_any<T>(&self, path: &str) -> Result<T, String>
    where
        T: DeserializeOwned,
    {
        let mut fault = "the list holds no entry instance".to_owned();
        for address in self.addresses().await? {
            match self.query(&address, path).await {
                Ok(reply) => return Ok(reply),
                Err(reason) => fault = reason,
            }
        }
        Err(fault)
    }
}
