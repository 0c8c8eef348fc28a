//! What fails while this process stands still says nothing of the store.

use std::time::{Duration, Instant};

use apricotwell_dispatch::feeds::{Feed, FeedViews};
use apricotwell_dispatch::freshness::ChangeBounds;
use apricotwell_dispatch::standstills::BEAT_INTERVAL;

/// Time within which changes of both feeds must be in force.
const BOUND: Duration = Duration::from_secs(3);
/// Time for which a process must not be scheduled to have stood still.
const STANDSTILL: Duration = Duration::from_millis(300);
/// Time after which a read without an answer fails.
const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// Process that reads the store at each beat.
struct Process {
    now: Instant,
    views: FeedViews,
}

impl Process {
    // Returns a process that the store has answered for long.
    fn start() -> Self {
        let bounds = ChangeBounds {
            configuration: BOUND,
            servers: BOUND,
        };
        let mut process = Self {
            now: Instant::now(),
            views: FeedViews::new(bounds),
        };
        process.run(BOUND * 3, true);
        process
    }

    fn run(&mut self, time: Duration, is_answered: bool) {
        let end = self.now + time;
        while self.now < end {
            self.views.standstills.record_beat(self.now);
            if is_answered {
                self.answer();
            }
            self.now += BEAT_INTERVAL;
        }
    }

    fn answer(&mut self) {
        self.views.contact.record_answer(self.now);
        self.views.record_seen(self.now, self.now);
        self.views.record_position(Feed::Servers, 1, self.now);
    }

    fn stand_still(&mut self, time: Duration) {
        self.now += time;
    }

    fn fail_since(&mut self, start: Instant) {
        self.views.record_failure(self.now, start);
    }

    fn is_overdue(&self) -> bool {
        self.views.is_overdue(self.now, Feed::Servers)
    }

    fn is_kept(&self) -> bool {
        let grace = self.views.outages.removal_grace(self.now, "server");
        grace.is_some()
    }
}

#[test]
fn calls_that_failed_in_a_standstill_count_as_silence_of_the_store() {
    for calls in 1..5 {
        for beat_after in 0..=calls {
            let mut process = Process::start();
            let start = process.now;
            process.stand_still(BOUND);
            for call in 0..calls {
                if call == beat_after {
                    process.run(BEAT_INTERVAL, false);
                }
                process.fail_since(start);
            }
            assert!(process.is_overdue(), "{calls} calls, beat {beat_after}");
        }
    }
}

#[test]
fn store_that_is_silent_before_and_after_a_standstill_is_never_noticed() {
    for standstill in [STANDSTILL, BOUND] {
        let mut process = Process::start();
        let start = process.now;
        process.stand_still(standstill);
        process.fail_since(start);
        for _ in 0..2 {
            let start = process.now;
            process.run(READ_TIMEOUT, false);
            process.fail_since(start);
        }
        process.run(BOUND, false);
        assert!(!process.is_overdue(), "{standstill:?}");
    }
}

#[test]
fn silent_store_is_never_noticed_by_a_process_that_stands_still_again_and_again() {
    let mut process = Process::start();
    for _ in 0..3 {
        let start = process.now;
        process.run(BEAT_INTERVAL, false);
        process.stand_still(READ_TIMEOUT);
        process.fail_since(start);
        process.fail_since(start);
    }
    process.run(BOUND, false);
    assert!(!process.is_overdue());
}

#[test]
fn removal_after_a_standstill_counts_as_a_lapse() {
    let mut standstill = STANDSTILL;
    while standstill < BOUND * 3 {
        let mut process = Process::start();
        process.stand_still(standstill);
        process.answer();
        assert!(!process.is_kept(), "{standstill:?}");
        standstill += BEAT_INTERVAL;
    }
}

#[test]
fn lapse_in_an_outage_with_a_standstill_in_it_is_not_kept() {
    for before in [0, 500, 1500] {
        let mut process = Process::start();
        process.run(Duration::from_millis(before), false);
        process.stand_still(STANDSTILL);
        process.run(Duration::from_millis(1800 - before), false);
        process.answer();
        assert!(process.is_kept(), "{before} ms before the standstill");
    }
}

#[test]
fn short_delays_of_beats_hide_an_outage() {
    let mut process = Process::start();
    for _ in 0..7 {
        process.stand_still(STANDSTILL - BEAT_INTERVAL * 2);
        process.run(BEAT_INTERVAL, false);
    }
    process.answer();
    assert!(process.is_kept());
}
