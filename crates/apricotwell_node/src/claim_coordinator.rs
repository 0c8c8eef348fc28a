//! Lease holder's side of the claim protocol: applies claim streams and answers claims.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_claims::{BodyDigest, ClaimOutcome, ClaimTable, Verdict};
use apricotwell_messages::{
    ClaimFinish, ClaimFinishAck, ClaimReply, ClaimRequest, ClaimVerdict, Message,
};
use apricotwell_records::{
    AppendError, AttemptFinished, ClaimBody, ClaimRecord, KeyClaimed, LogBatch, ReadError,
    StreamOpened, claim_stream,
};
use apricotwell_types::{Fence, InstanceId, Offset, RunOutcome, Shard};

use crate::Action;

/// Delay before an append is repeated; a failed or unanswered read is repeated after five times as
/// long.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time after which a claim without a verdict is rejected as unavailable.
const MAX_CLAIM_AGE: Duration = Duration::from_secs(2);
/// Time that a claim waits for the outcome of another attempt with its key.
const MAX_HELD_WAIT: Duration = Duration::from_millis(1000);
/// Largest number of claims, of outcomes, and of rewritten claims in one append.
const MAX_GROUP: usize = 64;
/// Largest number of claims, and of outcomes, that wait on one shard.
const MAX_QUEUE: usize = 4096;

/// Reply to an instance, which may be this one.
pub(crate) type Reply = (InstanceId, Message);

#[derive(Debug)]
struct PendingClaim {
    from: InstanceId,
    claim: ClaimRequest,
    since: Instant,
}

#[derive(Debug)]
struct PendingOutcome {
    from: InstanceId,
    finished: AttemptFinished,
}

#[derive(Debug)]
struct InFlight {
    ticket: u64,
    records: Vec<Vec<u8>>,
    // Offset of the group's last record, once it is appended.
    last: Option<Offset>,
    // When the same bytes are appended again, because the outcome is unknown.
    retry: Option<Instant>,
    // Whether an earlier append of the group may still take effect.
    uncertain: bool,
    // Attempts that the group claims keys for.
    attempts: Vec<String>,
}

/// One claim shard held by this instance.
///
/// # Invariants
///
/// A verdict comes only from a table that contains the record of the claim itself or of an earlier
/// claim on its key, and whose highest opened fence is the fence of this holder.
#[derive(Debug)]
struct HeldShard {
    fence: Fence,
    table: ClaimTable,
    pending: Vec<PendingClaim>,
    outcomes: Vec<PendingOutcome>,
    in_flight: Option<InFlight>,
    reading: Option<Instant>,
    pause_until: Option<Instant>,
    // Whether the record that opens this holder's term has been sent to the log.
    opening: bool,
    // Claims recorded below this offset must be rewritten.
    republish_below: Offset,
    // End of the stream when the latest rewrite of claims began.
    republish_boundary: Offset,
    republish_at: Option<Instant>,
}

/// Claim shards held by this instance.
#[derive(Debug, Default)]
pub(crate) struct ClaimCoordinator {
    shards: BTreeMap<Shard, HeldShard>,
}

impl ClaimCoordinator {
    /// Handles a claim on a key in a shard held under `fence`.
    pub(crate) fn on_claim(
        &mut self,
        now: Instant,
        shard: Shard,
        fence: Fence,
        from: InstanceId,
        claim: ClaimRequest,
    ) -> Option<Reply> {
        let held = self.shard(shard, fence);
        if held.pending.len() >= MAX_QUEUE {
            return Some(reply(from, &claim.attempt, ClaimVerdict::Unavailable, None));
        }
        let known = held
            .pending
            .iter()
            .any(|known| known.claim.attempt == claim.attempt);
        if !known {
            held.pending.push(PendingClaim {
                from,
                claim,
                since: now,
            });
        }
        None
    }

    /// Handles the outcome of an attempt in a shard held under `fence`.
    pub(crate) fn on_finish(
        &mut self,
        shard: Shard,
        fence: Fence,
        from: InstanceId,
        finish: ClaimFinish,
    ) {
        let Some(finished) = finish.finished else {
            return;
        };
        let held = self.shard(shard, fence);
        // The attempt is over: claiming its key now would block the key forever.
        held.pending
            .retain(|waiting| waiting.claim.attempt != finished.attempt);
        let known = held
            .outcomes
            .iter()
            .any(|outcome| outcome.finished.attempt == finished.attempt);
        if !known && held.outcomes.len() < MAX_QUEUE {
            held.outcomes.push(PendingOutcome { from, finished });
        }
    }

