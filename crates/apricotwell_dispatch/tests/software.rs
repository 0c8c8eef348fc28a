//! The record of software versions: which servers begin streams, and when a version leaves it.

use std::time::{Duration, Instant};

use apricotwell_dispatch::software::{
    ListedSoftware, RecordedVersion, SoftwareTable, decode_record, encode_record, known_version,
    recorded_version,
};
use apricotwell_dispatch::software_record::{Departures, RecordedSoftware};

const LIFETIME: Duration = Duration::from_secs(77);
const STEP: Duration = Duration::from_secs(1);

fn software(versions: &[&str]) -> ListedSoftware {
    let versions = versions.iter().map(|text| known_version(text));
    let mut listed = ListedSoftware::default();
    listed.insert("engines".into(), versions.collect());
    listed
}

fn record(versions: &[&str]) -> RecordedSoftware {
    let nothing = RecordedSoftware::default();
    nothing.updated(&software(versions), &Departures::default(), 0)
}

// Observes the list at each step of a time and changes the record as the lease holder does; returns its
// end.
fn watch(
    table: &mut SoftwareTable,
    record: &mut RecordedSoftware,
    from: Instant,
    time: Duration,
    is_current: bool,
    listed: &ListedSoftware,
) -> Instant {
    let mut now = from;
    while now < from + time {
        now += STEP;
        table.observe(now, is_current, listed);
        let mark = now.saturating_duration_since(from).as_secs();
        *record = record.updated(listed, &table.departures(now, LIFETIME), mark);
        table.apply_record(now, record, listed);
    }
    now
}

#[test]
fn version_is_confirmed_only_while_it_is_listed_without_a_gap() {
    let mut table = SoftwareTable::default();
    let both = software(&["1", "2"]);
    let start = Instant::now();
    table.observe(start, true, &both);
    assert_eq!(table.unconfirmed(&both), both);
    table.apply_record(start, &record(&["1"]), &both);
    assert_eq!(table.unconfirmed(&both), software(&["2"]));
    table.apply_record(start, &record(&["1", "2"]), &both);
    assert!(table.unconfirmed(&both).is_empty());
    // One that was absent may have left the record.
    table.observe(start + STEP, true, &software(&["2"]));
    table.observe(start + 2 * STEP, true, &both);
    assert_eq!(table.unconfirmed(&both), software(&["1"]));
    // A suspended process does not see what was absent meanwhile.
    table.apply_record(start + 2 * STEP, &record(&["1", "2"]), &both);
    table.observe(start + LIFETIME, true, &both);
    assert_eq!(table.unconfirmed(&both), both);
}

#[test]
fn version_leaves_the_record_only_after_it_was_observed_to_be_absent() {
    let (both, new) = (software(&["1", "2"]), software(&["2"]));
    let start = Instant::now();
    let absent = |time: Duration| {
        let (mut table, mut record) = (SoftwareTable::default(), record(&["1", "2"]));
        table.observe(start, true, &both);
        table.apply_record(start, &record, &both);
        let end = watch(&mut table, &mut record, start, time, true, &new);
        (table, record, end)
    };
    let (_, record, _) = absent(LIFETIME + 4 * STEP);
    assert_eq!(record.versions, new);
    let (mut table, mut record, almost) = absent(LIFETIME);
    assert_eq!(record.versions, both);
    // Neither an outdated list nor a suspended process shows an absence.
    let mut watch = |from, time, is_current, listed: &ListedSoftware| {
        let end = watch(&mut table, &mut record, from, time, is_current, listed);
        assert_eq!(record.versions, both);
        end
    };
    let outdated = watch(almost, STEP, false, &new);
    let later = watch(outdated, LIFETIME, true, &new);
    let suspended = watch(later + LIFETIME, STEP, true, &new);
    // A version that is listed again stays.
    let again = watch(suspended, LIFETIME, true, &new);
    let listed = watch(again, STEP, true, &both);
    watch(listed, LIFETIME, true, &new);
}

