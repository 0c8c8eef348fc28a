//! Retry budgets and exponential backoff with jitter.
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

/// Re-exports of the commonly used items.
pub mod prelude {
    pub use crate::{RetryBudget, backoff};
}

/// Deposit of a first attempt, in hundredths of a retry.
const DEPOSIT_HUNDREDTHS: u32 = 10;
/// Largest balance, in hundredths of a retry.
const MAX_HUNDREDTHS: u32 = 1000;
/// Price of a retry, in hundredths of a retry.
const RETRY_HUNDREDTHS: u32 = 100;

/// Budget of one organisation on one route: one retry for every ten requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryBudget {
    // In hundredths of a retry; at most `MAX_HUNDREDTHS`.
    balance: u32,
}

impl RetryBudget {
    /// Adds the deposit of a first attempt to the budget.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT_HUNDREDTHS).min(MAX_HUNDREDTHS);
    }

    /// Withdraws one retry and returns whether the balance was sufficient.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(left) = self.balance.checked_sub(RETRY_HUNDREDTHS) else {
            return false;
        };
        self.balance = left;
        true
    }
}

/// Returns the delay before retry `attempt` (from 1), between half and all of an exponential step.
///
/// The step starts at `first`, doubles with each attempt and is limited to `longest`. `random` is a
/// uniformly distributed number that determines the jitter.
pub fn backoff(attempt: u32, first: Duration, longest: Duration, random: u64) -> Duration {
    let step = first.saturating_mul(1 << attempt.saturating_sub(1).min(16));
    let step = step.min(longest);
    let jitter = step / 2;
    let fraction = (random % 1024) as u32;
    step - jitter + jitter * fraction / 1024
}
