//! Distinguishes an outage of the log from an instance that alone can't reach it.

use std::time::{Duration, Instant};

use apricotwell_types::{InstanceId, Map, Offset};

/// Fraction of the window, as a divisor. While the log's own confirmation stays valid for longer
/// than that, the evidence of peers is not evaluated.
const FRESH_DIVISOR: u32 = 4;

/// Report of a peer about its view of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// When the request that the report answers was sent, by this instance's clock.
    pub requested_at: Instant,
    /// Lowest offset that the peer has not applied.
    pub next: Offset,
    /// Time since the peer's view was last confirmed; `None` if it never was.
    pub view_age: Option<Duration>,
    /// Time since the peer itself last reached the log; `None` if it never did.
    pub log_contact_age: Option<Duration>,
}

/// Whether this instance's view of the log is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// The log, or a peer that has read it, confirmed the view within the window.
    Fresh {
        /// When the confirmation expires.
        until: Instant,
    },
    /// A majority of the members has applied no record that this instance lacks, so no lease has
    /// been taken over.
    Outage {
        /// When the evidence of the members expires.
        until: Instant,
        /// Whether all listed members reported this, so that no member knows of a newer record.
        unanimous: bool,
    },
    /// Other members may have applied records that this instance lacks.
    CutOff,
}

impl View {
    /// Returns when the view expires; `None` for [`View::CutOff`].
    pub fn until(self) -> Option<Instant> {
        match self {
            View::Fresh { until } | View::Outage { until, .. } => Some(until),
            View::CutOff => None,
        }
    }

    /// Returns the name of the view in status reports.
    pub fn name(self) -> &'static str {
        match self {
            View::Fresh { .. } => "fresh",
            View::Outage { .. } => "outage",
            View::CutOff => "cut_off",
        }
    }
}

/// Evidence about how fresh this instance's view of the log is.
///
/// # Invariants
///
/// `confirmed_at` is the start of an exchange, never its end. Every record appended before it has
/// therefore been applied on this instance.
#[derive(Clone, Debug)]
pub struct Freshness {
    window: Duration,
    confirmed_at: Option<Instant>,
    next: Offset,
    peers: Map<InstanceId, Evidence>,
}

impl Freshness {
    /// Returns the freshness of an instance that has not read the log yet.
    ///
    /// `window` is how long evidence stays valid.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            confirmed_at: None,
            next: 1,
            peers: Map::default(),
        }
    }

    /// Returns how long evidence stays valid.
    pub fn window(&self) -> Duration {
        self.window
    }

    /// Returns the time since the view was last confirmed; `None` if it never was.
    pub fn view_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at
            .map(|confirmed_at| now.saturating_duration_since(confirmed_at))
    }

    /// Records a read that began at `began` and reached the end of the log at `next`.
    pub fn record_read(&mut self, began: Instant, next: Offset) {
        self.next = self.next.max(next);
        self.confirmed_at = self.confirmed_at.max(Some(began));
    }

    /// Records that everything below `next` is applied, though the log may hold further records.
    pub fn record_applied(&mut self, next: Offset) {
        self.next = self.next.max(next);
    }

    /// Records the report of a peer.
    ///
    /// If the peer has no record that this instance lacks, the confirmation of its view counts for
    /// this instance too.
    pub fn record_evidence(&mut self, peer: InstanceId, evidence: Evidence) {
        if let Some(age) = evidence.view_age
            && evidence.next <= self.next
        {
            let confirmed_at = evidence.requested_at.checked_sub(age);
            self.confirmed_at = self.confirmed_at.max(confirmed_at);
        }
        // Evidence relayed by other members may be older than the evidence already recorded.
        let latest = self.peers.get(&peer);
        if latest.is_none_or(|latest| latest.requested_at < evidence.requested_at) {
            self.peers.insert(peer, evidence);
        }
    }

    /// Returns the peers' evidence that is within the window.
    pub fn recent_evidence(&self, now: Instant) -> impl Iterator<Item = (&InstanceId, &Evidence)> {
        self.unexpired(now)
    }

    /// Returns when a peer itself last reached the log, according to its latest evidence.
    pub fn last_log_contact(&self, peer: &str) -> Option<Instant> {
        let evidence = self.peers.get(peer)?;
        evidence.requested_at.checked_sub(evidence.log_contact_age?)
    }

    /// Returns a peer that has applied records that this instance lacks.
    pub fn peer_ahead(&self, now: Instant) -> Option<&InstanceId> {
        self.unexpired(now)
            .filter(|(_, evidence)| evidence.next > self.next)
            .max_by_key(|(peer, evidence)| (evidence.next, *peer))
            .map(|(peer, _)| peer)
    }

    /// Returns whether this instance's view of the log is current.
    ///
    /// `members` are the instances on the platform's list, including this one, `own_id`.
    pub fn view(&self, now: Instant, members: &[InstanceId], own_id: &str) -> View {
        match self.fresh_until(now) {
            Some(until) => View::Fresh { until },
            None => self.outage(now, members, own_id).unwrap_or(View::CutOff),
        }
    }

    /// Returns until when no lease can be taken over without this instance knowing it.
    ///
    /// Shortly before the log's own confirmation expires, the evidence of the members may already
    /// be valid for longer.
    pub fn leases_until(
        &self,
        now: Instant,
        members: &[InstanceId],
        own_id: &str,
    ) -> Option<Instant> {
        let fresh = self.fresh_until(now);
        if let Some(until) = fresh
            && until.saturating_duration_since(now) > self.window / FRESH_DIVISOR
        {
            return Some(until);
        }
        let outage = self.outage(now, members, own_id).and_then(View::until);
        fresh.max(outage)
    }

    fn fresh_until(&self, now: Instant) -> Option<Instant> {
        let until = self.confirmed_at? + self.window;
        (now < until).then_some(until)
    }

    fn outage(&self, now: Instant, members: &[InstanceId], own_id: &str) -> Option<View> {
        if self.peer_ahead(now).is_some() {
            return None;
        }
        let mut request_times: Vec<Instant> = self
            .unexpired(now)
            .filter(|(peer, _)| ***peer != *own_id && members.contains(peer))
            .map(|(_, evidence)| evidence.requested_at)
            .collect();
        let needed = majority(members.len()).saturating_sub(1);
        if request_times.len() < needed {
            return None;
        }
        request_times.sort_unstable_by(|a, b| b.cmp(a));
        let oldest_needed = match needed {
            0 => now,
            count => request_times[count - 1],
        };
        Some(View::Outage {
            until: oldest_needed + self.window,
            unanimous: request_times.len() + 1 >= members.len(),
        })
    }

    /// Returns whether a majority of the members has applied the record at `offset`.
    pub fn majority_applied(
        &self,
        now: Instant,
        members: &[InstanceId],
        own_id: &str,
        offset: Offset,
    ) -> bool {
        let peer_votes = self
            .unexpired(now)
            .filter(|(peer, _)| ***peer != *own_id && members.contains(peer))
            .filter(|(_, evidence)| evidence.next > offset)
            .count();
        let own_vote = usize::from(self.next > offset);
        peer_votes + own_vote >= majority(members.len())
    }

    /// Drops the evidence of peers that are no longer members.
    pub fn retain(&mut self, members: &[InstanceId]) {
        self.peers.retain(|peer, _| members.contains(peer));
    }

    fn unexpired(&self, now: Instant) -> impl Iterator<Item = (&InstanceId, &Evidence)> {
        self.peers
            .iter()
            .filter(move |(_, evidence)| now < evidence.requested_at + self.window)
    }
}

fn majority(members: usize) -> usize {
    members / 2 + 1
}
