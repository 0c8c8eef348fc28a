//! Appends this instance's records to the control stream.

use std::time::{Duration, Instant};

use apricotwell_records::{AppendError, Body, CONTROL_STREAM, Record};
use apricotwell_types::{Incarnation, InstanceId, Offset};

use crate::Action;

/// Largest number of records in one append.
const MAX_GROUP: usize = 64;
/// Delay before records are appended again.
const RETRY_DELAY: Duration = Duration::from_millis(250);

#[derive(Debug)]
enum AppendState {
    // Sent, no result yet.
    Sent,
    // The outcome is unknown; the same bytes are appended again at the given time.
    Unknown(Instant),
    // The log has the records; this is the offset of the last one.
    Appended(Offset),
}

/// Appends records in groups, one group at a time.
///
/// # Invariants
///
/// A group whose outcome is unknown is appended again, with the same sequence numbers and before
/// any later record, until its outcome is known. Readers skip sequence numbers that they have
/// already passed.
#[derive(Debug)]
pub(crate) struct LogWriter {
    id: InstanceId,
    incarnation: Incarnation,
    sequence: u64,
    queue: Vec<Body>,
    group: Vec<Body>,
    bytes: Vec<Vec<u8>>,
    append_state: Option<AppendState>,
    ticket: u64,
    // Whether an earlier append of the group may still take effect.
    uncertain: bool,
    // Earliest time of the next append, set after the log rejected one.
    pause_until: Option<Instant>,
}

impl LogWriter {
    pub(crate) fn new(id: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            id,
            incarnation,
            sequence: 0,
            queue: Vec::new(),
            group: Vec::new(),
            bytes: Vec::new(),
            append_state: None,
            ticket: 0,
            uncertain: false,
            pause_until: None,
        }
    }

    /// Returns whether all records are appended and applied by this instance.
    ///
    /// Only then may anything be planned from the state.
    pub(crate) fn is_idle(&self) -> bool {
        self.append_state.is_none() && self.queue.is_empty()
    }

    pub(crate) fn push(&mut self, body: Body) {
        self.queue.push(body);
    }

    /// Returns the append that is due, if any; `next` is the first offset not yet applied.
    pub(crate) fn tick(
        &mut self,
        now: Instant,
        next: Offset,
        last_ticket: &mut u64,
    ) -> Option<Action> {
        match self.append_state {
            Some(AppendState::Appended(last)) if next > last => self.append_state = None,
            Some(AppendState::Unknown(at)) if now >= at => {
                self.append_state = Some(AppendState::Sent);
                return Some(self.append());
            }
            _ => {}
        }
        let pausing = self.pause_until.is_some_and(|until| now < until);
        if self.append_state.is_some() || self.queue.is_empty() || pausing {
            return None;
        }
        let count = self.queue.len().min(MAX_GROUP);
        self.group = self.queue.drain(..count).collect();
        self.bytes = Vec::with_capacity(count);
        for body in &self.group {
            self.sequence += 1;
            let record = Record::new(&self.id, self.incarnation, self.sequence, body.clone());
            self.bytes.push(record.to_bytes());
        }
        *last_ticket += 1;
        self.ticket = *last_ticket;
        self.uncertain = false;
        self.append_state = Some(AppendState::Sent);
        Some(self.append())
    }

    /// Handles the result of an append and returns whether queued records were dropped.
    pub(crate) fn on_appended(
        &mut self,
        now: Instant,
        ticket: u64,
        result: Result<Offset, AppendError>,
    ) -> bool {
        if ticket != self.ticket || !matches!(self.append_state, Some(AppendState::Sent)) {
            return false;
        }
        match result {
            Ok(first) => {
                let last = first + self.bytes.len() as Offset - 1;
                self.append_state = Some(AppendState::Appended(last));
                false
            }
            // After an uncertain append a rejection proves nothing: the earlier one may have
            // succeeded.
            Err(AppendError::NotAppended) if !self.uncertain => {
                self.append_state = None;
                self.pause_until = Some(now + RETRY_DELAY);
                self.keep_observations();
                true
            }
            Err(_) => {
                self.uncertain = true;
                self.append_state = Some(AppendState::Unknown(now + RETRY_DELAY));
                false
            }
        }
    }

    // Drops the records that will be derived again from the state. Observed crashes can't be
    // derived, so they are kept.
    fn keep_observations(&mut self) {
        let observations = self.group.drain(..).chain(self.queue.drain(..));
        let observations = observations.filter(|body| matches!(body, Body::CrashSuspect(_)));
        self.queue = observations.collect();
    }

    fn append(&self) -> Action {
        Action::Append {
            stream: CONTROL_STREAM.to_owned(),
            ticket: self.ticket,
            records: self.bytes.clone(),
        }
    }
}
