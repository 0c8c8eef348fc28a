//! Fairness between organisations while one of them floods the queue, in simulated time.

use std::time::{Duration, Instant};

use apricotwell_admission::{FairQueue, QueueFull, QueuedRequest};
use apricotwell_types::WorkClass;

const SERVICE_TIME: Duration = Duration::from_millis(10);
const SLOTS: usize = 4;

fn entry(now: Instant, request: u64, org: &str, class: WorkClass) -> QueuedRequest {
    QueuedRequest {
        request,
        org: org.into(),
        model: "m".into(),
        class,
        deadline: now + Duration::from_secs(60),
        cost: 100,
    }
}

// Simulates arrivals for 60 s and returns the 99th percentile of the waits of organisation `calm`.
fn calm_p99_wait(flood_per_second: u64) -> Duration {
    let start = Instant::now();
    let mut queue = FairQueue::new(1_000_000);
    let mut free: Vec<Instant> = vec![start; SLOTS];
    let mut waits = Vec::new();
    for milli in 0..60_000 {
        let now = start + Duration::from_millis(milli);
        if milli % 20 == 0 {
            let calm = entry(now, milli * 10, "calm", WorkClass::SoftDeadline);
            queue.push(calm, 1, 10_000).unwrap();
        }
        for index in 0..flood_per_second / 1000 {
            let flood = entry(
                now,
                milli * 10 + 1 + index,
                "flood",
                WorkClass::NonIdempotent,
            );
            let _ = queue.push(flood, 1, 500);
        }
        for slot in &mut free {
            if *slot <= now
                && let Some(next) = queue.pop(|_| true)
            {
                *slot = now + SERVICE_TIME;
                if &*next.org == "calm" {
                    waits.push(now + Duration::from_secs(60) - next.deadline);
                }
            }
        }
    }
    waits.sort_unstable();
    waits[waits.len() * 99 / 100]
}

#[test]
fn a_flood_delays_other_organisations_by_at_most_one_service_time() {
    // Ten times the capacity of the servers, in the most urgent class.
    let alone = calm_p99_wait(0);
    let flooded = calm_p99_wait(4_000);
    // A request has to wait for a free slot. The flood must not delay it any further.
    assert!(
        flooded <= alone + SERVICE_TIME,
        "alone {alone:?}, flooded {flooded:?}"
    );
}

#[test]
fn urgent_classes_and_deadlines_come_first_within_an_organisation() {
    let now = Instant::now();
    let mut queue = FairQueue::new(10);
    let classes = [
        (1, WorkClass::SoftDeadline),
        (2, WorkClass::HardDeadline),
        (3, WorkClass::NonIdempotent),
    ];
    for (request, class) in classes {
        queue.push(entry(now, request, "o", class), 1, 10).unwrap();
    }
    let mut soon = entry(now, 4, "o", WorkClass::HardDeadline);
    soon.deadline = now + Duration::from_secs(1);
    queue.push(soon, 1, 10).unwrap();
    let order: Vec<u64> = std::iter::from_fn(|| queue.pop(|_| true))
        .map(|next| next.request)
        .collect();
    assert_eq!(order, [3, 4, 2, 1]);
}

#[test]
fn limits_hold_and_expired_requests_are_removed() {
    let now = Instant::now();
    let mut queue = FairQueue::new(3);
    let class = WorkClass::SoftDeadline;
    queue.push(entry(now, 1, "o", class), 1, 2).unwrap();
    queue.push(entry(now, 2, "o", class), 1, 2).unwrap();
    assert_eq!(
        queue.push(entry(now, 3, "o", class), 1, 2),
        Err(QueueFull::Organisation)
    );
    queue.push(entry(now, 4, "p", class), 1, 2).unwrap();
    assert_eq!(
        queue.push(entry(now, 5, "q", class), 1, 2),
        Err(QueueFull::Instance)
    );
    let expired: Vec<u64> = queue
        .remove_expired(now + Duration::from_secs(60))
        .into_iter()
        .map(|entry| entry.request)
        .collect();
    assert_eq!(expired, [1, 2, 4]);
    assert!(queue.is_empty() && queue.next_deadline().is_none());
}

#[test]
fn served_tokens_are_shared_by_weight() {
    let now = Instant::now();
    let mut queue = FairQueue::new(10_000);
    for request in 0..3000 {
        let (org, weight) = if request % 2 == 0 {
            ("light", 1)
        } else {
            ("heavy", 3)
        };
        let entry = entry(now, request, org, WorkClass::SoftDeadline);
        queue.push(entry, weight, 10_000).unwrap();
    }
    let served: Vec<_> = (0..1000).filter_map(|_| queue.pop(|_| true)).collect();
    let heavy = served.iter().filter(|entry| &*entry.org == "heavy").count();
    assert!((740..=760).contains(&heavy), "{heavy} of 1000");
}
