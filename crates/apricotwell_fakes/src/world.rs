//! Many nodes in virtual time.

mod faults;
mod script;
mod steps;

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
use apricotwell_records::{
    AppendError, Body, CHECKPOINT_STREAM, CONTROL_STREAM, LogBatch, OperatorKey, PutConfig,
    ReadError, Record,
};
use apricotwell_state::{Genesis, State};
use apricotwell_timeline::Event;
use apricotwell_types::{BodyDigest, KeyDigest, RequestId, ServerId, Tokens, WorkClass, shard_of};

use crate::audit::{Audit, Finish, Spent};
use crate::engine::EngineState;
use crate::log::LogStreams;

/// Time between two ticks of a node.
const TICK: Duration = Duration::from_millis(25);
/// Time between two looks at who would act on which shard.
const CHECK_PERIOD: Duration = Duration::from_millis(5);
/// Longest wait of one read of the log.
const READ_WAIT: Duration = Duration::from_millis(500);
/// Time after which an append without an answer counts as unknown.
const APPEND_TIMEOUT: Duration = Duration::from_millis(300);

/// What a world begins with.
#[derive(Clone, Debug)]
pub struct WorldOptions {
    /// Seed of everything random.
    pub seed: u64,
    /// Entry instances.
    pub instances: usize,
    /// Model engines.
    pub engines: usize,
    /// Plain services.
    pub services: usize,
    /// Whether engines refuse old fencing numbers.
    pub fencing: bool,
    /// Memory of an engine in MiB.
    pub memory: u64,
    /// Time of a load.
    pub load: Duration,
    /// Time of a request.
    pub run: Duration,
    /// Duty shards.
    pub shards: u32,
    /// Records after which a checkpoint is written.
    pub checkpoint_records: u64,
    /// How long the log keeps records.
    pub retention: Duration,
}

impl Default for WorldOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            instances: 3,
            engines: 2,
            services: 1,
            fencing: true,
            memory: 1000,
            load: Duration::from_millis(300),
            run: Duration::from_millis(50),
            shards: 8,
            checkpoint_records: 1_000_000,
            retention: Duration::from_secs(24 * 3600),
        }
    }
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Organisation.
    pub org: String,
    /// Model, or the pool of a plain service behind `service `.
    pub target: String,
    /// Class.
    pub class: WorkClass,
    /// Time until the deadline.
    pub patience: Duration,
    /// Tokens reserved.
    pub reserved: Tokens,
    /// Tokens that it turns out to use.
    pub used: Tokens,
    /// Idempotency key.
    pub key: Option<String>,
    /// Body.
    pub body: String,
}

impl Call {
    /// Returns a chat request for a model.
    pub fn chat(org: &str, model: &str) -> Self {
        Self {
            org: org.to_owned(),
            target: model.to_owned(),
            class: WorkClass::SoftDeadline,
            patience: Duration::from_secs(10),
            reserved: 100,
            used: 40,
            key: None,
            body: "hello".to_owned(),
        }
    }

    /// Returns an order to a plain service.
    pub fn order(org: &str, pool: &str, key: &str) -> Self {
        Self {
            class: WorkClass::NonIdempotent,
            key: Some(key.to_owned()),
            body: format!("order {key}"),
            ..Self::chat(org, &format!("service {pool}"))
        }
    }
}

/// The log with its faults.
#[derive(Debug, Default)]
pub struct FakeLog {
    /// Streams.
    pub streams: LogStreams,
    /// Whether appends and reads fail.
    pub down: bool,
    /// Number of appends that take effect without an answer.
    pub lose_replies: u32,
    /// Time that each append takes to reach the log, whatever becomes of its process meanwhile.
    pub delay: Duration,
    /// Appends taken.
    pub appends: u64,
    /// Bytes read by all nodes.
    pub bytes_read: u64,
    // When which records are dropped.
    ages: VecDeque<(Instant, String, u64)>,
}

#[derive(Debug)]
enum Step {
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
    List,
}

#[derive(Debug)]
enum Happening {
    // Something that a process does; waits while the process is paused.
    At(String, u64, Step),
    // An order reaches an engine, from a process that may be gone by then.
    Order(String, u64, ServerId, EngineOrder, u64),
    Loaded(ServerId, u64, u64),
    // Records reach the log late.
    Append(String, Vec<Vec<u8>>),
}

