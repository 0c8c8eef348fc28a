//! Client of the OpenAI-compatible interface.

use std::time::{Duration, Instant};

use awc::Client;
use futures_util::StreamExt;

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
    client: Client,
    url: String,
    key: String,
}

impl ApiClient {
    /// Creates a client of the instance at `address`. An empty key is not sent.
    pub fn new(address: &str, key: &str) -> Self {
        Self {
            client: apricotwell_adapters::control_client(),
            url: format!("http://{address}"),
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
        let mut request = self
            .client
            .post(format!("{}{path}", self.url))
            .insert_header(("content-type", "application/json"));
        if !self.key.is_empty() {
            request = request.insert_header(("authorization", format!("Bearer {}", self.key)));
        }
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        let Ok(mut response) = request.send_body(body).await else {
            result.total = began.elapsed();
            return result;
        };
        result.status = response.status().as_u16();
        let mut first = None;
        let mut error_body = Vec::new();
        while let Some(chunk) = response.next().await {
            let Ok(chunk) = chunk else {
                result.status = 0;
                break;
            };
            first.get_or_insert_with(|| began.elapsed());
            result.events += count_events(&chunk);
            if result.status >= 400 {
                error_body.extend_from_slice(&chunk);
            }
        }
        result.total = began.elapsed();
        result.first_byte = first.unwrap_or(result.total);
        result.code = error_code(&error_body);
        result
    }
}

// Servers here send each event in one chunk, so the separator isn't split between chunks.
fn count_events(chunk: &[u8]) -> u64 {
    chunk.windows(2).filter(|pair| *pair == b"\n\n").count() as u64
}

fn error_code(body: &[u8]) -> String {
    let parsed: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    parsed["error"]["code"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}
