//! Table of the claims on one shard, built from the records of its stream.

use std::collections::BTreeMap;

use apricotwell_records::{AttemptFinished, ClaimBody, ClaimRecord, KeyClaimed};
use apricotwell_types::{BodyDigest, Fence, Offset, RunOutcome};

/// Answer recorded for an attempt, to be replayed to retries of the same request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Body; empty if it was too large to store.
    pub body: Vec<u8>,
}

/// Outcome of a claimed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The client received an answer.
    Answered(RecordedAnswer),
    /// The client received no answer; contains what is known about the execution.
    NoAnswer(RunOutcome),
}

/// Decision on an attempt that claims an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No attempt holds the key.
    Free,
    /// The attempt itself holds the key and may be dispatched once.
    Granted,
    /// The contained attempt holds the key and has not ended.
    Held(String),
    /// An attempt with this key and body has ended with the contained outcome.
    Ended(ClaimOutcome),
    /// The key is already in use for a different body.
    OtherBody,
}

#[derive(Clone, Debug)]
struct Claim {
    body: BodyDigest,
    attempt: String,
    outcome: Option<ClaimOutcome>,
    written_ms: u64,
    offset: Offset,
}

/// Claims on the idempotency keys of one shard.
///
/// # Invariants
///
/// A key has at most one claim: the first one in log order with a valid fence wins. A claim whose
/// request did not run is removed, because the request may be retried under the same key.
#[derive(Debug, Default)]
pub struct ClaimTable {
    fence: Fence,
    next: Offset,
    claims: BTreeMap<BodyDigest, Claim>,
}

impl ClaimTable {
    /// Returns the highest fence for which a `StreamOpened` record was applied.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns the offset of the next record to apply.
    pub fn next(&self) -> Offset {
        self.next.max(1)
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether the table has no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Applies the record at `offset` and returns whether it had an effect.
    ///
    /// Records that were applied before and records with an outdated fence have no effect.
    pub fn apply(&mut self, offset: Offset, record: &ClaimRecord) -> bool {
        if offset < self.next() {
            return false;
        }
        self.next = offset + 1;
        if record.fence < self.fence {
            return false;
        }
        match &record.body {
            Some(ClaimBody::StreamOpened(_)) => {
                self.fence = record.fence;
                true
            }
            Some(ClaimBody::KeyClaimed(claimed)) => {
                self.apply_claimed(offset, record.written_ms, claimed)
            }
            Some(ClaimBody::AttemptFinished(finished)) => self.apply_finished(finished),
            None => false,
        }
    }

    /// Returns the decision on `attempt` with this key and body.
    pub fn verdict(&self, key: BodyDigest, body: BodyDigest, attempt: &str) -> Verdict {
        let Some(claim) = self.claims.get(&key) else {
            return Verdict::Free;
        };
        if claim.body != body {
            return Verdict::OtherBody;
        }
        if let Some(outcome) = &claim.outcome {
            return Verdict::Ended(outcome.clone());
        }
        if claim.attempt == attempt {
            return Verdict::Granted;
        }
        Verdict::Held(claim.attempt.clone())
    }

    /// Returns whether `attempt` holds `key` and has not ended.
    pub fn is_running(&self, key: BodyDigest, attempt: &str) -> bool {
        let claim = self.claims.get(&key);
        claim.is_some_and(|claim| claim.attempt == attempt && claim.outcome.is_none())
    }

    /// Skips the records below `first`, which the log has dropped.
    pub fn skip_to(&mut self, first: Offset) {
        self.next = self.next.max(first);
    }

    /// Removes claims written before `oldest`, in milliseconds since the Unix epoch.
    pub fn remove_expired(&mut self, oldest_ms: u64) {
        self.claims.retain(|_, claim| claim.written_ms >= oldest_ms);
    }

    /// Returns records that repeat the claims below `offset`, to append before the log drops those.
    ///
    /// At most `limit` claims are repeated, each with its outcome if it has one.
    pub fn republish(&self, offset: Offset, limit: usize) -> Vec<ClaimRecord> {
        let old_claims = self
            .claims
            .iter()
            .filter(|(_, claim)| claim.offset < offset);
        let records = |(key, claim): (&BodyDigest, &Claim)| {
            let claimed = KeyClaimed {
                key: key.0.to_vec(),
                body: claim.body.0.to_vec(),
                attempt: claim.attempt.clone(),
            };
            let finished = claim
                .outcome
                .as_ref()
                .map(|outcome| finished_record(*key, &claim.attempt, outcome));
            let claim_record = self.record(claim.written_ms, ClaimBody::KeyClaimed(claimed));
            let outcome_record = finished.map(|finished| {
                self.record(claim.written_ms, ClaimBody::AttemptFinished(finished))
            });
            [Some(claim_record), outcome_record].into_iter().flatten()
        };
        old_claims.take(limit).flat_map(records).collect()
    }

    fn record(&self, written_ms: u64, body: ClaimBody) -> ClaimRecord {
        ClaimRecord {
            fence: self.fence,
            written_ms,
            body: Some(body),
        }
    }

    fn apply_claimed(&mut self, offset: Offset, written_ms: u64, claimed: &KeyClaimed) -> bool {
        let key = BodyDigest::from_slice(&claimed.key);
        let body = BodyDigest::from_slice(&claimed.body);
        let (Some(key), Some(body)) = (key, body) else {
            return false;
        };
        if let Some(existing) = self.claims.get_mut(&key) {
            // A repeated record of the same claim only changes the claim's offset.
            if existing.attempt == claimed.attempt {
                existing.offset = offset;
            }
            return false;
        }
        let claim = Claim {
            body,
            attempt: claimed.attempt.clone(),
            outcome: None,
            written_ms,
            offset,
        };
        self.claims.insert(key, claim);
        true
    }

    fn apply_finished(&mut self, finished: &AttemptFinished) -> bool {
        let Some(key) = BodyDigest::from_slice(&finished.key) else {
            return false;
        };
        let Some(claim) = self.claims.get_mut(&key) else {
            return false;
        };
        if claim.attempt != finished.attempt || claim.outcome.is_some() {
            return false;
        }
        match RunOutcome::from_name(&finished.outcome) {
            Some(RunOutcome::NotRun) => {
                self.claims.remove(&key);
            }
            Some(run_outcome) => claim.outcome = Some(ClaimOutcome::NoAnswer(run_outcome)),
            None => {
                claim.outcome = Some(ClaimOutcome::Answered(RecordedAnswer {
                    status: finished.status as u16,
                    content_type: finished.content_type.clone(),
                    body: finished.answer.clone(),
                }));
            }
        }
        true
    }
}

fn finished_record(key: BodyDigest, attempt: &str, outcome: &ClaimOutcome) -> AttemptFinished {
    let mut finished = AttemptFinished {
        key: key.0.to_vec(),
        attempt: attempt.to_owned(),
        ..AttemptFinished::default()
    };
    match outcome {
        ClaimOutcome::NoAnswer(run_outcome) => finished.outcome = run_outcome.as_str().to_owned(),
        ClaimOutcome::Answered(answer) => {
            finished.outcome = "answered".to_owned();
            finished.status = u32::from(answer.status);
            finished.content_type = answer.content_type.clone();
            finished.answer = answer.body.clone();
        }
    }
    finished
}

impl ClaimOutcome {
    /// Returns the record that reports this outcome of `attempt`.
    pub fn to_record(&self, key: BodyDigest, attempt: &str) -> AttemptFinished {
        finished_record(key, attempt, self)
    }
}
