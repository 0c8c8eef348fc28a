//! The fair queue.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Instant;

use apricotwell_types::{Map, ModelId, OrgId, RequestId, Tokens, WorkClass};

/// Virtual time that one token takes at weight 1.
const VIRTUAL_UNIT: u64 = 1 << 10;

/// Request that waits for a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Organisation.
    pub org: OrgId,
    /// Requested model, or the pool of a plain service.
    pub model: ModelId,
    /// Work class.
    pub class: WorkClass,
    /// When it must have been dispatched to a server.
    pub deadline: Instant,
    /// Tokens reserved for it.
    pub cost: Tokens,
}

/// Why a request can't be queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueFull {
    /// The organisation has reached its limit of waiting requests on this instance.
    Organisation,
    /// This instance has reached its limit of waiting requests.
    Instance,
}

impl fmt::Display for QueueFull {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            QueueFull::Organisation => {
                "the organisation has too many waiting requests; send fewer at once"
            }
            QueueFull::Instance => {
                "this instance has too many waiting requests; look up another address"
            }
        })
    }
}

impl std::error::Error for QueueFull {}

type Urgency = (WorkClass, Instant, RequestId);

#[derive(Debug, Default)]
struct OrgQueue {
    // Virtual start time of the organisation's next request.
    virtual_start: u64,
    weight: u32,
    // Waiting requests of each model, the most urgent first; never empty.
    models: BTreeMap<ModelId, BTreeMap<Urgency, QueuedRequest>>,
    len: usize,
}

impl OrgQueue {
    fn entries(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.models.values().flat_map(BTreeMap::values)
    }

    // Returns the most urgent request of each model.
    fn heads(&self) -> impl Iterator<Item = &QueuedRequest> {
        let models = self.models.values();
        models.filter_map(|model| model.values().next())
    }

    // Returns the virtual time that a request of the organisation takes.
    fn step(&self, cost: Tokens) -> u64 {
        cost.max(1).saturating_mul(VIRTUAL_UNIT) / u64::from(self.weight)
    }
}

/// Queue that is fair between organisations and ordered by urgency within each.
///
/// # Invariants
///
/// `order` holds each organisation with waiting requests once, by its virtual start time.
#[derive(Debug)]
pub struct FairQueue {
    limit: usize,
    len: usize,
    // Largest virtual start time of a request that was taken.
    virtual_now: u64,
    orgs: Map<OrgId, OrgQueue>,
    order: BTreeSet<(u64, OrgId)>,
    deadlines: BTreeMap<(Instant, RequestId), (OrgId, ModelId, WorkClass)>,
}

impl FairQueue {
    /// Creates an empty queue for at most `limit` requests.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            len: 0,
            virtual_now: 0,
            orgs: Map::default(),
            order: BTreeSet::new(),
            deadlines: BTreeMap::new(),
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of waiting requests of an organisation.
    pub fn len_of(&self, org: &str) -> usize {
        self.orgs.get(org).map_or(0, |queue| queue.len)
    }

    /// Adds a request of an organisation with `weight` and a limit of `max_waiting` requests.
    ///
    /// # Errors
    ///
    /// Fails if the organisation or the instance has reached its limit of waiting requests.
    pub fn push(
        &mut self,
        entry: QueuedRequest,
        weight: u32,
        max_waiting: usize,
    ) -> Result<(), QueueFull> {
        if self.len >= self.limit {
            return Err(QueueFull::Instance);
        }
        if self.len_of(&entry.org) >= max_waiting {
            return Err(QueueFull::Organisation);
        }
        let virtual_now = self.virtual_now;
        let queue = self.orgs.entry(entry.org.clone()).or_default();
        queue.weight = weight.max(1);
        if queue.len == 0 {
            // An organisation gets no credit for the time that it was idle.
            queue.virtual_start = queue.virtual_start.max(virtual_now);
            self.order.insert((queue.virtual_start, entry.org.clone()));
        }
        queue.len += 1;
        self.len += 1;
        let location = (entry.org.clone(), entry.model.clone(), entry.class);
        self.deadlines
            .insert((entry.deadline, entry.request), location);
        let model = queue.models.entry(entry.model.clone()).or_default();
        model.insert(urgency(&entry), entry);
        Ok(())
    }

    /// Removes and returns the next request for which `can_run` returns true.
    ///
    /// Its tokens are charged to its organisation.
    pub fn pop<F>(&mut self, can_run: F) -> Option<QueuedRequest>
    where
        F: FnMut(&QueuedRequest) -> bool,
    {
        let heads = |queue| OrgQueue::heads(queue).collect();
        let next_request = self.first(heads, can_run)?.clone();
        self.charge(&next_request);
        self.remove_entry(&next_request);
        Some(next_request)
    }

    /// Returns the next request for which `can_run` returns true, also if it is not the most urgent
    /// one of its organisation and model.
    pub fn peek<F>(&self, can_run: F) -> Option<&QueuedRequest>
    where
        F: FnMut(&QueuedRequest) -> bool,
    {
        self.first(|queue| OrgQueue::entries(queue).collect(), can_run)
    }

