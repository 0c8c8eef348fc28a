//! Requests of the OpenAI-compatible interface, as far as apricotwell reads them.

use std::borrow::Cow;

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde_json::value::RawValue;

use apricotwell_types::{Refusal, RefusalKind, Tokens};

/// Bytes of a prompt's JSON text that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// What a completion request says, besides what only the engine reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Completion {
    /// Model as the caller names it.
    pub(crate) model: String,
    /// Tokens that the prompt counts as.
    pub(crate) prompt: Tokens,
    /// Output limit over all choices.
    pub(crate) max_output: Tokens,
    /// Whether the answer is streamed.
    pub(crate) stream: bool,
    /// Beginning of the prompt.
    pub(crate) prompt_head: Vec<u8>,
    /// Body for the engine: the caller's, with an output limit when it names none.
    pub(crate) body: Bytes,
}

#[derive(Deserialize)]
struct Wire<'a> {
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

/// Bytes of the prompt's beginning that are kept.
const HEAD_BYTES: usize = 512;
/// Choices that one request may ask for.
const MAX_CHOICES: u64 = 128;

/// Parses a body.
///
/// # Errors
///
/// Fails with the refusal that names what is wrong.
pub(crate) fn parse_completion(
    body: &Bytes,
    limits: CompletionLimits,
) -> Result<Completion, Refusal> {
    let wire: Wire<'_> = serde_json::from_slice(body)
        .map_err(|error| bad(format!("the body is no valid JSON request: {error}")))?;
    let model = wire.model.filter(|model| !model.is_empty());
    let model = model.ok_or_else(|| bad("`model` is missing: name one from /v1/models"))?;
    let prompt = wire.messages.or(wire.prompt);
    let prompt = prompt
        .ok_or_else(|| bad("`messages` or `prompt` is missing"))?
        .get();
    let asked = wire.max_completion_tokens.or(wire.max_tokens);
    let limit = asked.unwrap_or(limits.default_max_tokens);
    if limit == 0 || limit > limits.max_tokens {
        let most = limits.max_tokens;
        return Err(bad(format!("max_tokens is {limit}: give 1 to {most}")));
    }
    let choices = wire.n.unwrap_or(1).max(wire.best_of.unwrap_or(1));
    if choices == 0 || choices > MAX_CHOICES {
        return Err(bad(format!("n is {choices}: give 1 to {MAX_CHOICES}")));
    }
    let head = &prompt.as_bytes()[..prompt.len().min(HEAD_BYTES)];
    Ok(Completion {
        model: model.into_owned(),
        prompt: count_prompt(prompt.len()),
        max_output: limit * choices,
        stream: wire.stream.unwrap_or(false),
        prompt_head: head.to_vec(),
        body: if asked.is_some() {
            body.clone()
        } else {
            with_limit(body, limit)
        },
    })
}

/// Returns the tokens that a prompt of so many bytes counts as.
pub(crate) fn count_prompt(bytes: usize) -> Tokens {
    (bytes as u64).div_ceil(BYTES_PER_TOKEN)
}

// The body is an object with at least one member, so the limit goes right behind its brace and
// every other byte stays as it is.
fn with_limit(body: &Bytes, limit: Tokens) -> Bytes {
    let Some(brace) = body.iter().position(|byte| *byte == b'{') else {
        return body.clone();
    };
    let mut extended = BytesMut::with_capacity(body.len() + 32);
    extended.extend_from_slice(&body[..=brace]);
    extended.extend_from_slice(format!("\"max_tokens\":{limit},").as_bytes());
    extended.extend_from_slice(&body[brace + 1..]);
    extended.freeze()
}

fn bad(message: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalKind::BadRequest, message)
}

#[cfg(test)]
#[path = "parse_tests.rs"]
mod tests;
