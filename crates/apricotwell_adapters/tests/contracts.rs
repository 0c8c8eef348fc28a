//! Contract tests of the adapters, run against fake servers over real sockets.

use std::time::Duration;

use apricotwell_adapters::{
    EngineControl, HttpEngine, HttpInstances, HttpLog, InstanceList, LogStore, StreamSlice,
    control_client,
};
use apricotwell_local::free_address;
use apricotwell_node::{EngineOrder, OrderKind, OrderOutcome};
use apricotwell_records::{AppendError, ReadError};
use apricotwell_standins::{EngineArgs, PlatformArgs, run_engine, run_platform};
use prost::Message;

const TIMEOUT: Duration = Duration::from_secs(2);
const LIST: &str = r#"
[[instance]]
id = "entry-1"
role = "entry"
address = "127.0.0.1:1"
peer_address = "127.0.0.1:2"
zone = "zone-a"
[[instance]]
id = "engine-1"
role = "engines"
address = "127.0.0.1:3"
zone = "zone-b"
"#;

async fn inject_faults(address: &str, body: &str) {
    let url = format!("http://{address}/faults");
    let request = control_client()
        .post(url)
        .insert_header(("content-type", "application/json"));
    let reply = request.send_body(body.to_owned()).await.unwrap();
    assert!(reply.status().is_success(), "{reply:?}");
}

async fn start_platform(name: &str) -> String {
    let file = std::env::temp_dir().join(format!("apricotwell-{name}-{}.toml", std::process::id()));
    std::fs::write(&file, LIST).unwrap();
    let address = free_address();
    actix_web::rt::spawn(run_platform(PlatformArgs {
        listen: address.clone(),
        instances: file,
        parallel_loads: 4,
        load_ms: 20,
        parallel_adapters: 32,
        adapter_ms: 5,
    }));
    wait_for(&address).await;
    address
}