    /// Returns the replies, appends and reads that are due.
    ///
    /// `has_ended` returns whether the process that made an attempt has ended.
    pub(crate) fn tick<F>(
        &mut self,
        now: Instant,
        wall: Duration,
        retention: Duration,
        last_ticket: &mut u64,
        has_ended: F,
    ) -> (Vec<Reply>, Vec<Action>)
    where
        F: Fn(&str) -> bool,
    {
        let mut replies = Vec::new();
        let mut actions = Vec::new();
        let wall_ms = wall.as_millis() as u64;
        let oldest_ms = wall_ms.saturating_sub(retention.as_millis() as u64);
        for (shard, held) in &mut self.shards {
            held.table.remove_expired(oldest_ms);
            held.reject_expired(now, &mut replies);
            held.send_verdicts(now, &has_ended, &mut replies);
            actions.extend(held.append(now, *shard, wall_ms, last_ticket));
            actions.extend(held.read(now, *shard));
        }
        (replies, actions)
    }

    /// Handles the result of an append.
    pub(crate) fn on_appended(
        &mut self,
        now: Instant,
        ticket: u64,
        result: Result<Offset, AppendError>,
    ) {
        let find = |held: &&mut HeldShard| {
            let in_flight = held.in_flight.as_ref();
            in_flight.is_some_and(|in_flight| in_flight.ticket == ticket)
        };
        let Some(held) = self.shards.values_mut().find(find) else {
            return;
        };
        let Some(in_flight) = &mut held.in_flight else {
            return;
        };
        match result {
            Ok(first) => in_flight.last = Some(first + in_flight.records.len() as Offset - 1),
            // After an uncertain append a rejection proves nothing: the earlier one may have
            // succeeded.
            Err(AppendError::NotAppended) if !in_flight.uncertain => {
                held.in_flight = None;
                held.opening = false;
                held.pause_until = Some(now + RETRY_DELAY);
            }
            Err(_) => {
                in_flight.uncertain = true;
                in_flight.retry = Some(now + RETRY_DELAY);
            }
        }
    }

    /// Handles the result of a read.
    pub(crate) fn on_read(
        &mut self,
        now: Instant,
        stream: &str,
        result: Result<LogBatch, ReadError>,
    ) {
        let found = self
            .shards
            .iter_mut()
            .find(|(shard, _)| claim_stream(**shard) == stream);
        if let Some((_, held)) = found {
            held.on_read(now, result);
        }
    }

    /// Drops the shards for which `fence_of` no longer returns their fence.
    ///
    /// Their pending claims are dropped too; the new holder finds those that were appended.
    pub(crate) fn retain<F>(&mut self, fence_of: F)
    where
        F: Fn(Shard) -> Option<Fence>,
    {
        self.shards
            .retain(|shard, held| fence_of(*shard) == Some(held.fence));
    }

    /// Keeps a shard open under `fence`, and rewrites claims that are older than one `period`.
    pub(crate) fn keep_open(&mut self, now: Instant, shard: Shard, fence: Fence, period: Duration) {
        let held = self.shard(shard, fence);
        let due = held.republish_at.get_or_insert(now + period);
        if now < *due {
            return;
        }
        held.republish_at = Some(now + period);
        held.republish_below = held.republish_boundary;
        held.republish_boundary = held.table.next();
    }

    /// Returns the number of claims over all held shards.
    pub(crate) fn claims(&self) -> usize {
        self.shards.values().map(|held| held.table.len()).sum()
    }

    fn shard(&mut self, shard: Shard, fence: Fence) -> &mut HeldShard {
        let known = self.shards.get(&shard).map(|held| held.fence);
        if known != Some(fence) {
            self.shards.insert(shard, HeldShard::new(fence));
        }
        self.shards
            .entry(shard)
            .or_insert_with(|| HeldShard::new(fence))
    }
}

impl HeldShard {
    fn new(fence: Fence) -> Self {
        Self {
            fence,
            table: ClaimTable::default(),
            pending: Vec::new(),
            outcomes: Vec::new(),
            in_flight: None,
            reading: None,
            pause_until: None,
            opening: false,
            republish_below: 0,
            republish_boundary: 0,
            republish_at: None,
        }
    }

    // A table has seen all earlier claims only if it contains the record that opened this term.
    fn is_open(&self) -> bool {
        self.table.fence() == self.fence
    }

