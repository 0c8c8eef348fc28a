//! Local fleet of entry instances and stand-ins.

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

use crate::raw_http::{RawResponse, send_raw};

mod state;

/// Time within which a fleet must start, and within which a condition must hold.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// First port of the range that fleets use.
const FIRST_PORT: u16 = 12_000;
/// Number of ports for each test process.
const PORTS_PER_PROCESS: u16 = 400;
/// Number of port ranges. A test process uses the range given by its process id modulo this number.
const PROCESSES: u32 = 45;
/// Period at which a condition is polled.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Configuration of the fleet that most tests use.
const BASIC_DOCUMENT: &str = r#"
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

/// Options of a local fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Path of the entry daemon's executable.
    pub program: PathBuf,
    /// Name of the fleet, used in the path of its temporary directory.
    pub name: String,
    /// Number of entry instances.
    pub instances: usize,
    /// Number of model engines that reject stale fencing tokens.
    pub fencing_engines: usize,
    /// Number of model engines that ignore fencing tokens.
    pub plain_engines: usize,
    /// Duration of one model load, in milliseconds.
    pub load_ms: u64,
    /// Time between two tokens, in milliseconds.
    pub token_ms: u64,
    /// TOML text appended to the settings of each instance.
    pub settings: String,
    /// Configuration document to publish, as TOML text.
    pub document: String,
    /// Organisations for each of which an API key is published.
    pub organisations: Vec<String>,
}

impl FleetOptions {
    /// Returns the options of a fleet of three instances, one engine and one service, with one
    /// organisation.
    pub fn basic(program: PathBuf, name: &str) -> Self {
        Self {
            program,
            name: name.to_owned(),
            instances: 3,
            fencing_engines: 1,
            plain_engines: 0,
            load_ms: 50,
            token_ms: 2,
            settings: "[shutdown]\nlookup_lifetime_ms = 300\n".to_owned(),
            document: BASIC_DOCUMENT.to_owned(),
            organisations: vec!["hadegisbru".to_owned()],
        }
    }
}

/// Entry instance that runs as a child process.
#[derive(Debug)]
struct Instance {
    id: String,
    client_address: String,
    settings: PathBuf,
    child: Option<Child>,
}

