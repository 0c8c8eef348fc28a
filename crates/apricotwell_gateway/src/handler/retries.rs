//! Retries of a request within the fleet's budget, and the records of them.

use apricotwell_dispatch::prelude::*;
use apricotwell_types::ServerId;

use super::RequestHandler;
use crate::adapter::Platform;
use crate::events::Event;

impl<P> RequestHandler<P>
where
    P: Platform,
{
    // Takes one retry from the budget of the service and logs how much of this instance's share is used.
    pub(super) fn take_retry(&self, reason: &str) -> bool {
        let now = self.gateway.now();
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        let is_granted = dispatcher.take_retry(now, &self.admission);
        let usage = dispatcher.retry_usage(now, &self.admission);
        drop(dispatcher);
        Event::new("retry")
            .with("request", self.request.attempt.as_str())
            .with("service", &*self.admission.service)
            .with("reason", reason)
            .with("granted", is_granted)
            .with("taken", usage.taken)
            .with("allowed", usage.allowed)
            .with("instances", usage.instances)
            .log();
        is_granted
    }

    // Adds what this instance knows about a server, and since when, to the record of an attempt.
    pub(super) fn with_view(&self, event: Event, server: &ServerId) -> Event {
        let now = self.gateway.now();
        let dispatcher = self.gateway.dispatcher.borrow();
        let age = dispatcher.feeds.age(now, Feed::Servers);
        let source = dispatcher.feeds.source(Feed::Servers);
        event
            .with("server_state", dispatcher.backends.state_name(now, server))
            .with_optional_time("list_age_ms", age)
            .with("list_source", source.map(|source| format!("{source:?}")))
    }
}
