//! Orders to one backend server: what it holds, what was ordered and what is not known yet.
//!
//! Every order names the count of orders that the server had accepted when the order was decided,
//! and the server refuses it at any other count. So of two orders decided at one count at most one
//! takes effect, however late either arrives, and each may be decided as if the other never was.

use std::time::{Duration, Instant};

use crate::model::{AdapterName, Holdings, ModelName};

/// Time after an order without an answer, or a refused one, before the server is asked for its
/// state: reports lag by some hundred milliseconds.
const REPORT_LAG: Duration = Duration::from_millis(350);
/// Pause between reports of a server whose load should have ended.
const REPORT_PAUSE: Duration = Duration::from_millis(250);
/// Pause before a server that gave no report is asked again.
const REPORT_RETRY: Duration = Duration::from_millis(700);
/// Time after its acceptance within which an adapter is counted on.
const ADAPTER_LOAD: Duration = Duration::from_millis(40);
/// Time between an unload and the next order, and between attempts at that order.
const UNLOAD_PAUSE: Duration = Duration::from_millis(70);
/// Time for which a conflict after an unload is taken to be that unload's.
const LONGEST_UNLOAD: Duration = Duration::from_millis(500);
/// Time after the expected end of a load from which requests are sent.
const LOAD_MARGIN: Duration = Duration::from_millis(30);
/// Time by which an entry of the list may be older than a report.
const LIST_LAG: Duration = Duration::from_millis(2500);
/// Share of an expected load after which the server is first asked whether it is done.
const FIRST_REPORT_SHARE: f64 = 0.97;

/// What a server is ordered to do.
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
    /// Returns the operation's name, for logs.
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

/// Answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The server carries it out.
    Accepted,
    /// What was ordered holds already.
    Holds,
    /// Another order is under way, or the count of accepted orders differs.
    Conflict,
    /// The server has seen a higher fence.
    Fenced,
    /// Another server has this address, or the order makes no sense to this one.
    Refused,
    /// No answer: it may take effect later.
    Unknown,
}

/// State of a server as it reports it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StatusReport {
    /// Whether an order is under way.
    pub busy: bool,
    /// What it holds.
    pub holdings: Holdings,
    /// Adapters on their way to it; they take places as if they were there.
    pub incoming: Vec<(ModelName, AdapterName)>,
}

#[derive(Clone, Debug)]
struct Pending {
    operation: Operation,
    sent: Instant,
    // Expected end; unknown until the server has accepted.
    ends: Option<Instant>,
    // Whether a load that fetches from the weight store.
    fetches: bool,
}

/// Orders and state of one server.
///
/// # Invariants
///
/// At most one order is pending. `holdings` counts what the server holds for certain; a pending
/// load takes memory besides it, and a pending unload frees none before the server reports it.
#[derive(Clone, Debug)]
pub struct ServerOrders {
    born: u64,
    holdings: Option<Holdings>,
    pending: Option<Pending>,
    // Until when no order is given, after an unload.
    pause: Option<Instant>,
    // When the last unload was accepted.
    unloaded: Option<Instant>,
    // When to ask for the next report; `None` while one is under way or nothing is open.
    report_due: Option<Instant>,
    // When the report that is under way was asked for.
    asked: Option<Instant>,
    // When the last report came.
    reported: Option<Instant>,
    // Adapters whose load was accepted, with the time from which they are counted on.
    adapters_from: Vec<(ModelName, AdapterName, Instant)>,
    // Adapters whose unload was accepted; they take their places until a report lacks them.
    adapters_leaving: Vec<(ModelName, AdapterName)>,
}

impl ServerOrders {
    /// Returns the orders of a server of which nothing is known yet.
    pub fn new(now: Instant, born: u64) -> Self {
        Self {
            born,
            holdings: None,
            pending: None,
            pause: None,
            unloaded: None,
            report_due: Some(now),
            asked: None,
            reported: None,
            adapters_from: Vec::new(),
            adapters_leaving: Vec::new(),
        }
    }

    /// Returns the start of the server's process.
    pub fn born(&self) -> u64 {
        self.born
    }

    /// Returns what the server holds, `None` before its first report.
    pub fn holdings(&self) -> Option<&Holdings> {
        self.holdings.as_ref()
    }

