//! What instances remember of streams: never a version at which the stream may not have begun.

use std::time::{Duration, Instant};

use apricotwell_dispatch::saved_streams::{SavedStreams, encode_batch};
use apricotwell_dispatch::software::{ListedSoftware, known_version};
use apricotwell_dispatch::stream_memory::{StreamMemory, known_stream, remembered_version};
use apricotwell_messages::{StreamAnswer, StreamQuery};

const LIFETIME: Duration = Duration::from_secs(77);
const REQUEST: u64 = 7;
const ATTEMPT: u64 = 8;

fn started(now: Instant, versions: &[&str]) -> StreamMemory {
    let mut record = ListedSoftware::default();
    let versions = versions.iter().map(|text| known_version(text));
    record.insert("engines".into(), versions.collect());
    let mut memory = StreamMemory::default();
    memory.set_baseline(now, &record, vec!["before".into()], true);
    memory
}

fn query(attempt: u64) -> StreamQuery {
    StreamQuery {
        number: 1,
        request: REQUEST,
        attempt,
        services: vec!["engines".to_owned()],
    }
}

fn answer(memory: &StreamMemory, now: Instant, attempt: u64) -> Option<StreamAnswer> {
    memory.answer(now, LIFETIME, &query(attempt))
}

fn save(saved: &mut SavedStreams, now: Instant, key: u64, version: &str) {
    let mut memory = StreamMemory::default();
    memory.record(now, key, known_version(version));
    saved.add(now, &encode_batch(&memory.take_unsaved()));
}

#[test]
fn version_is_known_only_if_no_instance_may_have_begun_another() {
    let now = Instant::now();
    let (mut one, mut other) = (started(now, &[]), started(now, &["1"]));
    let version = |one: &StreamMemory, other: &StreamMemory, now| {
        let answers = [answer(one, now, 0), answer(other, now, 0)];
        remembered_version(&answers).map(|it| it.to_string())
    };
    one.record(now, REQUEST, known_version("1"));
    assert_eq!(version(&one, &other, now).as_deref(), Some("1"));
    // An earlier process of an instance may have begun one at a version of its time.
    let mut newer = started(now, &[]);
    newer.record(now, REQUEST, known_version("2"));
    assert_eq!(version(&newer, &other, now), None);
    let later = now + LIFETIME;
    assert_eq!(version(&newer, &other, later).as_deref(), Some("2"));
    // One that still runs answers for itself.
    let mut joined = started(now, &["1"]);
    joined.observe(now, vec!["before".into()]);
    assert_eq!(version(&newer, &joined, now).as_deref(), Some("2"));
    // Equal requests may have begun streams at both versions.
    other.record(now, REQUEST, known_version("2"));
    assert_eq!(version(&one, &other, now), None);
    assert_eq!(remembered_version(&[answer(&one, now, 0), None]), None);
    assert!(answer(&StreamMemory::default(), now, 0).is_none());
}

#[test]
fn attempt_is_known_though_other_instances_do_not_answer() {
    let now = Instant::now();
    let mut memory = started(now, &["1", "2"]);
    memory.record(now, ATTEMPT, known_version("2"));
    let answers = [None, answer(&memory, now, ATTEMPT)];
    assert_eq!(remembered_version(&answers).as_deref(), Some("2"));
    memory.record(now, ATTEMPT, None);
    let answers = [None, answer(&memory, now, ATTEMPT)];
    assert_eq!(remembered_version(&answers), None);
}

#[test]
fn lost_instance_and_forgotten_streams_make_the_memory_incomplete() {
    let now = Instant::now();
    let mut memory = started(now, &[]);
    memory.record(now, REQUEST, known_version("1"));
    memory.observe(now, vec!["a".into(), "b".into()]);
    assert!(!answer(&memory, now, 0).unwrap().is_incomplete);
    memory.observe(now, vec!["b".into()]);
    assert!(answer(&memory, now, 0).unwrap().is_incomplete);
    assert!(!answer(&memory, now + LIFETIME, 0).unwrap().is_incomplete);
    let mut full = started(now, &[]);
    for key in 0..70_000 {
        full.record(now, key, known_version("1"));
    }
    assert!(answer(&full, now, 0).unwrap().is_incomplete);
    full.expire(now + LIFETIME, LIFETIME);
    let versions = answer(&full, now + LIFETIME, 0).unwrap().versions.unwrap();
    assert!(versions.versions.is_empty());
}