    fn is_superseded(&self) -> bool {
        self.table.fence() > self.fence
    }

    fn reject_expired(&mut self, now: Instant, replies: &mut Vec<Reply>) {
        let superseded = self.is_superseded();
        self.pending.retain(|waiting| {
            let late = now >= waiting.since + MAX_CLAIM_AGE;
            if !late && !superseded {
                return true;
            }
            let verdict = if superseded {
                ClaimVerdict::NotHolder
            } else {
                ClaimVerdict::Unavailable
            };
            replies.push(reply(
                waiting.from.clone(),
                &waiting.claim.attempt,
                verdict,
                None,
            ));
            false
        });
    }

    fn send_verdicts<F>(&mut self, now: Instant, has_ended: &F, replies: &mut Vec<Reply>)
    where
        F: Fn(&str) -> bool,
    {
        if !self.is_open() {
            return;
        }
        let table = &self.table;
        let outcomes = &mut self.outcomes;
        self.pending.retain(|waiting| {
            let Some((verdict, finished)) = decide(table, outcomes, &waiting.claim, has_ended)
            else {
                return true;
            };
            // The attempt that holds the key usually ends soon, and its answer serves this claim
            // too.
            if verdict == ClaimVerdict::Held && now < waiting.since + MAX_HELD_WAIT {
                return true;
            }
            let attempt = &waiting.claim.attempt;
            replies.push(reply(waiting.from.clone(), attempt, verdict, finished));
            false
        });
        let in_flight = self.in_flight.as_ref();
        self.outcomes.retain(|outcome| {
            let attempt = &outcome.finished.attempt;
            let may_be_claimed =
                in_flight.is_some_and(|in_flight| in_flight.attempts.contains(attempt));
            let done = !may_be_claimed && is_recorded(table, &outcome.finished);
            if done && !outcome.from.is_empty() {
                let attempt = outcome.finished.attempt.clone();
                let confirmation = Message::ClaimFinishAck(ClaimFinishAck { attempt });
                replies.push((outcome.from.clone(), confirmation));
            }
            !done
        });
    }

    fn append(
        &mut self,
        now: Instant,
        shard: Shard,
        wall_ms: u64,
        last_ticket: &mut u64,
    ) -> Option<Action> {
        if let Some(in_flight) = &mut self.in_flight {
            if in_flight.last.is_some_and(|last| self.table.next() > last) {
                self.in_flight = None;
            } else if in_flight.retry.is_some_and(|at| now >= at) {
                in_flight.retry = None;
                return Some(append_action(shard, in_flight));
            } else {
                return None;
            }
        }
        if self.pause_until.is_some_and(|until| now < until) || self.is_superseded() {
            return None;
        }
        let bodies = self.next_group();
        let attempts = claimed_attempts(&bodies);
        let record = |body| ClaimRecord {
            fence: self.fence,
            written_ms: wall_ms,
            body: Some(body),
        };
        let mut records: Vec<Vec<u8>> = bodies
            .into_iter()
            .map(|body| record(body).to_bytes())
            .collect();
        if self.is_open() && self.republish_below > 0 {
            let republished = self.table.republish(self.republish_below, MAX_GROUP);
            if republished.is_empty() {
                self.republish_below = 0;
            }
            records.extend(republished.iter().map(ClaimRecord::to_bytes));
        }
        if records.is_empty() {
            return None;
        }
        *last_ticket += 1;
        let in_flight = InFlight {
            ticket: *last_ticket,
            records,
            last: None,
            retry: None,
            uncertain: false,
            attempts,
        };
        let action = append_action(shard, &in_flight);
        self.in_flight = Some(in_flight);
        Some(action)
    }

    fn next_group(&mut self) -> Vec<ClaimBody> {
        if !self.is_open() {
            if self.opening {
                return Vec::new();
            }
            self.opening = true;
            return vec![ClaimBody::StreamOpened(StreamOpened {})];
        }
        let outcomes = self.outcomes.iter().take(MAX_GROUP);
        let mut bodies: Vec<ClaimBody> = outcomes
            .map(|outcome| ClaimBody::AttemptFinished(outcome.finished.clone()))
            .collect();
        let table = &self.table;
        let is_free = |waiting: &&PendingClaim| is_free(table, &waiting.claim);
        for waiting in self.pending.iter().filter(is_free).take(MAX_GROUP) {
            bodies.push(ClaimBody::KeyClaimed(KeyClaimed {
                key: waiting.claim.key.clone(),
                body: waiting.claim.body.clone(),
                attempt: waiting.claim.attempt.clone(),
            }));
        }
        bodies
    }

