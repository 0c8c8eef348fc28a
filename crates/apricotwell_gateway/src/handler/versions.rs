//! Software version that a stream is bound to.
//!
//! A stream that has delivered an event goes on only at servers of the version that sent it. One that
//! a client resumes is bound before its first attempt: by the store's record, unless the instance that
//! passes the request on has bound it already.

use std::collections::BTreeSet;
use std::time::Duration;

use apricotwell_dispatch::prelude::*;
use apricotwell_dispatch::software::{RecordedVersion, VersionSet, recorded_version};
use apricotwell_dispatch::stream_memory::{
    BegunStream, StreamKey, UNNAMED, attempt_versions, known_stream, only_version,
};
use apricotwell_messages::{StreamAnswer, StreamQuery};
use apricotwell_types::{BodyDigest, Refusal, RefusalKind};
use http::{HeaderMap, HeaderName, HeaderValue};

use super::RequestHandler;
use crate::adapter::Platform;
use crate::events::Event;
use crate::requests::Origin;
use crate::{feeds, software, stream_announcements, stream_log, stream_queries};

/// Header with the version that a stream is bound to, in hexadecimal, between instances only.
const SOFTWARE: HeaderName = HeaderName::from_static("apricotwell-software");
/// Retry delay for a client whose stream can't be resumed now; the state rarely changes sooner.
const RESUME_RETRY_AFTER: Duration = Duration::from_millis(500);

/// What is known of the version behind a request's stream.
#[derive(Debug, Default)]
pub struct StreamSoftware {
    /// Version of the server that the last attempt was sent to.
    pub sent: Option<SoftwareVersion>,
    /// Whether the client has received events of the stream.
    pub has_delivered: bool,
    /// Whether this instance remembers the version for a resumption.
    pub is_remembered: bool,
    // What it remembers and has not announced.
    unannounced: Vec<BegunStream>,
}