    /// Returns what requests can be sent for now: without adapters that are still on their way and
    /// a model that is being unloaded.
    pub fn servable(&self, now: Instant) -> Option<Holdings> {
        let mut holdings = self.holdings.clone()?;
        for (model, adapter, from) in &self.adapters_from {
            if now < *from {
                remove_adapter(&mut holdings, model, adapter);
            }
        }
        for (model, adapter) in &self.adapters_leaving {
            remove_adapter(&mut holdings, model, adapter);
        }
        match self.operation() {
            Some(Operation::UnloadModel(model)) => {
                holdings.models.retain(|(name, _)| name != model);
            }
            Some(Operation::LoadModel(model)) if self.should_be_loaded(now) => {
                holdings.models.push((model.clone(), Vec::new()));
            }
            _ => {}
        }
        Some(holdings)
    }

    // Reports lag, so requests are sent once a load should have ended; the server turns them away
    // if it has not.
    fn should_be_loaded(&self, now: Instant) -> bool {
        let ends = self.pending.as_ref().and_then(|pending| pending.ends);
        ends.is_some_and(|ends| now >= ends + LOAD_MARGIN)
    }

    /// Returns the pending operation.
    pub fn operation(&self) -> Option<&Operation> {
        self.pending.as_ref().map(|pending| &pending.operation)
    }

    /// Returns the model that is being loaded and when that should end.
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

    /// Returns whether an adapter is about to leave.
    pub fn is_unloading_adapter(&self, model: &str, adapter: &str) -> bool {
        self.adapters_leaving
            .iter()
            .any(|(of, name)| **of == *model && **name == *adapter)
    }

    /// Returns the number of adapters that are about to leave.
    pub fn unloading_adapters(&self) -> usize {
        self.adapters_leaving.len()
    }

    /// Returns whether an order can be given.
    pub fn is_free(&self, now: Instant) -> bool {
        let paused = self.pause.is_some_and(|pause| now < pause);
        self.pending.is_none() && self.holdings.is_some() && !paused
    }

    /// Returns the count of accepted orders that an order names.
    pub fn expected_orders(&self) -> u64 {
        self.holdings.as_ref().map_or(0, |holdings| holdings.orders)
    }

    /// Notes an order that is being sent.
    pub fn record_sent(&mut self, now: Instant, operation: Operation, fetches: bool) {
        self.pending = Some(Pending {
            operation,
            sent: now,
            ends: None,
            fetches,
        });
    }

