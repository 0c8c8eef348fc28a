//! Request processing from submission to outcome.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_admission::{QueueFull, QueuedRequest};
use apricotwell_claims::ClaimOutcome;
use apricotwell_messages::{Demand, DemandItem, Message};
use apricotwell_routing::Candidate;
use apricotwell_state::{KeyOwner, ReplicaPhase, ResolvedModel};
use apricotwell_timeline::{Event, EventKind};
use apricotwell_types::{
    InstanceId, KeyDigest, ModelId, OrgId, Refusal, RefusalKind, ReplicaId, RequestId, RunOutcome,
    ServerId, WorkClass, shard_of,
};

use super::Node;
use crate::requests::{Stage, recorded_answer};
use crate::submission::service_pool;
use crate::token_manager::{HolderRef, Reservation};
use crate::{Action, AttemptOutcome, Dispatch, Submission, Target};

/// Retry delay sent to clients whose request failed for a temporary reason, such as a full queue.
pub(super) const BUSY_RETRY_DELAY: Duration = Duration::from_secs(1);

type CandidateCache = BTreeMap<ModelId, Vec<(Candidate, Option<ReplicaId>)>>;

impl Node {
    /// Returns the owner of an API key.
    ///
    /// # Errors
    ///
    /// Fails when the key is unknown or withdrawn, or when this instance can't verify keys.
    pub fn authenticate(&self, now: Instant, key: &KeyDigest) -> Result<KeyOwner, Refusal> {
        self.check_keys(now)?;
        let owner = self.state.key_owner(key).ok_or_else(|| {
            Refusal::not_run(
                RefusalKind::InvalidApiKey,
                "the API key is unknown or withdrawn; ask your operator for a new one",
            )
        })?;
        Ok(owner.clone())
    }

    /// Returns the model or adapter that `name` denotes for an organisation.
    ///
    /// # Errors
    ///
    /// Fails when the model does not exist or the organisation may not call it; the error is the
    /// same in both cases.
    pub fn resolve(&self, org: &str, name: &str) -> Result<ResolvedModel, Refusal> {
        self.state.resolve_model(org, name).ok_or_else(|| {
            let message = "the model does not exist or your organisation may not call it; see \
                           /v1/models";
            Refusal::not_run(RefusalKind::ModelNotFound, message)
        })
    }

    /// Accepts a request; its outcome is reported by an action.
    ///
    /// # Errors
    ///
    /// Fails when the request must be rejected immediately.
    pub fn submit(&mut self, now: Instant, submission: Submission) -> Result<RequestId, Refusal> {
        self.check_keys(now)?;
        self.check_submission(now, &submission)?;
        if let Some(refusal) = self.check_parts(now, &submission.parts) {
            return Err(refusal);
        }
        let org = submission.org.clone();
        let cost = submission.cost();
        let (class, deadline) = (submission.class, submission.deadline);
        let id = self.requests.add(submission);
        let event = Event::new(EventKind::RequestAccepted)
            .with_request(self.request_name(id))
            .with_org(org.to_string());
        self.emit(now, event);
        if org.is_empty() || cost == 0 {
            self.enqueue(now, id);
        } else if let Some(reservation) = self.tokens.take(now, &org, cost) {
            self.enqueue_reserved(now, id, reservation);
        } else {
            self.tokens.wait(now, &org, id, class, deadline, cost);
            self.request_tokens(now);
        }
        self.dispatch_queued(now);
        self.send_first_demand(now, id);
        self.flush(now);
        Ok(id)
    }

    /// Cancels a request whose client has disconnected.
    pub fn cancel(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if matches!(request.stage, Stage::Running { .. }) {
            let attempt = request.attempt.clone();
            self.on_attempt_ended(now, id, &attempt, AttemptOutcome::ClientGone);
            return;
        }
        self.drop_request(now, id, 0, Some(RunOutcome::NotRun));
        self.dispatch_queued(now);
        self.flush(now);
    }

