//! Bounds on what all callers together may take of an instance.

use std::cell::Cell;
use std::rc::Rc;

/// Amount of something of which only so much may be in use.
#[derive(Clone, Debug)]
pub struct Budget {
    left: Rc<Cell<usize>>,
}

/// Part of a [`Budget`] in use until it is dropped.
#[derive(Debug)]
pub struct Share {
    amount: usize,
    left: Rc<Cell<usize>>,
}

impl Budget {
    /// Returns a budget of which nothing is in use.
    pub fn new(amount: usize) -> Self {
        Self {
            left: Rc::new(Cell::new(amount)),
        }
    }

    /// Takes an amount, `None` if less is left.
    pub fn take(&self, amount: usize) -> Option<Share> {
        let left = self.left.get().checked_sub(amount)?;
        self.left.set(left);
        Some(Share {
            amount,
            left: Rc::clone(&self.left),
        })
    }
}

impl Share {
    /// Takes so much more; returns whether that was left.
    pub fn grow(&mut self, amount: usize) -> bool {
        let Some(left) = self.left.get().checked_sub(amount) else {
            return false;
        };
        self.left.set(left);
        self.amount += amount;
        true
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.left.set(self.left.get() + self.amount);
    }
}
