//! The operator's identity and the address of the platform.

use std::fmt;
use std::path::Path;

use serde::Deserialize;

use apricotwell_records::{OperatorKey, OperatorToken};

/// Time for which an operator token is valid.
const TOKEN_LIFETIME_S: u64 = 300;

/// Reason why a session could not be created.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionError {
    /// A file can't be read.
    File(String),
    /// The settings file is invalid.
    Settings(String),
    /// The key is invalid.
    Key(String),
}

impl fmt::Display for SessionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SessionError::File(reason) => write!(f, "{reason}; check the path"),
            SessionError::Settings(reason) => write!(
                f,
                "{reason}; the settings must contain platform, operator and key_file"
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

/// An operator's credentials and the platform that they apply to.
#[derive(Debug)]
pub struct Session {
    /// Address of the platform as `ip:port`.
    pub platform: String,
    /// Name of the operator.
    pub operator: String,
    /// Key that signs changes.
    pub key: OperatorKey,
}

impl Session {
    /// Reads settings and key; a relative `key_file` is resolved against the settings' folder.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be read or is invalid.
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

    /// Returns a signed token that authenticates the operator.
    pub fn token(&self) -> String {
        let expires = apricotwell_logging::wall_time().as_secs() + TOKEN_LIFETIME_S;
        OperatorToken::sign(&self.key, &self.operator, expires).to_text()
    }
}

fn read(path: &Path) -> Result<String, SessionError> {
    std::fs::read_to_string(path)
        .map_err(|error| SessionError::File(format!("{}: {error}", path.display())))
}
