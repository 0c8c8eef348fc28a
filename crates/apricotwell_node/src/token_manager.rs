//! Token rate limits: this instance's escrows, and the buckets of the shards that it holds.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_limits::{Bucket, BucketSnapshot, Escrow, Grant, Rate};
use apricotwell_messages::{BucketState, TokenGrant, TokenRequest};
use apricotwell_types::{Fence, InstanceId, Map, OrgId, RequestId, Tokens, WorkClass};

/// Time after which an unanswered token request is sent again.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Shortest time between two token requests for one organisation.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Time constant of the average use that determines how many tokens to request.
const USE_WINDOW: Duration = Duration::from_secs(1);

/// Lease holder that token requests are sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HolderRef<'a> {
    pub(crate) instance: &'a InstanceId,
    pub(crate) fence: Fence,
}

/// Tokens that were taken for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Reservation {
    session: u64,
    pub(crate) tokens: Tokens,
}

type WaitKey = (WorkClass, Instant, RequestId);

#[derive(Debug)]
struct OrgTokens {
    current: Escrow,
    // Grants of an earlier holder, which can be spent until they expire.
    earlier: Option<Escrow>,
    waiting: BTreeMap<WaitKey, Tokens>,
    outstanding: Option<(u64, Instant)>,
    next_request: Instant,
    // Exponentially decayed number of tokens used in `USE_WINDOW`.
    recent_use: f64,
    used_at: Instant,
    // Whether tokens were settled since the latest token request, which carries the report.
    unreported: bool,
}

/// Decision on a request that waited for tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TokenVerdict {
    /// The request has its tokens.
    Taken(RequestId, Reservation),
    /// The request can't get its tokens in time; a retry can succeed after the given time.
    Refused(RequestId, Duration),
}

/// Manages the escrows of all organisations and the buckets of held shards.
#[derive(Debug)]
pub(crate) struct TokenManager {
    term: Duration,
    orgs: BTreeMap<OrgId, OrgTokens>,
    buckets: Map<OrgId, HeldBucket>,
    received: Map<OrgId, (Fence, BucketSnapshot)>,
    last_request: u64,
}

#[derive(Debug)]
struct HeldBucket {
    fence: Fence,
    rate: Rate,
    bucket: Bucket,
}

/// Beginning of a lease holder's term on a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TermStart {
    pub(crate) fence: Fence,
    // Fence of the previous lease; 0 if the shard never had a holder.
    pub(crate) previous: Fence,
    // Time from which no earlier holder grants tokens.
    pub(crate) since: Instant,
}

impl TokenManager {
    pub(crate) fn new(term: Duration) -> Self {
        Self {
            term,
            orgs: BTreeMap::new(),
            buckets: Map::default(),
            received: Map::default(),
            last_request: 0,
        }
    }

    /// Takes tokens immediately, unless earlier requests of the organisation are waiting.
    pub(crate) fn take(&mut self, now: Instant, org: &OrgId, cost: Tokens) -> Option<Reservation> {
        let org_tokens = self.org(now, org);
        if !org_tokens.waiting.is_empty() {
            return None;
        }
        org_tokens.take(now, cost)
    }

    /// Adds a request to those that wait for tokens.
    pub(crate) fn wait(
        &mut self,
        now: Instant,
        org: &OrgId,
        request: RequestId,
        class: WorkClass,
        deadline: Instant,
        cost: Tokens,
    ) {
        let org_tokens = self.org(now, org);
        org_tokens.waiting.insert((class, deadline, request), cost);
    }

    /// Returns the number of an organisation's requests that wait for tokens.
    pub(crate) fn waiting(&self, org: &str) -> usize {
        self.orgs
            .get(org)
            .map_or(0, |org_tokens| org_tokens.waiting.len())
    }

    /// Returns the number of requests that wait for tokens, over all organisations.
    pub(crate) fn total_waiting(&self) -> usize {
        self.orgs
            .values()
            .map(|org_tokens| org_tokens.waiting.len())
            .sum()
    }

    /// Removes a request from those that wait for tokens.
    pub(crate) fn cancel(&mut self, org: &str, request: RequestId) {
        if let Some(org_tokens) = self.orgs.get_mut(org) {
            org_tokens
                .waiting
                .retain(|(_, _, waiting), _| *waiting != request);
        }
    }

    /// Returns the unused tokens of a finished request to the escrow.
    pub(crate) fn settle(&mut self, org: &str, reservation: Reservation, used: Tokens) {
        let Some(org_tokens) = self.orgs.get_mut(org) else {
            return;
        };
        let escrows = [Some(&mut org_tokens.current), org_tokens.earlier.as_mut()];
        for escrow in escrows.into_iter().flatten() {
            if escrow.session() == reservation.session {
                escrow.settle(reservation.tokens, used);
                org_tokens.unreported = true;
            }
        }
    }

