//! Limits on resources that all client requests of an instance share.

use std::cell::Cell;
use std::rc::Rc;

/// Limited amount of a resource, shared by clones.
#[derive(Clone, Debug)]
pub struct Budget {
    left: Rc<Cell<usize>>,
}

/// Reserved amount of a [`Budget`]; returned to it on drop.
#[derive(Debug)]
pub struct Reservation {
    amount: usize,
    left: Rc<Cell<usize>>,
}

impl Budget {
    /// Creates a budget of `amount` with nothing reserved.
    pub fn new(amount: usize) -> Self {
        Self {
            left: Rc::new(Cell::new(amount)),
        }
    }

    /// Reserves `amount`; returns `None` if less is left.
    pub fn try_reserve(&self, amount: usize) -> Option<Reservation> {
        let left = self.left.get().checked_sub(amount)?;
        self.left.set(left);
        Some(Reservation {
            amount,
            left: Rc::clone(&self.left),
        })
    }
}

impl Reservation {
    /// Reserves `amount` more; returns `false` and changes nothing if less is left.
    pub fn grow(&mut self, amount: usize) -> bool {
        let Some(left) = self.left.get().checked_sub(amount) else {
            return false;
        };
        self.left.set(left);
        self.amount += amount;
        true
    }

    /// Changes the reserved amount; returns `false` and changes nothing if less is left.
    pub fn resize(&mut self, amount: usize) -> bool {
        let available = self.left.get() + self.amount;
        let Some(left) = available.checked_sub(amount) else {
            return false;
        };
        self.left.set(left);
        self.amount = amount;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.left.set(self.left.get() + self.amount);
    }
}
