//! Tells a log that is down for everyone from an instance that is cut off from it.

use std::time::{Duration, Instant};

use apricotwell_types::{InstanceId, Map, Offset};

/// Part of the window for which the log's own confirmation must still hold to be relied on alone.
const FRESH_DIVISOR: u32 = 4;

/// What a peer said of its own view of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// When the exchange that carried it began, by this instance's clock.
    pub requested_at: Instant,
    /// First offset that the peer has not applied.
    pub next: Offset,
    /// Time since the peer's view was last confirmed; `None` when it never was.
    pub view_age: Option<Duration>,
    /// Time since the peer last reached the log itself; `None` when it never did.
    pub log_contact_age: Option<Duration>,
}

/// How far this instance's view can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// The log, or a peer that read it, confirmed the view.
    Fresh {
        /// When the confirmation lapses.
        until: Instant,
    },
    /// Most members have applied nothing beyond this instance, so no lease has been taken over.
    Outage {
        /// When the members' statements lapse.
        until: Instant,
        /// Whether every listed member said so: then nobody knows of any change at all.
        unanimous: bool,
    },
    /// Others may know more than this instance.
    CutOff,
}

impl View {
    /// Returns when the view lapses, or `None` when it has.
    pub fn until(self) -> Option<Instant> {
        match self {
            View::Fresh { until } | View::Outage { until, .. } => Some(until),
            View::CutOff => None,
        }
    }

    /// Returns the view's name in reports.
    pub fn name(self) -> &'static str {
        match self {
            View::Fresh { .. } => "fresh",
            View::Outage { .. } => "outage",
            View::CutOff => "cut_off",
        }
    }
}

/// Evidence on the freshness of this instance's view.
///
/// # Invariants
///
/// `contact` is the beginning of an exchange, never its end: a record appended before `contact`
/// has been applied here.
#[derive(Clone, Debug)]
pub struct Freshness {
    window: Duration,
    contact: Option<Instant>,
    next: Offset,
    peers: Map<InstanceId, Evidence>,
}

impl Freshness {
    /// Returns the view of an instance that has read nothing.
    ///
    /// `window` is how long evidence counts.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            contact: None,
            next: 1,
            peers: Map::default(),
        }
    }

    /// Returns how long evidence counts.
    pub fn window(&self) -> Duration {
        self.window
    }

    /// Returns the time since the last confirmed contact.
    pub fn view_age(&self, now: Instant) -> Option<Duration> {
        self.contact
            .map(|contact| now.saturating_duration_since(contact))
    }

    /// Notes a read that began at `began` and reached the end of the log at `next`.
    pub fn record_read(&mut self, began: Instant, next: Offset) {
        self.next = self.next.max(next);
        self.contact = self.contact.max(Some(began));
    }

    /// Notes records applied without knowing whether they were the last ones.
    pub fn record_applied(&mut self, next: Offset) {
        self.next = self.next.max(next);
    }

    /// Notes what a peer said.
    ///
    /// A peer with recent contact and no record beyond ours confirms our view as well.
    pub fn record_evidence(&mut self, peer: InstanceId, evidence: Evidence) {
        if let Some(age) = evidence.view_age
            && evidence.next <= self.next
        {
            let contact = evidence.requested_at.checked_sub(age);
            self.contact = self.contact.max(contact);
        }
        // What comes through others may be older than what is known.
        let known = self.peers.get(&peer);
        if known.is_none_or(|known| known.requested_at < evidence.requested_at) {
            self.peers.insert(peer, evidence);
        }
    }

    /// Returns what peers said within the window.
    pub fn recent_evidence(&self, now: Instant) -> impl Iterator<Item = (&InstanceId, &Evidence)> {
        self.recent(now)
    }

    /// Returns when a peer last reached the log itself, as far as is known.
    pub fn last_log_contact(&self, peer: &str) -> Option<Instant> {
        let evidence = self.peers.get(peer)?;
        evidence.requested_at.checked_sub(evidence.log_contact_age?)
    }

    /// Returns a peer that has applied records that this instance lacks.
    pub fn peer_ahead(&self, now: Instant) -> Option<&InstanceId> {
        self.recent(now)
            .filter(|(_, evidence)| evidence.next > self.next)
            .max_by_key(|(peer, evidence)| (evidence.next, *peer))
            .map(|(peer, _)| peer)
    }

    /// Returns how far this instance's view can be trusted.
    ///
    /// `members` are the instances on the platform's list, `me` included.
    pub fn view(&self, now: Instant, members: &[InstanceId], me: &str) -> View {
        match self.fresh_until(now) {
            Some(until) => View::Fresh { until },
            None => self.outage(now, members, me).unwrap_or(View::CutOff),
        }
    }

    /// Returns until when no lease can have been taken over without this instance's knowledge.
    ///
    /// Shortly before the log's own confirmation lapses, members' statements may already reach
    /// further.
    pub fn leases_until(&self, now: Instant, members: &[InstanceId], me: &str) -> Option<Instant> {
        let fresh = self.fresh_until(now);
        if let Some(until) = fresh
            && until.saturating_duration_since(now) > self.window / FRESH_DIVISOR
        {
            return Some(until);
        }
        let outage = self.outage(now, members, me).and_then(View::until);
        fresh.max(outage)
    }

    fn fresh_until(&self, now: Instant) -> Option<Instant> {
        let until = self.contact? + self.window;
        (now < until).then_some(until)
    }

    fn outage(&self, now: Instant, members: &[InstanceId], me: &str) -> Option<View> {
        if self.peer_ahead(now).is_some() {
            return None;
        }
        let mut asked: Vec<Instant> = self
            .recent(now)
            .filter(|(peer, _)| ***peer != *me && members.contains(peer))
            .map(|(_, evidence)| evidence.requested_at)
            .collect();
        let needed = majority(members.len()).saturating_sub(1);
        if asked.len() < needed {
            return None;
        }
        asked.sort_unstable_by(|a, b| b.cmp(a));
        let weakest = match needed {
            0 => now,
            count => asked[count - 1],
        };
        Some(View::Outage {
            until: weakest + self.window,
            unanimous: asked.len() + 1 >= members.len(),
        })
    }

    /// Returns whether most members have applied the record at `offset`.
    pub fn majority_applied(
        &self,
        now: Instant,
        members: &[InstanceId],
        me: &str,
        offset: Offset,
    ) -> bool {
        let peers = self
            .recent(now)
            .filter(|(peer, _)| ***peer != *me && members.contains(peer))
            .filter(|(_, evidence)| evidence.next > offset)
            .count();
        let own = usize::from(self.next > offset);
        peers + own >= majority(members.len())
    }

    /// Forgets peers that are no longer members.
    pub fn retain(&mut self, members: &[InstanceId]) {
        self.peers.retain(|peer, _| members.contains(peer));
    }

    fn recent(&self, now: Instant) -> impl Iterator<Item = (&InstanceId, &Evidence)> {
        self.peers
            .iter()
            .filter(move |(_, evidence)| now < evidence.requested_at + self.window)
    }
}

fn majority(members: usize) -> usize {
    members / 2 + 1
}
