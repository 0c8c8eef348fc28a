//! Tasks that follow the store.

use std::rc::Rc;
use std::time::{Duration, Instant};

use apricotwell_dispatch::prelude::*;
use apricotwell_types::Offset;

use crate::adapter::{Feed, FeedPart, News, Platform, Store, StoreError};
use crate::events::Event;
use crate::gateway::Gateway;

/// Longest wait of one read of the configuration; bounds the age of the view on a quiet day.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(2200);
/// Share of the time within which a leaving server must get no more work, that passes between two
/// reads of the list of servers.
const SERVERS_SHARE: f64 = 0.65;
/// Pause after a first call that the store did not serve; each further one adds as much.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Calls after which the pause grows no more.
const MAX_PAUSES: u32 = 3;
/// Time after an outage of the store in which servers that left the list are still used: the entries
/// of those that live come back by then.
const RETURN_TIME: Duration = Duration::from_millis(2200);

/// Follows one feed for ever.
pub async fn follow<P>(gateway: Rc<Gateway<P>>, feed: Feed)
where
    P: Platform,
{
    let mut follower = Follower {
        gateway,
        feed,
        next: None,
        failing_since: None,
        failures: 0,
        outage_end: None,
    };
    loop {
        let pause = follower.step().await;
        tokio::time::sleep(pause).await;
    }
}

struct Follower<P>
where
    P: Platform,
{
    gateway: Rc<Gateway<P>>,
    feed: Feed,
    // Offset from which to read; unknown before the newest records were read.
    next: Option<Offset>,
    failing_since: Option<Instant>,
    // Calls in a row that the store did not serve.
    failures: u32,
    outage_end: Option<Instant>,
}

impl<P> Follower<P>
where
    P: Platform,
{
    // Reads once; returns the pause before the next read.
    async fn step(&mut self) -> Duration {
        let start = self.gateway.now();
        let wait = match self.feed {
            Feed::Configuration => CONFIGURATION_WAIT,
            Feed::Servers => Duration::ZERO,
        };
        let part = match self.next {
            Some(next) => self.gateway.store.read(self.feed, next, wait).await,
            None => self.gateway.store.newest(self.feed).await,
        };
        match part {
            Ok(part) => self.apply(start, wait, part),
            Err(StoreError::Forgotten) => {
                self.next = None;
                Duration::ZERO
            }
            Err(error) => {
                self.note_failure(&error);
                RETRY_PAUSE * self.failures.min(MAX_PAUSES)
            }
        }
    }

    fn apply(&mut self, start: Instant, wait: Duration, part: FeedPart) -> Duration {
        self.gateway.metrics.note_store_call("read");
        self.note_success();
        let whole = self.next.is_none();
        if whole && self.feed == Feed::Servers {
            self.remove_missing(&part);
        }
        self.next = Some(part.next);
        let is_end = part.is_end;
        let changed = !part.news.is_empty();
        // A read that waited and brought nothing says that nothing came until its wait was over.
        let current = if changed || whole {
            start
        } else {
            start + wait.min(self.gateway.now().saturating_duration_since(start))
        };
        for news in part.news {
            self.apply_news(news);
        }
        if changed {
            self.gateway.changed.notify_waiters();
            self.gateway.planning.notify_one();
        }
        if self.feed == Feed::Configuration && is_end {
            let mut dispatcher = self.gateway.dispatcher.borrow_mut();
            dispatcher.freshness.note_current(current);
        }
        match self.feed {
            Feed::Servers if is_end => self.gateway.times.drain.mul_f64(SERVERS_SHARE),
            _ => Duration::ZERO,
        }
    }

    fn apply_news(&self, news: News) {
        let now = self.gateway.now();
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        match news {
            News::Catalog(catalog) => {
                let version = catalog.version;
                let applied = dispatcher.apply_catalog(*catalog);
                Event::new("configuration")
                    .with("version", version)
                    .with("applied", applied)
                    .log();
            }
            News::Entry(entry) => {
                log_entry(&dispatcher.backends, &entry);
                dispatcher.backends.note_entry(now, entry);
            }
            News::Removed(id) => {
                let keep = self.keep_time(now);
                Event::new("server_removed")
                    .with("server", &*id)
                    .with("kept_ms", keep.map(|keep| keep.as_millis() as u64))
                    .log();
                dispatcher.backends.note_removed(now, &id, keep);
                dispatcher.prompts.forget(&id);
            }
            News::Unreadable { key, reason } => Event::new("record_unreadable")
                .with("key", key)
                .with("reason", reason)
                .log(),
        }
    }

    fn remove_missing(&self, part: &FeedPart) {
        let now = self.gateway.now();
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        let keep = self.keep_time(now);
        for id in dispatcher.backends.listed() {
            let is_listed = part
                .news
                .iter()
                .any(|news| matches!(news, News::Entry(entry) if entry.id == id));
            if !is_listed {
                dispatcher.backends.note_removed(now, &id, keep);
            }
        }
    }

    fn keep_time(&self, now: Instant) -> Option<Duration> {
        let end = self.outage_end? + RETURN_TIME;
        (now < end).then(|| end.saturating_duration_since(now))
    }

    fn note_failure(&mut self, error: &StoreError) {
        self.gateway.metrics.note_store_call("failed");
        self.failures += 1;
        if self.failing_since.is_none() {
            self.failing_since = Some(self.gateway.now());
            Event::new("store_lost")
                .with("feed", format!("{:?}", self.feed))
                .with("reason", error.to_string())
                .log();
        }
    }

    fn note_success(&mut self) {
        self.failures = 0;
        let Some(since) = self.failing_since.take() else {
            return;
        };
        let now = self.gateway.now();
        self.outage_end = Some(now);
        Event::new("store_regained")
            .with("feed", format!("{:?}", self.feed))
            .with_time("lost_ms", now.saturating_duration_since(since))
            .log();
    }
}

fn same_models(one: &Holdings, other: &Holdings) -> bool {
    one.models.len() == other.models.len()
        && one
            .models
            .iter()
            .all(|(model, _)| other.adapters(model).is_some())
}

fn log_entry(known: &BackendTable, entry: &Entry) {
    let before = known.get(&entry.id).map(|server| &server.entry);
    let changed = before.is_none_or(|before| {
        before.leaving != entry.leaving
            || before.born != entry.born
            || !same_models(&before.holdings, &entry.holdings)
    });
    if changed {
        let models: Vec<&str> = entry
            .holdings
            .models
            .iter()
            .map(|(model, _)| &**model)
            .collect();
        Event::new("server")
            .with("server", &*entry.id)
            .with("service", &*entry.service)
            .with("leaving", entry.leaving)
            .with("born", entry.born)
            .with("orders", entry.holdings.orders)
            .with("models", models)
            .with("on_disk", entry.holdings.on_disk.len())
            .log();
    }
}