    /// Notes the answer to the pending order; `duration` is the time that it should take.
    pub fn apply_reply(&mut self, now: Instant, reply: OrderReply, duration: Duration) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        match reply {
            OrderReply::Accepted => {
                pending.ends = Some(now + duration);
                let operation = pending.operation.clone();
                if let Some(holdings) = &mut self.holdings {
                    holdings.orders += 1;
                }
                self.note_accepted(now, operation, duration);
            }
            OrderReply::Holds => self.note_holds(now),
            // The unload before this order has not ended.
            OrderReply::Conflict if self.is_unloading(now) => {
                self.pending = None;
                self.pause = Some(now + UNLOAD_PAUSE);
            }
            OrderReply::Conflict
            | OrderReply::Fenced
            | OrderReply::Refused
            | OrderReply::Unknown => {
                self.report_due = Some(now + REPORT_LAG);
            }
        }
    }

    fn note_accepted(&mut self, now: Instant, operation: Operation, duration: Duration) {
        let Some(holdings) = &mut self.holdings else {
            return;
        };
        match operation {
            Operation::LoadModel(_) => {
                self.report_due = Some(now + duration.mul_f64(FIRST_REPORT_SHARE));
            }
            Operation::UnloadModel(model) => {
                // Idle models go at once. Where requests still use one, the server is busy until
                // they end and takes no other order, so counting on the place harms nothing.
                holdings.models.retain(|(name, _)| *name != model);
                self.pending = None;
                self.pause = Some(now + UNLOAD_PAUSE);
                self.unloaded = Some(now);
            }
            Operation::LoadAdapter(model, adapter) => {
                add_adapter(holdings, &model, &adapter);
                let from = now + ADAPTER_LOAD;
                self.adapters_from.retain(|(_, _, at)| now < *at);
                self.adapters_from.push((model, adapter, from));
                self.pending = None;
            }
            Operation::UnloadAdapter(model, adapter) => {
                // Requests still use it: its place is free only when a report lacks it.
                self.adapters_leaving.push((model, adapter));
                self.report_due = Some(now + REPORT_LAG);
                self.pending = None;
            }
        }
    }

    fn is_unloading(&self, now: Instant) -> bool {
        self.unloaded
            .is_some_and(|at| now.saturating_duration_since(at) < LONGEST_UNLOAD)
    }

    fn note_holds(&mut self, now: Instant) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let Some(holdings) = &mut self.holdings else {
            return;
        };
        match pending.operation {
            Operation::UnloadAdapter(model, adapter) => {
                // The unload takes effect with the answer and counts as accepted.
                remove_adapter(holdings, &model, &adapter);
                holdings.orders += 1;
            }
            Operation::LoadAdapter(model, adapter) => add_adapter(holdings, &model, &adapter),
            Operation::LoadModel(_) | Operation::UnloadModel(_) => {
                self.pending = Some(pending);
                self.report_due = Some(now + REPORT_LAG);
            }
        }
    }

    /// Returns when the server next wants attention, if nothing else happens.
    pub fn next_due(&self) -> Option<Instant> {
        let ends = self.pending.as_ref().and_then(|pending| pending.ends);
        let loaded = ends.map(|ends| ends + LOAD_MARGIN);
        let pause = self.pause.filter(|_| self.pending.is_none());
        [self.report_due, loaded, pause].into_iter().flatten().min()
    }

    /// Takes the due report, if one is due.
    pub fn take_due_report(&mut self, now: Instant) -> bool {
        let due = self.asked.is_none() && self.report_due.is_some_and(|due| due <= now);
        if due {
            self.report_due = None;
            self.asked = Some(now);
        }
        due
    }

    /// Compares what is known with the list's entry of the server, which lags: after a lasting
    /// difference the server is asked.
    pub fn check_listed(&mut self, now: Instant, listed: &Holdings) {
        let Some(holdings) = &self.holdings else {
            return;
        };
        let differs = |(model, _): &(ModelName, _)| listed.adapters(model).is_none();
        let same =
            holdings.models.len() == listed.models.len() && !holdings.models.iter().any(differs);
        let is_recent = self
            .reported
            .is_some_and(|at| now.saturating_duration_since(at) < LIST_LAG);
        let is_open = self.pending.is_some() || self.asked.is_some() || self.report_due.is_some();
        if !same && !is_recent && !is_open {
            self.report_due = Some(now);
        }
    }

    /// Applies a report, `None` if the server gave none.
    pub fn apply_report(&mut self, now: Instant, report: Option<StatusReport>) {
        let asked = self.asked.take();
        let Some(report) = report else {
            self.report_due = Some(now + REPORT_RETRY);
            return;
        };
        self.reported = Some(now);
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| Some(pending.sent) >= asked)
        {
            // The report may be older than the order.
            self.report_due.get_or_insert(now + REPORT_LAG);
            return;
        }
        let known = self.expected_orders();
        let is_old = self.holdings.is_some() && report.holdings.orders < known;
        if report.busy || is_old {
            self.note_busy(now, report);
            return;
        }
        let mut held = report.holdings;
        for (model, adapter) in &report.incoming {
            add_adapter(&mut held, model, adapter);
        }
        self.holdings = Some(held);
        self.pending = None;
        self.adapters_from.retain(|(_, _, from)| now < *from);
        let holdings = &self.holdings;
        self.adapters_leaving.retain(|(model, adapter)| {
            let held = holdings.as_ref().and_then(|held| held.adapters(model));
            held.is_some_and(|adapters| adapters.contains(adapter))
        });
        if !self.adapters_leaving.is_empty() {
            self.report_due = Some(now + REPORT_PAUSE);
        }
    }

    fn note_busy(&mut self, now: Instant, report: StatusReport) {
        self.report_due = Some(now + REPORT_PAUSE);
        let Some(holdings) = &mut self.holdings else {
            // Nothing may be ordered before the order under way has ended.
            return;
        };
        if report.holdings.orders > holdings.orders {
            *holdings = report.holdings;
            for (model, adapter) in &report.incoming {
                add_adapter(holdings, model, adapter);
            }
        }
    }
}

fn add_adapter(holdings: &mut Holdings, model: &ModelName, adapter: &AdapterName) {
    for (name, adapters) in &mut holdings.models {
        if name == model && !adapters.contains(adapter) {
            adapters.push(adapter.clone());
        }
    }
}

fn remove_adapter(holdings: &mut Holdings, model: &ModelName, adapter: &AdapterName) {
    for (name, adapters) in &mut holdings.models {
        if name == model {
            adapters.retain(|held| held != adapter);
        }
    }
}