    // Returns the first request that can run among those that `entries` returns for an organisation.
    fn first<'a, E, F>(&'a self, entries: E, mut can_run: F) -> Option<&'a QueuedRequest>
    where
        E: Fn(&'a OrgQueue) -> Vec<&'a QueuedRequest>,
        F: FnMut(&QueuedRequest) -> bool,
    {
        self.order.iter().find_map(|(_, org)| {
            let mut entries = entries(self.orgs.get(org)?);
            entries.sort_unstable_by_key(|entry| urgency(entry));
            entries.into_iter().find(|entry| can_run(entry))
        })
    }

    /// Removes a request that is served and charges its tokens to its organisation.
    pub fn take(&mut self, request: RequestId, deadline: Instant) -> Option<QueuedRequest> {
        let entry = self.find(request, deadline)?.clone();
        self.charge(&entry);
        self.remove_entry(&entry);
        Some(entry)
    }

    /// Returns the number of waiting requests that are served before a request if no other arrives.
    pub fn position(&self, request: RequestId, deadline: Instant) -> Option<usize> {
        let entry = self.find(request, deadline)?;
        let own = self.orgs.get(&entry.org)?;
        let before = own
            .entries()
            .filter(|other| urgency(other) < urgency(entry));
        let (count, steps) = before.fold((0, 0u64), |(count, steps), other| {
            (count + 1, steps.saturating_add(own.step(other.cost)))
        });
        let start = own.virtual_start.saturating_add(steps);
        let others = self.orgs.iter().filter(|(org, _)| **org != entry.org);
        let ahead = others.map(|(org, queue)| {
            let mut entries: Vec<&QueuedRequest> = queue.entries().collect();
            entries.sort_unstable_by_key(|other| urgency(other));
            let mut next = queue.virtual_start;
            let is_before = |other: &&&QueuedRequest| {
                let is_before = (next, org) < (start, &entry.org);
                next = next.saturating_add(queue.step(other.cost));
                is_before
            };
            entries.iter().take_while(is_before).count()
        });
        Some(count + ahead.sum::<usize>())
    }

    /// Removes a request without a charge, for example one whose client has disconnected.
    pub fn remove(&mut self, request: RequestId, deadline: Instant) -> Option<QueuedRequest> {
        let entry = self.find(request, deadline)?.clone();
        self.remove_entry(&entry);
        Some(entry)
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<QueuedRequest> {
        let expired: Vec<(Instant, RequestId)> = self
            .deadlines
            .range(..=(now, RequestId::MAX))
            .map(|(key, _)| *key)
            .collect();
        expired
            .into_iter()
            .filter_map(|(deadline, request)| self.remove(request, deadline))
            .collect()
    }

    /// Returns the earliest deadline.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.keys().next().map(|(deadline, _)| *deadline)
    }

    /// Returns the number of waiting requests and their earliest deadline for each model.
    pub fn demand(&self) -> BTreeMap<ModelId, (usize, Instant)> {
        let mut demand = BTreeMap::new();
        for ((deadline, _), (_, model, _)) in &self.deadlines {
            let entry = demand.entry(model.clone()).or_insert((0, *deadline));
            entry.0 += 1;
        }
        demand
    }

    /// Returns the number of requests that wait for a model.
    pub fn waiting_for(&self, model: &str) -> usize {
        let queues = self.orgs.values();
        queues
            .filter_map(|queue| queue.models.get(model))
            .map(BTreeMap::len)
            .sum()
    }

    fn find(&self, request: RequestId, deadline: Instant) -> Option<&QueuedRequest> {
        let (org, model, class) = self.deadlines.get(&(deadline, request))?;
        let models = &self.orgs.get(org)?.models;
        models.get(model)?.get(&(*class, deadline, request))
    }

    fn charge(&mut self, entry: &QueuedRequest) {
        let Some(queue) = self.orgs.get_mut(&entry.org) else {
            return;
        };
        self.order.remove(&(queue.virtual_start, entry.org.clone()));
        self.virtual_now = self.virtual_now.max(queue.virtual_start);
        queue.virtual_start = queue.virtual_start.saturating_add(queue.step(entry.cost));
        self.order.insert((queue.virtual_start, entry.org.clone()));
    }

    fn remove_entry(&mut self, entry: &QueuedRequest) {
        self.deadlines.remove(&(entry.deadline, entry.request));
        let Some(queue) = self.orgs.get_mut(&entry.org) else {
            return;
        };
        let Some(model) = queue.models.get_mut(&entry.model) else {
            return;
        };
        if model.remove(&urgency(entry)).is_none() {
            return;
        }
        if model.is_empty() {
            queue.models.remove(&entry.model);
        }
        queue.len -= 1;
        self.len -= 1;
        if queue.len == 0 {
            self.order.remove(&(queue.virtual_start, entry.org.clone()));
            // A later push starts at `virtual_now` anyway, so an earlier start time need not be kept.
            if queue.virtual_start <= self.virtual_now {
                self.orgs.remove(&entry.org);
            }
        }
    }
}

fn urgency(entry: &QueuedRequest) -> Urgency {
    (entry.class, entry.deadline, entry.request)
}
