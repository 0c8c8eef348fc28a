//! Queue ordered by priority, by whether the target can still be met, and fairly within that.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use apricotwell_types::{Map, OrgId, RequestId, Tokens, WorkClass};

use crate::queue::{FairQueue, QueuedRequest};

/// One in this many turns goes to a raised request, if there is one. The share is what low
/// priorities get at least; the others keep the rest, so that under overload a more urgent request
/// is not served less often than a less urgent one.
const RAISED_SHARE: u32 = 8;
/// Factor of costs, so that the quotient of a small cost and a large weight keeps its precision.
const COST_SCALE: u64 = 1 << 10;

/// Request that waits for its turn.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Organisation.
    pub org: OrgId,
    /// Weight of the organisation.
    pub weight: u32,
    /// Tokens charged to the organisation.
    pub cost: Tokens,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// When it must have been sent to a server to meet its target.
    pub due: Instant,
    /// When it is raised above its priority.
    pub raise_at: Instant,
    /// When it must have been sent to a server to be served at all.
    pub deadline: Instant,
}

// Whether a request can no longer meet its target, and whether it was raised.
#[derive(Clone, Copy, Debug, Default)]
struct Stage {
    is_late: bool,
    is_raised: bool,
}

/// Queue of the requests that wait for the same servers.
///
/// Each priority has a [`FairQueue`] for requests that can meet their target and one for those that
/// can't. Requests that have waited long are in a further one, which gets one turn in eight.
///
/// # Invariants
///
/// `changes` holds the times at which the stage of a waiting request changes. A request is in the
/// band of its priority and stage, and in `raised` if it was raised.
#[derive(Debug)]
pub struct PriorityQueue {
    entries: Map<RequestId, (WaitingRequest, Stage)>,
    bands: BTreeMap<(u8, bool), FairQueue>,
    raised: FairQueue,
    changes: BTreeSet<(Instant, RequestId)>,
    // Turns of other requests since the last one of a raised request.
    turns_since_raised: u32,
}

impl Default for PriorityQueue {
    fn default() -> Self {
        Self {
            entries: Map::default(),
            bands: BTreeMap::new(),
            raised: FairQueue::new(usize::MAX),
            changes: BTreeSet::new(),
            turns_since_raised: 0,
        }
    }
}

