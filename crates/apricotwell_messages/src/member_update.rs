//! Wire format of membership updates.

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
    /// Incarnation number of its process.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Counter that the member raises to refute a suspicion or to announce that it leaves.
    #[prost(uint32, tag = "5")]
    pub revision: u32,
    /// State: 0 alive, 1 suspect, 2 leaving, 3 dead.
    #[prost(uint32, tag = "6")]
    pub state: u32,
}

impl MemberUpdate {
    /// Converts from an [`Update`].
    pub fn from_update(update: &Update) -> Self {
        Self {
            id: update.contact.id.to_string(),
            address: update.contact.address.clone(),
            zone: update.contact.zone.to_string(),
            incarnation: update.incarnation,
            revision: update.revision,
            state: update.state as u32,
        }
    }

    /// Converts into an [`Update`]; `None` if the state is unknown.
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
            revision: self.revision,
            state,
        })
    }
}
