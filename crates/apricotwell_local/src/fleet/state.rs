//! State of a local fleet that tests wait for and that their failures show.

use std::fmt::Write;

use super::{LocalFleet, get};

/// Lines of each log that a failure shows.
const SHOWN_LINES: usize = 20;

impl LocalFleet {
    /// Returns the number of requests that an engine is running, by its report.
    pub fn running_requests(&self, engine: &str) -> Option<u64> {
        let reply = get(engine, "/report");
        let report: serde_json::Value = serde_json::from_str(&reply.body).ok()?;
        report["requests"].as_u64()
    }

    // Returns the metrics of each running instance and the last lines of each log.
    pub(super) fn state(&self) -> String {
        let mut state = String::new();
        for (index, instance) in self.instances.iter().enumerate() {
            if instance.child.is_some() {
                let metrics = self.get(index, "/metrics").body;
                let lines = metrics.lines().filter(|line| !line.starts_with('#'));
                let nonzero = lines.filter(|line| !line.ends_with(" 0"));
                let _ = writeln!(state, "{}:", instance.id);
                nonzero.for_each(|line| {
                    let _ = writeln!(state, "  {line}");
                });
            }
        }
        for (name, text) in self.outputs() {
            let lines: Vec<&str> = text.lines().collect();
            let last = &lines[lines.len().saturating_sub(SHOWN_LINES)..];
            let _ = writeln!(state, "{name}:\n  {}", last.join("\n  "));
        }
        state
    }
}