impl PriorityQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a request, whose id must differ from those of the others.
    pub fn push(&mut self, now: Instant, entry: WaitingRequest) {
        let request = entry.request;
        for change in [entry.due, entry.raise_at] {
            self.changes.insert((change, request));
        }
        self.insert_in_band(&entry, false);
        self.entries.insert(request, (entry, Stage::default()));
        self.advance(now);
    }

    /// Removes a request without a charge.
    pub fn remove(&mut self, request: RequestId) -> Option<WaitingRequest> {
        self.remove_with(request, FairQueue::remove)
    }

    /// Removes a request that is served now and charges its organisation.
    pub fn take(&mut self, now: Instant, request: RequestId) -> Option<WaitingRequest> {
        self.advance(now);
        let is_raised = self.entries.get(&request)?.1.is_raised;
        if is_raised {
            self.turns_since_raised = 0;
        } else if !self.raised.is_empty() {
            self.turns_since_raised += 1;
        }
        self.remove_with(request, FairQueue::take)
    }

    /// Returns the request whose turn it is among those for which `can_run` returns true.
    pub fn next<F>(&mut self, now: Instant, mut can_run: F) -> Option<RequestId>
    where
        F: FnMut(RequestId) -> bool,
    {
        self.advance(now);
        let mut can_run = |entry: &QueuedRequest| can_run(entry.request);
        let raised = (self.turns_since_raised + 1 >= RAISED_SHARE)
            .then(|| self.raised.peek(&mut can_run))
            .flatten();
        let mut bands = self.bands.values();
        let next = raised.or_else(|| bands.find_map(|band| band.peek(&mut can_run)))?;
        Some(next.request)
    }

    /// Returns the number of requests whose turn comes before that of a request if no other arrives.
    pub fn position(&mut self, now: Instant, request: RequestId) -> Option<usize> {
        self.advance(now);
        let (entry, stage) = self.entries.get(&request)?;
        let band = (entry.priority, stage.is_late);
        let above = self.bands.range(..band).map(|(_, queue)| queue.len());
        let within = self.bands.get(&band)?.position(request, entry.due)?;
        let position = above.sum::<usize>() + within;
        if !stage.is_raised {
            return Some(position);
        }
        let raised = self.raised.position(request, entry.deadline)?;
        let turns = (raised + 1) * RAISED_SHARE as usize - 1;
        Some(position.min(turns.saturating_sub(self.turns_since_raised as usize)))
    }

    /// Returns when a request is raised, if it isn't yet, and its position from then on if no other
    /// request gets a turn before.
    pub fn raised_position(
        &mut self,
        now: Instant,
        request: RequestId,
    ) -> Option<(Instant, usize)> {
        self.advance(now);
        let (entry, stage) = self.entries.get(&request)?;
        if stage.is_raised {
            return None;
        }
        // Requests that are raised before, by organisation.
        let mut before: Map<&OrgId, (usize, u32)> = Map::default();
        for (other, _) in self.entries.values() {
            if (other.raise_at, other.request) < (entry.raise_at, request) {
                let count = before.entry(&other.org).or_insert((0, other.weight));
                count.0 += 1;
            }
        }
        let own = before.get(&entry.org).map_or(0, |(count, _)| *count);
        let others = before.iter().filter(|(org, _)| ***org != entry.org);
        let ahead = others.map(|(_, (count, weight))| {
            let share = f64::from(*weight) / f64::from(entry.weight.max(1));
            (*count).min(((own + 1) as f64 * share).ceil() as usize)
        });
        let raised = own + ahead.sum::<usize>();
        Some((entry.raise_at, (raised + 1) * RAISED_SHARE as usize - 1))
    }

    // Applies the changes of stages until `now`.
    fn advance(&mut self, now: Instant) {
        while let Some(&(time, request)) = self.changes.first()
            && time <= now
        {
            self.changes.remove(&(time, request));
            let Some((entry, stage)) = self.entries.get(&request).cloned() else {
                continue;
            };
            let next = Stage {
                is_late: entry.due <= now,
                is_raised: entry.raise_at <= now,
            };
            if next.is_late && !stage.is_late {
                if let Some(band) = self.bands.get_mut(&(entry.priority, false)) {
                    band.remove(request, entry.due);
                }
                self.insert_in_band(&entry, true);
            }
            if next.is_raised && !stage.is_raised {
                push(&mut self.raised, &entry, entry.deadline);
            }
            if let Some((_, stage)) = self.entries.get_mut(&request) {
                *stage = next;
            }
        }
    }

    fn insert_in_band(&mut self, entry: &WaitingRequest, is_late: bool) {
        let band = (entry.priority, is_late);
        let queue = self.bands.entry(band);
        let queue = queue.or_insert_with(|| FairQueue::new(usize::MAX));
        push(queue, entry, entry.due);
    }

    fn remove_with<F>(&mut self, request: RequestId, remove: F) -> Option<WaitingRequest>
    where
        F: Fn(&mut FairQueue, RequestId, Instant) -> Option<QueuedRequest>,
    {
        let (entry, stage) = self.entries.remove(&request)?;
        for change in [entry.due, entry.raise_at] {
            self.changes.remove(&(change, request));
        }
        if let Some(band) = self.bands.get_mut(&(entry.priority, stage.is_late)) {
            remove(band, request, entry.due);
        }
        if stage.is_raised {
            remove(&mut self.raised, request, entry.deadline);
        }
        Some(entry)
    }
}

fn push(queue: &mut FairQueue, entry: &WaitingRequest, deadline: Instant) {
    let queued = QueuedRequest {
        request: entry.request,
        org: entry.org.clone(),
        model: "".into(),
        class: WorkClass::SoftDeadline,
        deadline,
        cost: entry.cost.max(1).saturating_mul(COST_SCALE),
    };
    // The limits are `usize::MAX`, so there is always room.
    let _ = queue.push(queued, entry.weight, usize::MAX);
}
