//! Reuse of connections.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use apricotwell_http::prelude::*;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

async fn call(pool: &Rc<ConnectionPool>, address: SocketAddr, reuse: Reuse) {
    let request = Request::get("/").header("host", "x");
    let request = request.body(Full::new(Bytes::new())).unwrap();
    let (_, body) = pool.call(address, request, reuse, 10).await.unwrap();
    assert_eq!(body, "ok");
}

// Reads one request and responds to it; returns whether there was one.
async fn respond(stream: &mut TcpStream) -> bool {
    let mut request = [0; 1024];
    let length = stream.read(&mut request).await.unwrap_or(0);
    length > 0 && stream.write_all(RESPONSE).await.is_ok()
}

#[test]
fn only_single_use_connections_are_closed_after_their_response() {
    actix::System::new().block_on(async {
        for (reuse, is_closed) in [(Reuse::Any, false), (Reuse::Never, true)] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let pool = ConnectionPool::new();
            let serve = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                assert!(respond(&mut stream).await);
                stream
            };
            let ((), mut stream) = tokio::join!(call(&pool, address, reuse), serve);
            let next = tokio::time::timeout(Duration::from_millis(300), respond(&mut stream));
            assert_eq!(next.await == Ok(false), is_closed, "{reuse:?}");
        }
    });
}

#[test]
fn response_without_a_final_status_is_none() {
    actix::System::new().block_on(async {
        for (status, is_response) in [
            ("200", true),
            ("599", true),
            ("000", false),
            ("101", false),
            ("199", false),
            ("600", false),
            ("999", false),
        ] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let pool = ConnectionPool::new();
            let serve = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut request = [0; 1024];
                assert!(stream.read(&mut request).await.unwrap() > 0);
                let head = format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n");
                stream.write_all(head.as_bytes()).await.unwrap();
                stream.shutdown().await.unwrap();
            };
            let request = Request::get("/").header("host", "x");
            let request = request.body(Full::new(Bytes::new())).unwrap();
            let calls = pool.call(address, request, Reuse::Any, 10);
            let (result, ()) = tokio::join!(calls, serve);
            match result {
                Ok(_) => assert!(is_response, "{status}"),
                // The server may have executed the call.
                Err(error) => assert!(
                    !is_response && !matches!(error, SendError::Unsent(_)),
                    "{status}"
                ),
            }
        }
    });
}

#[test]
fn connection_that_ended_a_response_is_never_used_again() {
    actix::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let pool = ConnectionPool::new();
        let serve = async {
            let mut streams = Vec::new();
            for _ in 0..20 {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut request = [0; 1024];
                assert!(stream.read(&mut request).await.unwrap() > 0);
                stream
                    .write_all(b"HTTP/1.1 200 OK\r\n\r\nok")
                    .await
                    .unwrap();
                stream.shutdown().await.unwrap();
                // Still readable, so that a request on it would be lost.
                streams.push(stream);
            }
        };
        let calls = async {
            for _ in 0..20 {
                call(&pool, address, Reuse::Any).await;
            }
        };
        tokio::join!(calls, serve);
    });
}

/// Time in which bytes arrive on the loopback interface.
const ARRIVAL_TIME: Duration = Duration::from_millis(5);
/// Longest time until a response comes.
const RESPONSE_TIME: Duration = Duration::from_millis(200);
const NEXT_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const LATE_RESPONSE: &[u8] = b"HTTP/1.1 503 Late\r\ncontent-length: 4\r\n\r\nlate";

// Responds on one connection, sends `late` there when it is told to, or closes it if there is none, and
// responds on the next connection.
fn serve_late(
    listener: std::net::TcpListener,
    late: &[u8],
    start: &Receiver<()>,
    sent: &Sender<()>,
) {
    let mut request = [0; 1024];
    let (mut first, _) = listener.accept().unwrap();
    assert!(first.read(&mut request).unwrap() > 0);
    first.write_all(RESPONSE).unwrap();
    start.recv().unwrap();
    if late.is_empty() {
        first.shutdown(std::net::Shutdown::Write).unwrap();
    } else {
        first.write_all(late).unwrap();
    }
    sent.send(()).unwrap();
    let (mut next, _) = listener.accept().unwrap();
    assert!(next.read(&mut request).unwrap() > 0);
    next.write_all(NEXT_RESPONSE).unwrap();
}

// Returns the result of a request that is sent after `late` has arrived, with no time for the pool to
// notice it.
async fn call_after(late: &'static [u8]) -> Result<Bytes, String> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (start, starts) = channel();
    let (sends, sent) = channel();
    std::thread::spawn(move || serve_late(listener, late, &starts, &sends));
    let pool = ConnectionPool::new();
    call(&pool, address, Reuse::Any).await;
    start.send(()).unwrap();
    sent.recv().unwrap();
    std::thread::sleep(ARRIVAL_TIME);
    let request = Request::get("/").header("host", "x");
    let request = request.body(Full::new(Bytes::new())).unwrap();
    let called = pool.call(address, request, Reuse::Any, 10);
    let called = tokio::time::timeout(RESPONSE_TIME, called).await;
    let (_, body) = called
        .map_err(|_| "no response".to_owned())?
        .map_err(|error| error.to_string())?;
    Ok(body)
}

#[test]
fn idle_connection_with_unread_bytes_or_a_close_is_not_used_again() {
    actix::System::new().block_on(async {
        let mut faults = Vec::new();
        for late in [LATE_RESPONSE, b"x", b"\r\n", b""] {
            for _ in 0..20 {
                let called = call_after(late).await;
                if !matches!(&called, Ok(body) if body == "ok") {
                    faults.push(format!("{:?}: {called:?}", late.escape_ascii().to_string()));
                }
            }
        }
        assert!(faults.is_empty(), "{} of 80: {faults:#?}", faults.len());
    });
}
