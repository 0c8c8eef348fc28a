//! Simulation of many nodes in virtual time.

mod events;
mod faults;
mod operations;

use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use apricotwell_membership::Contact;
use apricotwell_messages::Envelope;
use apricotwell_node::{
    Action, AttemptOutcome, Dispatch, EngineOrder, ListedServer, Node, NodeSettings, OrderKind,
    OrderOutcome, ServerReport, StoredAnswer, Submission, Target,
};
use apricotwell_permits::prelude::LimitResponse;
use apricotwell_records::{
    AppendError, Body, CHECKPOINT_STREAM, CONTROL_STREAM, LogBatch, OperatorKey, PutConfig,
    ReadError, Record,
};
use apricotwell_state::{Genesis, State};
use apricotwell_timeline::Event;
use apricotwell_types::{BodyDigest, KeyDigest, RequestId, ServerId, Tokens, WorkClass, shard_of};

use crate::engine::EngineState;
use crate::history::{CallOutcome, History, TokenUse};
use crate::log::LogStreams;

/// Period of the nodes' ticks.
const TICK: Duration = Duration::from_millis(25);
/// Period of the check that no shard has two holders.
const CHECK_PERIOD: Duration = Duration::from_millis(5);
/// Maximum wait of one read of the log.
const READ_WAIT: Duration = Duration::from_millis(500);
/// Time after which the outcome of an append without a reply is reported as unknown.
const APPEND_TIMEOUT: Duration = Duration::from_millis(300);

/// Options of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationOptions {
    /// Seed of the random number generators.
    pub seed: u64,
    /// Number of entry instances.
    pub instances: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of plain services.
    pub services: usize,
    /// Whether engines reject orders with a stale fencing token.
    pub fencing: bool,
    /// Memory of each engine, in MiB.
    pub memory_mib: u64,
    /// Duration of a model load.
    pub load_time: Duration,
    /// Duration of a request on a server.
    pub request_time: Duration,
    /// Number of shards that instances lease.
    pub shards: u32,
    /// Number of records after which a checkpoint is written.
    pub checkpoint_records: u64,
    /// Time for which the log retains records.
    pub retention: Duration,
}

impl Default for SimulationOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            instances: 3,
            engines: 2,
            services: 1,
            fencing: true,
            memory_mib: 1000,
            load_time: Duration::from_millis(300),
            request_time: Duration::from_millis(50),
            shards: 8,
            checkpoint_records: 1_000_000,
            retention: Duration::from_secs(24 * 3600),
        }
    }
}

/// Request from a client.
#[derive(Clone, Debug)]
pub struct Call {
    /// Organisation that sends the request.
    pub org: String,
    /// Name of the model, or `service ` followed by the pool of a plain service.
    pub target: String,
    /// Work class.
    pub class: WorkClass,
    /// Time from sending to the deadline.
    pub timeout: Duration,
    /// Number of tokens reserved at admission.
    pub reserved: Tokens,
    /// Number of tokens that the run uses.
    pub used: Tokens,
    /// Idempotency key.
    pub key: Option<String>,
    /// Request body. `crash` in it makes the engine crash during the run, and `lost answer` makes
    /// the connection break before the answer.
    pub body: String,
    /// Ids of the parts of the prompt that other calls share.
    pub parts: Vec<u64>,
}

impl Call {
    /// Creates a chat request for a model.
    pub fn chat(org: &str, model: &str) -> Self {
        Self {
            org: org.to_owned(),
            target: model.to_owned(),
            class: WorkClass::SoftDeadline,
            timeout: Duration::from_secs(10),
            reserved: 100,
            used: 40,
            key: None,
            body: "hello".to_owned(),
            parts: Vec::new(),
        }
    }

    /// Creates a non-idempotent request to a plain service.
    pub fn order(org: &str, pool: &str, key: &str) -> Self {
        Self {
            class: WorkClass::NonIdempotent,
            key: Some(key.to_owned()),
            body: format!("order {key}"),
            ..Self::chat(org, &format!("service {pool}"))
        }
    }
}

