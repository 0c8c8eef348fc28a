//! Fold of a claim stream.

use std::collections::BTreeMap;

use apricotwell_records::{ClaimBody, ClaimRecord, Claimed, Finished};
use apricotwell_types::{BodyDigest, Ending, Fence, Offset};

/// Answer that is replayed to a repeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body; empty when it was too large to keep.
    pub body: Vec<u8>,
}

/// How a claimed attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The caller got an answer.
    Answered(RecordedAnswer),
    /// No answer, with what is known of the run.
    NoAnswer(Ending),
}

/// What a request with an idempotency key may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nobody holds the key.
    Free,
    /// This attempt holds the key and may dispatch once.
    Granted,
    /// The attempt named here holds the key and has not ended.
    Held(String),
    /// An attempt with this key and body ended.
    Ended(ClaimOutcome),
    /// The key came with another body.
    OtherBody,
}

#[derive(Clone, Debug)]
struct Claim {
    body: BodyDigest,
    attempt: String,
    outcome: Option<ClaimOutcome>,
    written: u64,
    offset: Offset,
}

/// Claims of one shard.
///
/// # Invariants
///
/// A key has at most one claim; the first in log order under a valid fence wins. A claim that
/// ended as not run is removed, since its key may run again.
#[derive(Debug, Default)]
pub struct ClaimTable {
    fence: Fence,
    next: Offset,
    claims: BTreeMap<BodyDigest, Claim>,
}

impl ClaimTable {
    /// Returns the highest fence opened so far.
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

    /// Returns whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Applies the record at `offset`; returns whether it had an effect.
    pub fn apply(&mut self, offset: Offset, record: &ClaimRecord) -> bool {
        if offset < self.next() {
            return false;
        }
        self.next = offset + 1;
        if record.fence < self.fence {
            return false;
        }
        match &record.body {
            Some(ClaimBody::Opened(_)) => {
                self.fence = record.fence;
                true
            }
            Some(ClaimBody::Claimed(claimed)) => {
                self.apply_claimed(offset, record.written, claimed)
            }
            Some(ClaimBody::Finished(finished)) => self.apply_finished(finished),
            None => false,
        }
    }

    /// Returns what attempt `attempt` with this key and body may do.
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

    /// Returns whether `attempt` holds a key and has not ended.
    pub fn is_running(&self, key: BodyDigest, attempt: &str) -> bool {
        let claim = self.claims.get(&key);
        claim.is_some_and(|claim| claim.attempt == attempt && claim.outcome.is_none())
    }

    /// Skips records that the log has dropped.
    pub fn skip_to(&mut self, first: Offset) {
        self.next = self.next.max(first);
    }

    /// Forgets claims written before `before`, in milliseconds since the Unix epoch.
    pub fn remove_expired(&mut self, before: u64) {
        self.claims.retain(|_, claim| claim.written >= before);
    }

    /// Returns records that write the claims below `offset` anew, before the log drops them.
    pub fn republish(&self, offset: Offset, limit: usize) -> Vec<ClaimRecord> {
        let old = self
            .claims
            .iter()
            .filter(|(_, claim)| claim.offset < offset);
        let records = |(key, claim): (&BodyDigest, &Claim)| {
            let claimed = Claimed {
                key: key.0.to_vec(),
                body: claim.body.0.to_vec(),
                attempt: claim.attempt.clone(),
            };
            let finished = claim
                .outcome
                .as_ref()
                .map(|outcome| finished_record(*key, &claim.attempt, outcome));
            let first = self.record(claim.written, ClaimBody::Claimed(claimed));
            let second =
                finished.map(|finished| self.record(claim.written, ClaimBody::Finished(finished)));
            [Some(first), second].into_iter().flatten()
        };
        old.take(limit).flat_map(records).collect()
    }

    fn record(&self, written: u64, body: ClaimBody) -> ClaimRecord {
        ClaimRecord {
            fence: self.fence,
            written,
            body: Some(body),
        }
    }

    fn apply_claimed(&mut self, offset: Offset, written: u64, claimed: &Claimed) -> bool {
        let key = BodyDigest::from_slice(&claimed.key);
        let body = BodyDigest::from_slice(&claimed.body);
        let (Some(key), Some(body)) = (key, body) else {
            return false;
        };
        if let Some(known) = self.claims.get_mut(&key) {
            // The same claim written anew moves its place in the log and nothing else.
            if known.attempt == claimed.attempt {
                known.offset = offset;
            }
            return false;
        }
        let claim = Claim {
            body,
            attempt: claimed.attempt.clone(),
            outcome: None,
            written,
            offset,
        };
        self.claims.insert(key, claim);
        true
    }

    fn apply_finished(&mut self, finished: &Finished) -> bool {
        let Some(key) = BodyDigest::from_slice(&finished.key) else {
            return false;
        };
        let Some(claim) = self.claims.get_mut(&key) else {
            return false;
        };
        if claim.attempt != finished.attempt || claim.outcome.is_some() {
            return false;
        }
        match Ending::from_name(&finished.outcome) {
            Some(Ending::NotRun) => {
                self.claims.remove(&key);
            }
            Some(ending) => claim.outcome = Some(ClaimOutcome::NoAnswer(ending)),
            None => {
                claim.outcome = Some(ClaimOutcome::Answered(RecordedAnswer {
                    status: finished.status as u16,
                    content_type: finished.media.clone(),
                    body: finished.answer.clone(),
                }));
            }
        }
        true
    }
}

fn finished_record(key: BodyDigest, attempt: &str, outcome: &ClaimOutcome) -> Finished {
    let mut finished = Finished {
        key: key.0.to_vec(),
        attempt: attempt.to_owned(),
        ..Finished::default()
    };
    match outcome {
        ClaimOutcome::NoAnswer(ending) => finished.outcome = ending.as_str().to_owned(),
        ClaimOutcome::Answered(answer) => {
            finished.outcome = "answered".to_owned();
            finished.status = u32::from(answer.status);
            finished.media = answer.content_type.clone();
            finished.answer = answer.body.clone();
        }
    }
    finished
}

impl ClaimOutcome {
    /// Returns the record that tells this outcome of an attempt.
    pub fn to_record(&self, key: BodyDigest, attempt: &str) -> Finished {
        finished_record(key, attempt, self)
    }
}
