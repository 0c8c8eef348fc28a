//! Copies of claims of the placement lease as records of the store, one key for each era of it.

use apricotwell_dispatch::prelude::*;
use apricotwell_messages::ClaimCopyRecord;
use apricotwell_types::StoreEra;
use prost::Message;

use crate::adapter::KeyedPage;

/// Returns the key and the record of a copy.
pub fn encode(copy: &ClaimCopy) -> (String, Vec<u8>) {
    let claim = &copy.claim;
    let record = ClaimCopyRecord {
        holder: claim.holder.clone(),
        era: claim.era,
        fence: claim.fence,
        waits: claim.waits,
        offset: copy.offset,
    };
    (key(claim.era), record.encode_to_vec())
}

fn key(era: Option<StoreEra>) -> String {
    era.map_or("none".to_owned(), |era| era.to_string())
}

/// Decodes the copies of all eras.
///
/// One that can't be decoded counts as none: the next claim then has a token of the era, and replaces it.
pub fn decode(page: &KeyedPage) -> LastCopies {
    let decoded = page.records.iter().filter_map(|(key, record)| {
        let decoded = ClaimCopyRecord::decode(&**record);
        let decoded = decoded
            .inspect_err(|error| log::warn!("the claim of era {key} can't be decoded: {error}"));
        decoded.ok().map(copy)
    });
    LastCopies {
        copies: decoded.collect(),
        end: page.end,
        era: page.era,
    }
}

fn copy(record: ClaimCopyRecord) -> ClaimCopy {
    ClaimCopy {
        claim: ClaimRecord {
            holder: record.holder,
            era: record.era,
            fence: record.fence,
            waits: record.waits,
        },
        offset: record.offset,
    }
}
