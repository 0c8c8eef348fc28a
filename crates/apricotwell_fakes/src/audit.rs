//! What happened in a world, for checks.

use std::collections::BTreeMap;
use std::time::Instant;

use apricotwell_types::{Refusal, RunOutcome, Tokens};

/// Tokens used by a request, counted when it was admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spent {
    /// When the request was given to a server.
    pub at: Instant,
    /// Organisation.
    pub org: String,
    /// Tokens.
    pub tokens: Tokens,
}

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// With a fresh answer.
    Answered,
    /// With a recorded answer.
    Replayed,
    /// With a refusal.
    Refused(Refusal),
}

/// What happened in a world.
#[derive(Debug, Default)]
pub struct Audit {
    /// Runs of each idempotency key.
    pub runs: BTreeMap<String, u32>,
    /// Runs of each call.
    pub call_runs: BTreeMap<u64, u32>,
    /// Ends of each call.
    pub ends: BTreeMap<u64, (Instant, Finish)>,
    /// Tokens used.
    pub spent: Vec<Spent>,
    broken: Vec<String>,
}

impl Audit {
    /// Returns the invariants that were broken.
    pub fn broken(&self) -> &[String] {
        &self.broken
    }

    pub(crate) fn breaks(&mut self, what: String) {
        if !self.broken.contains(&what) {
            self.broken.push(what);
        }
    }

    pub(crate) fn end(&mut self, now: Instant, call: u64, finish: Finish) {
        let ran = self.call_runs.get(&call).copied().unwrap_or(0);
        if let Finish::Refused(refusal) = &finish
            && refusal.outcome == RunOutcome::NotRun
            && ran > 0
        {
            self.breaks(format!("call {call} was refused as not run and ran"));
        }
        if self.ends.insert(call, (now, finish)).is_some() {
            self.breaks(format!("call {call} ended twice"));
        }
    }

    /// Returns how many tokens an organisation used at most beyond rate and burst in any window.
    pub fn exceeded(&self, org: &str, rate: Tokens, burst: Tokens) -> f64 {
        let spent: Vec<&Spent> = self.spent.iter().filter(|spent| spent.org == org).collect();
        // A bucket that starts full and charges every use is empty at the least.
        let mut level = burst as f64;
        let mut worst: f64 = 0.0;
        let mut last = spent.first().map(|spent| spent.at);
        for spent in spent {
            if let Some(before) = last {
                let elapsed = spent.at.saturating_duration_since(before).as_secs_f64();
                level = (level + elapsed * rate as f64).min(burst as f64);
            }
            last = Some(spent.at);
            level -= spent.tokens as f64;
            worst = worst.max(-level);
        }
        worst
    }
}