#[test]
fn saved_streams_outlive_the_memory_of_all_instances() {
    let now = Instant::now();
    let restarted = started(now, &["1", "2"]);
    let version = |saved: &SavedStreams, attempt| {
        let answers = [answer(&restarted, now, attempt), None];
        known_stream(&answers, saved, &query(attempt), false).map(|it| it.to_string())
    };
    let mut saved = SavedStreams::default();
    assert_eq!(version(&saved, 0), None);
    save(&mut saved, now, REQUEST, "2");
    assert_eq!(version(&saved, 0).as_deref(), Some("2"));
    // An equal request began a stream at the other version; only the attempt tells them apart.
    save(&mut saved, now, REQUEST, "1");
    save(&mut saved, now, ATTEMPT, "1");
    assert_eq!(version(&saved, 0), None);
    assert_eq!(version(&saved, ATTEMPT).as_deref(), Some("1"));
    save(&mut saved, now, ATTEMPT, "");
    assert_eq!(version(&saved, ATTEMPT), None);
}

#[test]
fn version_of_a_named_attempt_is_not_that_of_an_equal_request() {
    // The instance that began the stream was killed before it saved it; equal requests are known everywhere.
    let now = Instant::now();
    let mut memory = started(now, &[]);
    memory.record(now, REQUEST, known_version("1"));
    let mut saved = SavedStreams::default();
    let answers = |attempt| [answer(&memory, now, attempt)];
    let known =
        |saved: &SavedStreams| known_stream(&answers(ATTEMPT), saved, &query(ATTEMPT), false);
    assert_eq!(known(&saved), None);
    save(&mut saved, now, REQUEST, "1");
    assert_eq!(known(&saved), None);
    let unnamed = known_stream(&answers(0), &saved, &query(0), false);
    assert_eq!(unnamed.as_deref(), Some("1"));
}

#[test]
fn stream_from_before_a_restart_goes_on_at_the_only_version_of_that_time() {
    let now = Instant::now();
    let saved = SavedStreams::default();
    let known = |answers: &[Option<StreamAnswer>]| {
        known_stream(answers, &saved, &query(ATTEMPT), false).map(|it| it.to_string())
    };
    let mut restarted = started(now, &["1"]);
    // An equal request began at the version that came later.
    restarted.record(now, REQUEST, known_version("2"));
    let all = [&restarted, &restarted].map(|it| answer(it, now, ATTEMPT));
    assert_eq!(known(&all).as_deref(), Some("1"));
    // An instance that does not answer may have begun it, or another process at another version.
    assert_eq!(known(&[answer(&restarted, now, ATTEMPT), None]), None);
    let other = started(now, &["1", "2"]);
    let both = [&restarted, &other].map(|it| answer(it, now, ATTEMPT));
    assert_eq!(known(&both), None);
}

#[test]
fn stream_that_another_instance_told_of_outlives_that_instance() {
    let now = Instant::now();
    let mut killed = started(now, &[]);
    let mut told = started(now, &[]);
    for key in [REQUEST, ATTEMPT] {
        killed.record(now, key, known_version("2"));
    }
    told.record_told(now, &encode_batch(&killed.take_unsaved()));
    told.observe(now, vec!["killed".into()]);
    told.observe(now, Vec::new());
    let saved = SavedStreams::default();
    let known = |now| {
        let answers = [answer(&told, now, ATTEMPT), None];
        known_stream(&answers, &saved, &query(ATTEMPT), false).map(|it| it.to_string())
    };
    assert_eq!(known(now).as_deref(), Some("2"));
    // What others told counts for requests as well: an equal one began elsewhere.
    told.record(now, REQUEST, known_version("1"));
    let later = now + LIFETIME;
    let unnamed = |now| known_stream(&[answer(&told, now, 0)], &saved, &query(0), false);
    assert_eq!(unnamed(later), None);
    told.expire(later, LIFETIME);
    let known = answer(&told, later, ATTEMPT).unwrap();
    assert!(known.attempt_versions.unwrap().versions.is_empty());
}

