//! Parsed and validated values of configuration paths.

use serde::{Deserialize, Serialize};

use apricotwell_types::{BodyDigest, KeyDigest, Mebibytes, Tokens, WorkClass};

/// Validated value of a path.
#[derive(Clone, Debug, PartialEq)]
pub enum Setting {
    /// `/platform/organisations/NAME`.
    Organisation(OrgSettings),
    /// `/platform/models/NAME`.
    Model(ModelSettings),
    /// `/platform/pools/NAME`.
    Pool(PoolSettings),
    /// `/platform/routes/NAME`.
    Route(RouteSettings),
    /// `/platform/operators/NAME`.
    Operator(OperatorSettings),
    /// `/platform/store`.
    Store(StoreSettings),
    /// `/platform/quarantine/DIGEST`.
    Quarantine(QuarantineSettings),
    /// `/teams/ORG/keys/NAME`.
    Key(KeySettings),
    /// `/teams/ORG/adapters/NAME`.
    Adapter(AdapterSettings),
}

/// Settings of an organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrgSettings {
    /// Rate limit in tokens per second, over all instances.
    pub rate: Tokens,
    /// Tokens that can be used at once after an idle period.
    pub burst: Tokens,
    /// Weight in the sharing of a contended server among organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Models that the organisation may call; `*` for all.
    #[serde(default)]
    pub models: Vec<String>,
    /// Maximum number of requests that wait on one entry instance.
    #[serde(default = "default_waiting")]
    pub max_waiting: u32,
}

/// Settings of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSettings {
    /// Version of the weights in the weight store.
    pub version: String,
    /// Memory of one replica, including the minimum KV cache that it needs.
    pub memory_mib: Mebibytes,
    /// Number of replicas that are kept loaded without requests.
    #[serde(default)]
    pub min_replicas: u32,
    /// Maximum number of replicas, including those being loaded and those of older versions.
    #[serde(default = "default_replicas")]
    pub max_replicas: u32,
    /// Pool whose servers may load it.
    pub pool: String,
    /// Seconds without a request after which a replica may be unloaded.
    #[serde(default = "default_keep_warm")]
    pub keep_warm_s: u32,
}

/// Kind of the servers in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// Plain services.
    Service,
}

/// Settings of a pool of backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSettings {
    /// Kind of the servers.
    pub kind: PoolKind,
    /// Accelerator memory of one server that replicas may take.
    #[serde(default)]
    pub memory_mib: Mebibytes,
    /// Number of requests that one server runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the servers reject orders with an outdated fencing token.
    #[serde(default)]
    pub fencing: bool,
}

/// Settings of a route to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSettings {
    /// Path prefix of the requests.
    pub prefix: String,
    /// HTTP methods of the requests.
    pub methods: Vec<String>,
    /// Pool of the servers that provide the service.
    pub pool: String,
    /// Work class of the requests; determines whether they may be retried.
    pub class: WorkClass,
    /// Whether requests need no API key.
    #[serde(default)]
    pub open: bool,
    /// Default deadline of a request, in milliseconds after it arrives.
    pub deadline_ms: u64,
    /// Number of tokens that a request costs.
    #[serde(default)]
    pub cost: Tokens,
}

/// Settings of an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Ed25519 public key, 64 hexadecimal digits.
    pub public_key: String,
    /// Path that the operator may write, with everything below it.
    pub subtree: String,
}

/// Limits of the weight store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Maximum number of concurrent model loads.
    pub parallel_loads: u32,
    /// Maximum number of concurrent adapter loads.
    pub parallel_adapters: u32,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            parallel_loads: 4,
            parallel_adapters: 32,
        }
    }
}

/// Release of a quarantined body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuarantineSettings {
    /// Whether requests with the body are accepted again.
    pub released: bool,
}

/// Settings of an API key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// SHA-256 of the key, 64 hexadecimal digits.
    pub digest: String,
    /// Whether the key has been withdrawn.
    #[serde(default)]
    pub withdrawn: bool,
}

/// Settings of an adapter; clients request it as `BASE:NAME`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSettings {
    /// Base model.
    pub base: String,
    /// Version of the adapter's weights.
    pub version: String,
    /// Memory of one replica, in addition to that of its base model.
    pub memory_mib: Mebibytes,
    /// Maximum number of replicas.
    #[serde(default = "default_replicas")]
    pub max_replicas: u32,
}

