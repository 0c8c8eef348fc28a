//! A member as others see it.

use std::time::Instant;

use apricotwell_types::{Incarnation, InstanceId, ZoneId};

/// Where a member is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Instance.
    pub id: InstanceId,
    /// Address for peers as `ip:port`.
    pub address: String,
    /// Availability zone.
    pub zone: ZoneId,
}

/// State of a member; a later one overrides an earlier one of the same incarnation and round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Does not answer; may still refute.
    Suspect,
    /// Drains and takes no duties.
    Leaving,
    /// Gone for this incarnation.
    Dead,
}

/// News of a member that travels on probes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Where it is.
    pub contact: Contact,
    /// Start number of its process.
    pub incarnation: Incarnation,
    /// How often it has refuted a suspicion.
    pub revision: u32,
    /// State.
    pub state: MemberState,
}

/// Member as this instance knows it.
///
/// # Invariants
///
/// News override what is known only with a higher `(incarnation, round, state)`.
#[derive(Clone, Debug)]
pub struct Member {
    /// Latest news.
    pub update: Update,
    /// When the state was entered.
    pub since: Instant,
    /// Whether the platform's list holds it.
    pub listed: bool,
    /// How often the news have been passed on.
    pub transmissions: u32,
}

impl Update {
    // A leaving member stays leaving when it refutes a suspicion.
    pub(crate) fn rank(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.revision, self.state)
    }
}
