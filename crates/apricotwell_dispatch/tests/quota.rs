//! Rates over the fleet, with several instances that hear each other late or not at all.

use std::time::{Duration, Instant};

use apricotwell_dispatch::catalog::Organisation;
use apricotwell_dispatch::quota::{QuotaBounds, QuotaTable};
use apricotwell_types::{InstanceId, Tokens};
use proptest::prelude::*;

const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    excess: 0.1,
    slack: 11_000.0,
};
const INSTANCES: usize = 9;
const STEP: Duration = Duration::from_millis(20);
/// Steps until an instance that starts has heard the others.
const FIRST_HEARD_STEP: u64 = 10;
/// Steps between two heartbeats.
const HEARTBEAT_STEPS: u64 = 20;

fn organisation(rate: Tokens, burst: Tokens) -> Organisation {
    Organisation {
        name: "kitchens".into(),
        priority: None,
        rate,
        burst,
        plain_tokens: 200,
    }
}

struct Fleet {
    start: Instant,
    organisation: Organisation,
    tables: Vec<QuotaTable>,
    spent: Vec<(Duration, Tokens)>,
    // Time that was played before.
    skip: Duration,
    // Instance that has not heard the others yet.
    starting: Option<usize>,
}

impl Fleet {
    fn new(organisation: Organisation) -> Self {
        Self::with_instances(INSTANCES, organisation)
    }

    fn with_instances(instances: usize, organisation: Organisation) -> Self {
        let table = |index: usize| {
            // Hashes of ids, as even as chance.
            let phase = (index as f64 * 0.618).fract();
            let mut table = QuotaTable::new(BOUNDS, true).with_phase(phase);
            table.set_share(instances, instances);
            table
        };
        Self {
            start: Instant::now(),
            organisation,
            tables: (0..instances).map(table).collect(),
            spent: Vec::new(),
            skip: Duration::ZERO,
            starting: None,
        }
    }

    fn ask(&mut self, at: Duration, instance: usize, tokens: Tokens) -> bool {
        let now = self.start + at;
        let allowed = self.tables[instance]
            .spend(now, &self.organisation, tokens)
            .is_ok();
        if allowed {
            self.spent.push((at, tokens));
        }
        allowed
    }

    fn is_tight(&mut self, at: Duration, instance: usize) -> bool {
        self.tables[instance].is_near_limit(self.start + at, &self.organisation)
    }

    fn tell(&mut self, at: Duration, from: usize) {
        let told: Vec<(Tokens, Tokens)> = self.tables[from]
            .spending()
            .map(|(_, spent, fleet)| (spent, fleet))
            .collect();
        let (spent, fleet) = told.first().copied().unwrap_or_default();
        let name: InstanceId = format!("instance-{from}").into();
        let now = self.start + at;
        self.tables[from].mark_reported(now);
        for to in (0..self.tables.len()).filter(|to| *to != from) {
            self.tables[to].apply_spending(now, &name, 1, &self.organisation, spent, fleet);
        }
    }

    fn most_in_a_window(&self) -> Tokens {
        let in_window = |from: Duration| {
            let until = from + BOUNDS.window;
            let spent = self.spent.iter();
            spent
                .filter(|(at, _)| *at >= from && *at < until)
                .map(|(_, tokens)| tokens)
                .sum()
        };
        self.spent
            .iter()
            .map(|(at, _)| in_window(*at))
            .max()
            .unwrap_or_default()
    }

    fn allowed(&self) -> f64 {
        let rate = self.organisation.rate as f64 * BOUNDS.window.as_secs_f64();
        let limit = rate + self.organisation.burst as f64;
        limit * (1.0 + BOUNDS.excess) + BOUNDS.slack
    }
}

