//! Command line of the tool.

use std::path::PathBuf;
use std::time::Duration;

use rand::Rng;

use apricotwell_adapters::{HttpLog, LogStore};
use apricotwell_records::{Body, CONTROL_STREAM, OperatorKey, ReadError, Record};
use apricotwell_types::KeyDigest;

use crate::{Document, FleetClient, Publisher, Session};

/// Manage configuration, keys and status as an operator.
///
/// Settings are a TOML file with platform, operator and key_file. Exit codes: 0 done, 1 failed,
/// 2 invalid arguments.
#[derive(argh::FromArgs, Debug)]
pub struct Args {
    /// TOML file with platform, operator and key_file
    #[argh(option, default = "PathBuf::from(\"control.toml\")")]
    settings: PathBuf,
    #[argh(subcommand)]
    command: Command,
}

#[derive(argh::FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    Operator(OperatorCommand),
    Key(KeyCommand),
    Publish(PublishCommand),
    Delete(DeleteCommand),
    Get(GetCommand),
    Diff(DiffCommand),
    History(HistoryCommand),
    Status(StatusCommand),
    Explain(ExplainCommand),
    Addresses(AddressesCommand),
}

/// Create an operator's key pair.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "operator")]
struct OperatorCommand {
    #[argh(subcommand)]
    action: OperatorAction,
}

#[derive(argh::FromArgs, Debug)]
#[argh(subcommand)]
enum OperatorAction {
    New(NewOperator),
}

/// Write a new secret key to a file and print its public key.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "new")]
struct NewOperator {
    /// file for the secret key; must not exist
    #[argh(positional)]
    file: PathBuf,
}

/// Issue and withdraw clients' API keys.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "key")]
struct KeyCommand {
    #[argh(subcommand)]
    action: KeyAction,
}

#[derive(argh::FromArgs, Debug)]
#[argh(subcommand)]
enum KeyAction {
    Issue(IssueKey),
    Withdraw(WithdrawKey),
}

/// Issue a key and print it; only its digest is published.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "issue")]
struct IssueKey {
    /// organisation
    #[argh(positional)]
    organisation: String,
    /// name of the key
    #[argh(positional)]
    name: String,
}

/// Withdraw a key and wait until all instances refuse it.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "withdraw")]
struct WithdrawKey {
    /// organisation
    #[argh(positional)]
    organisation: String,
    /// name of the key
    #[argh(positional)]
    name: String,
}

/// Publish the values of a document that differ from the active ones.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "publish")]
struct PublishCommand {
    /// document with one table for each path
    #[argh(positional)]
    file: PathBuf,
    /// wait until the changes are active on every instance, and print how long it took
    #[argh(switch)]
    wait: bool,
    /// maximum number of seconds to wait
    #[argh(option, default = "9")]
    limit_s: u64,
}

/// Delete a value.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "delete")]
struct DeleteCommand {
    /// path
    #[argh(positional)]
    path: String,
}

/// Print the values at and below a path as a document.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "get")]
struct GetCommand {
    /// path; all values if omitted
    #[argh(positional, default = "String::new()")]
    path: String,
}

/// Print what publishing a document would change.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "diff")]
struct DiffCommand {
    /// document
    #[argh(positional)]
    file: PathBuf,
}

/// Print the changes at and below a path that the log still contains.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "history")]
struct HistoryCommand {
    /// path; all values if omitted
    #[argh(positional, default = "String::new()")]
    path: String,
}

/// Print the status of each instance, or of one.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "status")]
struct StatusCommand {
    /// address of one instance; all instances if omitted
    #[argh(option)]
    instance: Option<String>,
    /// print everything as JSON
    #[argh(switch)]
    json: bool,
}

/// Print why a model is or is not loaded.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
struct ExplainCommand {
    /// model, or `model:organisation/adapter`
    #[argh(positional)]
    model: String,
}

/// Print the addresses that a client should use.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "addresses")]
struct AddressesCommand {
    /// availability zone of the client
    #[argh(option, default = "String::new()")]
    zone: String,
    /// organisation of the client
    #[argh(option, default = "String::new()")]
    organisation: String,
    /// model that the client uses
    #[argh(option, default = "String::new()")]
    model: String,
}

/// Time in which a change must be active, and a withdrawn key refused, on all instances.
const APPLY_LIMIT: Duration = Duration::from_secs(9);
/// Number of random bytes in an API key.
const KEY_BYTES: usize = 24;

/// Runs a command and returns its output.
///
/// # Errors
///
/// Fails with a message that names the remedy.
pub async fn run_command(args: Args) -> Result<String, String> {
    if let Command::Operator(command) = &args.command {
        let OperatorAction::New(new) = &command.action;
        return new_operator(new);
    }
    let session = Session::from_file(&args.settings).map_err(|error| error.to_string())?;
    match args.command {
        Command::Operator(_) => Ok(String::new()),
        Command::Key(command) => match command.action {
            KeyAction::Issue(issue) => issue_key(&session, &issue).await,
            KeyAction::Withdraw(withdraw) => withdraw_key(&session, &withdraw).await,
        },
        Command::Publish(command) => publish(&session, &command).await,
        Command::Delete(command) => delete(&session, &command.path).await,
        Command::Get(command) => get(&session, &command.path).await,
        Command::Diff(command) => diff(&session, &command.file).await,
        Command::History(command) => history(&session, &command.path).await,
        Command::Status(command) => status(&session, &command).await,
        Command::Explain(command) => explain(&session, &command.model).await,
        Command::Addresses(command) => addresses(&session, &command).await,
    }
}

