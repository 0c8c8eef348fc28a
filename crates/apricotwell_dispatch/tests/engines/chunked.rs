//! Instances and model engines with chunked prefill in virtual time, in steps of 1 ms.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use apricotwell_dispatch::backends::BackendEntry;
use apricotwell_dispatch::prelude::*;
use apricotwell_messages::Heartbeat;
use apricotwell_types::ServerId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::config::config;

pub(crate) const TARGET: Duration = Duration::from_millis(800);
pub(crate) const SLOTS: usize = 16;
/// KV memory of a server, in tokens.
const KV_TOKENS: u64 = 79_584;
const OUTPUT_LIMIT: u32 = 1000;
pub(crate) const STEP_MS: f64 = 8.2;
pub(crate) const TOKENS_PER_MS: f64 = 25.8;
/// Prompt tokens that an engine processes in one step.
const CHUNK: f64 = 512.0;
const TOKENS_PER_EVENT: u32 = 5;
/// Tokens generated for a short and for a long prompt.
pub(crate) const SHORT_OUTPUT: u32 = 14 * TOKENS_PER_EVENT;
pub(crate) const LONG_OUTPUT: u32 = 34 * TOKENS_PER_EVENT;
const HEARTBEAT_MS: u64 = 400;
const HEARTBEAT_LAG_MS: u64 = 50;

/// Rule by which a server is selected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Rule {
    /// As `select_server` does where it is load-aware: long and short prompts prefer different servers.
    Lanes,
    /// The least expected delay alone.
    LeastDelay,
    /// At most so many prompt tokens of an instance wait for a server.
    Budget(f64),
}

pub(crate) struct Job {
    pub(crate) instance: usize,
    pub(crate) server: usize,
    pub(crate) request: RequestHead,
    pub(crate) arrived: u64,
    pub(crate) first: Option<u64>,
    pub(crate) longest_pause: u64,
    pub(crate) output: u32,
    prefill_left: f64,
    generated: u32,
    last: u64,
    progress: Option<RequestProgress>,
    admission: Admission,
}

#[derive(Default)]
pub(crate) struct Engine {
    pub(crate) slowdown: f64,
    pub(crate) max_tokens: u64,
    pub(crate) sent: u32,
    jobs: VecDeque<Job>,
    step_ends: f64,
}

pub(crate) struct Simulation {
    start: Instant,
    pub(crate) ms: u64,
    pub(crate) rule: Rule,
    pub(crate) instances: Vec<Dispatcher>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) ended: Vec<Job>,
    waiting: Vec<Job>,
    heartbeats: Vec<(u64, Heartbeat)>,
    random: StdRng,
    /// Requests per ms, and the share of long prompts in them.
    pub(crate) traffic: (f64, f64),
    // Whether outputs take any length up to the limit and estimates are often wrong.
    wrong_hints: bool,
}

fn id(server: usize) -> ServerId {
    format!("server-{server}").into()
}

impl Simulation {
    pub(crate) fn new(instances: usize, servers: usize, rule: Rule, seed: u64) -> Self {
        let start = Instant::now();
        let dispatchers = (0..instances).map(|index| {
            let name = format!("10.0.0.{index}:7600");
            let mut dispatcher = Dispatcher::new(config(name.as_str().into(), 1, name.clone()));
            dispatcher.apply_catalog(catalog(1, KV_TOKENS));
            dispatcher.set_load_aware(rule == Rule::Lanes);
            dispatcher
        });
        let mut simulation = Self {
            start,
            ms: 0,
            rule,
            instances: dispatchers.collect(),
            engines: Vec::new(),
            ended: Vec::new(),
            waiting: Vec::new(),
            heartbeats: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            traffic: (0.0, 0.0),
            wrong_hints: false,
        };
        for server in 0..servers {
            simulation.engines.push(Engine {
                slowdown: 1.0,
                ..Engine::default()
            });
            simulation.list(server, 1);
        }
        simulation
    }

    /// Reduces the memory of the servers, and lets outputs take any length up to the limit, with
    /// estimates that are often wrong.
    pub(crate) fn limit_memory(&mut self, kv_tokens: u64) {
        self.wrong_hints = true;
        for instance in &mut self.instances {
            instance.apply_catalog(catalog(2, kv_tokens));
            instance.set_load_aware(self.rule == Rule::Lanes);
        }
    }

