//! Settings of the daemon, read from a TOML file and validated at startup.

mod reference;

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use apricotwell_membership::Timing;
use apricotwell_node::NodeSettings;
use apricotwell_peers::LinkSecret;
use apricotwell_state::Genesis;
use apricotwell_types::Incarnation;

pub use reference::settings_reference;

/// Settings of the daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This instance.
    pub instance: InstanceSection,
    /// Settings that must be equal on all instances of the fleet.
    pub fleet: FleetSection,
    /// Access to the platform.
    pub platform: PlatformSection,
    /// Limits on clients.
    #[serde(default)]
    pub callers: CallersSection,
    /// Timeouts and limits of requests.
    #[serde(default)]
    pub requests: RequestsSection,
    /// Timing of the coordination between instances.
    #[serde(default)]
    pub coordination: CoordinationSection,
    /// Timing of the shutdown.
    #[serde(default)]
    pub shutdown: ShutdownSection,
    /// Log level and event file.
    #[serde(default)]
    pub logs: LogsSection,
}

/// This instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSection {
    /// Name of the instance, as on the platform's list.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Address for clients as `ip:port`.
    pub caller_address: String,
    /// Address for other instances as `ip:port`.
    pub peer_address: String,
    /// Number of threads that serve clients.
    #[serde(default = "one")]
    pub workers: usize,
}

/// Settings that must be equal on all instances of the fleet.
#[derive(Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSection {
    /// Public key of the root operator.
    pub root_key: String,
    /// Shared secret by which instances authenticate each other.
    pub link_secret: String,
    /// Number of shards that coordination work is split into.
    #[serde(default = "default_shards")]
    pub shards: u32,
}

impl fmt::Debug for FleetSection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FleetSection")
            .field("root_key", &self.root_key)
            .field("shards", &self.shards)
            .finish_non_exhaustive()
    }
}

/// Access to the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSection {
    /// Address of the platform's log and instance list as `ip:port`.
    pub address: String,
    /// Timeout of a request to the platform, in milliseconds.
    #[serde(default = "default_platform_timeout")]
    pub timeout_ms: u64,
    /// Interval at which the instance list is polled, in milliseconds.
    #[serde(default = "default_list_period")]
    pub list_period_ms: u64,
    /// Retention of the log's records, in seconds.
    #[serde(default = "default_retention")]
    pub retention_s: u64,
}

/// Limits on clients.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallersSection {
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request's head.
    pub head_timeout_ms: u64,
    /// Timeout for receiving a request's body.
    pub body_timeout_ms: u64,
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Maximum number of requests that wait on this instance.
    pub max_waiting: usize,
    /// Output limit, in tokens, of a request that sets none.
    pub default_max_tokens: u64,
    /// Maximum output limit in tokens.
    pub max_tokens: u64,
    /// Timeout after which a stream is closed because its client does not read.
    pub stalled_caller_ms: u64,
}

impl Default for CallersSection {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            head_timeout_ms: 5_000,
            body_timeout_ms: 20_000,
            max_connections: 10_000,
            max_waiting: 2_000,
            default_max_tokens: 512,
            max_tokens: 131_072,
            stalled_caller_ms: 30_000,
        }
    }
}

/// Timeouts and limits of requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestsSection {
    /// Deadline of a request that sets none.
    pub default_deadline_ms: u64,
    /// Maximum deadline that a request may set.
    pub max_deadline_ms: u64,
    /// Timeout for the first byte of a backend server's response.
    pub first_byte_ms: u64,
    /// Maximum time between two chunks of a response.
    pub progress_ms: u64,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Maximum wait for rate limit tokens.
    pub token_wait_ms: u64,
    /// Maximum wait for an idempotency claim.
    pub claim_wait_ms: u64,
    /// Retention of idempotency claims, in seconds.
    pub claim_memory_s: u64,
    /// Maximum size of an answer that is stored for repeated requests.
    pub max_kept_bytes: usize,
    /// Maximum size of a response that is buffered until it is complete.
    pub max_whole_bytes: usize,
}

impl Default for RequestsSection {
    fn default() -> Self {
        Self {
            default_deadline_ms: 30_000,
            max_deadline_ms: 600_000,
            first_byte_ms: 60_000,
            progress_ms: 10_000,
            max_attempts: 2,
            token_wait_ms: 5_000,
            claim_wait_ms: 3_000,
            claim_memory_s: 86_400,
            max_kept_bytes: 65_536,
            max_whole_bytes: 1 << 20,
        }
    }
}

