//! Publishing changes and waiting until they are in force.

use std::fmt;
use std::time::{Duration, Instant};

use apricotwell_adapters::{HttpLog, LogStore};
use apricotwell_records::{AppendError, Body, CONTROL_STREAM, PutConfig, Record};

use crate::{ConfigReply, FleetClient, Session};

/// Time in which the log must answer.
const LOG_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two looks at an instance.
const LOOK_PAUSE: Duration = Duration::from_millis(20);
/// Appends of one change before it is given up.
const MAX_APPENDS: u32 = 10;

/// Why a change is not in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishError {
    /// No instance could be asked.
    FleetClient(String),
    /// The log took nothing.
    NotPublished,
    /// The log may have taken the change, and nobody could tell.
    Unknown,
    /// The change had no effect.
    Rejected(String),
    /// The change is in force on some instances only.
    NotEverywhere(Vec<String>),
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PublishError::FleetClient(reason) => f.write_str(reason),
            PublishError::NotPublished => {
                f.write_str("the log took nothing; publish again when it is up")
            }
            PublishError::Unknown => f.write_str(
                "the log may have taken the change; look with `get`, and publish again if it is \
                 not there",
            ),
            PublishError::Rejected(reason) => write!(f, "the change had no effect: {reason}"),
            PublishError::NotEverywhere(missing) => write!(
                f,
                "the change is published but not yet in force on {}; look at their `status`",
                missing.join(", ")
            ),
        }
    }
}

impl std::error::Error for PublishError {}

/// Publishes changes of one session.
pub struct Publisher<'a> {
    session: &'a Session,
    fleet: FleetClient<'a>,
    log: HttpLog,
}

impl<'a> Publisher<'a> {
    /// Returns a publisher.
    pub fn new(session: &'a Session) -> Self {
        Self {
            session,
            fleet: FleetClient::new(session),
            log: HttpLog::new(&session.platform, LOG_TIMEOUT),
        }
    }

    /// Returns the present version of a path, 0 when it never had a value.
    ///
    /// # Errors
    ///
    /// Fails when no instance answers.
    pub async fn version(&self, path: &str) -> Result<u64, PublishError> {
        let reply = self.config(path).await?;
        let found = reply.values.iter().find(|value| value.path == path);
        Ok(found.map_or(0, |value| value.version))
    }

    /// Returns the configuration at and below a path.
    ///
    /// # Errors
    ///
    /// Fails when no instance answers.
    pub async fn config(&self, path: &str) -> Result<ConfigReply, PublishError> {
        let reply = self.fleet.query_any(&config_path(path)).await;
        reply.map_err(PublishError::FleetClient)
    }

    /// Appends a change on top of version `expected` and returns its offset and number.
    ///
    /// After a lost answer the same record goes again: a repeat has no effect.
    ///
    /// # Errors
    ///
    /// Fails when the log did not take the change, or when that can't be told.
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
        let mut doubtful = false;
        for _ in 0..MAX_APPENDS {
            match self.log.append(CONTROL_STREAM, vec![record.clone()]).await {
                Ok(offset) => return Ok((offset, change)),
                Err(AppendError::NotAppended) if !doubtful => {
                    return Err(PublishError::NotPublished);
                }
                Err(_) => doubtful = true,
            }
            tokio::time::sleep(LOOK_PAUSE * 5).await;
        }
        Err(PublishError::Unknown)
    }

    /// Waits until every instance on the list has a change in force; returns the time it took.
    ///
    /// # Errors
    ///
    /// Fails when the change had no effect, or is not in force everywhere within `limit`.
    pub async fn wait(
        &self,
        path: &str,
        offset: u64,
        change: u64,
        limit: Duration,
    ) -> Result<Duration, PublishError> {
        let began = Instant::now();
        let mut missing = self
            .fleet
            .addresses()
            .await
            .map_err(PublishError::FleetClient)?;
        while !missing.is_empty() {
            let mut still = Vec::new();
            for address in missing {
                let reply = self
                    .fleet
                    .query::<ConfigReply>(&address, &config_path(path))
                    .await;
                match reply {
                    Ok(reply) if reply.next_offset > offset => check(&reply, path, change)?,
                    _ => still.push(address),
                }
            }
            missing = still;
            if !missing.is_empty() && began.elapsed() > limit {
                return Err(PublishError::NotEverywhere(missing));
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        Ok(began.elapsed())
    }
}

// A later change of the same path shows that this one was in force before it.
fn check(reply: &ConfigReply, path: &str, change: u64) -> Result<(), PublishError> {
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
