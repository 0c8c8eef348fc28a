//! Timeline of the events of all processes.
//!
//! Every process writes one JSON line per event. [`merge`] orders the lines of many processes by
//! time, and the `apricotwell-timeline` command prints those of one request, model or key.
//!
//! # Examples
//!
//! ```
//! use apricotwell_timeline::prelude::*;
//!
//! let event = Event::new(EventKind::RequestAccepted).with_request("entry-1/1").with_org("acme");
//! let line = event.stamped("entry-1", 1_000).to_line();
//! let merged = merge(&[line]).unwrap();
//! assert_eq!(merged[0].org.as_deref(), Some("acme"));
//! ```

mod event;
mod merge;
mod page;

pub use event::{Event, EventKind};
pub use merge::{Filter, MergeError, merge, render};
pub use page::render_svg;

/// Commonly used types.
pub mod prelude {
    pub use crate::{Event, EventKind, Filter, merge, render};
}
