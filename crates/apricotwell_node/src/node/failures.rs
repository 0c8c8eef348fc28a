//! Failed, expired and rejected requests.

use std::time::{Duration, Instant};

use apricotwell_claims::ClaimOutcome;
use apricotwell_timeline::{Event, EventKind};
use apricotwell_types::{Refusal, RefusalKind, RequestId, RunOutcome, ServerId};

use super::Node;
use super::serving::BUSY_RETRY_DELAY;
use crate::requests::{Request, Stage};
use crate::server_registry::Suspect;
use crate::{Action, AttemptOutcome, Target};

/// Time within which a poll must show whether a server crashed.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(1500);

impl Node {
    pub(super) fn retry_or_fail(
        &mut self,
        now: Instant,
        id: RequestId,
        server: &ServerId,
        outcome: &AttemptOutcome,
    ) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let suspect = Suspect {
            body: request.submission.body_digest,
            parts: request.submission.parts.clone(),
            sent_at: request.dispatched.unwrap_or(now),
            is_retry: request.attempts > 1,
        };
        let class = request.submission.class;
        let attempts = request.attempts;
        let key = (
            request.submission.org.clone(),
            request.submission.queue_name(),
        );
        let broken = matches!(outcome, AttemptOutcome::Disconnected { .. });
        let is_engine = matches!(request.submission.target, Target::Model(_));
        if broken && is_engine {
            let incarnation = self.state.ledger().server(server);
            let incarnation = incarnation.map(|record| record.incarnation);
            self.servers.suspect_crash(server, suspect, incarnation);
            self.next_plan = now;
        }
        let may_retry = class.is_repeatable()
            && !outcome.is_partial()
            && attempts < self.settings.max_attempts
            && self.retry_budgets.entry(key).or_default().try_withdraw();
        if !may_retry {
            self.fail(now, id, outcome);
            return;
        }
        let event = Event::new(EventKind::RequestRetried).with_request(self.request_name(id));
        self.emit(now, event);
        if broken && is_engine {
            let until = now + CRASH_CHECK_TIMEOUT;
            if let Some(request) = self.requests.get_mut(id) {
                request.stage = Stage::CheckingCrash {
                    server: server.clone(),
                    until,
                };
            }
        } else {
            self.enqueue(now, id);
        }
    }

    pub(super) fn fail(&mut self, now: Instant, id: RequestId, outcome: &AttemptOutcome) {
        let run_outcome = outcome.run_outcome().unwrap_or(RunOutcome::Unknown);
        let message = match outcome {
            AttemptOutcome::Failed => "the backend server ran the request and reported a failure",
            AttemptOutcome::Stalled { .. } => "the backend server made no progress in time",
            _ => "the connection to the backend server broke while it ran the request",
        };
        let refusal =
            Refusal::not_run(RefusalKind::BackendFailed, message).with_outcome(run_outcome);
        let refusal = match self.requests.get(id) {
            Some(request) if request.submission.class.is_repeatable() => {
                refusal.with_retry_after(BUSY_RETRY_DELAY)
            }
            _ => refusal,
        };
        self.refuse(now, id, refusal);
    }

    pub(super) fn expire_requests(&mut self, now: Instant) {
        for entry in self.queue.remove_expired(now) {
            self.refuse_expired(now, entry.request);
        }
        let late: Vec<(RequestId, bool)> = self
            .requests
            .iter()
            .filter_map(|(id, request)| match request.stage {
                Stage::AwaitingTokens if now >= request.submission.deadline => Some((id, true)),
                Stage::CheckingCrash { until, .. } if now >= until => Some((id, false)),
                _ => None,
            })
            .collect();
        for (id, is_late) in late {
            if is_late {
                self.refuse_expired(now, id);
            } else {
                self.enqueue(now, id);
            }
        }
    }

    pub(super) fn refuse_expired(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let message = match request.stage {
            Stage::AwaitingTokens => {
                "no tokens became available before the deadline; allow more time or retry later"
            }
            _ => {
                "no backend server became free before the deadline; allow more time or retry later"
            }
        };
        let refusal = Refusal::not_run(RefusalKind::DeadlineExceeded, message);
        self.refuse(now, id, refusal.with_retry_after(BUSY_RETRY_DELAY));
    }

    pub(super) fn refuse_rate_limited(&mut self, now: Instant, id: RequestId, wait: Duration) {
        let message = format!(
            "your organisation exceeded its rate limit; enough tokens are available in about {} ms",
            wait.as_millis()
        );
        let refusal = Refusal::not_run(RefusalKind::RateLimited, message).with_retry_after(wait);
        self.refuse(now, id, refusal);
    }

    pub(super) fn refuse(&mut self, now: Instant, id: RequestId, refusal: Refusal) {
        let event = Event::new(EventKind::RequestRefused)
            .with_request(self.request_name(id))
            .with_detail(format!(
                "{} {}",
                refusal.kind.code(),
                refusal.outcome.as_str()
            ));
        self.emit(now, event);
        let used = match refusal.outcome {
            RunOutcome::NotRun => 0,
            RunOutcome::FailedAfterRun | RunOutcome::Unknown => u64::MAX,
        };
        let claimed = self.requests.get(id).is_some_and(|request| request.claimed);
        let run_outcome = claimed.then_some(refusal.outcome);
        self.drop_request(now, id, used, run_outcome);
        let request = id;
        self.actions.push(Action::Refuse { request, refusal });
    }

    // Removes a request from whatever it waits for, and reports `run_outcome` if the request holds a
    // claim. Of its reservation, `used` tokens stay spent; `u64::MAX` stands for all of them.
    pub(super) fn drop_request(
        &mut self,
        now: Instant,
        id: RequestId,
        used: u64,
        run_outcome: Option<RunOutcome>,
    ) {
        let Some(request) = self.requests.get(id).cloned() else {
            return;
        };
        match &request.stage {
            Stage::AwaitingTokens => self.tokens.cancel(&request.submission.org, id),
            Stage::Queued => {
                self.queue.remove(id, request.submission.deadline);
            }
            Stage::Claiming { server } => {
                self.claim_client.cancel(&request.attempt);
                self.router.cancel_request(server);
            }
            Stage::Running { .. } | Stage::CheckingCrash { .. } => {}
        }
        if let (true, Some(run_outcome)) = (request.claimed, run_outcome) {
            self.report_outcome(now, id, &ClaimOutcome::NoAnswer(run_outcome));
        }
        self.remove_request(id, used);
    }

    pub(super) fn remove_request(&mut self, id: RequestId, used: u64) {
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        let Request {
            submission,
            reservation,
            ..
        } = request;
        if let Some(reservation) = reservation {
            let used = used.min(reservation.tokens);
            self.tokens.settle(&submission.org, reservation, used);
        }
    }
}
