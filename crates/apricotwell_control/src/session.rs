//! Who the operator is and where the platform is.

use std::fmt;
use std::path::Path;

use serde::Deserialize;

use apricotwell_records::{OperatorKey, OperatorToken};

/// Time for which a token is good.
const TOKEN_LIFETIME_S: u64 = 300;

/// Why there is no session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionError {
    /// A file can't be read.
    File(String),
    /// The settings can't be used.
    Settings(String),
    /// The key can't be used.
    Key(String),
}

impl fmt::Display for SessionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SessionError::File(reason) => write!(f, "{reason}; check the path"),
            SessionError::Settings(reason) => write!(
                f,
                "{reason}; the settings need platform, operator and key_file"
            ),
            SessionError::Key(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for SessionError {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SessionFile {
    platform: String,
    operator: String,
    key_file: String,
}

/// Operator with key and platform.
#[derive(Debug)]
pub struct Session {
    /// Address of the platform as `ip:port`.
    pub platform: String,
    /// Operator.
    pub operator: String,
    /// Key that signs changes.
    pub key: OperatorKey,
}

impl Session {
    /// Reads settings and key; a relative `key_file` stands beside the settings.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be read or used.
    pub fn from_file(path: &Path) -> Result<Self, SessionError> {
        let text = read(path)?;
        let file: SessionFile = toml::from_str(&text).map_err(|error| {
            SessionError::Settings(format!("{}: {}", path.display(), error.to_string().trim()))
        })?;
        let folder = path.parent().unwrap_or(Path::new("."));
        let key_path = folder.join(&file.key_file);
        let key = OperatorKey::from_hex(&read(&key_path)?)
            .map_err(|error| SessionError::Key(format!("{}: {error}", key_path.display())))?;
        Ok(Self {
            platform: file.platform,
            operator: file.operator,
            key,
        })
    }

    /// Returns a token that proves who asks.
    pub fn token(&self) -> String {
        let expires = apricotwell_logging::wall_time().as_secs() + TOKEN_LIFETIME_S;
        OperatorToken::sign(&self.key, &self.operator, expires).to_text()
    }
}

fn read(path: &Path) -> Result<String, SessionError> {
    std::fs::read_to_string(path)
        .map_err(|error| SessionError::File(format!("{}: {error}", path.display())))
}
