//! Many nodes in virtual time.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use apricotwell_membership::Contact;
use apricotwell_messages::Envelope;
use apricotwell_node::{
    Action, AttemptEnd, Dispatch, EngineOrder, Kept, ListedServer, Node, NodeSettings, OrderKind,
    OrderOutcome, ServerReport, Submission, Target,
};
use apricotwell_records::{
    AppendError, Body, CHECKPOINT_STREAM, CONTROL_STREAM, LogBatch, OperatorKey, Put, ReadError,
    Record,
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
    AttemptEnded(RequestId, String, AttemptEnd),
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
        let held = |host: &&Host| !host.paused && host.node.may_act(self.now, shard);
        let hosts = self.hosts.iter();
        hosts
            .filter(|(_, host)| held(host))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Starts an instance, or starts it anew.
    pub fn start_instance(&mut self, name: &str) {
        self.last_life += 1;
        let index: usize = name
            .rsplit('-')
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let zone = ["zone-a", "zone-b", "zone-c"][index % 3];
        let incarnation = self.elapsed().as_millis() as u64 + self.last_life;
        let mut settings = NodeSettings::for_test(name, zone, incarnation);
        settings.genesis = Genesis {
            root_key: self.root.public_hex(),
            shards: self.options.shards,
        };
        settings.seed = self.options.seed.wrapping_mul(1000) + self.last_life;
        settings.checkpoint_records = self.options.checkpoint_records;
        settings.log_retention = self.options.retention;
        let wall = Duration::from_secs(1_000_000) + self.elapsed();
        let host = Host {
            node: Node::new(self.now, wall, settings),
            life: self.last_life,
            paused: false,
            held: Vec::new(),
            log_cut: false,
            calls: BTreeMap::new(),
        };
        self.hosts.insert(name.to_owned(), host);
        self.listed.insert(name.to_owned());
        let chunks = self.log.streams.read(CHECKPOINT_STREAM, 1);
        if let (Ok(batch), false) = (chunks, self.log.down) {
            for chunk in batch.records {
                let now = self.now;
                self.tell(name, |node| {
                    node.on_checkpoint_chunk(now, &chunk);
                });
            }
        }
        for step in [Step::List, Step::Tick, Step::Read] {
            self.after(Duration::from_millis(1), name, step);
        }
    }

    /// Ends an instance without warning.
    pub fn kill(&mut self, name: &str) {
        if let Some(host) = self.hosts.remove(name) {
            for call in host.calls.into_values() {
                self.calls.remove(&call);
            }
        }
    }

    /// Takes an instance off the platform's list.
    pub fn unlist(&mut self, name: &str) {
        self.listed.remove(name);
    }

    /// Stops a process where it stands.
    pub fn pause(&mut self, name: &str) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.paused = true;
        }
    }

    /// Lets a stopped process go on.
    pub fn resume(&mut self, name: &str) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        host.paused = false;
        let held = std::mem::take(&mut host.held);
        for step in held {
            self.after(Duration::ZERO, name, step);
        }
    }

    /// Cuts the network between two instances, or heals it.
    pub fn cut(&mut self, one: &str, other: &str, cut: bool) {
        for (from, to) in [(one, other), (other, one)] {
            let pair = (from.to_owned(), to.to_owned());
            if cut {
                self.cuts.insert(pair);
            } else {
                self.cuts.remove(&pair);
            }
        }
    }

    /// Cuts an instance off the log, or heals it.
    pub fn cut_log(&mut self, name: &str, cut: bool) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.log_cut = cut;
        }
    }

    /// Makes an instance drain.
    pub fn leave(&mut self, name: &str) {
        let now = self.now;
        self.tell(name, |node| node.leave(now));
    }

    /// Starts an engine, or starts it anew with nothing loaded.
    pub fn start_engine(&mut self, name: &str) {
        let incarnation = self.elapsed().as_millis() as u64 + 1;
        let engine = Engine {
            state: EngineState::new(incarnation, self.options.memory, self.options.fencing),
            alive: true,
            fencing: self.options.fencing,
            lose_replies: 0,
            leaving: false,
            silent: false,
        };
        self.engines.insert(name.to_owned(), engine);
    }

    /// Ends an engine without warning.
    pub fn kill_engine(&mut self, name: &str) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.alive = false;
            let fencing = engine.fencing;
            engine.state = EngineState::new(0, self.options.memory, fencing);
        }
    }

    /// Makes an engine unreachable while it goes on, or reachable again.
    pub fn silence_engine(&mut self, name: &str, silent: bool) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.silent = silent;
        }
    }

    /// Makes an engine forget what it has loaded, without a restart.
    pub fn drop_replicas(&mut self, name: &str) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.state.drop_replicas();
        }
    }

    /// Lets an engine announce that it leaves.
    pub fn retire_engine(&mut self, name: &str) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.leaving = true;
        }
    }

    /// Lets an engine take the next orders without answering.
    pub fn lose_order_replies(&mut self, name: &str, count: u32) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.lose_replies = count;
        }
    }

    /// Publishes a configuration value as the root operator, on top of the present version.
    pub fn put(&mut self, path: &str, value: &str) -> u64 {
        let expected = self.version(path);
        self.put_at(path, Some(value), expected)
    }

    /// Deletes a configuration value.
    pub fn delete(&mut self, path: &str) -> u64 {
        let expected = self.version(path);
        self.put_at(path, None, expected)
    }

    /// Publishes a configuration change that was decided on a version.
    pub fn put_at(&mut self, path: &str, value: Option<&str>, expected: u64) -> u64 {
        let mut put = Put {
            path: path.to_owned(),
            expected,
            value: value.map(str::to_owned),
            change: self.random.random(),
            signature: Vec::new(),
        };
        self.root.sign("root", &mut put);
        let record = Record::new("root", 0, 0, Body::Put(put)).to_bytes();
        self.log.streams.append(CONTROL_STREAM, vec![record])
    }

    /// Publishes what most tests need: one organisation, one model, one route.
    pub fn configure(&mut self) {
        let fencing = self.options.fencing;
        let memory = self.options.memory;
        let pool =
            format!("kind = \"engine\"\nmemory_mib = {memory}\nslots = 4\nfencing = {fencing}\n");
        self.put("/platform/pools/engines", &pool);
        self.put("/platform/pools/orders", "kind = \"service\"\nslots = 16\n");
        self.put_model("model-a", 400, 1);
        self.put(
            "/platform/organisations/org-a",
            "rate = 100000\nburst = 1000000\nmodels = [\"*\"]\n",
        );
        let digest = KeyDigest::of_secret("secret of org-a").to_hex();
        self.put(
            "/teams/org-a/keys/main",
            &format!("digest = \"{digest}\"\n"),
        );
    }

    /// Publishes a model.
    pub fn put_model(&mut self, name: &str, memory: u64, max_replicas: u32) -> u64 {
        let value = format!(
            "version = \"1\"\nmemory_mib = {memory}\npool = \"engines\"\nmax_replicas = {max_replicas}\nkeep_warm_s = 3600\n"
        );
        self.put(&format!("/platform/models/{name}"), &value)
    }

    fn version(&self, path: &str) -> u64 {
        let state = self.folded();
        state.config().get(path).map_or(0, |entry| entry.version)
    }

    /// Returns the state that the whole log folds to.
    pub fn folded(&self) -> State {
        let mut state = State::new(Genesis {
            root_key: self.root.public_hex(),
            shards: self.options.shards,
        });
        loop {
            let Ok(batch) = self.log.streams.read(CONTROL_STREAM, state.next()) else {
                // The first records are dropped: the node that has read furthest knows the rest.
                let states = self.hosts.values().map(|host| host.node.state());
                return states
                    .max_by_key(|state| state.next())
                    .cloned()
                    .unwrap_or(state);
            };
            if batch.records.is_empty() {
                return state;
            }
            for (offset, bytes) in (batch.first..).zip(&batch.records) {
                // Rejected records are part of every log.
                let _ = state.apply_bytes(offset, bytes);
            }
        }
    }

    /// Sends a call to an instance and returns its number.
    pub fn call(&mut self, name: &str, call: Call) -> u64 {
        self.last_call += 1;
        let number = self.last_call;
        let submission = match self.submission(name, &call) {
            Ok(submission) => submission,
            Err(refusal) => {
                self.audit.end(self.now, number, Finish::Refused(refusal));
                return number;
            }
        };
        self.calls.insert(number, call);
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name) else {
            return number;
        };
        match host.node.submit(now, submission) {
            Ok(id) => {
                host.calls.insert(id, number);
            }
            Err(refusal) => self.audit.end(now, number, Finish::Refused(refusal)),
        }
        self.take_actions(name);
        number
    }

    fn submission(
        &self,
        name: &str,
        call: &Call,
    ) -> Result<Submission, apricotwell_types::Refusal> {
        let node = self.node(name);
        let digest = KeyDigest::of_secret(&format!("secret of {}", call.org));
        let holder = node.authenticate(self.now, &digest)?;
        let target = match call.target.strip_prefix("service ") {
            Some(pool) => Target::Service {
                route: pool.to_owned(),
                pool: pool.to_owned(),
            },
            None => Target::Model(node.resolve(&holder.org, &call.target)?),
        };
        Ok(Submission {
            body: BodyDigest::of_body(&holder.org, call.body.as_bytes()),
            claim: call
                .key
                .as_ref()
                .map(|key| BodyDigest::of_body(&holder.org, key.as_bytes())),
            org: holder.org,
            key: Some(digest),
            target,
            class: call.class,
            deadline: self.now + call.patience,
            prompt: 0,
            max_output: call.reserved,
            prefix: None,
        })
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

    // Configuration is appended by `put_at` and stays: these tests are about claims.
    fn expire_log(&mut self) {
        while let Some((at, _, _)) = self.log.ages.front()
            && *at <= self.now
        {
            if let Some((_, stream, end)) = self.log.ages.pop_front()
                && stream != CONTROL_STREAM
            {
                self.log.streams.expire(&stream, end);
            }
        }
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::At(name, life, step) => {
                let Some(host) = self.hosts.get_mut(&name) else {
                    return;
                };
                if host.life != life {
                    return;
                }
                if host.paused {
                    host.held.push(step);
                } else {
                    self.step(&name, step);
                }
            }
            Happening::Order(name, ticket, server, order, life) => {
                self.take_order(&name, ticket, server, order, life);
            }
            Happening::Append(stream, records) => {
                self.log.streams.append(&stream, records);
            }
            Happening::Loaded(server, incarnation, replica) => {
                if let Some(engine) = self.engines.get_mut(&*server)
                    && engine.state.incarnation() == incarnation
                {
                    engine.state.end_load(replica);
                }
            }
        }
    }

    fn step(&mut self, name: &str, step: Step) {
        let now = self.now;
        match step {
            Step::Tick => {
                self.tell(name, |node| node.tick(now));
                self.after(TICK, name, Step::Tick);
            }
            Step::Read => self.begin_read(name),
            Step::ReadDone(began, result) => {
                let pause = if result.is_err() { 200 } else { 5 };
                self.finish_read(name, began, result);
                self.after(Duration::from_millis(pause), name, Step::Read);
            }
            Step::Appended(ticket, result) => {
                self.tell(name, |node| node.on_appended(now, ticket, result));
            }
            Step::ClaimsRead(stream, result) => {
                self.tell(name, |node| node.on_claims_read(now, &stream, result));
            }
            Step::Deliver(envelope) => self.tell(name, |node| node.on_message(now, *envelope)),
            Step::SendOrder(ticket, server, order, valid_until) => {
                self.send_order(name, ticket, server, order, valid_until);
            }
            Step::OrderEnded(ticket, outcome) => {
                self.tell(name, |node| node.on_order_ended(now, ticket, outcome));
            }
            Step::Report(server, report) => {
                self.tell(name, |node| node.on_report(now, &server, report));
            }
            Step::AttemptEnded(request, attempt, end) => {
                self.note_answer(name, request, &end);
                self.tell(name, |node| {
                    node.on_attempt_ended(now, request, &attempt, end)
                });
            }
            Step::List => self.list(name),
        }
    }

    // A read waits for the next record; here it looks again after a while.
    fn begin_read(&mut self, name: &str) {
        let delay = self.delay();
        let began = self.now;
        let host = &self.hosts[name];
        if self.log.down || host.log_cut {
            let result = Err(ReadError::Unreachable);
            self.after(delay, name, Step::ReadDone(began, result));
            return;
        }
        let from = host.node.next_offset();
        let result = self.log.streams.read(CONTROL_STREAM, from);
        if let Ok(batch) = &result {
            self.log.bytes_read += batch.records.iter().map(Vec::len).sum::<usize>() as u64;
            if batch.records.is_empty() {
                let confirmed = host.node.next_offset() >= batch.end;
                let wait = Duration::from_millis(10).min(READ_WAIT);
                // An empty answer is passed on so that it confirms the view.
                if confirmed {
                    self.after(delay + wait, name, Step::ReadDone(began, result));
                    return;
                }
            }
        }
        self.after(delay, name, Step::ReadDone(began, result));
    }

    fn finish_read(&mut self, name: &str, began: Instant, result: Result<LogBatch, ReadError>) {
        let now = self.now;
        let mut expired = false;
        self.tell(name, |node| {
            expired = node.on_control_read(now, began, result)
        });
        if expired && let Ok(batch) = self.log.streams.read(CHECKPOINT_STREAM, 1) {
            for chunk in batch.records {
                self.tell(name, |node| {
                    node.on_checkpoint_chunk(now, &chunk);
                });
            }
        }
    }

    fn list(&mut self, name: &str) {
        let now = self.now;
        let contacts: Vec<Contact> = self.listed.iter().map(|id| contact(id)).collect();
        let engines = self.engines.iter().map(|(id, engine)| ListedServer {
            id: id.as_str().into(),
            address: id.clone(),
            zone: "zone-a".into(),
            pool: "engines".to_owned(),
            leaving: engine.leaving,
        });
        let services = (1..=self.options.services).map(|index| ListedServer {
            id: format!("service-{index}").into(),
            address: format!("service-{index}"),
            zone: "zone-a".into(),
            pool: "orders".to_owned(),
            leaving: false,
        });
        let servers = engines.chain(services).collect();
        self.tell(name, |node| node.on_instances(now, &contacts));
        self.tell(name, |node| node.on_servers(now, servers));
        self.after(Duration::from_secs(1), name, Step::List);
    }

    fn tell<F>(&mut self, name: &str, tell: F)
    where
        F: FnOnce(&mut Node),
    {
        if let Some(host) = self.hosts.get_mut(name) {
            tell(&mut host.node);
            self.take_actions(name);
        }
    }

    fn take_actions(&mut self, name: &str) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        let actions = host.node.take_actions();
        for action in actions {
            self.act(name, action);
        }
    }

    fn act(&mut self, name: &str, action: Action) {
        let delay = self.delay();
        match action {
            Action::Append {
                stream,
                ticket,
                records,
            } => self.append(name, &stream, ticket, records),
            Action::ReadClaims { stream, from } => {
                let cut = self.log.down || self.hosts[name].log_cut;
                let result = if cut {
                    Err(ReadError::Unreachable)
                } else {
                    self.log.streams.read(&stream, from)
                };
                self.after(delay * 2, name, Step::ClaimsRead(stream, result));
            }
            Action::Send { to, envelope } => {
                self.messages += 1;
                self.bytes_sent += envelope.size() as u64;
                let pair = (name.to_owned(), to.id.to_string());
                if !self.cuts.contains(&pair) && self.hosts.contains_key(&*to.id) {
                    self.after(delay, &to.id, Step::Deliver(Box::new(envelope)));
                }
            }
            Action::Order {
                ticket,
                server,
                order,
                valid_until,
                ..
            } => {
                let step = Step::SendOrder(ticket, server, order, valid_until);
                self.after(Duration::ZERO, name, step);
            }
            Action::Poll { server, .. } => {
                let report = self.report(&server);
                self.after(delay * 2, name, Step::Report(server, report));
            }
            Action::Dispatch(dispatch) => self.dispatch(name, &dispatch),
            Action::Refuse { request, refusal } => {
                self.end_call(name, request, Finish::Refused(refusal));
            }
            Action::Replay { request, .. } => self.end_call(name, request, Finish::Replayed),
            Action::Event(event) => self.events.push(event),
        }
    }

    fn append(&mut self, name: &str, stream: &str, ticket: u64, records: Vec<Vec<u8>>) {
        let delay = self.delay();
        if self.log.down || self.hosts[name].log_cut {
            let result = Err(AppendError::NotAppended);
            self.after(delay, name, Step::Appended(ticket, result));
            return;
        }
        if !self.log.delay.is_zero() {
            let landing = Happening::Append(stream.to_owned(), records);
            self.push(self.now + self.log.delay, landing);
            let result = Err(AppendError::Unknown);
            self.after(APPEND_TIMEOUT, name, Step::Appended(ticket, result));
            return;
        }
        self.log.appends += 1;
        let offset = self.log.streams.append(stream, records);
        let kept_until = self.now + self.options.retention;
        let end = self.log.streams.end(stream);
        self.log
            .ages
            .push_back((kept_until, stream.to_owned(), end));
        if self.log.lose_replies > 0 {
            self.log.lose_replies -= 1;
            let result = Err(AppendError::Unknown);
            self.after(APPEND_TIMEOUT, name, Step::Appended(ticket, result));
        } else {
            self.after(delay, name, Step::Appended(ticket, Ok(offset)));
        }
    }

    fn send_order(
        &mut self,
        name: &str,
        ticket: u64,
        server: ServerId,
        order: EngineOrder,
        valid_until: Instant,
    ) {
        if self.now >= valid_until {
            let step = Step::OrderEnded(ticket, OrderOutcome::Failed);
            self.after(Duration::ZERO, name, step);
            return;
        }
        let at = self.now + self.delay() + self.order_delay;
        let life = self.hosts[name].life;
        let what = Happening::Order(name.to_owned(), ticket, server, order, life);
        self.push(at, what);
    }

    fn take_order(
        &mut self,
        name: &str,
        ticket: u64,
        server: ServerId,
        order: EngineOrder,
        life: u64,
    ) {
        let load = self.options.load;
        let delay = self.delay();
        let decided = self.is_decided(order.replica);
        let Some(engine) = self
            .engines
            .get_mut(&*server)
            .filter(|engine| engine.answers())
        else {
            self.reply(name, life, delay, ticket, OrderOutcome::Failed);
            return;
        };
        let (outcome, pause) = match order.kind {
            OrderKind::Load => match engine.state.begin_load(&order) {
                Ok(begun) => {
                    if begun && !decided {
                        let what = format!("replica {} was loaded undecided", order.replica);
                        self.audit.breaks(what);
                    }
                    (OrderOutcome::Done, load)
                }
                Err(_) => (OrderOutcome::Failed, Duration::ZERO),
            },
            OrderKind::Unload => match engine.state.unload(&order) {
                Ok(()) => (OrderOutcome::Done, Duration::ZERO),
                Err(_) => (OrderOutcome::Failed, Duration::ZERO),
            },
        };
        let incarnation = engine.state.incarnation();
        let lost = engine.lose_replies > 0;
        engine.lose_replies = engine.lose_replies.saturating_sub(1);
        if order.kind == OrderKind::Load && outcome == OrderOutcome::Done {
            let loaded = Happening::Loaded(server, incarnation, order.replica);
            self.push(self.now + pause, loaded);
        }
        let outcome = if lost { OrderOutcome::Unknown } else { outcome };
        self.reply(name, life, pause + delay, ticket, outcome);
    }

    fn reply(&mut self, name: &str, life: u64, delay: Duration, ticket: u64, end: OrderOutcome) {
        let what = Happening::At(name.to_owned(), life, Step::OrderEnded(ticket, end));
        self.push(self.now + delay, what);
    }

    fn is_decided(&self, replica: u64) -> bool {
        let batch = self.log.streams.read(CONTROL_STREAM, replica);
        let record = batch
            .ok()
            .and_then(|batch| Record::from_bytes(batch.records.first()?));
        matches!(record.and_then(|record| record.body), Some(Body::Decide(_)))
    }

    fn report(&self, server: &str) -> Option<ServerReport> {
        let engine = self.engines.get(server).filter(|engine| engine.answers())?;
        Some(ServerReport {
            incarnation: engine.state.incarnation(),
            replicas: engine.state.replicas(),
            requests: engine.state.running(),
            lag: Duration::ZERO,
            leaving: engine.leaving,
            cached: Vec::new(),
        })
    }

    fn dispatch(&mut self, name: &str, dispatch: &Dispatch) {
        let delay = self.delay();
        let Some(number) = self.hosts[name].calls.get(&dispatch.request).copied() else {
            return;
        };
        let call = self.calls[&number].clone();
        let end = self.run_call(number, &call, dispatch);
        let pause = match end {
            AttemptEnd::Answered { .. } => self.options.run,
            _ => Duration::ZERO,
        };
        let step = Step::AttemptEnded(dispatch.request, dispatch.attempt.clone(), end);
        self.after(delay * 2 + pause, name, step);
    }

    fn run_call(&mut self, number: u64, call: &Call, dispatch: &Dispatch) -> AttemptEnd {
        if let Some(replica) = dispatch.replica {
            let engine = self.engines.get(&*dispatch.server);
            let Some(engine) = engine.filter(|engine| engine.answers()) else {
                return AttemptEnd::NotRun { unreachable: true };
            };
            if !engine.state.is_loaded(replica) {
                return AttemptEnd::NotRun { unreachable: true };
            }
        }
        *self.audit.call_runs.entry(number).or_default() += 1;
        if let Some(key) = &call.key {
            let runs = self.audit.runs.entry(key.clone()).or_default();
            *runs += 1;
            let runs = *runs;
            if runs > 1 {
                self.audit.breaks(format!("key {key} ran {runs} times"));
            }
        }
        self.audit.spent.push(Spent {
            at: self.now,
            org: call.org.clone(),
            tokens: call.used,
        });
        let crashes = call.body.contains("crash") && dispatch.replica.is_some();
        if crashes {
            self.kill_engine(&dispatch.server);
            return AttemptEnd::Broken { partial: false };
        }
        if call.body.contains("lost answer") {
            return AttemptEnd::Broken { partial: false };
        }
        AttemptEnd::Answered {
            kept: Kept {
                status: 200,
                media: "text/plain".to_owned(),
                body: Some(b"done".to_vec()),
            },
            used: Some(call.used),
        }
    }

    fn note_answer(&mut self, name: &str, request: RequestId, end: &AttemptEnd) {
        if matches!(end, AttemptEnd::Answered { .. }) {
            self.end_call(name, request, Finish::Answered);
        }
    }

    fn end_call(&mut self, name: &str, request: RequestId, finish: Finish) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        if let Some(number) = host.calls.remove(&request) {
            self.audit.end(now, number, finish);
        }
    }

    fn check_engines(&mut self) {
        for (name, engine) in &self.engines {
            if engine.state.used() > self.options.memory {
                let used = engine.state.used();
                self.audit.breaks(format!("{name} holds {used} MiB"));
            }
        }
        // Leases lapse by time, so a look every few milliseconds sees each overlap.
        if self.now < self.next_check {
            return;
        }
        self.next_check = self.now + CHECK_PERIOD;
        for shard in 0..self.options.shards {
            let holders = self.holders(shard);
            if holders.len() > 1 {
                self.audit
                    .breaks(format!("shard {shard} is held by {holders:?}"));
            }
        }
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(200..1500))
    }

    fn after(&mut self, delay: Duration, name: &str, step: Step) {
        let Some(host) = self.hosts.get(name) else {
            return;
        };
        let what = Happening::At(name.to_owned(), host.life, step);
        self.push(self.now + delay, what);
    }

    fn push(&mut self, at: Instant, what: Happening) {
        self.last_number += 1;
        self.queue.push(Queued {
            at,
            number: self.last_number,
            what,
        });
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
