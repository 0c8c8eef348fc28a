//! The fleet.

use std::fmt::Write;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use apricotwell_control::{Document, Publisher, Session};
use apricotwell_records::OperatorKey;
use apricotwell_standins::{
    EngineArgs, PlatformArgs, ServiceArgs, run_engine, run_platform, run_service,
};
use apricotwell_types::KeyDigest;

use crate::exchange::{Exchange, exchange};

/// Longest time in which a fleet must come up.
const START_LIMIT: Duration = Duration::from_secs(30);
/// First port of the range that fleets use.
const FIRST_PORT: u16 = 12_000;
/// Ports of one test process.
const PORTS_PER_PROCESS: u16 = 400;
/// Test processes with ports of their own.
const PROCESSES: u32 = 45;
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// Configuration of the fleet that most tests use.
const KITCHEN: &str = r#"
["/platform/pools/engines"]
kind = "engine"
memory_mib = 48000
slots = 8
fencing = true
["/platform/pools/orders"]
kind = "service"
slots = 16
["/platform/models/menu-writer"]
version = "1"
memory_mib = 16000
pool = "engines"
["/platform/routes/orders"]
prefix = "/orders"
methods = ["POST"]
pool = "orders"
class = "non-idempotent"
deadline_ms = 10000
["/platform/organisations/hadegisbru"]
rate = 100000
burst = 300000
models = ["menu-writer"]
"#;

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Path of the entry daemon's program.
    pub program: PathBuf,
    /// Name of the fleet's folder.
    pub name: String,
    /// Entry instances.
    pub instances: usize,
    /// Model engines that refuse old fencing numbers.
    pub fencing_engines: usize,
    /// Model engines that ignore fencing numbers.
    pub plain_engines: usize,
    /// Milliseconds of one model load.
    pub load_ms: u64,
    /// Milliseconds between two tokens.
    pub token_ms: u64,
    /// TOML text added to each instance's settings.
    pub settings: String,
    /// Document of configuration to publish.
    pub document: String,
    /// Organisations that get a key each.
    pub organisations: Vec<String>,
}

impl FleetOptions {
    /// Returns a fleet of three instances, one engine and one service, with one organisation.
    pub fn kitchen(program: PathBuf, name: &str) -> Self {
        Self {
            program,
            name: name.to_owned(),
            instances: 3,
            fencing_engines: 1,
            plain_engines: 0,
            load_ms: 50,
            token_ms: 2,
            settings: "[shutdown]\nlookup_lifetime_ms = 300\n".to_owned(),
            document: KITCHEN.to_owned(),
            organisations: vec!["hadegisbru".to_owned()],
        }
    }
}

/// Instance as a process.
#[derive(Debug)]
struct Instance {
    id: String,
    caller_address: String,
    settings: PathBuf,
    child: Option<Child>,
}

/// Fleet of real processes.
#[derive(Debug)]
pub struct LocalFleet {
    options: FleetOptions,
    folder: PathBuf,
    platform: String,
    engines: Vec<String>,
    service: String,
    instances: Vec<Instance>,
}

impl LocalFleet {
    /// Starts a fleet and publishes its configuration.
    ///
    /// # Panics
    ///
    /// Panics when a part does not come up: the test can't go on.
    pub fn start(options: FleetOptions) -> Self {
        let folder = std::env::temp_dir().join(format!(
            "apricotwell-{}-{}",
            options.name,
            std::process::id()
        ));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let count = options.fencing_engines + options.plain_engines;
        let mut fleet = Self {
            folder,
            platform: free_address(),
            engines: (0..count).map(|_| free_address()).collect(),
            service: free_address(),
            instances: Vec::new(),
            options,
        };
        fleet.write_files();
        fleet.start_standins();
        for index in 0..fleet.options.instances {
            fleet.start_instance(index);
        }
        fleet.wait_until("every instance is ready", |fleet| {
            (0..fleet.options.instances).all(|index| fleet.get(index, "/readyz").status == 200)
        });
        fleet.publish_all();
        fleet
    }

