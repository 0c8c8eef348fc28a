//! Limits that the servers of a request name.

use std::time::Instant;

use apricotwell_permits::prelude::{LimitResponse, RequestRate};
use apricotwell_types::ServerId;

use super::RequestHandler;
use crate::adapter::Platform;
use crate::permits::log_limit_changes;

impl<P> RequestHandler<P>
where
    P: Platform,
{
    /// Returns the limit that the server is known to have when a request is sent to it.
    pub(super) fn limit_of(&self, server: &ServerId) -> Option<RequestRate> {
        let dispatcher = self.gateway.dispatcher.borrow();
        let rate = dispatcher.limited.limits.rate(server)?;
        self.gateway.metrics.count_limited_request();
        Some(rate)
    }

    /// Records the limit that a response of a server names, or that it names none.
    pub(super) fn record_limit(&self, server: &ServerId, rate: Option<RequestRate>) {
        let now = self.gateway.now();
        let sent_at = self.sent_at;
        let response = LimitResponse { sent_at, rate };
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        dispatcher
            .limited
            .limits
            .record_response(now, server, response);
        drop(dispatcher);
        log_limit_changes(&self.gateway);
    }

    /// Tries a limited server that has not been used for some time.
    pub(super) fn probe_limits(&self, now: Instant) {
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        if dispatcher.probe_limits(now, &self.admission) {
            self.gateway.permits_due.notify_one();
        }
    }
}
