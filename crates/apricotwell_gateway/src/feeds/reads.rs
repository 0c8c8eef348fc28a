//! Log lines about reads of the store.

use std::time::{Duration, Instant};

use apricotwell_types::Offset;

use super::Follower;
use crate::adapter::{FeedPage, Platform, StoreError};
use crate::events::Event;

/// Time for the body of a response from which on its read is logged, whatever it brought.
const SLOW_TRANSFER: Duration = Duration::from_millis(250);
/// Size of a response from which on its read is logged.
const LARGE_BYTES: usize = 64 << 10;

impl<P> Follower<P>
where
    P: Platform,
{
    // Logs a read that brought much or took long.
    pub(super) fn log_read(&self, from: Option<Offset>, page: &FeedPage) {
        let transfer = page.transfer;
        if transfer.bytes < LARGE_BYTES && transfer.body_time < SLOW_TRANSFER {
            return;
        }
        Event::new("feed_read")
            .with("feed", format!("{:?}", self.feed))
            .with("from", from)
            .with("next", page.next)
            .with("records", page.records.len())
            .with("is_end", page.is_end)
            .with("bytes", transfer.bytes)
            .with_time("head_ms", transfer.head_time)
            .with_time("body_ms", transfer.body_time)
            .with_time("decode_ms", transfer.decode_time)
            .with_optional_time("age_ms", self.known_age())
            .log();
    }

    // Logs a read that began at `start` and failed.
    pub(super) fn log_failed_read(&self, start: Instant, error: &StoreError) {
        let time = self.gateway.now().saturating_duration_since(start);
        Event::new("feed_read_failed")
            .with("feed", format!("{:?}", self.feed))
            .with("from", self.next)
            .with("reason", error.to_string())
            .with_time("ms", time)
            .with_optional_time("age_ms", self.known_age())
            .log();
    }
}
