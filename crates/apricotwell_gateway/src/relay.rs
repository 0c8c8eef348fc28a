//! Streams of events from servers to callers.

use std::fmt;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use hyper::body::Frame;

use crate::adapter::Platform;
use crate::guard::FlightGuard;
use crate::handler::RequestHandler;
use crate::pool::StreamingResponse;

/// Silence after which a stream that can go on elsewhere is taken from its server.
const STALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Why a stream broke off.
#[derive(Debug)]
pub enum RelayError {
    /// The server's answer broke off.
    Broken(String),
    /// The deadline passed.
    Deadline,
}

impl fmt::Display for RelayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(reason) => write!(f, "the server's stream broke off: {reason}"),
            Self::Deadline => f.write_str("the deadline passed during the stream"),
        }
    }
}

impl std::error::Error for RelayError {}

/// Stream of one answer.
pub struct Relay<P>
where
    P: Platform,
{
    handler: RequestHandler<P>,
    answer: Option<(Box<StreamingResponse>, FlightGuard<P>)>,
    // Bytes of an event that is not whole yet; kept only where the stream can be resumed.
    partial: BytesMut,
    last_event: Option<u64>,
    status: u16,
    ended: bool,
}

impl<P> Relay<P>
where
    P: Platform,
{
    /// Returns the relay of an answer whose head has come.
    pub fn new(
        handler: RequestHandler<P>,
        answer: Box<StreamingResponse>,
        flight: FlightGuard<P>,
    ) -> Self {
        Self {
            last_event: handler.call.last_event,
            status: answer.head.status.as_u16(),
            handler,
            answer: Some((answer, flight)),
            partial: BytesMut::new(),
            ended: false,
        }
    }

    /// Returns the frames for the caller.
    pub fn into_frames(self) -> impl Stream<Item = Result<Frame<Bytes>, RelayError>> {
        futures_util::stream::unfold(self, |mut relay| async move {
            let part = relay.next().await?;
            Some((part.map(Frame::data), relay))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, RelayError>> {
        if self.ended {
            return None;
        }
        loop {
            let (answer, flight) = self.answer.as_mut()?;
            let limit = self.handler.remaining();
            let resumable = self.handler.admission.route.kind.is_repeatable();
            let wait = if resumable {
                limit.min(STALL_TIMEOUT)
            } else {
                limit
            };
            let reason = match tokio::time::timeout(wait, answer.next()).await {
                Err(_) if limit <= wait => return self.fail(RelayError::Deadline),
                // Silence alone is no reason to give up the only server that can go on.
                Err(_) if !self.handler.has_other_server(&flight.server) => continue,
                Err(_) => "no event in time".to_owned(),
                Ok(Some(Err(error))) => error.to_string(),
                Ok(Some(Ok(bytes))) => match self.take_whole(bytes, resumable) {
                    Some(whole) => {
                        self.handler.record_bytes();
                        return Some(Ok(whole));
                    }
                    None => continue,
                },
                Ok(None) if self.partial.is_empty() => return self.finish(),
                Ok(None) => "the stream ended within an event".to_owned(),
            };
            if !resumable || !self.resume(&reason).await {
                return self.fail(RelayError::Broken(reason));
            }
        }
    }

    // Returns the events that are whole, all bytes where the stream can't be resumed.
    fn take_whole(&mut self, bytes: Bytes, resumable: bool) -> Option<Bytes> {
        if !resumable {
            return Some(bytes);
        }
        self.partial.extend_from_slice(&bytes);
        let end = memchr::memmem::rfind(&self.partial, b"\n\n")? + 2;
        let whole = self.partial.split_to(end).freeze();
        self.last_event = last_event_id(&whole).or(self.last_event);
        Some(whole)
    }

    async fn resume(&mut self, reason: &str) -> bool {
        let Some((answer, flight)) = self.answer.take() else {
            return false;
        };
        drop(answer);
        flight.record_outcome(true);
        self.partial.clear();
        self.handler.exclude(&flight.server);
        drop(flight);
        if !self.handler.acquire_retry() {
            return false;
        }
        self.handler.reset_wait_deadline();
        let resumed = self.handler.first_response(self.last_event).await;
        match resumed {
            Ok((answer, flight)) if answer.head.status.as_u16() == self.status => {
                crate::events::Event::new("stream_resumed")
                    .with("request", self.handler.call.attempt.as_str())
                    .with("server", &*flight.server)
                    .with("after_event", self.last_event)
                    .with("reason", reason)
                    .log();
                self.answer = Some((answer, flight));
                true
            }
            Ok(_) => false,
            Err(refusal) => {
                log::info!(
                    "stream {} not resumed: {}",
                    self.handler.call.attempt,
                    refusal.message
                );
                false
            }
        }
    }

    fn finish(&mut self) -> Option<Result<Bytes, RelayError>> {
        self.ended = true;
        let (_, flight) = self.answer.take()?;
        flight.record_outcome(self.status >= 500);
        self.handler
            .log_end("answered", Some(&flight.server), self.status);
        None
    }

    fn fail(&mut self, error: RelayError) -> Option<Result<Bytes, RelayError>> {
        self.ended = true;
        let flight = self.answer.take().map(|(_, flight)| flight);
        if let Some(flight) = &flight {
            flight.record_outcome(true);
        }
        let server = flight.as_ref().map(|flight| &flight.server);
        self.handler.log_end("broken_off", server, self.status);
        Some(Err(error))
    }
}

/// Returns the id of the last event in `events`.
fn last_event_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
