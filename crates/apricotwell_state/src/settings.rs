//! Typed values of configuration paths.

use serde::{Deserialize, Serialize};

use apricotwell_types::{BodyDigest, KeyDigest, Mebibytes, Tokens, WorkClass};

/// Value under a path, checked whole.
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
    /// Tokens a second over all instances.
    pub rate: Tokens,
    /// Tokens that can be used at once after a pause.
    pub burst: Tokens,
    /// Share of a contended server against other organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Models that the organisation may call; `*` for all.
    #[serde(default)]
    pub models: Vec<String>,
    /// Requests that may wait on one entry instance.
    #[serde(default = "default_waiting")]
    pub max_waiting: u32,
}

/// Settings of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSettings {
    /// Version of the weights in the weight store.
    pub version: String,
    /// Memory of one replica with the KV cache that it needs at least.
    pub memory_mib: Mebibytes,
    /// Replicas kept without requests.
    #[serde(default)]
    pub min_replicas: u32,
    /// Replicas at most, those in flight and of older versions included.
    #[serde(default = "default_replicas")]
    pub max_replicas: u32,
    /// Pool whose servers may load it.
    pub pool: String,
    /// Seconds without a request after which a replica may be unloaded.
    #[serde(default = "default_keep_warm")]
    pub keep_warm_s: u32,
}

/// What a pool's servers are.
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
    /// What the servers are.
    pub kind: PoolKind,
    /// Accelerator memory of one server that replicas may take.
    #[serde(default)]
    pub memory_mib: Mebibytes,
    /// Requests that one server runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the servers refuse orders with an old fencing number.
    #[serde(default)]
    pub fencing: bool,
}

/// Settings of a route to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSettings {
    /// Path prefix.
    pub prefix: String,
    /// Methods.
    pub methods: Vec<String>,
    /// Pool of the service.
    pub pool: String,
    /// Class of its calls; decides whether they may be repeated.
    pub class: WorkClass,
    /// Whether calls need no key.
    #[serde(default)]
    pub open: bool,
    /// Deadline of a call.
    pub deadline_ms: u64,
    /// Tokens that a call costs.
    #[serde(default)]
    pub cost: Tokens,
}

/// Settings of an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Ed25519 public key, 64 hexadecimal digits.
    pub public_key: String,
    /// Path below which the operator may write.
    pub subtree: String,
}

/// Limits of the weight store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Model loads in flight at once.
    pub parallel_loads: u32,
    /// Adapter loads in flight at once.
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
    /// Whether the body may run again.
    pub released: bool,
}

/// Settings of a caller's key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// SHA-256 of the key, 64 hexadecimal digits.
    pub digest: String,
    /// Whether the key has been withdrawn.
    #[serde(default)]
    pub withdrawn: bool,
}

/// Settings of an adapter; called as `BASE:NAME`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSettings {
    /// Base model.
    pub base: String,
    /// Version of the adapter's weights.
    pub version: String,
    /// Memory that it takes beside its base model.
    pub memory_mib: Mebibytes,
    /// Replicas at most.
    #[serde(default = "default_replicas")]
    pub max_replicas: u32,
}

impl Setting {
    /// Parses the value at `path`.
    ///
    /// # Errors
    ///
    /// Fails with a text that names path, fault and remedy.
    pub fn parse(path: &str, text: &str) -> Result<Self, String> {
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        if !path.starts_with('/') || !parts.iter().all(|part| is_name(part)) {
            return Err(format!(
                "`{path}` is not a path: use / and parts of letters, digits, `.`, `_` and `-`"
            ));
        }
        let setting = match parts[..] {
            ["platform", "organisations", _] => Setting::Organisation(read(path, text)?),
            ["platform", "models", _] => Setting::Model(read(path, text)?),
            ["platform", "pools", _] => Setting::Pool(read(path, text)?),
            ["platform", "routes", _] => Setting::Route(read(path, text)?),
            ["platform", "operators", _] => Setting::Operator(read(path, text)?),
            ["platform", "store"] => Setting::Store(read(path, text)?),
            ["platform", "quarantine", _] => Setting::Quarantine(read(path, text)?),
            ["teams", _, "keys", _] => Setting::Key(read(path, text)?),
            ["teams", _, "adapters", _] => Setting::Adapter(read(path, text)?),
            _ => {
                return Err(format!(
                    "`{path}` has no settings: see docs/SETTINGS.md for the paths"
                ));
            }
        };
        setting.check(path, &parts)?;
        Ok(setting)
    }

    fn check(&self, path: &str, parts: &[&str]) -> Result<(), String> {
        let fault = match self {
            Setting::Organisation(org) if org.rate == 0 || org.burst == 0 => Some(
                "`rate` and `burst` must be above 0; to stop an organisation withdraw its keys",
            ),
            Setting::Organisation(org) if org.weight == 0 => Some("`weight` must be above 0"),
            Setting::Model(model) if model.memory_mib == 0 => {
                Some("`memory_mib` must be above 0: give the size of one replica")
            }
            Setting::Model(model) if model.min_replicas > model.max_replicas => {
                Some("`min_replicas` is above `max_replicas`: raise the latter")
            }
            Setting::Pool(pool) if pool.slots == 0 => Some("`slots` must be above 0"),
            Setting::Pool(pool) if pool.kind == PoolKind::Engine && pool.memory_mib == 0 => {
                Some("`memory_mib` must be above 0 for engines")
            }
            Setting::Route(route) if !route.prefix.starts_with('/') => {
                Some("`prefix` must begin with /")
            }
            Setting::Route(route) if route.open && !route.class.is_repeatable() => {
                Some("an open route can't be non-idempotent: its callers have no organisation")
            }
            Setting::Store(store) if store.parallel_loads == 0 || store.parallel_adapters == 0 => {
                Some("both limits must be above 0")
            }
            Setting::Key(key) if KeyDigest::from_hex(&key.digest).is_none() => {
                Some("`digest` must be 64 hexadecimal digits: use `apricotwell-control key issue`")
            }
            Setting::Quarantine(_) if BodyDigest::from_hex(parts[2]).is_none() => {
                Some("the last part must be the 32 hexadecimal digits shown by `status`")
            }
            _ => None,
        };
        fault.map_or(Ok(()), |fault| Err(format!("{path}: {fault}")))
    }
}

fn read<T>(path: &str, text: &str) -> Result<T, String>
where
    T: for<'de> Deserialize<'de>,
{
    toml::from_str(text).map_err(|error| format!("{path}: {}", error.to_string().trim()))
}

fn is_name(part: &str) -> bool {
    let legal = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    !part.is_empty() && part.len() <= MAX_NAME_BYTES && part.bytes().all(legal)
}

const MAX_NAME_BYTES: usize = 64;

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
