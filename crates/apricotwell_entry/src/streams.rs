//! Responses that are forwarded while they are received.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::Stream;
use tokio::time::{Sleep, sleep};

use apricotwell_framing::BodyScanner;
use apricotwell_http::pool::StreamingResponse;
use apricotwell_node::{AttemptOutcome, StoredAnswer};
use apricotwell_types::{Refusal, RefusalKind, RequestId, RunOutcome, Tokens};

use crate::NodeDriver;
use crate::relay::usage_tokens;
use crate::responses::error_body;

/// Interval at which open streams are checked for progress.
pub(crate) const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// Time for sending the error event before the connection is aborted.
const ERROR_FLUSH_DELAY: Duration = Duration::from_millis(50);
/// Marker at the end of an event stream.
const DONE_MARKER: &[u8] = b"data: [DONE]";
/// Bytes of a stream's end that are kept to find the done marker and the usage event.
const TAIL_BYTES: usize = 4096;

/// Size limit of a forwarded response: a larger one is taken for one without an end.
const MAX_FORWARDED_BYTES: usize = 16 << 20;

thread_local! {
    static OPEN_STREAMS: RefCell<Vec<Weak<StreamState>>> = const { RefCell::new(Vec::new()) };
}

/// Keeps the end of an event stream, to find its done marker and the usage event.
#[derive(Debug, Default)]
struct StreamTail {
    tail: Vec<u8>,
}

impl StreamTail {
    fn feed(&mut self, chunk: &[u8]) {
        let recent = &chunk[chunk.len().saturating_sub(TAIL_BYTES)..];
        if self.tail.len() + recent.len() > TAIL_BYTES * 4 {
            let excess = self.tail.len().saturating_sub(TAIL_BYTES);
            self.tail.drain(..excess);
        }
        self.tail.extend_from_slice(recent);
    }

    // Returns whether the last line that is neither empty nor a comment is the done marker.
    fn is_done(&self) -> bool {
        let mut lines = self
            .tail
            .rsplit(|byte| matches!(byte, b'\n' | b'\r'))
            .filter(|line| !line.is_empty() && !line.starts_with(b":"));
        lines.next().is_some_and(|line| line == DONE_MARKER)
    }

    // Returns the tokens from the usage event. Without one, counts one token for each event
    // besides the prompt.
    fn tokens(&self, prompt_tokens: Tokens, events: u64) -> Tokens {
        let text = String::from_utf8_lossy(&self.tail);
        let mut data = text.lines().filter_map(|line| line.strip_prefix("data: "));
        let usage = data.rfind(|line| line.contains("\"usage\":{"));
        usage
            .and_then(|line| usage_tokens(line.as_bytes()))
            .unwrap_or(prompt_tokens + events)
    }
}

/// Returns whether a whole event stream ends with the done marker.
pub(crate) fn is_done(body: &[u8]) -> bool {
    let mut tail = StreamTail::default();
    tail.feed(body);
    tail.is_done()
}

/// Request and attempt that a forwarded response belongs to.
pub(crate) struct StreamContext {
    pub(crate) driver: Arc<NodeDriver>,
    pub(crate) request: RequestId,
    pub(crate) attempt: String,
    pub(crate) prompt_tokens: Tokens,
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) is_event_stream: bool,
    // Whether the body is stored to answer repeated requests.
    pub(crate) store_body: bool,
}

struct StreamState {
    context: StreamContext,
    // Set to `None` to close the connection to the backend server.
    payload: RefCell<Option<StreamingResponse>>,
    last_poll: Cell<Instant>,
    last_data: Cell<Instant>,
    awaiting_server: Cell<bool>,
    waker: RefCell<Option<Waker>>,
    closed: Cell<bool>,
}

impl StreamState {
    fn close(&self, outcome: AttemptOutcome) {
        self.payload.borrow_mut().take();
        if !self.closed.replace(true) {
            let context = &self.context;
            context
                .driver
                .finish_attempt(context.request, &context.attempt, outcome);
        }
    }
}

/// Response body that forwards a backend server's response unchanged.
pub(crate) struct ResponseStream {
    state: Rc<StreamState>,
    body: BodyScanner,
    tail: StreamTail,
    // Bytes of the body so far.
    forwarded: usize,
    stored_body: Option<Vec<u8>>,
    // Set once an error event has been sent. The connection is aborted after this delay rather
    // than at once, because a body error discards data that is not yet written.
    flush_delay: Option<Pin<Box<Sleep>>>,
}

impl ResponseStream {
    pub(crate) fn new(context: StreamContext, payload: StreamingResponse) -> Self {
        let now = Instant::now();
        let body = payload.scanner();
        let stored_body = context.store_body.then(Vec::new);
        let state = Rc::new(StreamState {
            context,
            payload: RefCell::new(Some(payload)),
            last_poll: Cell::new(now),
            last_data: Cell::new(now),
            awaiting_server: Cell::new(false),
            waker: RefCell::new(None),
            closed: Cell::new(false),
        });
        OPEN_STREAMS.with_borrow_mut(|open| open.push(Rc::downgrade(&state)));
        Self {
            state,
            body,
            tail: StreamTail::default(),
            forwarded: 0,
            stored_body,
            flush_delay: None,
        }
    }

