//! Tasks that follow the store's feeds, themselves or through another instance.

use std::rc::Rc;
use std::time::{Duration, Instant};

use apricotwell_dispatch::feeds::FeedUpdate;
use apricotwell_dispatch::prelude::*;
use apricotwell_types::{InstanceId, Offset};
use tokio::net::UdpSocket;

use crate::adapter::{FeedPage, FeedRecord, Platform, Store, StoreError};
use crate::events::Event;
use crate::gateway::Gateway;

/// Longest wait of one read of the configuration; bounds the age of the view on a quiet day.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1500);
/// Share of the time within which a leaving server must get no more work, that passes between two
/// reads of the list of servers.
const SERVERS_SHARE: f64 = 0.3;
/// Pause between two questions to another instance.
const ASK_PAUSE: Duration = Duration::from_millis(500);
/// Age beyond which another instance's view of the configuration is not used.
const MAX_CONFIGURATION_AGE: Duration = Duration::from_millis(2200);
/// Share of the time within which a leaving server must get no more work, beyond which another
/// instance's view of the list is not used.
const MAX_SERVERS_SHARE: f64 = 0.6;
/// Pause after a second call that the store did not serve; each further one adds as much. After the
/// first there is none: most often only its connection was broken.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Calls after which the pause grows no more.
const MAX_PAUSES: u32 = 4;
/// Time after an outage of the store in which servers that left the list are still used: the entries
/// of those that live come back by then.
const RETURN_TIME: Duration = Duration::from_millis(2200);

