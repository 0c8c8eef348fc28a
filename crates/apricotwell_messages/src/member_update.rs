//! Membership news on the wire.

use apricotwell_membership::{Contact, MemberState, Update};

/// Membership update about one member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberUpdate {
    /// Instance.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Address for peers as `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Start number of its process.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// How often it has refuted a suspicion.
    #[prost(uint32, tag = "5")]
    pub round: u32,
    /// State: 0 alive, 1 suspect, 2 leaving, 3 dead.
    #[prost(uint32, tag = "6")]
    pub state: u32,
}

impl MemberUpdate {
    /// Converts from the core's news.
    pub fn from_update(update: &Update) -> Self {
        Self {
            id: update.contact.id.to_string(),
            address: update.contact.address.clone(),
            zone: update.contact.zone.to_string(),
            incarnation: update.incarnation,
            round: update.revision,
            state: update.state as u32,
        }
    }

    /// Converts into the core's news; `None` for an unknown state.
    pub fn to_update(&self) -> Option<Update> {
        let state = match self.state {
            0 => MemberState::Alive,
            1 => MemberState::Suspect,
            2 => MemberState::Leaving,
            3 => MemberState::Dead,
            _ => return None,
        };
        Some(Update {
            contact: Contact {
                id: self.id.as_str().into(),
                address: self.address.clone(),
                zone: self.zone.as_str().into(),
            },
            incarnation: self.incarnation,
            revision: self.round,
            state,
        })
    }
}
