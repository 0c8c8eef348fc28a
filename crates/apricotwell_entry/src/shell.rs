//! The shell: owns the node and hands its actions to those who carry them out.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::mpsc;

use apricotwell_claims::RecordedAnswer;
use apricotwell_logging::EventFile;
use apricotwell_node::{Action, AttemptOutcome, Dispatch, Node, Submission};
use apricotwell_timeline::Event;
use apricotwell_types::{InstanceId, Map, Refusal, RequestId};

use crate::Settings;
use crate::metrics::Metrics;

/// What a request's handler has to do next.
#[derive(Clone, Debug)]
pub(crate) enum Turn {
    /// Give the request to a backend server.
    Dispatch(Dispatch),
    /// Answer with a refusal.
    Refuse(Refusal),
    /// Answer with a recorded answer.
    Replay(RecordedAnswer),
}

/// Turns of one request.
pub(crate) type Turns = mpsc::UnboundedReceiver<Turn>;

/// The node with what surrounds it.
pub struct NodeDriver {
    node: Mutex<Node>,
    waiting: Mutex<Map<RequestId, mpsc::UnboundedSender<Turn>>>,
    io: mpsc::UnboundedSender<Action>,
    events: EventFile,
    callers: Mutex<Map<InstanceId, String>>,
    settings: Settings,
    metrics: Metrics,
    ending: AtomicBool,
}

impl NodeDriver {
    /// Returns a shell that hands actions besides those for requests to `io`.
    pub(crate) fn new(
        node: Node,
        settings: Settings,
        events: EventFile,
        io: mpsc::UnboundedSender<Action>,
    ) -> Self {
        Self {
            node: Mutex::new(node),
            waiting: Mutex::default(),
            io,
            events,
            callers: Mutex::default(),
            settings,
            metrics: Metrics::default(),
            ending: AtomicBool::new(false),
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Reads from the node.
    pub(crate) fn look<T, F>(&self, look: F) -> T
    where
        F: FnOnce(&Node, Instant) -> T,
    {
        look(&lock(&self.node), Instant::now())
    }

    /// Passes an event to the node and hands out the actions that follow.
    pub(crate) fn tell<T, F>(&self, tell: F) -> T
    where
        F: FnOnce(&mut Node, Instant) -> T,
    {
        let (result, actions) = {
            let mut node = lock(&self.node);
            let result = tell(&mut node, Instant::now());
            (result, node.take_actions())
        };
        self.hand_out(actions);
        result
    }

    /// Submits a request and returns its number and turns.
    pub(crate) fn submit(&self, submission: Submission) -> Result<(RequestId, Turns), Refusal> {
        let (sender, turns) = mpsc::unbounded_channel();
        let (result, actions) = {
            let mut node = lock(&self.node);
            let result = node.submit(Instant::now(), submission);
            // Registered before anyone can hand out a turn of this request.
            if let Ok(id) = &result {
                lock(&self.waiting).insert(*id, sender);
            }
            (result, node.take_actions())
        };
        self.hand_out(actions);
        result.map(|id| (id, turns))
    }

    /// Tells how an attempt ended; the request's next turn follows unless it was answered.
    pub(crate) fn attempt_ended(&self, id: RequestId, attempt: &str, end: AttemptOutcome) {
        let is_last = matches!(
            end,
            AttemptOutcome::Answered { .. } | AttemptOutcome::ClientGone
        );
        self.tell(|node, now| node.on_attempt_ended(now, id, attempt, end));
        if is_last {
            self.forget(id);
        }
    }

    /// Drops a request whose caller has gone.
    pub(crate) fn cancel(&self, id: RequestId) {
        if self.forget(id) {
            self.tell(|node, now| node.cancel(now, id));
        }
    }

    /// Ends all requests at once with what is known of them.
    pub(crate) fn end_all(&self) {
        self.ending.store(true, Ordering::Relaxed);
        self.tell(|node, now| node.abort_requests(now));
    }

    /// Returns whether open streams are to be ended.
    pub(crate) fn is_ending(&self) -> bool {
        self.ending.load(Ordering::Relaxed)
    }

    /// Notes the addresses for callers on the platform's list.
    pub(crate) fn set_callers(&self, callers: Map<InstanceId, String>) {
        *lock(&self.callers) = callers;
    }

    /// Returns the address for callers of an instance.
    pub(crate) fn caller_address(&self, id: &str) -> Option<String> {
        if *id == *self.settings.instance.id {
            return Some(self.settings.instance.caller_address.clone());
        }
        lock(&self.callers).get(id).cloned()
    }

    /// Writes events that do not come from the node.
    pub(crate) fn write_event(&self, event: Event) {
        let at_us = apricotwell_logging::wall_time().as_micros() as u64;
        let event = event.stamped(&self.settings.instance.id, at_us);
        self.events.write(&[event]);
    }

    fn forget(&self, id: RequestId) -> bool {
        lock(&self.waiting).remove(&id).is_some()
    }

    fn hand_out(&self, actions: Vec<Action>) {
        let mut events = Vec::new();
        for action in actions {
            match action {
                Action::Event(event) => events.push(event),
                Action::Dispatch(dispatch) => {
                    self.hand_turn(dispatch.request, Turn::Dispatch(dispatch), false);
                }
                Action::Refuse { request, refusal } => {
                    self.metrics.note_refusal(&refusal);
                    self.hand_turn(request, Turn::Refuse(refusal), true);
                }
                Action::Replay { request, answer } => {
                    self.hand_turn(request, Turn::Replay(answer), true);
                }
                // The receiver lives as long as the daemon.
                other => drop(self.io.send(other)),
            }
        }
        if !events.is_empty() && self.events.is_open() {
            self.events.write(&events);
        }
    }

    fn hand_turn(&self, id: RequestId, turn: Turn, is_last: bool) {
        let mut waiting = lock(&self.waiting);
        let known = if is_last {
            waiting.remove(&id)
        } else {
            waiting.get(&id).cloned()
        };
        if let Some(sender) = known {
            // A handler that is gone cancels its request by itself.
            drop(sender.send(turn));
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
