//! The entry daemon: the HTTP interfaces for clients and operators around one node.
//!
//! The [`NodeDriver`] owns the node behind a lock and executes its actions. All decisions are made
//! in `apricotwell_node`.
//!
//! # Examples
//!
//! ```
//! use apricotwell_entry::Settings;
//!
//! let error = Settings::from_toml("entry.toml", "[instance]\nid = \"\"").unwrap_err();
//! assert!(error.to_string().contains("entry.toml"));
//! ```

mod api;
mod clients;
mod control;
mod daemon;
mod driver;
mod metrics;
mod parse;
mod relay;
mod responses;
mod settings;
mod streams;

pub use daemon::{DaemonError, StopSignals, run_daemon};
pub use driver::NodeDriver;
pub use settings::{Settings, SettingsError, settings_reference};
