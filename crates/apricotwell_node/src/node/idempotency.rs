//! Claims on idempotency keys, and the requests that need one before they run.

use std::time::Instant;

use apricotwell_claims::ClaimOutcome;
use apricotwell_timeline::{Event, EventKind};
use apricotwell_types::{Refusal, RefusalKind, RequestId, RunOutcome, ServerId};

use super::Node;
use super::serving::BUSY_RETRY_DELAY;
use crate::Action;
use crate::claim_client::ClaimResult;
use crate::requests::Stage;

impl Node {
    pub(super) fn request_claim(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Some(key) = request.submission.idempotency_key else {
            return;
        };
        let Some(shard) = self.claim_shard(&key.0) else {
            return;
        };
        let deadline = now + self.settings.claim_wait;
        let deadline = deadline.min(request.submission.deadline);
        let (body, attempt) = (request.submission.body_digest, request.attempt.clone());
        self.claim_client
            .request(id, shard, key, body, &attempt, deadline);
        self.drive_claims(now);
    }

    pub(super) fn on_claim_result(&mut self, now: Instant, id: RequestId, result: ClaimResult) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Stage::Claiming { server } = request.stage.clone() else {
            return;
        };
        let refusal = match result {
            ClaimResult::Granted => {
                request.claimed = true;
                let name = self.request_name(id);
                let event = Event::new(EventKind::ClaimGranted).with_request(name);
                self.emit(now, event);
                self.dispatch_claimed(now, id, server);
                return;
            }
            ClaimResult::Answered(answer) => {
                self.router.cancel_request(&server);
                let name = self.request_name(id);
                let event = Event::new(EventKind::AnswerReplayed).with_request(name);
                self.emit(now, event);
                self.remove_request(id, 0);
                let request = id;
                self.actions.push(Action::Replay { request, answer });
                return;
            }
            ClaimResult::Held => Refusal::not_run(
                RefusalKind::IdempotencyKeyInUse,
                "a request with this Idempotency-Key is still in progress; retry later to get its \
                 outcome",
            )
            .with_outcome(RunOutcome::Unknown)
            .with_retry_after(BUSY_RETRY_DELAY),
            ClaimResult::Ended(run_outcome) => Refusal::not_run(
                RefusalKind::BackendFailed,
                "a request with this Idempotency-Key ended without an answer and will not run \
                 again",
            )
            .with_outcome(run_outcome),
            ClaimResult::OtherBody => Refusal::not_run(
                RefusalKind::IdempotencyKeyReused,
                "this Idempotency-Key was already used with a different body; use a new key",
            ),
            ClaimResult::Unavailable => {
                let attempt = request.attempt.clone();
                self.claim_client.cancel(&attempt);
                Refusal::not_run(
                    RefusalKind::ClaimUnavailable,
                    "the Idempotency-Key could not be claimed, so the request was not run; retry \
                     with the same key",
                )
                .with_retry_after(BUSY_RETRY_DELAY)
            }
        };
        self.router.cancel_request(&server);
        self.refuse(now, id, refusal);
    }

    // The server was chosen before the claim was granted, so it may be gone by now.
    pub(super) fn dispatch_claimed(&mut self, now: Instant, id: RequestId, server: ServerId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if let Some(refusal) = self.recheck(&request.submission) {
            self.router.cancel_request(&server);
            self.refuse(now, id, refusal);
            return;
        }
        let queue = request.submission.queue_name();
        let candidates = self.candidates(now, &queue);
        let found = candidates
            .iter()
            .find(|(candidate, _)| candidate.server == server);
        match found {
            Some((_, replica)) => self.dispatch(now, id, server, *replica),
            None => {
                self.router.cancel_request(&server);
                self.enqueue(now, id);
            }
        }
    }

    pub(super) fn report_outcome(&mut self, now: Instant, id: RequestId, outcome: &ClaimOutcome) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Some(key) = request.submission.idempotency_key else {
            return;
        };
        let attempt = request.attempt.clone();
        if let Some(shard) = self.claim_shard(&key.0) {
            self.claim_client
                .report_outcome(shard, key, &attempt, outcome);
            self.drive_claims(now);
        }
    }
}
