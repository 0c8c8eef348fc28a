//! Command-line tool for operators: configuration, keys and status.
//!
//! Changes are signed with the operator's key and appended to the platform's log; entry instances
//! report which values are active. See `docs/operating/README.md`.
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
