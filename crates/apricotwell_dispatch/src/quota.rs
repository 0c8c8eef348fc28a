//! Rates of organisations over the whole fleet.
//!
//! An organisation may spend its rate over a window and its burst in any such window. Each instance
//! keeps one window an organisation with what every instance spent, its own spending at once and that
//! of others as their heartbeats tell it. The level may go below zero by part of the excess that the
//! users allow; the rest covers what was spent elsewhere and not yet told. An instance that doesn't
//! hear all others uses only its part of the limit.
//!
//! When part of the window becomes free, all instances see it at once. Callers are spread evenly, so
//! each takes the others to have spent as much as itself since it last told them, and each asks those
//! whom it refuses to come back one after the other, at its part of the rate.

mod window;

use std::time::{Duration, Instant};

use apricotwell_messages::{FleetSpending, OrganisationSpending};
use apricotwell_types::{InstanceId, Map, OrgId, Tokens};

use self::window::{SPANS, Turn, Window};
use crate::catalog::Organisation;

/// Part of the allowed excess that one instance's view may overdraw.
const OVERDRAFT_SHARE: f64 = 0.3;
/// Instances up to which that part may be overdrawn; a larger fleet needs more of the excess for what
/// was spent elsewhere and not yet told.
const OVERDRAFT_INSTANCES: f64 = 12.0;
/// Part of the allowed excess that may be spent elsewhere and not yet told.
const ABSORBED_SHARE: f64 = 0.2;
/// Time from the first request in which an instance may not have heard all others.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Time for which callers are asked to stay away meanwhile, up to twice as long.
const SETTLING_WAIT: Duration = Duration::from_millis(700);
/// Level, as a share of the limit, below which spending is told to the others at once.
const TIGHT_SHARE: f64 = 0.25;
/// Time until nothing is left at the present rate, below which that is so too.
const TIGHT_TIME: Duration = Duration::from_secs(2);

/// Excess that the users allow over the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Window in which spending is counted.
    pub window: Duration,
    /// Allowed excess as a share of what rate and burst give in a window.
    pub excess: f64,
    /// Allowed excess in tokens besides.
    pub slack: f64,
}

/// Why tokens can't be spent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaExceeded {
    /// Tokens left in the window; negative after an overdraft.
    pub level: f64,
    /// Part of rate and burst that the instance's view stands for.
    pub share: f64,
    /// Time after which the tokens will be there.
    pub retry_after: Duration,
}

/// Windows of all organisations as one instance sees them.
#[derive(Debug)]
pub struct QuotaTable {
    bounds: QuotaBounds,
    // Whether what the fleet spent before is known: nothing at its first start, or what the store
    // kept. Else it may have spent all that it may.
    known: bool,
    windows: Map<OrgId, Window>,
    // Part of rate and burst that this instance's view stands for.
    part: f64,
    // Instances that tell what they spend, this one included.
    heard: usize,
    // Time of the first request.
    began: Option<Instant>,
    // Place of this instance among the others, from 0 to 1.
    phase: f64,
}

impl QuotaTable {
    /// Returns a table; a fleet that starts for the first time has spent nothing yet.
    pub fn new(bounds: QuotaBounds, first_start: bool) -> Self {
        Self {
            bounds,
            known: first_start,
            windows: Map::default(),
            part: 1.0,
            heard: 1,
            began: None,
            phase: 0.5,
        }
    }

    /// Sets the place of this instance among the others, from 0 to 1: any value will do that differs
    /// from most others'.
    pub fn with_phase(self, phase: f64) -> Self {
        Self { phase, ..self }
    }

    /// Sets which part of the fleet's instances tells what it spends, this one included.
    ///
    /// What was spent so far was spent by all: the part that is no longer heard takes its share of it
    /// along, and brings it back when it is heard again.
    pub fn set_share(&mut self, heard: usize, possible: usize) {
        self.heard = heard.max(1);
        let part = heard as f64 / possible.max(heard).max(1) as f64;
        if part == self.part {
            return;
        }
        let scale = part / self.part;
        for window in self.windows.values_mut() {
            window.spans.iter_mut().for_each(|span| *span *= scale);
        }
        self.part = part;
    }

    /// Spends tokens of an organisation.
    ///
    /// # Errors
    ///
    /// Returns how much is missing.
    pub fn spend(
        &mut self,
        now: Instant,
        organisation: &Organisation,
        tokens: Tokens,
    ) -> Result<(), QuotaExceeded> {
        if organisation.rate == 0 {
            return Ok(());
        }
        let (part, span) = (self.part, self.span());
        let overdraft = self.overdraft(organisation) * part;
        let absorbed = self.excess(organisation) * ABSORBED_SHARE;
        let (heard, phase) = (self.heard as f64, self.phase);
        let is_settling = self.is_settling(now);
        let window = self.window(now, organisation);
        let cost = tokens as f64;
        let others = window.untold_by_others(now, span, cost, heard);
        let level = window.level(part);
        let missing = cost - level - overdraft + (others - absorbed).max(0.0);
        if missing > 0.0 && is_settling {
            // Its part grows with each instance that it hears.
            let wait = SETTLING_WAIT.mul_f64(1.0 + phase);
            return Err(QuotaExceeded {
                level,
                share: part,
                retry_after: wait,
            });
        }
        if missing > 0.0 {
            let rate = window.limit * part / (span * SPANS).as_secs_f64() / heard;
            let turn = Turn { cost, rate, phase };
            let wait = window.take_turn(now, span, missing, turn);
            return Err(QuotaExceeded {
                level,
                share: part,
                retry_after: wait,
            });
        }
        window.add(cost);
        window.spent += tokens;
        window.untold += tokens;
        Ok(())
    }

