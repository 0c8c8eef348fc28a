//! Questions to other instances and their answers.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use apricotwell_dispatch::feeds::{Feed, FeedUpdate, decode_answer};
use apricotwell_messages::{Datagram, FeedAnswer, FeedQuery};
use apricotwell_types::{InstanceId, Map, Offset};
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

/// Time in which an instance that has the time answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Questions before an instance counts as mute: one may be lost.
const ATTEMPTS: u32 = 2;

/// Questions of one start of the process may number this many.
const NUMBERS_A_START: u64 = 1 << 20;

/// Questions that wait for their answers.
///
/// # Invariants
///
/// No two questions from one address have the same number, whatever process sent them: the answer to
/// one that a former process sent would make the view of this one look younger than it is.
#[derive(Debug)]
pub struct Questions {
    number: Cell<u64>,
    open: RefCell<Map<u64, oneshot::Sender<FeedAnswer>>>,
}

impl Questions {
    /// Returns the questions of a process; `incarnation` is its start number, in milliseconds.
    pub fn new(incarnation: u64) -> Self {
        Self {
            number: Cell::new(incarnation.wrapping_mul(NUMBERS_A_START)),
            open: RefCell::default(),
        }
    }

    /// Asks another instance what came on a feed after an offset; `clock` is that of all decisions.
    pub async fn ask<C>(
        &self,
        socket: &UdpSocket,
        peer: &InstanceId,
        (feed, from): (Feed, Offset),
        clock: C,
    ) -> Option<FeedUpdate>
    where
        C: Fn() -> Instant,
    {
        for _ in 0..ATTEMPTS {
            let asked = clock();
            let (number, answer) = self.open();
            let query = FeedQuery {
                number,
                servers: feed == Feed::Servers,
                from,
            };
            let datagram = Datagram {
                query: Some(query),
                ..Datagram::default()
            };
            if let Err(error) = socket.send_to(&datagram.encode_to_vec(), &**peer).await {
                log::debug!("no question to {peer}: {error}");
            }
            let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
            self.open.borrow_mut().remove(&number);
            if let Ok(Ok(answer)) = answer {
                return decode_answer(asked, from, &answer);
            }
        }
        None
    }

    fn open(&self) -> (u64, oneshot::Receiver<FeedAnswer>) {
        let number = self.number.get().wrapping_add(1);
        self.number.set(number);
        let (sender, receiver) = oneshot::channel();
        self.open.borrow_mut().insert(number, sender);
        (number, receiver)
    }

    /// Takes the answer to a question, unless it comes too late.
    pub fn note_answer(&self, answer: FeedAnswer) {
        if let Some(sender) = self.open.borrow_mut().remove(&answer.number) {
            // The task that asked may just have given up.
            let _ = sender.send(answer);
        }
    }
}
