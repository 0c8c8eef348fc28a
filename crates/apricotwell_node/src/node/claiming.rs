//! Requests that must claim their idempotency key.

use std::time::Instant;

use apricotwell_claims::Outcome;
use apricotwell_timeline::{Event, EventKind};
use apricotwell_types::{Ending, Refusal, RefusalKind, RequestId, ServerId};

use super::Node;
use super::serving::BUSY_RETRY;
use crate::Action;
use crate::claim_desk::ClaimResult;
use crate::requests::Stage;

impl Node {
    pub(super) fn ask_claim(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Some(key) = request.submission.idempotency_key else {
            return;
        };
        let Some(shard) = self.claim_shard(&key.0) else {
            return;
        };
        let give_up = now + self.settings.claim_wait;
        let give_up = give_up.min(request.submission.deadline);
        let (body, attempt) = (request.submission.body_digest, request.attempt.clone());
        self.claims.ask(id, shard, key, body, &attempt, give_up);
        self.run_claims(now);
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
                self.event(now, event);
                self.dispatch_claimed(now, id, server);
                return;
            }
            ClaimResult::Answered(answer) => {
                self.router.release(&server);
                let name = self.request_name(id);
                let event = Event::new(EventKind::AnswerReplayed).with_request(name);
                self.event(now, event);
                self.forget_request(id, 0);
                let request = id;
                self.actions.push(Action::Replay { request, answer });
                return;
            }
            ClaimResult::Held => Refusal::not_run(
                RefusalKind::KeyInUse,
                "a request with this Idempotency-Key is under way; repeat it later for its outcome",
            )
            .with_ending(Ending::OutcomeUnknown)
            .with_retry_after(BUSY_RETRY),
            ClaimResult::Ended(ending) => Refusal::not_run(
                RefusalKind::BackendFailed,
                "a request with this Idempotency-Key ended without an answer and is not run again",
            )
            .with_ending(ending),
            ClaimResult::OtherBody => Refusal::not_run(
                RefusalKind::KeyReused,
                "this Idempotency-Key came before with another body; use a new key",
            ),
            ClaimResult::Unavailable => {
                let attempt = request.attempt.clone();
                self.claims.give_up(&attempt);
                Refusal::not_run(
                    RefusalKind::ClaimUnavailable,
                    "the request could not be claimed, so it was not run; repeat it with the same \
                     Idempotency-Key",
                )
                .with_retry_after(BUSY_RETRY)
            }
        };
        self.router.release(&server);
        self.refuse(now, id, refusal);
    }

    // The server was chosen before the claim; it may have left since.
    pub(super) fn dispatch_claimed(&mut self, now: Instant, id: RequestId, server: ServerId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if let Some(refusal) = self.check_again(&request.submission) {
            self.router.release(&server);
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
                self.router.release(&server);
                self.enqueue_free(now, id);
            }
        }
    }

    pub(super) fn tell_outcome(&mut self, now: Instant, id: RequestId, outcome: &Outcome) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Some(key) = request.submission.idempotency_key else {
            return;
        };
        let attempt = request.attempt.clone();
        if let Some(shard) = self.claim_shard(&key.0) {
            self.claims.finish(shard, key, &attempt, outcome);
            self.run_claims(now);
        }
    }
}