async fn wait_for(address: &str) {
    for _ in 0..500 {
        if tokio::net::TcpStream::connect(address).await.is_ok() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{address} does not listen");
}

async fn log_contract<L>(log: &L, platform: &str)
where
    L: LogStore,
{
    let no_wait = Duration::ZERO;
    assert_eq!(log.append("s", vec![vec![1], vec![2]]).await, Ok(1));
    assert_eq!(log.append("s", vec![vec![3]]).await, Ok(3));
    assert_eq!(log.append("other", vec![vec![9]]).await, Ok(1));
    let batch = log.read("s", 2, no_wait).await.unwrap();
    assert_eq!((batch.first, batch.end), (2, 4));
    assert_eq!(batch.records, [vec![2], vec![3]]);
    assert!(batch.reaches_end());
    let empty = log.read("s", 4, Duration::from_millis(50)).await.unwrap();
    assert!(empty.records.is_empty() && empty.reaches_end());

    // A waiting read returns a record that is appended meanwhile.
    let (batch, appended) = tokio::join!(log.read("s", 4, TIMEOUT), log.append("s", vec![vec![4]]));
    assert_eq!((batch.unwrap().records, appended), (vec![vec![4]], Ok(4)));

    inject_faults(platform, r#"{"lose_replies":1}"#).await;
    assert_eq!(
        log.append("s", vec![vec![5]]).await,
        Err(AppendError::Unknown)
    );
    assert_eq!(log.read("s", 5, no_wait).await.unwrap().records, [vec![5]]);

    inject_faults(platform, r#"{"expire":["s",3]}"#).await;
    assert_eq!(log.read("s", 1, no_wait).await, Err(ReadError::Expired(3)));
    assert_eq!(log.read("s", 3, no_wait).await.unwrap().records.len(), 3);

    inject_faults(platform, r#"{"log_down":true}"#).await;
    assert_eq!(
        log.append("s", vec![vec![6]]).await,
        Err(AppendError::NotAppended)
    );
    assert_eq!(log.read("s", 3, no_wait).await, Err(ReadError::Unreachable));
    inject_faults(platform, r#"{"log_down":false}"#).await;
    assert_eq!(log.read("s", 3, no_wait).await.unwrap().end, 6);
}

#[actix_web::test]
async fn http_log_fulfils_the_contract() {
    let platform = start_platform("log").await;
    log_contract(&HttpLog::new(&platform, TIMEOUT), &platform).await;
    let unreachable = HttpLog::new(&free_address(), TIMEOUT);
    assert_eq!(
        unreachable.append("s", vec![vec![1]]).await,
        Err(AppendError::NotAppended)
    );
}

#[actix_web::test]
async fn log_read_that_is_broken_off_never_looks_like_the_end_of_the_log() {
    let platform = start_platform("cut-log").await;
    let log = HttpLog::new(&platform, TIMEOUT);
    let records = [vec![1, 2], vec![3], vec![4, 5, 6]];
    log.append("s", records.to_vec()).await.unwrap();
    let body = StreamSlice {
        first: 1,
        end: 4,
        records: records.to_vec(),
    };
    for framing in ["length", "chunked", "close"] {
        for after in 0..=body.encoded_len() {
            let cut =
                format!(r#"{{"cut":{{"framing":"{framing}","after":{after},"responses":1}}}}"#);
            inject_faults(&platform, &cut).await;
            match log.read("s", 1, Duration::ZERO).await {
                Ok(batch) => {
                    let count = batch.records.len();
                    assert_eq!(batch.records, records[..count], "{framing} {after}");
                    assert_eq!((batch.first, batch.end), (1, 4), "{framing} {after}");
                    assert!(count > 0, "{framing} {after}");
                }
                Err(error) => assert_eq!(error, ReadError::Unreachable),
            }
        }
        let batch = log.read("s", 1, Duration::ZERO).await.unwrap();
        assert_eq!(batch.records, records, "{framing}");
    }
}

#[actix_web::test]
async fn log_read_without_a_length_that_is_whole_returns_its_records() {
    let platform = start_platform("uncut-log").await;
    let log = HttpLog::new(&platform, TIMEOUT);
    log.append("s", vec![vec![1], vec![2]]).await.unwrap();
    let uncut = r#"{"cut":{"framing":"close","after":1000,"responses":1}}"#;
    inject_faults(&platform, uncut).await;
    let batch = log.read("s", 1, Duration::ZERO).await.unwrap();
    assert_eq!(batch.records, [vec![1], vec![2]]);
}

#[actix_web::test]
async fn http_instances_fulfils_the_contract() {
    let platform = start_platform("list").await;
    let list = HttpInstances::new(&platform, TIMEOUT);
    let listed = list.list().await.unwrap();
    assert_eq!(&*listed.entries[0].id, "entry-1");
    assert_eq!(listed.client_addresses, ["127.0.0.1:1"]);
    assert_eq!(
        (&*listed.servers[0].pool, listed.servers[0].leaving),
        ("engines", false)
    );
    inject_faults(&platform, r#"{"leaving":"engine-1","remove":"entry-1"}"#).await;
    let listed = list.list().await.unwrap();
    assert!(listed.entries.is_empty() && listed.servers[0].leaving);
    assert_eq!(
        HttpInstances::new(&free_address(), TIMEOUT).list().await,
        None
    );
}

fn order(kind: OrderKind, replica: u64, fencing_token: u64, incarnation: u64) -> EngineOrder {
    EngineOrder {
        kind,
        replica,
        model: "m".into(),
        version: "1".to_owned(),
        memory_mib: 100,
        fencing_token,
        incarnation,
    }
}

async fn engine_contract<E>(engine: &E, address: &str, fencing: bool)
where
    E: EngineControl,
{
    let start = engine.report(address).await.unwrap();
    assert!(start.replicas.is_empty() && start.incarnation > 0);
    let incarnation = start.incarnation;
    let load = order(OrderKind::Load, 7, 50, incarnation);
    assert_eq!(engine.order(address, &load).await, OrderOutcome::Done);
    // Repeating an order has no further effect.
    assert_eq!(engine.order(address, &load).await, OrderOutcome::Done);
    let report = engine.report(address).await.unwrap();
    assert_eq!(
        (report.replicas[0].replica, report.replicas[0].loaded),
        (7, true)
    );

    let outdated = order(OrderKind::Load, 8, 49, incarnation);
    let expected = if fencing {
        OrderOutcome::Failed
    } else {
        OrderOutcome::Done
    };
    assert_eq!(engine.order(address, &outdated).await, expected);
    let other_incarnation = order(OrderKind::Load, 9, 60, incarnation - 1);
    assert_eq!(engine.order(address, &other_incarnation).await, expected);

    inject_faults(address, r#"{"lose_order_replies":1}"#).await;
    let unload = order(OrderKind::Unload, 7, 70, incarnation);
    assert_eq!(engine.order(address, &unload).await, OrderOutcome::Unknown);
    let report = engine.report(address).await.unwrap();
    assert!(report.replicas.iter().all(|reported| reported.replica != 7));
    assert_eq!(engine.order(address, &unload).await, OrderOutcome::Done);
    inject_faults(address, r#"{"leaving":true}"#).await;
    assert!(engine.report(address).await.unwrap().leaving);
}

#[actix_web::test]
async fn http_engine_fulfils_the_contract() {
    let platform = start_platform("engines").await;
    for fencing in [true, false] {
        let address = free_address();
        actix_web::rt::spawn(run_engine(EngineArgs {
            listen: address.clone(),
            platform: platform.clone(),
            memory_mib: 1000,
            fencing,
            first_token_ms: 0,
            token_ms: 0,
            crash_on: None,
        }));
        wait_for(&address).await;
        let engine = HttpEngine::new(TIMEOUT, TIMEOUT);
        engine_contract(&engine, &address, fencing).await;
        let load = order(OrderKind::Load, 1, 1, 1);
        assert_eq!(
            engine.order(&free_address(), &load).await,
            OrderOutcome::Failed
        );
        assert_eq!(engine.report(&free_address()).await, None);
    }
}
