//! Effects of claim records on the table.

use apricotwell_claims::{BodyDigest, ClaimOutcome, ClaimTable, RecordedAnswer, Verdict};
use apricotwell_records::{AttemptFinished, ClaimBody, ClaimRecord, KeyClaimed, StreamOpened};
use apricotwell_types::RunOutcome;

const KEY: BodyDigest = BodyDigest([1; 16]);
const BODY: BodyDigest = BodyDigest([2; 16]);

fn opened(fence: u64) -> ClaimRecord {
    record(fence, ClaimBody::StreamOpened(StreamOpened {}))
}

fn claimed(fence: u64, attempt: &str) -> ClaimRecord {
    let claimed = KeyClaimed {
        key: KEY.0.to_vec(),
        body: BODY.0.to_vec(),
        attempt: attempt.to_owned(),
    };
    record(fence, ClaimBody::KeyClaimed(claimed))
}

fn finished(fence: u64, attempt: &str, outcome: &ClaimOutcome) -> ClaimRecord {
    record(
        fence,
        ClaimBody::AttemptFinished(outcome.to_record(KEY, attempt)),
    )
}

fn record(fence: u64, body: ClaimBody) -> ClaimRecord {
    ClaimRecord {
        fence,
        written_ms: 5,
        body: Some(body),
    }
}

fn apply_all(records: &[ClaimRecord]) -> ClaimTable {
    let mut table = ClaimTable::default();
    for (offset, record) in (1..).zip(records) {
        table.apply(offset, record);
    }
    table
}

#[test]
fn a_claim_with_an_outdated_fence_has_no_effect() {
    let table = apply_all(&[opened(4), opened(9), claimed(4, "old")]);
    assert_eq!(table.verdict(KEY, BODY, "old"), Verdict::Free);
    assert_eq!(table.fence(), 9);
    let table = apply_all(&[opened(4), claimed(4, "old"), opened(9), claimed(9, "new")]);
    assert_eq!(table.verdict(KEY, BODY, "old"), Verdict::Granted);
    assert_eq!(
        table.verdict(KEY, BODY, "new"),
        Verdict::Held("old".to_owned())
    );
}

#[test]
fn the_first_claim_and_its_first_outcome_win() {
    let answer = RecordedAnswer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: b"done".to_vec(),
    };
    let answered = ClaimOutcome::Answered(answer.clone());
    let unknown = ClaimOutcome::NoAnswer(RunOutcome::Unknown);
    let table = apply_all(&[
        opened(1),
        claimed(1, "a"),
        claimed(1, "b"),
        finished(1, "b", &unknown),
        finished(1, "a", &answered),
        finished(1, "a", &unknown),
    ]);
    assert_eq!(table.verdict(KEY, BODY, "c"), Verdict::Ended(answered));
    assert_eq!(
        table.verdict(KEY, BodyDigest([3; 16]), "c"),
        Verdict::OtherBody
    );
}

#[test]
fn a_claim_that_ended_as_not_run_frees_its_key() {
    let not_run = ClaimOutcome::NoAnswer(RunOutcome::NotRun);
    let table = apply_all(&[
        opened(1),
        claimed(1, "a"),
        finished(1, "a", &not_run),
        claimed(1, "b"),
    ]);
    assert_eq!(table.verdict(KEY, BODY, "b"), Verdict::Granted);
}

#[test]
fn republished_claims_rebuild_the_same_table() {
    let failed = ClaimOutcome::NoAnswer(RunOutcome::FailedAfterRun);
    let mut table = apply_all(&[opened(1), claimed(1, "a"), finished(1, "a", &failed)]);
    let republished = table.republish(10, 100);
    assert_eq!(republished.len(), 2);
    for (offset, record) in (20..).zip(&republished) {
        table.apply(offset, record);
    }
    assert!(table.republish(10, 100).is_empty());
    let mut rebuilt = ClaimTable::default();
    rebuilt.skip_to(20);
    for (offset, record) in (20..).zip(&republished) {
        rebuilt.apply(offset, record);
    }
    assert_eq!(rebuilt.verdict(KEY, BODY, "x"), Verdict::Ended(failed));
    assert_eq!(
        rebuilt.verdict(KEY, BODY, "x"),
        table.verdict(KEY, BODY, "x")
    );
}

#[test]
fn malformed_records_have_no_effect() {
    let short_digests = ClaimBody::KeyClaimed(KeyClaimed {
        key: vec![1],
        body: vec![2],
        attempt: "a".to_owned(),
    });
    let empty_outcome = ClaimBody::AttemptFinished(AttemptFinished::default());
    let table = apply_all(&[
        opened(1),
        record(1, short_digests),
        record(1, empty_outcome),
        ClaimRecord::default(),
    ]);
    assert!(table.is_empty());
    assert_eq!(table.next(), 5);
}
