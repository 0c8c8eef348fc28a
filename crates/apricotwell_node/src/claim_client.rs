//! Client side of the claim protocol: claims idempotency keys and reports outcomes of attempts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_claims::{BodyDigest, ClaimOutcome, RecordedAnswer};
use apricotwell_messages::{ClaimFinish, ClaimReply, ClaimRequest, ClaimVerdict, Message};
use apricotwell_records::AttemptFinished;
use apricotwell_types::{RequestId, RunOutcome, Shard};

/// Delay before an unanswered message is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(300);
/// Largest number of outcomes that wait to be recorded.
const MAX_UNRECORDED: usize = 10_000;

#[derive(Debug)]
struct PendingClaim {
    request: RequestId,
    shard: Shard,
    claim: ClaimRequest,
    sent: Option<Instant>,
    deadline: Instant,
}

#[derive(Debug)]
struct UnrecordedOutcome {
    shard: Shard,
    finished: AttemptFinished,
    sent: Option<Instant>,
}

/// Result of a claim on an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ClaimResult {
    /// The attempt holds the claim and may be dispatched once.
    Granted,
    /// Another attempt with the key is in progress.
    Held,
    /// An attempt with the key was answered.
    Answered(RecordedAnswer),
    /// An attempt with the key ended without an answer.
    Ended(RunOutcome),
    /// The key was already used with a different body.
    OtherBody,
    /// The claim could not be recorded, so the request must not run.
    Unavailable,
}

/// Pending claims, and outcomes of attempts that are not yet recorded.
#[derive(Debug, Default)]
pub(crate) struct ClaimClient {
    pending: BTreeMap<String, PendingClaim>,
    unrecorded: BTreeMap<String, UnrecordedOutcome>,
}

impl ClaimClient {
    /// Starts to claim a key for an attempt.
    pub(crate) fn request(
        &mut self,
        request: RequestId,
        shard: Shard,
        key: BodyDigest,
        body: BodyDigest,
        attempt: &str,
        deadline: Instant,
    ) {
        let claim = ClaimRequest {
            key: key.0.to_vec(),
            body: body.0.to_vec(),
            attempt: attempt.to_owned(),
        };
        let pending = PendingClaim {
            request,
            shard,
            claim,
            sent: None,
            deadline,
        };
        self.pending.insert(attempt.to_owned(), pending);
    }

    /// Starts to report the outcome of an attempt to the lease holder.
    pub(crate) fn report_outcome(
        &mut self,
        shard: Shard,
        key: BodyDigest,
        attempt: &str,
        outcome: &ClaimOutcome,
    ) {
        if self.unrecorded.len() >= MAX_UNRECORDED {
            // The claim stays without an outcome. Retries get the error that the attempt is in
            // progress or, once this process has ended, that its outcome is unknown.
            return;
        }
        let report = UnrecordedOutcome {
            shard,
            finished: outcome.to_record(key, attempt),
            sent: None,
        };
        self.unrecorded.insert(attempt.to_owned(), report);
    }

    /// Returns the messages that are due, by shard, and the requests whose claim timed out.
    pub(crate) fn tick(&mut self, now: Instant) -> (Vec<(Shard, Message)>, Vec<RequestId>) {
        let due = |sent: Option<Instant>| sent.is_none_or(|sent| now >= sent + RESEND_DELAY);
        let mut messages = Vec::new();
        let mut late = Vec::new();
        for pending in self.pending.values_mut() {
            if now >= pending.deadline {
                late.push(pending.request);
            } else if due(pending.sent) {
                pending.sent = Some(now);
                messages.push((pending.shard, Message::ClaimRequest(pending.claim.clone())));
            }
        }
        for report in self.unrecorded.values_mut() {
            if due(report.sent) {
                report.sent = Some(now);
                let finished = Some(report.finished.clone());
                messages.push((report.shard, Message::ClaimFinish(ClaimFinish { finished })));
            }
        }
        (messages, late)
    }

    /// Handles a reply; returns `None` when it settles no pending claim.
    pub(crate) fn on_reply(&mut self, reply: &ClaimReply) -> Option<(RequestId, ClaimResult)> {
        let result = match ClaimVerdict::try_from(reply.verdict) {
            Ok(ClaimVerdict::Granted) => ClaimResult::Granted,
            Ok(ClaimVerdict::Held) => ClaimResult::Held,
            Ok(ClaimVerdict::OtherBody) => ClaimResult::OtherBody,
            Ok(ClaimVerdict::Unavailable) => ClaimResult::Unavailable,
            Ok(ClaimVerdict::Ended) => recorded_result(reply.finished.as_ref()?),
            // The lease has moved, so a later tick sends the claim to the new holder.
            Ok(ClaimVerdict::NotHolder | ClaimVerdict::Unspecified) | Err(_) => return None,
        };
        let pending = self.pending.remove(&reply.attempt)?;
        Some((pending.request, result))
    }

    /// Handles the confirmation that the outcome of an attempt is recorded.
    pub(crate) fn on_outcome_recorded(&mut self, attempt: &str) {
        self.unrecorded.remove(attempt);
    }

    /// Cancels a pending claim.
    ///
    /// The claim may still be recorded, so the attempt is reported as not run.
    pub(crate) fn cancel(&mut self, attempt: &str) {
        let Some(pending) = self.pending.remove(attempt) else {
            return;
        };
        if let Some(key) = BodyDigest::from_slice(&pending.claim.key) {
            let outcome = ClaimOutcome::NoAnswer(RunOutcome::NotRun);
            self.report_outcome(pending.shard, key, attempt, &outcome);
        }
    }

    /// Returns the number of outcomes that wait to be recorded.
    pub(crate) fn unrecorded(&self) -> usize {
        self.unrecorded.len()
    }
}

fn recorded_result(finished: &AttemptFinished) -> ClaimResult {
    match RunOutcome::from_name(&finished.outcome) {
        Some(run_outcome) => ClaimResult::Ended(run_outcome),
        None => ClaimResult::Answered(RecordedAnswer {
            status: finished.status as u16,
            content_type: finished.content_type.clone(),
            body: finished.answer.clone(),
        }),
    }
}
