//! What a request and its responses tell of parts that crash servers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use apricotwell_quarantine::prelude::{CrashedRequest, NextAttempt, PartId};
use apricotwell_types::{BodyDigest, Refusal, ServerId};

use super::RequestHandler;
use crate::adapter::Platform;
use crate::crash_checks;
use crate::reach::{self, PROBE_TIMEOUT};

/// Time after which a server that closes the connection may have begun to run the request. One that
/// closes it sooner did not take the connection, as behind a cut.
const MIN_RUN_TIME: Duration = Duration::from_millis(3);
/// Time after the first bytes of a response from which on its server has begun to answer safely.
pub const BEGINNING_TIME: Duration = Duration::from_secs(1);

impl<P> RequestHandler<P>
where
    P: Platform,
{
    /// Checks whether a server that broke off its response, whose first bytes came at `began`, has
    /// ended as it began to answer.
    pub fn check_crash(&mut self, server: &ServerId, began: Option<Instant>) {
        self.check_crash_since(self.sent_at, server, began);
    }

    /// Checks the same of a server that the request was sent to at `sent_at`, before the last attempt.
    pub fn check_crash_since(
        &mut self,
        sent_at: Instant,
        server: &ServerId,
        began: Option<Instant>,
    ) {
        let is_server = {
            let dispatcher = self.gateway.dispatcher.borrow();
            dispatcher.backends.get(server).is_some()
        };
        let now = self.gateway.now();
        let is_beginning = is_server
            && began.is_none_or(|began| now.saturating_duration_since(began) < BEGINNING_TIME);
        if is_beginning {
            let request = CrashedRequest {
                parts: self.parts().to_vec(),
                sent_at,
                is_retry: self.losses > 0,
            };
            self.losses += 1;
            crash_checks::begin(&self.gateway, server, request);
        }
    }

    /// Returns whether the request may be sent to another server after the loss of one.
    ///
    /// Waits until it is known whether the lost server has ended, if that may quarantine the request
    /// or if it is not the first one.
    pub async fn may_go_on(&self, server: &ServerId) -> bool {
        if let Ok(instance) = server.parse() {
            return self.has_instance_ended(instance).await;
        }
        if self.losses == 0 {
            return true;
        }
        if self.losses > 1 || self.next_attempt() != NextAttempt::Now {
            crash_checks::wait_for(&self.gateway, server).await;
        }
        self.next_attempt() != NextAttempt::Never
    }

    // Returns whether an instance that broke off a response has ended. One that lives has used up the
    // attempts of the request already.
    async fn has_instance_ended(&self, address: SocketAddr) -> bool {
        let pool = &self.gateway.pool;
        !pool.is_accepting(address, PROBE_TIMEOUT).await
    }

    pub(super) fn next_attempt(&self) -> NextAttempt {
        let dispatcher = self.gateway.dispatcher.borrow();
        let quarantine = &dispatcher.crashes.quarantine;
        quarantine.next_attempt(self.parts())
    }

    /// Checks whether a server that closed its connection without a response has ended.
    pub(super) fn check_close(&mut self, server: &ServerId) {
        let time = self.gateway.now().saturating_duration_since(self.sent_at);
        if time < MIN_RUN_TIME {
            reach::record_connection(&self.gateway, server, false);
        } else {
            self.check_crash(server, None);
        }
    }

    /// Withdraws the crash of a server that responds, if another instance reported one.
    pub(super) fn withdraw_crash(&self, server: &ServerId) {
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        let Some(started_ms) = dispatcher
            .backends
            .get(server)
            .map(|it| it.entry.started_ms)
        else {
            return;
        };
        let crashes = &mut dispatcher.crashes;
        crashes.withdraw_crash(server, started_ms, self.sent_at);
        drop(dispatcher);
        crash_checks::log_quarantine(&self.gateway);
    }

    /// Records that a server which began its response at `began` did not crash.
    pub fn record_sound(&self, began: Instant) {
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        let quarantine = &mut dispatcher.crashes.quarantine;
        quarantine.record_sound(began, self.parts());
        drop(dispatcher);
        crash_checks::log_quarantine(&self.gateway);
    }

    // Returns the parts of the prompt that other requests share, the most general one first.
    fn shared_parts(&self) -> impl Iterator<Item = PartId> {
        let shared = self.request.prompt.split_last();
        let shared = shared.map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|segment| segment.id)
    }

    // Returns the parts of the request that may crash servers: the shared ones, and the request as a
    // whole.
    fn parts(&self) -> &[PartId] {
        self.parts.get_or_init(|| {
            let whole = self.whole_request();
            self.shared_parts().chain([whole]).collect()
        })
    }

    // Returns the id of the whole request: equal requests of one organisation have the same.
    fn whole_request(&self) -> PartId {
        let organisation = self.admission.organisation.as_ref();
        let name = organisation.map_or("", |organisation| &*organisation.name);
        let prompt: Vec<u64> = self.request.prompt.iter().map(|it| it.id).collect();
        let sender = format!(
            "{name} {}{} {prompt:x?}",
            self.request.host, self.request.path
        );
        BodyDigest::of_body(&sender, &self.body.bytes).short()
    }

    /// Returns the quarantined part that the request may be sent with as a trial, if it has one.
    pub(super) fn check_quarantine(&self, now: Instant) -> Result<Option<PartId>, Refusal> {
        let dispatcher = self.gateway.dispatcher.borrow();
        if !dispatcher.crashes.quarantine.has_blocked() {
            return Ok(None);
        }
        let checked = dispatcher.check_quarantine(now, self.parts());
        checked.map_err(|refusal| match self.runs {
            0 => refusal,
            _ => self.refusal(refusal.kind, &refusal.message),
        })
    }

    /// Counts a trial right before the request is sent; returns `false` if another request was sent
    /// as the trial. Other instances hear of it at once.
    pub(super) fn start_trial(&self, now: Instant, trial: Option<PartId>) -> bool {
        let Some(part) = trial else {
            return true;
        };
        let is_started = self.gateway.dispatcher.borrow_mut().start_trial(now, part);
        if is_started {
            crash_checks::log_trial(&self.gateway, &self.request.attempt, part);
            self.gateway.heartbeat_due.notify_one();
        }
        is_started
    }
}
