//! A caller of the OpenAI-compatible interface.

use std::time::{Duration, Instant};

use awc::Client;
use futures_util::StreamExt;

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status, 0 when no answer came.
    pub status: u16,
    /// The error's code in a refusal.
    pub code: String,
    /// Time to the first byte of the body.
    pub first_byte: Duration,
    /// Time to the end.
    pub whole: Duration,
    /// Streamed events.
    pub events: u64,
}

/// A caller with a key.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    url: String,
    key: String,
}

impl Caller {
    /// Returns a caller of the instance at `address`.
    pub fn new(address: &str, key: &str) -> Self {
        Self {
            client: apricotwell_adapters::pooled_client(),
            url: format!("http://{address}"),
            key: key.to_owned(),
        }
    }

    /// Asks a model for `tokens` tokens.
    pub async fn chat(&self, model: &str, tokens: u64, stream: bool) -> Answer {
        let body = format!(
            "{{\"model\":\"{model}\",\"stream\":{stream},\"max_tokens\":{tokens},\
             \"messages\":[{{\"role\":\"user\",\"content\":\"Soup?\"}}]}}"
        );
        self.post("/v1/chat/completions", &[], body).await
    }

    /// Sends a request and reads its answer.
    pub async fn post(&self, path: &str, headers: &[(&str, &str)], body: String) -> Answer {
        let began = Instant::now();
        let mut answer = Answer {
            status: 0,
            code: String::new(),
            first_byte: Duration::ZERO,
            whole: Duration::ZERO,
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
            answer.whole = began.elapsed();
            return answer;
        };
        answer.status = response.status().as_u16();
        let mut first = None;
        let mut refusal = Vec::new();
        while let Some(chunk) = response.next().await {
            let Ok(chunk) = chunk else {
                answer.status = 0;
                break;
            };
            first.get_or_insert_with(|| began.elapsed());
            answer.events += count_events(&chunk);
            if answer.status >= 400 {
                refusal.extend_from_slice(&chunk);
            }
        }
        answer.whole = began.elapsed();
        answer.first_byte = first.unwrap_or(answer.whole);
        answer.code = error_code(&refusal);
        answer
    }
}

// Servers here send whole events, so their ends are not split between chunks.
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
