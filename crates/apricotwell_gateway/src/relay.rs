//! Relay of event streams from servers to clients.

mod continuation;
mod silence;

use std::fmt;
use std::time::{Duration, Instant};

use apricotwell_framing::{BodyFraming, EventScanner};
use apricotwell_http::pool::StreamingResponse;
use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use hyper::body::Frame;

use crate::adapter::Platform;
use crate::budget::Reservation;
use crate::guard::FlightGuard;
use crate::handler::{BEGINNING_TIME, RequestHandler};
use crate::resumption::{self, EventOrder, Mismatch, StreamHead};
use crate::trace::ReceivedBody;

use self::continuation::BegunStream;
use self::silence::Silence;

/// Time without data after which a server that may go on with a resumable stream is looked for, again and again
/// while there is none.
const STALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Bytes of an incomplete event that a stream may always hold, more than a usual event has: 20 MB for all
/// connections of clients.
const FREE_EVENT_BYTES: usize = 8 << 10;

/// Error that ends a stream early.
#[derive(Debug)]
pub enum RelayError {
    /// The server's response failed, and the stream could not be resumed.
    Broken(String),
    /// The request's deadline passed.
    Deadline,
}

impl fmt::Display for RelayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(reason) => write!(f, "the server's stream failed: {reason}"),
            Self::Deadline => f.write_str("the deadline passed during the stream"),
        }
    }
}

impl std::error::Error for RelayError {}

/// What a response brought: bytes, an error, or its end.
type Received = Option<Result<Bytes, hyper::Error>>;

/// What is known of bytes or of an end that was received.
enum Examined {
    /// Whole events, to be relayed.
    Events(Bytes),
    /// Part of an event.
    Nothing,
    /// The response is complete.
    End,
}

/// Relay of one response stream; resumes it on another server if possible.
pub struct Relay<P>
where
    P: Platform,
{
    handler: RequestHandler<P>,
    response: Option<(Box<StreamingResponse>, FlightGuard<P>)>,
    // Bytes of an event that is not yet complete; always empty if the stream can't be resumed.
    incomplete_event: BytesMut,
    // Reservation for its bytes beyond the free ones.
    event_bytes: Option<Reservation>,
    // Framing of the last server's response, and the position in it.
    framing: BodyFraming,
    scanner: EventScanner,
    order: EventOrder,
    // Whether the response is an event stream, so that its bytes can be checked.
    has_events: bool,
    // Time at which the first bytes of the last server's response were received.
    began: Option<Instant>,
    // Whether that response showed the request to be sound.
    is_sound: bool,
    // Whether a silence of that response was logged.
    is_silence_logged: bool,
    // Whether another server was tried since bytes were last received.
    has_tried: bool,
    status: u16,
    ended: bool,
}

