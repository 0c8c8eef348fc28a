//! Orders to one backend server and the resulting state of the server.
//!
//! Every order carries the number of orders that the server had accepted when the order was decided;
//! the server rejects the order if its count differs. Of two orders decided at the same count at most
//! one takes effect, however late either arrives, so each can be decided without regard to the other.

use std::time::{Duration, Instant};

use crate::model::{AdapterName, Inventory, ModelName, RequestedModel};

/// Delay between a failed or unanswered order and the status request that follows it: reports lag by
/// some hundred milliseconds.
const REPORT_LAG: Duration = Duration::from_millis(350);
/// Interval between status requests to a server that has yet to finish an operation.
const REPORT_PAUSE: Duration = Duration::from_millis(250);
/// Delay before a failed status request is repeated.
const REPORT_RETRY: Duration = Duration::from_millis(700);
/// Time after which an accepted adapter is considered loaded.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(40);
/// Delay between an unload and the next order, and between retries of that order.
const UNLOAD_PAUSE: Duration = Duration::from_millis(70);
/// Time after an unload in which a conflict is attributed to that unload.
const MAX_UNLOAD_TIME: Duration = Duration::from_millis(500);
/// Time between the expected end of a load and the first request for the model.
const LOAD_MARGIN: Duration = Duration::from_millis(30);
/// Time by which the platform's list of servers may lag behind a report.
const LIST_LAG: Duration = Duration::from_millis(2500);
/// Share of the expected load time after which the server is first asked for its status.
const FIRST_REPORT_SHARE: f64 = 0.97;

/// Operation that a server is ordered to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Load a model.
    LoadModel(ModelName),
    /// Unload a model with its adapters.
    UnloadModel(ModelName),
    /// Load an adapter of a model that is held.
    LoadAdapter(ModelName, AdapterName),
    /// Unload an adapter.
    UnloadAdapter(ModelName, AdapterName),
}

impl Operation {
    /// Returns the name of the operation, for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::LoadModel(_) => "load_model",
            Self::UnloadModel(_) => "unload_model",
            Self::LoadAdapter(..) => "load_adapter",
            Self::UnloadAdapter(..) => "unload_adapter",
        }
    }

    /// Returns the model concerned.
    pub fn model(&self) -> &ModelName {
        match self {
            Self::LoadModel(model)
            | Self::UnloadModel(model)
            | Self::LoadAdapter(model, _)
            | Self::UnloadAdapter(model, _) => model,
        }
    }

    /// Returns the adapter concerned.
    pub fn adapter(&self) -> Option<&AdapterName> {
        match self {
            Self::LoadAdapter(_, adapter) | Self::UnloadAdapter(_, adapter) => Some(adapter),
            Self::LoadModel(_) | Self::UnloadModel(_) => None,
        }
    }
}

/// Reply of a server to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The server carries the order out.
    Accepted,
    /// The server is already in the ordered state.
    Holds,
    /// Another order is in progress, or the count of accepted orders differs.
    Conflict,
    /// The server has seen a higher fencing token.
    Fenced,
    /// Another server has this address, or the order is invalid for this one.
    Refused,
    /// No reply; the order may still take effect.
    Unknown,
}

impl OrderReply {
    /// Returns the name of the reply, for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Holds => "holds",
            Self::Conflict => "conflict",
            Self::Fenced => "fenced",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// Status that a server reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StatusReport {
    /// Whether an order is in progress.
    pub busy: bool,
    /// Models and adapters that the server holds.
    pub inventory: Inventory,
    /// Adapters that are being loaded; each already occupies a slot.
    pub incoming: Vec<(ModelName, AdapterName)>,
}

#[derive(Clone, Debug)]
struct Pending {
    operation: Operation,
    sent: Instant,
    // Expected end, `None` until the server has accepted the order.
    ends: Option<Instant>,
    // Whether the operation fetches weights from the weight store.
    fetches: bool,
}

