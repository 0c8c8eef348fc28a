//! Handlers for messages from peers.

use std::time::{Duration, Instant};

use apricotwell_messages::{
    ClaimFinishAck, Envelope, Message, RecordsReply, RecordsRequest, SnapshotChunk,
    SnapshotRequest, TokenGrant,
};
use apricotwell_placement::ModelUsage;
use apricotwell_records::RetireReplica;
use apricotwell_state::chunk_checkpoint;
use apricotwell_types::{BodyDigest, InstanceId, Shard, shard_of};

use super::Node;
use crate::Action;
use crate::token_manager::TokenVerdict;

/// Time between two catch-up requests to peers.
const CATCH_UP_PERIOD: Duration = Duration::from_millis(500);
/// Largest number of records in one reply to a peer.
const MAX_REPLY_RECORDS: usize = 512;

impl Node {
    /// Handles a message from a peer whose identity the driver has verified.
    pub fn on_message(&mut self, now: Instant, envelope: Envelope) {
        let replies = self.fleet.receive(now, self.state.next(), &envelope);
        for (to, envelope) in replies {
            self.actions.push(Action::Send { to, envelope });
        }
        self.receive_body(now, envelope);
        self.flush(now);
    }

    pub(super) fn receive_body(&mut self, now: Instant, envelope: Envelope) {
        let Some(sender) = envelope.sender else {
            return;
        };
        let from: InstanceId = sender.id.as_str().into();
        match envelope.body {
            Some(Message::TokenRequest(request)) => self.on_token_request(now, &from, &request),
            Some(Message::TokenGrant(grant)) => self.on_token_grant(now, &grant),
            Some(Message::BucketState(state)) => self.tokens.on_bucket_state(&state),
            Some(Message::Demand(demand)) => {
                for item in demand.items {
                    let usage = ModelUsage {
                        waiting: item.waiting,
                        running: item.running,
                        deadline: now + Duration::from_millis(item.slack_ms),
                    };
                    self.demand.record_usage(now, &item.model, &from, usage);
                }
                self.next_plan = now;
                self.run_coordination(now);
            }
            Some(Message::Reclaim(reclaim)) => self.on_reclaim(now, reclaim.replica),
            Some(Message::ClaimRequest(request)) => self.on_claim_request(now, from, request),
            Some(Message::ClaimFinish(finish)) => self.on_claim_finish(now, from, finish),
            Some(Message::ClaimReply(reply)) => {
                if let Some((request, result)) = self.claim_client.on_reply(&reply) {
                    self.on_claim_result(now, request, result);
                }
            }
            Some(Message::ClaimFinishAck(ClaimFinishAck { attempt })) => {
                self.claim_client.on_outcome_recorded(&attempt);
            }
            Some(Message::RecordsRequest(request)) => self.send_records(now, &from, request),
            Some(Message::RecordsReply(reply)) => {
                self.apply_records(now, reply.first, reply.records);
                let peer_next = envelope.evidence.map(|evidence| evidence.next);
                self.caught_up |= peer_next.is_some_and(|next| self.state.next() >= next);
                self.fleet.set_applied(self.state.next());
                self.after_apply(now);
            }
            Some(Message::SnapshotRequest(_)) => self.send_snapshot(now, &from),
            Some(Message::SnapshotChunk(chunk)) => {
                if self.on_checkpoint_chunk(now, &chunk.chunk) {
                    self.caught_up = true;
                }
            }
            Some(Message::PermitRequest(request)) => {
                self.on_permit_request(now, &from, &request);
            }
            Some(Message::Crashes(knowledge)) => self.on_crashes(now, &knowledge),
            Some(Message::PermitResponse(response)) => self.on_permit_response(now, &response),
            Some(Message::Ping(_) | Message::Ack(_) | Message::PingFor(_)) | None => {}
        }
    }

    fn on_token_request(
        &mut self,
        now: Instant,
        from: &InstanceId,
        request: &apricotwell_messages::TokenRequest,
    ) {
        let shard = shard_of(&request.org, self.settings.genesis.shards);
        let Some(term_start) = self.fleet.term_start(now, &self.state, shard) else {
            return;
        };
        let Some(org) = self.state.org(&request.org) else {
            return;
        };
        let rate = apricotwell_limits::Rate {
            per_second: org.rate,
            burst: org.burst,
        };
        if let Some(grant) = self.tokens.on_request(now, from, request, rate, term_start) {
            self.send(now, from, Message::TokenGrant(grant));
        }
    }

    fn on_token_grant(&mut self, now: Instant, grant: &TokenGrant) {
        let max_wait = self.settings.token_wait;
        let verdicts = self.tokens.on_grant(now, grant, max_wait);
        let mut queued = Vec::new();
        for verdict in verdicts {
            match verdict {
                TokenVerdict::Taken(request, reservation) => {
                    self.enqueue_reserved(now, request, reservation);
                    queued.push(request);
                }
                TokenVerdict::Refused(request, wait) => {
                    self.refuse_rate_limited(now, request, wait)
                }
            }
        }
        self.dispatch_queued(now);
        for request in queued {
            self.send_first_demand(now, request);
        }
    }

