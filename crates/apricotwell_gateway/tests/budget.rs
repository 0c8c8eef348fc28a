//! Bounds on what all callers together may take.

use apricotwell_gateway::budget::Budget;

#[test]
fn no_more_is_in_use_than_the_budget_has() {
    let budget = Budget::new(10);
    let mut first = budget.take(4).unwrap();
    assert!(budget.take(7).is_none());
    assert!(first.grow(6));
    assert!(!first.grow(1));
    assert!(budget.take(1).is_none());
    drop(first);
    assert!(budget.take(10).is_some());
}