    fn forward(&mut self, chunk: Bytes) -> Poll<Option<io::Result<Bytes>>> {
        self.body.feed(&chunk);
        self.forwarded += chunk.len();
        if self.body.is_oversized() || self.forwarded > MAX_FORWARDED_BYTES {
            return self.fail(AttemptOutcome::Disconnected { partial: true });
        }
        if self.state.context.is_event_stream {
            self.tail.feed(&chunk);
        }
        let limit = self.state.context.driver.settings().requests.max_kept_bytes;
        if let Some(stored_body) = &mut self.stored_body {
            stored_body.extend_from_slice(&chunk);
            if stored_body.len() > limit {
                self.stored_body = None;
            }
        }
        Poll::Ready(Some(Ok(chunk)))
    }

    fn finish(&mut self) -> Poll<Option<io::Result<Bytes>>> {
        let context = &self.state.context;
        let is_cut = self.body.check_end().is_err();
        if is_cut || (context.is_event_stream && !self.tail.is_done()) {
            return self.fail(AttemptOutcome::Disconnected { partial: true });
        }
        let used = context
            .is_event_stream
            .then(|| self.tail.tokens(context.prompt_tokens, self.body.events()));
        let answer = StoredAnswer {
            status: context.status,
            content_type: context.content_type.clone(),
            body: self.stored_body.take(),
        };
        context.driver.metrics().count_response(self.body.events());
        self.state.close(AttemptOutcome::Answered { answer, used });
        Poll::Ready(None)
    }

    // Sends an error event that reports the truncation, then aborts the connection.
    fn fail(&mut self, outcome: AttemptOutcome) -> Poll<Option<io::Result<Bytes>>> {
        let stalled = matches!(outcome, AttemptOutcome::Stalled { .. });
        self.state.close(outcome);
        if !self.state.context.is_event_stream {
            return aborted();
        }
        self.flush_delay = Some(Box::pin(sleep(ERROR_FLUSH_DELAY)));
        let message = if stalled {
            "the backend server made no progress in time; the response is incomplete"
        } else {
            "the connection to the backend server broke; the response is incomplete"
        };
        let refusal = Refusal::not_run(RefusalKind::BackendFailed, message);
        let refusal = refusal.with_outcome(RunOutcome::Unknown);
        let event = format!("data: {}\n\n", error_body(&refusal));
        Poll::Ready(Some(Ok(Bytes::from(event))))
    }
}

impl Stream for ResponseStream {
    type Item = io::Result<Bytes>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        let state = this.state.clone();
        let now = Instant::now();
        state.last_poll.set(now);
        if let Some(flush_delay) = &mut this.flush_delay {
            return match flush_delay.as_mut().poll(cx) {
                Poll::Ready(()) => aborted(),
                Poll::Pending => Poll::Pending,
            };
        }
        let polled = {
            let mut payload = state.payload.borrow_mut();
            payload.as_mut().map(|payload| payload.poll_next(cx))
        };
        let Some(polled) = polled else {
            return this.fail(AttemptOutcome::Stalled { partial: true });
        };
        match polled {
            Poll::Ready(Some(Ok(chunk))) => {
                state.awaiting_server.set(false);
                state.last_data.set(now);
                this.forward(chunk)
            }
            Poll::Ready(Some(Err(_))) => this.fail(AttemptOutcome::Disconnected { partial: true }),
            Poll::Ready(None) => this.finish(),
            Poll::Pending => {
                state.awaiting_server.set(true);
                *state.waker.borrow_mut() = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        self.state.close(AttemptOutcome::ClientGone);
    }
}

fn aborted() -> Poll<Option<io::Result<Bytes>>> {
    let error = io::Error::new(
        io::ErrorKind::ConnectionAborted,
        "the response is incomplete",
    );
    Poll::Ready(Some(Err(error)))
}

/// Closes the streams of this thread whose backend server or client makes no progress.
pub(crate) fn sweep(now: Instant, progress_timeout: Duration, client_timeout: Duration) {
    let open: Vec<Rc<StreamState>> = OPEN_STREAMS.with_borrow_mut(|open| {
        open.retain(|stream| stream.strong_count() > 0);
        open.iter().filter_map(Weak::upgrade).collect()
    });
    for stream in open {
        if stream.closed.get() {
            continue;
        }
        let awaits_server = stream.awaiting_server.get();
        if awaits_server && now >= stream.last_data.get() + progress_timeout {
            stream.close(AttemptOutcome::Stalled { partial: true });
            if let Some(waker) = stream.waker.borrow_mut().take() {
                waker.wake();
            }
        } else if !awaits_server && now >= stream.last_poll.get() + client_timeout {
            stream.close(AttemptOutcome::ClientGone);
        }
    }
}

/// Aborts all streams of this thread, as a forced shutdown does.
pub(crate) fn abort_all() {
    let open: Vec<Rc<StreamState>> =
        OPEN_STREAMS.with_borrow(|open| open.iter().filter_map(Weak::upgrade).collect());
    for stream in open {
        stream.close(AttemptOutcome::Disconnected { partial: true });
        if let Some(waker) = stream.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

#[cfg(test)]
#[path = "streams_tests.rs"]
mod tests;
