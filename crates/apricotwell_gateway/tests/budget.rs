//! Limits on resources that all client requests share.

use apricotwell_gateway::budget::Budget;

#[test]
fn reservations_never_exceed_budget() {
    let budget = Budget::new(10);
    let mut first = budget.try_reserve(4).unwrap();
    assert!(budget.try_reserve(7).is_none());
    assert!(first.grow(6));
    assert!(!first.grow(1));
    assert!(budget.try_reserve(1).is_none());
    drop(first);
    assert!(budget.try_reserve(10).is_some());
}