/// Simulated log with injected faults.
#[derive(Debug, Default)]
pub struct FakeLog {
    /// Streams of records.
    pub streams: LogStreams,
    /// Whether appends and reads fail.
    pub down: bool,
    /// Number of upcoming appends that take effect but whose reply is lost.
    pub lose_replies: u32,
    /// Delay until an append reaches the log, even if its process ends before. While it isn't zero,
    /// the outcome of each append is reported as unknown.
    pub append_delay: Duration,
    /// Number of appends accepted without a delay.
    pub appends: u64,
    /// Number of bytes that all nodes have read.
    pub bytes_read: u64,
    // Time of expiry, stream, and the offset before which records expire.
    expiries: VecDeque<(Instant, String, u64)>,
}

#[derive(Debug)]
enum ProcessEvent {
    Tick,
    Read,
    ReadDone(Instant, Result<LogBatch, ReadError>),
    Appended(u64, Result<u64, AppendError>),
    ClaimsRead(String, Result<LogBatch, ReadError>),
    Deliver(Box<Envelope>),
    SendOrder(u64, ServerId, EngineOrder, Instant),
    OrderEnded(u64, OrderOutcome),
    Report(ServerId, Option<ServerReport>),
    AttemptEnded(RequestId, String, AttemptOutcome),
    ServerLimit(ServerId, LimitResponse),
    List,
}

#[derive(Debug)]
enum SimEvent {
    // Event of a process, with the process's name and generation; deferred while it is paused.
    Process(String, u64, ProcessEvent),
    // Arrival of an order at an engine. The process that sent it may have ended.
    // Fields: sender, ticket, server, order, generation of the sender.
    Order(String, u64, ServerId, EngineOrder, u64),
    // End of a load. Fields: server, incarnation, replica.
    Loaded(ServerId, u64, u64),
    // Delayed arrival of records at the log.
    Append(String, Vec<Vec<u8>>),
}

struct Scheduled {
    at: Instant,
    // Order of events that fall due at the same time.
    sequence: u64,
    event: SimEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        // Reversed, because `BinaryHeap` is a max-heap and the earliest event comes first.
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

struct Host {
    node: Node,
    // Number of the process start; events for an earlier start are discarded.
    generation: u64,
    paused: bool,
    // Events that arrived while the process was paused.
    deferred: Vec<ProcessEvent>,
    log_partitioned: bool,
    // Whether it reaches no engine.
    engines_partitioned: bool,
    // Call numbers of the open requests.
    calls: BTreeMap<RequestId, u64>,
}

struct Engine {
    state: EngineState,
    alive: bool,
    fencing: bool,
    // Number of upcoming orders whose replies are lost.
    lose_replies: u32,
    leaving: bool,
    // Whether the engine is unreachable, although it runs.
    unreachable: bool,
    // Requests per second that it accepts from all instances together.
    limit: Option<f64>,
}

impl Engine {
    fn is_reachable(&self) -> bool {
        self.alive && !self.unreachable
    }
}

/// Deterministic simulation of nodes, a log, engines and a network in virtual time.
pub struct Simulation {
    options: SimulationOptions,
    start: Instant,
    now: Instant,
    random: StdRng,
    queue: BinaryHeap<Scheduled>,
    last_sequence: u64,
    last_call: u64,
    last_generation: u64,
    hosts: BTreeMap<String, Host>,
    engines: BTreeMap<String, Engine>,
    calls: BTreeMap<u64, Call>,
    // Pairs of sender and receiver between which messages are dropped.
    partitions: BTreeSet<(String, String)>,
    root_key: OperatorKey,
    // Instances on the platform's list.
    listed: BTreeSet<String>,
    next_check: Instant,
    /// Additional delay of each order between its last validity check and its arrival.
    pub order_delay: Duration,
    /// Simulated log.
    pub log: FakeLog,
    /// History of the simulation.
    pub history: History,
    /// Number of bytes sent between nodes.
    pub bytes_sent: u64,
    /// Number of messages sent between nodes.
    pub messages: u64,
    events: Vec<Event>,
}

impl Simulation {
    /// Creates a simulation whose processes have just started.
    pub fn new(options: SimulationOptions) -> Self {
        let start = Instant::now();
        let mut simulation = Self {
            start,
            now: start,
            random: StdRng::seed_from_u64(options.seed),
            queue: BinaryHeap::new(),
            last_sequence: 0,
            last_call: 0,
            last_generation: 0,
            hosts: BTreeMap::new(),
            engines: BTreeMap::new(),
            calls: BTreeMap::new(),
            partitions: BTreeSet::new(),
            root_key: OperatorKey::from_seed([7; 32]),
            listed: BTreeSet::new(),
            next_check: start,
            order_delay: Duration::ZERO,
            log: FakeLog::default(),
            history: History::default(),
            bytes_sent: 0,
            messages: 0,
            events: Vec::new(),
            options,
        };
        for index in 1..=simulation.options.engines {
            simulation.start_engine(&format!("engine-{index}"));
        }
        for index in 1..=simulation.options.instances {
            let name = format!("entry-{index}");
            simulation.listed.insert(name.clone());
        }
        for index in 1..=simulation.options.instances {
            simulation.start_instance(&format!("entry-{index}"));
        }
        simulation
    }

