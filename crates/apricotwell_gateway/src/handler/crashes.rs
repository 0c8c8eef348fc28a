//! What a request and its responses tell of parts that crash servers.

use std::time::{Duration, Instant};

use apricotwell_quarantine::prelude::PartId;
use apricotwell_types::{BodyDigest, Refusal, ServerId};

use super::RequestHandler;
use crate::adapter::Platform;
use crate::crash_checks;

/// Time after the first bytes of a response from which on its server has begun to answer safely.
pub const BEGINNING_TIME: Duration = Duration::from_secs(1);

impl<P> RequestHandler<P>
where
    P: Platform,
{
    /// Checks whether a server that broke off its response, whose first bytes came at `began`, has
    /// ended as it began to answer.
    pub fn check_crash(&mut self, server: &ServerId, began: Option<Instant>) {
        let now = self.gateway.now();
        let is_beginning =
            began.is_none_or(|began| now.saturating_duration_since(began) < BEGINNING_TIME);
        if is_beginning {
            self.losses += 1;
            let parts = self.parts().to_vec();
            crash_checks::begin(&self.gateway, server, self.sent_at, parts);
        }
    }

    /// Waits until it is known whether a lost server has ended, if that may quarantine the request or
    /// if it is not the first one: another attempt might end another server.
    pub async fn await_verdict(&self, server: &ServerId) {
        let is_suspected = {
            let dispatcher = self.gateway.dispatcher.borrow();
            dispatcher.crashes.quarantine.is_suspected(self.parts())
        };
        if is_suspected || self.losses > 1 {
            crash_checks::wait_for(&self.gateway, server).await;
        }
    }

    /// Records that a server which began its response at `began` did not crash.
    pub fn record_sound(&self, began: Instant) {
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        let quarantine = &mut dispatcher.crashes.quarantine;
        if quarantine.has_crashes() {
            quarantine.record_sound(began, self.parts());
        } else {
            let shared: Vec<PartId> = self.shared_parts().collect();
            quarantine.record_sound(began, &shared);
        }
        drop(dispatcher);
        crash_checks::log_quarantine(&self.gateway);
    }

    // Returns the parts of the prompt that other requests share, the most general one first.
    fn shared_parts(&self) -> impl Iterator<Item = PartId> {
        let shared = self.request.prompt.split_last();
        let shared = shared.map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|segment| segment.id)
    }

    // Returns the parts of the request that may crash servers: the shared ones, and the request as a
    // whole.
    fn parts(&self) -> &[PartId] {
        self.parts.get_or_init(|| {
            let whole = self.whole_request();
            self.shared_parts().chain([whole]).collect()
        })
    }

    // Returns the id of the whole request: equal requests of one organisation have the same.
    fn whole_request(&self) -> PartId {
        let organisation = self.admission.organisation.as_ref();
        let name = organisation.map_or("", |organisation| &*organisation.name);
        let prompt: Vec<u64> = self.request.prompt.iter().map(|it| it.id).collect();
        let sender = format!(
            "{name} {}{} {prompt:x?}",
            self.request.host, self.request.path
        );
        BodyDigest::of_body(&sender, &self.body.bytes).short()
    }

    /// Returns the refusal of a request with a quarantined part.
    pub(super) fn quarantine_refusal(&self, now: Instant) -> Option<Refusal> {
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        let quarantine = &dispatcher.crashes.quarantine;
        let part = quarantine.blocked_part(self.parts())?;
        let refusal = dispatcher.check_quarantine(now, self.parts());
        if refusal.is_none() {
            crash_checks::log_trial(&self.gateway, &self.request.attempt, part);
        }
        refusal
    }

    /// Returns the refusal of a quarantined request, which may have run before.
    pub(super) fn quarantined(&self, refusal: Refusal) -> Refusal {
        if self.runs > 0 {
            return self.refusal(refusal.kind, &refusal.message);
        }
        refusal
    }
}
