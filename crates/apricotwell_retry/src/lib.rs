//! Retry budgets and backoff.
//!
//! # Examples
//!
//! ```
//! use apricotwell_retry::prelude::*;
//!
//! let mut budget = RetryBudget::default();
//! assert!(!budget.try_withdraw());
//! for _ in 0..10 {
//!     budget.deposit();
//! }
//! assert!(budget.try_withdraw());
//! ```

use std::time::Duration;

/// What nearly every user of the crate needs.
pub mod prelude {
    pub use crate::{RetryBudget, backoff};
}

/// Retries allowed per request, in hundredths.
const DEPOSIT_HUNDREDTHS: u32 = 10;
/// Retries that can be saved up, in hundredths.
const MAX_HUNDREDTHS: u32 = 1000;
/// Cost of one retry, in hundredths.
const RETRY_HUNDREDTHS: u32 = 100;

/// Budget of one organisation on one route: one retry for ten requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryBudget {
    // At most `MAX_HUNDREDTHS`.
    saved: u32,
}

impl RetryBudget {
    /// Notes a first attempt.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + DEPOSIT_HUNDREDTHS).min(MAX_HUNDREDTHS);
    }

    /// Takes one retry, if the budget has it.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(left) = self.saved.checked_sub(RETRY_HUNDREDTHS) else {
            return false;
        };
        self.saved = left;
        true
    }
}

/// Returns the pause before retry `attempt` (from 1), between half and all of an exponential step.
///
/// `random` is any evenly spread number.
pub fn backoff(attempt: u32, first: Duration, longest: Duration, random: u64) -> Duration {
    let step = first.saturating_mul(1 << attempt.saturating_sub(1).min(16));
    let step = step.min(longest);
    let spread = step / 2;
    let part = (random % 1024) as u32;
    step - spread + spread * part / 1024
}
