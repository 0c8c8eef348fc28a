//! Versioned configuration tree.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use apricotwell_records::{PutConfig, verify_put};
use apricotwell_types::Offset;

use crate::RejectReason;
use crate::settings::{OperatorSettings, Setting};

/// Name of the operator whose key is in the settings of every instance.
pub(crate) const ROOT_OPERATOR: &str = "root";

/// Entry of one path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// Offset of the change that set it.
    pub version: Offset,
    /// Number of that change.
    pub change: u64,
    /// Operator that made the change.
    pub author: String,
    /// Value as TOML text; `None` after a deletion.
    pub value: Option<String>,
}

/// Configuration tree.
///
/// # Invariants
///
/// Versions of a path only increase. A deleted path keeps its entry, so that a late change that is
/// based on an older version still conflicts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigTree {
    entries: BTreeMap<String, ConfigEntry>,
}

impl ConfigTree {
    /// Returns the entry of a path, even if its value is deleted.
    pub fn get(&self, path: &str) -> Option<&ConfigEntry> {
        self.entries.get(path)
    }

    /// Returns the TOML text of a path; `None` if the path has no value.
    pub fn value(&self, path: &str) -> Option<&str> {
        self.entries.get(path)?.value.as_deref()
    }

    /// Returns all entries, including deleted ones, ordered by path.
    pub fn all_entries(&self) -> impl Iterator<Item = (&str, &ConfigEntry)> {
        let entries = self.entries.iter();
        entries.map(|(path, entry)| (path.as_str(), entry))
    }

    /// Returns the entries that have a value, ordered by path.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &ConfigEntry)> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.value.is_some())
            .map(|(path, entry)| (path.as_str(), entry))
    }

    /// Applies an authorised change and returns the parsed value; `None` for a deletion.
    pub(crate) fn put(
        &mut self,
        offset: Offset,
        writer: &str,
        put: &PutConfig,
    ) -> Result<Option<Setting>, RejectReason> {
        let version = self.get(&put.path).map_or(0, |entry| entry.version);
        if let Some(entry) = self.get(&put.path)
            && entry.change == put.change
            && entry.author == writer
        {
            return Err(RejectReason::Duplicate);
        }
        if version != put.expected {
            return Err(RejectReason::VersionConflict(version));
        }
        let setting = match &put.value {
            Some(text) => Some(Setting::parse(&put.path, text).map_err(RejectReason::Malformed)?),
            None => None,
        };
        let entry = ConfigEntry {
            version: offset,
            change: put.change,
            author: writer.to_owned(),
            value: put.value.clone(),
        };
        self.entries.insert(put.path.clone(), entry);
        Ok(setting)
    }

    /// Checks that a change is signed by its writer and is within the writer's subtree.
    pub(crate) fn authorise(
        &self,
        writer: &str,
        put: &PutConfig,
        root_key: &str,
    ) -> Result<(), RejectReason> {
        let (key, subtree) = if writer == ROOT_OPERATOR {
            (root_key.to_owned(), String::new())
        } else {
            let operator = self.operator(writer).ok_or(RejectReason::UnknownOperator)?;
            (operator.public_key, operator.subtree)
        };
        verify_put(&key, writer, put).map_err(|_| RejectReason::InvalidSignature)?;
        let inside = put.path == subtree
            || put
                .path
                .strip_prefix(&subtree)
                .is_some_and(|rest| rest.starts_with('/'));
        if inside {
            Ok(())
        } else {
            Err(RejectReason::OutsideSubtree)
        }
    }

    pub(crate) fn operator(&self, name: &str) -> Option<OperatorSettings> {
        let path = format!("/platform/operators/{name}");
        match Setting::parse(&path, self.value(&path)?) {
            Ok(Setting::Operator(operator)) => Some(operator),
            _ => None,
        }
    }
}
