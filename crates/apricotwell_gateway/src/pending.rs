//! Questions to other instances that wait for their responses.

use std::cell::{Cell, RefCell};

use apricotwell_types::Map;
use tokio::sync::oneshot;

/// Size of the range of question numbers of one incarnation.
const NUMBERS_PER_INCARNATION: u64 = 1 << 20;

/// Questions without a response, by number.
///
/// # Invariants
///
/// Numbers are unique per address, even across restarts of the process. Otherwise a late response to a
/// question of an earlier process could be matched to a question of this one.
#[derive(Debug)]
pub struct PendingQuestions<T> {
    number: Cell<u64>,
    pending: RefCell<Map<u64, oneshot::Sender<T>>>,
}

impl<T> PendingQuestions<T> {
    /// Creates an empty set for a process; `incarnation` is its start number, in milliseconds.
    pub fn new(incarnation: u64) -> Self {
        Self {
            number: Cell::new(incarnation.wrapping_mul(NUMBERS_PER_INCARNATION)),
            pending: RefCell::default(),
        }
    }

    /// Registers a new question; its guard removes it when it is dropped.
    pub fn register(&self) -> (PendingQuestion<'_, T>, oneshot::Receiver<T>) {
        let number = self.number.get().wrapping_add(1);
        self.number.set(number);
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().insert(number, sender);
        let question = PendingQuestion {
            number,
            questions: self,
        };
        (question, receiver)
    }

    /// Delivers the response to a question; drops it if the question is no longer pending.
    pub fn deliver(&self, number: u64, response: T) {
        if let Some(sender) = self.pending.borrow_mut().remove(&number) {
            // The asking task may have timed out or been dropped.
            let _ = sender.send(response);
        }
    }
}

/// A question that waits for its response.
#[derive(Debug)]
pub struct PendingQuestion<'a, T> {
    /// Number of the question.
    pub number: u64,
    questions: &'a PendingQuestions<T>,
}

impl<T> Drop for PendingQuestion<'_, T> {
    fn drop(&mut self) {
        self.questions.pending.borrow_mut().remove(&self.number);
    }
}
