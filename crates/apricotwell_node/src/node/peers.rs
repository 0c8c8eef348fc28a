//! Messages from peers.

use std::time::{Duration, Instant};

use apricotwell_messages::{
    ClaimFinished, Envelope, Message, RecordsAsk, RecordsReply, SnapshotAsk, SnapshotChunk,
    TokenGrant,
};
use apricotwell_placement::Use;
use apricotwell_records::Retire;
use apricotwell_state::chunk_checkpoint;
use apricotwell_types::{BodyDigest, InstanceId, Shard, shard_of};

use super::Node;
use crate::Action;
use crate::token_desk::TokenVerdict;

/// Pause between two requests for help from peers.
const HELP_PERIOD: Duration = Duration::from_millis(500);
/// Records in one reply to a peer.
const MAX_PASSED: usize = 512;

impl Node {
    /// Takes a message from a peer whose identity the shell has checked.
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
            Some(Message::TokenAsk(ask)) => self.answer_token_ask(now, &from, &ask),
            Some(Message::TokenGrant(grant)) => self.take_grant(now, &grant),
            Some(Message::BucketState(state)) => self.tokens.on_bucket_state(&state),
            Some(Message::Demand(demand)) => {
                for item in demand.items {
                    let told = Use {
                        waiting: item.waiting,
                        running: item.running,
                        deadline: now + Duration::from_millis(item.slack_ms),
                    };
                    self.demand.note(now, &item.model, &from, told);
                }
                self.next_plan = now;
                self.run_duties(now);
            }
            Some(Message::Reclaim(reclaim)) => self.reclaim(now, reclaim.replica),
            Some(Message::ClaimAsk(ask)) => self.take_claim_ask(now, from, ask),
            Some(Message::ClaimFinish(finish)) => self.take_claim_finish(now, from, finish),
            Some(Message::ClaimReply(reply)) => {
                if let Some((request, result)) = self.claims.on_reply(&reply) {
                    self.on_claim_result(now, request, result);
                }
            }
            Some(Message::ClaimFinished(ClaimFinished { attempt })) => {
                self.claims.on_finished(&attempt);
            }
            Some(Message::RecordsAsk(ask)) => self.pass_records(now, &from, ask),
            Some(Message::RecordsReply(reply)) => {
                self.apply_records(now, reply.first, reply.records);
                let told = envelope.evidence.map(|evidence| evidence.next);
                self.caught_up |= told.is_some_and(|next| self.state.next() >= next);
                self.fleet.note_applied(self.state.next());
                self.after_apply(now);
            }
            Some(Message::SnapshotAsk(_)) => self.pass_snapshot(now, &from),
            Some(Message::SnapshotChunk(chunk)) => {
                if self.on_checkpoint_chunk(now, &chunk.chunk) {
                    self.caught_up = true;
                }
            }
            Some(Message::Ping(_) | Message::Ack(_) | Message::PingFor(_)) | None => {}
        }
    }

    fn answer_token_ask(
        &mut self,
        now: Instant,
        from: &InstanceId,
        ask: &apricotwell_messages::TokenAsk,
    ) {
        let shard = shard_of(&ask.org, self.settings.genesis.shards);
        let Some(tenure) = self.fleet.tenure(now, &self.state, shard) else {
            return;
        };
        let Some(org) = self.state.org(&ask.org) else {
            return;
        };
        let rate = apricotwell_limits::Rate {
            per_second: org.rate,
            burst: org.burst,
        };
        if let Some(grant) = self.tokens.on_ask(now, from, ask, rate, tenure) {
            self.send(now, from, Message::TokenGrant(grant));
        }
    }

    fn take_grant(&mut self, now: Instant, grant: &TokenGrant) {
        let patience = self.settings.token_wait;
        let verdicts = self.tokens.on_grant(now, grant, patience);
        let mut queued = Vec::new();
        for verdict in verdicts {
            match verdict {
                TokenVerdict::Taken(request, reservation) => {
                    self.enqueue(now, request, reservation);
                    queued.push(request);
                }
                TokenVerdict::Refused(request, wait) => self.refuse_over_rate(now, request, wait),
            }
        }
        self.pump(now);
        for request in queued {
            self.tell_first_demand(now, request);
        }
    }

    fn reclaim(&mut self, now: Instant, replica: u64) {
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
        let retire = Retire { replica, fence };
        self.writer.push(apricotwell_records::Body::Retire(retire));
    }

    fn take_claim_ask(
        &mut self,
        now: Instant,
        from: InstanceId,
        ask: apricotwell_messages::ClaimAsk,
    ) {
        let Some(shard) = self.claim_shard(&ask.key) else {
            return;
        };
        match self.fleet.fence(now, shard) {
            Some(fence) => {
                let reply = self.claim_holder.on_ask(now, shard, fence, from, ask);
                if let Some((to, message)) = reply {
                    self.send(now, &to, message);
                }
                self.run_claims(now);
            }
            None => {
                let reply = apricotwell_messages::ClaimReply {
                    attempt: ask.attempt,
                    verdict: apricotwell_messages::ClaimVerdict::NotHolder as i32,
                    finished: None,
                };
                self.send(now, &from, Message::ClaimReply(reply));
            }
        }
    }

    fn take_claim_finish(
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
            self.claim_holder.on_finish(shard, fence, from, finish);
            self.run_claims(now);
        }
    }

    /// Returns the shard that holds the claim of a key.
    pub(super) fn claim_shard(&self, key: &[u8]) -> Option<Shard> {
        let key = BodyDigest::from_slice(key)?;
        Some(shard_of(&key.to_hex(), self.settings.genesis.shards))
    }

    // Serves claims as holder and as asker.
    pub(super) fn run_claims(&mut self, now: Instant) {
        let wall = self.wall(now);
        let memory = self.settings.claim_retention;
        let fleet = &self.fleet;
        self.claim_holder.retain(|shard| fleet.fence(now, shard));
        let is_gone = |attempt: &str| fleet.is_gone(attempt);
        let (replies, actions) =
            self.claim_holder
                .tick(now, wall, memory, &mut self.tickets, is_gone);
        self.actions.extend(actions);
        for (to, message) in replies {
            self.send(now, &to, message);
        }
        let (messages, late) = self.claims.tick(now);
        for (shard, message) in messages {
            let holder = self.state.lease(shard).map(|lease| lease.holder.clone());
            if let Some(holder) = holder {
                self.send(now, &holder, message);
            }
        }
        for request in late {
            self.on_claim_result(now, request, crate::claim_desk::ClaimResult::Unavailable);
        }
    }

    // Asks peers for what the log does not give at the moment.
    pub(super) fn ask_for_help(&mut self, now: Instant) {
        if now < self.next_help {
            return;
        }
        self.next_help = now + HELP_PERIOD;
        let next = self.state.next();
        let (peer, body) = if let Some(peer) = self.fleet.peer_ahead(now) {
            let body = Message::RecordsAsk(RecordsAsk { from: next });
            (peer, body)
        } else if let (false, Some(peer)) = (self.caught_up, self.fleet.any_peer()) {
            (peer, Message::SnapshotAsk(SnapshotAsk {}))
        } else {
            return;
        };
        self.send(now, &peer.id, body);
    }

    fn pass_records(&mut self, now: Instant, to: &InstanceId, ask: RecordsAsk) {
        let first_kept = self.recent.front().map(|(offset, _)| *offset);
        if first_kept.is_none_or(|first| ask.from < first) {
            self.pass_snapshot(now, to);
            return;
        }
        let wanted = self.recent.iter().filter(|(offset, _)| *offset >= ask.from);
        let records = wanted
            .take(MAX_PASSED)
            .map(|(_, bytes)| bytes.clone())
            .collect();
        let reply = RecordsReply {
            first: ask.from,
            records,
        };
        self.send(now, to, Message::RecordsReply(reply));
    }

    fn pass_snapshot(&mut self, now: Instant, to: &InstanceId) {
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