/// Timing of the coordination between instances.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CoordinationSection {
    /// Time for which evidence of contact with the log stays valid.
    pub window_ms: u64,
    /// Time for which keys are accepted while the log is unavailable and some instance can't be
    /// reached.
    pub key_grace_ms: u64,
    /// Term of token grants.
    pub token_term_ms: u64,
    /// Interval between membership probes.
    pub probe_period_ms: u64,
    /// Timeout of a membership probe.
    pub probe_timeout_ms: u64,
    /// Time in which a suspected instance can refute the suspicion.
    pub suspicion_ms: u64,
    /// Interval at which a backend server's report is requested.
    pub report_period_ms: u64,
    /// Time without a response after which a backend server is recorded as gone.
    pub server_timeout_ms: u64,
    /// Time after which a load of unknown outcome is no longer expected to complete.
    pub load_timeout_ms: u64,
    /// Timeout of an order to an engine.
    pub order_timeout_ms: u64,
    /// Interval between demand messages.
    pub demand_period_ms: u64,
    /// Number of log records after which a checkpoint is written.
    pub checkpoint_records: u64,
}

impl Default for CoordinationSection {
    fn default() -> Self {
        let timing = Timing::default();
        Self {
            window_ms: 3_000,
            key_grace_ms: 30_000,
            token_term_ms: 2_000,
            probe_period_ms: timing.period.as_millis() as u64,
            probe_timeout_ms: timing.timeout.as_millis() as u64,
            suspicion_ms: timing.suspicion_timeout.as_millis() as u64,
            report_period_ms: 1_000,
            server_timeout_ms: 10_000,
            load_timeout_ms: 60_000,
            order_timeout_ms: 60_000,
            demand_period_ms: 500,
            checkpoint_records: 2_000,
        }
    }
}

/// Timing of the shutdown.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ShutdownSection {
    /// Lifetime of an address lookup's result; a draining instance accepts requests for this time.
    pub lookup_lifetime_ms: u64,
    /// Time after which open requests are aborted.
    pub drain_limit_ms: u64,
}

impl Default for ShutdownSection {
    fn default() -> Self {
        Self {
            lookup_lifetime_ms: 10_000,
            drain_limit_ms: 300_000,
        }
    }
}

/// Log level and event file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogsSection {
    /// Minimum level of logged messages.
    pub level: String,
    /// File for timeline events; none are written when unset.
    pub events: Option<PathBuf>,
}

impl Default for LogsSection {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            events: None,
        }
    }
}