/// Orders and state of one server.
///
/// # Invariants
///
/// At most one order is pending. `inventory` covers only what the server certainly holds: a pending
/// load needs additional memory, the unload of a model frees none before the server has accepted it,
/// and the unload of an adapter none before a reply or report shows that the adapter is gone.
#[derive(Clone, Debug)]
pub struct ServerOrders {
    started_ms: u64,
    inventory: Option<Inventory>,
    pending: Option<Pending>,
    // End of the pause after an unload, in which no order is given.
    paused_until: Option<Instant>,
    // When the last unload was accepted.
    unloaded_at: Option<Instant>,
    // When to request the next report; `None` while a request is in flight or none is needed.
    report_due: Option<Instant>,
    // When the report that is in flight was requested.
    requested_at: Option<Instant>,
    // When the last report was received.
    reported_at: Option<Instant>,
    // Adapters whose load was accepted, with the time from which requests can use them.
    adapters_ready: Vec<(ModelName, AdapterName, Instant)>,
    // Adapters whose unload was accepted; each occupies its slot until a report no longer lists it.
    adapters_unloading: Vec<(ModelName, AdapterName)>,
    // Model that is to be unloaded once its requests have ended, and until when that is announced.
    leaving: Option<(ModelName, Instant)>,
    // Whether a conflict after an unload is settled by a report instead of by further orders.
    awaits_unloads: bool,
}

impl ServerOrders {
    /// Returns the state of a server that has not reported yet; its first report is due at once.
    pub fn new(now: Instant, started_ms: u64) -> Self {
        Self {
            started_ms,
            inventory: None,
            pending: None,
            paused_until: None,
            unloaded_at: None,
            report_due: Some(now),
            requested_at: None,
            reported_at: None,
            adapters_ready: Vec::new(),
            adapters_unloading: Vec::new(),
            leaving: None,
            awaits_unloads: false,
        }
    }

    /// Settles a conflict after an unload by a report: the unload waits for running requests, so
    /// further orders would be refused as well.
    #[must_use]
    pub fn with_awaited_unloads(mut self, awaits_unloads: bool) -> Self {
        self.awaits_unloads = awaits_unloads;
        self
    }

    /// Returns the held model that is to be unloaded once its requests have ended.
    pub fn leaving(&self, now: Instant) -> Option<&ModelName> {
        let (model, until) = self.leaving.as_ref()?;
        let held = self.inventory.as_ref()?.adapters(model).is_some();
        (now < *until && held).then_some(model)
    }

    /// Marks a held model as to be unloaded until the given time, unless another one is marked.
    pub fn mark_leaving(&mut self, now: Instant, model: &ModelName, until: Instant) {
        if self.leaving(now).is_none_or(|leaving| leaving == model) {
            self.leaving = Some((model.clone(), until));
        }
    }

    /// Returns the start of the server's process, in milliseconds since the epoch.
    pub fn started_ms(&self) -> u64 {
        self.started_ms
    }

    /// Returns the models and adapters that the server holds, `None` before its first report.
    pub fn inventory(&self) -> Option<&Inventory> {
        self.inventory.as_ref()
    }

    /// Returns the models and adapters for which requests can be sent now.
    ///
    /// Leaves out adapters that are being loaded or unloaded and a model that is being unloaded.
    pub fn servable(&self, now: Instant) -> Option<Inventory> {
        let mut inventory = self.inventory.clone()?;
        for (model, adapter, ready) in &self.adapters_ready {
            if now < *ready {
                remove_adapter(&mut inventory, model, adapter);
            }
        }
        for (model, adapter) in &self.adapters_unloading {
            remove_adapter(&mut inventory, model, adapter);
        }
        match self.operation() {
            Some(Operation::UnloadModel(model)) => {
                inventory.models.retain(|(name, _)| name != model);
            }
            Some(Operation::LoadModel(model)) if self.should_be_loaded(now) => {
                inventory.models.push((model.clone(), Vec::new()));
            }
            _ => {}
        }
        Some(inventory)
    }

    /// Returns whether requests for a model can be sent now; see [`Self::servable`].
    pub fn can_serve(&self, now: Instant, requested: &RequestedModel) -> bool {
        let model = &requested.model;
        match self.operation() {
            Some(Operation::UnloadModel(unloading)) if unloading == model => return false,
            Some(Operation::LoadModel(loading)) if loading == model => {
                return requested.adapter.is_none() && self.should_be_loaded(now);
            }
            _ => {}
        }
        let is_unavailable = |adapter: &AdapterName| {
            let loading = self.adapters_ready.iter();
            let mut loading = loading.filter(|(_, _, ready)| now < *ready);
            loading.any(|(of, name, _)| of == model && name == adapter)
                || self.is_unloading_adapter(model, adapter)
        };
        let adapter = requested.adapter.as_ref();
        self.inventory
            .as_ref()
            .is_some_and(|inventory| inventory.serves(requested))
            && !adapter.is_some_and(is_unavailable)
    }