    /// Returns the token requests that are due, with their receivers.
    ///
    /// `holder_of` returns the lease holder of an organisation's shard.
    pub(crate) fn due_requests<'a, F>(
        &mut self,
        now: Instant,
        holder_of: F,
    ) -> Vec<(InstanceId, TokenRequest)>
    where
        F: Fn(&str) -> Option<HolderRef<'a>>,
    {
        let mut requests = Vec::new();
        for (org, org_tokens) in &mut self.orgs {
            let Some(holder) = holder_of(org) else {
                continue;
            };
            org_tokens.switch_holder(holder.fence);
            let Some(want) = org_tokens.tokens_wanted(now) else {
                continue;
            };
            self.last_request += 1;
            let report = org_tokens.current.report(now);
            org_tokens.outstanding = (want > 0).then_some((self.last_request, now));
            org_tokens.next_request = now + REQUEST_INTERVAL;
            org_tokens.unreported = false;
            let request = TokenRequest::new(org, self.last_request, want, report);
            requests.push((holder.instance.clone(), request));
        }
        requests
    }

    /// Answers a token request as the lease holder of the organisation's shard.
    pub(crate) fn on_request(
        &mut self,
        now: Instant,
        from: &InstanceId,
        request: &TokenRequest,
        rate: Rate,
        term_start: TermStart,
    ) -> Option<TokenGrant> {
        let org: OrgId = request.org.as_str().into();
        let held = self.bucket(now, &org, rate, term_start);
        if request.session == term_start.fence {
            held.bucket.apply_report(now, from, &request.report());
        }
        if request.requested == 0 {
            return None;
        }
        let grant = held.bucket.grant(now, from, request.requested);
        let amount = grant.map_or(0, |grant| grant.amount);
        let wait = held.bucket.wait_time(now, request.requested - amount);
        Some(TokenGrant {
            org: request.org.clone(),
            number: request.number,
            session: term_start.fence,
            grant: grant.map_or(0, |grant| grant.id),
            amount,
            term_ms: self.term.as_millis() as u64,
            wait_ms: wait.map_or(u64::MAX, |wait| wait.as_millis() as u64),
        })
    }

    /// Adds a grant to the escrow and decides on the requests that wait for tokens.
    pub(crate) fn on_grant(
        &mut self,
        now: Instant,
        grant: &TokenGrant,
        max_wait: Duration,
    ) -> Vec<TokenVerdict> {
        let Some(org_tokens) = self.orgs.get_mut(grant.org.as_str()) else {
            return Vec::new();
        };
        let Some((number, sent)) = org_tokens.outstanding else {
            return Vec::new();
        };
        if number != grant.number || grant.session != org_tokens.current.session() {
            return Vec::new();
        }
        org_tokens.outstanding = None;
        if grant.amount > 0 {
            let granted = Grant {
                id: grant.grant,
                amount: grant.amount,
                term: Duration::from_millis(grant.term_ms),
            };
            org_tokens.current.add(sent, granted);
        }
        let mut verdicts = org_tokens.reserve_waiting(now);
        if org_tokens.waiting.is_empty() {
            return verdicts;
        }
        let wait = Duration::from_millis(grant.wait_ms);
        org_tokens.next_request = now + wait.clamp(REQUEST_INTERVAL, REQUEST_TIMEOUT);
        verdicts.extend(org_tokens.refuse_late(now, wait, max_wait));
        verdicts
    }

    /// Removes and returns the buckets of a shard that is handed over.
    ///
    /// Nothing is granted from them afterwards.
    pub(crate) fn hand_over<F>(&mut self, now: Instant, in_shard: F) -> Vec<BucketState>
    where
        F: Fn(&str) -> bool,
    {
        let mut states = Vec::new();
        self.buckets.retain(|org, held| {
            if !in_shard(org) {
                return true;
            }
            let snapshot = held.bucket.snapshot(now);
            states.push(BucketState {
                org: org.to_string(),
                fence: held.fence,
                level: snapshot.level,
                outstanding: snapshot.outstanding,
            });
            false
        });
        states
    }

    /// Stores a bucket received from the previous holder until this instance's lease is recorded.
    pub(crate) fn on_bucket_state(&mut self, state: &BucketState) {
        let snapshot = BucketSnapshot {
            level: state.level,
            outstanding: state.outstanding,
        };
        self.received
            .insert(state.org.as_str().into(), (state.fence, snapshot));
    }

    /// Drops the buckets of shards that are no longer held and the escrows of idle organisations.
    pub(crate) fn retain<F>(&mut self, now: Instant, fence_of: F)
    where
        F: Fn(&str) -> Option<Fence>,
    {
        self.buckets
            .retain(|org, held| fence_of(org) == Some(held.fence));
        self.orgs.retain(|_, org_tokens| {
            !org_tokens.waiting.is_empty()
                || org_tokens.unreported
                || org_tokens.current.available(now) > 0
                || now < org_tokens.used_at + USE_WINDOW * 60
        });
    }

    fn org(&mut self, now: Instant, org: &OrgId) -> &mut OrgTokens {
        self.orgs
            .entry(org.clone())
            .or_insert_with(|| OrgTokens::new(now))
    }

    fn bucket(
        &mut self,
        now: Instant,
        org: &OrgId,
        rate: Rate,
        term_start: TermStart,
    ) -> &mut HeldBucket {
        let known = self.buckets.get(org).map(|held| held.fence);
        if known != Some(term_start.fence) {
            let received = self.received.remove(org);
            let bucket = match received {
                Some((fence, snapshot)) if fence == term_start.previous => {
                    Bucket::from_snapshot(now, rate, self.term, snapshot)
                }
                _ if term_start.previous == 0 => Bucket::full(now, rate, self.term),
                _ => Bucket::after_takeover(term_start.since, rate, self.term),
            };
            let held = HeldBucket {
                fence: term_start.fence,
                rate,
                bucket,
            };
            self.buckets.insert(org.clone(), held);
        }
        let held = self
            .buckets
            .entry(org.clone())
            .or_insert_with(|| HeldBucket {
                fence: term_start.fence,
                rate,
                bucket: Bucket::after_takeover(term_start.since, rate, self.term),
            });
        if held.rate != rate {
            held.rate = rate;
            held.bucket.set_rate(now, rate);
        }
        held
    }
}