    // Reads the stream until it has returned everything that was appended.
    fn read(&mut self, now: Instant, shard: Shard) -> Option<Action> {
        let appended = self
            .in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.last.is_some());
        if !appended || self.reading.is_some_and(|at| now < at + RETRY_DELAY * 5) {
            return None;
        }
        self.reading = Some(now);
        Some(Action::ReadClaims {
            stream: claim_stream(shard),
            from: self.table.next(),
        })
    }

    fn on_read(&mut self, now: Instant, result: Result<LogBatch, ReadError>) {
        self.reading = None;
        match result {
            Ok(batch) => {
                for (offset, bytes) in (batch.first..).zip(&batch.records) {
                    if let Some(record) = ClaimRecord::from_bytes(bytes) {
                        self.table.apply(offset, &record);
                    } else {
                        let unknown = ClaimRecord::default();
                        self.table.apply(offset, &unknown);
                    }
                }
            }
            // Claims are rewritten before the log drops them, so only expired ones are missing.
            Err(ReadError::Expired(first)) => self.table.skip_to(first),
            Err(ReadError::Unreachable) => self.reading = Some(now),
        }
    }
}

// Returns the verdict on a claim; `None` until its record is appended and read back.
fn decide<F>(
    table: &ClaimTable,
    outcomes: &mut Vec<PendingOutcome>,
    claim: &ClaimRequest,
    has_ended: &F,
) -> Option<(ClaimVerdict, Option<AttemptFinished>)>
where
    F: Fn(&str) -> bool,
{
    let key = BodyDigest::from_slice(&claim.key);
    let body = BodyDigest::from_slice(&claim.body);
    let (Some(key), Some(body)) = (key, body) else {
        return Some((ClaimVerdict::Unavailable, None));
    };
    match table.verdict(key, body, &claim.attempt) {
        Verdict::Free => None,
        Verdict::Granted => Some((ClaimVerdict::Granted, None)),
        Verdict::OtherBody => Some((ClaimVerdict::OtherBody, None)),
        Verdict::Ended(outcome) => {
            let finished = outcome.to_record(key, &claim.attempt);
            Some((ClaimVerdict::Ended, Some(finished)))
        }
        Verdict::Held(attempt) if has_ended(&attempt) => {
            // The process ended without reporting an outcome, so the outcome stays unknown.
            let unknown = ClaimOutcome::NoAnswer(RunOutcome::Unknown).to_record(key, &attempt);
            if !outcomes
                .iter()
                .any(|outcome| outcome.finished.attempt == attempt)
            {
                outcomes.push(PendingOutcome {
                    from: "".into(),
                    finished: unknown,
                });
            }
            None
        }
        Verdict::Held(_) => Some((ClaimVerdict::Held, None)),
    }
}

// An outcome is recorded once its claim has an outcome, or no longer exists because the attempt
// did not run.
fn is_recorded(table: &ClaimTable, finished: &AttemptFinished) -> bool {
    let Some(key) = BodyDigest::from_slice(&finished.key) else {
        return true;
    };
    !table.is_running(key, &finished.attempt)
}

fn is_free(table: &ClaimTable, claim: &ClaimRequest) -> bool {
    let key = BodyDigest::from_slice(&claim.key);
    let body = BodyDigest::from_slice(&claim.body);
    let verdict = key
        .zip(body)
        .map(|(key, body)| table.verdict(key, body, &claim.attempt));
    verdict == Some(Verdict::Free)
}

fn claimed_attempts(bodies: &[ClaimBody]) -> Vec<String> {
    let attempt = |body: &ClaimBody| match body {
        ClaimBody::KeyClaimed(claimed) => Some(claimed.attempt.clone()),
        ClaimBody::StreamOpened(_) | ClaimBody::AttemptFinished(_) => None,
    };
    bodies.iter().filter_map(attempt).collect()
}

fn append_action(shard: Shard, in_flight: &InFlight) -> Action {
    Action::Append {
        stream: claim_stream(shard),
        ticket: in_flight.ticket,
        records: in_flight.records.clone(),
    }
}

fn reply(
    to: InstanceId,
    attempt: &str,
    verdict: ClaimVerdict,
    finished: Option<AttemptFinished>,
) -> Reply {
    let reply = ClaimReply {
        attempt: attempt.to_owned(),
        verdict: verdict as i32,
        finished,
    };
    (to, Message::ClaimReply(reply))
}