#[test]
fn saved_version_does_not_hide_another_one_that_an_instance_remembers() {
    let now = Instant::now();
    let mut memory = started(now, &[]);
    memory.record(now, REQUEST, known_version("1"));
    let mut saved = SavedStreams::default();
    save(&mut saved, now, REQUEST, "2");
    let answers = [answer(&memory, now, 0)];
    assert_eq!(known_stream(&answers, &saved, &query(0), false), None);
}

#[test]
fn saved_streams_are_forgotten_after_their_lifetime_or_if_there_are_too_many() {
    let now = Instant::now();
    let mut saved = SavedStreams::default();
    save(&mut saved, now, REQUEST, "1");
    save(&mut saved, now + LIFETIME / 2, REQUEST, "1");
    saved.expire(now + LIFETIME, LIFETIME);
    assert_eq!(saved.versions(REQUEST).len(), 1);
    saved.expire(now + LIFETIME * 2, LIFETIME);
    assert!(saved.versions(REQUEST).is_empty());
    for key in 0..300_000 {
        save(&mut saved, now, key, "1");
    }
    assert!(saved.versions(REQUEST).is_empty());
}

#[test]
fn streams_that_could_not_be_saved_are_saved_later() {
    let now = Instant::now();
    let mut memory = StreamMemory::default();
    memory.record(now, 1, known_version("1"));
    let failed = memory.take_unsaved();
    memory.record(now, 2, known_version("1"));
    memory.restore_unsaved(now, failed);
    let keys: Vec<u64> = memory.take_unsaved().iter().map(|it| it.key).collect();
    assert_eq!(keys, [1, 2]);
    assert!(memory.take_unsaved().is_empty());
}

#[test]
fn streams_of_a_lifetime_at_the_target_size_are_remembered() {
    let start = Instant::now();
    let mut memory = started(start, &[]);
    memory.record(start, REQUEST, known_version("1"));
    let streams = 120 * LIFETIME.as_secs();
    for number in 0..streams {
        let now = start + LIFETIME.mul_f64(number as f64 / streams as f64);
        for key in [100 + 2 * number, 101 + 2 * number] {
            memory.record(now, key, known_version("2"));
        }
    }
    let end = start + LIFETIME - Duration::from_millis(1);
    memory.expire(end, LIFETIME);
    let answers = [answer(&memory, end, 0)];
    assert_eq!(remembered_version(&answers).as_deref(), Some("1"));
}

#[test]
fn stream_that_an_overflow_forgot_is_not_taken_for_one_of_another_version() {
    let now = Instant::now();
    let mut memory = started(now, &[]);
    memory.record(now, REQUEST, known_version("1"));
    for key in 100..200_000 {
        memory.record(now, key, known_version("2"));
    }
    // An equal request began at the other version, and only that stream was saved.
    let mut saved = SavedStreams::default();
    save(&mut saved, now, REQUEST, "2");
    let answers = [answer(&memory, now, 0)];
    assert_eq!(known_stream(&answers, &saved, &query(0), false), None);
}

#[test]
fn recent_streams_are_saved_again_after_the_store_lost_them() {
    let now = Instant::now();
    let mut memory = started(now, &[]);
    memory.record(now, 1, known_version("1"));
    let later = now + Duration::from_secs(60);
    memory.record(later, ATTEMPT, known_version("2"));
    assert_eq!(memory.take_unsaved().len(), 2);
    memory.on_reversion(later + Duration::from_secs(5));
    let again: Vec<u64> = memory.take_unsaved().iter().map(|it| it.key).collect();
    assert_eq!(again, [ATTEMPT]);
}

#[test]
fn request_of_a_log_that_lost_records_is_known_only_by_all_instances() {
    let now = Instant::now();
    let mut memory = started(now, &[]);
    memory.record(now, REQUEST, known_version("1"));
    let mut saved = SavedStreams::default();
    save(&mut saved, now, REQUEST, "1");
    let known = |answers: &[Option<StreamAnswer>]| known_stream(answers, &saved, &query(0), true);
    assert_eq!(known(&[answer(&memory, now, 0), None]), None);
    let all = [answer(&memory, now, 0), answer(&memory, now, 0)];
    assert_eq!(known(&all).as_deref(), Some("1"));
}