/// Follows one feed for ever.
pub async fn follow<P>(gateway: Rc<Gateway<P>>, socket: Rc<UdpSocket>, feed: Feed)
where
    P: Platform,
{
    let mut follower = Follower {
        gateway,
        socket,
        feed,
        next: None,
        source: FeedSource::Store,
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
    socket: Rc<UdpSocket>,
    feed: Feed,
    // Offset from which to read; unknown before the newest records were read.
    next: Option<Offset>,
    // Where the last step looked.
    source: FeedSource,
    failing_since: Option<Instant>,
    // Calls in a row that the store did not serve.
    failures: u32,
    outage_end: Option<Instant>,
}

impl<P> Follower<P>
where
    P: Platform,
{
    // Learns once what is new; returns the pause before the next time.
    async fn step(&mut self) -> Duration {
        let Some(from) = self.next else {
            return self.read_store(Duration::ZERO).await;
        };
        let now = self.gateway.now();
        let source = self.gateway.dispatcher.borrow().feed_source(now);
        self.note_source(&source);
        match (source, self.feed) {
            (FeedSource::Peer(peer), _) => match self.ask(&peer, from).await {
                Some(pause) => pause,
                None => self.read_store(Duration::ZERO).await.max(ASK_PAUSE),
            },
            (FeedSource::Store, Feed::Configuration) => self.read_store(CONFIGURATION_WAIT).await,
            (FeedSource::Store, Feed::Servers) => self.read_store(Duration::ZERO).await,
        }
    }

    // Asks another instance; returns the pause before the next question, `None` if its view is of no
    // use.
    async fn ask(&mut self, peer: &InstanceId, from: Offset) -> Option<Duration> {
        let question = (self.feed, from);
        let clock = || self.gateway.now();
        let asked = self
            .gateway
            .questions
            .ask(&self.socket, peer, question, clock);
        let FeedUpdate {
            changes,
            next,
            confirmed_at: current,
        } = asked.await?;
        let news = changes.into_iter().map(|change| match change {
            ServerListChange::Entry(entry) => FeedRecord::Entry(entry),
            ServerListChange::Removed(id) => FeedRecord::Removed(id),
        });
        let part = FeedPage {
            records: news.collect(),
            next,
            is_end: current.is_some(),
        };
        self.apply(current, part);
        let Some(current) = current else {
            return Some(Duration::ZERO);
        };
        let age = self.gateway.now().saturating_duration_since(current);
        (age < self.max_age()).then_some(ASK_PAUSE)
    }

    fn max_age(&self) -> Duration {
        match self.feed {
            Feed::Configuration => MAX_CONFIGURATION_AGE,
            Feed::Servers => self.gateway.times.drain.mul_f64(MAX_SERVERS_SHARE),
        }
    }

    // Reads the store once; returns the pause before the next read.
    async fn read_store(&mut self, wait: Duration) -> Duration {
        let start = self.gateway.now();
        let part = match self.next {
            Some(next) => self.gateway.store.read(self.feed, next, wait).await,
            None => self.gateway.store.newest(self.feed).await,
        };
        match part {
            Ok(part) => {
                self.gateway.metrics.note_store_call("read");
                self.note_success();
                let pauses = self.feed == Feed::Servers && part.is_end;
                // A read that waited and brought nothing says that nothing came until its wait was
                // over.
                let waited = self.gateway.now().saturating_duration_since(start);
                let current = match self.next {
                    Some(_) if part.records.is_empty() => start + wait.min(waited),
                    _ => start,
                };
                let current = part.is_end.then_some(current);
                self.apply(current, part);
                if pauses {
                    self.gateway.times.drain.mul_f64(SERVERS_SHARE)
                } else {
                    Duration::ZERO
                }
            }
            Err(StoreError::Truncated) => {
                self.next = None;
                Duration::ZERO
            }
            Err(error) => {
                self.note_failure(&error);
                RETRY_PAUSE * (self.failures.min(MAX_PAUSES) - 1)
            }
        }
    }

    // Applies what came; nothing else had come at `current`, if that is known.
    fn apply(&mut self, current: Option<Instant>, part: FeedPage) {
        let from = self.next;
        if from.is_none() && self.feed == Feed::Servers {
            self.remove_missing(&part);
            self.gateway
                .dispatcher
                .borrow_mut()
                .feeds
                .reset_changes(part.next);
        }
        self.next = Some(part.next);
        let changed = !part.records.is_empty();
        // Each record of the list is one piece of news, so that their offsets are known.
        let first = part
            .next
            .saturating_sub(part.records.len() as u64)
            .max(from.unwrap_or_default());
        for (offset, news) in (first + 1..).zip(part.records) {
            self.apply_news(offset.min(part.next), news);
        }
        if changed {
            self.gateway.changed.notify_waiters();
            self.gateway.planning.notify_one();
        }
        let Some(current) = current else {
            return;
        };
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        dispatcher
            .feeds
            .record_position(self.feed, part.next, current);
        if self.feed == Feed::Configuration {
            dispatcher.freshness.record_read(current);
        }
    }

    fn note_source(&mut self, source: &FeedSource) {
        if self.source != *source {
            self.source = source.clone();
            Event::new("feed_source")
                .with("feed", format!("{:?}", self.feed))
                .with("source", format!("{source:?}"))
                .log();
        }
    }

    // Applies one piece of news, after which the feed is known up to `offset`.
    fn apply_news(&self, offset: Offset, news: FeedRecord) {
        let now = self.gateway.now();
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        match news {
            FeedRecord::Catalog(catalog) => {
                let version = catalog.version;
                let applied = dispatcher.apply_catalog(*catalog);
                Event::new("configuration")
                    .with("version", version)
                    .with("applied", applied)
                    .log();
            }
            FeedRecord::Entry(entry) => {
                log_entry(&dispatcher.backends, &entry);
                if dispatcher.backends.is_changed(&entry) {
                    let change = ServerListChange::Entry(entry.clone());
                    dispatcher.feeds.record_change(offset, &change);
                }
                dispatcher.backends.apply_entry(now, entry);
            }
            FeedRecord::Removed(id) => {
                let keep = self.keep_time(now);
                Event::new("server_removed")
                    .with("server", &*id)
                    .with("kept_ms", keep.map(|keep| keep.as_millis() as u64))
                    .log();
                dispatcher.backends.mark_removed(now, &id, keep);
                dispatcher.prompts.remove_server(&id);
                let change = ServerListChange::Removed(id);
                dispatcher.feeds.record_change(offset, &change);
            }
            FeedRecord::Unreadable { key, reason } => Event::new("record_unreadable")
                .with("key", key)
                .with("reason", reason)
                .log(),
        }
    }

    fn remove_missing(&self, part: &FeedPage) {
        let now = self.gateway.now();
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        let keep = self.keep_time(now);
        for id in dispatcher.backends.listed_ids() {
            let is_listed = part
                .records
                .iter()
                .any(|news| matches!(news, FeedRecord::Entry(entry) if entry.id == id));
            if !is_listed {
                dispatcher.backends.mark_removed(now, &id, keep);
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

fn same_models(one: &Inventory, other: &Inventory) -> bool {
    one.models.len() == other.models.len()
        && one
            .models
            .iter()
            .all(|(model, _)| other.adapters(model).is_some())
}

fn log_entry(known: &BackendTable, entry: &BackendEntry) {
    let before = known.get(&entry.id).map(|server| &server.entry);
    let changed = before.is_none_or(|before| {
        before.draining != entry.draining
            || before.started_ms != entry.started_ms
            || !same_models(&before.inventory, &entry.inventory)
    });
    if changed {
        let models: Vec<&str> = entry
            .inventory
            .models
            .iter()
            .map(|(model, _)| &**model)
            .collect();
        Event::new("server")
            .with("server", &*entry.id)
            .with("service", &*entry.service)
            .with("leaving", entry.draining)
            .with("born", entry.started_ms)
            .with("orders", entry.inventory.orders)
            .with("models", models)
            .with("on_disk", entry.inventory.on_disk.len())
            .log();
    }
}
