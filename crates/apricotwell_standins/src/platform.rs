//! Stand-in for the platform: log, instance list and weight store.

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
use crate::cut::{self, Cut};

/// Stand-in for the platform: an append-only log, an instance list and a weight store.
///
/// Faults are set with `POST /faults`; see docs/INTERFACES.md.
#[derive(argh::FromArgs, Clone, Debug)]
pub struct PlatformArgs {
    /// address to listen on, as ip:port
    #[argh(option, default = "String::from(\"127.0.0.1:7600\")")]
    pub listen: String,
    /// TOML file with the instance list
    #[argh(option)]
    pub instances: PathBuf,
    /// maximum number of concurrent model loads at full speed
    #[argh(option, default = "4")]
    pub parallel_loads: u32,
    /// duration of one model load at full speed, in milliseconds
    #[argh(option, default = "500")]
    pub load_ms: u64,
    /// maximum number of concurrent adapter loads at full speed
    #[argh(option, default = "32")]
    pub parallel_adapters: u32,
    /// duration of one adapter load at full speed, in milliseconds
    #[argh(option, default = "20")]
    pub adapter_ms: u64,
}

/// Change of the platform's faults, as received by `POST /faults`. Absent fields keep their value.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether the log rejects appends and reads.
    pub log_down: Option<bool>,
    /// Number of upcoming appends that take effect but whose reply is lost.
    pub lose_replies: Option<u32>,
    /// Additional duration of each append, in milliseconds.
    pub slow_ms: Option<u64>,
    /// Factor by which weight store loads take longer.
    pub store_factor: Option<u32>,
    /// Instance to mark as leaving.
    pub leaving: Option<String>,
    /// Instance to remove from the list.
    pub remove: Option<String>,
    /// Instance to add to the list, or to replace in it.
    pub add: Option<InstanceBody>,
    /// Stream to truncate, and the first offset to retain.
    pub expire: Option<(String, u64)>,
    /// Responses to reads of the log to break off.
    cut: Option<Cut>,
}

#[derive(Deserialize)]
struct InstancesFile {
    instance: Vec<InstanceBody>,
}

struct Inner {
    log: LogStreams,
    down: bool,
    lose_replies: u32,
    append_delay: Duration,
    instances: Vec<InstanceBody>,
    models: WeightStore,
    adapters: WeightStore,
    cut: Option<Cut>,
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
/// Returns an error if the list can't be read or the address can't be bound.
pub async fn run_platform(args: PlatformArgs) -> io::Result<()> {
    let text = std::fs::read_to_string(&args.instances)?;
    let file: InstancesFile = toml::from_str(&text).map_err(io::Error::other)?;
    let platform = Platform {
        inner: Arc::new(Mutex::new(Inner {
            log: LogStreams::default(),
            down: false,
            lose_replies: 0,
            append_delay: Duration::ZERO,
            instances: file.instance,
            models: WeightStore::new(args.parallel_loads, Duration::from_millis(args.load_ms)),
            adapters: WeightStore::new(
                args.parallel_adapters,
                Duration::from_millis(args.adapter_ms),
            ),
            cut: None,
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
            .route("/faults", web::post().to(set_faults))
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
        return HttpResponse::BadRequest().body("the body is not a valid batch of records");
    };
    let delay = platform.lock().append_delay;
    if !delay.is_zero() {
        sleep(delay).await;
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
        return HttpResponse::InternalServerError().body("the reply was lost by an injected fault");
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
        let result = {
            let inner = platform.lock();
            if inner.down {
                return HttpResponse::ServiceUnavailable().body("the log is down");
            }
            inner.log.read(&stream, query.from)
        };
        match result {
            Err(ReadError::Expired(first)) => {
                return HttpResponse::Gone().json(ExpiredReply { first });
            }
            Ok(batch) if !batch.records.is_empty() || Instant::now() >= deadline => {
                let response = HttpResponse::Ok().body(stream_slice(batch).encode_to_vec());
                return cut::apply(&mut platform.lock().cut, response);
            }
            Ok(_) | Err(ReadError::Unreachable) => {
                // The loop checks the stream and the deadline again, whether the wait timed out or
                // not.
                let _ = timeout_at(deadline, appended).await;
            }
        }
    }
}

fn stream_slice(batch: LogBatch) -> StreamSlice {
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
    let load_time = {
        let mut inner = platform.lock();
        if query.adapter {
            inner.adapters.begin_load()
        } else {
            inner.models.begin_load()
        }
    };
    sleep(load_time).await;
    let mut inner = platform.lock();
    if query.adapter {
        inner.adapters.end_load();
    } else {
        inner.models.end_load();
    }
    HttpResponse::Ok().finish()
}

async fn set_faults(platform: Data<Platform>, faults: Json<PlatformFaults>) -> HttpResponse {
    let faults = faults.into_inner();
    let mut inner = platform.lock();
    inner.down = faults.log_down.unwrap_or(inner.down);
    inner.lose_replies = faults.lose_replies.unwrap_or(inner.lose_replies);
    inner.append_delay = faults
        .slow_ms
        .map_or(inner.append_delay, Duration::from_millis);
    if let Some(factor) = faults.store_factor {
        inner.models.slowdown = factor;
        inner.adapters.slowdown = factor;
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
    inner.cut = faults.cut.or(inner.cut);
    if let Some((stream, first)) = faults.expire {
        inner.log.expire(&stream, first);
    }
    HttpResponse::Ok().finish()
}
