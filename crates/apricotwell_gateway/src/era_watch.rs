//! Era of the store, as its responses name it, for all tasks that rely on what they have read or written.

use std::cell::{Cell, RefCell};
use std::time::Instant;

use apricotwell_dispatch::prelude::{EraChange, EraTracker};
use apricotwell_types::StoreEra;
use tokio::sync::watch;

use crate::adapter::StoreError;

/// Era of a store that is in force, with notification of its changes.
#[derive(Debug, Default)]
pub struct EraWatch {
    tracker: RefCell<EraTracker>,
    current: watch::Sender<Option<StoreEra>>,
    // Whether the last response named no era though earlier ones did.
    is_missing: Cell<bool>,
}

impl EraWatch {
    /// Returns the era, `None` if the store names none.
    pub fn current(&self) -> Option<StoreEra> {
        *self.current.borrow()
    }

    /// Returns the era with its changes from now on.
    pub fn subscribe(&self) -> watch::Receiver<Option<StoreEra>> {
        self.current.subscribe()
    }

    /// Records the era of a response to a call that began at `begun`. One that is missing or can't be read
    /// leaves the last one in force.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unknown`] for a response from before the last change, which must not be used.
    pub fn observe(&self, begun: Instant, era: Option<StoreEra>) -> Result<(), StoreError> {
        let mut tracker = self.tracker.borrow_mut();
        let Some(era) = era else {
            let was_missing = self.is_missing.replace(true);
            if tracker.current().is_some() && !was_missing {
                log::warn!("the store named no era that can be read: the last one stays in force");
            }
            return Ok(());
        };
        self.is_missing.set(false);
        match tracker.observe(begun, Instant::now(), era) {
            EraChange::Same => return Ok(()),
            EraChange::Late => {
                let text = format!("the response is of era {era}, before a later one");
                return Err(StoreError::Unknown(text));
            }
            EraChange::Changed { from } if from > era => {
                log::error!("the store's era fell from {from} to {era}: its history counts as new");
            }
            EraChange::First | EraChange::Changed { .. } => {}
        }
        self.current.send_replace(Some(era));
        Ok(())
    }
}
