//! How often requests with one part reach servers, over all orders of crash, retry, heartbeat and
//! verdict.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_messages::CrashKnowledge;
use apricotwell_quarantine::prelude::*;

/// Time after the third end within which requests may still be under way.
const CONTACT_MS: u64 = 3000;
/// Requests with the part that may be sent later, trials included.
const MAX_LATE: usize = 3;
/// Time from sending a request to the end of its server, and from there to the verdict.
const RUN_MS: u64 = 80;
const CHECK_MS: u64 = 60;
/// Time that a heartbeat is under way.
const TRANSIT_MS: u64 = 2;
/// Time for which crashes are reported.
const REPORT_TIME: Duration = Duration::from_secs(10);
const INSTANCES: usize = 2;
/// Pauses between requests of clients: before the verdict, before heartbeats, after them.
const PAUSES_MS: [u64; 3] = [80, 350, 4000];
/// Requests of clients whose instances and pauses are varied.
const REQUESTS: u32 = 5;
const GENERAL: PartId = 1;
const BAD: PartId = 66;
const WHOLE: PartId = 1000;

#[derive(Clone, Debug)]
enum Event {
    End(Sent),
    Verdict(Sent, u64),
    // Sender.
    Send(usize),
    // Receiver.
    Receive(usize, CrashKnowledge),
}

#[derive(Clone, Debug)]
struct Sent {
    instance: usize,
    at: u64,
    server: u64,
    parts: Vec<PartId>,
    is_retry: bool,
    // Whether it goes on after the verdict.
    waits: bool,
}

/// What all sequences of one play share.
#[derive(Clone, Copy, Debug)]
struct Case {
    /// Whether clients repeat one request, or send different ones with one part in common.
    repeats: bool,
    /// Whether answers with the part were complete before.
    was_sound: bool,
    /// Whether requests without the part are answered meanwhile.
    others_answered: bool,
    /// Time from a verdict to the next heartbeat.
    delay_ms: u64,
}

struct World {
    case: Case,
    start: Instant,
    now: u64,
    instances: [SharedQuarantine; INSTANCES],
    pending: BTreeMap<(u64, u64), Event>,
    events: u64,
    sent: Vec<u64>,
    ends: Vec<u64>,
}

impl World {
    fn new(case: Case) -> Self {
        let mut world = Self {
            case,
            start: Instant::now() + Duration::from_secs(3600),
            now: 0,
            instances: Default::default(),
            pending: BTreeMap::new(),
            events: 0,
            sent: Vec::new(),
            ends: Vec::new(),
        };
        if case.was_sound {
            world.answer(&[GENERAL, BAD]);
        }
        world
    }