/// Plays `seconds` of demand at `load` times the rate; returns the share that was admitted.
fn play(fleet: &mut Fleet, seconds: u64, load: f64, seed: u64) -> f64 {
    let steps = seconds * 1000 / STEP.as_millis() as u64;
    let cost = 1600.0;
    let per_step = fleet.organisation.rate as f64 * load * STEP.as_secs_f64() / cost;
    let (mut asked, mut admitted, mut due) = (0, 0, 0.0);
    let mut random = seed | 1;
    for step in 0..steps {
        let at = fleet.skip + STEP * step as u32;
        due += per_step;
        while due >= 1.0 {
            due -= 1.0;
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            let instance = (random >> 33) as usize % INSTANCES;
            let tokens = 200 + (random >> 40) % 2800;
            asked += 1;
            admitted += u64::from(fleet.ask(at, instance, tokens));
            if fleet.is_tight(at, instance) {
                fleet.tell(at, instance);
            }
        }
        if step == FIRST_HEARD_STEP
            && let Some(started) = fleet.starting.take()
        {
            (0..INSTANCES).for_each(|from| fleet.tell(at, from));
            fleet.tables[started].set_share(INSTANCES, INSTANCES);
        }
        if step % HEARTBEAT_STEPS == 0 && fleet.starting.is_none() {
            (0..INSTANCES).for_each(|from| fleet.tell(at, from));
        }
    }
    admitted as f64 / asked.max(1) as f64
}

/// Instances of a large fleet, and their heartbeats.
const MANY: usize = 80;
const MANY_HEARTBEAT_STEPS: u64 = 48;
const MANY_LEAST_STEPS: u64 = 16;

/// Plays a flood in a large fleet, whose callers come back once when they are told to; returns the
/// share of requests that was admitted in the end.
fn play_returning(fleet: &mut Fleet, seconds: u64, load: f64, seed: u64) -> f64 {
    let (begin, end) = (50, 550);
    let per_step = fleet.organisation.rate as f64 * STEP.as_secs_f64() / 1600.0;
    let mut random = seed | 1;
    let mut draw = move |limit: u64| {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (random >> 33) % limit
    };
    let mut back: Vec<(Duration, Tokens)> = Vec::new();
    let mut told = vec![0; MANY];
    let (mut due, mut asked, mut admitted) = (0.0, 0, 0);
    for step in 0..seconds * 50 {
        let at = STEP * step as u32;
        let floods = (begin..end).contains(&step);
        due += per_step * if floods { load } else { 0.6 };
        let mut requests: Vec<(Tokens, bool)> = Vec::new();
        while due >= 1.0 {
            due -= 1.0;
            asked += 1;
            requests.push((200 + draw(2800), true));
        }
        back.retain(|(when, tokens)| {
            let returns = *when <= at;
            if returns {
                requests.push((*tokens, false));
            }
            !returns
        });
        for (tokens, is_first) in requests {
            let instance = draw(MANY as u64) as usize;
            let now = fleet.start + at;
            let organisation = fleet.organisation.clone();
            match fleet.tables[instance].spend(now, &organisation, tokens) {
                Ok(()) => {
                    admitted += 1;
                    fleet.spent.push((at, tokens));
                }
                Err(shortage) if is_first => back.push((at + shortage.retry_after, tokens)),
                Err(_) => {}
            }
        }
        for (instance, told) in told.iter_mut().enumerate() {
            let since = step - *told;
            let tight = since >= MANY_LEAST_STEPS && fleet.is_tight(at, instance);
            if tight || since >= MANY_HEARTBEAT_STEPS {
                fleet.tell(at, instance);
                *told = step;
            }
        }
    }
    admitted as f64 / asked as f64
}

#[test]
fn callers_who_come_back_to_a_large_fleet_don_t_exceed_the_rate() {
    for rate in [2_700, 12_000, 40_000, 97_246] {
        for (load, seed) in [
            (2.0, 5),
            (2.5, 1),
            (3.0, 2),
            (4.5, 10),
            (4.5, 16),
            (6.0, 6),
            (8.0, 16),
        ] {
            let mut fleet = Fleet::with_instances(MANY, organisation(rate, rate));
            let share = play_returning(&mut fleet, 24, load, seed);
            let (most, allowed) = (fleet.most_in_a_window() as f64, fleet.allowed());
            assert!(most <= allowed, "{most} of {allowed} at {load} of {rate}");
            // What the rate allows is served.
            assert!(share > 1.4 / load, "{share} at {load} of {rate}");
        }
    }
}