    /// Returns the virtual time since the start of the simulation.
    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Returns a description of each violation of an invariant.
    pub fn violations(&self) -> Vec<String> {
        self.history.violations().to_vec()
    }

    /// Returns the events that all nodes have emitted.
    pub fn events(&self) -> &[Event] {
        &self.events
    }

    /// Returns the node of a running instance.
    ///
    /// # Panics
    ///
    /// Panics if the instance isn't running, which is an error in the test's script.
    pub fn node(&self, name: &str) -> &Node {
        &self.hosts[name].node
    }

    /// Returns the names of the running instances.
    pub fn instances(&self) -> Vec<String> {
        self.hosts.keys().cloned().collect()
    }

    /// Returns the state of an engine.
    ///
    /// # Panics
    ///
    /// Panics if there is no such engine, which is an error in the test's script.
    pub fn engine(&self, name: &str) -> &EngineState {
        &self.engines[name].state
    }

    /// Returns whether an engine runs.
    pub fn is_engine_alive(&self, name: &str) -> bool {
        self.engines.get(name).is_some_and(|engine| engine.alive)
    }

    /// Returns whether every shard is held by exactly one running instance that may act on it.
    pub fn is_settled(&self) -> bool {
        let all = 0..self.options.shards;
        all.into_iter().all(|shard| self.holders(shard).len() == 1)
    }

    /// Returns the shard of an organisation's bucket.
    pub fn org_shard(&self, org: &str) -> u32 {
        shard_of(org, self.options.shards)
    }

    /// Returns the instances that would act on a shard at the current time. Paused instances don't
    /// count.
    pub fn holders(&self, shard: u32) -> Vec<String> {
        let holds = |host: &&Host| !host.paused && host.node.holds_shard(self.now, shard);
        let hosts = self.hosts.iter();
        hosts
            .filter(|(_, host)| holds(host))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Advances the virtual time and handles the events that fall due.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(next) = self.queue.peek()
            && next.at <= end
        {
            if let Some(scheduled) = self.queue.pop() {
                self.now = self.now.max(scheduled.at);
                self.expire_log();
                self.handle_event(scheduled.event);
                self.check_invariants();
            }
        }
        self.now = end;
    }

    /// Advances the virtual time until `done` returns true, by at most `limit`. Returns whether it
    /// did.
    pub fn run_until<F>(&mut self, limit: Duration, mut done: F) -> bool
    where
        F: FnMut(&Simulation) -> bool,
    {
        let end = self.now + limit;
        while self.now < end {
            if done(self) {
                return true;
            }
            self.run_for(TICK);
        }
        done(self)
    }
}

fn contact(id: &str) -> Contact {
    let index: usize = id
        .rsplit('-')
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    Contact {
        id: id.into(),
        address: format!("{id}:81"),
        zone: ["zone-a", "zone-b", "zone-c"][index % 3].into(),
    }
}
