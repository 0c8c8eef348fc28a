//! Members and their states.

use std::time::Instant;

use apricotwell_types::{Incarnation, InstanceId, ZoneId};

/// Identity and location of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Id of the instance.
    pub id: InstanceId,
    /// Address for messages from peers, as `ip:port`.
    pub address: String,
    /// Availability zone.
    pub zone: ZoneId,
}

/// State of a member.
///
/// Within an incarnation and revision, a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Is presumed to answer probes.
    Alive,
    /// Did not answer probes; can still refute the suspicion.
    Suspect,
    /// Drains and takes no new leases or clients.
    Leaving,
    /// Has failed or left; only a higher revision or incarnation overrides it.
    Dead,
}

/// State of a member as it is spread on probes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Identity and location.
    pub contact: Contact,
    /// Incarnation of its process; 0 while the member is known only from the platform's list.
    pub incarnation: Incarnation,
    /// Counter that the member raises to refute a suspicion or to announce that it leaves.
    pub revision: u32,
    /// State.
    pub state: MemberState,
}

/// Member as this instance sees it.
///
/// # Invariants
///
/// An update received from a peer replaces `update` only if its `(incarnation, revision, state)` is
/// higher.
#[derive(Clone, Debug)]
pub struct Member {
    /// Latest update.
    pub update: Update,
    /// When it entered its state.
    pub since: Instant,
    /// Whether it is on the platform's list.
    pub listed: bool,
    /// Number of messages that have carried the latest update.
    pub transmissions: u32,
}

impl Update {
    // The revision precedes the state, so that a leaving member can refute and stays `Leaving`.
    pub(crate) fn rank(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.revision, self.state)
    }
}
