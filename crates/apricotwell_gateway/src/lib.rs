//! Network I/O, timers and background tasks around the decision logic of `apricotwell_dispatch`.
//!
//! Each process is one instance of the fleet. All of its tasks run on one thread and share a
//! [`gateway::Gateway`]. The crate is independent of the platform: an adapter translates the
//! platform's names and formats, see [`adapter`].
//!
//! Connections to clients and servers use `hyper` directly, since both ends must be monitored while
//! a request waits; `docs/design/platform.md` has the measurements against `actix-web` and `awc`.

pub mod adapter;
pub mod budget;
pub mod claim_copies;
pub mod clock;
pub mod crash_checks;
pub mod daemon;
pub mod era_watch;
pub mod evacuation;
pub mod events;
pub mod explain;
pub mod feed_queries;
pub mod feeds;
pub mod gateway;
pub mod guard;
pub mod handler;
pub mod heartbeats;
pub mod leaving;
pub mod liveness;
pub mod load_notices;
pub mod membership;
pub mod metrics;
pub mod pending;
pub mod permits;
pub mod placement;
pub mod reach;
pub mod relay;
pub mod requests;
pub mod resumption;
pub mod signals;
pub mod software;
pub mod stream_announcements;
pub mod stream_log;
pub mod stream_notices;
pub mod stream_queries;
pub mod trace;
pub mod usage;

/// Re-exports of the most commonly used types and traits.
pub mod prelude {
    pub use crate::adapter::{
        Attempt, ClientProtocol, EngineAnswer, EngineClient, FeedPage, FeedRecord, KeyedLog,
        KeyedPage, Membership, Platform, ResponseHead, Store, StoreError, StreamPage, Transfer,
    };
    pub use crate::era_watch::EraWatch;
    pub use crate::events::Event;
    pub use crate::gateway::{Gateway, ListenAddresses, Timings};
    pub use apricotwell_http::pool::{ConnectionPool, Reuse, SendError};
}