    /// Returns the address for callers of an instance.
    pub fn address(&self, index: usize) -> &str {
        &self.instances[index].caller_address
    }

    /// Returns the address of an engine.
    pub fn engine(&self, index: usize) -> &str {
        &self.engines[index]
    }

    /// Returns the address of the plain service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Returns the address of the platform.
    pub fn platform(&self) -> &str {
        &self.platform
    }

    /// Returns the key of an organisation.
    pub fn key(organisation: &str) -> String {
        format!("aw-test-key-of-{organisation}-0123456789")
    }

    /// Returns the process id of a running instance.
    pub fn pid(&self, index: usize) -> u32 {
        self.instances[index].child.as_ref().map_or(0, Child::id)
    }

    /// Returns the texts of all files that the processes wrote.
    pub fn outputs(&self) -> Vec<(String, String)> {
        let files = std::fs::read_dir(&self.folder)
            .into_iter()
            .flatten()
            .flatten();
        files
            .filter(|file| {
                let name = file.file_name().to_string_lossy().into_owned();
                name.ends_with(".events") || name.ends_with(".log")
            })
            .map(|file| {
                let text = std::fs::read_to_string(file.path()).unwrap_or_default();
                (file.file_name().to_string_lossy().into_owned(), text)
            })
            .collect()
    }

    /// Returns the text of all event files.
    pub fn events(&self) -> Vec<String> {
        let outputs = self.outputs().into_iter();
        outputs
            .filter(|(name, _)| name.ends_with(".events"))
            .map(|(_, text)| text)
            .collect()
    }

    /// Sends `GET path` to an instance.
    pub fn get(&self, index: usize, path: &str) -> Exchange {
        get(self.address(index), path)
    }

    /// Sends a chat request to an instance.
    pub fn chat(&self, index: usize, organisation: &str, body: &str) -> Exchange {
        let key = Self::key(organisation);
        self.post(index, "/v1/chat/completions", &key, &[], body)
    }

    /// Sends a request with a key to an instance.
    pub fn post(
        &self,
        index: usize,
        path: &str,
        key: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Exchange {
        exchange(self.address(index), &post_request(path, key, headers, body))
    }

    /// Sends JSON to a stand-in's faults.
    pub fn fault(&self, address: &str, faults: &str) {
        let request = post_request("/faults", "", &[], faults);
        let reply = exchange(address, &request);
        assert_eq!(reply.status, 200, "faults of {address}: {reply:?}");
    }

    /// Returns the audit of a stand-in.
    pub fn audit(&self, address: &str) -> serde_json::Value {
        let reply = get(address, "/audit");
        serde_json::from_str(&reply.body).unwrap_or_default()
    }

    /// Publishes one value, `None` to delete it, and waits until it is in force everywhere.
    pub fn publish(&self, path: &str, value: Option<&str>) -> Duration {
        let session = self.session();
        let path = path.to_owned();
        let value = value.map(str::to_owned);
        run_async(move || async move {
            let publisher = Publisher::new(&session);
            let version = publisher.version(&path).await.expect("an instance answers");
            let (offset, change) = publisher
                .put(&path, version, value)
                .await
                .expect("the log is up");
            let limit = Duration::from_secs(9);
            publisher
                .wait(&path, offset, change, limit)
                .await
                .expect("in force everywhere")
        })
    }

    /// Starts an instance, or starts it anew.
    pub fn start_instance(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        let log = self.folder.join(format!("{}.log", instance.id));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log);
        let child = Command::new(&self.options.program)
            .arg("--settings")
            .arg(&instance.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.map_or(Stdio::null(), Stdio::from))
            .spawn();
        instance.child = Some(child.expect("the entry daemon starts"));
    }

