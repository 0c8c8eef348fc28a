//! The driver of the node: passes events to it and routes the resulting actions.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::{mpsc, watch};

use apricotwell_claims::RecordedAnswer;
use apricotwell_logging::EventFile;
use apricotwell_node::{Action, AttemptOutcome, Dispatch, Node, Submission};
use apricotwell_timeline::Event;
use apricotwell_types::{InstanceId, Map, Refusal, RequestId};

use crate::Settings;
use crate::metrics::Metrics;

/// Next step of a request's handler.
#[derive(Clone, Debug)]
pub(crate) enum RequestStep {
    /// Send the request to a backend server.
    Dispatch(Dispatch),
    /// Respond with a refusal.
    Refuse(Refusal),
    /// Respond with a recorded answer.
    Replay(RecordedAnswer),
}

/// How far a stop of the instance has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// No stop was requested.
    Serving,
    /// Requests are accepted, and responses close their connections.
    Draining,
    /// Connections close as soon as they are idle, and none is accepted.
    Closing,
}

/// Receives the steps of one request.
pub(crate) type StepReceiver = mpsc::UnboundedReceiver<RequestStep>;

/// Owns the node, the channels to the request handlers, the event file and the metrics.
pub struct NodeDriver {
    node: Mutex<Node>,
    handlers: Mutex<Map<RequestId, mpsc::UnboundedSender<RequestStep>>>,
    control_actions: mpsc::UnboundedSender<Action>,
    events: EventFile,
    client_addresses: Mutex<Map<InstanceId, String>>,
    settings: Settings,
    metrics: Metrics,
    stop_phase: watch::Sender<StopPhase>,
    aborting: AtomicBool,
}

impl NodeDriver {
    /// Returns a driver that sends all actions except those for requests to `control_actions`.
    pub(crate) fn new(
        node: Node,
        settings: Settings,
        events: EventFile,
        control_actions: mpsc::UnboundedSender<Action>,
    ) -> Self {
        Self {
            node: Mutex::new(node),
            handlers: Mutex::default(),
            control_actions,
            events,
            client_addresses: Mutex::default(),
            settings,
            metrics: Metrics::default(),
            stop_phase: watch::Sender::new(StopPhase::Serving),
            aborting: AtomicBool::new(false),
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Reads the node's state under the lock.
    pub(crate) fn read<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&Node, Instant) -> T,
    {
        read(&lock(&self.node), Instant::now())
    }

    /// Changes the node under the lock and routes the resulting actions.
    pub(crate) fn update<T, F>(&self, update: F) -> T
    where
        F: FnOnce(&mut Node, Instant) -> T,
    {
        let (result, actions) = {
            let mut node = lock(&self.node);
            let result = update(&mut node, Instant::now());
            (result, node.take_actions())
        };
        self.route_actions(actions);
        result
    }

    /// Submits a request and returns its id and steps.
    pub(crate) fn submit(
        &self,
        submission: Submission,
    ) -> Result<(RequestId, StepReceiver), Refusal> {
        let (sender, steps) = mpsc::unbounded_channel();
        let (result, actions) = {
            let mut node = lock(&self.node);
            let result = node.submit(Instant::now(), submission);
            // Registered before the node's lock is released, so that no step is lost.
            if let Ok(id) = &result {
                lock(&self.handlers).insert(*id, sender);
            }
            (result, node.take_actions())
        };
        self.route_actions(actions);
        result.map(|id| (id, steps))
    }

    /// Reports the outcome of an attempt to the node.
    ///
    /// The request's next step follows unless it was answered or its client has disconnected.
    pub(crate) fn finish_attempt(&self, id: RequestId, attempt: &str, outcome: AttemptOutcome) {
        let is_last = matches!(
            outcome,
            AttemptOutcome::Answered { .. } | AttemptOutcome::ClientGone
        );
        self.update(|node, now| node.on_attempt_ended(now, id, attempt, outcome));
        if is_last {
            self.remove_handler(id);
        }
    }

    /// Cancels a request whose client has disconnected.
    pub(crate) fn cancel(&self, id: RequestId) {
        if self.remove_handler(id) {
            self.update(|node, now| node.cancel(now, id));
        }
    }

    /// Aborts all requests immediately and reports their known outcomes.
    pub(crate) fn abort_requests(&self) {
        self.aborting.store(true, Ordering::Relaxed);
        self.update(|node, now| node.abort_requests(now));
    }

    /// Returns whether open streams must be aborted.
    pub(crate) fn is_aborting(&self) -> bool {
        self.aborting.load(Ordering::Relaxed)
    }

    /// Starts a phase of a stop.
    pub(crate) fn set_stop_phase(&self, phase: StopPhase) {
        self.stop_phase.send_replace(phase);
    }

    /// Waits until a stop has reached `phase`.
    pub(crate) async fn stop_phase(&self, phase: StopPhase) {
        let mut current = self.stop_phase.subscribe();
        // Fails only if the sender is dropped, which `self` holds.
        let _ = current.wait_for(|current| *current >= phase).await;
    }

    /// Returns whether the instance is stopping.
    pub(crate) fn is_stopping(&self) -> bool {
        *self.stop_phase.borrow() > StopPhase::Serving
    }

    /// Stores the client addresses from the platform's instance list.
    pub(crate) fn set_client_addresses(&self, client_addresses: Map<InstanceId, String>) {
        *lock(&self.client_addresses) = client_addresses;
    }

    /// Returns an instance's address for clients.
    pub(crate) fn client_address(&self, id: &str) -> Option<String> {
        if *id == *self.settings.instance.id {
            return Some(self.settings.instance.caller_address.clone());
        }
        lock(&self.client_addresses).get(id).cloned()
    }

    /// Writes an event that does not come from the node.
    pub(crate) fn write_event(&self, event: Event) {
        let at_us = apricotwell_logging::wall_time().as_micros() as u64;
        let event = event.stamped(&self.settings.instance.id, at_us);
        self.events.write(&[event]);
    }

    fn remove_handler(&self, id: RequestId) -> bool {
        lock(&self.handlers).remove(&id).is_some()
    }

    fn route_actions(&self, actions: Vec<Action>) {
        let mut events = Vec::new();
        for action in actions {
            match action {
                Action::Event(event) => events.push(event),
                Action::Dispatch(dispatch) => {
                    self.send_step(dispatch.request, RequestStep::Dispatch(dispatch), false);
                }
                Action::Refuse { request, refusal } => {
                    self.metrics.count_refusal(&refusal);
                    self.send_step(request, RequestStep::Refuse(refusal), true);
                }
                Action::Replay { request, answer } => {
                    self.send_step(request, RequestStep::Replay(answer), true);
                }
                // The receiver exists as long as the daemon runs.
                other => drop(self.control_actions.send(other)),
            }
        }
        if !events.is_empty() && self.events.is_open() {
            self.events.write(&events);
        }
    }

    fn send_step(&self, id: RequestId, step: RequestStep, is_last: bool) {
        let mut handlers = lock(&self.handlers);
        let sender = if is_last {
            handlers.remove(&id)
        } else {
            handlers.get(&id).cloned()
        };
        if let Some(sender) = sender {
            // A dropped handler cancels its request itself.
            drop(sender.send(step));
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
