//! Answers that are passed on while they come.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use awc::ClientResponse;
use bytes::Bytes;
use futures_util::Stream;
use tokio::time::{Sleep, sleep};

use apricotwell_node::{AttemptOutcome, StoredAnswer};
use apricotwell_types::{Refusal, RefusalKind, RequestId, RunOutcome, Tokens};

use crate::NodeDriver;
use crate::answer::error_body;
use crate::relay::usage_tokens;

/// Time between two looks at the open streams.
pub(crate) const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// Time in which the event that tells of a failure leaves.
const FAREWELL: Duration = Duration::from_millis(50);
/// Mark that ends a stream of events.
const DONE: &[u8] = b"data: [DONE]";
/// Bytes of a stream's end that are kept to find its mark and its usage.
const TAIL_BYTES: usize = 4096;

thread_local! {
    static OPEN: RefCell<Vec<Weak<Inner>>> = const { RefCell::new(Vec::new()) };
}

/// Counts the events of a stream and finds its end.
#[derive(Debug, Default)]
struct EventScanner {
    events: u64,
    after_newline: bool,
    tail: Vec<u8>,
}

impl EventScanner {
    fn feed(&mut self, chunk: &[u8]) {
        let mut rest = 0;
        for newline in memchr::memchr_iter(b'\n', chunk) {
            // An event ends with an empty line, whose end may be written as CR LF.
            let line = &chunk[rest..newline];
            let is_empty = line.is_empty() || line == b"\r";
            if is_empty && self.after_newline {
                self.events += 1;
                self.after_newline = false;
            } else {
                self.after_newline = true;
            }
            rest = newline + 1;
        }
        let left = &chunk[rest..];
        if !left.is_empty() && left != b"\r" {
            self.after_newline = false;
        }
        self.keep_tail(chunk);
    }

    fn keep_tail(&mut self, chunk: &[u8]) {
        let kept = &chunk[chunk.len().saturating_sub(TAIL_BYTES)..];
        if self.tail.len() + kept.len() > TAIL_BYTES * 4 {
            let excess = self.tail.len().saturating_sub(TAIL_BYTES);
            self.tail.drain(..excess);
        }
        self.tail.extend_from_slice(kept);
    }

    fn is_done(&self) -> bool {
        let end = &self.tail[self.tail.len().saturating_sub(64)..];
        end.windows(DONE.len()).any(|window| window == DONE)
    }

    // Tokens from the usage event, or else one for each event.
    fn tokens(&self, prompt: Tokens) -> Tokens {
        let text = String::from_utf8_lossy(&self.tail);
        let mut data = text.lines().filter_map(|line| line.strip_prefix("data: "));
        let usage = data.rfind(|line| line.contains("\"usage\":{"));
        usage
            .and_then(|line| usage_tokens(line.as_bytes()))
            .unwrap_or(prompt + self.events)
    }
}

/// What a passed-on answer belongs to.
pub(crate) struct StreamContext {
    pub(crate) shell: Arc<NodeDriver>,
    pub(crate) request: RequestId,
    pub(crate) attempt: String,
    pub(crate) prompt: Tokens,
    pub(crate) status: u16,
    pub(crate) media: String,
    pub(crate) is_events: bool,
    // Whether the answer must be kept for repeats.
    pub(crate) keep: bool,
}

struct Inner {
    context: StreamContext,
    // Taken out to close the connection to the backend server.
    payload: RefCell<Option<ClientResponse>>,
    last_poll: Cell<Instant>,
    last_data: Cell<Instant>,
    waiting: Cell<bool>,
    waker: RefCell<Option<Waker>>,
    ended: Cell<bool>,
}

impl Inner {
    fn end(&self, end: AttemptOutcome) {
        self.payload.borrow_mut().take();
        if !self.ended.replace(true) {
            let context = &self.context;
            context
                .shell
                .attempt_ended(context.request, &context.attempt, end);
        }
    }
}

/// Body that passes a backend server's answer on, byte for byte.
pub(crate) struct AnswerStream {
    inner: Rc<Inner>,
    scanner: EventScanner,
    kept: Option<Vec<u8>>,
    // Set once an error event has been passed on. The connection is broken on purpose when it
    // ends, so that the event has left before: a body's error drops what is not yet written.
    farewell: Option<Pin<Box<Sleep>>>,
}

impl AnswerStream {
    pub(crate) fn new(context: StreamContext, payload: ClientResponse) -> Self {
        let now = Instant::now();
        let kept = context.keep.then(Vec::new);
        let inner = Rc::new(Inner {
            context,
            payload: RefCell::new(Some(payload)),
            last_poll: Cell::new(now),
            last_data: Cell::new(now),
            waiting: Cell::new(false),
            waker: RefCell::new(None),
            ended: Cell::new(false),
        });
        OPEN.with_borrow_mut(|open| open.push(Rc::downgrade(&inner)));
        Self {
            inner,
            scanner: EventScanner::default(),
            kept,
            farewell: None,
        }
    }