#[test]
fn a_large_fleet_refuses_hardly_anything_within_the_rate() {
    for rate in [2_700, 12_000, 40_000, 97_246] {
        let mut fleet = Fleet::with_instances(MANY, organisation(rate, rate));
        let share = play_returning(&mut fleet, 24, 0.75, 5);
        assert!(share > 0.995, "{share} of {rate}");
    }
}

#[test]
fn nothing_is_refused_within_the_rate() {
    for rate in [2_600, 8_669, 28_246] {
        let mut fleet = Fleet::new(organisation(rate, rate));
        let share = play(&mut fleet, 20, 0.6, 11);
        assert!(share == 1.0, "{share} of the requests at rate {rate}");
    }
}

#[test]
fn a_flood_stays_within_the_allowed_excess() {
    for (rate, load) in [(2_600, 8.0), (8_669, 7.5), (28_246, 5.0)] {
        for seed in 1..=10 {
            let mut fleet = Fleet::new(organisation(rate, rate));
            play(&mut fleet, 24, load, seed);
            let most = fleet.most_in_a_window() as f64;
            assert!(most <= fleet.allowed(), "{most} of {}", fleet.allowed());
        }
    }
}

#[test]
fn instances_that_hear_nobody_use_their_part_only() {
    let mut fleet = Fleet::new(organisation(10_000, 10_000));
    for table in &mut fleet.tables {
        table.set_share(1, INSTANCES);
    }
    for step in 0..1000 {
        for instance in 0..INSTANCES {
            fleet.ask(STEP * step, instance, 500);
        }
    }
    assert!(fleet.most_in_a_window() as f64 <= fleet.allowed());
}

#[test]
fn a_lower_limit_lets_some_through_at_once() {
    let start = Instant::now();
    let mut table = QuotaTable::new(BOUNDS, true);
    let high = organisation(20_000, 20_000);
    assert!(table.spend(start, &high, 90_000).is_ok());
    let low = organisation(5_000, 5_000);
    let now = start + Duration::from_millis(100);
    assert!(table.spend(now, &low, 2_000).is_ok());
}

#[test]
fn a_fleet_that_restarts_at_once_does_not_spend_its_limit_twice() {
    for seed in 1..=10 {
        let mut fleet = Fleet::new(organisation(20_000, 20_000));
        play(&mut fleet, 12, 7.0, seed);
        let killed = Duration::from_secs(12);
        let kept = fleet.tables[0].snapshot(fleet.start + killed);
        let back = killed + Duration::from_millis(700);
        for table in &mut fleet.tables {
            *table = QuotaTable::new(BOUNDS, false);
            table.restore(fleet.start + back, &kept);
        }
        fleet.skip = back;
        play(&mut fleet, 8, 7.0, seed);
        let most = fleet.most_in_a_window() as f64;
        assert!(most <= fleet.allowed(), "{most} of {}", fleet.allowed());
    }
}

#[test]
fn an_instance_that_starts_among_others_refuses_nothing_within_the_rate() {
    let mut fleet = Fleet::new(organisation(10_000, 10_000));
    assert_eq!(play(&mut fleet, 10, 0.6, 3), 1.0);
    let at = Duration::from_secs(10);
    let kept = fleet.tables[0].snapshot(fleet.start + at);
    fleet.tables[4] = QuotaTable::new(BOUNDS, false);
    fleet.tables[4].restore(fleet.start + at, &kept);
    fleet.skip = at;
    assert_eq!(play(&mut fleet, 10, 0.6, 4), 1.0);
}

