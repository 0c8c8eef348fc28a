//! Decision logic of an instance whose fleet coordinates through the platform's store.
//!
//! Every type here is a state machine without I/O: the current time and all events are passed in.
//! The sockets and timers are in `apricotwell_gateway`. Instants must come from a clock that also
//! advances while the machine is suspended. See `docs/design/platform.md`.
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant};
//! use apricotwell_dispatch::prelude::*;
//!
//! let now = Instant::now();
//! let mut freshness = Freshness::new(Duration::from_secs(5));
//! assert!(!freshness.is_usable(now));
//! freshness.record_read(now);
//! assert!(freshness.is_usable(now + Duration::from_secs(3)));
//! assert!(!freshness.is_usable(now + Duration::from_secs(5)));
//! ```

pub mod backends;
pub mod catalog;
pub mod demand;
pub mod dispatcher;
pub mod engine_load;
pub mod engine_speed;
pub mod entry_order;
pub mod evacuation;
pub mod feeds;
pub mod former_routes;
pub mod freshness;
pub mod inventory_updates;
pub mod lease;
pub mod lease_log;
pub mod leaving_servers;
pub mod load_notices;
pub mod log_position;
pub mod model;
pub mod orders;
pub mod outages;
pub mod peers;
pub mod placement;
pub mod prompt_cache;
pub mod prompt_lanes;
pub mod quota;
pub mod reach;
pub mod request;
pub mod retries;
pub mod returned_servers;
pub mod run_times;
pub mod saved_streams;
pub mod software;
pub mod software_record;
pub mod standstills;
pub mod store_contact;
pub mod store_era;
pub mod stream_memory;
pub mod waiting;
pub mod warmup;

/// Types that nearly every user of the crate needs.
pub mod prelude {
    pub use crate::backends::{BackendEntry, BackendTable};
    pub use crate::catalog::{
        Catalog, ClientLimits, EngineSpec, ModelSpec, Organisation, Route, RouteKind, Service,
        ServiceId, Warmup,
    };
    pub use crate::dispatcher::{Admission, Dispatcher, InstanceConfig, RoutingDecision, Turn};
    pub use crate::engine_load::{RequestLoad, RequestProgress};
    pub use crate::engine_speed::SpeedChange;
    pub use crate::evacuation::EvacuationChange;
    pub use crate::feeds::{Feed, FeedSource, ServerListChange};
    pub use crate::freshness::{ChangeBounds, Freshness};
    pub use crate::inventory_updates::InventoryUpdates;
    pub use crate::lease::{
        ClaimStatus, FenceConflict, GroupView, Lease, LeaseAction, LeaseConfig, Standing,
    };
    pub use crate::lease_log::{
        AppendReceipt, ClaimCopy, ClaimRecord, KnownClaim, LastClaim, LastCopies,
    };
    pub use crate::model::{AdapterName, Inventory, ModelName, RequestedModel};
    pub use crate::orders::{Operation, OrderReply, StatusReport};
    pub use crate::quota::QuotaBounds;
    pub use crate::request::{AttemptId, LastEvent, PromptSegment, RequestHead, TokenUsage};
    pub use crate::retries::RetryBounds;
    pub use crate::software::{ListedSoftware, SoftwareTable, SoftwareVersion, known_version};
    pub use crate::store_era::{EraChange, EraTracker};
    pub use crate::waiting::{TicketId, TurnEstimate, WaitCause};
    pub use crate::warmup::WarmupBounds;
}