#[test]
fn version_that_returns_as_it_is_retired_stays_in_the_record() {
    let (both, new) = (software(&["1", "2"]), software(&["2"]));
    let start = Instant::now();
    let (mut holder, mut other) = (SoftwareTable::default(), SoftwareTable::default());
    let mut stored = record(&["1", "2"]);
    holder.observe(start, true, &both);
    holder.apply_record(start, &stored, &both);
    let mut removed = false;
    for step in 1..10_000 {
        let now = start + STEP * step;
        holder.observe(now, true, &new);
        // The other instance sees the version again and reads the record just before the append.
        let mut before = stored.clone();
        other.observe(now, true, &both);
        other.apply_record(now, &before, &both);
        let relies = other.unconfirmed(&both).is_empty();
        before = before.updated(&new, &holder.departures(now, LIFETIME), u64::from(step));
        holder.apply_record(now, &before, &new);
        stored = before;
        if stored.versions == new {
            removed = true;
            assert!(
                !relies,
                "begins streams of {both:?}, the record names {new:?}"
            );
            break;
        }
    }
    assert!(removed);
}

#[test]
fn mark_that_another_instance_replaced_removes_no_version() {
    let (both, new) = (software(&["1", "2"]), software(&["2"]));
    let start = Instant::now();
    let (mut table, mut stored) = (SoftwareTable::default(), record(&["1", "2"]));
    table.observe(start, true, &both);
    table.apply_record(start, &stored, &both);
    let almost = watch(&mut table, &mut stored, start, LIFETIME, true, &new);
    let marked = stored.mark("engines", &known_version("1"));
    assert!(marked.is_some());
    // It was listed for a moment that the holder did not see, and another holder marked it again.
    let absent = Departures {
        absent: software(&["1"]),
        ..Departures::default()
    };
    let settled = stored.updated(&both, &Departures::default(), 0);
    stored = settled.updated(&new, &absent, 1000);
    let later = almost + 5 * STEP;
    table.observe(later - 3 * STEP, true, &new);
    table.observe(later, true, &new);
    let departures = table.departures(later, LIFETIME);
    assert!(!departures.retired.is_empty());
    assert_eq!(stored.updated(&new, &departures, 2000).versions, both);
    table.apply_record(later, &stored, &new);
    assert!(table.departures(later, LIFETIME).retired.is_empty());
}

#[test]
fn version_that_only_another_instance_saw_listed_leaves_the_record() {
    let new = software(&["2"]);
    let start = Instant::now();
    let (mut table, mut stored) = (SoftwareTable::default(), record(&["1", "2"]));
    // The holder never sees version 1, but reads the record.
    let time = LIFETIME + 5 * STEP;
    watch(&mut table, &mut stored, start, time, true, &new);
    assert_eq!(stored.versions, new);
}

#[test]
fn unknown_version_equals_no_other() {
    let services = ["engines".into()];
    let version = |versions: &[&str]| recorded_version(&software(versions), &services);
    assert_eq!(
        version(&["1"]),
        RecordedVersion::Only("engines".into(), "1".into())
    );
    assert_eq!(version(&["1", "2"]), RecordedVersion::Several);
    assert_eq!(version(&["1", ""]), RecordedVersion::Several);
    assert_eq!(version(&[""]), RecordedVersion::Unknown);
    assert_eq!(version(&[]), RecordedVersion::Unknown);
    let mut two = software(&["1"]);
    two.insert("other".into(), two["engines"].clone());
    let both = ["engines".into(), "other".into()];
    assert_eq!(recorded_version(&two, &both), RecordedVersion::Several);
    let other = ["other".into()];
    let recorded = recorded_version(&software(&["1"]), &other);
    assert_eq!(recorded, RecordedVersion::Unknown);
    assert_eq!(known_version(&"x".repeat(129)), None);
}

#[test]
fn record_is_decoded_as_it_was_encoded() {
    for texts in [&["1", "2"][..], &[""], &["1", ""], &[]] {
        let listed = software(texts);
        let versions = &listed["engines"];
        assert_eq!(decode_record(&encode_record(versions)), *versions);
        let absent = Departures {
            absent: listed.clone(),
            ..Departures::default()
        };
        let stored = record(texts).updated(&ListedSoftware::default(), &absent, 7);
        let mut decoded = RecordedSoftware::default();
        decoded.insert("engines".into(), &stored.encode("engines"));
        assert_eq!(decoded.versions, stored.versions);
        assert_eq!(decoded.encode("engines"), stored.encode("engines"));
    }
}

