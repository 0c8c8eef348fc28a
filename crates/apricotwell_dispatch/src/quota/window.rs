//! What one organisation spent in the last window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use apricotwell_types::{InstanceId, Map, Tokens};

/// Share of the other instances that are taken to admit a request like the one at hand before they hear
/// of it.
const SAME_TIME_SHARE: f64 = 0.25;
/// Multiple of its rate at which an organisation is taken to ask at most.
const FLOOD: f64 = 8.0;
/// Time that news of spending takes at least.
const LEAST_LAG: Duration = Duration::from_millis(300);
/// Share of the time in which the instance grants what a refused caller asked for, by which the next one
/// is to come back later: not all come back, and those who do are also served elsewhere.
const TURN_SHARE: f64 = 0.3;
/// Windows for which a caller is asked to stay away at most.
const MAX_TURN_WINDOWS: u32 = 2;
/// Spans into which the window is cut; the oldest one counts until all of it is outside.
pub(super) const SPANS: u32 = 16;

/// What an organisation spent in the last window, and how much it may.
#[derive(Debug)]
pub(super) struct Window {
    // Tokens allowed in one window; unlimited before the configuration is known.
    pub(super) limit: f64,
    // Tokens by span, the current one last; may be negative after a refund. Never empty.
    pub(super) spans: VecDeque<f64>,
    // Begin of the current span.
    pub(super) begun: Instant,
    // Tokens that this instance has spent since its start.
    pub(super) spent: Tokens,
    // Those of them that the others have not been told, and since when.
    pub(super) untold: Tokens,
    pub(super) told_at: Instant,
    // When the next caller that is refused should come back, at the earliest.
    pub(super) turn: Instant,
    // Spending told by other instances: start number and sum since then.
    pub(super) told: Map<InstanceId, (u64, Tokens)>,
}

impl Window {
    /// Returns the window of a fleet that has spent `part` of its limit, evenly.
    pub(super) fn new(now: Instant, limit: f64, part: f64) -> Self {
        let span = limit * part / f64::from(SPANS);
        let mut spans: VecDeque<f64> = (0..SPANS).map(|_| span).collect();
        spans.push_back(0.0);
        Self {
            limit,
            spans,
            begun: now,
            spent: 0,
            untold: 0,
            told_at: now,
            turn: now,
            told: Map::default(),
        }
    }

    pub(super) fn advance(&mut self, now: Instant, span: Duration) {
        while now.saturating_duration_since(self.begun) >= span {
            self.begun += span;
            self.spans.push_back(0.0);
            if self.spans.len() > SPANS as usize + 1 {
                self.spans.pop_front();
            }
        }
    }

    // A lower limit takes hold of what is spent from now on: what was spent under the old one is
    // scaled with it.
    pub(super) fn set_limit(&mut self, limit: f64) {
        if limit < self.limit && self.limit < f64::MAX {
            let scale = limit / self.limit;
            self.spans.iter_mut().for_each(|span| *span *= scale);
        }
        self.limit = limit;
    }

    pub(super) fn level(&self, part: f64) -> f64 {
        self.limit * part - self.sum()
    }

    pub(super) fn sum(&self) -> f64 {
        self.spans.iter().sum()
    }

    pub(super) fn add(&mut self, tokens: f64) {
        if let Some(current) = self.spans.back_mut() {
            *current += tokens;
        }
    }

    // Tokens a second that the fleet spent of late.
    pub(super) fn recent_rate(&self, now: Instant, span: Duration) -> f64 {
        let passed = now.saturating_duration_since(self.begun);
        let recent: f64 = self.spans.iter().rev().take(2).sum();
        recent / (span + passed).as_secs_f64()
    }

    // Tokens that the other instances are taken to have spent and not yet told: each as many as this one,
    // with a share of the request at hand, and all of them no less than at the rate of late.
    pub(super) fn untold_by_others(
        &self,
        now: Instant,
        span: Duration,
        cost: f64,
        heard: f64,
    ) -> f64 {
        let rate = self.recent_rate(now, span);
        // The others told theirs between now and as long ago as this instance.
        let age = now.saturating_duration_since(self.told_at).min(span) / 2;
        let others = (heard - 1.0) / heard;
        let own = self.untold as f64 + cost * SAME_TIME_SHARE;
        let flood = self.limit / (span * SPANS).as_secs_f64() * FLOOD;
        let most = flood * age.max(LEAST_LAG).as_secs_f64();
        (own * (heard - 1.0))
            .min(most)
            .max(rate * age.as_secs_f64() * others)
    }

    // Time after which a caller should come back for `cost` tokens: when so many have left the window,
    // and behind those who were refused before. The first one's turn is at the instance's own phase,
    // so that the callers of all instances come back one after the other.
    pub(super) fn take_turn(
        &mut self,
        now: Instant,
        span: Duration,
        missing: f64,
        turn: Turn,
    ) -> Duration {
        let free = now + self.time_to_free(now, span, missing);
        let latest = now + span * SPANS * MAX_TURN_WINDOWS;
        let time = Duration::from_secs_f64(turn.cost * TURN_SHARE / turn.rate.max(1.0));
        let at = self.turn.max(free + time.mul_f64(turn.phase)).min(latest);
        self.turn = at + time;
        at.saturating_duration_since(now)
    }

    // Time until so many tokens have left the window.
    pub(super) fn time_to_free(&self, now: Instant, span: Duration, missing: f64) -> Duration {
        let passed = now.saturating_duration_since(self.begun);
        let mut freed = 0.0;
        let mut time = span.saturating_sub(passed);
        for spent in &self.spans {
            freed += spent;
            if freed >= missing {
                break;
            }
            time += span;
        }
        time
    }
}

/// What a refused caller asks for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Turn {
    // Tokens.
    pub(super) cost: f64,
    // Tokens a second that the instance can grant.
    pub(super) rate: f64,
    // Share of the first turn that passes before it.
    pub(super) phase: f64,
}
