//! Counts the separate crashes under one part.

use std::time::{Duration, Instant};

use apricotwell_types::ServerId;

use crate::{Crash, CrashedRequest, PartId};

/// Time within which crashes count as one, since they may have one other cause. One of a request that
/// was sent again after another server had ended under it counts by itself.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(300);
/// Error of times that other instances report: ages in whole milliseconds, and transit time.
pub(crate) const AGE_ERROR: Duration = Duration::from_millis(5);

// End of a server under a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EarlierEnd {
    pub(crate) at: Instant,
    // Whether the request was sent there after the loss of another server.
    pub(crate) is_retry: bool,
}

impl EarlierEnd {
    // Returns whether this end and one under an equal request happened one after the other.
    //
    // An instance retries a request only after a loss, even if the times that are reported of the ends are
    // in the other order. Without a retry the times decide, unless the part is sound: clients repeat sound
    // requests at any time, also between the ends of servers that fail together.
    fn is_sequence(&self, request: &CrashedRequest, is_sound: bool) -> bool {
        let is_retry = self.is_retry || request.is_retry;
        is_retry || (!is_sound && self.at <= request.sent_at + AGE_ERROR)
    }
}

// Crashes under one part since it was last sound.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    // Number of separate crashes, and the times of the last two that were counted.
    pub(crate) crashes: usize,
    last: Option<Instant>,
    pub(crate) previous: Option<Instant>,
    // Process whose end was counted last.
    process: Option<(ServerId, u64)>,
    // Largest position in a request; a larger one is more specific.
    pub(crate) position: usize,
    // The next more general part of such a request.
    pub(crate) parent: Option<PartId>,
}

impl Tally {
    // Counts a crash under `request`; crashes come in the order of their times. `earlier` are the crashes
    // before it under equal requests.
    pub(crate) fn count(
        &mut self,
        crash: &Crash,
        request: &CrashedRequest,
        position: usize,
        earlier: &[EarlierEnd],
        is_sound: bool,
    ) {
        self.position = self.position.max(position);
        self.parent = position.checked_sub(1).map(|parent| request.parts[parent]);
        let is_separate = self.last.is_none_or(|last| {
            let is_repeat =
                |end: &EarlierEnd| end.at + AGE_ERROR >= last && end.is_sequence(request, is_sound);
            crash.at >= last + COMMON_CAUSE_TIME || earlier.iter().any(is_repeat)
        });
        let process = (crash.server.clone(), crash.started_ms);
        if is_separate && self.process.as_ref() != Some(&process) {
            self.crashes += 1;
            self.process = Some(process);
            self.previous = self.last;
            self.last = Some(crash.at);
        }
    }
}
