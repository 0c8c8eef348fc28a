//! Reuse of connections.

use std::net::SocketAddr;
use std::rc::Rc;
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
