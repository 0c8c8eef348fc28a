//! Parts of requests that crash servers, recognised by a whole fleet in virtual time.

use std::time::Duration;

use crate::simulation::{Faults, Fleet};
use apricotwell_quarantine::prelude::PartId;

/// Time after the third crash within which requests with the part may still be under way.
const CONTACT: Duration = Duration::from_secs(3);
/// Requests with the part that may be sent later, trials included.
const MAX_LATE: usize = 3;
/// Trials of one part.
const MAX_TRIALS: usize = 2;
const GENERAL: PartId = 1;
const SOUND: PartId = 2;
const BAD: PartId = 66;

/// Time from sending a request to the end of its server, after which its instance sends it again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

// Ends of servers under one part.
#[derive(Clone, Copy, Debug, Default)]
struct Ends {
    count: usize,
    since_third: Duration,
    late: usize,
}

impl Ends {
    fn record(&mut self) {
        self.count += 1;
        self.late += usize::from(self.since_third > CONTACT);
    }

    fn pass(&mut self, time: Duration) {
        if self.count >= 3 {
            self.since_third += time;
        }
    }
}

// Requests with a bad part come at any instance, one each `pause`, and each crashes a server if it is
// sent, and another one when its instance sends it again. Returns the most that were sent with one
// part later than allowed.
fn play(instances: usize, pause: Duration, parts: &[PartId], faults: Faults) -> (Fleet, usize) {
    let mut fleet = Fleet::new(instances, &[], faults);
    fleet.pass(Duration::from_secs(12));
    let mut ends = vec![Ends::default(); parts.len()];
    for number in 0..200 {
        let index = (number * 131) % fleet.len();
        let turn = number % parts.len();
        let request = [GENERAL, parts[turn], 1000 + number as u64];
        for attempt in 0..2 {
            if fleet.refuses(index, &request) {
                break;
            }
            ends[turn].record();
            fleet.crash(index, &format!("server-{number}-{attempt}"), &request);
            fleet.pass(RETRY_PAUSE);
            ends.iter_mut().for_each(|it| it.pass(RETRY_PAUSE));
        }
        // Sound requests that share all but that part are answered elsewhere.
        let other = (number * 37 + 5) % fleet.len();
        fleet.answer(other, &[GENERAL, SOUND, 5000 + number as u64]);
        fleet.pass(pause);
        ends.iter_mut().for_each(|it| it.pass(pause));
    }
    let late = ends.iter().map(|it| it.late).max();
    (fleet, late.unwrap_or(0))
}

// Every instance knows the parts. Only one of them may let requests through as trials before it
// refuses; how many is checked by the tests of the quarantine.
fn assert_told(fleet: &mut Fleet, parts: &[PartId]) {
    for part in parts {
        let mut trying = 0;
        for index in 0..fleet.len() {
            let mut asked = 0;
            while !fleet.refuses(index, &[GENERAL, *part, 2]) {
                asked += 1;
                assert!(asked <= MAX_TRIALS, "{part} at {index}");
            }
            trying += usize::from(asked > 0);
        }
        assert!(trying <= 1, "{part}: {trying} instances try it");
    }
    for index in 0..fleet.len() {
        assert!(
            !fleet.refuses(index, &[GENERAL, SOUND, 1]),
            "sound at {index}"
        );
    }
}

#[test]
fn part_that_crashes_servers_is_refused_everywhere_in_time() {
    for instances in [9, 410] {
        for ms in [100, 700] {
            let pause = Duration::from_millis(ms);
            let (mut fleet, late) = play(instances, pause, &[BAD], Faults::default());
            assert!(
                late <= MAX_LATE,
                "{instances} instances, {ms} ms: {late} late"
            );
            assert_told(&mut fleet, &[BAD]);
        }
    }
}

#[test]
fn several_parts_at_once_are_refused_and_sound_requests_are_not() {
    let parts = [BAD, BAD + 1, BAD + 2];
    for instances in [9, 410] {
        let pause = Duration::from_millis(400);
        let (mut fleet, late) = play(instances, pause, &parts, Faults::default());
        assert!(late <= MAX_LATE, "{instances} instances: {late} late");
        assert_told(&mut fleet, &parts);
    }
}

#[test]
fn part_is_refused_in_time_with_lost_and_late_heartbeats() {
    for instances in [9, 410] {
        let faults = Faults {
            loss: 0.3,
            delay: Duration::from_millis(300),
            ..Faults::default()
        };
        let pause = Duration::from_millis(400);
        let (mut fleet, late) = play(instances, pause, &[BAD], faults);
        assert!(late <= MAX_LATE, "{instances} instances: {late} late");
        assert_told(&mut fleet, &[BAD]);
    }
}

#[test]
fn instances_that_restart_one_after_the_other_do_not_forget_a_part() {
    let pause = Duration::from_millis(400);
    let (mut fleet, _) = play(9, pause, &[BAD], Faults::default());
    for index in 0..9 {
        fleet.restart(index);
        fleet.pass(Duration::from_secs(2));
        assert!(fleet.refuses(index, &[GENERAL, BAD, 3]), "instance {index}");
    }
    assert_told(&mut fleet, &[BAD]);
}

#[test]
fn instance_that_is_cut_off_learns_a_part_when_the_cut_heals() {
    let faults = Faults {
        parts: 2,
        cut: Some(Duration::from_secs(2)..Duration::from_secs(60)),
        ..Faults::default()
    };
    let (mut fleet, _) = play(9, Duration::from_millis(300), &[BAD], faults);
    fleet.pass(Duration::from_secs(3));
    assert_told(&mut fleet, &[BAD]);
}
