//! What instances tell each other of the store's feeds: complete, and never younger than it is.

use std::time::{Duration, Instant};

use apricotwell_dispatch::backends::BackendEntry;
use apricotwell_dispatch::feeds::{Feed, FeedUpdate, FeedViews, ServerListChange, decode_answer};
use apricotwell_dispatch::model::Inventory;
use apricotwell_messages::FeedQuery;

fn entry(number: u16) -> BackendEntry {
    BackendEntry {
        id: format!("server-{number}").into(),
        service: "engines".into(),
        address: format!("10.0.0.1:{}", 1000 + number).parse().unwrap(),
        zone: "a".into(),
        slots: 12,
        draining: number.is_multiple_of(2),
        remaining: Some(Duration::from_millis(1500)),
        started_ms: 17,
        inventory: Inventory {
            orders: 3,
            models: vec![("m1".into(), vec!["a1".into()])],
            in_memory: vec!["m2".into()],
            on_disk: vec!["m3".into()],
        },
    }
}

fn ask(
    views: &FeedViews,
    now: Instant,
    asked: Instant,
    feed: Feed,
    from: u64,
) -> Option<FeedUpdate> {
    let query = FeedQuery {
        number: 1,
        servers: feed == Feed::Servers,
        from,
    };
    let answer = views.answer(now, &query)?;
    decode_answer(asked, from, &answer)
}

#[test]
fn a_view_is_never_told_younger_than_it_is() {
    let read = Instant::now();
    let mut views = FeedViews::default();
    assert!(ask(&views, read, read, Feed::Configuration, 0).is_none());
    views.record_position(Feed::Configuration, 7, read);
    // The question waits at a suspended machine, and its answer at another one.
    let asked = read + Duration::from_millis(300);
    for late in [0, 40, 9000] {
        let answered = asked + Duration::from_millis(late);
        let told = ask(&views, answered, asked, Feed::Configuration, 7).unwrap();
        assert!(told.confirmed_at.unwrap() <= read, "{late} ms late");
        assert_eq!(told.next, 7);
    }
    // An answer from memory says no more than the first one.
    let soon = ask(&views, asked, asked, Feed::Configuration, 7).unwrap();
    assert!(soon.confirmed_at.unwrap() >= read - Duration::from_millis(2));
}

#[test]
fn a_configuration_that_the_asking_instance_lacks_is_read_in_the_store() {
    let now = Instant::now();
    let mut views = FeedViews::default();
    views.record_position(Feed::Configuration, 7, now);
    assert!(ask(&views, now, now, Feed::Configuration, 6).is_none());
    // One that is ahead learns that nothing came since.
    let told = ask(&views, now, now, Feed::Configuration, 9).unwrap();
    assert_eq!(told.next, 9);
}

#[test]
fn changes_of_the_list_come_complete_and_in_order() {
    let now = Instant::now();
    let mut views = FeedViews::default();
    views.reset_changes(100);
    for number in 0..90 {
        let change = match number {
            40 => ServerListChange::Removed("server-3".into()),
            _ => ServerListChange::Entry(entry(number)),
        };
        views.record_change(101 + u64::from(number) * 2, &change);
    }
    views.record_position(Feed::Servers, 300, now);
    let (mut from, mut seen) = (100, Vec::new());
    loop {
        let told = ask(&views, now, now, Feed::Servers, from).unwrap();
        from = told.next;
        seen.extend(told.changes);
        if told.confirmed_at.is_some() {
            break;
        }
    }
    assert_eq!(from, 300);
    assert_eq!(seen.len(), 90);
    assert_eq!(seen[40], ServerListChange::Removed("server-3".into()));
    assert_eq!(seen[41], ServerListChange::Entry(entry(41)));
    let rest = ask(&views, now, now, Feed::Servers, 277).unwrap();
    assert_eq!(rest.changes, [ServerListChange::Entry(entry(89))]);
}

#[test]
fn what_is_no_longer_kept_is_not_told_in_part() {
    let now = Instant::now();
    let mut views = FeedViews::default();
    views.reset_changes(100);
    for number in 0..5000 {
        views.record_change(101 + number, &ServerListChange::Entry(entry(1)));
    }
    views.record_position(Feed::Servers, 5100, now);
    assert!(ask(&views, now, now, Feed::Servers, 100).is_none());
    assert!(ask(&views, now, now, Feed::Servers, 99).is_none());
    assert!(ask(&views, now, now, Feed::Servers, 5000).is_some());
    // After a whole list nothing from before it is known.
    views.reset_changes(6000);
    views.record_position(Feed::Servers, 6000, now);
    assert!(ask(&views, now, now, Feed::Servers, 5100).is_none());
}
