//! Streams whose server has fallen silent.
//!
//! A sound server may be silent for a while, so its response is dropped only once another server has begun to
//! answer the resumption. Whichever speaks first goes on with the stream; if no other one can, the silent server
//! is kept until it speaks, breaks off or the deadline passes.

use std::time::Instant;

use apricotwell_http::pool::StreamingResponse;
use apricotwell_types::ServerId;

use super::continuation::BegunStream;
use super::{Received, Relay};
use crate::adapter::Platform;
use crate::guard::FlightGuard;
use crate::handler::RequestHandler;

/// Reason logged for a stream that leaves a silent server.
const SILENT: &str = "no event in time";

/// How the silence of a server went on.
pub(super) enum Silence {
    /// The server has sent this.
    Ended(Received),
    /// The server is silent, and no other one can go on with the stream.
    Lasts,
    /// Another server goes on with the stream.
    Moved,
    /// The response broke off, and no other server can go on with the stream; holds the reason.
    Broken(String),
}

/// What came first, once another server was asked to go on with the stream.
enum First<P>
where
    P: Platform,
{
    /// The silent server spoke; the other attempt is cancelled.
    Silent(Received),
    /// The other attempt has ended, at the latest at the deadline of the request.
    Other {
        /// The response that goes on with the stream, if there is one.
        continued: Option<(Box<StreamingResponse>, FlightGuard<P>)>,
        /// Why the response of the silent server broke off meanwhile, if it did.
        failure: Option<String>,
    },
}

impl<P> First<P>
where
    P: Platform,
{
    fn is_continued(&self) -> bool {
        matches!(self, Self::Other { continued, .. } if continued.is_some())
    }

    // Returns why the other attempt is cancelled if it has not ended.
    fn cancel_reason(&self) -> &'static str {
        match self {
            Self::Silent(_) => "the silent server went on",
            Self::Other { .. } => "the deadline passed",
        }
    }
}

impl<P> Relay<P>
where
    P: Platform,
{
    /// Waits for the silent server and for another one that may go on with the stream, which is tried once in
    /// each silence: the attempt itself lasts until the client's timeout.
    pub(super) async fn await_either(&mut self) -> Silence {
        let begun = self.begun();
        let truncation = self.scanner.check_end(self.framing).err();
        let can_resume = self.order.can_resume() && !self.has_tried;
        let Some((response, flight)) = &mut self.response else {
            return Silence::Lasts;
        };
        let handler = &mut self.handler;
        if !can_resume || !handler.has_other_server(&flight.server) || !handler.has_retry() {
            return Silence::Lasts;
        }
        self.has_tried = true;
        let former = handler.former_attempt();
        handler.excluded.push(flight.server.clone());
        let truncation = truncation.map(|truncation| truncation.to_string());
        let first = first_of(handler, &flight.server, response, truncation, begun).await;
        let sent_at = former.sent_at;
        handler.cancel_attempt(first.cancel_reason());
        if !first.is_continued() {
            handler.resume_attempt(former, &flight.server);
        }
        match first {
            First::Silent(received) => Silence::Ended(received),
            First::Other { continued, failure } => self.settle(continued, failure, sent_at),
        }
    }

    // Leaves the former response if another one continues the stream or if it broke off.
    fn settle(
        &mut self,
        continued: Option<(Box<StreamingResponse>, FlightGuard<P>)>,
        failure: Option<String>,
        sent_at: Instant,
    ) -> Silence {
        if let (Some(_), Some((_, flight))) = (&failure, &self.response) {
            let handler = &mut self.handler;
            handler.check_crash_since(sent_at, &flight.server, self.began);
        }
        let Some((response, flight)) = continued else {
            return failure.map_or(Silence::Lasts, Silence::Broken);
        };
        let reason = failure.unwrap_or_else(|| SILENT.to_owned());
        // The former server must not work on while the other one does.
        if let Some((former, left)) = self.response.take() {
            drop(former);
            left.record_outcome(true);
        }
        self.end_response(Some(reason.clone()));
        self.clear_incomplete();
        self.join(response, flight, &reason);
        Silence::Moved
    }
}

// Waits until the silent server speaks, or until the attempt to go on elsewhere has ended. If the response of the
// silent server breaks off, which is the `truncation` of it if it merely ends, the attempt goes on.
async fn first_of<P>(
    handler: &mut RequestHandler<P>,
    server: &ServerId,
    response: &mut StreamingResponse,
    truncation: Option<String>,
    begun: BegunStream,
) -> First<P>
where
    P: Platform,
{
    let deadline = tokio::time::sleep(handler.remaining());
    let attempt = async {
        if !handler.may_continue(server).await {
            return None;
        }
        handler.continue_stream(begun).await
    };
    tokio::pin!(deadline, attempt);
    let mut failure = None;
    loop {
        tokio::select! {
            biased;
            received = response.next(), if failure.is_none() => {
                failure = match &received {
                    Some(Err(error)) => Some(error.to_string()),
                    None => truncation.clone(),
                    Some(Ok(_)) => None,
                };
                if failure.is_none() {
                    return First::Silent(received);
                }
            }
            continued = &mut attempt => return First::Other { continued, failure },
            () = &mut deadline => return First::Other { continued: None, failure },
        }
    }
}
