//! Era of the store's history, as its answers name it.
//!
//! A store that comes back from an older copy has lost what it acknowledged since and gives offsets out
//! again. Its era rises by one then, so what was read or written in an earlier era must be looked at anew.

use std::time::Instant;

use apricotwell_types::StoreEra;

/// What an answer shows about the era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// Nothing new.
    Same,
    /// The era, which was not known before.
    First,
    /// Nothing: the answer was on its way since before the last change.
    Late,
    /// Another era is in force; it rises, unless the store has failed.
    Changed {
        /// Era before.
        from: StoreEra,
    },
}

/// Era that is in force.
#[derive(Debug, Default)]
pub struct EraTracker {
    current: Option<StoreEra>,
    // When an answer first showed it.
    since: Option<Instant>,
}

impl EraTracker {
    /// Returns the era, `None` if the store names none.
    pub fn current(&self) -> Option<StoreEra> {
        self.current
    }

    /// Records the era that an answer names, which came at `now` to a call that began at `begun`.
    pub fn observe(&mut self, begun: Instant, now: Instant, era: StoreEra) -> EraChange {
        let change = match self.current {
            None => EraChange::First,
            Some(current) if current == era => return EraChange::Same,
            Some(current) if era < current && self.since.is_some_and(|since| begun < since) => {
                return EraChange::Late;
            }
            Some(from) => EraChange::Changed { from },
        };
        self.current = Some(era);
        self.since = Some(now);
        change
    }
}
