//! Copies of claims as records of the store.

use apricotwell_dispatch::prelude::{ClaimCopy, ClaimRecord};
use apricotwell_gateway::adapter::KeyedPage;
use apricotwell_gateway::claim_copies::{decode, encode};

fn copy(era: Option<u64>, offset: u64) -> ClaimCopy {
    ClaimCopy {
        claim: ClaimRecord {
            holder: "10.1.0.25:7600".to_owned(),
            era,
            fence: era.map(|era| (era << 32) + offset + 1),
            waits: offset == 0,
        },
        offset,
    }
}

#[test]
fn copies_of_all_eras_are_read_beside_one_that_cannot_be_decoded() {
    let copies = vec![copy(None, 0), copy(Some(1), 4), copy(Some(2), 4)];
    let mut records: Vec<_> = copies.iter().map(encode).collect();
    let keys: Vec<_> = records.iter().map(|(key, _)| key.clone()).collect();
    assert_eq!(keys, ["none", "1", "2"]);
    records.insert(1, ("3".to_owned(), vec![u8::MAX]));
    let page = KeyedPage {
        records,
        end: 9,
        era: Some(2),
    };
    let decoded = decode(&page);
    assert_eq!(decoded.copies, copies);
    assert_eq!((decoded.end, decoded.era), (9, Some(2)));
}
