//! Client connections: the listener, what each connection is doing, and their end at a stop.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use actix_http::error::DispatchError;
use actix_http::{ConnectionType, HttpService};
use actix_service::{
    IntoServiceFactory, ServiceFactory, ServiceFactoryExt, fn_service, map_config,
};
use actix_web::body::{BodySize, MessageBody};
use actix_web::dev::{AppConfig, Server, ServerHandle, ServiceRequest, ServiceResponse};
use actix_web::middleware::{Next, from_fn};
use actix_web::web::Data;
use actix_web::{App, Error};
use bytes::Bytes;
use futures_util::future::{join_all, ready};
use log::info;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use apricotwell_http::backlog::accept_waiting;
use apricotwell_http::connections::{Connection, Connections, ResponseGuard, TrackedStream};
use apricotwell_types::{Refusal, RefusalKind};

use crate::driver::StopPhase;
use crate::relay::ServerConnections;
use crate::responses::error_body;
use crate::{NodeDriver, Settings, api};

/// Time after which an idle connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Time for closing a connection that was idle.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for accepted connections to reach the worker that serves them.
const HANDOVER_TIME: Duration = Duration::from_millis(100);
/// Interval at which connections are accepted that arrive while the listeners are closed.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which a stop closes connections that have become idle.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for a client whose connection was accepted too late, to send its request and to read
/// the refusal.
const LATE_TIMEOUT: Duration = Duration::from_secs(2);

/// Listener and server of client connections.
pub(crate) struct ClientServer {
    handle: ServerHandle,
    // The server's listener; the socket stays open until both are dropped.
    listener: std::net::TcpListener,
}

impl ClientServer {
    /// Listens on the client address and returns the server, which is to be run.
    pub(crate) async fn start(
        driver: &Arc<NodeDriver>,
        settings: &Settings,
    ) -> io::Result<(Self, Server)> {
        let listener = TcpListener::bind(settings.client_address()).await?;
        let listener = listener.into_std()?;
        let address = listener.local_addr()?;
        let limit_s = settings.shutdown.drain_limit_ms.div_ceil(1000);
        let driver = driver.clone();
        let server = Server::build()
            .workers(settings.instance.workers)
            .max_concurrent_connections(settings.callers.max_connections)
            .shutdown_timeout(limit_s)
            .disable_signals()
            .listen("clients", listener.try_clone()?, move || {
                serve_connections(&driver, address)
            })?
            .run();
        let handle = server.handle();
        Ok((Self { handle, listener }, server))
    }

    /// Closes the listener and the connections, each after its last response; waits until none is
    /// open. A connection that waits to be accepted gets a refusal.
    pub(crate) async fn close(self) -> io::Result<()> {
        self.handle.pause().await;
        sleep(HANDOVER_TIME).await;
        let stopped = self.handle.stop(true);
        let mut late = Vec::new();
        // Connections arrive until both listeners are closed, the server's first.
        let closed = Instant::now() + HANDOVER_TIME;
        while Instant::now() < closed {
            sleep(ACCEPT_INTERVAL).await;
            late.extend(accept_waiting(&self.listener).map(|it| spawn_local(refuse(it))));
        }
        drop(self.listener);
        info!("closing: {} connections were accepted late", late.len());
        stopped.await;
        join_all(late).await;
        Ok(())
    }
}

// Returns the service of one worker thread, with its connections to clients and servers.
fn serve_connections(
    driver: &Arc<NodeDriver>,
    address: SocketAddr,
) -> impl ServiceFactory<TcpStream, Config = (), Response = (), Error = DispatchError, InitError = ()>
+ use<> {
    let head_timeout = Duration::from_millis(driver.settings().callers.head_timeout_ms);
    let connections = Rc::<Connections>::default();
    spawn_local(close_idle(driver.clone(), Rc::clone(&connections)));
    let app = App::new()
        .app_data(Data::from(driver.clone()))
        .app_data(Data::new(ServerConnections::start(driver)))
        .wrap(from_fn(track_response))
        .configure(api::configure);
    let app = app
        .into_factory()
        .map_err(|error: Error| error.error_response());
    let http = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(head_timeout)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .local_addr(address)
        .on_connect_ext(|stream: &TrackedStream, data| {
            data.insert(Rc::clone(stream.state()));
        })
        .h1(map_config(app, |()| AppConfig::default()));
    fn_service(move |stream: TcpStream| {
        let peer = stream.peer_addr().ok();
        ready(Ok((TrackedStream::new(stream, connections.open()), peer)))
    })
    .and_then(http)
}

// Closes the connections of one worker thread that are idle, once the instance stops.
async fn close_idle(driver: Arc<NodeDriver>, connections: Rc<Connections>) {
    driver.stop_phase(StopPhase::Draining).await;
    connections.start_counting();
    driver.stop_phase(StopPhase::Closing).await;
    // Connections that were accepted before the listener was paused still arrive.
    let last_arrival = Instant::now() + HANDOVER_TIME * 2;
    while Instant::now() < last_arrival || !connections.is_empty() {
        connections.close_idle();
        sleep(STOP_POLL_INTERVAL).await;
    }
    info!("client connections closed: {:?}", connections.counts());
}

// Records what the connection of a request is doing; while the instance stops, the response tells the
// client that the connection closes.
async fn track_response<B>(
    request: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<GuardedBody<B>>, Error>
where
    B: MessageBody + 'static,
{
    let connection = request.conn_data::<Rc<Connection>>().cloned();
    let driver = request.app_data::<Data<NodeDriver>>().cloned();
    if let Some(connection) = &connection {
        connection.begin_request();
    }
    let mut response = next.call(request).await?;
    let closes = driver.is_some_and(|driver| driver.is_stopping());
    if closes {
        let head = response.response_mut().head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    let guard = connection.map(|connection| connection.begin_response(closes));
    Ok(response.map_body(|_, body| GuardedBody { body, guard }))
}

pin_project_lite::pin_project! {
    // Body of a response, with the guard that marks it as pending.
    struct GuardedBody<B> {
        #[pin]
        body: B,
        guard: Option<ResponseGuard>,
    }
}

impl<B> MessageBody for GuardedBody<B>
where
    B: MessageBody,
{
    type Error = B::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        self.project().body.poll_next(context)
    }
}

// Answers a request on a connection that was accepted too late to be served. A socket that is closed
// with unread bytes is reset, and the client could lose the refusal.
async fn refuse(mut stream: TcpStream) {
    let exchange = async {
        let mut buffer = [0; 4 << 10];
        if stream.read(&mut buffer).await? == 0 {
            return Ok(());
        }
        stream.write_all(late_refusal().as_bytes()).await?;
        stream.shutdown().await?;
        while stream.read(&mut buffer).await? > 0 {}
        io::Result::Ok(())
    };
    match timeout(LATE_TIMEOUT, exchange).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!("a late connection ended: {error}"),
        Err(_) => log::debug!("a late connection sent no request in time"),
    }
}

fn late_refusal() -> String {
    let message = "the instance is shutting down; look up another address";
    let refusal = Refusal::not_run(RefusalKind::Unavailable, message);
    let body = error_body(&refusal);
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\nretry-after: 0\r\n\
         x-outcome: {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        refusal.outcome.as_str(),
        body.len()
    )
}