#[test]
fn an_instance_that_starts_in_a_flood_learns_what_the_others_spent() {
    for seed in 1..=10 {
        let mut fleet = Fleet::new(organisation(12_000, 12_000));
        play(&mut fleet, 4, 0.6, seed);
        // What the store kept is from before the flood.
        let kept = fleet.tables[0].snapshot(fleet.start + Duration::from_secs(4));
        fleet.skip = Duration::from_secs(4);
        play(&mut fleet, 3, 7.5, seed);
        let at = Duration::from_secs(7);
        fleet.tables[4] = QuotaTable::new(BOUNDS, false);
        fleet.tables[4].restore(fleet.start + at, &kept);
        // Until it hears the others it uses its part only.
        fleet.tables[4].set_share(1, INSTANCES);
        fleet.starting = Some(4);
        fleet.skip = at;
        play(&mut fleet, 8, 7.5, seed + 1);
        let most = fleet.most_in_a_window() as f64;
        assert!(most <= fleet.allowed(), "{most} of {}", fleet.allowed());
    }
}

#[test]
fn an_instance_that_has_heard_nobody_yet_serves_its_part_of_what_is_left() {
    let now = Instant::now();
    let organisation = organisation(10_000, 10_000);
    let mut before = QuotaTable::new(BOUNDS, true);
    assert!(before.spend(now, &organisation, 45_000).is_ok());
    let mut table = QuotaTable::new(BOUNDS, false);
    table.restore(now, &before.snapshot(now));
    table.set_share(1, INSTANCES);
    assert!(table.spend(now, &organisation, 4_000).is_ok());
    assert!(table.spend(now, &organisation, 9_000).is_err());
}

#[test]
fn a_refund_can_be_spent_again() {
    let now = Instant::now();
    let organisation = organisation(1_000, 1_000);
    let mut table = QuotaTable::new(BOUNDS, true);
    while table.spend(now, &organisation, 1_000).is_ok() {}
    table.refund(now, &organisation, 1_000);
    assert!(table.spend(now, &organisation, 1_000).is_ok());
}

#[test]
fn a_restarted_instance_takes_the_window_as_spent() {
    let now = Instant::now();
    let organisation = organisation(10_000, 10_000);
    let mut table = QuotaTable::new(BOUNDS, false);
    let shortage = table.spend(now, &organisation, 30_000).unwrap_err();
    assert!(shortage.retry_after > Duration::ZERO && shortage.retry_after < BOUNDS.window);
    let later = now + shortage.retry_after + BOUNDS.window / 16;
    assert!(table.spend(later, &organisation, 30_000).is_ok());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Late, repeated and reordered heartbeats of one instance never make tokens.
    #[test]
    fn heartbeats_never_make_tokens(order in proptest::collection::vec(0usize..6, 1..24)) {
        let now = Instant::now();
        let organisation = organisation(1_000, 1_000);
        let sums = [0, 500, 900, 900, 2_500, 4_000];
        let mut table = QuotaTable::new(BOUNDS, true);
        let name: InstanceId = "other".into();
        table.apply_spending(now, &name, 1, &organisation, 0, 0);
        for index in &order {
            table.apply_spending(now, &name, 1, &organisation, sums[*index], 0);
        }
        let last = order.last().map_or(0, |index| sums[*index]);
        let mut spent = 0;
        while table.spend(now, &organisation, 100).is_ok() {
            spent += 100;
        }
        let limit = (9_000.0 + 0.4 * (900.0 + 11_000.0)) as u64;
        prop_assert!(spent + last <= limit + 100);
    }
}

#[test]
fn an_instance_that_has_yet_to_hear_others_asks_callers_to_come_back_soon() {
    let now = Instant::now();
    let organisation = organisation(8_669, 8_669);
    let mut table = QuotaTable::new(BOUNDS, true).with_phase(0.9);
    table.set_share(1, MANY);
    for number in 0..50 {
        let at = now + Duration::from_millis(number * 20);
        let shortage = table.spend(at, &organisation, 5000).unwrap_err();
        assert!(
            shortage.retry_after < Duration::from_millis(1500),
            "{shortage:?}"
        );
    }
}
