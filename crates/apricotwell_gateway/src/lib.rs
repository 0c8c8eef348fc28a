//! Sockets and timers round the decisions of `apricotwell_dispatch`.
//!
//! One process is one instance of the fleet. All of its tasks share a [`gateway::Gateway`] on one
//! thread. What the platform's names and formats are stands in an adapter, see [`adapter`]; this
//! crate works with any.
//!
//! The connections of callers and servers are `hyper`'s, since both ends have to be watched while a
//! request waits; `docs/design/platform.md` gives the measurement against `actix-web` and `awc`.

pub mod adapter;
pub mod asking;
pub mod budget;
pub mod clock;
pub mod daemon;
pub mod events;
pub mod feeds;
pub mod fleet;
pub mod front;
pub mod gateway;
pub mod guard;
pub mod heartbeats;
pub mod metrics;
pub mod placing;
pub mod pool;
pub mod relay;
pub mod spending;
pub mod ticket;

/// What nearly every user of the crate needs.
pub mod prelude {
    pub use crate::adapter::{
        Attempt, ClaimRecord, ClientProtocol, EngineClient, FeedPage, FeedRecord, LastClaim,
        Membership, Platform, ResponseHead, Store, StoreError,
    };
    pub use crate::events::Event;
    pub use crate::gateway::{Gateway, ListenAddresses, Timings};
    pub use crate::pool::{ConnectionPool, Reuse, SendError};
}
