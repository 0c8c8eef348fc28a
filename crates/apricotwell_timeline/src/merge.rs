//! Merging, filtering and rendering of the events of many processes.

use std::fmt;

use crate::{Event, EventKind};

/// Error for a line that is not an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MergeError {
    /// Index of the input, from 0.
    pub input: usize,
    /// Line number in the input, from 1.
    pub line: usize,
    /// Description of the error.
    pub reason: String,
}

impl fmt::Display for MergeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            input,
            line,
            reason,
        } = self;
        write!(
            f,
            "input {input}, line {line}: {reason}; pass only event files, or remove the broken line"
        )
    }
}

impl std::error::Error for MergeError {}

/// Selects events; an empty filter matches all.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Id of the request.
    pub request: Option<String>,
    /// Model or route.
    pub model: Option<String>,
    /// Name of the key.
    pub key: Option<String>,
    /// Kind of the event.
    pub kind: Option<EventKind>,
}

impl Filter {
    /// Returns whether an event matches all set fields.
    pub fn matches(&self, event: &Event) -> bool {
        let fits = |expected: &Option<String>, found: &Option<String>| {
            expected.is_none() || expected == found
        };
        fits(&self.request, &event.request)
            && fits(&self.model, &event.model)
            && fits(&self.key, &event.key)
            && self.kind.is_none_or(|kind| kind == event.kind)
    }
}

/// Merges inputs of JSON lines into one sequence, ordered by time.
///
/// Events of one input keep their order even if the clock of its process steps back.
///
/// # Errors
///
/// Fails on a line that is not an event. A last line that is incomplete is skipped.
pub fn merge<T>(inputs: &[T]) -> Result<Vec<Event>, MergeError>
where
    T: AsRef<str>,
{
    let mut events = Vec::new();
    for (input, text) in inputs.iter().enumerate() {
        let mut latest = 0;
        let text = text.as_ref();
        let lines = text.lines().count();
        for (index, line) in text.lines().enumerate() {
            if line.trim().is_empty() {
                continue;
            }
            let mut event: Event = match serde_json::from_str(line) {
                Ok(event) => event,
                Err(_) if index + 1 == lines && !text.ends_with('\n') => continue,
                Err(error) => {
                    return Err(MergeError {
                        input,
                        line: index + 1,
                        reason: error.to_string(),
                    });
                }
            };
            latest = latest.max(event.at_us);
            event.at_us = latest;
            events.push(event);
        }
    }
    events.sort_by_key(|event| event.at_us);
    Ok(events)
}

/// Renders events as text, one per line, with milliseconds since the first event.
pub fn render(events: &[Event]) -> String {
    let start = events.first().map_or(0, |event| event.at_us);
    let mut text = String::new();
    for event in events {
        text.push_str(&render_line(event, start));
        text.push('\n');
    }
    text
}

fn render_line(event: &Event, start: u64) -> String {
    let millis = (event.at_us - start) as f64 / 1000.0;
    let mut line = format!(
        "{millis:>12.3} {:<12} {:<18}",
        event.instance,
        event.kind.name()
    );
    let texts = [
        ("request", &event.request),
        ("org", &event.org),
        ("key", &event.key),
        ("model", &event.model),
        ("server", &event.server),
    ];
    for (name, value) in texts {
        if let Some(value) = value {
            line.push_str(&format!(" {name}={value}"));
        }
    }
    for (name, value) in [("replica", event.replica), ("offset", event.offset)] {
        if let Some(value) = value {
            line.push_str(&format!(" {name}={value}"));
        }
    }
    if !event.detail.is_empty() {
        line.push(' ');
        line.push_str(&event.detail);
    }
    line
}