    // Reports lag, so requests are sent once a load should have ended; the server rejects them if it
    // has not.
    fn should_be_loaded(&self, now: Instant) -> bool {
        let ends = self.pending.as_ref().and_then(|pending| pending.ends);
        ends.is_some_and(|ends| now >= ends + LOAD_MARGIN)
    }

    /// Returns the pending operation.
    pub fn operation(&self) -> Option<&Operation> {
        self.pending.as_ref().map(|pending| &pending.operation)
    }

    /// Returns the model that is being loaded and the expected end of the load.
    pub fn loading(&self) -> Option<(&ModelName, Instant)> {
        let pending = self.pending.as_ref()?;
        let Operation::LoadModel(model) = &pending.operation else {
            return None;
        };
        Some((model, pending.ends.unwrap_or(pending.sent)))
    }

    /// Returns whether a load from the weight store is pending.
    pub fn is_fetching(&self) -> bool {
        self.pending.as_ref().is_some_and(|pending| pending.fetches)
    }

    /// Returns whether an adapter is being unloaded.
    pub fn is_unloading_adapter(&self, model: &str, adapter: &str) -> bool {
        self.adapters_unloading
            .iter()
            .any(|(of, name)| **of == *model && **name == *adapter)
    }

    /// Returns the number of adapters that are being unloaded.
    pub fn unloading_adapters(&self) -> usize {
        self.adapters_unloading.len()
    }

    /// Returns whether the server can be given an order now.
    pub fn is_free(&self, now: Instant) -> bool {
        let paused = self.paused_until.is_some_and(|until| now < until);
        self.pending.is_none() && self.inventory.is_some() && !paused
    }

    /// Returns the number of accepted orders that the next order must carry.
    pub fn expected_orders(&self) -> u64 {
        self.inventory
            .as_ref()
            .map_or(0, |inventory| inventory.orders)
    }

    /// Records an order that is being sent as pending.
    pub fn record_sent(&mut self, now: Instant, operation: Operation, fetches: bool) {
        self.pending = Some(Pending {
            operation,
            sent: now,
            ends: None,
            fetches,
        });
    }

