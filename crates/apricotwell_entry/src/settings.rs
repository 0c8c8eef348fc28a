//! Settings of the daemon, read from TOML and checked whole at start.

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
    /// The instance itself.
    pub instance: InstanceSection,
    /// What all instances of the fleet must be set to alike.
    pub fleet: FleetSection,
    /// The platform.
    pub platform: PlatformSection,
    /// Limits on callers.
    #[serde(default)]
    pub callers: CallersSection,
    /// Times of the request path.
    #[serde(default)]
    pub requests: RequestsSection,
    /// Times of coordination.
    #[serde(default)]
    pub coordination: CoordinationSection,
    /// Shutdown.
    #[serde(default)]
    pub shutdown: ShutdownSection,
    /// Logs and events.
    #[serde(default)]
    pub logs: LogsSection,
}

/// The instance itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSection {
    /// Name, as on the platform's list.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub caller_address: String,
    /// Address for peers.
    pub peer_address: String,
    /// Threads that serve callers.
    #[serde(default = "one")]
    pub workers: usize,
}

/// What all instances of the fleet must be set to alike.
#[derive(Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSection {
    /// Public key of the root operator.
    pub root_key: String,
    /// Secret that instances prove to each other.
    pub link_secret: String,
    /// Number of duty shards.
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

/// The platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSection {
    /// Address of log and list.
    pub address: String,
    /// Time in which a call must be answered.
    #[serde(default = "default_platform_timeout")]
    pub timeout_ms: u64,
    /// Time between two looks at the list.
    #[serde(default = "default_list_period")]
    pub list_period_ms: u64,
    /// How long the log keeps records.
    #[serde(default = "default_retention")]
    pub retention_s: u64,
}

/// Limits on callers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallersSection {
    /// Largest body.
    pub max_body_bytes: usize,
    /// Time in which a request's head must have come.
    pub head_timeout_ms: u64,
    /// Time in which a request's body must have come.
    pub body_timeout_ms: u64,
    /// Connections at once.
    pub max_connections: usize,
    /// Requests that wait on this instance.
    pub max_waiting: usize,
    /// Output limit of a request that names none.
    pub default_max_tokens: u64,
    /// Largest output limit.
    pub max_tokens: u64,
    /// Time without reading after which a caller's stream is given up.
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

/// Times of the request path.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestsSection {
    /// Deadline of a request that names none.
    pub default_deadline_ms: u64,
    /// Longest deadline.
    pub max_deadline_ms: u64,
    /// Time in which a backend server must begin its answer.
    pub first_byte_ms: u64,
    /// Time between two pieces of an answer.
    pub progress_ms: u64,
    /// Attempts per request.
    pub max_attempts: u32,
    /// Longest wait for tokens.
    pub token_wait_ms: u64,
    /// Longest wait for a claim.
    pub claim_wait_ms: u64,
    /// How long claims are kept.
    pub claim_memory_s: u64,
    /// Largest answer kept for repeats.
    pub max_kept_bytes: usize,
    /// Largest answer that is held back until it is whole.
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

/// Times of coordination.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CoordinationSection {
    /// How long evidence on the log counts.
    pub window_ms: u64,
    /// How long keys are honoured while the log is out and not every instance can be asked.
    pub key_grace_ms: u64,
    /// Term of token grants.
    pub token_term_ms: u64,
    /// Time between two probes.
    pub probe_period_ms: u64,
    /// Time in which a probe must be answered.
    pub probe_timeout_ms: u64,
    /// Time in which a suspected instance can refute.
    pub suspicion_ms: u64,
    /// Time between two reports from a server.
    pub report_period_ms: u64,
    /// Time without an answer after which a server counts as gone.
    pub server_timeout_ms: u64,
    /// Time after which an undetermined load is no longer counted on.
    pub load_timeout_ms: u64,
    /// Time in which an order must be answered.
    pub order_timeout_ms: u64,
    /// Time between two messages of demand.
    pub demand_period_ms: u64,
    /// Records after which a checkpoint is written.
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

/// Shutdown.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ShutdownSection {
    /// Lifetime of an address look-up; a leaving instance accepts that long.
    pub lookup_lifetime_ms: u64,
    /// Time after which open requests are ended.
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