    /// Ends an instance without warning.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.instances[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal such as `STOP`, `CONT` or `TERM` to an instance.
    pub fn signal(&self, index: usize, signal: &str) {
        let pid = self.pid(index).to_string();
        let status = Command::new("kill")
            .args([format!("-{signal}"), pid])
            .status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "signal {signal}"
        );
    }

    /// Waits until an instance has ended by itself and returns its exit code.
    pub fn wait_for_exit(&mut self, index: usize) -> Option<i32> {
        let child = self.instances[index].child.as_mut()?;
        let end = Instant::now() + START_LIMIT;
        while Instant::now() < end {
            if let Ok(Some(status)) = child.try_wait() {
                return status.code();
            }
            thread::sleep(LOOK_PAUSE);
        }
        None
    }

    /// Waits until something holds.
    ///
    /// # Panics
    ///
    /// Panics when it does not come about in time.
    pub fn wait_until<F>(&self, what: &str, mut holds: F)
    where
        F: FnMut(&Self) -> bool,
    {
        let end = Instant::now() + START_LIMIT;
        while !holds(self) {
            assert!(Instant::now() < end, "not in time: {what}");
            thread::sleep(LOOK_PAUSE);
        }
    }

    fn session(&self) -> Session {
        Session {
            platform: self.platform.clone(),
            operator: "root".to_owned(),
            key: OperatorKey::from_seed([7; 32]),
        }
    }

    fn publish_all(&self) {
        let mut document = self.options.document.clone();
        for organisation in &self.options.organisations {
            let digest = KeyDigest::of_secret(&Self::key(organisation)).to_hex();
            let _ = write!(
                document,
                "\n[\"/teams/{organisation}/keys/main\"]\ndigest = \"{digest}\"\n"
            );
        }
        let document = Document::from_toml("document", &document).expect("a valid document");
        let session = self.session();
        run_async(move || async move {
            let publisher = Publisher::new(&session);
            let mut last = None;
            for (path, value) in document.values() {
                let put = publisher.put(path, 0, Some(value.to_owned())).await;
                last = Some((path.to_owned(), put.expect("the log is up")));
            }
            if let Some((path, (offset, change))) = last {
                let wait = publisher
                    .wait(&path, offset, change, Duration::from_secs(9))
                    .await;
                wait.expect("in force everywhere");
            }
        });
    }

    fn write_files(&mut self) {
        let mut listed = String::new();
        let zones = ["zone-a", "zone-b", "zone-c"];
        for index in 0..self.options.instances {
            let id = format!("entry-{}", index + 1);
            let zone = zones[index % 3];
            let caller_address = free_address();
            let peer_address = free_address();
            list(
                &mut listed,
                &id,
                "entry",
                &caller_address,
                &peer_address,
                zone,
            );
            let settings = self.folder.join(format!("{id}.toml"));
            let text = self.settings_text(&id, zone, &caller_address, &peer_address);
            std::fs::write(&settings, text).expect("settings");
            self.instances.push(Instance {
                id,
                caller_address,
                settings,
                child: None,
            });
        }
        for (index, address) in self.engines.iter().enumerate() {
            let fencing = index < self.options.fencing_engines;
            let pool = if fencing { "engines" } else { "plain-engines" };
            let id = format!("engine-{}", index + 1);
            list(&mut listed, &id, pool, address, "", zones[index % 3]);
        }
        list(
            &mut listed,
            "service-1",
            "orders",
            &self.service,
            "",
            "zone-a",
        );
        std::fs::write(self.folder.join("instances.toml"), listed).expect("list");
    }

    fn settings_text(&self, id: &str, zone: &str, caller: &str, peer: &str) -> String {
        let root = OperatorKey::from_seed([7; 32]).public_hex();
        let platform = &self.platform;
        let events = self.folder.join(format!("{id}.events"));
        let more = &self.options.settings;
        format!(
            "[instance]\nid = \"{id}\"\nzone = \"{zone}\"\ncaller_address = \"{caller}\"\n\
             peer_address = \"{peer}\"\n\
             [fleet]\nroot_key = \"{root}\"\nlink_secret = \"secret of the test fleet\"\n\
             shards = 16\n\
             [platform]\naddress = \"{platform}\"\n\
             [logs]\nevents = \"{}\"\n{more}\n",
            events.display()
        )
    }

    fn start_standins(&self) {
        let instances = self.folder.join("instances.toml");
        let platform = PlatformArgs {
            listen: self.platform.clone(),
            instances,
            parallel_loads: 4,
            load_ms: self.options.load_ms,
            parallel_adapters: 32,
            adapter_ms: 20,
        };
        spawn(move || run_platform(platform));
        for (index, address) in self.engines.iter().enumerate() {
            let engine = EngineArgs {
                listen: address.clone(),
                platform: self.platform.clone(),
                memory_mib: 48_000,
                fencing: index < self.options.fencing_engines,
                first_token_ms: 5,
                token_ms: self.options.token_ms,
                crash_on: None,
            };
            spawn(move || run_engine(engine));
        }
        let service = ServiceArgs {
            listen: self.service.clone(),
            call_ms: 5,
        };
        spawn(move || run_service(service));
        let addresses = self.engines.iter().chain([&self.platform, &self.service]);
        for address in addresses {
            let end = Instant::now() + START_LIMIT;
            while std::net::TcpStream::connect(address).is_err() {
                assert!(
                    Instant::now() < end,
                    "a stand-in does not listen on {address}"
                );
                thread::sleep(LOOK_PAUSE);
            }
        }
    }
}