    // Whether the instance has just started and has yet to hear some of the others.
    fn is_settling(&mut self, now: Instant) -> bool {
        let began = *self.began.get_or_insert(now);
        let is_new = now.saturating_duration_since(began) < SETTLING_TIME;
        self.known && self.part < 1.0 && is_new
    }

    /// Gives back tokens of a request that never ran.
    pub fn refund(&mut self, now: Instant, organisation: &Organisation, tokens: Tokens) {
        if organisation.rate == 0 {
            return;
        }
        let window = self.window(now, organisation);
        let back = tokens.min(window.spent);
        window.spent -= back;
        window.untold -= back.min(window.untold);
        window.add(-(back as f64));
    }

    /// Returns whether others should hear of spending at once.
    pub fn is_near_limit(&mut self, now: Instant, organisation: &Organisation) -> bool {
        if organisation.rate == 0 {
            return false;
        }
        let (part, span) = (self.part, self.span());
        let window = self.window(now, organisation);
        let soon = window.recent_rate(now, span) * TIGHT_TIME.as_secs_f64();
        window.level(part) < (window.limit * TIGHT_SHARE).max(soon)
    }

    /// Returns what the fleet spent in the last window, as far as this instance knows.
    pub fn snapshot(&mut self, now: Instant) -> FleetSpending {
        let span = self.span();
        let organisations = self.windows.iter_mut().map(|(name, window)| {
            window.advance(now, span);
            OrganisationSpending {
                organisation: name.to_string(),
                spans: window.spans.iter().copied().collect(),
            }
        });
        FleetSpending {
            organisations: organisations.collect(),
        }
    }

    /// Takes over what the fleet spent before this instance started, as of now at the earliest: its
    /// age is not known.
    pub fn restore(&mut self, now: Instant, spending: &FleetSpending) {
        self.known = true;
        let spent = std::mem::take(&mut self.windows);
        for known in &spending.organisations {
            let mut window = Window::new(now, f64::MAX, 0.0);
            let skipped = known.spans.len().saturating_sub(SPANS as usize);
            let spans = known.spans.iter().skip(skipped).copied();
            window.spans = spans.chain([0.0]).collect();
            self.windows
                .insert(known.organisation.as_str().into(), window);
        }
        // What was spent since the start stays spent.
        for (name, before) in spent {
            let window = self
                .windows
                .entry(name)
                .or_insert_with(|| Window::new(now, f64::MAX, 0.0));
            window.add(before.spent as f64);
            window.spent = before.spent;
            window.untold = before.untold;
            window.told_at = before.told_at;
            window.told = before.told;
        }
    }

    /// Returns whether some organisation is close to its limit.
    pub fn is_any_near_limit(&self) -> bool {
        let part = self.part;
        self.windows
            .values()
            .any(|window| window.level(part) < window.limit * TIGHT_SHARE)
    }

    /// Returns what this instance has spent since its start and what the fleet spent in the last window,
    /// of each organisation.
    pub fn spending(&self) -> impl Iterator<Item = (&OrgId, Tokens, Tokens)> {
        self.windows
            .iter()
            .map(|(name, window)| (name, window.spent, window.sum().max(0.0) as Tokens))
            .filter(|(_, spent, fleet)| *spent > 0 || *fleet > 0)
    }

    /// Notes that the others were told what this instance has spent.
    pub fn mark_reported(&mut self, now: Instant) {
        for window in self.windows.values_mut() {
            window.untold = 0;
            window.told_at = now;
        }
    }

    /// Applies what another instance has spent since its start `incarnation`, and what it knows of the
    /// `fleet`: that counts only when the instance is first heard, as this one may just have started.
    pub fn apply_spending(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        incarnation: u64,
        organisation: &Organisation,
        spent: Tokens,
        fleet: Tokens,
    ) {
        if organisation.rate == 0 {
            return;
        }
        let part = self.part;
        let window = self.window(now, organisation);
        let before = match window.told.get(instance) {
            Some((start, _)) if *start > incarnation => return,
            Some((start, sum)) if *start == incarnation => *sum,
            // What an instance spent before it was first heard is older than this view.
            None => spent,
            Some(_) => 0,
        };
        if !window.told.contains_key(instance) {
            let missing = fleet as f64 * part - window.sum();
            window.add(missing.max(0.0));
        }
        window.add(spent as f64 - before as f64);
        window.told.insert(instance.clone(), (incarnation, spent));
    }

    fn limit(&self, organisation: &Organisation) -> f64 {
        let refill = organisation.rate as f64 * self.bounds.window.as_secs_f64();
        refill + organisation.burst as f64
    }

    fn overdraft(&self, organisation: &Organisation) -> f64 {
        let share = OVERDRAFT_SHARE * (OVERDRAFT_INSTANCES / self.heard as f64).min(1.0);
        self.excess(organisation) * share
    }

    fn excess(&self, organisation: &Organisation) -> f64 {
        self.limit(organisation) * self.bounds.excess + self.bounds.slack
    }

    fn span(&self) -> Duration {
        self.bounds.window / SPANS
    }

    fn window(&mut self, now: Instant, organisation: &Organisation) -> &mut Window {
        let (limit, span) = (self.limit(organisation), self.span());
        let spent = if self.known { 0.0 } else { 1.0 };
        let window = self
            .windows
            .entry(organisation.name.clone())
            .or_insert_with(|| Window::new(now, limit, spent));
        window.advance(now, span);
        window.set_limit(limit);
        window
    }
}
