//! Reference of the settings, from which `docs/SETTINGS.md` is made and checked.

use super::Settings;

const EXAMPLE: &str = r#"
[instance]
id = "entry-1"
zone = "zone-a"
caller_address = "127.0.0.1:7801"
peer_address = "127.0.0.1:7901"
[fleet]
root_key = "0000000000000000000000000000000000000000000000000000000000000000"
link_secret = "change-me-change-me"
[platform]
address = "127.0.0.1:7600"
"#;

/// Keys without a default.
const REQUIRED: [&str; 7] = [
    "instance.id",
    "instance.zone",
    "instance.caller_address",
    "instance.peer_address",
    "fleet.root_key",
    "fleet.link_secret",
    "platform.address",
];

const MEANINGS: &[(&str, &str, &str)] = &[
    (
        "instance.id",
        "name",
        "Name of the instance, as on the platform's list.",
    ),
    ("instance.zone", "name", "Availability zone."),
    (
        "instance.caller_address",
        "ip:port",
        "Address for callers and operators.",
    ),
    (
        "instance.peer_address",
        "ip:port",
        "Address for the other entry instances.",
    ),
    ("instance.workers", "threads", "Threads that serve callers."),
    (
        "fleet.root_key",
        "64 hex digits",
        "Public key of the operator `root`. Alike on all instances.",
    ),
    (
        "fleet.link_secret",
        "16 bytes or more",
        "Secret that instances prove to each other. Alike on all instances.",
    ),
    (
        "fleet.shards",
        "shards",
        "Duty shards. Alike on all instances; never changed in a fleet's life.",
    ),
    (
        "platform.address",
        "ip:port",
        "Address of the platform's log and list.",
    ),
    (
        "platform.timeout_ms",
        "ms",
        "Time in which the platform must answer a call.",
    ),
    (
        "platform.list_period_ms",
        "ms",
        "Time between two looks at the list of instances.",
    ),
    (
        "platform.retention_s",
        "s",
        "How long the log keeps records. Claims are written anew after a quarter of it.",
    ),
    (
        "callers.max_body_bytes",
        "bytes",
        "Largest request body; a larger one gets 413.",
    ),
    (
        "callers.head_timeout_ms",
        "ms",
        "Time in which a request's head must have come; then 408.",
    ),
    (
        "callers.body_timeout_ms",
        "ms",
        "Time in which a request's body must have come; then 408.",
    ),
    (
        "callers.max_connections",
        "connections",
        "Connections at once; further ones wait to be accepted.",
    ),
    (
        "callers.max_waiting",
        "requests",
        "Requests that wait on this instance; further ones get 503.",
    ),
    (
        "callers.default_max_tokens",
        "tokens",
        "Output limit of a request that names none; it is passed to the engine.",
    ),
    (
        "callers.max_tokens",
        "tokens",
        "Largest output limit; a larger one gets 400.",
    ),
    (
        "callers.stalled_caller_ms",
        "ms",
        "Time without reading after which a caller's stream is given up.",
    ),
    (
        "requests.default_deadline_ms",
        "ms",
        "Deadline of a request without `x-deadline-ms`: the time by which a server must have been given it.",
    ),
    (
        "requests.max_deadline_ms",
        "ms",
        "Longest deadline; a longer one gets 400.",
    ),
    (
        "requests.first_byte_ms",
        "ms",
        "Time in which a backend server must begin its answer.",
    ),
    (
        "requests.progress_ms",
        "ms",
        "Time between two pieces of an answer.",
    ),
    (
        "requests.max_attempts",
        "attempts",
        "Attempts per request, the first included.",
    ),
    (
        "requests.token_wait_ms",
        "ms",
        "Longest wait for tokens before a refusal with 429.",
    ),
    (
        "requests.claim_wait_ms",
        "ms",
        "Longest wait for a claim before a refusal as not run.",
    ),
    (
        "requests.claim_memory_s",
        "s",
        "How long an Idempotency-Key is remembered.",
    ),
    (
        "requests.max_kept_bytes",
        "bytes",
        "Largest answer kept for repeats; of a larger one only the status is.",
    ),
    (
        "requests.max_whole_bytes",
        "bytes",
        "Largest unstreamed answer held back until it is whole.",
    ),
    (
        "coordination.window_ms",
        "ms",
        "How long evidence on the log counts: the bound for an instance that is cut off.",
    ),
    (
        "coordination.key_grace_ms",
        "ms",
        "How long keys are honoured while the log is out and not every listed instance can be asked.",
    ),
    ("coordination.token_term_ms", "ms", "Term of token grants."),
    (
        "coordination.probe_period_ms",
        "ms",
        "Time between two probes of other instances.",
    ),
    (
        "coordination.probe_timeout_ms",
        "ms",
        "Time in which a probe must be answered.",
    ),
    (
        "coordination.suspicion_ms",
        "ms",
        "Time in which a suspected instance can refute.",
    ),
    (
        "coordination.report_period_ms",
        "ms",
        "Time between two reports from a model engine.",
    ),
    (
        "coordination.server_timeout_ms",
        "ms",
        "Time without an answer after which a model engine is recorded as gone.",
    ),
    (
        "coordination.load_timeout_ms",
        "ms",
        "Time after which an undetermined load is no longer counted on; its memory stays taken.",
    ),
    (
        "coordination.order_timeout_ms",
        "ms",
        "Time in which an engine must answer an order; then its outcome is unknown.",
    ),
    (
        "coordination.demand_period_ms",
        "ms",
        "Time between two messages of demand.",
    ),
    (
        "coordination.checkpoint_records",
        "records",
        "Records after which a checkpoint is written.",
    ),
    (
        "shutdown.lookup_lifetime_ms",
        "ms",
        "Lifetime of an address look-up; a leaving instance accepts requests that long.",
    ),
    (
        "shutdown.drain_limit_ms",
        "ms",
        "Time after which a leaving instance ends its open requests.",
    ),
    (
        "logs.level",
        "level",
        "Least level that is logged: off, error, warn, info, debug or trace.",
    ),
    (
        "logs.events",
        "path",
        "File of timeline events; unset for none.",
    ),
];

