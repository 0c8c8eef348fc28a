//! Orders to one server: lost, late and refused ones, and what counts as held meanwhile.

use std::time::{Duration, Instant};

use apricotwell_dispatch::model::Holdings;
use apricotwell_dispatch::orders::{Operation, OrderReply, ServerOrders, StatusReport};

const BORN: u64 = 7;
const LOAD: Duration = Duration::from_secs(2);
/// Time by which any follow-up of an order has become due.
const LATER: Duration = Duration::from_secs(3);

fn holdings(orders: u64, models: &[(&str, &[&str])]) -> Holdings {
    Holdings {
        orders,
        models: models
            .iter()
            .map(|(name, adapters)| {
                let adapters = adapters.iter().map(|name| (*name).into());
                ((*name).into(), adapters.collect())
            })
            .collect(),
        ..Holdings::default()
    }
}

fn report(busy: bool, holdings: Holdings) -> Option<StatusReport> {
    Some(StatusReport {
        busy,
        holdings,
        incoming: Vec::new(),
    })
}

fn known(now: Instant, holdings: Holdings) -> ServerOrders {
    let mut server = ServerOrders::new(now, BORN);
    assert!(server.take_due_report(now));
    server.apply_report(now, report(false, holdings));
    assert!(server.is_free(now));
    server
}

#[test]
fn nothing_is_ordered_before_the_first_report() {
    let now = Instant::now();
    let mut server = ServerOrders::new(now, BORN);
    assert!(!server.is_free(now));
    assert!(server.take_due_report(now));
    server.apply_report(now, None);
    assert!(!server.is_free(now), "a report that failed tells nothing");
    server.take_due_report(now + LATER);
    server.apply_report(now + LATER, report(true, holdings(1, &[])));
    assert!(!server.is_free(now + LATER), "an order is under way");
}

#[test]
fn an_adapter_keeps_its_place_until_a_report_lacks_it() {
    let now = Instant::now();
    let mut server = known(now, holdings(4, &[("m", &["a1", "a2"])]));
    let unload = Operation::UnloadAdapter("m".into(), "a1".into());
    server.record_sent(now, unload, false);
    server.apply_reply(now, OrderReply::Accepted, Duration::ZERO);
    assert_eq!(server.holdings().unwrap().adapter_count(), 2);
    assert!(server.is_unloading_adapter("m", "a1"));
    let servable = server.servable(now).unwrap();
    assert_eq!(servable.adapters("m").unwrap().len(), 1);
    assert!(server.take_due_report(now + LATER));
    server.apply_report(now + LATER, report(false, holdings(5, &[("m", &["a2"])])));
    assert_eq!(server.holdings().unwrap().adapter_count(), 1);
    assert_eq!(server.unloading_adapters(), 0);
}

#[test]
fn adapters_on_their_way_take_places() {
    let now = Instant::now();
    let mut server = known(now, holdings(4, &[("m", &["a1"])]));
    server.check_listed(now + LATER, &holdings(0, &[]));
    assert!(server.take_due_report(now + LATER));
    let report = StatusReport {
        busy: false,
        holdings: holdings(5, &[("m", &["a1"])]),
        incoming: vec![("m".into(), "a2".into())],
    };
    server.apply_report(now + LATER, Some(report));
    assert_eq!(server.holdings().unwrap().adapter_count(), 2);
}

#[test]
fn an_unused_adapter_is_gone_with_the_answer() {
    let now = Instant::now();
    let mut server = known(now, holdings(4, &[("m", &["a1"])]));
    server.record_sent(
        now,
        Operation::UnloadAdapter("m".into(), "a1".into()),
        false,
    );
    server.apply_reply(now, OrderReply::Holds, Duration::ZERO);
    assert_eq!(server.holdings().unwrap().adapter_count(), 0);
    assert_eq!(server.expected_orders(), 5);
    assert!(server.is_free(now));
}