impl<P> Relay<P>
where
    P: Platform,
{
    /// Creates the relay of a response whose head was received.
    pub fn new(
        handler: RequestHandler<P>,
        response: Box<StreamingResponse>,
        flight: FlightGuard<P>,
    ) -> Self {
        Self {
            order: EventOrder::new(handler.request.last_event_id()),
            has_events: resumption::is_event_stream(&response.head.headers),
            status: response.head.status.as_u16(),
            framing: response.framing(),
            handler,
            response: Some((response, flight)),
            incomplete_event: BytesMut::new(),
            event_bytes: None,
            scanner: EventScanner::default(),
            began: None,
            is_sound: false,
            is_silence_logged: false,
            has_tried: false,
            ended: false,
        }
    }

    /// Returns the stream of frames for the client.
    pub fn into_frames(self) -> impl Stream<Item = Result<Frame<Bytes>, RelayError>> {
        futures_util::stream::unfold(self, |mut relay| async move {
            let chunk = relay.next().await?;
            Some((chunk.map(Frame::data), relay))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, RelayError>> {
        if self.ended {
            return None;
        }
        loop {
            let received = match self.receive().await? {
                Ok(Some(received)) => received,
                Ok(None) => continue,
                Err(error) => return self.fail(error),
            };
            self.has_tried = false;
            let reason = match self.examine(received) {
                Ok(Examined::Events(events)) => {
                    self.handler.bind_delivered();
                    self.handler.announce_stream().await;
                    self.handler.record_bytes();
                    return Some(Ok(events));
                }
                Ok(Examined::Nothing) => continue,
                Ok(Examined::End) => return self.finish(),
                Err(reason) => reason,
            };
            if !self.is_resumable() || !self.resume(&reason).await {
                return self.fail(RelayError::Broken(reason));
            }
        }
    }

    fn is_resumable(&self) -> bool {
        self.has_events && self.handler.admission.route.kind.is_repeatable()
    }

    // Waits for the next bytes; returns `None` if the server was silent, also if another one goes on now.
    async fn receive(&mut self) -> Option<Result<Option<Received>, RelayError>> {
        let remaining = self.handler.remaining();
        let wait = if self.is_resumable() {
            remaining.min(STALL_TIMEOUT)
        } else {
            remaining
        };
        let (response, _) = self.response.as_mut()?;
        if let Ok(received) = tokio::time::timeout(wait, response.next()).await {
            return Some(Ok(Some(received)));
        }
        if remaining <= wait {
            return Some(Err(RelayError::Deadline));
        }
        self.log_silence();
        Some(match self.await_either().await {
            Silence::Ended(received) => Ok(Some(received)),
            Silence::Lasts | Silence::Moved => Ok(None),
            Silence::Broken(reason) => Err(RelayError::Broken(reason)),
        })
    }

    // Returns what was received; the error is the reason for which the response must not go on.
    fn examine(&mut self, received: Received) -> Result<Examined, String> {
        let reason = match received {
            Some(Ok(bytes)) => {
                let events = self.take_complete_events(bytes, self.is_resumable())?;
                return Ok(events.map_or(Examined::Nothing, Examined::Events));
            }
            Some(Err(error)) => error.to_string(),
            None => match self.scanner.check_end(self.framing) {
                Ok(()) => return Ok(Examined::End),
                Err(truncation) => truncation.to_string(),
            },
        };
        if let Some((_, flight)) = &self.response {
            self.handler.check_crash(&flight.server, self.began);
        }
        Err(reason)
    }

    // Logs the first silence of a response, and whether the stream could go on elsewhere.
    fn log_silence(&mut self) {
        let Some((_, flight)) = &self.response else {
            return;
        };
        if std::mem::replace(&mut self.is_silence_logged, true) {
            return;
        }
        let handler = &self.handler;
        let now = handler.gateway.now();
        crate::events::Event::new("server_silent")
            .with("request", handler.request.attempt.as_str())
            .with("server", &*flight.server)
            .with("after_event", self.order.last())
            .with_optional_time("silence_ms", handler.trace.silence(now))
            .with("has_other", handler.has_other_server(&flight.server))
            .with("retry_left", handler.has_retry())
            .log();
    }

    // Records the parts of the request as sound once the response has gone on for some time.
    fn record_progress(&mut self) {
        let now = self.handler.gateway.now();
        let began = *self.began.get_or_insert(now);
        let has_begun = now.saturating_duration_since(began) >= BEGINNING_TIME;
        if has_begun && !self.is_sound {
            self.is_sound = true;
            self.handler.record_sound(began);
        }
    }

    // Records the events for the load and the speed of the server.
    fn record_events(&mut self, events: u32) {
        let now = self.handler.gateway.now();
        let requested = self.handler.admission.requested_model.as_ref();
        if let (Some((_, flight)), Some(requested)) = (&mut self.response, requested) {
            flight.record_events(now, &requested.model, events);
        }
    }

    // Returns the complete events received so far; returns all bytes if the stream can't be
    // resumed. The error is the reason for which they must not be relayed.
    fn take_complete_events(
        &mut self,
        bytes: Bytes,
        resumable: bool,
    ) -> Result<Option<Bytes>, String> {
        self.record_progress();
        let known = self.scanner.events();
        let is_between_events = self.scanner.partial_bytes() == 0;
        let events_end = self.scanner.feed(&bytes);
        self.record_events((self.scanner.events() - known) as u32);
        if self.scanner.is_oversized() {
            return Err("an event is too large".to_owned());
        }
        if !resumable {
            if self.has_events {
                let checked = resumption::check_bytes(&bytes, is_between_events);
                checked.map_err(|mismatch| mismatch.to_string())?;
            }
            return Ok(Some(bytes));
        }
        let held = self.incomplete_event.len();
        let Some(events_end) = events_end else {
            if !self.may_hold(held + bytes.len()) {
                return Err("the incomplete events of all streams are too large".to_owned());
            }
            self.incomplete_event.extend_from_slice(&bytes);
            return Ok(None);
        };
        self.incomplete_event.extend_from_slice(&bytes);
        let events = self.incomplete_event.split_to(held + events_end).freeze();
        // What follows the events is shorter than a chunk.
        self.event_bytes = None;
        let checked = self.order.take(&events);
        checked.map_err(|mismatch| self.reject_events(mismatch))?;
        Ok(Some(events))
    }

    // Returns whether this stream may hold that many bytes of an incomplete event: many large ones at once would
    // take the memory that the requests of others need.
    fn may_hold(&mut self, bytes: usize) -> bool {
        let counted = bytes.saturating_sub(FREE_EVENT_BYTES);
        if counted == 0 {
            return true;
        }
        match &mut self.event_bytes {
            Some(reservation) => reservation.resize(counted),
            None => {
                self.event_bytes = self.handler.gateway.event_budget.try_reserve(counted);
                self.event_bytes.is_some()
            }
        }
    }

    // A server that ends may send such events before its connection breaks.
    fn reject_events(&mut self, mismatch: Mismatch) -> String {
        if let Some((_, flight)) = &self.response {
            let handler = &self.handler;
            handler.log_rejected(&flight.server, self.order.last(), mismatch);
            self.handler.check_crash(&flight.server, self.began);
        }
        mismatch.to_string()
    }

    // Resumes the stream on another server after the last complete event; returns whether it
    // succeeded.
    async fn resume(&mut self, reason: &str) -> bool {
        if !self.order.can_resume() {
            return false;
        }
        let Some((response, left)) = self.response.take() else {
            return false;
        };
        drop(response);
        self.end_response(Some(reason.to_owned()));
        left.record_outcome(true);
        if !self.handler.may_move() {
            let reason = "the software version of its server is unknown";
            self.handler.log_not_resumed("unknown", reason);
            return false;
        }
        self.clear_incomplete();
        if !self.handler.may_leave(left).await {
            return false;
        }
        let begun = self.begun();
        let Some((response, flight)) = self.handler.continue_stream(begun).await else {
            return false;
        };
        self.join(response, flight, reason);
        true
    }

    // Drops the bytes of an event that will not be complete; the buffer may be large.
    fn clear_incomplete(&mut self) {
        self.incomplete_event = BytesMut::new();
        self.event_bytes = None;
    }

    fn begun(&self) -> BegunStream {
        BegunStream {
            last_event: self.order.last(),
            head: StreamHead {
                status: self.status,
                framing: self.framing,
            },
        }
    }

    // Continues the stream with another response.
    fn join(&mut self, response: Box<StreamingResponse>, flight: FlightGuard<P>, reason: &str) {
        crate::events::Event::new("stream_resumed")
            .with("request", self.handler.request.attempt.as_str())
            .with("server", &*flight.server)
            .with("after_event", self.order.last())
            .with("software", self.handler.admission.bound.as_deref())
            .with("reason", reason)
            .log();
        self.handler.gateway.metrics.count_resumption("resumed");
        self.framing = response.framing();
        self.scanner = EventScanner::default();
        self.order.resume();
        self.began = None;
        self.is_sound = false;
        self.is_silence_logged = false;
        self.has_tried = false;
        self.response = Some((response, flight));
    }

    fn finish(&mut self) -> Option<Result<Bytes, RelayError>> {
        self.ended = true;
        let (_, flight) = self.response.take()?;
        flight.record_outcome(self.status >= 500);
        self.handler.record_run_time();
        if let Some(began) = self.began {
            self.handler.record_sound(began);
        }
        self.end_response(None);
        self.handler
            .log_end("answered", Some(&flight.server), self.status);
        None
    }

    fn fail(&mut self, error: RelayError) -> Option<Result<Bytes, RelayError>> {
        self.ended = true;
        if self.response.is_some() {
            self.end_response(Some(error.to_string()));
        }
        let flight = self.response.take().map(|(_, flight)| flight);
        if let Some(flight) = &flight {
            flight.record_outcome(true);
        }
        let server = flight.as_ref().map(|flight| &flight.server);
        self.handler.log_end("broken_off", server, self.status);
        Some(Err(error))
    }

    fn end_response(&mut self, failure: Option<String>) {
        self.handler.end_response(ReceivedBody {
            framing: self.framing,
            events: self.scanner.events(),
            partial_bytes: self.scanner.partial_bytes(),
            failure,
        });
    }
}