    /// Handles the outcome of an attempt.
    pub fn on_attempt_ended(
        &mut self,
        now: Instant,
        id: RequestId,
        attempt: &str,
        outcome: AttemptOutcome,
    ) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Stage::Running { server } = request.stage.clone() else {
            return;
        };
        if request.attempt != attempt {
            return;
        }
        self.finish_attempt(now, id, &server, &outcome);
        match outcome {
            AttemptOutcome::Answered { answer, used } => {
                self.finish_answered(now, id, answer, used)
            }
            AttemptOutcome::ClientGone => {
                self.drop_request(now, id, u64::MAX, Some(RunOutcome::Unknown));
            }
            AttemptOutcome::NotRun { .. } => self.retry_not_run(now, id),
            _ => self.retry_or_fail(now, id, &server, &outcome),
        }
        self.dispatch_queued(now);
        self.flush(now);
    }

    /// Aborts every open request with what is known about its execution.
    pub fn abort_requests(&mut self, now: Instant) {
        let open: Vec<(RequestId, bool)> = self
            .requests
            .iter()
            .map(|(id, request)| (id, matches!(request.stage, Stage::Running { .. })))
            .collect();
        for (id, running) in open {
            let message = "the instance is shutting down; look up another address";
            let refusal = Refusal::not_run(RefusalKind::Unavailable, message);
            let refusal = if running {
                refusal.with_outcome(RunOutcome::Unknown)
            } else {
                refusal.with_retry_after(BUSY_RETRY_DELAY)
            };
            self.refuse(now, id, refusal);
        }
        self.flush(now);
    }

    pub(super) fn check_keys(&self, now: Instant) -> Result<(), Refusal> {
        if self.can_check_keys(now) {
            return Ok(());
        }
        let message = "this instance can't verify API keys at the moment; look up another address";
        let refusal = Refusal::not_run(RefusalKind::Unavailable, message);
        Err(refusal.with_retry_after(BUSY_RETRY_DELAY))
    }

    pub(super) fn check_submission(
        &self,
        now: Instant,
        submission: &Submission,
    ) -> Result<(), Refusal> {
        if self.state.is_quarantined(submission.body_digest) {
            let message = "this body crashed backend servers and is quarantined; change it or ask \
                           your operator to release it";
            return Err(Refusal::not_run(RefusalKind::Quarantined, message));
        }
        if submission.class == WorkClass::NonIdempotent && submission.idempotency_key.is_none() {
            let message = "a non-idempotent request needs an Idempotency-Key header";
            return Err(Refusal::not_run(RefusalKind::BadRequest, message));
        }
        if submission.org.is_empty() {
            return Ok(());
        }
        let Some(org) = self.state.org(&submission.org) else {
            let message = "the organisation of this key has no settings; ask your operator";
            return Err(Refusal::not_run(RefusalKind::InvalidApiKey, message));
        };
        if submission.cost() > org.burst {
            let message = format!(
                "prompt and max_tokens add up to {} tokens, above your burst of {}; lower \
                 max_tokens",
                submission.cost(),
                org.burst
            );
            return Err(Refusal::not_run(RefusalKind::BadRequest, message));
        }
        let waiting = self.tokens.waiting(&submission.org) + self.queue.len_of(&submission.org);
        if waiting >= org.max_waiting as usize {
            return Err(queue_refusal(QueueFull::Organisation));
        }
        if self.tokens.total_waiting() + self.queue.len() >= self.settings.max_waiting {
            return Err(queue_refusal(QueueFull::Instance));
        }
        self.check_wait(now, submission)
    }

    // Rejects a request at once if it can't be expected to start before its deadline.
    pub(super) fn check_wait(&self, now: Instant, submission: &Submission) -> Result<(), Refusal> {
        let name = submission.queue_name();
        let ahead = self.queue.waiting_for(&name);
        let estimate = self
            .wait_estimates
            .get(&name)
            .and_then(|wait| wait.expected_wait(ahead));
        let left = submission.deadline.saturating_duration_since(now);
        match estimate {
            Some(wait) if ahead > 0 && wait > left => {
                let message = format!(
                    "the expected wait of about {} ms exceeds the deadline; retry later",
                    wait.as_millis()
                );
                let refusal = Refusal::not_run(RefusalKind::Overloaded, message);
                Err(refusal.with_retry_after(wait - left))
            }
            _ => Ok(()),
        }
    }

    pub(super) fn request_tokens(&mut self, now: Instant) {
        let state = &self.state;
        let shards = self.settings.genesis.shards;
        let holder_of = |org: &str| {
            let lease = state.lease(shard_of(org, shards))?;
            Some(HolderRef {
                instance: &lease.holder,
                fence: lease.fence,
            })
        };
        let requests = self.tokens.due_requests(now, holder_of);
        for (to, request) in requests {
            self.send(now, &to, Message::TokenRequest(request));
        }
    }

    /// Queues a request together with its reserved tokens.
    pub(super) fn enqueue_reserved(
        &mut self,
        now: Instant,
        id: RequestId,
        reservation: Reservation,
    ) {
        if let Some(request) = self.requests.get_mut(id) {
            request.reservation = Some(reservation);
        }
        self.enqueue(now, id);
    }

    pub(super) fn enqueue(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.stage = Stage::Queued;
        let submission = &request.submission;
        let entry = QueuedRequest {
            request: id,
            org: submission.org.clone(),
            model: submission.queue_name(),
            class: submission.class,
            deadline: submission.deadline,
            cost: submission.cost(),
        };
        let org = self.state.org(&submission.org);
        let weight = org.map_or(1, |org| org.weight);
        let limit = org.map_or(usize::MAX, |org| org.max_waiting as usize);
        if let Err(full) = self.queue.push(entry, weight, limit) {
            self.refuse(now, id, queue_refusal(full));
        }
    }

    /// Starts queued requests as long as servers have free slots.
    pub(super) fn dispatch_queued(&mut self, now: Instant) {
        if self.queue.is_empty() {
            return;
        }
        let mut cache = CandidateCache::new();
        loop {
            let mut chosen = None;
            let mut queue =
                std::mem::replace(&mut self.queue, apricotwell_admission::FairQueue::new(0));
            let popped = queue.pop(|entry| {
                chosen = self.choose_server(now, entry, &mut cache);
                chosen.is_some()
            });
            self.queue = queue;
            let (Some(entry), Some((server, replica))) = (popped, chosen) else {
                return;
            };
            let others = self.queue.waiting_for(&entry.model) > 0;
            let wait = self.wait_estimates.entry(entry.model.clone()).or_default();
            wait.record_start(now, others);
            self.start_attempt(now, entry.request, server, replica);
        }
    }

    pub(super) fn choose_server(
        &self,
        now: Instant,
        entry: &QueuedRequest,
        cache: &mut CandidateCache,
    ) -> Option<(ServerId, Option<ReplicaId>)> {
        let candidates = cache
            .entry(entry.model.clone())
            .or_insert_with(|| self.candidates(now, &entry.model));
        let request = self.requests.get(entry.request)?;
        let prefix = request.submission.prefix;
        // A body that was running when a server crashed may only go to an idle server, so that
        // another crash hits no other request.
        let is_suspect = self.state.crash_count(request.submission.body_digest) > 0;
        let servers: Vec<Candidate> = candidates
            .iter()
            .map(|(candidate, _)| candidate.clone())
            .filter(|candidate| self.is_permitted(now, &candidate.server))
            .filter(|candidate| {
                !is_suspect || self.router.estimated_load(now, &candidate.server) == 0.0
            })
            .collect();
        let server = self.router.select_server(now, &servers, prefix)?;
        let found = candidates
            .iter()
            .find(|(candidate, _)| candidate.server == server)?;
        Some((server, found.1))
    }

    // Replicas of the current version if any is loaded, otherwise those of older versions.
    pub(super) fn candidates(
        &self,
        now: Instant,
        queue: &str,
    ) -> Vec<(Candidate, Option<ReplicaId>)> {
        if let Some(pool) = service_pool(queue) {
            return self.service_candidates(now, pool);
        }
        let ledger = self.state.ledger();
        let version = self.state.load_spec(queue).map(|(version, _, _)| version);
        let loaded = ledger.replicas_of(queue).filter(|(_, replica)| {
            replica.phase == ReplicaPhase::Loaded
                && self.servers.is_usable(now, &self.state, &replica.server)
        });
        let loaded: Vec<_> = loaded.collect();
        let has_current = loaded
            .iter()
            .any(|(_, replica)| Some(&replica.version) == version.as_ref());
        loaded
            .into_iter()
            .filter(|(_, replica)| !has_current || Some(&replica.version) == version.as_ref())
            .filter_map(|(id, replica)| {
                let server = ledger.server(&replica.server)?;
                let pool = self.state.pool(&server.pool)?;
                let candidate = Candidate {
                    server: replica.server.clone(),
                    zone: server.zone.clone(),
                    slots: pool.slots,
                    ready_at: self.orders.first_seen(id).unwrap_or(now),
                };
                Some((candidate, Some(id)))
            })
            .collect()
    }

    pub(super) fn service_candidates(
        &self,
        now: Instant,
        pool: &str,
    ) -> Vec<(Candidate, Option<ReplicaId>)> {
        let slots = self.state.pool(pool).map_or(1, |pool| pool.slots);
        let servers = self.servers.service_servers(now, pool).into_iter();
        servers
            .map(|server| {
                let candidate = Candidate {
                    server: server.id.clone(),
                    zone: server.zone.clone(),
                    slots,
                    ready_at: self.started,
                };
                (candidate, None)
            })
            .collect()
    }

    pub(super) fn start_attempt(
        &mut self,
        now: Instant,
        id: RequestId,
        server: ServerId,
        replica: Option<ReplicaId>,
    ) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let parts = request.submission.parts.clone();
        let refusal = self.recheck(&request.submission);
        if let Some(refusal) = refusal.or_else(|| self.start_parts(now, &parts)) {
            self.refuse(now, id, refusal);
            return;
        }
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let (prefix, claim) = (
            request.submission.prefix,
            request.submission.idempotency_key,
        );
        let needs_claim = claim.is_some() && !request.claimed;
        self.router.begin_request(&server, prefix);
        self.limited.permits.take(now, &server);
        let base = self.request_name(id);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if !request.claimed {
            request.attempt = format!("{base}/{}", request.attempts + 1);
        }
        if needs_claim {
            request.stage = Stage::Claiming { server };
            self.request_claim(now, id);
        } else {
            self.dispatch(now, id, server, replica);
        }
    }

    // The API key may have been withdrawn or the body quarantined while the request waited.
    pub(super) fn recheck(&self, submission: &Submission) -> Option<Refusal> {
        let withdrawn = submission
            .api_key
            .is_some_and(|key| self.state.key_owner(&key).is_none());
        if withdrawn {
            let message = "the API key was withdrawn while the request waited";
            return Some(Refusal::not_run(RefusalKind::InvalidApiKey, message));
        }
        if self.state.is_quarantined(submission.body_digest) {
            let message = "this body crashed backend servers and is quarantined";
            return Some(Refusal::not_run(RefusalKind::Quarantined, message));
        }
        None
    }

    pub(super) fn dispatch(
        &mut self,
        now: Instant,
        id: RequestId,
        server: ServerId,
        replica: Option<ReplicaId>,
    ) {
        let address = match replica {
            Some(_) => self
                .state
                .ledger()
                .server(&server)
                .map(|record| record.address.clone()),
            None => self.service_address(now, id, &server),
        };
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Some(address) = address else {
            self.router.cancel_request(&server);
            self.enqueue(now, id);
            return;
        };
        request.attempts += 1;
        request.dispatched = Some(now);
        request.stage = Stage::Running {
            server: server.clone(),
        };
        let org = request.submission.org.clone();
        let model = request.submission.queue_name();
        let attempt = request.attempt.clone();
        let remaining = request.submission.deadline.saturating_duration_since(now);
        if request.attempts == 1 {
            let budget = self.retry_budgets.entry((org, model.clone())).or_default();
            budget.deposit();
        }
        let event = Event::new(EventKind::RequestDispatched)
            .with_request(self.request_name(id))
            .with_model(model.to_string())
            .with_server(server.to_string())
            .with_detail(attempt.clone());
        self.emit(now, event);
        self.actions.push(Action::Dispatch(Dispatch {
            request: id,
            is_limited: self.limited.limits.rate(&server).is_some(),
            attempt,
            server,
            address,
            replica,
            model,
            remaining,
        }));
    }

    pub(super) fn service_address(
        &self,
        now: Instant,
        id: RequestId,
        server: &str,
    ) -> Option<String> {
        let request = self.requests.get(id)?;
        let Target::Service { pool, .. } = &request.submission.target else {
            return None;
        };
        let servers = self.servers.service_servers(now, pool);
        let found = servers.into_iter().find(|listed| *listed.id == *server);
        found.map(|listed| listed.address.clone())
    }

    pub(super) fn finish_attempt(
        &mut self,
        now: Instant,
        id: RequestId,
        server: &ServerId,
        outcome: &AttemptOutcome,
    ) {
        let is_healthy = matches!(
            outcome,
            AttemptOutcome::Answered { .. } | AttemptOutcome::ClientGone | AttemptOutcome::Failed
        );
        self.router.end_request(now, server, is_healthy);
        if let AttemptOutcome::NotRun { unreachable: true } = outcome {
            self.servers.mark_unreachable(now, server);
        }
        let detail = match outcome.run_outcome() {
            None => "answered",
            Some(run_outcome) => run_outcome.as_str(),
        };
        let event = Event::new(EventKind::AttemptEnded)
            .with_request(self.request_name(id))
            .with_server(server.to_string())
            .with_detail(detail);
        self.emit(now, event);
    }

    pub(super) fn finish_answered(
        &mut self,
        now: Instant,
        id: RequestId,
        answer: crate::StoredAnswer,
        used: Option<u64>,
    ) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let used = used.unwrap_or(u64::MAX);
        let (claimed, is_success) = (request.claimed, answer.status < 500);
        if is_success {
            self.record_sound(now, id);
        }
        if claimed {
            let outcome = ClaimOutcome::Answered(recorded_answer(answer));
            self.report_outcome(now, id, &outcome);
        }
        let event = Event::new(EventKind::RequestAnswered).with_request(self.request_name(id));
        self.emit(now, event);
        self.remove_request(id, used);
    }

    // The request did not run, so even a non-idempotent one may go to another server.
    pub(super) fn retry_not_run(&mut self, now: Instant, id: RequestId) {
        let event = Event::new(EventKind::RequestRetried).with_request(self.request_name(id));
        self.emit(now, event);
        let late = self
            .requests
            .get(id)
            .is_some_and(|request| now >= request.submission.deadline);
        if late {
            self.refuse_expired(now, id);
        } else {
            self.enqueue(now, id);
        }
    }

    /// Requeues the requests that waited for the crash check of a server.
    pub(super) fn resume_checked(&mut self, now: Instant, checked: &ServerId) {
        let resumed: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| matches!(&request.stage, Stage::CheckingCrash { server, .. } if server == checked))
            .map(|(id, _)| id)
            .collect();
        for id in resumed {
            self.enqueue(now, id);
        }
    }

    // The first waiting request for a model triggers a demand report at once, so that its load is
    // not delayed until the next period.
    pub(super) fn send_first_demand(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let waits = matches!(request.stage, Stage::Queued);
        if waits && self.queue.waiting_for(&request.submission.queue_name()) == 1 {
            self.next_demand = now;
            self.send_demand(now);
        }
    }

    /// Reports the waiting and running requests of each model to its lease holder.
    pub(super) fn send_demand(&mut self, now: Instant) {
        if now < self.next_demand {
            return;
        }
        self.next_demand = now + self.settings.demand_period;
        let mut items: BTreeMap<ModelId, DemandItem> = BTreeMap::new();
        for (_, request) in self.requests.iter() {
            let Target::Model(resolved) = &request.submission.target else {
                continue;
            };
            let item = items
                .entry(resolved.model.clone())
                .or_insert_with(|| DemandItem {
                    model: resolved.model.to_string(),
                    slack_ms: u64::MAX / 2,
                    ..DemandItem::default()
                });
            if matches!(request.stage, Stage::Running { .. }) {
                item.running += 1;
                continue;
            }
            let slack = request.submission.deadline.saturating_duration_since(now);
            item.waiting += 1;
            item.slack_ms = item.slack_ms.min(slack.as_millis() as u64);
        }
        let mut by_holder: BTreeMap<InstanceId, Demand> = BTreeMap::new();
        for (model, item) in items {
            let shard = self.state.model_shard(&model);
            if let Some(lease) = self.state.lease(shard) {
                let demand = by_holder.entry(lease.holder.clone()).or_default();
                demand.items.push(item);
            }
        }
        for (holder, demand) in by_holder {
            self.send(now, &holder, Message::Demand(demand));
        }
    }

    /// Returns the models and adapters that an organisation may call, sorted by name.
    pub fn models_of(&self, org: &OrgId) -> Vec<String> {
        let mut names: Vec<String> = self
            .state
            .models()
            .map(|(name, _)| name.to_owned())
            .filter(|name| self.state.resolve_model(org, name).is_some())
            .collect();
        let suffix = format!(":{org}/");
        for (id, adapter) in self.state.adapters() {
            if let Some((_, name)) = id.split_once(&suffix) {
                names.push(format!("{}:{name}", adapter.base));
            }
        }
        names.sort();
        names
    }
}

fn queue_refusal(full: QueueFull) -> Refusal {
    let refusal = Refusal::not_run(RefusalKind::Overloaded, full.to_string());
    refusal.with_retry_after(BUSY_RETRY_DELAY)
}
