//! Responses that are broken off, as the load tools count them.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;

use apricotwell_load::{ApiClient, ApiResponse};

// Sends a request to a server that answers with `response` and closes.
async fn request(response: &'static str) -> ApiResponse {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).unwrap();
        stream.write_all(response.as_bytes()).unwrap();
    });
    ApiClient::new(&address, "").chat("m", 1, false).await
}

#[actix_web::test]
async fn a_response_that_is_broken_off_is_not_counted_as_a_success() {
    let broken = [
        "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{\"half\":",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhalf\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{\"half\":",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: a\n\ndata",
        "",
    ];
    for response in broken {
        assert_eq!(request(response).await.status, 0, "{response}");
    }
    let events = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: a\n\ndata: b\n\n";
    let whole = request(events).await;
    assert_eq!((whole.status, whole.events), (200, 2));
    let refused = "HTTP/1.1 503 Full\r\ncontent-length: 26\r\n\r\n{\"error\":{\"code\":\"queue\"}}";
    let refused = request(refused).await;
    assert_eq!((refused.status, &*refused.code), (503, "queue"));
}