/// Logs and events.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogsSection {
    /// Least level that is logged.
    pub level: String,
    /// File of timeline events.
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

/// Settings that can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    file: String,
    faults: Vec<String>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{}: {fault}", self.file)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Parses and checks settings; `file` names them in errors.
    ///
    /// # Errors
    ///
    /// Fails with every fault: key, value, what is allowed, and what to do.
    pub fn from_toml(file: &str, text: &str) -> Result<Self, SettingsError> {
        let fail = |faults| SettingsError {
            file: file.to_owned(),
            faults,
        };
        let settings: Settings = toml::from_str(text).map_err(|error| {
            fail(vec![format!(
                "{}; see docs/SETTINGS.md",
                error.to_string().trim()
            )])
        })?;
        let faults = settings.faults();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(fail(faults))
        }
    }

    /// Returns the address for callers.
    pub fn caller_address(&self) -> &str {
        &self.instance.caller_address
    }

    /// Returns the settings of the node.
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

    fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        self.check_addresses(&mut faults);
        self.check_fleet(&mut faults);
        self.check_times(&mut faults);
        self.check_limits(&mut faults);
        faults
    }

    fn check_addresses(&self, faults: &mut Vec<String>) {
        let addresses = [
            ("instance.caller_address", &self.instance.caller_address),
            ("instance.peer_address", &self.instance.peer_address),
            ("platform.address", &self.platform.address),
        ];
        for (key, value) in addresses {
            if value.parse::<SocketAddr>().is_err() {
                faults.push(format!(
                    "{key} = \"{value}\" is no address: give an IP number and a port, such as \
                     10.0.0.7:8080"
                ));
            }
        }
        for (key, value) in [
            ("instance.id", &self.instance.id),
            ("instance.zone", &self.instance.zone),
        ] {
            if value.is_empty() || value.contains('/') {
                faults.push(format!(
                    "{key} = \"{value}\" is no name: give one without / that is not empty"
                ));
            }
        }
        if self.instance.workers == 0 {
            faults.push("instance.workers = 0: give at least 1".to_owned());
        }
    }

    fn check_fleet(&self, faults: &mut Vec<String>) {
        let key = &self.fleet.root_key;
        if key.len() != 64 || !key.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            faults.push(
                "fleet.root_key is no public key: give the 64 hexadecimal digits that \
                 `apricotwell-control operator new` prints"
                    .to_owned(),
            );
        }
        if LinkSecret::new(&self.fleet.link_secret).is_err() {
            faults.push("fleet.link_secret is too short: give at least 16 bytes".to_owned());
        }
        if !(1..=65_536).contains(&self.fleet.shards) {
            let shards = self.fleet.shards;
            faults.push(format!(
                "fleet.shards = {shards}: give 1 to 65536, alike everywhere"
            ));
        }
    }

    fn check_times(&self, faults: &mut Vec<String>) {
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
                faults.push(format!("{key} = 0: give a value above 0"));
            }
        }
        if times.window_ms < 4 * times.probe_period_ms {
            faults.push(format!(
                "coordination.window_ms = {}: give at least 4 times probe_period_ms, or an outage \
                 can't be told from being cut off",
                times.window_ms
            ));
        }
        if self.requests.default_deadline_ms > self.requests.max_deadline_ms {
            faults.push(
                "requests.default_deadline_ms is above requests.max_deadline_ms: lower it"
                    .to_owned(),
            );
        }
    }

    fn check_limits(&self, faults: &mut Vec<String>) {
        let callers = &self.callers;
        if callers.max_body_bytes == 0 || callers.max_waiting == 0 || callers.max_connections == 0 {
            faults.push(
                "callers.max_body_bytes, max_waiting and max_connections must be above 0"
                    .to_owned(),
            );
        }
        if callers.default_max_tokens == 0 || callers.default_max_tokens > callers.max_tokens {
            faults.push(format!(
                "callers.default_max_tokens = {}: give 1 to max_tokens = {}",
                callers.default_max_tokens, callers.max_tokens
            ));
        }
        if self.requests.max_attempts == 0 {
            faults.push("requests.max_attempts = 0: give at least 1".to_owned());
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