/// Returns the reference as Markdown.
pub fn settings_reference() -> String {
    let defaults = defaults();
    let mut text = String::from("| key | unit | default | meaning |\n| --- | --- | --- | --- |\n");
    for (key, unit, meaning) in MEANINGS {
        let default = if REQUIRED.contains(key) {
            "required".to_owned()
        } else {
            find(&defaults, key).unwrap_or_else(|| "unset".to_owned())
        };
        text.push_str(&format!("| `{key}` | {unit} | {default} | {meaning} |\n"));
    }
    text
}

/// Returns the keys that the settings have.
#[cfg(test)]
pub(crate) fn known_keys() -> Vec<String> {
    let mut keys = vec!["logs.events".to_owned()];
    for (section, value) in defaults() {
        for (key, _) in value.as_table().into_iter().flatten() {
            keys.push(format!("{section}.{key}"));
        }
    }
    keys.sort();
    keys
}

/// Returns the keys that the reference explains.
#[cfg(test)]
pub(crate) fn explained_keys() -> Vec<String> {
    let mut keys: Vec<String> = MEANINGS
        .iter()
        .map(|(key, _, _)| (*key).to_owned())
        .collect();
    keys.sort();
    keys
}

fn defaults() -> toml::Table {
    let settings: Option<Settings> = toml::from_str(EXAMPLE).ok();
    let table = settings.and_then(|settings| toml::Table::try_from(settings).ok());
    table.unwrap_or_default()
}

fn find(table: &toml::Table, key: &str) -> Option<String> {
    let (section, name) = key.split_once('.')?;
    let value = table.get(section)?.get(name)?;
    Some(value.to_string().trim_matches('"').to_owned())
}

#[cfg(test)]
#[path = "reference_tests.rs"]
mod tests;
