//! Configuration of an instance under test, with the bounds of the users' sites.

use std::time::Duration;

use apricotwell_dispatch::prelude::*;
use apricotwell_types::InstanceId;

/// Time within which a revoked key must stop working.
pub(crate) const REVOCATION: Duration = Duration::from_secs(5);

/// Returns the configuration of an instance that clients reach at `address`.
pub(crate) fn config(id: InstanceId, incarnation: u64, address: String) -> InstanceConfig {
    InstanceConfig {
        id,
        incarnation,
        zone: "a".into(),
        address,
        first_start: true,
        revocation_bound: REVOCATION,
        change_bounds: ChangeBounds {
            configuration: Duration::from_secs(2),
            servers: Duration::from_secs(2),
        },
        server_heartbeat: Duration::from_millis(1200),
        quota: QuotaBounds {
            window: Duration::from_secs(8),
            excess: 0.1,
            slack: 11_000.0,
        },
        retries: RetryBounds {
            ratio: 0.2,
            window: Duration::from_secs(10),
            slack: 58.0,
        },
        warmup: WarmupBounds {
            excess: 1.5,
            slack: 5.0,
        },
        lease: LeaseConfig {
            term: Duration::from_secs(2),
            handover_pause: Duration::from_secs(3),
            max_renewal_gap: Duration::from_millis(700),
            fenced: true,
        },
        load_aware: false,
    }
}