#[test]
fn a_report_older_than_the_order_does_not_end_it() {
    let now = Instant::now();
    let mut server = known(now, holdings(0, &[]));
    server.check_listed(now + LATER, &holdings(0, &[("other", &[])]));
    let asked = now + LATER;
    assert!(server.take_due_report(asked));
    let sent = asked + Duration::from_millis(5);
    server.record_sent(sent, Operation::LoadModel("m".into()), false);
    let answered = asked + Duration::from_millis(9);
    server.apply_report(answered, report(false, holdings(0, &[])));
    assert!(!server.is_free(answered));
    assert_eq!(server.operation(), Some(&Operation::LoadModel("m".into())));
}

#[test]
fn a_report_with_an_old_count_does_not_end_an_accepted_load() {
    let now = Instant::now();
    let mut server = known(now, holdings(3, &[]));
    server.record_sent(now, Operation::LoadModel("m".into()), false);
    server.apply_reply(now, OrderReply::Accepted, LOAD);
    assert_eq!(server.expected_orders(), 4);
    assert!(server.take_due_report(now + LATER));
    server.apply_report(now + LATER, report(false, holdings(3, &[])));
    assert!(!server.is_free(now + LATER), "reports lag");
    assert!(server.take_due_report(now + LATER * 2));
    server.apply_report(now + LATER * 2, report(false, holdings(4, &[("m", &[])])));
    assert!(server.is_free(now + LATER * 2));
    assert!(server.holdings().unwrap().adapters("m").is_some());
}

#[test]
fn an_order_without_an_answer_is_settled_by_a_report() {
    for (orders, models, loaded) in [(3, &[][..], false), (4, &[("m", &[][..])][..], true)] {
        let now = Instant::now();
        let mut server = known(now, holdings(3, &[]));
        server.record_sent(now, Operation::LoadModel("m".into()), false);
        server.apply_reply(now, OrderReply::Unknown, LOAD);
        assert!(!server.is_free(now), "it may be accepted");
        assert!(server.take_due_report(now + LATER));
        server.apply_report(now + LATER, report(false, holdings(orders, models)));
        assert!(server.is_free(now + LATER));
        assert_eq!(server.expected_orders(), orders);
        assert_eq!(server.holdings().unwrap().adapters("m").is_some(), loaded);
    }
}

#[test]
fn requests_go_out_when_a_load_should_have_ended() {
    let now = Instant::now();
    let mut server = known(now, holdings(0, &[]));
    server.record_sent(now, Operation::LoadModel("m".into()), false);
    assert!(server.servable(now + LOAD).unwrap().adapters("m").is_none());
    server.apply_reply(now, OrderReply::Accepted, LOAD);
    let early = now + LOAD - Duration::from_millis(100);
    assert!(server.servable(early).unwrap().adapters("m").is_none());
    let late = now + LOAD + Duration::from_millis(100);
    assert!(server.servable(late).unwrap().adapters("m").is_some());
}

#[test]
fn an_order_that_meets_an_unload_is_tried_again_soon() {
    let now = Instant::now();
    let mut server = known(now, holdings(0, &[("old", &[])]));
    server.record_sent(now, Operation::UnloadModel("old".into()), false);
    server.apply_reply(now, OrderReply::Accepted, Duration::ZERO);
    assert!(!server.is_free(now), "the unload takes a moment");
    let next = server.next_due().unwrap();
    assert!(next - now < Duration::from_millis(100));
    assert!(server.is_free(next));
    server.record_sent(next, Operation::LoadModel("new".into()), false);
    server.apply_reply(next, OrderReply::Conflict, LOAD);
    let again = server.next_due().unwrap();
    assert!(again - next < Duration::from_millis(100));
    assert!(server.is_free(again));
}

#[test]
fn a_conflict_without_an_unload_asks_the_server() {
    let now = Instant::now();
    let mut server = known(now, holdings(0, &[]));
    server.record_sent(now, Operation::LoadModel("m".into()), false);
    server.apply_reply(now, OrderReply::Conflict, LOAD);
    assert!(!server.is_free(now + LATER));
    assert!(server.take_due_report(now + LATER));
}