struct Queued {
    at: Instant,
    number: u64,
    what: Happening,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

struct Host {
    node: Node,
    life: u64,
    paused: bool,
    held: Vec<Step>,
    log_cut: bool,
    calls: BTreeMap<RequestId, u64>,
}

struct Engine {
    state: EngineState,
    alive: bool,
    fencing: bool,
    // Orders that it has taken and whose answers are lost.
    lose_replies: u32,
    leaving: bool,
    // Whether it can't be reached, though it runs.
    silent: bool,
}

impl Engine {
    fn answers(&self) -> bool {
        self.alive && !self.silent
    }
}

/// Many nodes, a log, engines and a network in virtual time.
pub struct World {
    options: WorldOptions,
    start: Instant,
    now: Instant,
    random: StdRng,
    queue: BinaryHeap<Queued>,
    last_number: u64,
    last_call: u64,
    last_life: u64,
    hosts: BTreeMap<String, Host>,
    engines: BTreeMap<String, Engine>,
    calls: BTreeMap<u64, Call>,
    cuts: BTreeSet<(String, String)>,
    root: OperatorKey,
    listed: BTreeSet<String>,
    next_check: Instant,
    /// Delay of each order between its last check and its arrival.
    pub order_delay: Duration,
    /// The log.
    pub log: FakeLog,
    /// What happened.
    pub audit: Audit,
    /// Bytes sent between nodes.
    pub bytes_sent: u64,
    /// Messages sent between nodes.
    pub messages: u64,
    events: Vec<Event>,
}

impl World {
    /// Returns a world whose processes have just started.
    pub fn new(options: WorldOptions) -> Self {
        let start = Instant::now();
        let mut world = Self {
            start,
            now: start,
            random: StdRng::seed_from_u64(options.seed),
            queue: BinaryHeap::new(),
            last_number: 0,
            last_call: 0,
            last_life: 0,
            hosts: BTreeMap::new(),
            engines: BTreeMap::new(),
            calls: BTreeMap::new(),
            cuts: BTreeSet::new(),
            root: OperatorKey::from_seed([7; 32]),
            listed: BTreeSet::new(),
            next_check: start,
            order_delay: Duration::ZERO,
            log: FakeLog::default(),
            audit: Audit::default(),
            bytes_sent: 0,
            messages: 0,
            events: Vec::new(),
            options,
        };
        for index in 1..=world.options.engines {
            world.start_engine(&format!("engine-{index}"));
        }
        for index in 1..=world.options.instances {
            let name = format!("entry-{index}");
            world.listed.insert(name.clone());
        }
        for index in 1..=world.options.instances {
            world.start_instance(&format!("entry-{index}"));
        }
        world
    }

    /// Returns the time since the world began.
    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Returns the present time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Returns the invariants that were broken.
    pub fn broken(&self) -> Vec<String> {
        self.audit.broken().to_vec()
    }

    /// Returns the events of all nodes.
    pub fn events(&self) -> &[Event] {
        &self.events
    }

    /// Returns the node of a running instance.
    ///
    /// # Panics
    ///
    /// Panics when the instance does not run: the test's script is wrong.
    pub fn node(&self, name: &str) -> &Node {
        &self.hosts[name].node
    }

    /// Returns the names of running instances.
    pub fn instances(&self) -> Vec<String> {
        self.hosts.keys().cloned().collect()
    }

    /// Returns an engine.
    ///
    /// # Panics
    ///
    /// Panics when there is none: the test's script is wrong.
    pub fn engine(&self, name: &str) -> &EngineState {
        &self.engines[name].state
    }

    /// Returns whether every shard is held by a running instance that may act on it.
    pub fn is_settled(&self) -> bool {
        let all = 0..self.options.shards;
        all.into_iter().all(|shard| self.holders(shard).len() == 1)
    }

    /// Returns the shard of an organisation's bucket.
    pub fn org_shard(&self, org: &str) -> u32 {
        shard_of(org, self.options.shards)
    }

    /// Returns the instances that would act on a shard right now.
    pub fn holders(&self, shard: u32) -> Vec<String> {
        let held = |host: &&Host| !host.paused && host.node.holds_shard(self.now, shard);
        let hosts = self.hosts.iter();
        hosts
            .filter(|(_, host)| held(host))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(next) = self.queue.peek()
            && next.at <= end
        {
            if let Some(queued) = self.queue.pop() {
                self.now = self.now.max(queued.at);
                self.expire_log();
                self.happen(queued.what);
                self.check_engines();
            }
        }
        self.now = end;
    }

    /// Lets time pass until `done`, at most for `limit`; returns whether it came about.
    pub fn run_until<F>(&mut self, limit: Duration, mut done: F) -> bool
    where
        F: FnMut(&World) -> bool,
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
