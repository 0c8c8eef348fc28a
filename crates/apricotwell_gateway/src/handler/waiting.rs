//! Wait of an admitted request for a server, and its turn among the other waiting ones.

use std::time::{Duration, Instant};

use apricotwell_dispatch::prelude::*;
use apricotwell_types::{Refusal, RefusalKind};

use super::{Destination, RequestHandler};
use crate::adapter::Platform;
use crate::events::Event;
use crate::guard::{PermitGuard, TurnGuard, WaitGuard};

/// Longest wait for a newer list of servers while the known one may lack a change that must be in force.
const MAX_LIST_WAIT: Duration = Duration::from_millis(300);
/// Interval at which such a wait looks at the list; not every confirmation is signalled.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum interval at which a waiting request looks for a server, even if no change was signalled.
const SERVER_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Fraction of the grace period during which requests may still wait for a server after a request
/// to stop.
const WAIT_GRACE_FRACTION: f64 = 0.55;

/// Text of a refusal in a stop.
const SHUTTING_DOWN: &str = "this instance is shutting down; use another one";

impl<P> RequestHandler<P>
where
    P: Platform,
{
    /// Selects a server, waiting for one if necessary.
    pub(super) async fn find_server(&mut self) -> Result<Destination, Refusal> {
        let mut waiting = None;
        let mut turn: Option<TurnGuard<P>> = None;
        let mut permit: Option<PermitGuard<P>> = None;
        loop {
            self.await_current_list().await?;
            let changed = self.gateway.servers_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let now = self.gateway.now();
            let trial = self.check_quarantine(now)?;
            let choice = {
                let dispatcher = self.gateway.dispatcher.borrow();
                dispatcher.select_server(now, &self.admission, &self.request, &self.excluded)
            };
            if let Some(instance) = self.find_detour(now, &choice).await? {
                return Ok(instance);
            }
            let (choice, is_behind) = self.take_turn(now, choice, &mut turn);
            match choice {
                RoutingDecision::Send(..) if !self.start_trial(now, trial) => continue,
                RoutingDecision::Send(server, address) => {
                    self.server_found = Some(now);
                    self.trace.list_age = self.list_age(now);
                    self.trace.store_contact = Some(self.store_contact(now));
                    if let Some(turn) = &mut turn {
                        turn.is_served = true;
                        self.observe_wait(now);
                    }
                    self.probe_limits(now);
                    return Ok(Destination {
                        id: server,
                        address,
                        is_instance: false,
                    });
                }
                RoutingDecision::Refuse(refusal) if self.runs == 0 => return Err(refusal),
                RoutingDecision::Refuse(refusal) => {
                    return Err(self.refusal(refusal.kind, &refusal.message));
                }
                RoutingDecision::Wait => permit = None,
                RoutingDecision::AwaitPermit(server) => {
                    if permit.as_ref().is_none_or(|permit| permit.server != server) {
                        permit = Some(PermitGuard::new(&self.gateway, server));
                    }
                }
            }
            self.check_grace()?;
            if self.must_stop_waiting() {
                return Err(self.refusal(RefusalKind::Unavailable, SHUTTING_DOWN));
            }
            if waiting.is_none() && !is_behind {
                waiting = WaitGuard::new(&self.gateway, &self.admission);
                self.log_wait();
            }
            let left = self
                .admission
                .silence_deadline
                .saturating_duration_since(now);
            // Not every change is signalled, and the end of the wait never is, so this polls as
            // well.
            let changed = async {
                match &turn {
                    None => changed.await,
                    Some(turn) => tokio::select! {
                        () = changed => (),
                        () = turn.due() => (),
                    },
                }
            };
            let _ = tokio::time::timeout(left.min(SERVER_POLL_INTERVAL), changed).await;
        }
    }

    // Waits shortly for a list of servers that requests may be sent by.
    async fn await_current_list(&self) -> Result<(), Refusal> {
        let begun = self.gateway.now();
        while self.is_list_overdue() {
            let waited = self.gateway.now().saturating_duration_since(begun);
            if waited >= MAX_LIST_WAIT || self.wait_remaining().is_zero() {
                let text = "the list of servers may lack changes; try another instance";
                return Err(self.refusal(RefusalKind::Unavailable, text));
            }
            tokio::time::sleep(LIST_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns whether the list of servers is too old to send requests by it.
    pub(super) fn is_list_overdue(&self) -> bool {
        let now = self.gateway.now();
        let dispatcher = self.gateway.dispatcher.borrow();
        dispatcher.feeds.is_overdue(now, Feed::Servers)
    }

    // Returns what `choice` becomes in view of the other waiting requests, and whether one of them
    // goes first. Takes a ticket if that is necessary.
    fn take_turn(
        &self,
        now: Instant,
        choice: RoutingDecision,
        turn: &mut Option<TurnGuard<P>>,
    ) -> (RoutingDecision, bool) {
        let has_run = self.runs > 0;
        if turn.is_none() {
            let dispatcher = self.gateway.dispatcher.borrow();
            if !dispatcher.needs_ticket(&self.admission, &choice) {
                return (choice, false);
            }
            drop(dispatcher);
            let since = if has_run { now } else { self.admission.arrived };
            *turn = Some(TurnGuard::new(
                &self.gateway,
                &self.admission,
                &self.request,
                since,
            ));
        }
        let Some(turn) = turn else {
            return (choice, false);
        };
        let is_free = matches!(choice, RoutingDecision::Send(..));
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        let tried = &self.excluded;
        let next =
            dispatcher.decide_turn(now, turn.ticket, &self.admission, tried, choice, has_run);
        drop(dispatcher);
        if let Some(ticket) = next.wake {
            self.gateway.wake_turn(ticket);
        }
        if let RoutingDecision::Refuse(refusal) = &next.decision {
            self.log_turn_refused(refusal, next.refused_by);
        }
        (next.decision, is_free && next.wake.is_some())
    }

    fn log_turn_refused(&self, refusal: &Refusal, estimate: Option<TurnEstimate>) {
        let reason = estimate.map_or("unknown", |estimate| estimate.cause.as_str());
        self.gateway.metrics.count_turn_refused(reason);
        Event::new("turn_refused")
            .with("request", self.request.attempt.as_str())
            .with("model", self.model_name())
            .with("priority", self.admission.priority)
            .with("reason", reason)
            .with("queue_position", estimate.map(|it| it.position))
            .with_optional_time("expected_wait_ms", estimate.map(|it| it.expected))
            .with_optional_time("earliest_wait_ms", estimate.map(|it| it.earliest))
            .with_time("patience_ms", self.wait_remaining())
            .with_optional_time("retry_after_ms", refusal.retry_after)
            .log();
    }

    /// Returns the priority of the request for servers.
    pub(super) fn server_priority(&self) -> Option<u8> {
        let dispatcher = self.gateway.dispatcher.borrow();
        dispatcher.server_priority(&self.admission, &self.request)
    }

    fn list_age(&self, now: Instant) -> Option<Duration> {
        let dispatcher = self.gateway.dispatcher.borrow();
        dispatcher.feeds.age(now, Feed::Servers)
    }

    fn store_contact(&self, now: Instant) -> Duration {
        let dispatcher = self.gateway.dispatcher.borrow();
        dispatcher.feeds.contact.duration(now)
    }

    fn observe_wait(&self, now: Instant) {
        let wait = now.saturating_duration_since(self.admission.arrived);
        let priority = self.admission.priority;
        self.gateway.metrics.observe_wait(priority, wait);
    }

    // Returns whether a waiting request must be refused because the instance is stopping. It is
    // refused well before the grace period ends, so that the client still receives the response and
    // can retry on another instance.
    fn must_stop_waiting(&self) -> bool {
        let limit = self.gateway.timings.grace.mul_f64(WAIT_GRACE_FRACTION);
        self.gateway
            .time_since_stop()
            .is_some_and(|time| time > limit)
    }

    /// Checks that a request that must not be repeated usually ends before a stop would cut it off.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send if it does not; the request has not run.
    pub(super) fn check_grace(&self) -> Result<(), Refusal> {
        let Some(time) = self.gateway.time_since_stop() else {
            return Ok(());
        };
        let route = &self.admission.route;
        let left = self.gateway.stop_time().saturating_sub(time);
        let dispatcher = self.gateway.dispatcher.borrow();
        let may_end = left >= self.remaining() || dispatcher.run_times.fits(&route.name, left);
        if self.runs > 0 || route.kind.is_repeatable() || may_end {
            return Ok(());
        }
        self.gateway.connections.count_refused();
        let refusal = self.refusal(RefusalKind::Unavailable, SHUTTING_DOWN);
        Err(refusal.with_retry_after(Duration::ZERO))
    }

    fn log_wait(&self) {
        Event::new("request_waits")
            .with("request", self.request.attempt.as_str())
            .with("model", self.model_name())
            .with_time("patience_ms", self.wait_remaining())
            .log();
    }

    fn wait_remaining(&self) -> Duration {
        let now = self.gateway.now();
        self.admission
            .silence_deadline
            .saturating_duration_since(now)
    }
}