impl Setting {
    /// Parses the value at `path`.
    ///
    /// # Errors
    ///
    /// Fails with a message that names the path, the problem and how to fix it.
    pub fn parse(path: &str, text: &str) -> Result<Self, String> {
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        if !path.starts_with('/') || !segments.iter().all(|segment| is_valid_segment(segment)) {
            return Err(format!(
                "`{path}` is not a path: use `/` and segments of letters, digits, `.`, `_` and `-`"
            ));
        }
        let setting = match segments[..] {
            ["platform", "organisations", _] => Setting::Organisation(parse_toml(path, text)?),
            ["platform", "models", _] => Setting::Model(parse_toml(path, text)?),
            ["platform", "pools", _] => Setting::Pool(parse_toml(path, text)?),
            ["platform", "routes", _] => Setting::Route(parse_toml(path, text)?),
            ["platform", "operators", _] => Setting::Operator(parse_toml(path, text)?),
            ["platform", "store"] => Setting::Store(parse_toml(path, text)?),
            ["platform", "quarantine", _] => Setting::Quarantine(parse_toml(path, text)?),
            ["teams", _, "keys", _] => Setting::Key(parse_toml(path, text)?),
            ["teams", _, "adapters", _] => Setting::Adapter(parse_toml(path, text)?),
            _ => {
                return Err(format!(
                    "`{path}` is not a known path: see docs/SETTINGS.md for the paths"
                ));
            }
        };
        setting.validate(path, &segments)?;
        Ok(setting)
    }

    fn validate(&self, path: &str, segments: &[&str]) -> Result<(), String> {
        let problem = match self {
            Setting::Organisation(org) if org.rate == 0 || org.burst == 0 => Some(
                "`rate` and `burst` must be above 0; to stop an organisation, withdraw its keys",
            ),
            Setting::Organisation(org) if org.weight == 0 => Some("`weight` must be above 0"),
            Setting::Model(model) if model.memory_mib == 0 => {
                Some("`memory_mib` must be above 0: give the size of one replica")
            }
            Setting::Model(model) if model.min_replicas > model.max_replicas => {
                Some("`min_replicas` is above `max_replicas`: raise `max_replicas`")
            }
            Setting::Pool(pool) if pool.slots == 0 => Some("`slots` must be above 0"),
            Setting::Pool(pool) if pool.kind == PoolKind::Engine && pool.memory_mib == 0 => {
                Some("`memory_mib` must be above 0 for engines")
            }
            Setting::Route(route) if !route.prefix.starts_with('/') => {
                Some("`prefix` must begin with /")
            }
            Setting::Route(route) if route.open && !route.class.is_repeatable() => {
                Some("an open route can't be non-idempotent: its clients have no organisation")
            }
            Setting::Store(store) if store.parallel_loads == 0 || store.parallel_adapters == 0 => {
                Some("both limits must be above 0")
            }
            Setting::Key(key) if KeyDigest::from_hex(&key.digest).is_none() => {
                Some("`digest` must be 64 hexadecimal digits: use `apricotwell-control key issue`")
            }
            Setting::Quarantine(_) if BodyDigest::from_hex(segments[2]).is_none() => {
                Some("the last segment must be the 32 hexadecimal digits shown by `status`")
            }
            _ => None,
        };
        problem.map_or(Ok(()), |problem| Err(format!("{path}: {problem}")))
    }
}

fn parse_toml<T>(path: &str, text: &str) -> Result<T, String>
where
    T: for<'de> Deserialize<'de>,
{
    toml::from_str(text).map_err(|error| format!("{path}: {}", error.to_string().trim()))
}

fn is_valid_segment(segment: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    !segment.is_empty() && segment.len() <= MAX_SEGMENT_BYTES && segment.bytes().all(is_allowed)
}

const MAX_SEGMENT_BYTES: usize = 64;

fn default_weight() -> u32 {
    1
}

fn default_waiting() -> u32 {
    256
}

fn default_replicas() -> u32 {
    1
}

fn default_keep_warm() -> u32 {
    300
}

fn default_slots() -> u32 {
    8
}