impl Drop for LocalFleet {
    fn drop(&mut self) {
        for index in 0..self.instances.len() {
            self.kill(index);
        }
        let _ = std::fs::remove_dir_all(Path::new(&self.folder));
    }
}

/// Returns a loopback address that nobody listens on and that no earlier call returned.
///
/// Ports below the range from which the system picks ports for outgoing connections are taken, so
/// that none is lost between this call and its use.
///
/// # Panics
///
/// Panics when no port of the range is free.
pub fn free_address() -> String {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let offset = (std::process::id() % PROCESSES) as u16 * PORTS_PER_PROCESS;
    for _ in 0..PORTS_PER_PROCESS {
        let port = FIRST_PORT + offset + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS_PER_PROCESS;
        let address = format!("127.0.0.1:{port}");
        if TcpListener::bind(&address).is_ok() {
            return address;
        }
    }
    panic!("no free port from {FIRST_PORT} on");
}

fn get(address: &str, path: &str) -> Exchange {
    let request = format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
    exchange(address, request.as_bytes())
}

fn post_request(path: &str, key: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut head = format!("POST {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n");
    if !key.is_empty() {
        let _ = write!(head, "authorization: Bearer {key}\r\n");
    }
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let length = body.len();
    let _ = write!(
        head,
        "content-type: application/json\r\ncontent-length: {length}\r\n\r\n"
    );
    [head.as_bytes(), body.as_bytes()].concat()
}

fn list(text: &mut String, id: &str, role: &str, address: &str, peer: &str, zone: &str) {
    let _ = write!(
        text,
        "[[instance]]\nid = \"{id}\"\nrole = \"{role}\"\naddress = \"{address}\"\n\
         peer_address = \"{peer}\"\nzone = \"{zone}\"\n\n"
    );
}

fn spawn<F, R>(run: F)
where
    F: FnOnce() -> R + Send + 'static,
    R: Future<Output = std::io::Result<()>>,
{
    thread::spawn(move || actix_web::rt::System::new().block_on(run()));
}

// A runtime of its own, so that tests stay plain functions.
fn run_async<F, R, T>(run: F) -> T
where
    F: FnOnce() -> R + Send + 'static,
    R: Future<Output = T>,
    T: Send + 'static,
{
    let thread = thread::spawn(move || actix_web::rt::System::new().block_on(run()));
    thread.join().expect("the task ends")
}
