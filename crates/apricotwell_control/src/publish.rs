//! Publishes changes and waits until they are active.

use std::fmt;
use std::time::{Duration, Instant};

use apricotwell_adapters::{HttpLog, LogStore};
use apricotwell_records::{AppendError, Body, CONTROL_STREAM, PutConfig, Record};

use crate::{ConfigReply, FleetClient, Session};

/// Timeout of a request to the log.
const LOG_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay between two queries of an instance.
const POLL_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of attempts to append one change.
const MAX_APPEND_ATTEMPTS: u32 = 10;

/// Reason why a change is not active.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishError {
    /// No instance could be queried.
    Fleet(String),
    /// The change was not appended to the log.
    NotPublished,
    /// It is unknown whether the change was appended to the log.
    Unknown,
    /// The change was rejected.
    Rejected(String),
    /// The change is not yet active on these instances.
    NotEverywhere(Vec<String>),
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PublishError::Fleet(reason) => f.write_str(reason),
            PublishError::NotPublished => f.write_str(
                "the change was not appended to the log; publish it again when the log is \
                     available",
            ),
            PublishError::Unknown => f.write_str(
                "the change may have been appended to the log; check with `get`, and publish it \
                 again if it is missing",
            ),
            PublishError::Rejected(reason) => write!(f, "the change was rejected: {reason}"),
            PublishError::NotEverywhere(missing) => write!(
                f,
                "the change is published but not yet active on {}; check their `status`",
                missing.join(", ")
            ),
        }
    }
}

impl std::error::Error for PublishError {}

/// Publishes changes as the operator of a session.
pub struct Publisher<'a> {
    session: &'a Session,
    fleet: FleetClient<'a>,
    log: HttpLog,
}

impl<'a> Publisher<'a> {
    /// Returns a publisher for a session.
    pub fn new(session: &'a Session) -> Self {
        Self {
            session,
            fleet: FleetClient::new(session),
            log: HttpLog::new(&session.platform, LOG_TIMEOUT),
        }
    }

    /// Returns the current version of a path, or 0 if it never had a value.
    ///
    /// # Errors
    ///
    /// Fails when no instance responds.
    pub async fn version(&self, path: &str) -> Result<u64, PublishError> {
        let reply = self.config(path).await?;
        let found = reply.values.iter().find(|value| value.path == path);
        Ok(found.map_or(0, |value| value.version))
    }

    /// Returns the configuration at and below a path, as reported by the first instance that
    /// responds.
    ///
    /// # Errors
    ///
    /// Fails when no instance responds.
    pub async fn config(&self, path: &str) -> Result<ConfigReply, PublishError> {
        let reply = self.fleet.query_any(&config_path(path)).await;
        reply.map_err(PublishError::Fleet)
    }

    /// Appends a change to version `expected` of a path and returns the change's offset and number.
    ///
    /// If the outcome of an append is unknown, the same record is appended again, which is
    /// idempotent.
    ///
    /// # Errors
    ///
    /// Fails when the change was not appended, or when it is unknown whether it was.
    pub async fn put(
        &self,
        path: &str,
        expected: u64,
        value: Option<String>,
    ) -> Result<(u64, u64), PublishError> {
        let change: u64 = rand::random_range(1..=u64::MAX);
        let mut put = PutConfig {
            path: path.to_owned(),
            expected,
            value,
            change,
            signature: Vec::new(),
        };
        self.session.key.sign(&self.session.operator, &mut put);
        let record = Record::new(&self.session.operator, 0, 0, Body::PutConfig(put)).to_bytes();
        let mut may_be_appended = false;
        for _ in 0..MAX_APPEND_ATTEMPTS {
            match self.log.append(CONTROL_STREAM, vec![record.clone()]).await {
                Ok(offset) => return Ok((offset, change)),
                Err(AppendError::NotAppended) if !may_be_appended => {
                    return Err(PublishError::NotPublished);
                }
                Err(_) => may_be_appended = true,
            }
            tokio::time::sleep(POLL_DELAY * 5).await;
        }
        Err(PublishError::Unknown)
    }

    /// Waits until a change is active on every instance on the list; returns the time it took.
    ///
    /// # Errors
    ///
    /// Fails when the change is rejected, or is not active on all instances within `limit`.
    pub async fn wait(
        &self,
        path: &str,
        offset: u64,
        change: u64,
        limit: Duration,
    ) -> Result<Duration, PublishError> {
        let started = Instant::now();
        let mut missing = self.fleet.addresses().await.map_err(PublishError::Fleet)?;
        while !missing.is_empty() {
            let mut still_missing = Vec::new();
            for address in missing {
                let reply = self
                    .fleet
                    .query::<ConfigReply>(&address, &config_path(path))
                    .await;
                match reply {
                    Ok(reply) if reply.next_offset > offset => check_active(&reply, path, change)?,
                    _ => still_missing.push(address),
                }
            }
            missing = still_missing;
            if !missing.is_empty() && started.elapsed() > limit {
                return Err(PublishError::NotEverywhere(missing));
            }
            tokio::time::sleep(POLL_DELAY).await;
        }
        Ok(started.elapsed())
    }
}

// The instance has applied the change's offset. If the path has another change by now and this one
// was not rejected, this one was active before it.
fn check_active(reply: &ConfigReply, path: &str, change: u64) -> Result<(), PublishError> {
    let found = reply.values.iter().find(|value| value.path == path);
    if found.is_some_and(|value| value.change == change) {
        return Ok(());
    }
    let rejected = reply
        .rejections
        .iter()
        .find(|rejection| rejection.change == change);
    match rejected {
        Some(rejection) => Err(PublishError::Rejected(rejection.reason.clone())),
        None => Ok(()),
    }
}

fn config_path(path: &str) -> String {
    format!("/-/config?path={path}")
}
