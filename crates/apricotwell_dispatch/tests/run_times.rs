//! Usual run times, by which a stop refuses what would be cut off.

use std::sync::Arc;
use std::time::Duration;

use apricotwell_dispatch::run_times::RunTimes;

const LEFT: Duration = Duration::from_secs(4);

fn times(runs: &[u64]) -> RunTimes {
    let route: Arc<str> = "upload".into();
    let mut times = RunTimes::default();
    for millis in runs {
        times.record(&route, Duration::from_millis(*millis));
    }
    times
}

#[test]
fn request_that_usually_runs_longer_does_not_fit() {
    assert!(
        times(&[]).fits("upload", Duration::ZERO),
        "nothing is known"
    );
    assert!(
        times(&[5000; 4]).fits("upload", LEFT),
        "hardly anything is known"
    );
    assert!(!times(&[5000; 5]).fits("upload", LEFT));
    assert!(times(&[5000; 5]).fits("order", LEFT));
    assert!(times(&[3000; 5]).fits("upload", LEFT));
    assert!(!times(&[3500; 5]).fits("upload", LEFT), "runs differ");
}

#[test]
fn run_times_follow_the_recent_runs() {
    let slower = [vec![1000; 20], vec![9000; 20]].concat();
    assert!(!times(&slower).fits("upload", LEFT));
    let faster = [vec![9000; 20], vec![1000; 20]].concat();
    assert!(times(&faster).fits("upload", LEFT));
    // One run alone is no reason to refuse others.
    assert!(
        times(&[1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000, 9000]).fits("upload", LEFT)
    );
}
