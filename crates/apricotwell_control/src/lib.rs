//! Operators' command: configuration, keys and status.
//!
//! Changes go to the platform's log, signed with the operator's key; entry instances are asked
//! what is in force. See `docs/operating/publishing.md`.
//!
//! # Examples
//!
//! ```
//! use apricotwell_control::Document;
//!
//! let text = "[\"/platform/store\"]\nparallel_loads = 4\nparallel_adapters = 32\n";
//! let document = Document::from_toml("store.toml", text).unwrap();
//! assert_eq!(document.values().next().unwrap().0, "/platform/store");
//! ```

mod command;
mod document;
mod fleet;
mod publish;
mod session;

pub use command::{Args, run_command};
pub use document::{Document, DocumentError};
pub use fleet::{ConfigReply, ConfigValue, FleetClient};
pub use publish::{PublishError, Publisher};
pub use session::{Session, SessionError};