    /// Applies the reply to the pending order; `duration` is the order's expected duration.
    pub fn apply_reply(&mut self, now: Instant, reply: OrderReply, duration: Duration) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        match reply {
            OrderReply::Accepted => {
                pending.ends = Some(now + duration);
                let operation = pending.operation.clone();
                if let Some(inventory) = &mut self.inventory {
                    inventory.orders += 1;
                }
                self.apply_accepted(now, operation, duration);
            }
            OrderReply::Holds => self.apply_holds(now),
            // The preceding unload has not ended.
            OrderReply::Conflict if !self.awaits_unloads && self.may_be_unloading(now) => {
                self.pending = None;
                self.paused_until = Some(now + UNLOAD_PAUSE);
            }
            OrderReply::Conflict
            | OrderReply::Fenced
            | OrderReply::Refused
            | OrderReply::Unknown => {
                self.report_due = Some(now + REPORT_LAG);
            }
        }
    }

    fn apply_accepted(&mut self, now: Instant, operation: Operation, duration: Duration) {
        let Some(inventory) = &mut self.inventory else {
            return;
        };
        match operation {
            Operation::LoadModel(_) => {
                self.report_due = Some(now + duration.mul_f64(FIRST_REPORT_SHARE));
            }
            Operation::UnloadModel(model) => {
                // An idle model is unloaded at once. If requests still use it, the server is busy
                // until they end and accepts no other order, so its memory can be counted as free.
                inventory.models.retain(|(name, _)| *name != model);
                self.pending = None;
                self.paused_until = Some(now + UNLOAD_PAUSE);
                self.unloaded_at = Some(now);
            }
            Operation::LoadAdapter(model, adapter) => {
                add_adapter(inventory, &model, &adapter);
                let ready = now + ADAPTER_LOAD_TIME;
                self.adapters_ready.retain(|(_, _, at)| now < *at);
                self.adapters_ready.push((model, adapter, ready));
                self.pending = None;
            }
            Operation::UnloadAdapter(model, adapter) => {
                // Requests still use the adapter: its slot is free only when a report no longer
                // lists it.
                self.adapters_unloading.push((model, adapter));
                self.report_due = Some(now + REPORT_LAG);
                self.pending = None;
            }
        }
    }

    fn may_be_unloading(&self, now: Instant) -> bool {
        self.unloaded_at
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_UNLOAD_TIME)
    }

    fn apply_holds(&mut self, now: Instant) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let Some(inventory) = &mut self.inventory else {
            return;
        };
        match pending.operation {
            Operation::UnloadAdapter(model, adapter) => {
                // The adapter was unused: the unload took effect at once and counts as accepted.
                remove_adapter(inventory, &model, &adapter);
                inventory.orders += 1;
            }
            Operation::LoadAdapter(model, adapter) => add_adapter(inventory, &model, &adapter),
            Operation::LoadModel(_) | Operation::UnloadModel(_) => {
                self.pending = Some(pending);
                self.report_due = Some(now + REPORT_LAG);
            }
        }
    }

    /// Returns when the next report is due, a load should have ended or a pause ends.
    pub fn next_due(&self, now: Instant) -> Option<Instant> {
        let ends = self.pending.as_ref().and_then(|pending| pending.ends);
        let loaded = ends.map(|ends| ends + LOAD_MARGIN);
        let pause = self.paused_until.filter(|_| self.pending.is_none());
        let adapters = self.adapters_ready.iter().map(|(_, _, ready)| *ready);
        let due = [self.report_due, loaded, pause].into_iter().flatten();
        due.chain(adapters).filter(|due| *due > now).min()
    }

    /// Returns whether a report must be requested now, and if so marks it as requested.
    pub fn take_due_report(&mut self, now: Instant) -> bool {
        let due = self.requested_at.is_none() && self.report_due.is_some_and(|due| due <= now);
        if due {
            self.report_due = None;
            self.requested_at = Some(now);
        }
        due
    }

    /// Compares the known state with the platform's list of servers.
    ///
    /// The list lags, so a report is requested only if it differs some time after the last report.
    pub fn check_listed(&mut self, now: Instant, listed: &Inventory) {
        let Some(inventory) = &self.inventory else {
            return;
        };
        let differs = |(model, _): &(ModelName, _)| listed.adapters(model).is_none();
        let same =
            inventory.models.len() == listed.models.len() && !inventory.models.iter().any(differs);
        let is_recent = self
            .reported_at
            .is_some_and(|at| now.saturating_duration_since(at) < LIST_LAG);
        let is_unsettled =
            self.pending.is_some() || self.requested_at.is_some() || self.report_due.is_some();
        if !same && !is_recent && !is_unsettled {
            self.report_due = Some(now);
        }
    }

    /// Applies a report, `None` if the server did not answer.
    pub fn apply_report(&mut self, now: Instant, report: Option<StatusReport>) {
        let requested_at = self.requested_at.take();
        let Some(report) = report else {
            self.report_due = Some(now + REPORT_RETRY);
            return;
        };
        self.reported_at = Some(now);
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| Some(pending.sent) >= requested_at)
        {
            // The report may predate the order.
            self.report_due.get_or_insert(now + REPORT_LAG);
            return;
        }
        let known = self.expected_orders();
        let is_old = self.inventory.is_some() && report.inventory.orders < known;
        if report.busy || is_old {
            self.apply_busy_report(now, report);
            return;
        }
        let mut held = report.inventory;
        for (model, adapter) in &report.incoming {
            add_adapter(&mut held, model, adapter);
        }
        self.inventory = Some(held);
        self.pending = None;
        self.adapters_ready.retain(|(_, _, ready)| now < *ready);
        let inventory = &self.inventory;
        self.adapters_unloading.retain(|(model, adapter)| {
            let held = inventory.as_ref().and_then(|held| held.adapters(model));
            held.is_some_and(|adapters| adapters.contains(adapter))
        });
        if !self.adapters_unloading.is_empty() {
            self.report_due = Some(now + REPORT_PAUSE);
        }
    }

    fn apply_busy_report(&mut self, now: Instant, report: StatusReport) {
        self.report_due = Some(now + REPORT_PAUSE);
        let Some(inventory) = &mut self.inventory else {
            // Nothing can be ordered until the order in progress has ended.
            return;
        };
        if report.inventory.orders > inventory.orders {
            *inventory = report.inventory;
            for (model, adapter) in &report.incoming {
                add_adapter(inventory, model, adapter);
            }
        }
    }
}

fn add_adapter(inventory: &mut Inventory, model: &ModelName, adapter: &AdapterName) {
    for (name, adapters) in &mut inventory.models {
        if name == model && !adapters.contains(adapter) {
            adapters.push(adapter.clone());
        }
    }
}

fn remove_adapter(inventory: &mut Inventory, model: &ModelName, adapter: &AdapterName) {
    for (name, adapters) in &mut inventory.models {
        if name == model {
            adapters.retain(|held| held != adapter);
        }
    }
}