/// Errors in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    file: String,
    errors: Vec<String>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{}: {error}", self.file)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Parses and validates settings; `file` is the file name in error messages.
    ///
    /// # Errors
    ///
    /// Fails with a list of all invalid settings: key, value, allowed values and remedy.
    pub fn from_toml(file: &str, text: &str) -> Result<Self, SettingsError> {
        let fail = |errors| SettingsError {
            file: file.to_owned(),
            errors,
        };
        let settings: Settings = toml::from_str(text).map_err(|error| {
            fail(vec![format!(
                "{}; see docs/SETTINGS.md",
                error.to_string().trim()
            )])
        })?;
        let errors = settings.validate();
        if errors.is_empty() {
            Ok(settings)
        } else {
            Err(fail(errors))
        }
    }

    /// Returns the address for clients.
    pub fn client_address(&self) -> &str {
        &self.instance.caller_address
    }

    /// Converts to the settings of the node.
    pub fn node(&self, incarnation: Incarnation) -> NodeSettings {
        let times = &self.coordination;
        NodeSettings {
            id: self.instance.id.as_str().into(),
            zone: self.instance.zone.as_str().into(),
            client_address: self.instance.caller_address.clone(),
            peer_address: self.instance.peer_address.clone(),
            incarnation,
            genesis: Genesis {
                root_key: self.fleet.root_key.clone(),
                shards: self.fleet.shards,
            },
            timing: Timing {
                period: Duration::from_millis(times.probe_period_ms),
                timeout: Duration::from_millis(times.probe_timeout_ms),
                suspicion_timeout: Duration::from_millis(times.suspicion_ms),
                ..Timing::default()
            },
            seed: incarnation,
            evidence_window: Duration::from_millis(times.window_ms),
            key_grace: Duration::from_millis(times.key_grace_ms),
            token_term: Duration::from_millis(times.token_term_ms),
            token_wait: Duration::from_millis(self.requests.token_wait_ms),
            claim_wait: Duration::from_millis(self.requests.claim_wait_ms),
            max_waiting: self.callers.max_waiting,
            max_attempts: self.requests.max_attempts,
            max_stored_answer: self.requests.max_kept_bytes,
            claim_retention: Duration::from_secs(self.requests.claim_memory_s),
            report_period: Duration::from_millis(times.report_period_ms),
            server_timeout: Duration::from_millis(times.server_timeout_ms),
            load_timeout: Duration::from_millis(times.load_timeout_ms),
            demand_period: Duration::from_millis(times.demand_period_ms),
            log_retention: Duration::from_secs(self.platform.retention_s),
            checkpoint_records: times.checkpoint_records,
        }
    }

    fn validate(&self) -> Vec<String> {
        let mut errors = Vec::new();
        self.check_addresses(&mut errors);
        self.check_fleet(&mut errors);
        self.check_times(&mut errors);
        self.check_limits(&mut errors);
        errors
    }

    fn check_addresses(&self, errors: &mut Vec<String>) {
        let addresses = [
            ("instance.caller_address", &self.instance.caller_address),
            ("instance.peer_address", &self.instance.peer_address),
            ("platform.address", &self.platform.address),
        ];
        for (key, value) in addresses {
            if value.parse::<SocketAddr>().is_err() {
                errors.push(format!(
                    "{key} = \"{value}\" is not an address: use an IP address and a port, such as \
                     10.0.0.7:8080"
                ));
            }
        }
        for (key, value) in [
            ("instance.id", &self.instance.id),
            ("instance.zone", &self.instance.zone),
        ] {
            if value.is_empty() || value.contains('/') {
                errors.push(format!(
                    "{key} = \"{value}\" is not a name: use a non-empty name without /"
                ));
            }
        }
        if self.instance.workers == 0 {
            errors.push("instance.workers = 0: use at least 1".to_owned());
        }
    }

    fn check_fleet(&self, errors: &mut Vec<String>) {
        let key = &self.fleet.root_key;
        if key.len() != 64 || !key.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            errors.push(
                "fleet.root_key is not a public key: use the 64 hexadecimal digits that \
                 `apricotwell-control operator new` prints"
                    .to_owned(),
            );
        }
        if LinkSecret::new(&self.fleet.link_secret).is_err() {
            errors.push("fleet.link_secret is too short: use at least 16 bytes".to_owned());
        }
        if !(1..=65_536).contains(&self.fleet.shards) {
            let shards = self.fleet.shards;
            errors.push(format!(
                "fleet.shards = {shards}: use 1 to 65536, the same on all instances"
            ));
        }
    }

    fn check_times(&self, errors: &mut Vec<String>) {
        let times = &self.coordination;
        let positive = [
            ("platform.timeout_ms", self.platform.timeout_ms),
            ("platform.list_period_ms", self.platform.list_period_ms),
            ("platform.retention_s", self.platform.retention_s),
            ("callers.head_timeout_ms", self.callers.head_timeout_ms),
            ("callers.body_timeout_ms", self.callers.body_timeout_ms),
            ("callers.stalled_caller_ms", self.callers.stalled_caller_ms),
            (
                "requests.default_deadline_ms",
                self.requests.default_deadline_ms,
            ),
            ("requests.first_byte_ms", self.requests.first_byte_ms),
            ("requests.progress_ms", self.requests.progress_ms),
            ("requests.claim_wait_ms", self.requests.claim_wait_ms),
            ("requests.claim_memory_s", self.requests.claim_memory_s),
            ("coordination.token_term_ms", times.token_term_ms),
            ("coordination.probe_period_ms", times.probe_period_ms),
            ("coordination.probe_timeout_ms", times.probe_timeout_ms),
            ("coordination.report_period_ms", times.report_period_ms),
            ("coordination.server_timeout_ms", times.server_timeout_ms),
            ("coordination.order_timeout_ms", times.order_timeout_ms),
            ("coordination.demand_period_ms", times.demand_period_ms),
            ("coordination.checkpoint_records", times.checkpoint_records),
            ("shutdown.drain_limit_ms", self.shutdown.drain_limit_ms),
        ];
        for (key, value) in positive {
            if value == 0 {
                errors.push(format!("{key} = 0: use a value above 0"));
            }
        }
        if times.window_ms < 4 * times.probe_period_ms {
            errors.push(format!(
                "coordination.window_ms = {}: use at least 4 times probe_period_ms, or an outage \
                 of the log can't be distinguished from a partitioned instance",
                times.window_ms
            ));
        }
        if self.requests.default_deadline_ms > self.requests.max_deadline_ms {
            errors.push(
                "requests.default_deadline_ms is above requests.max_deadline_ms: lower it"
                    .to_owned(),
            );
        }
    }

    fn check_limits(&self, errors: &mut Vec<String>) {
        let callers = &self.callers;
        if callers.max_body_bytes == 0 || callers.max_waiting == 0 || callers.max_connections == 0 {
            errors.push(
                "callers.max_body_bytes, max_waiting and max_connections must be above 0"
                    .to_owned(),
            );
        }
        if callers.default_max_tokens == 0 || callers.default_max_tokens > callers.max_tokens {
            errors.push(format!(
                "callers.default_max_tokens = {}: use 1 to max_tokens = {}",
                callers.default_max_tokens, callers.max_tokens
            ));
        }
        if self.requests.max_attempts == 0 {
            errors.push("requests.max_attempts = 0: use at least 1".to_owned());
        }
    }
}

fn one() -> usize {
    1
}

fn default_shards() -> u32 {
    128
}

fn default_platform_timeout() -> u64 {
    2_000
}

fn default_list_period() -> u64 {
    1_000
}

fn default_retention() -> u64 {
    86_400
}
