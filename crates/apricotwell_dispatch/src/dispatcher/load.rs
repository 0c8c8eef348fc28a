//! Accounting of the load that requests put on model engines.

use std::time::Instant;

use apricotwell_messages::SlowServer;
use apricotwell_types::ServerId;

use super::{Admission, Dispatcher};
use crate::engine_load::{PREFILL_TOKENS_PER_MS, RequestLoad, RequestProgress, expected_tokens};
use crate::engine_speed::{EventBlock, SpeedChange};
use crate::model::ModelName;
use crate::prompt_lanes::PromptLane;
use crate::request::RequestHead;

impl Dispatcher {
    /// Returns the load that a request puts on an engine; `prefill_tokens` are its uncached prompt
    /// tokens. `None` if servers are not selected by their load.
    pub fn request_load(
        &self,
        admission: &Admission,
        request: &RequestHead,
        prefill_tokens: f64,
    ) -> Option<RequestLoad> {
        if !self.is_load_aware() {
            return None;
        }
        admission.requested_model.as_ref()?;
        Some(RequestLoad {
            prefill_tokens,
            kv_tokens: expected_tokens(request),
            lane: self.lane(admission, request),
        })
    }

    /// Counts a request that is sent to an engine.
    pub fn begin_load(&mut self, server: &ServerId, load: &RequestLoad) {
        if let Some(server) = self.backends.get_mut(server) {
            server.load.begin(load);
        }
    }

    /// Records that events of a response were received; returns whether that showed the server to be
    /// slow or no longer slow.
    pub fn record_events(
        &mut self,
        now: Instant,
        server: &ServerId,
        model: &ModelName,
        progress: &mut RequestProgress,
        events: u32,
    ) -> Option<SpeedChange> {
        let server = self.backends.get_mut(server)?;
        let service = &server.entry.service;
        let Some(block) = &mut progress.block else {
            if events > 0 {
                progress.block = Some(EventBlock::new(now));
                server.load.end_prefill(&progress.load);
                let time = now.saturating_duration_since(progress.sent_at);
                let tokens = progress.load.prefill_tokens;
                self.speeds.record_prefill(service, model, tokens, time);
            }
            return None;
        };
        let event_ms = block.record(now, events)?;
        let ratio = self.speeds.record_events(service, model, event_ms)?;
        server.load.slowness.record(now, ratio)
    }

    /// Returns the servers that this instance observes to be slow, for its heartbeat.
    pub(super) fn slow_servers(&self, now: Instant) -> Vec<SlowServer> {
        let slow = self.backends.iter().filter_map(|server| {
            let factor = server.load.slowness.reported(now)?;
            Some(SlowServer {
                server: server.entry.id.to_string(),
                started_ms: server.entry.started_ms,
                hundredths: (factor * 100.0) as u32,
            })
        });
        slow.collect()
    }

    /// Counts the end of a request on an engine.
    pub fn end_load(&mut self, now: Instant, server: &ServerId, progress: &RequestProgress) {
        let Some(server) = self.backends.get_mut(server) else {
            return;
        };
        server.load.end(progress);
        let slot_time = now.saturating_duration_since(progress.sent_at);
        let service = server.entry.service.clone();
        let lane = progress.load.lane;
        self.lanes.record(now, &service, lane, slot_time);
    }

    // Returns the lane of a request by its whole prompt, which doesn't depend on the server, and by the
    // usual speed: the learned ones of two instances differ, but their lanes must not.
    pub(super) fn lane(&self, admission: &Admission, request: &RequestHead) -> PromptLane {
        let segments = request.prompt.iter().map(|segment| segment.tokens);
        let tokens = segments.sum::<u64>();
        let prompt = request.usage.map_or(tokens, |usage| usage.prompt);
        PromptLane::of_prefill(&admission.route, prompt as f64 / PREFILL_TOKENS_PER_MS)
    }

    // Returns the speed of prefills in tokens per ms: the learned one, where servers are selected by
    // their load.
    pub(super) fn prefill_speed(&self, admission: &Admission) -> f64 {
        match &admission.requested_model {
            Some(requested) if self.is_load_aware() => self
                .speeds
                .prefill_speed(&admission.service, &requested.model),
            _ => PREFILL_TOKENS_PER_MS,
        }
    }
}
