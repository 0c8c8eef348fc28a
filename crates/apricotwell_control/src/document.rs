//! Documents of configuration: one table for each path.

use std::collections::BTreeMap;
use std::fmt;

use apricotwell_state::Setting;

/// Document that can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    file: String,
    faults: Vec<String>,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self
            .faults
            .iter()
            .map(|fault| format!("{}: {fault}", self.file))
            .collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for DocumentError {}

/// Values by path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    values: BTreeMap<String, String>,
}

impl Document {
    /// Parses a document and checks each value.
    ///
    /// # Errors
    ///
    /// Fails with every fault.
    pub fn from_toml(file: &str, text: &str) -> Result<Self, DocumentError> {
        let fail = |faults| DocumentError {
            file: file.to_owned(),
            faults,
        };
        let table: toml::Table = toml::from_str(text)
            .map_err(|error| fail(vec![error.to_string().trim().to_owned()]))?;
        let mut values = BTreeMap::new();
        let mut faults = Vec::new();
        for (path, value) in table {
            let toml::Value::Table(value) = value else {
                faults.push(format!(
                    "`{path}` is no table: write [\"{path}\"] and its settings"
                ));
                continue;
            };
            let text = toml::to_string(&value).unwrap_or_default();
            match Setting::parse(&path, &text) {
                Ok(_) => {
                    values.insert(path, text);
                }
                Err(fault) => faults.push(fault),
            }
        }
        if faults.is_empty() {
            Ok(Self { values })
        } else {
            Err(fail(faults))
        }
    }

    /// Returns paths and values in order of path.
    pub fn values(&self) -> impl Iterator<Item = (&str, &str)> {
        self.values
            .iter()
            .map(|(path, value)| (path.as_str(), value.as_str()))
    }
}
