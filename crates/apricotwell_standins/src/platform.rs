//! Stand-in for the platform: log, list of instances and weight store.

use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::web::{Bytes, Data, Json, Path, Query};
use actix_web::{App, HttpResponse, HttpServer, web};
use prost::Message;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

use apricotwell_adapters::{AppendReply, ExpiredReply, InstanceBody, RecordBatch, StreamSlice};
use apricotwell_fakes::LogStreams;
use apricotwell_records::{LogBatch, ReadError};

use crate::WeightStore;

/// Stand-in for the platform: an append-only log, a list of instances and a weight store.
///
/// Faults are set with `POST /faults`; see docs/INTERFACES.md.
#[derive(argh::FromArgs, Clone, Debug)]
pub struct PlatformArgs {
    /// address to listen on, as ip:port
    #[argh(option, default = "String::from(\"127.0.0.1:7600\")")]
    pub listen: String,
    /// TOML file with the list of instances
    #[argh(option)]
    pub instances: PathBuf,
    /// model loads in flight at full speed
    #[argh(option, default = "4")]
    pub parallel_loads: u32,
    /// milliseconds of one model load at full speed
    #[argh(option, default = "500")]
    pub load_ms: u64,
    /// adapter loads in flight at full speed
    #[argh(option, default = "32")]
    pub parallel_adapters: u32,
    /// milliseconds of one adapter load at full speed
    #[argh(option, default = "20")]
    pub adapter_ms: u64,
}

/// Faults of the platform; absent fields stay as they are.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether the log refuses appends and reads.
    pub log_down: Option<bool>,
    /// Number of appends that take effect without an answer.
    pub lose_replies: Option<u32>,
    /// Milliseconds that each append takes longer.
    pub slow_ms: Option<u64>,
    /// Factor by which the weight store is slower.
    pub store_factor: Option<u32>,
    /// Instance that is marked as leaving.
    pub leaving: Option<String>,
    /// Instance that is taken off the list.
    pub remove: Option<String>,
    /// Instance that is put on the list.
    pub add: Option<InstanceBody>,
    /// Stream and first offset to keep.
    pub expire: Option<(String, u64)>,
}

#[derive(Deserialize)]
struct InstancesFile {
    instance: Vec<InstanceBody>,
}

struct Inner {
    log: LogStreams,
    down: bool,
    lose_replies: u32,
    slow: Duration,
    instances: Vec<InstanceBody>,
    models: WeightStore,
    adapters: WeightStore,
}

#[derive(Clone)]
struct Platform {
    inner: Arc<Mutex<Inner>>,
    appended: Arc<Notify>,
}

