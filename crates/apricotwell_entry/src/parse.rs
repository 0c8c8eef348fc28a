//! Parsing of OpenAI-compatible completion requests, limited to the fields that apricotwell uses.

use std::borrow::Cow;

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde_json::value::RawValue;

use apricotwell_types::{BodyDigest, Refusal, RefusalKind, Tokens};

/// Bytes of a prompt's JSON text that are counted as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Completion request without the fields that only the engine reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Completion {
    /// Requested model, as named by the client.
    pub(crate) model: String,
    /// Estimated tokens of the prompt.
    pub(crate) prompt_tokens: Tokens,
    /// Output limit in tokens, summed over all choices.
    pub(crate) max_output: Tokens,
    /// Whether the response is streamed.
    pub(crate) stream: bool,
    /// First bytes of the prompt.
    pub(crate) prompt_prefix: Vec<u8>,
    // Ids of all messages but the last one, which belongs to this request alone.
    pub(crate) shared_parts: Vec<u64>,
    /// Body for the engine: the client's, with an output limit added if it has none.
    pub(crate) body: Bytes,
}

#[derive(Deserialize)]
struct RequestBody<'a> {
    #[serde(borrow)]
    model: Option<Cow<'a, str>>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    n: Option<u64>,
    best_of: Option<u64>,
    stream: Option<bool>,
}

/// Limits on a completion request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CompletionLimits {
    pub(crate) default_max_tokens: Tokens,
    pub(crate) max_tokens: Tokens,
}

/// Maximum length of the prompt prefix.
const PREFIX_BYTES: usize = 512;
/// Maximum number of choices per request.
const MAX_CHOICES: u64 = 128;

/// Parses the body of a completion request.
///
/// # Errors
///
/// Fails with a refusal whose message names the invalid field.
pub(crate) fn parse_completion(
    body: &Bytes,
    limits: CompletionLimits,
) -> Result<Completion, Refusal> {
    let request: RequestBody<'_> = serde_json::from_slice(body)
        .map_err(|error| bad_request(format!("the body is not a valid JSON request: {error}")))?;
    let model = request.model.filter(|model| !model.is_empty());
    let model = model.ok_or_else(|| bad_request("`model` is missing: name one from /v1/models"))?;
    let prompt = request.messages.or(request.prompt);
    let prompt = prompt
        .ok_or_else(|| bad_request("`messages` or `prompt` is missing"))?
        .get();
    let requested_limit = request.max_completion_tokens.or(request.max_tokens);
    let limit = requested_limit.unwrap_or(limits.default_max_tokens);
    if limit == 0 || limit > limits.max_tokens {
        let maximum = limits.max_tokens;
        return Err(bad_request(format!(
            "max_tokens is {limit}: use 1 to {maximum}"
        )));
    }
    let choices = request.n.unwrap_or(1).max(request.best_of.unwrap_or(1));
    if choices == 0 || choices > MAX_CHOICES {
        return Err(bad_request(format!(
            "n is {choices}: use 1 to {MAX_CHOICES}"
        )));
    }
    let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    Ok(Completion {
        model: model.into_owned(),
        prompt_tokens: estimate_tokens(prompt.len()),
        max_output: limit * choices,
        stream: request.stream.unwrap_or(false),
        prompt_prefix: prefix.to_vec(),
        shared_parts: request.messages.map(shared_parts).unwrap_or_default(),
        body: if requested_limit.is_some() {
            body.clone()
        } else {
            insert_max_tokens(body, limit)
        },
    })
}

// Returns the ids of all messages but the last one; none if the messages are no list.
fn shared_parts(messages: &RawValue) -> Vec<u64> {
    let messages: Vec<&RawValue> = serde_json::from_str(messages.get()).unwrap_or_default();
    let shared = messages.split_last().map_or(&[][..], |(_, shared)| shared);
    let ids = shared
        .iter()
        .map(|message| BodyDigest::of_body("", message.get().as_bytes()).short());
    ids.collect()
}

/// Estimates the tokens of a prompt from its length in bytes.
pub(crate) fn estimate_tokens(bytes: usize) -> Tokens {
    (bytes as u64).div_ceil(BYTES_PER_TOKEN)
}

// Inserts the limit after the opening brace and leaves all other bytes unchanged. The body is known
// to be an object with at least one member, so the comma after the limit is valid.
fn insert_max_tokens(body: &Bytes, limit: Tokens) -> Bytes {
    let Some(brace) = body.iter().position(|byte| *byte == b'{') else {
        return body.clone();
    };
    let mut extended = BytesMut::with_capacity(body.len() + 32);
    extended.extend_from_slice(&body[..=brace]);
    extended.extend_from_slice(format!("\"max_tokens\":{limit},").as_bytes());
    extended.extend_from_slice(&body[brace + 1..]);
    extended.freeze()
}

fn bad_request(message: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalKind::BadRequest, message)
}

#[cfg(test)]
#[path = "parse_tests.rs"]
mod tests;