    fn pass(&mut self, chunk: Bytes) -> Poll<Option<io::Result<Bytes>>> {
        if self.inner.context.is_events {
            self.scanner.feed(&chunk);
        }
        let limit = self.inner.context.shell.settings().requests.max_kept_bytes;
        if let Some(kept) = &mut self.kept {
            kept.extend_from_slice(&chunk);
            if kept.len() > limit {
                self.kept = None;
            }
        }
        Poll::Ready(Some(Ok(chunk)))
    }

    fn finish(&mut self) -> Poll<Option<io::Result<Bytes>>> {
        let context = &self.inner.context;
        if context.is_events && !self.scanner.is_done() {
            return self.fail(AttemptOutcome::Disconnected { partial: true });
        }
        let used = context
            .is_events
            .then(|| self.scanner.tokens(context.prompt));
        let answer = StoredAnswer {
            status: context.status,
            content_type: context.media.clone(),
            body: self.kept.take(),
        };
        context.shell.metrics().note_answer(self.scanner.events);
        self.inner.end(AttemptOutcome::Answered { answer, used });
        Poll::Ready(None)
    }

    // Tells the caller in the stream that it is not whole, then breaks the connection.
    fn fail(&mut self, end: AttemptOutcome) -> Poll<Option<io::Result<Bytes>>> {
        let silent = matches!(end, AttemptOutcome::Stalled { .. });
        self.inner.end(end);
        if !self.inner.context.is_events {
            return broken();
        }
        self.farewell = Some(Box::pin(sleep(FAREWELL)));
        let message = if silent {
            "the backend server made no progress in time; the answer is not whole"
        } else {
            "the connection to the backend server broke; the answer is not whole"
        };
        let refusal = Refusal::not_run(RefusalKind::BackendFailed, message);
        let refusal = refusal.with_outcome(RunOutcome::Unknown);
        let event = format!("data: {}\n\n", error_body(&refusal));
        Poll::Ready(Some(Ok(Bytes::from(event))))
    }
}

impl Stream for AnswerStream {
    type Item = io::Result<Bytes>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        let inner = this.inner.clone();
        let now = Instant::now();
        inner.last_poll.set(now);
        if let Some(farewell) = &mut this.farewell {
            return match farewell.as_mut().poll(cx) {
                Poll::Ready(()) => broken(),
                Poll::Pending => Poll::Pending,
            };
        }
        let polled = {
            let mut payload = inner.payload.borrow_mut();
            payload
                .as_mut()
                .map(|payload| Pin::new(payload).poll_next(cx))
        };
        let Some(polled) = polled else {
            return this.fail(AttemptOutcome::Stalled { partial: true });
        };
        match polled {
            Poll::Ready(Some(Ok(chunk))) => {
                inner.waiting.set(false);
                inner.last_data.set(now);
                this.pass(chunk)
            }
            Poll::Ready(Some(Err(_))) => this.fail(AttemptOutcome::Disconnected { partial: true }),
            Poll::Ready(None) => this.finish(),
            Poll::Pending => {
                inner.waiting.set(true);
                *inner.waker.borrow_mut() = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        self.inner.end(AttemptOutcome::ClientGone);
    }
}

fn broken() -> Poll<Option<io::Result<Bytes>>> {
    let error = io::Error::new(io::ErrorKind::ConnectionAborted, "the answer is not whole");
    Poll::Ready(Some(Err(error)))
}

/// Ends the streams of this thread whose backend server or caller makes no progress.
pub(crate) fn sweep(now: Instant, progress: Duration, stalled: Duration) {
    let open: Vec<Rc<Inner>> = OPEN.with_borrow_mut(|open| {
        open.retain(|stream| stream.strong_count() > 0);
        open.iter().filter_map(Weak::upgrade).collect()
    });
    for stream in open {
        if stream.ended.get() {
            continue;
        }
        let waits_for_server = stream.waiting.get();
        if waits_for_server && now >= stream.last_data.get() + progress {
            stream.end(AttemptOutcome::Stalled { partial: true });
            if let Some(waker) = stream.waker.borrow_mut().take() {
                waker.wake();
            }
        } else if !waits_for_server && now >= stream.last_poll.get() + stalled {
            stream.end(AttemptOutcome::ClientGone);
        }
    }
}

/// Ends all streams of this thread, as at a forced shutdown.
pub(crate) fn end_all() {
    let open: Vec<Rc<Inner>> =
        OPEN.with_borrow(|open| open.iter().filter_map(Weak::upgrade).collect());
    for stream in open {
        stream.end(AttemptOutcome::Disconnected { partial: true });
        if let Some(waker) = stream.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

#[cfg(test)]
#[path = "streams_tests.rs"]
mod tests;
