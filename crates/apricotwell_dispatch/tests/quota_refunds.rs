//! Rate limits under refunds that come late and limits that change within a window.

use std::time::{Duration, Instant};

use apricotwell_dispatch::catalog::Organisation;
use apricotwell_dispatch::quota::{QuotaBounds, QuotaTable, ReportingFleet};
use apricotwell_messages::{FleetSpending, OrganisationSpending};
use apricotwell_types::{InstanceId, Tokens};

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
        let spending = self.tables[from].spending().next();
        let (spent, fleet) = spending.map_or((0, 0), |(_, spent, fleet)| (spent, fleet));
        let name = InstanceId::from(format!("instance-{from}"));
        self.tables[from].mark_reported(now);
        self.tables[to].apply_spending(now, &name, 1, &organisation(RATE), spent, fleet);
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
