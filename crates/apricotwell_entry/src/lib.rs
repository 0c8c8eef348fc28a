//! The entry daemon: callers' and operators' interfaces around one node.
//!
//! The [`NodeDriver`] owns the node behind a lock and carries out its actions; everything that decides
//! is in `apricotwell_node`.
//!
//! # Examples
//!
//! ```
//! use apricotwell_entry::Settings;
//!
//! let error = Settings::from_toml("entry.toml", "[instance]\nid = \"\"").unwrap_err();
//! assert!(error.to_string().contains("entry.toml"));
//! ```

mod answer;
mod api;
mod control;
mod daemon;
mod metrics;
mod parse;
mod relay;
mod settings;
mod shell;
mod streams;

pub use daemon::{DaemonError, run_daemon};
pub use settings::{Settings, SettingsError, settings_reference};
pub use shell::NodeDriver;