    fn time(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn answer(&mut self, parts: &[PartId]) {
        let at = self.time(self.now);
        for instance in &mut self.instances {
            instance.quarantine.record_sound(at, parts);
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events += 1;
        self.pending.insert((at, self.events), event);
    }

    fn advance(&mut self, end: u64) {
        while let Some(entry) = self.pending.first_entry()
            && entry.key().0 <= end
        {
            self.now = entry.key().0;
            match entry.remove() {
                Event::End(sent) => self.end(sent),
                Event::Verdict(sent, at) => self.judge(sent, at),
                Event::Send(from) => self.send_heartbeat(from),
                Event::Receive(to, knowledge) => {
                    let now = self.time(self.now);
                    self.instances[to].apply(now, &knowledge);
                }
            }
        }
        self.now = end;
    }

    // Sends a request unless its instance refuses it; only the first instance may try parts again.
    fn send(&mut self, instance: usize, parts: Vec<PartId>, is_retry: bool) {
        let now = self.time(self.now);
        let quarantine = &mut self.instances[instance].quarantine;
        if let Some(part) = quarantine.blocked_part(&parts)
            && (instance != 0 || !quarantine.take_trial(now, part))
        {
            return;
        }
        let server = self.sent.len() as u64;
        self.sent.push(self.now);
        let sent = Sent {
            instance,
            at: self.now,
            server,
            parts,
            is_retry,
            waits: false,
        };
        self.schedule(self.now + RUN_MS, Event::End(sent));
    }

    // Ends a server. Its request goes on at once, unless its parts are suspected.
    fn end(&mut self, mut sent: Sent) {
        self.ends.push(self.now);
        sent.waits = !sent.is_retry && self.next_attempt(&sent) != NextAttempt::Now;
        if !sent.is_retry && !sent.waits {
            self.send(sent.instance, sent.parts.clone(), true);
        }
        self.schedule(self.now + CHECK_MS, Event::Verdict(sent, self.now));
    }

    fn judge(&mut self, sent: Sent, at: u64) {
        let crash = Crash {
            server: format!("server-{}", sent.server).into(),
            started_ms: 1,
            at: self.time(at),
            requests: vec![CrashedRequest {
                parts: sent.parts.clone(),
                sent_at: self.time(sent.at),
                is_retry: sent.is_retry,
            }],
        };
        self.instances[sent.instance].record_own(crash);
        self.schedule(self.now + self.case.delay_ms, Event::Send(sent.instance));
        if sent.waits && self.next_attempt(&sent) != NextAttempt::Never {
            self.send(sent.instance, sent.parts, true);
        }
    }

    fn next_attempt(&self, sent: &Sent) -> NextAttempt {
        let quarantine = &self.instances[sent.instance].quarantine;
        quarantine.next_attempt(&sent.parts)
    }

    fn send_heartbeat(&mut self, from: usize) {
        let now = self.time(self.now);
        let knowledge = self.instances[from].knowledge(now, REPORT_TIME, 32);
        for to in (0..INSTANCES).filter(|to| *to != from) {
            if let Some(knowledge) = &knowledge {
                let event = Event::Receive(to, knowledge.clone());
                self.schedule(self.now + TRANSIT_MS, event);
            }
        }
    }

    fn request(&mut self, instance: usize, pause: u64) {
        self.advance(self.now + pause);
        if self.case.others_answered {
            self.answer(&[GENERAL]);
        }
        let own = if self.case.repeats { 0 } else { self.now };
        self.send(instance, vec![GENERAL, BAD, WHOLE + own], false);
    }

    fn late(&self) -> usize {
        let Some(third) = self.ends.get(2) else {
            return 0;
        };
        let is_late = |at: &&u64| **at > third + CONTACT_MS;
        self.sent.iter().filter(is_late).count()
    }
}

// Plays one sequence of instances and pauses, and then ever rarer requests for a day.
fn play(case: Case, sequence: u32) -> World {
    let choices = INSTANCES * PAUSES_MS.len();
    let mut world = World::new(case);
    let mut rest = sequence as usize;
    for _ in 0..REQUESTS {
        let choice = rest % choices;
        rest /= choices;
        world.request(choice % INSTANCES, PAUSES_MS[choice / INSTANCES]);
    }
    let mut pause = 5000;
    while world.now < 24 * 3600 * 1000 {
        for instance in 0..INSTANCES {
            world.request(instance, pause);
        }
        pause += pause / 4;
    }
    world
}

fn play_all(repeats: bool, was_sound: bool, others_answered: bool) {
    let sequences = (INSTANCES * PAUSES_MS.len()).pow(REQUESTS) as u32;
    for delay_ms in [30, 1700] {
        let case = Case {
            repeats,
            was_sound,
            others_answered,
            delay_ms,
        };
        let plays = (0..sequences).map(|sequence| (sequence, play(case, sequence)));
        let worst = plays.max_by_key(|(_, world)| world.late());
        let (sequence, world) = worst.unwrap();
        assert!(
            world.late() <= MAX_LATE,
            "{case:?}, sequence {sequence}: {} late, sent {:?}, ends {:?}",
            world.late(),
            world.sent,
            world.ends,
        );
    }
}

#[test]
fn repeats_of_one_request_reach_at_most_three_servers_late() {
    for others_answered in [false, true] {
        play_all(true, false, others_answered);
    }
}

#[test]
fn requests_with_one_part_reach_at_most_three_servers_late() {
    for others_answered in [false, true] {
        play_all(false, false, others_answered);
    }
}

#[test]
fn requests_with_a_part_that_was_sound_before_reach_at_most_three_servers_late() {
    for repeats in [false, true] {
        play_all(repeats, true, true);
    }
    play_all(true, true, false);
}

#[test]
fn sound_part_that_starts_to_end_servers_while_nothing_is_answered_reaches_three_late() {
    play_all(false, true, false);
}
