//! Configuration documents: TOML files with one table for each path.

use std::collections::BTreeMap;
use std::fmt;

use apricotwell_state::Setting;

/// Errors in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    file: String,
    errors: Vec<String>,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self
            .errors
            .iter()
            .map(|error| format!("{}: {error}", self.file))
            .collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for DocumentError {}

/// Configuration values by path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    values: BTreeMap<String, String>,
}

impl Document {
    /// Parses a document and validates each value; `file` is the file name in error messages.
    ///
    /// # Errors
    ///
    /// Fails with a list of all invalid values.
    pub fn from_toml(file: &str, text: &str) -> Result<Self, DocumentError> {
        let fail = |errors| DocumentError {
            file: file.to_owned(),
            errors,
        };
        let table: toml::Table = toml::from_str(text)
            .map_err(|error| fail(vec![error.to_string().trim().to_owned()]))?;
        let mut values = BTreeMap::new();
        let mut errors = Vec::new();
        for (path, value) in table {
            let toml::Value::Table(value) = value else {
                errors.push(format!(
                    "`{path}` is not a table: write [\"{path}\"] and its settings"
                ));
                continue;
            };
            let text = toml::to_string(&value).unwrap_or_default();
            match Setting::parse(&path, &text) {
                Ok(_) => {
                    values.insert(path, text);
                }
                Err(error) => errors.push(error),
            }
        }
        if errors.is_empty() {
            Ok(Self { values })
        } else {
            Err(fail(errors))
        }
    }

    /// Returns paths and values, sorted by path.
    pub fn values(&self) -> impl Iterator<Item = (&str, &str)> {
        self.values
            .iter()
            .map(|(path, value)| (path.as_str(), value.as_str()))
    }
}
