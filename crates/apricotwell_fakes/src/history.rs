//! History of a simulation, for checks by tests.

use std::collections::BTreeMap;
use std::time::Instant;

use apricotwell_types::{Refusal, RunOutcome, Tokens};

/// Tokens that one run of a request used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenUse {
    /// Time at which the request was dispatched to a server.
    pub at: Instant,
    /// Organisation that sent the request.
    pub org: String,
    /// Number of tokens.
    pub tokens: Tokens,
}

/// Outcome of a call, as its client sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call ran and was answered.
    Answered,
    /// The stored answer of an earlier call was replayed.
    Replayed,
    /// The call was refused.
    Refused(Refusal),
}

/// History of a simulation.
#[derive(Debug, Default)]
pub struct History {
    /// Number of runs by idempotency key.
    pub runs: BTreeMap<String, u32>,
    /// Number of runs by call number.
    pub call_runs: BTreeMap<u64, u32>,
    /// Time and outcome of each finished call, by call number.
    pub outcomes: BTreeMap<u64, (Instant, CallOutcome)>,
    /// Server and time of each request that an engine received, in order.
    pub arrivals: Vec<(String, Instant)>,
    /// Tokens used, in order of dispatch.
    pub token_uses: Vec<TokenUse>,
    violations: Vec<String>,
}

impl History {
    /// Returns a description of each violation of an invariant.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    pub(crate) fn record_violation(&mut self, violation: String) {
        if !self.violations.contains(&violation) {
            self.violations.push(violation);
        }
    }

    pub(crate) fn record_outcome(&mut self, now: Instant, call: u64, outcome: CallOutcome) {
        let runs = self.call_runs.get(&call).copied().unwrap_or(0);
        if let CallOutcome::Refused(refusal) = &outcome
            && refusal.outcome == RunOutcome::NotRun
            && runs > 0
        {
            self.record_violation(format!(
                "call {call} was refused as not run, although it ran"
            ));
        }
        if self.outcomes.insert(call, (now, outcome)).is_some() {
            self.record_violation(format!("call {call} has more than one outcome"));
        }
    }

    /// Returns by how many tokens an organisation exceeded rate and burst, at most, in any time
    /// window.
    pub fn max_excess(&self, org: &str, rate: Tokens, burst: Tokens) -> f64 {
        let uses: Vec<&TokenUse> = self
            .token_uses
            .iter()
            .filter(|used| used.org == org)
            .collect();
        // Simulates a token bucket that starts full and is charged for every use. A negative level
        // is the excess in the worst window that ends at that use.
        let mut level = burst as f64;
        let mut worst: f64 = 0.0;
        let mut last = uses.first().map(|used| used.at);
        for used in uses {
            if let Some(before) = last {
                let elapsed = used.at.saturating_duration_since(before).as_secs_f64();
                level = (level + elapsed * rate as f64).min(burst as f64);
            }
            last = Some(used.at);
            level -= used.tokens as f64;
            worst = worst.max(-level);
        }
        worst
    }
}