impl Platform {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs the stand-in until it is stopped.
///
/// # Errors
///
/// Fails when the list can't be read or the address can't be bound.
pub async fn run_platform(args: PlatformArgs) -> io::Result<()> {
    let text = std::fs::read_to_string(&args.instances)?;
    let file: InstancesFile = toml::from_str(&text).map_err(io::Error::other)?;
    let platform = Platform {
        inner: Arc::new(Mutex::new(Inner {
            log: LogStreams::default(),
            down: false,
            lose_replies: 0,
            slow: Duration::ZERO,
            instances: file.instance,
            models: WeightStore::new(args.parallel_loads, Duration::from_millis(args.load_ms)),
            adapters: WeightStore::new(
                args.parallel_adapters,
                Duration::from_millis(args.adapter_ms),
            ),
        })),
        appended: Arc::new(Notify::new()),
    };
    let app = move || {
        App::new()
            .app_data(Data::new(platform.clone()))
            .app_data(web::PayloadConfig::new(16 << 20))
            .route("/log/{stream}", web::post().to(append))
            .route("/log/{stream}", web::get().to(read))
            .route("/instances", web::get().to(instances))
            .route("/weights", web::get().to(weights))
            .route("/faults", web::post().to(faults))
    };
    HttpServer::new(app)
        .workers(1)
        .keep_alive(Duration::from_secs(75))
        .shutdown_timeout(1)
        .bind(&args.listen)?
        .run()
        .await
}

async fn append(platform: Data<Platform>, stream: Path<String>, body: Bytes) -> HttpResponse {
    let Ok(batch) = RecordBatch::decode(body) else {
        return HttpResponse::BadRequest().body("the body is no batch of records");
    };
    let slow = platform.lock().slow;
    if !slow.is_zero() {
        sleep(slow).await;
    }
    let (first, lost) = {
        let mut inner = platform.lock();
        if inner.down {
            return HttpResponse::ServiceUnavailable().body("the log is down");
        }
        let first = inner.log.append(&stream, batch.records);
        let lost = inner.lose_replies > 0;
        inner.lose_replies = inner.lose_replies.saturating_sub(1);
        (first, lost)
    };
    platform.appended.notify_waiters();
    if lost {
        return HttpResponse::InternalServerError().body("the answer was lost");
    }
    HttpResponse::Ok().json(AppendReply { first })
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    #[serde(default)]
    wait_ms: u64,
}

async fn read(
    platform: Data<Platform>,
    stream: Path<String>,
    query: Query<ReadQuery>,
) -> HttpResponse {
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let appended = platform.appended.notified();
        tokio::pin!(appended);
        appended.as_mut().enable();
        let slice = {
            let inner = platform.lock();
            if inner.down {
                return HttpResponse::ServiceUnavailable().body("the log is down");
            }
            inner.log.read(&stream, query.from)
        };
        match slice {
            Err(ReadError::Expired(first)) => {
                return HttpResponse::Gone().json(ExpiredReply { first });
            }
            Ok(batch) if !batch.records.is_empty() || Instant::now() >= deadline => {
                return HttpResponse::Ok().body(slice_of(batch).encode_to_vec());
            }
            Ok(_) | Err(ReadError::Unreachable) => {
                // Woken or not, the loop looks again.
                let _ = timeout_at(deadline, appended).await;
            }
        }
    }
}

fn slice_of(batch: LogBatch) -> StreamSlice {
    StreamSlice {
        first: batch.first,
        end: batch.end,
        records: batch.records,
    }
}

async fn instances(platform: Data<Platform>) -> HttpResponse {
    HttpResponse::Ok().json(&platform.lock().instances)
}

#[derive(Deserialize)]
struct WeightsQuery {
    #[serde(default)]
    adapter: bool,
}

async fn weights(platform: Data<Platform>, query: Query<WeightsQuery>) -> HttpResponse {
    let pause = {
        let mut inner = platform.lock();
        if query.adapter {
            inner.adapters.begin()
        } else {
            inner.models.begin()
        }
    };
    sleep(pause).await;
    let mut inner = platform.lock();
    if query.adapter {
        inner.adapters.end();
    } else {
        inner.models.end();
    }
    HttpResponse::Ok().finish()
}

async fn faults(platform: Data<Platform>, faults: Json<PlatformFaults>) -> HttpResponse {
    let faults = faults.into_inner();
    let mut inner = platform.lock();
    inner.down = faults.log_down.unwrap_or(inner.down);
    inner.lose_replies = faults.lose_replies.unwrap_or(inner.lose_replies);
    inner.slow = faults.slow_ms.map_or(inner.slow, Duration::from_millis);
    if let Some(factor) = faults.store_factor {
        inner.models.factor = factor;
        inner.adapters.factor = factor;
    }
    if let Some(id) = faults.leaving {
        let found = inner.instances.iter_mut().find(|listed| listed.id == id);
        if let Some(listed) = found {
            listed.leaving = true;
        }
    }
    if let Some(id) = faults.remove {
        inner.instances.retain(|listed| listed.id != id);
    }
    if let Some(listed) = faults.add {
        inner.instances.retain(|known| known.id != listed.id);
        inner.instances.push(listed);
    }
    if let Some((stream, first)) = faults.expire {
        inner.log.expire(&stream, first);
    }
    HttpResponse::Ok().finish()
}