    /// Lists a server whose process started at `started_ms` at all instances.
    pub(crate) fn list(&mut self, server: usize, started_ms: u64) {
        let now = self.now();
        for instance in &mut self.instances {
            instance
                .backends
                .apply_entry(now, entry(server, started_ms));
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.ms)
    }

    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.ms + ms;
        while self.ms < end {
            self.ms += 1;
            if self.random.random_bool(self.traffic.0) {
                let job = self.draw();
                self.waiting.push(job);
            }
            let waiting = std::mem::take(&mut self.waiting);
            for job in waiting {
                self.dispatch(job);
            }
            for server in 0..self.engines.len() {
                self.step(server);
            }
            self.exchange_heartbeats();
        }
    }

    // Draws a request by the workload of docs/design/hard-load.md: short prompts have 100 to 2,000
    // tokens and 14 events, long ones 3,000 to 3,800 tokens and 34 events.
    fn draw(&mut self) -> Job {
        let is_long = self.random.random_bool(self.traffic.1);
        let prompt = if is_long {
            self.random.random_range(3000..3800)
        } else {
            100.0f64.mul_add(20f64.powf(self.random.random()), 0.0) as u64
        };
        let mut output = if is_long { LONG_OUTPUT } else { SHORT_OUTPUT };
        let instance = self.random.random_range(0..self.instances.len());
        let mut request = request(prompt, self.random.random());
        request.expected_output = Some(output.into());
        if self.wrong_hints {
            output = self.random.random_range(1..=OUTPUT_LIMIT);
            let near = (f64::from(output) * 2f64.powf(self.random.random_range(-1.5..1.5))) as u64;
            request.expected_output = Some([0, 1_000_000, near][self.random.random_range(0..3)]);
        }
        let now = self.now();
        let admission = self.instances[instance].admit(now, &request).unwrap();
        Job {
            instance,
            server: 0,
            request,
            arrived: self.ms,
            first: None,
            longest_pause: 0,
            output,
            prefill_left: prompt as f64,
            generated: 0,
            last: 0,
            progress: None,
            admission,
        }
    }

    /// Returns a request that instance 0 has admitted.
    pub(crate) fn admitted(&mut self) -> (Admission, RequestHead) {
        let job = self.draw();
        (job.admission, job.request)
    }

    fn dispatch(&mut self, mut job: Job) {
        let now = self.now();
        let dispatcher = &mut self.instances[job.instance];
        let tokens = job.prefill_left;
        let tried: Vec<ServerId> = match self.rule {
            Rule::Budget(budget) => {
                let backends = dispatcher.backends.iter();
                let full = backends.filter(|it| it.load.pending_prefill() + tokens > budget);
                full.map(|it| it.entry.id.clone()).collect()
            }
            _ => Vec::new(),
        };
        let choice = dispatcher.select_server(now, &job.admission, &job.request, &tried);
        let RoutingDecision::Send(server, _) = choice else {
            self.waiting.push(job);
            return;
        };
        dispatcher.backends.begin_request(now, &server, tokens);
        // `Rule::Budget` needs the count of waiting tokens, which only a load-aware dispatcher keeps.
        let is_aware = dispatcher.is_load_aware();
        dispatcher.set_load_aware(true);
        let load = dispatcher.request_load(&job.admission, &job.request, tokens);
        dispatcher.set_load_aware(is_aware);
        let load = load.unwrap();
        dispatcher.begin_load(&server, &load);
        job.progress = Some(RequestProgress::new(now, load));
        job.server = server["server-".len()..].parse().unwrap();
        self.engines[job.server].sent += 1;
        self.engines[job.server].jobs.push_back(job);
    }

    // Ends the step of an engine and starts the next one. A step generates a token for each request
    // whose prefill has ended, and processes a chunk of the others' prompts in order.
    fn step(&mut self, server: usize) {
        let now = self.now();
        let engine = &mut self.engines[server];
        if (self.ms as f64) < engine.step_ends || engine.jobs.is_empty() {
            return;
        }
        let mut chunk = CHUNK;
        for mut job in std::mem::take(&mut engine.jobs) {
            if job.prefill_left > 0.0 {
                let part = chunk.min(job.prefill_left);
                chunk -= part;
                job.prefill_left -= part;
                engine.jobs.push_back(job);
                continue;
            }
            job.generated += 1;
            if job.generated == 1 || job.generated % TOKENS_PER_EVENT == 0 {
                let progress = job.progress.as_mut().unwrap();
                let model = "m".into();
                self.instances[job.instance].record_events(now, &id(server), &model, progress, 1);
                match job.first {
                    None => job.first = Some(self.ms),
                    Some(_) => job.longest_pause = job.longest_pause.max(self.ms - job.last),
                }
                job.last = self.ms;
            }
            if job.generated < job.output {
                engine.jobs.push_back(job);
                continue;
            }
            let dispatcher = &mut self.instances[job.instance];
            dispatcher.backends.end_request(&id(server));
            dispatcher.end_load(now, &id(server), job.progress.as_ref().unwrap());
            self.ended.push(job);
        }
        let tokens = |job: &Job| job.request.usage.unwrap().prompt + u64::from(job.generated);
        engine.max_tokens = engine.max_tokens.max(engine.jobs.iter().map(tokens).sum());
        let step = STEP_MS + (CHUNK - chunk) / TOKENS_PER_MS;
        engine.step_ends = self.ms as f64 + step * engine.slowdown;
    }

    fn exchange_heartbeats(&mut self) {
        let now = self.now();
        for (index, instance) in self.instances.iter_mut().enumerate() {
            if (self.ms + index as u64 * 37).is_multiple_of(HEARTBEAT_MS) {
                let heartbeat = instance.heartbeat(now);
                self.heartbeats
                    .push((self.ms + HEARTBEAT_LAG_MS, heartbeat));
            }
        }
        let ms = self.ms;
        for (_, heartbeat) in self.heartbeats.extract_if(.., |(due, _)| *due <= ms) {
            for instance in &mut self.instances {
                instance.apply_heartbeat(now, &heartbeat);
            }
        }
    }

    /// Returns the 99th percentile of the time to the first event of the short or the long prompts.
    pub(crate) fn first_event_p99(&self, is_long: bool) -> u64 {
        let of_lane = |job: &&Job| (job.request.usage.unwrap().prompt >= 3000) == is_long;
        let jobs = self.ended.iter().filter(of_lane);
        let mut times: Vec<u64> = jobs.map(|job| job.first.unwrap() - job.arrived).collect();
        times.sort_unstable();
        times.get(times.len() * 99 / 100).copied().unwrap_or(0)
    }

    pub(crate) fn longest_pause(&self) -> u64 {
        let pauses = self.ended.iter().map(|job| job.longest_pause);
        pauses.max().unwrap_or(0)
    }
}

