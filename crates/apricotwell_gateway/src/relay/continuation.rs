//! Servers that go on with a stream that has begun.

use apricotwell_http::pool::StreamingResponse;
use apricotwell_types::ServerId;

use crate::adapter::Platform;
use crate::events::Event;
use crate::guard::FlightGuard;
use crate::handler::RequestHandler;
use crate::resumption::{self, Mismatch, StreamHead};

/// What another server must continue of a stream.
#[derive(Clone, Copy, Debug)]
pub(super) struct BegunStream {
    /// Id of the event that was relayed last.
    pub(super) last_event: Option<u64>,
    /// Head of the response that has begun.
    pub(super) head: StreamHead,
}

impl<P> RequestHandler<P>
where
    P: Platform,
{
    /// Sends attempts until a server has begun to answer with a head that may be joined to the stream;
    /// returns `None` if none does. The caller has taken the retry for the first one.
    pub(super) async fn continue_stream(
        &mut self,
        begun: BegunStream,
    ) -> Option<(Box<StreamingResponse>, FlightGuard<P>)> {
        loop {
            let resumed = self.first_response(begun.last_event).await;
            let (response, flight) = match resumed {
                Ok(resumed) => resumed,
                Err(refusal) => {
                    self.log_not_resumed("no_server", &refusal.message);
                    return None;
                }
            };
            let checked = resumption::check_head(&response.head, response.framing(), begun.head);
            let Err(mismatch) = checked else {
                return Some((response, flight));
            };
            self.log_rejected(&flight.server, begun.last_event, mismatch);
            flight.record_outcome(!response.head.status.is_client_error());
            let is_left = self.has_other_server(&flight.server) && self.may_leave(flight).await;
            if !is_left {
                return None;
            }
        }
    }

    /// Returns whether the stream may be resumed elsewhere after the response of a server failed.
    pub(super) async fn may_leave(&mut self, flight: FlightGuard<P>) -> bool {
        let server = flight.server.clone();
        drop(flight);
        self.exclude(&server);
        self.may_continue(&server).await
    }

    /// Returns whether an attempt at a server other than `server` may go on with the stream; takes its retry.
    pub(super) async fn may_continue(&mut self, server: &ServerId) -> bool {
        if !self.may_go_on(server).await || !self.acquire_retry() {
            return false;
        }
        self.reset_wait_deadline();
        true
    }

    /// Logs a response that is not joined to the stream.
    pub(super) fn log_rejected(
        &self,
        server: &ServerId,
        last_event: Option<u64>,
        mismatch: Mismatch,
    ) {
        Event::new("resumption_rejected")
            .with("request", self.request.attempt.as_str())
            .with("server", &**server)
            .with("after_event", last_event)
            .with("reason", mismatch.to_string())
            .log();
    }
}
