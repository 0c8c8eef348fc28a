//! Writes this instance's records to the control stream.

use std::time::{Duration, Instant};

use apricotwell_records::{AppendError, Body, CONTROL_STREAM, Record};
use apricotwell_types::{Incarnation, InstanceId, Offset};

use crate::Action;

/// Records in one append.
const MAX_GROUP: usize = 64;
/// Pause before the same records are appended again.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

#[derive(Debug)]
enum AppendState {
    // Sent; no answer yet.
    Sent,
    // The log may have them; the same bytes go again at the given time.
    Unknown(Instant),
    // The log has them up to and including this offset.
    Appended(Offset),
}

/// Writes records one group at a time.
///
/// # Invariants
///
/// A group whose outcome is unknown is appended again with the same numbers until its outcome is
/// known, before any later record: readers drop numbers that they have passed.
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
    // No append before this time, after the log took nothing.
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

    /// Returns whether all records are appended and applied here; only then may anything be
    /// planned from the state.
    pub(crate) fn is_idle(&self) -> bool {
        self.append_state.is_none() && self.queue.is_empty()
    }

    pub(crate) fn push(&mut self, body: Body) {
        self.queue.push(body);
    }

    /// Returns the next append; `next` is the first offset not yet applied.
    pub(crate) fn tick(&mut self, now: Instant, next: Offset, tickets: &mut u64) -> Option<Action> {
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
        *tickets += 1;
        self.ticket = *tickets;
        self.uncertain = false;
        self.append_state = Some(AppendState::Sent);
        Some(self.append())
    }

    /// Takes the outcome of an append; returns whether it dropped this writer's plans.
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
            // What was refused this time may have been taken the time before.
            Err(AppendError::NotAppended) if !self.uncertain => {
                self.append_state = None;
                self.pause_until = Some(now + RETRY_PAUSE);
                self.keep_observations();
                true
            }
            Err(_) => {
                self.uncertain = true;
                self.append_state = Some(AppendState::Unknown(now + RETRY_PAUSE));
                false
            }
        }
    }

    // Plans are made anew from the state; only a crash that was seen can't be derived again.
    fn keep_observations(&mut self) {
        let observations = self.group.drain(..).chain(self.queue.drain(..));
        let observations = observations.filter(|body| matches!(body, Body::Suspect(_)));
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