fn request(prompt: u64, attempt: u64) -> RequestHead {
    RequestHead {
        attempt: attempt.to_string(),
        host: "h".to_owned(),
        path: "/draft/x".to_owned(),
        key: None,
        timeout: None,
        requested_model: Some(RequestedModel {
            model: "m".into(),
            adapter: None,
        }),
        usage: Some(TokenUsage {
            prompt,
            output_limit: OUTPUT_LIMIT.into(),
        }),
        expected_output: None,
        prompt: vec![PromptSegment {
            id: attempt,
            tokens: prompt,
        }],
        resumes: None,
        last_event: None,
    }
}

fn entry(server: usize, started_ms: u64) -> BackendEntry {
    BackendEntry {
        id: id(server),
        service: "engines".into(),
        address: "10.0.1.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: SLOTS as u32,
        draining: false,
        cold_left: Duration::ZERO,
        software: None,
        remaining: None,
        started_ms,
        number: None,
        inventory: Inventory {
            models: [("m".into(), Vec::new())].into(),
            ..Inventory::default()
        },
    }
}

fn catalog(version: u64, kv_tokens: u64) -> Catalog {
    let mut catalog = Catalog::new(version, ClientLimits::default());
    catalog.add_service(Service {
        name: "engines".into(),
        engine: Some(EngineSpec {
            slots: SLOTS as u32,
            memory_mb: 200_000.0,
            adapter_slots: 8,
            loads_per_second: 35.0,
            kv_tokens,
            models: [].into(),
        }),
        max_connections: 100,
        warmup: None,
    });
    catalog.add_route(Route {
        name: "draft".into(),
        host: "h".to_owned(),
        prefix: "/draft/".to_owned(),
        kind: RouteKind::ResumableStream,
        timeout: Duration::from_secs(12),
        target: TARGET,
        gap_target: Duration::from_millis(300),
        priority: 0,
        services: vec![("engines".into(), 1)],
        max_attempts: 2,
        anonymous: true,
    });
    catalog
}
