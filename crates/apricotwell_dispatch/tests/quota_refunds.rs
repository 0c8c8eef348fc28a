//! Rate limits under refunds that come late and limits that change within a window.

use std::time::{Duration, Instant};

use apricotwell_dispatch::catalog::Organisation;
use apricotwell_dispatch::quota::{QuotaBounds, QuotaTable, ReportingFleet};
use apricotwell_messages::{FleetSpending, OrganisationSpending, Spending};
use apricotwell_types::{InstanceId, Tokens};
use prost::Message;

const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    excess: 0.1,
    slack: 11_000.0,
};
/// Rate and burst of the organisation.
const RATE: Tokens = 20_000;
const COST: Tokens = 1_000;

fn organisation(rate: Tokens) -> Organisation {
    Organisation {
        name: "kitchens".into(),
        priority: None,
        rate,
        burst: rate,
        default_tokens: 200,
    }
}

fn allowed() -> Tokens {
    let limit = RATE as f64 * (BOUNDS.window.as_secs_f64() + 1.0);
    (limit * (1.0 + BOUNDS.excess) + BOUNDS.slack) as Tokens
}

struct Fleet {
    start: Instant,
    tables: Vec<QuotaTable>,
}

impl Fleet {
    fn new(instances: usize) -> Self {
        let start = Instant::now();
        let fleet = ReportingFleet {
            reporting: instances,
            possible: instances,
            timeout: Duration::from_millis(960),
        };
        let table = |_| {
            let mut table = QuotaTable::new(BOUNDS, true);
            table.set_share(start, fleet);
            table
        };
        Self {
            start,
            tables: (0..instances).map(table).collect(),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    // Spends as much as an instance allows, and returns how much that is.
    fn flood(&mut self, ms: u64, instance: usize, organisation: &Organisation) -> Tokens {
        let now = self.at(ms);
        let table = &mut self.tables[instance];
        let mut spent = 0;
        while spent < 10 * allowed() && table.spend(now, organisation, COST).is_ok() {
            spent += COST;
        }
        spent
    }

    // Refunds tokens at a time in requests that were charged at another.
    fn refund(&mut self, ms: u64, charged_ms: u64, instance: usize, tokens: Tokens) {
        let (now, charged_at) = (self.at(ms), self.at(charged_ms));
        let organisation = organisation(RATE);
        for _ in 0..tokens / COST {
            self.tables[instance].refund(now, &organisation, charged_at, COST);
        }
    }

    fn report(&mut self, ms: u64, from: usize, to: usize) {
        let now = self.at(ms);
        let spending = self.tables[from].spending().next().unwrap_or_default();
        self.tables[from].mark_reported(now);
        self.apply(ms, from, to, &spending);
    }

    fn apply(&mut self, ms: u64, from: usize, to: usize, spending: &Spending) {
        let now = self.at(ms);
        let name = InstanceId::from(format!("instance-{from}"));
        self.tables[to].apply_spending(now, &name, 1, &organisation(RATE), spending);
    }

    // Spends as much as an instance allows that reports to the others all the while.
    fn flood_until(&mut self, from_ms: u64, until_ms: u64, instance: usize) -> Tokens {
        let organisation = organisation(RATE);
        let mut spent = 0;
        for ms in (from_ms..until_ms).step_by(20) {
            spent += self.flood(ms, instance, &organisation);
            let now = self.at(ms);
            self.tables[instance].mark_reported(now);
        }
        spent
    }
}

#[test]
fn refund_after_its_charge_has_left_the_window_is_not_spent_again() {
    let mut fleet = Fleet::new(1);
    let organisation = organisation(RATE);
    let charged = fleet.flood(0, 0, &organisation);
    fleet.refund(9_000, 0, 0, charged);
    let spent = fleet.flood(9_000, 0, &organisation);
    assert!(spent <= allowed(), "{spent} of {} tokens", allowed());
}

#[test]
fn refund_within_the_window_is_not_spent_again_once_its_charge_leaves() {
    let mut fleet = Fleet::new(1);
    let organisation = organisation(RATE);
    let charged = fleet.flood(0, 0, &organisation);
    fleet.refund(7_000, 0, 0, charged);
    let before = fleet.flood(7_000, 0, &organisation);
    assert!(before >= RATE * 9, "{before} tokens after the refund");
    let spent = before + fleet.flood(9_000, 0, &organisation);
    assert!(spent <= allowed(), "{spent} of {} tokens", allowed());
}

#[test]
fn refund_of_a_request_from_before_a_higher_limit_does_not_lower_the_limit() {
    let mut fleet = Fleet::new(1);
    let low = organisation(RATE / 10);
    let start = fleet.start;
    assert!(fleet.tables[0].spend(start, &low, COST).is_ok());
    let high = organisation(RATE);
    let charged = fleet.flood(1_000, 0, &high);
    let now = fleet.at(2_000);
    fleet.tables[0].refund(now, &low, start, COST);
    let spent = charged + fleet.flood(2_000, 0, &high);
    assert!(spent <= allowed(), "{spent} of {} tokens", allowed());
}

#[test]
fn negative_spending_saved_by_an_earlier_build_adds_nothing_to_the_limit() {
    let mut fleet = Fleet::new(1);
    let saved = OrganisationSpending {
        organisation: "kitchens".to_owned(),
        buckets: vec![0.0, -180_000.0, 0.0],
    };
    let saved = FleetSpending {
        organisations: vec![saved],
    };
    let start = fleet.start;
    fleet.tables[0].restore(start, &saved);
    let spent = fleet.flood(0, 0, &organisation(RATE));
    assert!(spent <= allowed(), "{spent} of {} tokens", allowed());
}

#[test]
fn reported_refund_is_not_spent_again_once_its_charge_leaves() {
    let mut fleet = Fleet::new(2);
    fleet.report(0, 0, 1);
    let charged = fleet.flood(0, 0, &organisation(RATE));
    fleet.report(0, 0, 1);
    fleet.refund(7_000, 0, 0, charged);
    fleet.report(7_000, 0, 1);
    let spent = fleet.flood_until(7_000, 12_000, 1);
    assert!(spent <= allowed(), "{spent} of {} tokens", allowed());
}

#[test]
fn refund_that_others_hear_of_after_its_charge_has_left_is_not_spent_again() {
    let mut fleet = Fleet::new(2);
    fleet.report(0, 0, 1);
    let charged = fleet.flood(0, 0, &organisation(RATE));
    fleet.report(0, 0, 1);
    fleet.refund(6_000, 0, 0, charged);
    fleet.report(9_000, 0, 1);
    let spent = fleet.flood_until(9_000, 12_000, 1);
    assert!(spent <= allowed(), "{spent} of {} tokens", allowed());
}

#[test]
fn falling_sum_of_an_earlier_build_is_not_spent_again() {
    let mut fleet = Fleet::new(2);
    let report = |tokens| Spending {
        organisation: "kitchens".to_owned(),
        tokens,
        ..Spending::default()
    };
    fleet.apply(0, 0, 1, &report(0));
    fleet.apply(0, 0, 1, &report(160_000));
    fleet.apply(9_000, 0, 1, &report(10_000));
    let before = fleet.flood_until(9_000, 12_000, 1);
    assert!(before <= allowed(), "{before} of {} tokens", allowed());
    fleet.apply(18_000, 0, 1, &report(150_000));
    let spent = 140_000 + fleet.flood_until(18_000, 20_000, 1);
    assert!(spent <= allowed(), "{spent} of {} tokens", allowed());
}

#[test]
fn refund_within_the_window_can_be_spent_at_other_instances() {
    let mut fleet = Fleet::new(2);
    fleet.report(0, 0, 1);
    let charged = fleet.flood(0, 0, &organisation(RATE));
    fleet.report(0, 0, 1);
    fleet.refund(2_000, 0, 0, charged);
    // The first report is lost, and the next one arrives twice.
    fleet.tables[0].mark_reported(fleet.start + Duration::from_millis(2_000));
    fleet.report(2_400, 0, 1);
    fleet.report(2_800, 0, 1);
    let before = fleet.flood_until(2_800, 6_000, 1);
    assert!(before >= charged, "{before} tokens, {charged} refunded");
    let spent = before + fleet.flood_until(6_000, 10_800, 1);
    assert!(spent <= allowed(), "{spent} of {} tokens", allowed());
}

#[test]
fn report_without_refunds_has_no_bytes_for_them() {
    let mut fleet = Fleet::new(1);
    fleet.flood(0, 0, &organisation(RATE));
    let spending = fleet.tables[0].spending().next().unwrap_or_default();
    assert!(spending.tokens > 0 && spending.refunds.is_empty());
}

#[test]
fn report_of_many_refunds_stays_short() {
    let mut fleet = Fleet::new(1);
    let organisation = organisation(RATE);
    for second in 0..7 {
        let now = fleet.at(second * 1_000);
        assert!(fleet.tables[0].spend(now, &organisation, COST).is_ok());
    }
    for second in 0..7 {
        fleet.refund(7_000, second * 1_000, 0, COST);
    }
    let spending = fleet.tables[0].spending().next().unwrap_or_default();
    let bytes: usize = spending.refunds.iter().map(|it| it.encoded_len() + 2).sum();
    assert!(!spending.refunds.is_empty() && bytes <= 40, "{bytes} bytes");
}

#[test]
fn limit_that_falls_and_rises_within_the_window_is_not_spent_twice() {
    let mut fleet = Fleet::new(1);
    let (high, low) = (organisation(RATE), organisation(RATE / 10));
    let before = fleet.flood(0, 0, &high);
    let lowered = fleet.flood(2_000, 0, &low);
    let after = fleet.flood(4_000, 0, &high);
    let spent = before + lowered + after;
    assert!(spent <= allowed(), "{spent} of {} tokens", allowed());
}

#[test]
fn limit_that_falls_and_rises_within_a_bucket_is_not_spent_twice() {
    let mut fleet = Fleet::new(1);
    let (high, low) = (organisation(RATE), organisation(RATE / 10));
    let mut spent = 0;
    for round in 0..4 {
        spent += fleet.flood(round * 100, 0, &high);
        spent += fleet.flood(round * 100 + 50, 0, &low);
    }
    assert!(spent <= allowed(), "{spent} of {} tokens", allowed());
}

#[test]
fn limit_that_is_lifted_for_a_moment_is_not_spent_twice() {
    let mut fleet = Fleet::new(1);
    let high = organisation(RATE);
    let before = fleet.flood(0, 0, &high);
    let now = fleet.at(1_000);
    assert!(fleet.tables[0].spend(now, &organisation(0), COST).is_ok());
    let spent = before + fleet.flood(2_000, 0, &high);
    assert!(spent <= allowed(), "{spent} of {} tokens", allowed());
}

#[test]
fn lower_limit_admits_its_own_tokens_at_once() {
    let mut fleet = Fleet::new(1);
    let (high, low) = (organisation(RATE), organisation(RATE / 10));
    for _ in 0..90 {
        assert!(fleet.tables[0].spend(fleet.start, &high, COST).is_ok());
    }
    let lowered = fleet.flood(1_000, 0, &low);
    assert!(lowered >= RATE / 10 * 4, "{lowered} tokens");
}

#[test]
fn spending_under_a_higher_limit_is_saved_and_reported_in_full() {
    let mut fleet = Fleet::new(1);
    let spent = fleet.flood(0, 0, &organisation(RATE));
    fleet.flood(1_000, 0, &organisation(RATE / 10));
    let now = fleet.at(1_000);
    let saved = fleet.tables[0].snapshot(now);
    let saved: f64 = saved.organisations[0].buckets.iter().sum();
    let reported = fleet.tables[0].spending().next().unwrap_or_default();
    assert!(saved >= spent as f64, "{saved} of {spent} tokens saved");
    assert!(reported.fleet_tokens >= spent, "{reported:?}");
}
