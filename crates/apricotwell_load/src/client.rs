//! Client of the OpenAI-compatible interface.

use std::rc::Rc;
use std::time::{Duration, Instant};

use apricotwell_http::pool::{ConnectionPool, Reuse, StreamingResponse};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;

/// Result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiResponse {
    /// HTTP status, 0 without a complete response.
    pub status: u16,
    /// Code of the error, empty without an error.
    pub code: String,
    /// Time until the first byte of the body.
    pub first_byte: Duration,
    /// Time until the end of the response.
    pub total: Duration,
    /// Number of streamed events.
    pub events: u64,
}

/// Client with an API key.
#[derive(Clone)]
pub struct ApiClient {
    pool: Rc<ConnectionPool>,
    address: String,
    key: String,
}

impl ApiClient {
    /// Creates a client of the instance at `address`. An empty key is not sent.
    pub fn new(address: &str, key: &str) -> Self {
        Self {
            pool: ConnectionPool::new(),
            address: address.to_owned(),
            key: key.to_owned(),
        }
    }

    /// Sends a chat request for `tokens` tokens to a model.
    pub async fn chat(&self, model: &str, tokens: u64, stream: bool) -> ApiResponse {
        let body = format!(
            "{{\"model\":\"{model}\",\"stream\":{stream},\"max_tokens\":{tokens},\
             \"messages\":[{{\"role\":\"user\",\"content\":\"Soup?\"}}]}}"
        );
        self.post("/v1/chat/completions", &[], body).await
    }

    /// Sends a `POST` request and reads the response to its end.
    pub async fn post(&self, path: &str, headers: &[(&str, &str)], body: String) -> ApiResponse {
        let began = Instant::now();
        let mut result = ApiResponse {
            status: 0,
            code: String::new(),
            first_byte: Duration::ZERO,
            total: Duration::ZERO,
            events: 0,
        };
        if let Some(response) = self.send(path, headers, body).await {
            read_response(response, began, &mut result).await;
        }
        result.total = began.elapsed();
        if result.first_byte.is_zero() {
            result.first_byte = result.total;
        }
        result
    }

    async fn send(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Option<StreamingResponse> {
        let mut request = Request::post(path)
            .header("host", &self.address)
            .header("content-type", "application/json");
        if !self.key.is_empty() {
            request = request.header("authorization", format!("Bearer {}", self.key));
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body))).ok()?;
        let address = self.address.parse().ok()?;
        self.pool.send(address, request, Reuse::Any).await.ok()
    }
}

// Reads a response to its end; leaves the status at 0 if it is broken off.
async fn read_response(mut response: StreamingResponse, began: Instant, result: &mut ApiResponse) {
    let status = response.head.status.as_u16();
    let mut scanner = response.scanner();
    let mut first = None;
    let mut error_body = Vec::new();
    let mut is_whole = true;
    while let Some(chunk) = response.next().await {
        let Ok(chunk) = chunk else {
            is_whole = false;
            break;
        };
        first.get_or_insert_with(|| began.elapsed());
        scanner.feed(&chunk);
        if status >= 400 {
            error_body.extend_from_slice(&chunk);
        }
    }
    if is_whole && scanner.check_end().is_ok() {
        result.status = status;
    }
    result.first_byte = first.unwrap_or_default();
    result.events = scanner.events();
    result.code = error_code(&error_body);
}

fn error_code(body: &[u8]) -> String {
    let parsed: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    parsed["error"]["code"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}
