//! Attempts whose response has not begun in time.

use std::future::Future;
use std::time::Duration;

use apricotwell_quarantine::prelude::NextAttempt;
use apricotwell_types::ServerId;

use super::RequestHandler;
use crate::adapter::Platform;

/// Multiple of the route's latency target after which an attempt of a repeatable request without
/// streaming is abandoned and retried on another server.
const PLAIN_TIMEOUT_FACTOR: u32 = 4;
/// Lower limit of the timeout for the head of a response.
const MIN_HEAD_TIMEOUT: Duration = Duration::from_millis(10);

/// Why an attempt without a response was given up.
pub(super) enum LateHead {
    /// Another server can be tried; the retry is taken.
    Retried,
    /// The request's deadline passed.
    Deadline,
}

impl<P> RequestHandler<P>
where
    P: Platform,
{
    // Waits for the head of a response. An attempt that exceeds `head_timeout` is kept while it can't be
    // retried: the server may still answer, and an answer that is late is better than none.
    pub(super) async fn await_head<F>(
        &self,
        server: &ServerId,
        response: F,
    ) -> Result<F::Output, LateHead>
    where
        F: Future,
    {
        tokio::pin!(response);
        loop {
            let received = tokio::time::timeout(self.head_timeout(), response.as_mut()).await;
            if let Ok(received) = received {
                return Ok(received);
            }
            if self.remaining().is_zero() {
                return Err(LateHead::Deadline);
            }
            if self.may_give_up(server) && self.take_retry("late") {
                return Err(LateHead::Retried);
            }
        }
    }

    // Returns whether an attempt without a response can be replaced: another server has room, and the budget has
    // a retry. If all other servers of the model are full, a retry would only join another queue, and its prompt
    // would be processed twice; a client that waits no longer would be refused.
    fn may_give_up(&self, server: &ServerId) -> bool {
        let now = self.gateway.now();
        let route = &self.admission.route;
        let is_allowed = route.kind.is_repeatable()
            && self.runs + 1 < route.max_attempts
            && now < self.admission.silence_deadline
            && !self.is_list_overdue()
            && self.next_attempt() != NextAttempt::Never;
        is_allowed && self.has_other_server(server) && {
            let mut dispatcher = self.gateway.dispatcher.borrow_mut();
            dispatcher.has_retry(now, &self.admission)
        }
    }

    // Returns the timeout for the head of a response. It is shorter than the time to the deadline
    // if the request can be retried on another server.
    pub(super) fn head_timeout(&self) -> Duration {
        let remaining = self.remaining();
        let route = &self.admission.route;
        if !route.kind.is_repeatable() || self.runs + 1 >= route.max_attempts {
            return remaining;
        }
        let retry_timeout = if route.kind.is_stream() {
            route.target / 2
        } else {
            route.target * PLAIN_TIMEOUT_FACTOR
        };
        let has_other = {
            let dispatcher = self.gateway.dispatcher.borrow();
            let now = self.gateway.now();
            let mut servers = dispatcher.backends.usable(now, &self.admission.service);
            servers
                .by_ref()
                .filter(|server| self.admission.may_run_at(server))
                .filter(|server| server.serves(now, self.admission.requested_model.as_ref()))
                .count()
                > self.excluded.len() + 1
        };
        if has_other {
            remaining.min(retry_timeout.max(MIN_HEAD_TIMEOUT))
        } else {
            remaining
        }
    }
}