// Table of an instance that has read the record in an era, while versions are listed.
fn reader(now: Instant, era: u64, stored: &RecordedSoftware, listed: &[&str]) -> SoftwareTable {
    let mut table = SoftwareTable::default();
    table.observe_era(now, LIFETIME, Some(era));
    table.observe(now, true, &software(listed));
    table.record_read(now, stored, false);
    table.apply_record(now, stored, &software(listed));
    table
}

fn vouched(versions: &[&str], era: u64) -> RecordedSoftware {
    let mut record = record(versions);
    record.vouch(&RecordedSoftware::default(), Some(era), true);
    record
}

#[test]
fn version_that_the_store_lost_is_owed_until_the_record_names_it_again() {
    let start = Instant::now();
    let both = vouched(&["1", "2"], 1);
    let mut table = reader(start, 1, &both, &["2"]);
    assert!(!table.needs_vouching());
    assert!(table.observe_era(start + STEP, LIFETIME, Some(2)));
    assert!(table.needs_vouching());
    assert_eq!(table.unconfirmed(&software(&["2"])), software(&["2"]));
    assert_eq!(table.owed(), &software(&["1", "2"]));
    // The record of the copy is not trusted, and what is known is added to it.
    let copy = vouched(&["1"], 1);
    let now = start + STEP;
    let possible = table.possible_versions(now, LIFETIME, &copy, Some(2));
    assert_eq!(possible, Some(software(&["1", "2"])));
    table.apply_record(now, &copy, &software(&[]));
    assert_eq!(table.owed(), &software(&["2"]));
    table.apply_record(now, &vouched(&["1", "2"], 2), &software(&["2"]));
    assert!(table.owed().is_empty() && !table.needs_vouching());
}

#[test]
fn instance_that_knows_nothing_from_before_a_drill_trusts_no_record_without_a_voucher() {
    let start = Instant::now();
    let copy = vouched(&["1"], 1);
    let mut table = reader(start, 2, &copy, &["1"]);
    let possible = |table: &SoftwareTable, record| {
        table.possible_versions(start + STEP, LIFETIME, record, Some(2))
    };
    assert_eq!(possible(&table, &copy), None);
    assert!(!table.needs_vouching());
    // It does not become a witness by another drill.
    table.observe_era(start + STEP, LIFETIME, Some(3));
    assert!(!table.is_complete());
    // A record that it wrote itself is not trusted by others either.
    let mut own = record(&["1"]);
    own.vouch(&RecordedSoftware::default(), Some(3), false);
    assert!(!own.is_vouched(Some(3)));
    // Streams from before its start can't be resumed any longer.
    table.expire(start + LIFETIME, LIFETIME);
    assert!(table.is_complete());
    let other = vouched(&["1", "2"], 2);
    assert_eq!(
        possible(&reader(start, 2, &copy, &["1"]), &other),
        Some(software(&["1", "2"]))
    );
}

#[test]
fn instance_that_saw_no_current_list_for_long_before_a_drill_is_no_witness() {
    let start = Instant::now();
    for (blind, is_complete) in [(STEP, true), (30 * STEP, false)] {
        let mut table = reader(start, 1, &vouched(&["1"], 1), &["1"]);
        table.observe(start + blind, false, &software(&["1"]));
        table.observe_era(start + blind, LIFETIME, Some(2));
        assert_eq!(table.is_complete(), is_complete, "{blind:?}");
    }
}

#[test]
fn instance_with_an_older_list_does_not_vouch_before_others_had_time_to_add_their_versions() {
    // Another one recorded "2" just before the drill, which this one has not read.
    let start = Instant::now();
    let mut table = reader(start, 1, &vouched(&["1"], 1), &["1"]);
    assert!(table.may_vouch());
    table.observe_era(start + STEP, LIFETIME, Some(2));
    table.apply_record(start + STEP, &vouched(&["1"], 1), &software(&["1"]));
    assert!(table.is_complete() && !table.may_vouch() && !table.needs_vouching());
    table.expire(start + STEP + Duration::from_millis(1900), LIFETIME);
    assert!(!table.may_vouch());
    table.expire(start + STEP + Duration::from_secs(2), LIFETIME);
    assert!(table.may_vouch() && table.needs_vouching());
}