    fn on_reclaim(&mut self, now: Instant, replica: u64) {
        let Some(record) = self.state.ledger().replica(replica).cloned() else {
            return;
        };
        let shard = self.state.model_shard(&record.model);
        let Some(fence) = self.fleet.fence(now, shard) else {
            return;
        };
        if !self.writer.is_idle() || !self.may_reclaim(now, &record) {
            return;
        }
        let retire = RetireReplica { replica, fence };
        self.writer
            .push(apricotwell_records::Body::RetireReplica(retire));
    }

    fn on_claim_request(
        &mut self,
        now: Instant,
        from: InstanceId,
        request: apricotwell_messages::ClaimRequest,
    ) {
        let Some(shard) = self.claim_shard(&request.key) else {
            return;
        };
        match self.fleet.fence(now, shard) {
            Some(fence) => {
                let reply = self
                    .claim_coordinator
                    .on_claim(now, shard, fence, from, request);
                if let Some((to, message)) = reply {
                    self.send(now, &to, message);
                }
                self.drive_claims(now);
            }
            None => {
                let reply = apricotwell_messages::ClaimReply {
                    attempt: request.attempt,
                    verdict: apricotwell_messages::ClaimVerdict::NotHolder as i32,
                    finished: None,
                };
                self.send(now, &from, Message::ClaimReply(reply));
            }
        }
    }

    fn on_claim_finish(
        &mut self,
        now: Instant,
        from: InstanceId,
        finish: apricotwell_messages::ClaimFinish,
    ) {
        let key = finish.finished.as_ref().map(|finished| &finished.key);
        let Some(shard) = key.and_then(|key| self.claim_shard(key)) else {
            return;
        };
        if let Some(fence) = self.fleet.fence(now, shard) {
            self.claim_coordinator.on_finish(shard, fence, from, finish);
            self.drive_claims(now);
        }
    }

    /// Returns the shard that holds the claim of a key.
    pub(super) fn claim_shard(&self, key: &[u8]) -> Option<Shard> {
        let key = BodyDigest::from_slice(key)?;
        Some(shard_of(&key.to_hex(), self.settings.genesis.shards))
    }

    // Runs both sides of the claim protocol: lease holder and client.
    pub(super) fn drive_claims(&mut self, now: Instant) {
        let wall = self.wall(now);
        let retention = self.settings.claim_retention;
        let fleet = &self.fleet;
        self.claim_coordinator
            .retain(|shard| fleet.fence(now, shard));
        let has_ended = |attempt: &str| fleet.has_ended(attempt);
        let (replies, actions) =
            self.claim_coordinator
                .tick(now, wall, retention, &mut self.last_ticket, has_ended);
        self.actions.extend(actions);
        for (to, message) in replies {
            self.send(now, &to, message);
        }
        let (messages, late) = self.claim_client.tick(now);
        for (shard, message) in messages {
            let holder = self.state.lease(shard).map(|lease| lease.holder.clone());
            if let Some(holder) = holder {
                self.send(now, &holder, message);
            }
        }
        for request in late {
            self.on_claim_result(now, request, crate::claim_client::ClaimResult::Unavailable);
        }
    }

    // Requests missing records or a snapshot from a peer while the log is unreachable.
    pub(super) fn request_catch_up(&mut self, now: Instant) {
        if now < self.next_catch_up {
            return;
        }
        self.next_catch_up = now + CATCH_UP_PERIOD;
        let next = self.state.next();
        let (peer, body) = if let Some(peer) = self.fleet.peer_ahead(now) {
            let body = Message::RecordsRequest(RecordsRequest { from: next });
            (peer, body)
        } else if let (false, Some(peer)) = (self.caught_up, self.fleet.any_peer()) {
            (peer, Message::SnapshotRequest(SnapshotRequest {}))
        } else {
            return;
        };
        self.send(now, &peer.id, body);
    }

    fn send_records(&mut self, now: Instant, to: &InstanceId, request: RecordsRequest) {
        let first_recent = self.recent_records.front().map(|(offset, _)| *offset);
        if first_recent.is_none_or(|first| request.from < first) {
            self.send_snapshot(now, to);
            return;
        }
        let missing = self
            .recent_records
            .iter()
            .filter(|(offset, _)| *offset >= request.from);
        let records = missing
            .take(MAX_REPLY_RECORDS)
            .map(|(_, bytes)| bytes.clone())
            .collect();
        let reply = RecordsReply {
            first: request.from,
            records,
        };
        self.send(now, to, Message::RecordsReply(reply));
    }

    fn send_snapshot(&mut self, now: Instant, to: &InstanceId) {
        if !self.caught_up {
            return;
        }
        let chunks = chunk_checkpoint(&self.state, &self.settings.id, self.settings.incarnation);
        for chunk in chunks {
            let chunk = prost::Message::encode_to_vec(&chunk);
            self.send(now, to, Message::SnapshotChunk(SnapshotChunk { chunk }));
        }
    }
}
