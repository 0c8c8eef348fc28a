//! Other instances that are asked for a feed while the store does not answer.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use apricotwell_dispatch::freshness::QUERY_INTERVAL;
use apricotwell_types::{InstanceId, Offset};

use super::Follower;
use crate::adapter::{FeedPage, Platform, Store, StoreError};

/// Pause between two queries to other instances while a read of the store takes long.
const FALLBACK_INTERVAL: Duration = Duration::from_millis(200);

impl<P> Follower<P>
where
    P: Platform,
{
    // Reads a page of the store. While that takes so long that the view gets old, others are asked.
    pub(super) async fn read_page(
        &mut self,
        from: Option<Offset>,
        wait: Duration,
    ) -> Result<FeedPage, StoreError> {
        let (gateway, feed) = (Rc::clone(&self.gateway), self.feed);
        let Some(from) = from else {
            return gateway.store.newest(feed).await;
        };
        let mut read = pin!(gateway.store.read(feed, from, wait));
        let mut pause = self.time_left();
        loop {
            tokio::select! {
                biased;
                page = &mut read => return page,
                () = self.query_fallback(pause) => {}
            }
            pause = self.time_left().max(FALLBACK_INTERVAL);
        }
    }

    // Queries an instance that helps, after a pause.
    async fn query_fallback(&mut self, pause: Duration) {
        tokio::time::sleep(pause).await;
        if let Some(helper) = self.next_fallback()
            && let Some(from) = self.next
        {
            self.query_peer(&helper, from, QUERY_INTERVAL).await;
        }
    }

    // Returns the next instance to ask while the store does not answer, each in its turn.
    pub(super) fn next_fallback(&mut self) -> Option<InstanceId> {
        let now = self.gateway.now();
        let mut helpers = self.gateway.dispatcher.borrow().feed_helpers(now);
        if helpers.is_empty() {
            return None;
        }
        self.fallback_turn = self.fallback_turn.wrapping_add(1);
        Some(helpers.swap_remove(self.fallback_turn % helpers.len()))
    }
}