/// Fleet of entry instances as processes, and stand-ins as threads.
///
/// Dropping it kills the processes and deletes its directory.
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
    /// Panics if an instance or stand-in doesn't start, because the test can't continue.
    pub fn start(options: FleetOptions) -> Self {
        let folder = std::env::temp_dir().join(format!(
            "apricotwell-{}-{}",
            options.name,
            std::process::id()
        ));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("can't create the fleet's directory");
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

    /// Returns the address on which an instance serves clients.
    pub fn address(&self, index: usize) -> &str {
        &self.instances[index].client_address
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

    /// Returns the API key of an organisation.
    pub fn api_key(organisation: &str) -> String {
        format!("aw-test-key-of-{organisation}-0123456789")
    }

    /// Returns the process id of an instance, 0 if it isn't running.
    pub fn pid(&self, index: usize) -> u32 {
        self.instances[index].child.as_ref().map_or(0, Child::id)
    }

    /// Returns the name and text of each event file and log file that the processes wrote.
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

    /// Returns the text of each event file.
    pub fn events(&self) -> Vec<String> {
        let outputs = self.outputs().into_iter();
        outputs
            .filter(|(name, _)| name.ends_with(".events"))
            .map(|(_, text)| text)
            .collect()
    }

    /// Sends `GET path` to an instance.
    pub fn get(&self, index: usize, path: &str) -> RawResponse {
        get(self.address(index), path)
    }

    /// Sends a chat request to an instance.
    pub fn chat(&self, index: usize, organisation: &str, body: &str) -> RawResponse {
        let key = Self::api_key(organisation);
        self.post(index, "/v1/chat/completions", &key, &[], body)
    }

    /// Sends a `POST` request with an API key and additional headers to an instance.
    pub fn post(
        &self,
        index: usize,
        path: &str,
        key: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> RawResponse {
        send_raw(self.address(index), &post_request(path, key, headers, body))
    }

    /// Sets faults of a stand-in, given as JSON.
    pub fn set_faults(&self, address: &str, faults: &str) {
        let request = post_request("/faults", "", &[], faults);
        let reply = send_raw(address, &request);
        assert_eq!(
            reply.status, 200,
            "setting faults of {address} failed: {reply:?}"
        );
    }

    /// Returns the response of a stand-in to `GET /audit`, null if it isn't valid JSON.
    pub fn audit(&self, address: &str) -> serde_json::Value {
        let reply = get(address, "/audit");
        serde_json::from_str(&reply.body).unwrap_or_default()
    }

    /// Publishes one configuration value, `None` to delete it, and waits until every instance has
    /// applied it. Returns the time that this took.
    pub fn publish(&self, path: &str, value: Option<&str>) -> Duration {
        let session = self.session();
        let path = path.to_owned();
        let value = value.map(str::to_owned);
        run_async(move || async move {
            let publisher = Publisher::new(&session);
            let version = publisher
                .version(&path)
                .await
                .expect("no instance answered");
            let (offset, change) = publisher
                .put(&path, version, value)
                .await
                .expect("the log is unavailable");
            let limit = Duration::from_secs(9);
            publisher
                .wait(&path, offset, change, limit)
                .await
                .expect("not applied on every instance in time")
        })
    }

    /// Starts an instance, or restarts it after it has ended.
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
        instance.child = Some(child.expect("can't start the entry daemon"));
    }

    /// Kills an instance and waits until it has ended.
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
            "can't send signal {signal}"
        );
    }

    /// Waits until an instance exits and returns its exit code. Returns `None` if it doesn't exit
    /// in time or was ended by a signal.
    pub fn wait_for_exit(&mut self, index: usize) -> Option<i32> {
        let child = self.instances[index].child.as_mut()?;
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            if let Ok(Some(status)) = child.try_wait() {
                return status.code();
            }
            thread::sleep(POLL_PERIOD);
        }
        None
    }

    /// Waits until a condition holds.
    ///
    /// # Panics
    ///
    /// Panics with `condition`, the metrics and the last log lines if it doesn't hold in time.
    pub fn wait_until<F>(&self, condition: &str, mut holds: F)
    where
        F: FnMut(&Self) -> bool,
    {
        let end = Instant::now() + START_TIMEOUT;
        while !holds(self) {
            assert!(
                Instant::now() < end,
                "condition doesn't hold in time: {condition}\n{}",
                self.state()
            );
            thread::sleep(POLL_PERIOD);
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
            let digest = KeyDigest::of_secret(&Self::api_key(organisation)).to_hex();
            let _ = write!(
                document,
                "\n[\"/teams/{organisation}/keys/main\"]\ndigest = \"{digest}\"\n"
            );
        }
        let document =
            Document::from_toml("document", &document).expect("invalid configuration document");
        let session = self.session();
        run_async(move || async move {
            let publisher = Publisher::new(&session);
            let mut last = None;
            for (path, value) in document.values() {
                let put = publisher.put(path, 0, Some(value.to_owned())).await;
                last = Some((path.to_owned(), put.expect("the log is unavailable")));
            }
            if let Some((path, (offset, change))) = last {
                let wait = publisher
                    .wait(&path, offset, change, Duration::from_secs(9))
                    .await;
                wait.expect("not applied on every instance in time");
            }
        });
    }

    fn write_files(&mut self) {
        let mut listed = String::new();
        let zones = ["zone-a", "zone-b", "zone-c"];
        for index in 0..self.options.instances {
            let id = format!("entry-{}", index + 1);
            let zone = zones[index % 3];
            let client_address = free_address();
            let peer_address = free_address();
            append_entry(
                &mut listed,
                &id,
                "entry",
                &client_address,
                &peer_address,
                zone,
            );
            let settings = self.folder.join(format!("{id}.toml"));
            let text = self.settings_text(&id, zone, &client_address, &peer_address);
            std::fs::write(&settings, text).expect("can't write the settings");
            self.instances.push(Instance {
                id,
                client_address,
                settings,
                child: None,
            });
        }
        for (index, address) in self.engines.iter().enumerate() {
            let fencing = index < self.options.fencing_engines;
            let pool = if fencing { "engines" } else { "plain-engines" };
            let id = format!("engine-{}", index + 1);
            append_entry(&mut listed, &id, pool, address, "", zones[index % 3]);
        }
        append_entry(
            &mut listed,
            "service-1",
            "orders",
            &self.service,
            "",
            "zone-a",
        );
        std::fs::write(self.folder.join("instances.toml"), listed)
            .expect("can't write the instance list");
    }

    fn settings_text(&self, id: &str, zone: &str, client: &str, peer: &str) -> String {
        let root = OperatorKey::from_seed([7; 32]).public_hex();
        let platform = &self.platform;
        let events = self.folder.join(format!("{id}.events"));
        let extra = &self.options.settings;
        format!(
            "[instance]\nid = \"{id}\"\nzone = \"{zone}\"\ncaller_address = \"{client}\"\n\
             peer_address = \"{peer}\"\n\
             [fleet]\nroot_key = \"{root}\"\nlink_secret = \"secret of the test fleet\"\n\
             shards = 16\n\
             [platform]\naddress = \"{platform}\"\n\
             [logs]\nevents = \"{}\"\n{extra}\n",
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
        spawn_standin(move || run_platform(platform));
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
            spawn_standin(move || run_engine(engine));
        }
        let service = ServiceArgs {
            listen: self.service.clone(),
            call_ms: 5,
            crash_on: None,
        };
        spawn_standin(move || run_service(service));
        let addresses = self.engines.iter().chain([&self.platform, &self.service]);
        for address in addresses {
            let end = Instant::now() + START_TIMEOUT;
            while std::net::TcpStream::connect(address).is_err() {
                assert!(Instant::now() < end, "no stand-in listens on {address}");
                thread::sleep(POLL_PERIOD);
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

/// Returns a loopback address on which no socket listens. Each call in a process returns another
/// port, until the process's range is used up.
///
/// The ports are below the range from which the system picks ports for outgoing connections, so
/// that such a connection can't take the port between this call and its use.
///
/// # Panics
///
/// Panics if no port of the process's range is free.
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

fn get(address: &str, path: &str) -> RawResponse {
    let request = format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
    send_raw(address, request.as_bytes())
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

fn append_entry(text: &mut String, id: &str, role: &str, address: &str, peer: &str, zone: &str) {
    let _ = write!(
        text,
        "[[instance]]\nid = \"{id}\"\nrole = \"{role}\"\naddress = \"{address}\"\n\
         peer_address = \"{peer}\"\nzone = \"{zone}\"\n\n"
    );
}

fn spawn_standin<F, R>(run: F)
where
    F: FnOnce() -> R + Send + 'static,
    R: Future<Output = std::io::Result<()>>,
{
    thread::spawn(move || actix_web::rt::System::new().block_on(run()));
}

// Runs a future in a runtime on a separate thread, so that tests don't need to be async.
fn run_async<F, R, T>(run: F) -> T
where
    F: FnOnce() -> R + Send + 'static,
    R: Future<Output = T>,
    T: Send + 'static,
{
    let thread = thread::spawn(move || actix_web::rt::System::new().block_on(run()));
    thread.join().expect("the task panicked")
}