impl<P> RequestHandler<P>
where
    P: Platform,
{
    /// Binds a stream that a client resumes to the version that began it.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send if that version is unknown; the request has not run.
    pub async fn bind_resumption(&mut self) -> Result<(), Refusal> {
        let passed = take_version(&mut self.head.headers);
        let Some(last_event) = self.request.last_event else {
            return Ok(());
        };
        if !self.admission.route.kind.is_stream() {
            return Ok(());
        }
        if last_event == LastEvent::Malformed {
            let reason = "the id of the last event is no number";
            return Err(self.refuse_resumption("malformed", reason));
        }
        self.software.has_delivered = true;
        if self.origin == Origin::Instance && passed.is_some() {
            self.admission.bound = passed;
            return Ok(());
        }
        // An instance that is behind knows neither the route on which the stream began elsewhere nor its server.
        if !feeds::confirm(&self.gateway).await {
            let reason = "the configuration and the list of servers can't be confirmed";
            return Err(self.refuse_resumption("unconfirmed", reason));
        }
        let Some(services) = self.possible_services() else {
            let reason = "its route had more services than are remembered";
            return Err(self.refuse_resumption("services", reason));
        };
        let possible = match software::read_shared(&self.gateway).await {
            Ok(stored) => software::possible_versions(&self.gateway, &stored),
            Err(error) => {
                let text = format!("the record of versions can't be read: {error}");
                return Err(self.refuse_resumption("unread", &text));
            }
        };
        let version = match &possible {
            Some(versions) => recorded_version(versions, &services),
            // The store has lost versions that this instance does not know either.
            None => RecordedVersion::Several,
        };
        match version {
            RecordedVersion::Only(service, version) => {
                let told = self.told_after_reversion(&service).await;
                let version = if told.is_empty() {
                    Some(version)
                } else {
                    only_version(told)
                };
                let Some(version) = version else {
                    let reason = "the store may have lost the version that began it";
                    return Err(self.refuse_resumption("several", reason));
                };
                self.bind(service, version);
                Ok(())
            }
            RecordedVersion::Several => {
                let is_lossy = possible.is_none();
                let remembered = self.remembered(&services, is_lossy).await;
                let Some((service, version)) = remembered else {
                    let reason = "several versions may have begun it";
                    return Err(self.refuse_resumption("several", reason));
                };
                self.bind(service, version);
                Ok(())
            }
            RecordedVersion::Unknown => {
                Err(self.refuse_resumption("unknown", "its version is unknown"))
            }
        }
    }

    // Returns the services that may have begun the stream, `None` if they are unknown.
    fn possible_services(&self) -> Option<BTreeSet<ServiceId>> {
        let lifetime = software::stream_lifetime(&self.gateway);
        let now = self.gateway.now();
        let dispatcher = self.gateway.dispatcher.borrow();
        let catalog = dispatcher.catalog.as_ref()?;
        let (host, path) = (&self.request.host, &self.request.path);
        let time = (now, lifetime);
        let former = &dispatcher.former_routes;
        let mut services = former.services(time, catalog, host, path)?;
        let present = &self.admission.route.services;
        services.extend(present.iter().map(|(id, _)| id.clone()));
        Some(services)
    }

    fn stream_query(&self, service: &ServiceId) -> StreamQuery {
        StreamQuery {
            number: 0,
            request: self.request_key(),
            attempt: self
                .request
                .resumes
                .as_ref()
                .map_or(UNNAMED, |id| self.attempt_key(id)),
            services: vec![service.to_string()],
        }
    }

    // Returns the key of all that a resumption repeats of the request.
    fn request_key(&self) -> StreamKey {
        let prompt = &self.request.prompt;
        let model = self.request.requested_model.as_ref();
        let sender = format!(
            "request {} {} {} {} {model:?} {prompt:?}",
            self.sender(),
            self.head.method,
            self.request.host,
            self.head.uri.path_and_query().map_or("", |it| it.as_str()),
        );
        BodyDigest::of_body(&sender, &self.body.bytes).short()
    }

    fn attempt_key(&self, attempt: &str) -> StreamKey {
        BodyDigest::of_body(&format!("attempt {}", self.sender()), attempt.as_bytes()).short()
    }

    fn sender(&self) -> &str {
        let organisation = self.admission.organisation.as_ref();
        organisation.map_or("", |organisation| &*organisation.name)
    }

    // Remembers the version of a stream for the case that its client resumes it. Returns what is remembered.
    fn remember(&self) -> Vec<BegunStream> {
        let first = self.request.resumes.as_ref();
        let attempt = self.attempt_key(first.unwrap_or(&self.request.attempt));
        let now = self.gateway.now();
        let streams = [self.request_key(), attempt].map(|key| BegunStream {
            key,
            version: self.admission.bound.clone(),
            began: now,
        });
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        for stream in streams.clone() {
            dispatcher.streams.record(now, stream.key, stream.version);
        }
        streams.into()
    }

    // Returns the versions that others know of the attempt, if the record may have lost some of them just now.
    async fn told_after_reversion(&self, service: &ServiceId) -> VersionSet {
        let lifetime = software::stream_lifetime(&self.gateway);
        let now = self.gateway.now();
        let query = self.stream_query(service);
        let has_reverted = {
            let dispatcher = self.gateway.dispatcher.borrow();
            dispatcher.streams.has_reverted(now, lifetime)
        };
        if !has_reverted || query.attempt == UNNAMED {
            return VersionSet::new();
        }
        let answers = self.ask(&query).await;
        let dispatcher = self.gateway.dispatcher.borrow();
        attempt_versions(&answers, &dispatcher.saved_streams, &query)
    }

    // Asks all instances, and reads what they saved.
    async fn ask(&self, query: &StreamQuery) -> Vec<Option<StreamAnswer>> {
        let answers = stream_queries::ask(&self.gateway, query).await;
        // Without the log, what the instances remember may still be certain.
        if let Err(error) = stream_log::read(&self.gateway).await {
            log::info!("failed to read the saved streams: {error}");
        }
        answers
    }

    // Returns the service and the version that instances remember; they don't remember the service. `is_lossy` is
    // whether the store has lost records that no instance is known to have written again.
    async fn remembered(
        &self,
        services: &BTreeSet<ServiceId>,
        is_lossy: bool,
    ) -> Option<(ServiceId, SoftwareVersion)> {
        let service = services.first().filter(|_| services.len() == 1)?;
        let query = self.stream_query(service);
        let answers = self.ask(&query).await;
        let lifetime = software::stream_lifetime(&self.gateway);
        let now = self.gateway.now();
        let dispatcher = self.gateway.dispatcher.borrow();
        let is_lossy = is_lossy || dispatcher.streams.has_reverted(now, lifetime);
        let version = known_stream(&answers, &dispatcher.saved_streams, &query, is_lossy)?;
        Some((service.clone(), version))
    }

    fn bind(&mut self, service: ServiceId, version: SoftwareVersion) {
        self.gateway.metrics.count_resumption("bound");
        Event::new("resumption_bound")
            .with("request", self.request.attempt.as_str())
            .with("service", &*service)
            .with("software", &*version)
            .with("after_event", self.request.last_event_id())
            .log();
        let dispatcher = self.gateway.dispatcher.borrow();
        dispatcher.bind(&mut self.admission, &self.request, service, version);
    }

    fn refuse_resumption(&self, outcome: &str, reason: &str) -> Refusal {
        self.log_not_resumed(outcome, reason);
        let text = format!(
            "the stream can't be resumed at the software version that began it: {reason}; begin it anew \
             or retry later"
        );
        Refusal::not_run(RefusalKind::Unavailable, text).with_retry_after(RESUME_RETRY_AFTER)
    }

    /// Logs and counts a stream that is not resumed, with the version that it needs.
    pub fn log_not_resumed(&self, outcome: &str, reason: &str) {
        self.gateway.metrics.count_resumption(outcome);
        Event::new("resumption_refused")
            .with("request", self.request.attempt.as_str())
            .with("service", &*self.admission.service)
            .with("software", self.admission.bound.as_deref())
            .with("outcome", outcome)
            .with("reason", reason)
            .log();
    }

    /// Records that events of the last attempt's response go to the client.
    pub fn bind_delivered(&mut self) {
        if !self.software.has_delivered {
            self.software.has_delivered = true;
            self.admission.bound = self.software.sent.clone();
        }
        if !self.software.is_remembered && self.admission.route.kind.is_stream() {
            self.software.is_remembered = true;
            self.software.unannounced = self.remember();
        }
    }

    /// Makes a stream that has just begun known to others, who need its version if a client resumes it. To be called
    /// before the client receives its first events.
    pub async fn announce_stream(&mut self) {
        let begun = std::mem::take(&mut self.software.unannounced);
        // An instance that passed the request on announces the stream itself.
        let is_own = self.origin == Origin::Client;
        if begun.is_empty() || !is_own || !self.admission.route.kind.is_repeatable() {
            return;
        }
        if !stream_announcements::announce(&self.gateway, &begun).await {
            Event::new("stream_untold")
                .with("request", self.request.attempt.as_str())
                .with("software", self.admission.bound.as_deref())
                .log();
        }
    }

    /// Returns whether another server may go on with the stream.
    pub fn may_move(&self) -> bool {
        !self.software.has_delivered || self.admission.bound.is_some()
    }

    /// Records the version of a server that an attempt is sent to.
    pub(super) fn record_sent(&mut self, server: &str) {
        let dispatcher = self.gateway.dispatcher.borrow();
        let backend = dispatcher.backends.get(server);
        self.software.sent = backend.and_then(|backend| backend.entry.software.clone());
    }

    /// Names the version of a stream to the instance that passed the request on.
    ///
    /// That instance relies on it from the head on, so the stream is bound without an event.
    pub fn name_version(&mut self, headers: &mut HeaderMap) {
        headers.remove(SOFTWARE);
        if self.origin == Origin::Client {
            return;
        }
        self.bind_delivered();
        if let Some(version) = &self.admission.bound {
            insert_version(headers, version);
        }
    }
}

/// Adds the header with a version.
pub(super) fn insert_version(headers: &mut HeaderMap, version: &SoftwareVersion) {
    let text: String = version.bytes().map(|byte| format!("{byte:02x}")).collect();
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(SOFTWARE, value);
    }
}

/// Removes the header with a version and returns it; `None` if it is missing or malformed.
pub(super) fn take_version(headers: &mut HeaderMap) -> Option<SoftwareVersion> {
    let value = headers.remove(SOFTWARE)?;
    let digits = value.as_bytes().chunks(2);
    let bytes = digits.map(|pair| {
        let pair = std::str::from_utf8(pair).ok()?;
        u8::from_str_radix(pair, 16).ok()
    });
    let text = String::from_utf8(bytes.collect::<Option<_>>()?).ok()?;
    known_version(&text)
}