fn new_operator(new: &NewOperator) -> Result<String, String> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let mut seed = [0; 32];
    rand::rng().fill(&mut seed);
    let opened = std::fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(&new.file);
    let name = new.file.display();
    let mut file = opened.map_err(|error| format!("{name}: {error}; choose a new file"))?;
    writeln!(file, "{}", hex::encode(seed)).map_err(|error| format!("{name}: {error}"))?;
    Ok(format!("{}\n", OperatorKey::from_seed(seed).public_hex()))
}

async fn issue_key(session: &Session, issue: &IssueKey) -> Result<String, String> {
    let mut bytes = [0; KEY_BYTES];
    rand::rng().fill(&mut bytes);
    let secret = format!("aw-{}", hex::encode(bytes));
    let digest = KeyDigest::of_secret(&secret).to_hex();
    let path = key_path(&issue.organisation, &issue.name);
    let value = format!("digest = \"{digest}\"\n");
    put_and_wait(session, &path, Some(value), APPLY_LIMIT).await?;
    Ok(format!("{secret}\n"))
}

async fn withdraw_key(session: &Session, withdraw: &WithdrawKey) -> Result<String, String> {
    let path = key_path(&withdraw.organisation, &withdraw.name);
    let publisher = Publisher::new(session);
    let reply = publisher
        .config(&path)
        .await
        .map_err(|error| error.to_string())?;
    if !reply.values.iter().any(|value| value.value.is_some()) {
        return Err(format!("{path} contains no key; check with `get /teams`"));
    }
    let took = put_and_wait(session, &path, None, APPLY_LIMIT).await?;
    Ok(format!(
        "withdrawn everywhere after {} ms\n",
        took.as_millis()
    ))
}

async fn put_and_wait(
    session: &Session,
    path: &str,
    value: Option<String>,
    limit: Duration,
) -> Result<Duration, String> {
    let publisher = Publisher::new(session);
    let put = async {
        let version = publisher.version(path).await?;
        let (offset, change) = publisher.put(path, version, value).await?;
        publisher.wait(path, offset, change, limit).await
    };
    put.await.map_err(|error| format!("{path}: {error}"))
}

async fn publish(session: &Session, command: &PublishCommand) -> Result<String, String> {
    let document = read_document(&command.file)?;
    let publisher = Publisher::new(session);
    let current = publisher
        .config("")
        .await
        .map_err(|error| error.to_string())?;
    let mut published = Vec::new();
    for (path, value) in document.values() {
        let entry = current.values.iter().find(|entry| entry.path == path);
        if entry.is_some_and(|entry| entry.value.as_deref() == Some(value)) {
            continue;
        }
        let version = entry.map_or(0, |entry| entry.version);
        let put = publisher.put(path, version, Some(value.to_owned())).await;
        let (offset, change) = put.map_err(|error| format!("{path}: {error}"))?;
        published.push((path, offset, change));
    }
    let mut text = format!("{} changes published\n", published.len());
    if command.wait {
        let mut longest = Duration::ZERO;
        let limit = Duration::from_secs(command.limit_s);
        for (path, offset, change) in published {
            let wait = publisher.wait(path, offset, change, limit).await;
            longest = longest.max(wait.map_err(|error| format!("{path}: {error}"))?);
        }
        let millis = longest.as_millis();
        text.push_str(&format!("in force everywhere after {millis} ms\n"));
    }
    Ok(text)
}

async fn delete(session: &Session, path: &str) -> Result<String, String> {
    let took = put_and_wait(session, path, None, APPLY_LIMIT).await?;
    Ok(format!(
        "deleted everywhere after {} ms\n",
        took.as_millis()
    ))
}

async fn get(session: &Session, path: &str) -> Result<String, String> {
    let publisher = Publisher::new(session);
    let reply = publisher
        .config(path)
        .await
        .map_err(|error| error.to_string())?;
    let mut text = String::new();
    for value in reply.values {
        let Some(toml) = value.value else { continue };
        let (version, author) = (value.version, value.author);
        text.push_str(&format!(
            "# version {version} by {author}\n[\"{}\"]\n{toml}\n",
            value.path
        ));
    }
    Ok(text)
}

async fn diff(session: &Session, file: &PathBuf) -> Result<String, String> {
    let document = read_document(file)?;
    let publisher = Publisher::new(session);
    let current = publisher
        .config("")
        .await
        .map_err(|error| error.to_string())?;
    let mut text = String::new();
    for (path, new) in document.values() {
        let entry = current.values.iter().find(|entry| entry.path == path);
        let old = entry.and_then(|entry| entry.value.as_deref()).unwrap_or("");
        if old == new {
            continue;
        }
        text.push_str(&format!("[\"{path}\"]\n"));
        for line in old
            .lines()
            .filter(|line| !new.lines().any(|other| other == *line))
        {
            text.push_str(&format!("-{line}\n"));
        }
        for line in new
            .lines()
            .filter(|line| !old.lines().any(|other| other == *line))
        {
            text.push_str(&format!("+{line}\n"));
        }
    }
    Ok(text)
}

