//! Limits that servers name for all instances together, and permits to send within them.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use apricotwell_membership::{Member, MemberState};
use apricotwell_messages::{Message, PermitRequest, PermitResponse};
use apricotwell_permits::prelude::*;
use apricotwell_timeline::{Event, EventKind};
use apricotwell_types::{InstanceId, Map, ServerId, rendezvous_rank, shard_of};

use super::Node;
use crate::fleet::Fleet;

/// Time within which the other members hear of an instance that has started.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(3);

impl FleetView for Fleet {
    fn ranked(&self, _now: Instant, server: &str) -> Vec<Candidate> {
        let item = u64::from(shard_of(server, u32::MAX));
        let own = self.own_id();
        let possible = self.possible_members();
        let mut candidates: Vec<(InstanceId, Candidate)> = possible
            .map(|member| {
                let id = member.update.contact.id.clone();
                let candidate = if is_heard(member) {
                    Candidate::Heard(id.clone())
                } else {
                    Candidate::Silent
                };
                (id, candidate)
            })
            .collect();
        candidates.push((own.clone(), Candidate::Own));
        candidates.sort_by_key(|(id, _)| Reverse(rendezvous_rank(item, id)));
        candidates
            .into_iter()
            .map(|(_, candidate)| candidate)
            .collect()
    }

    fn heard_share(&self, _now: Instant) -> f64 {
        let heard = self.possible_members().filter(|member| is_heard(member));
        (1 + heard.count()) as f64 / f64::from(self.instances())
    }

    fn instances(&self) -> u32 {
        1 + self.possible_members().count() as u32
    }

    fn announcement_time(&self) -> Duration {
        ANNOUNCEMENT_TIME
    }
}

fn is_heard(member: &Member) -> bool {
    let state = member.update.state;
    matches!(state, MemberState::Alive | MemberState::Leaving) && member.update.incarnation > 0
}

impl Node {
    /// Handles the limit that a server's response names, or that it names none.
    pub fn on_server_limit(&mut self, now: Instant, server: &ServerId, response: LimitResponse) {
        self.limited.limits.record_response(now, server, response);
        self.report_limits(now);
        self.dispatch_queued(now);
        self.flush(now);
    }

    /// Returns whether a server is known to have a limit.
    pub(super) fn is_limited(&self, server: &str) -> bool {
        self.limited.limits.rate(server).is_some()
    }

    /// Returns whether a request may be sent to a server now as far as its limit is concerned.
    pub(super) fn is_permitted(&self, now: Instant, server: &str) -> bool {
        !self.is_limited(server) || self.limited.permits.is_held(now, server)
    }

    /// Asks for the permits that queued requests need.
    pub(super) fn request_permits(&mut self, now: Instant) {
        if self.limited.limits.is_empty() {
            return;
        }
        let waiting = self.waiting_for_permits(now);
        self.limited.permits.set_waiting(&waiting);
        let (requests, has_granted) = self.limited.take_requests(now, &self.fleet);
        for (to, request) in requests {
            self.send(now, &to, Message::PermitRequest(request));
        }
        if has_granted {
            self.dispatch_queued(now);
        }
    }

    /// Forgets limits of servers that are gone.
    pub(super) fn expire_limits(&mut self, now: Instant) {
        let (servers, state) = (&self.servers, &self.state);
        let is_listed = |server: &str| servers.is_known(server, state);
        self.limited.expire(now, &self.fleet, is_listed);
    }

    pub(super) fn on_permit_request(
        &mut self,
        now: Instant,
        from: &InstanceId,
        request: &PermitRequest,
    ) {
        let response = self.limited.answer(now, &self.fleet, request);
        self.report_limits(now);
        if let Some(response) = response {
            self.send(now, from, Message::PermitResponse(response));
        }
    }

    pub(super) fn on_permit_response(&mut self, now: Instant, response: &PermitResponse) {
        if self.limited.apply(now, response) {
            self.dispatch_queued(now);
        }
        self.report_limits(now);
    }

    // Returns the number of queued requests that could go to a limited server with a permit.
    fn waiting_for_permits(&self, now: Instant) -> Map<ServerId, usize> {
        let mut waiting = Map::default();
        for (queue, (count, _)) in self.queue.demand() {
            for (candidate, _) in self.candidates(now, &queue) {
                if self.is_limited(&candidate.server) {
                    *waiting.entry(candidate.server).or_default() += count;
                }
            }
        }
        waiting
    }

    fn report_limits(&mut self, now: Instant) {
        for change in self.limited.limits.take_changes() {
            let detail = match change.rate {
                Some(rate) => format!("{rate} requests a second"),
                None => "lifted".to_owned(),
            };
            let event = Event::new(EventKind::ServerLimited)
                .with_server(change.server.to_string())
                .with_detail(detail);
            self.emit(now, event);
        }
    }
}