impl OrgTokens {
    fn new(now: Instant) -> Self {
        Self {
            current: Escrow::new(0),
            earlier: None,
            waiting: BTreeMap::new(),
            outstanding: None,
            next_request: now,
            recent_use: 0.0,
            used_at: now,
            unreported: false,
        }
    }

    // Starts a session with a new holder, numbered by the fence of its lease. Grants of the previous
    // holder can still be spent.
    fn switch_holder(&mut self, fence: Fence) {
        if self.current.session() == fence {
            return;
        }
        let earlier = std::mem::replace(&mut self.current, Escrow::new(fence));
        self.earlier = Some(earlier);
        self.outstanding = None;
    }

    fn take(&mut self, now: Instant, cost: Tokens) -> Option<Reservation> {
        let session = self.take_from_any(now, cost)?;
        self.record_use(now, cost);
        Some(Reservation {
            session,
            tokens: cost,
        })
    }

    // Returns the session of the escrow that the tokens were taken from.
    fn take_from_any(&mut self, now: Instant, cost: Tokens) -> Option<u64> {
        if let Some(earlier) = &mut self.earlier
            && earlier.take(now, cost)
        {
            return Some(earlier.session());
        }
        let current = &mut self.current;
        current.take(now, cost).then(|| current.session())
    }

    fn record_use(&mut self, now: Instant, cost: Tokens) {
        self.decay(now);
        self.recent_use += cost as f64;
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.used_at);
        let windows = elapsed.as_secs_f64() / USE_WINDOW.as_secs_f64();
        self.recent_use *= (-windows).exp();
        self.used_at = self.used_at.max(now);
    }

    // Returns the number of tokens to request now; 0 to only send a report, `None` when nothing is
    // due.
    fn tokens_wanted(&mut self, now: Instant) -> Option<Tokens> {
        if now < self.next_request {
            return None;
        }
        if let Some((_, sent)) = self.outstanding
            && now < sent + REQUEST_TIMEOUT
        {
            return None;
        }
        self.decay(now);
        let available = self.current.available(now);
        let waiting: Tokens = self.waiting.values().sum();
        let reserve = self.recent_use as Tokens;
        let want = (waiting + reserve).saturating_sub(available);
        if waiting > 0 || (reserve > 0 && available < reserve / 2) {
            return Some(want);
        }
        let returns = self.current.next_return().is_some_and(|at| now >= at);
        (returns || self.unreported).then_some(0)
    }

    // Takes tokens for the waiting requests, the most urgent first.
    fn reserve_waiting(&mut self, now: Instant) -> Vec<TokenVerdict> {
        let mut verdicts = Vec::new();
        while let Some((key, cost)) = self
            .waiting
            .first_key_value()
            .map(|(key, cost)| (*key, *cost))
        {
            let Some(reservation) = self.take(now, cost) else {
                break;
            };
            self.waiting.remove(&key);
            verdicts.push(TokenVerdict::Taken(key.2, reservation));
        }
        verdicts
    }

    // Rejects the waiting requests that can't get their tokens in time. `wait` is the time until
    // all of them can be served. The wait of one request is the share of `wait` that corresponds
    // to the tokens for itself and those ahead of it.
    fn refuse_late(
        &mut self,
        now: Instant,
        wait: Duration,
        max_wait: Duration,
    ) -> Vec<TokenVerdict> {
        let total: Tokens = self.waiting.values().sum();
        let mut ahead = 0;
        let mut late = Vec::new();
        for ((class, deadline, request), cost) in &self.waiting {
            ahead += cost;
            let own_wait = wait.as_secs_f64() * ahead as f64 / total.max(1) as f64;
            let own_wait = Duration::try_from_secs_f64(own_wait).unwrap_or(Duration::MAX);
            let max_wait = max_wait.min(deadline.saturating_duration_since(now));
            if own_wait > max_wait {
                ahead -= cost;
                late.push(((*class, *deadline, *request), own_wait));
            }
        }
        let refuse = |(key, own_wait): (WaitKey, Duration)| {
            self.waiting.remove(&key);
            TokenVerdict::Refused(key.2, own_wait)
        };
        late.into_iter().map(refuse).collect()
    }
}