async fn history(session: &Session, path: &str) -> Result<String, String> {
    let log = HttpLog::new(&session.platform, Duration::from_secs(3));
    let prefix = path.trim_end_matches('/');
    let mut text = String::new();
    let mut from = 1;
    loop {
        let batch = match log.read(CONTROL_STREAM, from, Duration::ZERO).await {
            Ok(batch) => batch,
            Err(ReadError::Expired(first)) => {
                text.push_str(&format!("# changes before offset {first} are dropped\n"));
                from = first;
                continue;
            }
            Err(error) => return Err(error.to_string()),
        };
        for (offset, bytes) in (batch.first..).zip(&batch.records) {
            let Some(record) = Record::from_bytes(bytes) else {
                continue;
            };
            let Some(Body::PutConfig(put)) = record.body else {
                continue;
            };
            let rest = put.path.strip_prefix(prefix);
            if rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/')) {
                let value = put.value.unwrap_or_else(|| "(deleted)".to_owned());
                let value = value.trim().replace('\n', "; ");
                let (writer, expected) = (&record.writer, put.expected);
                let line = format!("{offset} {writer} on {expected}: {} {value}\n", put.path);
                text.push_str(&line);
            }
        }
        if batch.reaches_end() {
            return Ok(text);
        }
        from = batch.first + batch.records.len() as u64;
    }
}

async fn status(session: &Session, command: &StatusCommand) -> Result<String, String> {
    let fleet = FleetClient::new(session);
    let addresses = match &command.instance {
        Some(address) => vec![address.clone()],
        None => fleet.addresses().await?,
    };
    let mut text = String::new();
    for address in addresses {
        let reply = fleet
            .query::<serde_json::Value>(&address, "/-/status")
            .await;
        match reply {
            Ok(status) if command.json => text.push_str(&format!("{status}\n")),
            Ok(status) => text.push_str(&status_lines(&address, &status)),
            Err(error) => text.push_str(&format!("{error}\n")),
        }
    }
    Ok(text)
}

fn status_lines(address: &str, status: &serde_json::Value) -> String {
    let instance = &status["instance"];
    let count = |list: &str, key: &str, value: &str| {
        let items = status[list].as_array().into_iter().flatten();
        items.filter(|item| item[key] == value).count()
    };
    let text = |key: &str| instance[key].as_str().unwrap_or("?").to_owned();
    format!(
        "{} at {address} zone {} ready {} leaving {} view {} next offset {} requests {} leases \
         held {} waiting {} replicas loaded {} decided {} retiring {}\n",
        text("id"),
        text("zone"),
        instance["ready"],
        instance["leaving"],
        text("view"),
        instance["next_offset"],
        instance["requests"],
        count("leases", "standing", "held"),
        count("leases", "standing", "waiting"),
        count("replicas", "phase", "loaded"),
        count("replicas", "phase", "decided"),
        count("replicas", "phase", "retiring"),
    )
}

// Any instance names the holder of the model's lease. The holder's own explanation is the most
// complete one, so it is preferred if the holder responds.
async fn explain(session: &Session, model: &str) -> Result<String, String> {
    let fleet = FleetClient::new(session);
    let path = format!("/-/explain?model={model}");
    let mut explanation: serde_json::Value = fleet.query_any(&path).await?;
    let holder = explanation["holder"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    for address in fleet.addresses().await? {
        let Ok(status) = fleet
            .query::<serde_json::Value>(&address, "/-/status")
            .await
        else {
            continue;
        };
        if status["instance"]["id"] == holder.as_str() {
            explanation = fleet.query(&address, &path).await.unwrap_or(explanation);
        }
    }
    let text = serde_json::to_string_pretty(&explanation);
    text.map(|text| text + "\n")
        .map_err(|error| error.to_string())
}

async fn addresses(session: &Session, command: &AddressesCommand) -> Result<String, String> {
    let fleet = FleetClient::new(session);
    let AddressesCommand {
        zone,
        organisation,
        model,
    } = command;
    let path = format!("/v1/addresses?zone={zone}&organisation={organisation}&model={model}");
    let reply: serde_json::Value = fleet.query_any(&path).await?;
    let addresses = reply["addresses"].as_array().into_iter().flatten();
    let lines: Vec<&str> = addresses.filter_map(serde_json::Value::as_str).collect();
    let lifetime = &reply["lifetime_ms"];
    Ok(format!("{}\n# good for {lifetime} ms\n", lines.join("\n")))
}

fn read_document(file: &PathBuf) -> Result<Document, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|error| format!("{name}: {error}; use the path of a document"))?;
    Document::from_toml(&name, &text).map_err(|error| error.to_string())
}

fn key_path(organisation: &str, name: &str) -> String {
    format!("/teams/{organisation}/keys/{name}")
}
