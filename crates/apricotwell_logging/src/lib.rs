//! Logging as JSON lines, and the file of timeline events.
//!
//! # Examples
//!
//! ```
//! apricotwell_logging::init("entry-1", "info").unwrap();
//! log::info!("ready");
//! ```

use std::fmt;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::str::FromStr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, SystemTime};

use apricotwell_timeline::Event;

/// Why logging could not be set up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InitError {
    /// The level is unknown.
    UnknownLevel(String),
    /// A logger was already set.
    AlreadySet,
}

impl fmt::Display for InitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InitError::UnknownLevel(level) => write!(
                f,
                "`{level}` is not a log level; use off, error, warn, info, debug or trace"
            ),
            InitError::AlreadySet => f.write_str("a logger is already set; set only one"),
        }
    }
}

impl std::error::Error for InitError {}

/// Writes the logs of this process to standard error, one JSON object per line.
///
/// # Errors
///
/// Fails when the level is unknown or a logger is already set.
pub fn init(instance: &str, level: &str) -> Result<(), InitError> {
    let filter =
        log::LevelFilter::from_str(level).map_err(|_| InitError::UnknownLevel(level.to_owned()))?;
    let instance = instance.to_owned();
    fern::Dispatch::new()
        .level(filter)
        // Of other crates only warnings and errors are logged: their lower levels can contain
        // request headers.
        .filter(|metadata| {
            metadata.target().starts_with("apricotwell") || metadata.level() <= log::Level::Warn
        })
        .format(move |out, message, record| {
            let line = serde_json::json!({
                "at_ms": wall_time().as_millis() as u64,
                "instance": instance,
                "level": record.level().as_str(),
                "target": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        })
        .chain(io::stderr())
        .apply()
        .map_err(|_| InitError::AlreadySet)
}

/// Returns the time since the Unix epoch.
pub fn wall_time() -> Duration {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.unwrap_or_default()
}

/// File of timeline events.
#[derive(Debug)]
pub struct EventFile {
    file: Option<Mutex<File>>,
}

impl EventFile {
    /// Opens the file for appending; without a path, events are dropped.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be opened.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let file = match path {
            Some(path) => Some(OpenOptions::new().create(true).append(true).open(path)?),
            None => None,
        };
        Ok(Self {
            file: file.map(Mutex::new),
        })
    }

    /// Returns whether events are written.
    pub fn is_open(&self) -> bool {
        self.file.is_some()
    }

    /// Appends events, one per line. If that fails, they are lost and a warning is logged.
    pub fn write(&self, events: &[Event]) {
        let Some(file) = &self.file else {
            return;
        };
        let mut text = String::new();
        for event in events {
            text.push_str(&event.to_line());
            text.push('\n');
        }
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = file.write_all(text.as_bytes()) {
            log::warn!("events lost: {error}; free disk space or unset the event file");
        }
    }
}
